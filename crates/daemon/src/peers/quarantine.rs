//! Quarantine of work that may end targets: evidence from this VM and from peers, and trials.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::select_ok;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::QuarantineEngine;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetEnd;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TrialDecision;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_policy::WorkVerdict;
use oleanderwind_policy::trial_arbiters;
use oleanderwind_wire::peer;
use oleanderwind_wire::peer::TrialReply;
use oleanderwind_wire::peer::TrialRequest;

use crate::peers::service::PeerService;
use crate::time::milliseconds;

/// Number of VMs that are asked for a trial if the first ones can't be reached.
const MAX_ARBITERS_ASKED: usize = 2;
/// Maximum time for which a trial counts as under way if its end is not reported.
const MAX_TRIAL_HOLD: Duration = Duration::from_secs(30);
/// Number of peers to which a VM relays news.
const RELAY_FANOUT: usize = 3;
/// Minimum time between two rounds of news of suspect work.
const NEWS_INTERVAL: Duration = Duration::from_millis(20);
/// Number of peers that a starting VM asks for what they know.
const STARTUP_PEERS: usize = 3;
/// Time for which a starting VM waits for their replies.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(400);

/// Answer to a VM that asks for a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TrialAnswer {
    /// The arbiter permits it, and is told of its end.
    Granted {
        /// The VM that permits it.
        arbiter: VmId,
        /// What it knows of the work.
        known: WorkRecord,
    },
    /// Another trial of the work, or on the target, is under way.
    Wait,
    /// The service has to recover first from targets that trials ended.
    Postponed,
    /// The work is clear or blocked by now.
    Unneeded,
    /// No VM that could permit it can be reached.
    Unreachable,
}

/// Verdicts and evidence.
impl PeerService {
    /// Returns whether nothing is held against any work.
    pub(crate) fn is_quarantine_idle(&self) -> bool {
        self.state.borrow().quarantine.is_idle()
    }

    /// Returns what may be done with the work.
    pub(crate) fn work_verdict(&self, work: &WorkFingerprint) -> WorkVerdict {
        self.state.borrow().quarantine.verdict(work, Instant::now())
    }

    /// Records that work with this hash was answered.
    pub(crate) fn record_recent_answer(&self, hash: u64) {
        self.state.borrow_mut().quarantine.record_recent_answer(hash, Instant::now());
    }

    /// Returns whether work with this hash was answered recently.
    pub(crate) fn is_recently_answered(&self, hash: u64) -> bool {
        self.state.borrow().quarantine.is_recently_answered(hash, Instant::now())
    }

    /// Records that a process of a target ended under the work, and tells the peers; returns whether that is
    /// news.
    pub(crate) fn record_target_end(
        self: &Rc<Self>,
        work: WorkFingerprint,
        service: &ServiceId,
        end: TargetEnd,
    ) -> bool {
        self.change_quarantine(|quarantine, now| quarantine.record_end(work, service, end, now))
    }

    /// Clears the work and tells the peers; returns whether that is news.
    pub(crate) fn clear_work(self: &Rc<Self>, work: &WorkFingerprint) -> bool {
        self.change_quarantine(|quarantine, now| quarantine.clear(work, now))
    }

    /// Blocks the work by an operator's order and tells the peers; returns whether that is news.
    pub(crate) fn block_work(self: &Rc<Self>, work: WorkFingerprint, service: &ServiceId) -> bool {
        self.change_quarantine(|quarantine, now| quarantine.block(work, service, now))
    }

    /// Returns what is known of the work.
    pub(crate) fn work_record(&self, work: &WorkFingerprint) -> Option<WorkRecord> {
        self.state.borrow().quarantine.record(work, Instant::now())
    }

    /// Returns what is known of all work, newest first.
    pub(crate) fn work_records(&self) -> Vec<WorkRecord> {
        self.state.borrow().quarantine.records(Instant::now())
    }

    fn change_quarantine(
        self: &Rc<Self>,
        change: impl FnOnce(&mut QuarantineEngine, Instant) -> bool,
    ) -> bool {
        let is_news = change(&mut self.state.borrow_mut().quarantine, Instant::now());
        if is_news {
            self.spread_works(MembershipEngine::NOTIFY_FANOUT);
        }
        is_news
    }

