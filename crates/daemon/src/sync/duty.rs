//! When this VM begins and ends its watches.

use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use oleanderwind_policy::DutyStep;
use oleanderwind_policy::OutageTracker;

use crate::sync::HOLDER_POLL_INTERVAL;
use crate::sync::SyncTask;

/// Time for which other VMs must have been the watch holders before a VM closes its watches. It is
/// two heartbeat rounds, so that a short suspicion causes no calls to the platform.
const RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Begin and end of the watches.
impl SyncTask {
    /// Returns whether this VM should call the platform now.
    pub(super) fn is_on_duty(&self) -> bool {
        let mut duty = self.duty.get();
        let refused_vms = self.peers.refused_domain_vms();
        let step = duty.update(self.peers.watch_role(), refused_vms, Instant::now());
        self.duty.set(duty);
        match step {
            DutyStep::Rest => false,
            DutyStep::TakeOver => {
                log::info!(
                    refused = refused_vms, revision = self.peers.complete_revision();
                    "the platform refuses watch holders of this failure domain, this VM takes over"
                );
                self.update_outages(OutageTracker::record_takeover);
                true
            }
            DutyStep::Hold => true,
        }
    }

    /// Tells peers whenever the platform begins or ceases to refuse this VM.
    pub(super) async fn follow_refusals(&self) {
        loop {
            let change = match self.peers.update_refusal() {
                Some(due_at) => tokio::time::sleep_until(due_at.into()).left_future(),
                None => std::future::pending().right_future(),
            };
            tokio::select! {
                () = change => {}
                () = self.refusal_changes.notified() => {}
            }
        }
    }

    /// Waits until other VMs have been the watch holders for [`RELEASE_DELAY`].
    pub(super) async fn wait_for_other_holders(&self) {
        let mut since = Instant::now();
        while since.elapsed() < RELEASE_DELAY {
            tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
            if !self.directory.is_configured() || self.peers.is_watch_holder() {
                since = Instant::now();
            }
        }
    }

    /// Waits until a list has to show which of the entries that vanished in an outage are back.
    pub(super) async fn wait_for_removal_check(&self) {
        match self.outages.get().check_due_at() {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until this VM hears no peer, and the platform has been silent for longer than the calls
    /// of a lone VM wait. Its open calls may wait longer, as they began among peers.
    pub(super) async fn wait_for_lone_silence(&self) {
        let limit = self.pace.lone_silence_limit();
        while !(self.peers.is_only_watch_holder() && self.peers.is_platform_silent(limit)) {
            tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
        }
        log::info!(
            silent_ms = self.word_age_ms();
            "no word from the platform and no peer to ask, the watches begin anew"
        );
    }

    /// Waits until peers hold changes that this VM's watches should have brought.
    pub(super) async fn wait_for_lead_of_peers(&self) {
        loop {
            if let Some(revision) = self.peers.begin_watch_check() {
                let held = self.peers.complete_revision();
                log::info!(
                    revision = revision,
                    held = held,
                    silent_ms = self.word_age_ms();
                    "peers are ahead of the watches, which begin anew"
                );
                return;
            }
            tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
        }
    }
}
