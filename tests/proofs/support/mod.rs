//! Fleets for the proofs.

mod bookings;
mod caller;
mod checker;
mod fleet;
mod process;
mod workload;

pub(crate) use bookings::BookingRecord;
pub(crate) use bookings::CLASS;
pub(crate) use bookings::CUSTOMER;
pub(crate) use bookings::KeyTry;
pub(crate) use bookings::SERVICE;
pub(crate) use bookings::runs_of;
pub(crate) use caller::TestCaller;
pub(crate) use checker::AnswerChecker;
pub(crate) use fleet::TestFleet;
pub(crate) use fleet::vm_settings;
pub(crate) use process::ProcessFleet;
pub(crate) use workload::PAIRED_SERVICES;
pub(crate) use workload::SearchFleet;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Longest time that any condition of a test is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// One fleet at a time, so that tests don't take each other's processor time.
static FLEET_TURN: Mutex<()> = Mutex::new(());

/// Waits for this test's turn; hold the guard while the fleet runs.
pub(crate) fn take_turn() -> MutexGuard<'static, ()> {
    FLEET_TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until `condition` holds; panics with `what` when it never does.
pub(crate) async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "never happened: {what}");
        tokio::time::sleep(POLL).await;
    }
}
