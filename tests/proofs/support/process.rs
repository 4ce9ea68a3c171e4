//! A fleet of stand-ins and daemons in separate processes.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::MutexGuard;

use serde_json::Value;
use serde_json::json;

use crate::support::TestCaller;
use crate::support::lock_fleet;
use crate::support::wait_for;

/// A child process that is killed on drop.
pub(crate) struct ChildProcess {
    child: Child,
    /// Listening addresses, as printed by the process once it serves.
    pub(crate) addresses: Value,
}

/// Stand-ins and daemons in separate processes.
pub(crate) struct ProcessFleet {
    pub(crate) standin: ChildProcess,
    pub(crate) vms: Vec<ChildProcess>,
    pub(crate) caller: TestCaller,
    _lock: MutexGuard<'static, ()>,
}

impl ChildProcess {
    /// Starts a program and waits for the line of addresses that it prints once it serves.
    fn start(program: &str, arguments: &[&str]) -> ChildProcess {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let addresses = serde_json::from_str(&line).unwrap();
        ChildProcess { child, addresses }
    }

    /// Returns one of the printed addresses.
    pub(crate) fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap().to_owned()
    }

    /// Sends a signal by its name, for example `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Returns the exit code, or `None` while the process runs or when a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().unwrap().and_then(|status| status.code())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProcessFleet {
    /// Starts the stand-in of a deployment and `count` daemons, and waits until each is ready.
    pub(crate) async fn start(deployment: &str, count: usize) -> ProcessFleet {
        let lock = lock_fleet();
        let program = env!("CARGO_BIN_EXE_oleanderwind-standin");
        let standin = ChildProcess::start(program, &["--deployment", deployment]);
        let caller = TestCaller::new();
        let mut fleet = ProcessFleet { standin, vms: Vec::new(), caller, _lock: lock };
        for _ in 0..count {
            fleet.start_vm().await;
        }
        for index in 0..count {
            fleet.wait_until_ready(index).await;
        }
        fleet
    }

    /// Starts one more daemon, publishes its VM object and waits until it is ready.
    pub(crate) async fn add_vm(&mut self) -> usize {
        let index = self.start_vm().await;
        self.wait_until_ready(index).await;
        index
    }

    async fn start_vm(&mut self) -> usize {
        self.start_vm_with(&["--address-keep-ms", "200", "--leave-notice-ms", "300"]).await
    }

    /// Starts one more daemon with additional settings and publishes its VM object.
    pub(crate) async fn start_vm_with(&mut self, settings: &[&str]) -> usize {
        let index = self.vms.len();
        let platform = self.standin.address("platform");
        let vm = format!("vm-{index}");
        let domain = format!("fd-{}", index % 3);
        let program = env!("CARGO_BIN_EXE_oleanderwindd");
        let identity = [
            "--vm",
            &vm,
            "--failure-domain",
            &domain,
            "--platform",
            &platform,
            "--caller-listen",
            "127.0.0.1:0",
            "--admin-listen",
            "127.0.0.1:0",
            "--peer-listen",
            "127.0.0.1:0",
        ];
        let process = ChildProcess::start(program, &[&identity, settings].concat());
        let object = json!({
            "kind": "vms",
            "metadata": {"name": vm},
            "spec": {
                "vm": vm,
                "failure_domain": domain,
                "caller_address": process.address("caller"),
                "peer_address": process.address("peer"),
                "phase": "live",
            },
        });
        self.caller.post(&platform, "/apis/oleanderwind/v1/vms", &object).await;
        self.vms.push(process);
        index
    }

    pub(crate) async fn wait_until_ready(&self, index: usize) {
        let address = self.vms[index].address("caller");
        let caller = self.caller.clone();
        wait_for("the VM is ready", async || caller.is_ready(&address).await).await;
    }
}
