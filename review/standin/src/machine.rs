//! The project's daemon as a process, started as the deploy file says.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::names::HOST;
use crate::names::name;
use crate::record::Record;

const SIGKILL: usize = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    safe fn prctl(option: i32, value: usize) -> i32;
}

/// One machine. Its process is killed when this is dropped.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    ip: String,
    store: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    record: Record,
}

/// Returns a free address of `ip`.
fn free_address(ip: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Machine {
    /// Prepares a machine without starting it.
    pub fn new(
        number: usize,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        root: &Path,
        folder: &Path,
        record: Record,
    ) -> std::io::Result<Machine> {
        Ok(Machine {
            name: format!("front-{zone}-{number}"),
            zone: zone.to_owned(),
            front: free_address(ip)?,
            ready: free_address(ip)?,
            directory: free_address(ip)?,
            ip: ip.to_owned(),
            store,
            root: root.to_owned(),
            folder: folder.to_owned(),
            child: None,
            starts: 0,
            record,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{}.settings", self.name));
        std::fs::write(&settings, self.settings()?)?;
        let log = |kind: &str| {
            let path = self.folder.join(format!("{}-{}.{kind}", self.name, self.starts));
            File::create(path).map(Stdio::from)
        };
        let deploy = std::fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_default().trim_matches('"').to_owned();
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let arguments = words.map(|word| match word.ends_with("node.toml") {
            true => settings.to_string_lossy().into_owned(),
            false => word.to_owned(),
        });
        let mut command = Command::new(program);
        command.args(arguments).current_dir(&self.root).env_clear();
        command.env("LANG", "C.UTF-8").env("PATH", "/usr/bin:/bin");
        command.stdin(Stdio::null()).stdout(log("out")?).stderr(log("err")?);
        // The machines end with this process, whatever ends it.
        // SAFETY: the closure makes one system call.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        };
        self.child = Some(command.spawn()?);
        self.starts += 1;
        self.record.add(format!("{}: started", self.name));
        Ok(())
    }

    /// Returns the settings file, filled in from the project's template.
    fn settings(&self) -> std::io::Result<String> {
        let template = std::fs::read_to_string(self.root.join("deploy/settings.template"))?;
        let values = [
            (name("vm_setting"), self.name.clone()),
            ("zone", self.zone.clone()),
            ("region", "bengal-east".to_owned()),
            ("platform.addr", self.store.to_string()),
            ("listen.front", self.front.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("listen.directory", self.directory.to_string()),
            ("ip", self.ip.clone()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("platform.history_s", "20".to_owned()),
            ("bounds.config_ms", "3000".to_owned()),
            ("bounds.drain_ms", "3000".to_owned()),
            ("bootstrap", (self.starts == 0).to_string()),
            ("limits.cores", "1".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
        ];
        let mut text = template;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        Ok(text)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.add(format!("{}: killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let call = format!("GET {} HTTP/1.1\r\nHost: {HOST}\r\n\r\n", name("ready_path"));
        let timeout = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, timeout) else { return false };
        let _ = stream.set_read_timeout(Some(timeout));
        if stream.write_all(call.as_bytes()).is_err() {
            return false;
        }
        Connection::new(stream).read().is_ok_and(|reply| reply.status() == 200)
    }

    /// Waits until the machine is ready; returns whether it is.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
