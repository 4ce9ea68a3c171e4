//! A VM process, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::http::name;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/oleanderwind-vm";
/// The settings file, as the template of the deploy file is filled in.
const SETTINGS: &str = include_str!("../settings.txt");
/// Ports of the VMs: blocks from this one on, and the ports of each.
const FIRST_PORT: u16 = 16_000;
const BLOCK_COUNT: u16 = 200;
const BLOCK_PORTS: u16 = 80;
/// Time in which a VM becomes ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// A VM.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) caller: SocketAddr,
    /// Where callers ask which addresses to use.
    pub(crate) addresses: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    descriptors: Option<usize>,
    child: Child,
}

impl Vm {
    /// Starts a VM on free ports; its settings and its log are written to `folder`.
    pub(crate) fn start(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Vm> {
        Vm::start_limited(name, store, folder, None)
    }

    /// Starts a VM like [`Vm::start`] with a limit on its descriptors, as the platform sets one.
    pub(crate) fn start_limited(
        name: &str,
        store: SocketAddr,
        folder: &Path,
        descriptors: Option<usize>,
    ) -> io::Result<Vm> {
        let addresses: Vec<SocketAddr> =
            (0..5).map(|_| free_address()).collect::<Result<_, _>>()?;
        let words = ["CALLER", "READINESS", "ADDRESSES", "PEER", "ADMIN"];
        let mut text = SETTINGS.replace("NAME", name).replace("STORE", &store.to_string());
        for (word, address) in words.iter().zip(&addresses) {
            text = text.replace(word, &address.to_string());
        }
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text.replace("FIRST", "true"))?;
        let child = spawn(&settings, descriptors)?;
        let vm = Vm {
            name: name.to_owned(),
            caller: addresses[0],
            addresses: addresses[2],
            readiness: addresses[1],
            settings,
            descriptors,
            child,
        };
        Ok(vm)
    }

    /// Starts the process again after it has ended, with the same addresses.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("first-start=true", "first-start=false"))?;
        self.child = spawn(&self.settings, self.descriptors)?;
        Ok(())
    }

    /// Waits until the VM is ready; returns whether it became so.
    pub(crate) fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + READY_TIME;
        while Instant::now() < end {
            if self.is_ready(Duration::from_secs(1)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the VM whether it is ready, as the platform does.
    pub(crate) fn is_ready(&self, patience: Duration) -> bool {
        let path = name("ready");
        let request = format!("GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let reply = call(self.readiness, request.as_bytes(), patience);
        reply.ok().flatten().is_some_and(|reply| reply.word(1) == "200")
    }

    /// Returns the resident memory and its peak, in kB; `None` if the process has ended.
    pub(crate) fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((value("VmRSS:")?, value("VmHWM:")?))
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        // Fails if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address whose port is free, below those that the system gives to connections.
///
/// Each process of the stand-ins takes them from a block of its own.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let block = (std::process::id() % u32::from(BLOCK_COUNT)) as u16;
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        if offset >= BLOCK_PORTS {
            return Err(io::Error::other("no port is free"));
        }
        if let Ok(listener) =
            TcpListener::bind(("127.0.0.1", FIRST_PORT + block * BLOCK_PORTS + offset))
        {
            return listener.local_addr();
        }
    }
}

fn spawn(settings: &Path, descriptors: Option<usize>) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    let errors = log.try_clone()?;
    let mut command = match descriptors {
        None => Command::new(PROGRAM),
        Some(descriptors) => {
            let mut command = Command::new("sh");
            let script = format!("ulimit -n {descriptors} && exec {PROGRAM} \"$@\"");
            command.arg("-c").arg(script).arg("sh");
            command
        }
    };
    command.arg("--settings-file").arg(settings).stdin(Stdio::null());
    command.stdout(log).stderr(errors).spawn()
}
