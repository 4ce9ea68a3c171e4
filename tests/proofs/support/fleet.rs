//! A fleet of stand-ins and daemons in the test process.

use std::sync::MutexGuard;

use oleanderwind::Daemon;
use oleanderwind::DaemonSettings;
use oleanderwind::RawSettings;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::FleetMember;
use serde_json::json;

use crate::support::TestCaller;
use crate::support::lock_fleet;
use crate::support::wait_for;

/// Lifetime of an address answer at its callers, in milliseconds.
const ADDRESS_KEEP_MS: &str = "200";
/// Time for gossip about a leaving VM to reach a fleet of this size, in milliseconds.
const LEAVE_NOTICE_MS: &str = "300";

/// Stand-ins and daemons that all run on the test's thread.
pub(crate) struct TestFleet {
    pub(crate) standin: StandinServer,
    pub(crate) vms: Vec<Daemon>,
    pub(crate) caller: TestCaller,
    _lock: MutexGuard<'static, ()>,
}

impl TestFleet {
    /// Starts `count` daemons and waits until each is ready.
    pub(crate) async fn start(settings: StandinSettings, count: usize) -> TestFleet {
        let lock = lock_fleet();
        let standin = StandinServer::start(settings).unwrap();
        let caller = TestCaller::new();
        let mut fleet = TestFleet { standin, vms: Vec::new(), caller, _lock: lock };
        for _ in 0..count {
            let index = fleet.start_unpublished_vm().await;
            fleet.publish_vm_object(index);
        }
        for index in 0..count {
            fleet.wait_until_ready(index).await;
        }
        fleet
    }

    /// Starts a fleet as [`TestFleet::start`] does and waits until every VM sees all as serving.
    pub(crate) async fn start_converged(settings: StandinSettings, count: usize) -> TestFleet {
        let fleet = TestFleet::start(settings, count).await;
        for vm in 0..count {
            wait_for("membership converged", async || fleet.serving_count(vm).await == count).await;
        }
        fleet
    }

    /// Starts one more daemon, publishes its VM object and waits until it is ready.
    pub(crate) async fn add_vm(&mut self) -> usize {
        let index = self.start_unpublished_vm().await;
        self.publish_vm_and_wait(index).await
    }

    /// Adds a VM as [`TestFleet::add_vm`] does, with its own platform address and a seed peer.
    pub(crate) async fn add_vm_with_platform(&mut self, platform: &str, seed: usize) -> usize {
        let seed = self.vms[seed].addresses().peer;
        let index = self.vms.len();
        let mut settings = vm_settings(index, platform.to_owned());
        settings.seed_peers.push(seed);
        self.vms.push(Daemon::start(settings).await.unwrap());
        self.publish_vm_and_wait(index).await
    }

    async fn publish_vm_and_wait(&self, index: usize) -> usize {
        self.publish_vm_object(index);
        self.wait_until_ready(index).await;
        index
    }

    /// Publishes a VM's object on the platform.
    fn publish_vm_object(&self, index: usize) {
        let addresses = self.vms[index].addresses();
        let spec = json!({
            "vm": addresses.vm,
            "failure_domain": format!("fd-{}", index % 3),
            "caller_address": addresses.caller.to_string(),
            "peer_address": addresses.peer.to_string(),
            "phase": "live",
        });
        self.standin.put_object("vms", &addresses.vm, &spec);
    }

    async fn wait_until_ready(&self, index: usize) {
        let caller = self.caller.clone();
        let address = self.caller_address(index);
        wait_for("the VM is ready", async || caller.is_ready(&address).await).await;
    }

    /// Starts one more daemon without a VM object, so that no other VM knows of it.
    pub(crate) async fn start_unpublished_vm(&mut self) -> usize {
        let index = self.vms.len();
        let platform = self.standin.platform_address().to_string();
        self.vms.push(Daemon::start(vm_settings(index, platform)).await.unwrap());
        index
    }

    /// Returns the address at which a VM listens for callers.
    pub(crate) fn caller_address(&self, vm: usize) -> String {
        self.vms[vm].addresses().caller.to_string()
    }

    /// Returns the rate limit of a customer that is in force on a VM.
    pub(crate) async fn customer_rate(&self, vm: usize, customer: &str) -> Option<f64> {
        let list = self.caller.get(&self.admin_address(vm), "/v1/contracts").await?;
        let list: Vec<ContractDocument> = serde_json::from_value(list).ok()?;
        let held = list.into_iter().find(|held| &*held.customer == customer)?;
        Some(held.contract.requests_per_second)
    }

    /// Changes a customer's rate limit through one VM.
    pub(crate) async fn set_customer_rate(&self, vm: usize, customer: &str, rate: f64) {
        let (admin, path) = (self.admin_address(vm), format!("/v1/contracts/{customer}"));
        let base = self.caller.get(&admin, &path).await.unwrap();
        let mut base: ContractDocument = serde_json::from_value(base).unwrap();
        base.contract.requests_per_second = rate;
        let edit = json!({
            "expected_revision": base.revision,
            "operator": "operator",
            "contract": base.contract,
        });
        let report = self.caller.put(&admin, &path, &edit).await.unwrap();
        assert_eq!(report["verdict"], "accepted", "{report}");
    }

    /// Counts the VMs that a VM sees as serving, itself included.
    pub(crate) async fn serving_count(&self, vm: usize) -> usize {
        let members = self.caller.get(&self.admin_address(vm), "/v1/fleet").await;
        let members: Vec<FleetMember> = serde_json::from_value(members.unwrap()).unwrap();
        members.iter().filter(|member| member.phase == "serving").count()
    }

    /// Returns the address at which a VM listens for operators.
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
        leave_notice_ms: Some(LEAVE_NOTICE_MS.to_owned()),
        ..RawSettings::default()
    };
    DaemonSettings::try_from(&raw).unwrap()
}
