//! Starts, registers and replaces the VMs of a trial.

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

/// Listen address for any free loopback port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Time limit for a VM to exit after `TERM`.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// The VMs of a trial, each a daemon in its own process.
#[derive(Debug)]
pub(crate) struct VmFleet {
    daemon: PathBuf,
    environment: Vec<(String, String)>,
    platform: String,
    vms: Vec<FleetVm>,
    start_count: usize,
}

/// A running VM and its daemon.
#[derive(Debug)]
struct FleetVm {
    name: String,
    failure_domain: String,
    caller_address: String,
    program: ChildProgram,
}

impl VmFleet {
    /// Creates a fleet without VMs.
    pub(crate) fn new(
        daemon: PathBuf,
        environment: &BTreeMap<String, String>,
        platform: String,
    ) -> VmFleet {
        let pairs = environment.iter();
        let environment = pairs.map(|(name, value)| (name.clone(), value.clone())).collect();
        VmFleet { daemon, environment, platform, vms: Vec::new(), start_count: 0 }
    }

    /// Starts and registers `count` VMs and waits until all are ready.
    pub(crate) async fn start(&mut self, count: usize) -> eyre::Result<()> {
        for index in 1..=count {
            let vm = self.start_vm(&format!("fd-{index}"), ANY_PORT).await?;
            self.vms.push(vm);
        }
        for vm in &self.vms {
            wait_until_ready(&vm.caller_address).await?;
        }
        Ok(())
    }

    /// Returns the address of each VM's caller listener.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        self.vms.iter().map(|vm| vm.caller_address.clone()).collect()
    }

    /// Returns the process id of each VM's daemon.
    pub(crate) fn pids(&self) -> Vec<u32> {
        self.vms.iter().map(|vm| vm.program.pid()).collect()
    }

    /// Replaces the VMs in turn until the future is dropped. Waits for `interval` before each
    /// replacement.
    pub(crate) async fn replace_forever(&mut self, interval: Duration) -> eyre::Result<()> {
        for index in (0..self.vms.len()).cycle() {
            tokio::time::sleep(interval).await;
            self.replace(index).await?;
        }
        Ok(())
    }

    /// Stops a VM gracefully and starts a new one at the same caller address.
    async fn replace(&mut self, index: usize) -> eyre::Result<()> {
        let vm = &mut self.vms[index];
        deregister_vm(&self.platform, &vm.name).await?;
        vm.program.stop(STOP_TIMEOUT).await?;
        let (failure_domain, caller_address) =
            (vm.failure_domain.clone(), vm.caller_address.clone());
        self.vms[index] = self.start_vm(&failure_domain, &caller_address).await?;
        wait_until_ready(&caller_address).await
    }

    /// Starts and registers a VM. `caller_listen` is the `ip:port` of its caller listener.
    async fn start_vm(
        &mut self,
        failure_domain: &str,
        caller_listen: &str,
    ) -> eyre::Result<FleetVm> {
        self.start_count += 1;
        let name = format!("vm-{}", self.start_count);
        let flags = [
            ("--vm", name.as_str()),
            ("--failure-domain", failure_domain),
            ("--platform", &self.platform),
            ("--caller-listen", caller_listen),
            ("--admin-listen", ANY_PORT),
            ("--peer-listen", ANY_PORT),
        ];
        let args: Vec<String> =
            flags.iter().flat_map(|(flag, value)| [flag.to_string(), value.to_string()]).collect();
        let program = ChildProgram::start(&self.daemon, &args, &self.environment).await?;
        let caller_address = program.address("caller")?;
        let spec = json!({
            "vm": name,
            "failure_domain": failure_domain,
            "caller_address": caller_address,
            "peer_address": program.address("peer")?,
            "phase": "live",
        });
        register_vm(&self.platform, &name, &spec).await?;
        Ok(FleetVm { name, failure_domain: failure_domain.to_string(), caller_address, program })
    }
}

/// Adds a VM to the platform's `vms` objects.
async fn register_vm(platform: &str, name: &str, spec: &Value) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/vms");
    let object = json!({"kind": "vms", "metadata": {"name": name}, "spec": spec});
    let reply = awc::Client::default().post(url).send_json(&object).await;
    expect_success(reply.map(|reply| reply.status()), "failed to register the VM")
}

/// Deletes a VM from the platform's `vms` objects.
async fn deregister_vm(platform: &str, name: &str) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/vms/{name}");
    let reply = awc::Client::default().delete(url).send().await;
    expect_success(reply.map(|reply| reply.status()), "failed to deregister the VM")
}

/// Sets the rate limit in a customer's contract, in requests per second.
pub(crate) async fn set_rate_limit(platform: &str, customer: &str, rate: f64) -> eyre::Result<()> {
    let url = format!("http://{platform}{API_PREFIX}/contracts/{customer}");
    let client = awc::Client::default();
    let mut reply = client
        .get(&url)
        .send()
        .await
        .map_err(|error| eyre!("failed to read the contract: {error}"))?;
    let mut object: ObjectDocument = serde_json::from_slice(&reply.body().await?)?;
    object.spec["requests_per_second"] = json!(rate);
    let reply = client.put(&url).send_json(&object).await;
    expect_success(reply.map(|reply| reply.status()), "failed to update the contract")
}

/// Fails with `problem` when the call failed or its status is not 2xx.
fn expect_success(
    status: Result<awc::http::StatusCode, awc::error::SendRequestError>,
    problem: &str,
) -> eyre::Result<()> {
    let status = status.map_err(|error| eyre!("{problem}: {error}"))?;
    eyre::ensure!(status.is_success(), "{problem}: HTTP {status}");
    Ok(())
}
