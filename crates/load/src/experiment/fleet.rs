//! The VMs of a trial, their entries in the platform's list and their replacement.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use eyre::eyre;
use oleanderwind_wire::API_PREFIX;
use oleanderwind_wire::ObjectDocument;
use serde_json::Value;
use serde_json::json;

use crate::demo::wait_until_ready;
use crate::experiment::ChildProgram;

/// Listens at any free port of the loopback.
const ANY_PORT: &str = "127.0.0.1:0";
/// Longest time from the stop signal to a VM's end.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Daemons in processes of their own.
#[derive(Debug)]
pub(crate) struct VmFleet {
    daemon: PathBuf,
    environment: Vec<(String, String)>,
    platform: String,
    vms: Vec<FleetVm>,
    started: usize,
}

/// One VM.
#[derive(Debug)]
struct FleetVm {
    name: String,
    failure_domain: String,
    caller: String,
    program: ChildProgram,
}

impl VmFleet {
    /// A fleet without a VM.
    pub(crate) fn new(
        daemon: PathBuf,
        environment: &BTreeMap<String, String>,
        platform: String,
    ) -> VmFleet {
        let pairs = environment.iter();
        let environment = pairs.map(|(name, value)| (name.clone(), value.clone())).collect();
        VmFleet { daemon, environment, platform, vms: Vec::new(), started: 0 }
    }

    /// Starts `count` VMs, lists them and waits until they are ready.
    pub(crate) async fn start(&mut self, count: usize) -> eyre::Result<()> {
        for index in 1..=count {
            let vm = self.start_vm(&format!("fd-{index}"), ANY_PORT).await?;
            self.vms.push(vm);
        }
        for vm in &self.vms {
            wait_until_ready(&vm.caller).await?;
        }
        Ok(())
    }

    /// Callers' addresses.
    pub(crate) fn callers(&self) -> Vec<String> {
        self.vms.iter().map(|vm| vm.caller.clone()).collect()
    }

    /// Process ids.
    pub(crate) fn pids(&self) -> Vec<u32> {
        self.vms.iter().map(|vm| vm.program.pid()).collect()
    }

    /// Replaces one VM after the other, each `period` after the last, until dropped.
    pub(crate) async fn replace_forever(&mut self, period: Duration) -> eyre::Result<()> {
        for index in (0..self.vms.len()).cycle() {
            tokio::time::sleep(period).await;
            self.replace(index).await?;
        }
        Ok(())
    }

    /// Stops a VM gracefully and starts a fresh one at its callers' address.
    async fn replace(&mut self, index: usize) -> eyre::Result<()> {
        let vm = &mut self.vms[index];
        unlist_vm(&self.platform, &vm.name).await?;
        vm.program.stop(STOP_TIMEOUT).await?;
        let (domain, caller) = (vm.failure_domain.clone(), vm.caller.clone());
        self.vms[index] = self.start_vm(&domain, &caller).await?;
        wait_until_ready(&caller).await
    }

    /// Starts and lists one VM.
    async fn start_vm(&mut self, failure_domain: &str, caller: &str) -> eyre::Result<FleetVm> {
        self.started += 1;
        let name = format!("vm-{}", self.started);
        let flags = [
            ("--vm", name.as_str()),
            ("--failure-domain", failure_domain),
            ("--platform", &self.platform),
            ("--caller-listen", caller),
            ("--admin-listen", ANY_PORT),
            ("--peer-listen", ANY_PORT),
        ];
        let args: Vec<String> =
            flags.iter().flat_map(|(flag, value)| [flag.to_string(), value.to_string()]).collect();
        let program = ChildProgram::start(&self.daemon, &args, &self.environment).await?;
        let caller = program.address("caller")?;
        let spec = json!({
            "vm": name,
            "failure_domain": failure_domain,
            "caller_address": caller,
            "peer_address": program.address("peer")?,
            "phase": "live",
        });
        list_vm(&self.platform, &name, &spec).await?;
        Ok(FleetVm { name, failure_domain: failure_domain.to_string(), caller, program })
    }
}

/// Puts a VM into the platform's list.
async fn list_vm(platform: &str, name: &str, spec: &Value) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/vms");
    let object = json!({"kind": "vms", "metadata": {"name": name}, "spec": spec});
    let reply = awc::Client::default().post(url).send_json(&object).await;
    expect_success(reply.map(|reply| reply.status()), "VM can't be listed")
}

/// Takes a VM out of the platform's list.
async fn unlist_vm(platform: &str, name: &str) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/vms/{name}");
    let reply = awc::Client::default().delete(url).send().await;
    expect_success(reply.map(|reply| reply.status()), "VM can't be taken from the list")
}

/// Writes another rate into a customer's contract.
pub(crate) async fn limit_customer(platform: &str, customer: &str, rate: f64) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/contracts/{customer}");
    let client = awc::Client::default();
    let mut reply = client.get(&url).send().await.map_err(|error| eyre!("no contract: {error}"))?;
    let mut object: ObjectDocument = serde_json::from_slice(&reply.body().await?)?;
    object.spec["requests_per_second"] = json!(rate);
    let reply = client.put(&url).send_json(&object).await;
    expect_success(reply.map(|reply| reply.status()), "contract can't be changed")
}

/// Turns an unsuccessful reply into an error.
fn expect_success(
    status: Result<awc::http::StatusCode, awc::error::SendRequestError>,
    problem: &str,
) -> eyre::Result<()> {
    let status = status.map_err(|error| eyre!("{problem}: {error}"))?;
    eyre::ensure!(status.is_success(), "{problem}: HTTP {status}");
    Ok(())
}
