//! The whole tier in one process: stand-ins, three VMs and the load on loopback.

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

/// VMs of the demo.
const VM_COUNT: usize = 3;
/// Listens at any free port of the loopback.
const ANY_PORT: &str = "127.0.0.1:0";
/// Time between two looks at a VM that is not ready.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Looks at a VM before the demo gives up.
const READY_LOOKS: usize = 500;

/// What shapes the demo.
#[derive(Clone, Debug, PartialEq)]
pub struct DemoSettings {
    /// How long requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Requests a second for each deployment.
    pub rate: f64,
    /// Seed of the load and of the stand-ins.
    pub seed: u64,
}

/// Serves both deployments and puts them under load. Call it within an actix runtime.
///
/// # Errors
///
/// When a port can't be bound or a VM does not get ready.
pub async fn run_demo(settings: &DemoSettings) -> eyre::Result<RunReport> {
    let standin = StandinServer::start(StandinSettings {
        deployments: oleanderwind_standin::DeploymentName::ALL.to_vec(),
        seed: settings.seed,
        ..StandinSettings::default()
    })
    .wrap_err("the stand-ins can't be started")?;
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

/// Settings of one VM.
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

/// Settings of the load against `daemons`.
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

/// The stand-ins' contracts.
pub(crate) fn standin_contracts() -> eyre::Result<Vec<CustomerContract>> {
    let provider = StandinSettings::default().providers[0].clone();
    let mut contracts = Vec::new();
    for deployment in oleanderwind_standin::DeploymentName::ALL {
        contracts.push(CustomerContract::try_from(&deployment.plan(&provider).contract)?);
    }
    Ok(contracts)
}

/// Waits until a VM says that it is ready.
pub(crate) async fn wait_until_ready(address: &str) -> eyre::Result<()> {
    let client = awc::Client::default();
    for _ in 0..READY_LOOKS {
        let url = format!("http://{address}/readyz");
        if client.get(url).send().await.is_ok_and(|reply| reply.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
    eyre::bail!("the VM at {address} does not get ready")
}