    /// Tells `fanout` peers the news at once, or together with what follows if it told some a moment ago: when many
    /// targets end at once, many works become suspect.
    fn spread_works(self: &Rc<Self>, fanout: usize) {
        let now = Instant::now();
        let due = self.works_told_at.get().map_or(now, |at| at + NEWS_INTERVAL);
        if due <= now {
            self.works_told_at.set(Some(now));
            return self.notify(fanout);
        }
        let waiting_fanout = self.untold_works_fanout.get();
        self.untold_works_fanout.set(waiting_fanout.max(fanout));
        if waiting_fanout == 0 {
            let peers = self.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep_until(due.into()).await;
                peers.works_told_at.set(Some(Instant::now()));
                peers.notify(peers.untold_works_fanout.take());
            });
        }
    }
}

/// News between VMs.
impl PeerService {
    /// Adds this VM's digest and news to a heartbeat, or to the reply to a peer with another digest what that
    /// peer may lack.
    pub(crate) fn add_works(&self, message: &mut peer::ExchangeMessage, peer_digest: Option<u64>) {
        let state = self.state.borrow();
        let now = Instant::now();
        message.work_digest = state.quarantine.digest(now);
        let records = match peer_digest {
            Some(digest) if digest != message.work_digest => state.quarantine.shared_records(now),
            _ => state.quarantine.news(now),
        };
        message.works = records.iter().map(peer::WorkRecord::from).collect();
    }

    /// Merges records from a peer and relays those that are news.
    pub(crate) fn handle_peer_works(self: &Rc<Self>, raw: &[peer::WorkRecord]) {
        let mut has_news = false;
        for raw in raw {
            match WorkRecord::try_from(raw) {
                Ok(record) => has_news |= self.merge_work(&record),
                Err(findings) => log::warn!("record of suspect work is invalid: {findings}"),
            }
        }
        if has_news {
            self.spread_works(RELAY_FANOUT);
        }
    }

    /// Merges a record from a peer; returns whether it is news.
    fn merge_work(&self, record: &WorkRecord) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let is_blocked = |quarantine: &QuarantineEngine| {
            quarantine.verdict(&record.work, now).retry_after().is_some()
        };
        let was_blocked = is_blocked(&state.quarantine);
        let is_news = state.quarantine.merge(record, now);
        if is_news && is_blocked(&state.quarantine) && !was_blocked {
            log::warn!(work:% = record.work, service = record.service.as_ref(), source = "peer"; "work is blocked");
        }
        is_news
    }

    /// Learns from peers what is held against work and which targets have rate limits, before this VM serves.
    pub(crate) async fn learn_works(self: &Rc<Self>) {
        let peers = self.state.borrow_mut().membership.sample_peers(STARTUP_PEERS);
        if peers.is_empty() {
            return;
        }
        let ask = |vm: VmId| {
            let peers = self.clone();
            Box::pin(async move {
                let address = peers.peer_address(&vm).ok_or(())?;
                let message = peers.own_message();
                let reply = peers.clients.exchange(address, message).await.ok_or(())?;
                peers.handle_peer_works(&reply.works);
                peers.handle_peer_limits(&reply.limits);
                peers.handle_peer_evacuations(&reply.evacuations);
                Ok::<(), ()>(())
            })
        };
        let answers = select_ok(peers.into_iter().map(ask));
        if tokio::time::timeout(STARTUP_TIMEOUT, answers).await.is_err() {
            log::warn!(
                "no peer told in time what work may end targets and which targets have rate limits"
            );
        }
    }
}

