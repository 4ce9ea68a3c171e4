//! A small deployment: a store, searchers and machines.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::machine::Machine;
use crate::names::Route;
use crate::names::config_spec;
use crate::record::Record;
use crate::searcher::Plan;
use crate::searcher::Repeat;
use crate::searcher::Run;
use crate::searcher::Searcher;
use crate::searcher::SearcherSettings;
use crate::store::Store;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["bengal-east-a", "bengal-east-b", "bengal-east-c"];
/// Time in which the machines have to be ready.
const START_TIME: Duration = Duration::from_secs(25);
/// Connections that each searcher accepts.
const CONNECTION_LIMIT: u32 = 110;

pub struct Deployment {
    pub store: Store,
    pub searchers: Vec<Searcher>,
    pub machines: Vec<Machine>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    pub folder: PathBuf,
    ip_prefix: String,
    root: PathBuf,
}

impl Deployment {
    /// Starts a store in a new temporary folder's name.
    pub fn new(root: &Path, record: Record) -> std::io::Result<Deployment> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-case-{pid}"));
        std::fs::create_dir_all(&folder)?;
        // An own part of the loopback range, as the ports between machines are fixed.
        let ip_prefix = format!("127.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250);
        let store = Store::start(&format!("{ip_prefix}.1"), record.clone())?;
        Ok(Deployment {
            store,
            searchers: Vec::new(),
            machines: Vec::new(),
            runs: Arc::default(),
            record,
            folder,
            ip_prefix,
            root: root.to_owned(),
        })
    }

    /// Starts a searcher and lists it.
    pub fn add_searcher(
        &mut self,
        service: &str,
        slots: u32,
        queue: u32,
        plan: Plan,
        repeat: Option<Repeat>,
    ) -> std::io::Result<()> {
        let number = self.searchers.len();
        let ip = format!("{}.{}", self.ip_prefix, 100 + number);
        let settings = SearcherSettings {
            id: format!("i-{service}-{number}"),
            service: service.to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            slots,
            queue,
            plan,
            repeat,
        };
        let searcher = Searcher::start(&ip, settings, self.runs.clone(), self.record.clone())?;
        self.store.put("servers", &searcher.settings.id, &searcher.entry("ready"));
        self.searchers.push(searcher);
        Ok(())
    }

    /// Writes a configuration; the return is its acknowledgement.
    pub fn configure(&self, version: u64, routes: &[Route<'_>]) {
        let mut services: Vec<(&str, u32)> = Vec::new();
        for searcher in &self.searchers {
            let service = searcher.settings.service.as_str();
            if !services.iter().any(|(own, _)| *own == service) {
                services.push((service, CONNECTION_LIMIT));
            }
        }
        self.store.put("config", "main", &config_spec(version, routes, &services));
        self.record.add(format!("operator: version {version} acknowledged"));
    }

    /// Starts `count` machines; returns whether all are ready in time.
    pub fn start_machines(&mut self, count: usize) -> std::io::Result<bool> {
        for number in 0..count {
            let mut machine = Machine::new(
                number + 1,
                &format!("{}.{}", self.ip_prefix, 10 + number),
                ZONES[number % ZONES.len()],
                self.store.address,
                &self.root,
                &self.folder,
                self.record.clone(),
            )?;
            machine.start()?;
            self.machines.push(machine);
        }
        Ok(self.machines.iter().all(|machine| machine.wait_ready(START_TIME)))
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
