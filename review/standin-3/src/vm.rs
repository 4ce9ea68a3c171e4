//! VM processes, started with the command of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::wire;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/oleanderwind-vm";

type SharedProcess = Arc<Mutex<Child>>;

/// All processes that were started.
static PROCESSES: Mutex<Vec<SharedProcess>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for process in PROCESSES.lock().unwrap().iter() {
        kill(process);
    }
}

fn kill(process: &SharedProcess) {
    let mut process = process.lock().unwrap();
    let _ = process.kill();
    let _ = process.wait();
}

/// What the settings of a deployment hold that differs from site to site.
#[derive(Clone, Copy, Debug)]
pub struct SiteSettings {
    /// `budget_slack` of the site.
    pub extra_slack: u32,
    /// `config_ms` and `drain_ms` of the site.
    pub change_limit_ms: u32,
}

/// `kit/more/system/sites/haneul-oleander.toml`
pub const SMALL_SITE: SiteSettings = SiteSettings { extra_slack: 54, change_limit_ms: 3_000 };
/// `kit/more/system/grown/haneul-oleander-grown.toml`
pub const GROWN_SITE: SiteSettings = SiteSettings { extra_slack: 214, change_limit_ms: 5_000 };
/// `kit/more/system/demands/skrive-soeg-grown.toml`
pub const TENANT_SITE: SiteSettings = SiteSettings { extra_slack: 172, change_limit_ms: 5_000 };

/// A VM, whose process is killed when it is dropped.
pub struct Vm {
    pub name: String,
    pub domain: String,
    pub caller: SocketAddr,
    pub addresses: SocketAddr,
    readiness: SocketAddr,
    process: SharedProcess,
}

/// Ports that are tried, below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// Returns a loopback address with a port that is free now and was not returned before.
fn free_address() -> std::io::Result<SocketAddr> {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number = std::process::id() * 331 + TRIED.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(FIRST_PORT + number % PORTS).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

impl Vm {
    pub fn start(
        site: SiteSettings,
        folder: &Path,
        name: &str,
        domain: &str,
        store: SocketAddr,
        is_first_start: bool,
    ) -> std::io::Result<Vm> {
        let [caller, readiness, addresses] = [free_address()?, free_address()?, free_address()?];
        let texts = [store, caller, readiness, addresses, free_address()?, free_address()?];
        let [store, caller_text, ready_text, addresses_text, peer, admin] =
            texts.map(|address| address.to_string());
        let settings = wire::settings(&[
            ("vm", name),
            ("extra_slack", &site.extra_slack.to_string()),
            ("change_limit", &site.change_limit_ms.to_string()),
            ("domain", domain),
            ("store", &store),
            ("caller", &caller_text),
            ("readiness", &ready_text),
            ("addresses", &addresses_text),
            ("peer", &peer),
            ("admin", &admin),
            ("first_start", if is_first_start { "true" } else { "false" }),
        ]);
        let file: PathBuf = folder.join(format!("{name}.settings"));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let process = Command::new(PROGRAM)
            .arg("--settings-file")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let process = Arc::new(Mutex::new(process));
        PROCESSES.lock().unwrap().push(process.clone());
        Ok(Vm {
            name: name.to_owned(),
            domain: domain.to_owned(),
            caller,
            addresses,
            readiness,
            process,
        })
    }

    /// Waits until it is ready; returns whether it is by `end`.
    pub fn wait_ready(&self, end: Instant) -> bool {
        while Instant::now() < end {
            let reply =
                http::call(self.readiness, wire::name("readiness"), &[], Duration::from_secs(1));
            if reply.is_some_and(|reply| reply.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.lock().unwrap().try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        kill(&self.process);
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