/// Trials.
impl PeerService {
    /// Asks for a trial of the work on a target. It counts as under way for `hold` if its end is not reported.
    pub(crate) async fn begin_trial(
        self: &Rc<Self>,
        work: &WorkFingerprint,
        target: &TargetId,
        hold: Duration,
    ) -> TrialAnswer {
        let Some(record) = self.work_record(work) else { return TrialAnswer::Unneeded };
        for arbiter in self.arbiters(&record.service).into_iter().take(MAX_ARBITERS_ASKED) {
            let decision = match arbiter == self.settings.vm {
                true => Some(self.decide_trial(&record, target, hold)),
                false => self.ask_trial(&arbiter, &record, target, hold).await,
            };
            match decision {
                Some(TrialDecision::Granted) => {
                    return match self.work_record(work) {
                        Some(known) => TrialAnswer::Granted { arbiter, known },
                        None => TrialAnswer::Unneeded,
                    };
                }
                Some(TrialDecision::Wait) => return TrialAnswer::Wait,
                Some(TrialDecision::Postponed) => return TrialAnswer::Postponed,
                Some(TrialDecision::Unneeded) => return TrialAnswer::Unneeded,
                None => {}
            }
        }
        TrialAnswer::Unreachable
    }

    /// Reports to the arbiter that a trial is over.
    pub(crate) fn end_trial(
        self: &Rc<Self>,
        work: &WorkFingerprint,
        target: &TargetId,
        arbiter: &VmId,
        is_unclear: bool,
    ) {
        let Some(record) = self.work_record(work) else { return };
        if *arbiter == self.settings.vm {
            let mut state = self.state.borrow_mut();
            state.quarantine.end_trial(&record, target, is_unclear, Instant::now());
            return;
        }
        let Some(address) = self.peer_address(arbiter) else { return };
        let request = TrialRequest {
            is_over: true,
            is_unclear,
            ..trial_request(&record, target, Duration::ZERO)
        };
        let peers = self.clone();
        // The arbiter's hold ends by itself if this report is lost.
        actix_rt::spawn(async move { drop(peers.clients.trial(address, request).await) });
    }

    /// Handles a peer's request for a trial, or its report of the end of one.
    pub(crate) fn handle_trial(self: &Rc<Self>, request: &TrialRequest) -> Option<TrialReply> {
        let raw = request.record.as_ref()?;
        let record = match WorkRecord::try_from(raw) {
            Ok(record) => record,
            Err(findings) => {
                log::warn!("request for a trial is invalid: {findings}");
                return None;
            }
        };
        let target: TargetId = request.target.as_str().into();
        let decision = match request.is_over {
            true => {
                let now = Instant::now();
                let mut state = self.state.borrow_mut();
                let is_news = state.quarantine.end_trial(&record, &target, request.is_unclear, now);
                drop(state);
                if is_news {
                    self.spread_works(RELAY_FANOUT);
                }
                TrialDecision::Unneeded
            }
            false => {
                let hold = Duration::from_millis(request.hold_ms.into()).min(MAX_TRIAL_HOLD);
                self.decide_trial(&record, &target, hold)
            }
        };
        let held = self.work_record(&record.work);
        Some(TrialReply {
            decision: peer::TrialDecision::from(decision).into(),
            record: held.as_ref().map(peer::WorkRecord::from),
        })
    }

    /// Returns the VMs that may permit trials of a service's work, in the order in which they are asked.
    fn arbiters(&self, service: &str) -> Vec<VmId> {
        trial_arbiters(service, &self.deciding_vms())
    }

    fn decide_trial(
        &self,
        record: &WorkRecord,
        target: &TargetId,
        hold: Duration,
    ) -> TrialDecision {
        let now = Instant::now();
        self.state.borrow_mut().quarantine.begin_trial(record, target, hold, now)
    }

    /// Asks a peer for a trial; returns `None` if it does not answer.
    async fn ask_trial(
        self: &Rc<Self>,
        arbiter: &VmId,
        record: &WorkRecord,
        target: &TargetId,
        hold: Duration,
    ) -> Option<TrialDecision> {
        let address = self.peer_address(arbiter)?;
        let request = trial_request(record, target, hold);
        let reply = self.clients.trial(address, request).await?;
        if let Some(Ok(held)) = reply.record.as_ref().map(WorkRecord::try_from) {
            self.merge_work(&held);
        }
        TrialDecision::try_from(reply.decision()).ok()
    }
}

fn trial_request(record: &WorkRecord, target: &TargetId, hold: Duration) -> TrialRequest {
    TrialRequest {
        record: Some(record.into()),
        target: target.to_string(),
        hold_ms: u32::try_from(milliseconds(hold)).unwrap_or(u32::MAX),
        is_over: false,
        is_unclear: false,
    }
}
