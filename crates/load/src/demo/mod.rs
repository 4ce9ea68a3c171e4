//! Runs stand-ins, three VMs and a load in one process, on loopback.

use std::time::Duration;

use eyre::Context;
use oleanderwind_daemon::Daemon;
use oleanderwind_daemon::DaemonSettings;
use oleanderwind_daemon::RawSettings;
use oleanderwind_policy::CustomerContract;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;

use crate::DeploymentName;
use crate::RunReport;
use crate::RunSettings;
use crate::run_load;

/// Number of VMs in the demo.
const VM_COUNT: usize = 3;
/// Listen address for any free loopback port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Interval between readiness checks of a VM.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of readiness checks of a VM.
const MAX_READY_CHECKS: usize = 500;

/// Settings of the demo.
#[derive(Clone, Debug, PartialEq)]
pub struct DemoSettings {
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Request rate of each deployment, in requests per second.
    pub rate: f64,
    /// Random seed of the load and the stand-ins.
    pub seed: u64,
}

/// Serves both deployments and sends them a load. Must be called within an actix runtime.
///
/// # Errors
///
/// Fails when a port can't be bound, a VM does not become ready or the load can't be run.
pub async fn run_demo(settings: &DemoSettings) -> eyre::Result<RunReport> {
    let standin = StandinServer::start(StandinSettings {
        deployments: oleanderwind_standin::DeploymentName::ALL.to_vec(),
        seed: settings.seed,
        ..StandinSettings::default()
    })
    .wrap_err("failed to start the stand-ins")?;
    let mut daemons = Vec::new();
    for index in 1..=VM_COUNT {
        let platform = standin.platform_address().to_string();
        daemons.push(Daemon::start(vm_settings(index, platform)?).await?);
    }
    for daemon in &daemons {
        wait_until_ready(&daemon.addresses().caller.to_string()).await?;
    }
    run_load(&load_settings(settings, &daemons), &standin_contracts()?).await
}

/// Returns the settings of one VM.
fn vm_settings(index: usize, platform: String) -> eyre::Result<DaemonSettings> {
    let raw = RawSettings {
        vm: Some(format!("vm-{index}")),
        failure_domain: Some(format!("fd-{index}")),
        platform: Some(platform),
        caller_listen: Some(ANY_PORT.to_string()),
        admin_listen: Some(ANY_PORT.to_string()),
        peer_listen: Some(ANY_PORT.to_string()),
        ..RawSettings::default()
    };
    Ok(DaemonSettings::try_from(&raw)?)
}

/// Returns the settings of the load on `daemons`.
fn load_settings(settings: &DemoSettings, daemons: &[Daemon]) -> RunSettings {
    let addresses: Vec<String> =
        daemons.iter().map(|daemon| daemon.addresses().caller.to_string()).collect();
    RunSettings {
        deployments: vec![DeploymentName::Tsagaan, DeploymentName::Haneul],
        seed_addresses: addresses.clone(),
        rate: settings.rate,
        duration_ms: settings.duration_ms,
        seed: settings.seed,
        metrics_addresses: addresses,
        pids: vec![std::process::id()],
        ..RunSettings::default()
    }
}

/// Returns the contracts of the stand-ins' deployments.
pub(crate) fn standin_contracts() -> eyre::Result<Vec<CustomerContract>> {
    let provider = StandinSettings::default().providers[0].clone();
    let mut contracts = Vec::new();
    for deployment in oleanderwind_standin::DeploymentName::ALL {
        contracts.push(CustomerContract::try_from(&deployment.plan(&provider).contract)?);
    }
    Ok(contracts)
}

/// Polls `/readyz` of a VM until it answers with success.
///
/// # Errors
///
/// Fails when the VM is not ready after [`MAX_READY_CHECKS`] checks.
pub(crate) async fn wait_until_ready(address: &str) -> eyre::Result<()> {
    let client = awc::Client::default();
    for _ in 0..MAX_READY_CHECKS {
        let url = format!("http://{address}/readyz");
        if client.get(url).send().await.is_ok_and(|reply| reply.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    eyre::bail!("VM at {address} is not ready after {MAX_READY_CHECKS} checks of /readyz")
}
