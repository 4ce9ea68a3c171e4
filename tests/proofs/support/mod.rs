//! Test fleets, callers and answer checks.

mod caller;
mod checker;
mod fleet;
mod operations;
mod process;
mod workload;

pub(crate) use caller::TestCaller;
pub(crate) use checker::AnswerChecker;
pub(crate) use fleet::TestFleet;
pub(crate) use fleet::vm_settings;
pub(crate) use operations::CLASS;
pub(crate) use operations::CUSTOMER;
pub(crate) use operations::KeyAttempt;
pub(crate) use operations::OperationRecorder;
pub(crate) use operations::SERVICE;
pub(crate) use operations::count_runs;
pub(crate) use process::ProcessFleet;
pub(crate) use workload::PAIRED_SERVICES;
pub(crate) use workload::SearchFleet;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Longest wait of [`wait_for`].
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serializes the tests' fleets, so that they don't compete for processor time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other fleet runs; the returned guard must live as long as the fleet.
pub(crate) fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics with `description` when the condition does not hold within [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_for(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "condition not met before the timeout: {description}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
