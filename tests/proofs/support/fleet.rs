//! Stand-ins and daemons in one process.

use std::sync::MutexGuard;

use oleanderwind::Daemon;
use oleanderwind::DaemonSettings;
use oleanderwind::RawSettings;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use serde_json::json;

use crate::support::TestCaller;
use crate::support::take_turn;
use crate::support::wait_for;

/// How long callers keep an address answer, in milliseconds.
const ADDRESS_KEEP_MS: &str = "200";

/// Stand-ins with a few daemons, all on the test's thread.
pub(crate) struct TestFleet {
    pub(crate) standin: StandinServer,
    pub(crate) vms: Vec<Daemon>,
    pub(crate) caller: TestCaller,
    _turn: MutexGuard<'static, ()>,
}

impl TestFleet {
    /// Starts `count` daemons and waits until each is ready.
    pub(crate) async fn start(settings: StandinSettings, count: usize) -> TestFleet {
        let turn = take_turn();
        let standin = StandinServer::start(settings).unwrap();
        let caller = TestCaller::new();
        let mut fleet = TestFleet { standin, vms: Vec::new(), caller, _turn: turn };
        for _ in 0..count {
            fleet.add_vm().await;
        }
        fleet
    }

    /// Starts one more daemon, lists it and waits until it is ready.
    pub(crate) async fn add_vm(&mut self) -> usize {
        let index = self.add_unready_vm().await;
        let addresses = self.vms[index].addresses();
        let spec = json!({
            "vm": addresses.vm,
            "failure_domain": format!("fd-{}", index % 3),
            "caller_address": addresses.caller.to_string(),
            "peer_address": addresses.peer.to_string(),
            "phase": "live",
        });
        self.standin.put_object("vms", &addresses.vm, &spec);
        let caller = self.caller.clone();
        let address = self.caller_address(index);
        wait_for("the VM is ready", async || caller.is_ready(&address).await).await;
        index
    }

    /// Starts one more daemon that no other is told of.
    pub(crate) async fn add_unready_vm(&mut self) -> usize {
        let index = self.vms.len();
        let platform = self.standin.platform_address().to_string();
        self.vms.push(Daemon::start(vm_settings(index, platform)).await.unwrap());
        index
    }

    /// Where a VM listens for callers.
    pub(crate) fn caller_address(&self, vm: usize) -> String {
        self.vms[vm].addresses().caller.to_string()
    }

    /// Where a VM listens for operators.
    pub(crate) fn admin_address(&self, vm: usize) -> String {
        self.vms[vm].addresses().admin.to_string()
    }
}

pub(crate) fn vm_settings(index: usize, platform: String) -> DaemonSettings {
    let any = || Some("127.0.0.1:0".to_owned());
    let raw = RawSettings {
        vm: Some(format!("vm-{index}")),
        failure_domain: Some(format!("fd-{}", index % 3)),
        platform: Some(platform),
        caller_listen: any(),
        admin_listen: any(),
        peer_listen: any(),
        address_keep_ms: Some(ADDRESS_KEEP_MS.to_owned()),
        ..RawSettings::default()
    };
    DaemonSettings::try_from(&raw).unwrap()
}
