//! Calls whose work may end targets: the gate before each call, and the evidence after it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::CallId;
use oleanderwind_policy::ServiceId;
use oleanderwind_policy::TargetEnd;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::VmId;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_policy::WorkVerdict;

use crate::fanout::FanoutService;
use crate::fanout::QueryWork;
use crate::peers::TrialAnswer;
use crate::targets::EndSign;
use crate::targets::TargetProcess;
use crate::time::milliseconds;

/// Interval at which a call that waits for a trial asks again.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after it was asked for within which a trial must be sent.
const TRIAL_SEND_TIME: Duration = Duration::from_millis(500);
/// Time beyond the call's own for which a trial counts as under way if its end is not reported.
const TRIAL_HOLD_MARGIN: Duration = Duration::from_secs(1);
/// Delay suggested to callers of suspect work that could not be tried.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time without a reply after which a call that is cancelled may have met a silent host. The users' targets pause
/// for up to 250 ms.
const SILENT_CALL_TIME: Duration = Duration::from_millis(300);
/// Time in which a process that closed a connection because it is ending closes its listener. It is waited for before
/// the call is repeated.
const ENDING_TIME: Duration = Duration::from_millis(15);
/// Time in which a process that is slow to end is gone, or the entry of one that was started at once is listed.
const PROCESS_WATCH_TIME: Duration = Duration::from_secs(3);
/// Time in which connections find out whether a process is gone, unless the call was a trial.
const PROCESS_PROBE_TIME: Duration = Duration::from_millis(400);
/// Time after which it is looked at first; doubled each time.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a call may be sent.
enum GatePass {
    /// It may.
    Open,
    /// It may, as a trial.
    Trial(TrialPermit),
    /// It must not; the caller may return after this time.
    Closed(Duration),
}

/// Permission for one trial. Its end is reported when it is dropped.
struct TrialPermit {
    reservation: LocalTrial,
    target: TargetId,
    arbiter: VmId,
    asked_at: Instant,
    /// The same time on the wall clock, which keeps running while the VM is suspended.
    asked_at_wall: SystemTime,
    /// What was known of the work when it was granted.
    known: WorkRecord,
    /// Whether the call got no reply and its target seems to live.
    is_unclear: Cell<bool>,
}

impl TrialPermit {
    /// Returns whether the trial may still be sent.
    fn is_valid(&self) -> bool {
        let wall = self.asked_at_wall.elapsed();
        self.asked_at.elapsed() < TRIAL_SEND_TIME
            && wall.is_ok_and(|elapsed| elapsed < TRIAL_SEND_TIME)
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        let LocalTrial { fanout, work } = &self.reservation;
        fanout.peers.end_trial(work, &self.target, &self.arbiter, self.is_unclear.get());
    }
}

/// A call, as far as its end is evidence for or against its work.
pub(crate) struct CallWitness {
    /// Id of the call at the engine and the number of shards of its query; `None` for a call of the ledger.
    query_call: Option<(CallId, usize)>,
    pub(crate) work: Rc<QueryWork>,
    pub(crate) service: ServiceId,
    pub(crate) target: TargetId,
    /// The target's process, and when the call was sent to it.
    sent: Cell<Option<(TargetProcess, Instant)>>,
    permit: RefCell<Option<TrialPermit>>,
}

impl CallWitness {
    /// Returns the witness of a call that is not sent yet.
    pub(crate) fn new(
        query_call: Option<(CallId, usize)>,
        work: Rc<QueryWork>,
        service: ServiceId,
        target: TargetId,
    ) -> CallWitness {
        CallWitness {
            query_call,
            work,
            service,
            target,
            sent: Cell::new(None),
            permit: RefCell::new(None),
        }
    }

    /// Returns whether the query has calls to other shards.
    fn has_other_shards(&self) -> bool {
        self.query_call.is_some_and(|(_, shards)| shards > 1)
    }

    /// Records that the call is sent now.
    fn mark_sent(&self, process: Option<TargetProcess>) {
        self.sent.set(process.map(|process| (process, Instant::now())));
    }

    /// Returns the target's process and when the call was sent to it.
    pub(crate) fn sent(&self) -> Option<(TargetProcess, Instant)> {
        self.sent.get()
    }

    /// Returns whether the call was sent so long ago that its target may be silent.
    pub(crate) fn may_be_silent(&self) -> bool {
        self.sent.get().is_some_and(|(_, at)| at.elapsed() >= SILENT_CALL_TIME)
    }
}

/// The gate before each call.
impl FanoutService {
    /// Returns what may be done with the work. Its fingerprint is not computed while nothing is held against any
    /// work.
    fn verdict(&self, work: &QueryWork) -> WorkVerdict {
        match self.peers.is_quarantine_idle() {
            true => WorkVerdict::Clear,
            false => self.peers.work_verdict(work.fingerprint()),
        }
    }

    /// Returns for how long the work is blocked, if it is.
    pub(crate) fn blocked_time(&self, work: &QueryWork) -> Option<Duration> {
        self.verdict(work).retry_after()
    }

    /// Waits until a call may be sent, if its work is suspect; a permit is kept in the witness.
    ///
    /// Returns the time after which the caller may return if the call must not be sent.
    pub(crate) async fn pass_gate(
        self: &Rc<Self>,
        witness: &CallWitness,
        deadline: Instant,
    ) -> Result<(), Duration> {
        match self.enter_gate(witness, deadline).await {
            GatePass::Open => Ok(()),
            GatePass::Trial(permit) => {
                log::info!(
                    work:% = permit.reservation.work,
                    target = permit.target.as_ref(),
                    arbiter = permit.arbiter.as_ref();
                    "trial of suspect work begins"
                );
                self.metrics.record_quarantine_step("trial");
                *witness.permit.borrow_mut() = Some(permit);
                Ok(())
            }
            GatePass::Closed(retry_after) => Err(retry_after),
        }
    }

    async fn enter_gate(self: &Rc<Self>, witness: &CallWitness, deadline: Instant) -> GatePass {
        loop {
            match self.verdict(&witness.work) {
                WorkVerdict::Clear => return GatePass::Open,
                WorkVerdict::Blocked { retry_after } => return GatePass::Closed(retry_after),
                WorkVerdict::Suspect => {}
            }
            let now = Instant::now();
            if now >= deadline {
                return GatePass::Closed(SUSPECT_RETRY_DELAY);
            }
            if let Some((call, _)) = witness.query_call
                && self.engine.borrow().is_last_live_replica(call, now)
            {
                // A trial may end the target. The answer of another shard may clear the work soon.
                if !witness.has_other_shards() {
                    return GatePass::Closed(SUSPECT_RETRY_DELAY);
                }
                tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
                continue;
            }
            let work = witness.work.fingerprint();
            let trial_end = self.trial_ends.notified();
            if !self.local_trials.borrow_mut().insert(*work) {
                let _ = tokio::time::timeout(TRIAL_POLL_INTERVAL, trial_end).await;
                continue;
            }
            match self.ask_for_trial(work, witness, deadline).await {
                Some(pass) => return pass,
                None => tokio::time::sleep(TRIAL_POLL_INTERVAL).await,
            }
        }
    }

    /// Asks for a trial; returns `None` if the answer is to ask again later.
    async fn ask_for_trial(
        self: &Rc<Self>,
        work: &WorkFingerprint,
        witness: &CallWitness,
        deadline: Instant,
    ) -> Option<GatePass> {
        let target = &witness.target;
        let reservation = LocalTrial { fanout: self.clone(), work: *work };
        let (asked_at, asked_at_wall) = (Instant::now(), SystemTime::now());
        let hold = deadline.saturating_duration_since(asked_at) + TRIAL_HOLD_MARGIN;
        match self.peers.begin_trial(work, target, hold).await {
            TrialAnswer::Granted { arbiter, known } => {
                let listed = self.targets.process(target);
                if listed.is_some_and(|process| known.has_ended(target, process.incarnation)) {
                    // Idle connections are those of a process that has ended.
                    self.targets.close_idle(target);
                }
                Some(GatePass::Trial(TrialPermit {
                    reservation,
                    target: target.clone(),
                    arbiter,
                    asked_at,
                    asked_at_wall,
                    known,
                    is_unclear: Cell::new(false),
                }))
            }
            TrialAnswer::Wait | TrialAnswer::Unneeded => None,
            TrialAnswer::Postponed => Some(GatePass::Closed(SUSPECT_RETRY_DELAY)),
            // The answer of another shard may clear the work.
            TrialAnswer::Unreachable if witness.has_other_shards() => None,
            TrialAnswer::Unreachable => {
                log::warn!(work:% = work; "suspect work is refused: no VM that permits trials can be reached");
                Some(GatePass::Closed(SUSPECT_RETRY_DELAY))
            }
        }
    }

    /// Returns whether the call may leave now that its connection is free; if so, it counts as sent.
    pub(crate) fn may_leave(&self, witness: &CallWitness) -> bool {
        let may_leave = match witness.permit.borrow().as_ref() {
            Some(permit) => permit.is_valid(),
            None => self.verdict(&witness.work) == WorkVerdict::Clear,
        };
        if may_leave {
            witness.mark_sent(self.targets.process(&witness.target));
        }
        may_leave
    }
}

/// The one trial of a work that this VM has or asks for at a time; gives it back when dropped.
struct LocalTrial {
    fanout: Rc<FanoutService>,
    work: WorkFingerprint,
}

impl Drop for LocalTrial {
    fn drop(&mut self) {
        self.fanout.local_trials.borrow_mut().remove(&self.work);
        self.fanout.trial_ends.notify_waiters();
    }
}

/// The evidence after each call.
impl FanoutService {
    /// Records that a target ran the call and goes on.
    pub(crate) fn record_survived(&self, witness: &CallWitness) {
        let permit = witness.permit.take();
        if self.peers.is_quarantine_idle() {
            return;
        }
        let work = witness.work.fingerprint();
        if self.peers.clear_work(work) {
            log::info!(
                work:% = work,
                target = witness.target.as_ref(),
                by = "answer";
                "work is cleared"
            );
            self.metrics.record_quarantine_step("cleared");
        }
        drop(permit);
    }

    /// Records that work was answered, so that it is not suspect for a while.
    pub(crate) fn record_answered_work(&self, work: &QueryWork) {
        self.peers.record_recent_answer(work.hash(self.hash_seed));
    }

    /// Finds out whether the target's process ended under a call that got no reply, and records it.
    ///
    /// Returns the time after which the caller may return if the call was a trial: it is not repeated for the same
    /// request.
    pub(crate) async fn examine_end(self: &Rc<Self>, witness: &CallWitness) -> Option<Duration> {
        let permit = witness.permit.take();
        let (process, sent_at) = witness.sent.get()?;
        let is_trial = permit.is_some();
        let hash = witness.work.hash(self.hash_seed);
        if !is_trial && self.peers.is_recently_answered(hash) {
            return None;
        }
        let (target, incarnation) = (&witness.target, process.incarnation);
        let end = match permit.as_ref() {
            Some(permit) => TargetEnd::in_trial(target, incarnation, &permit.known),
            None => TargetEnd::outside_trial(target, incarnation),
        };
        let evidence = EndEvidence {
            work: *witness.work.fingerprint(),
            hash,
            place: witness.work.place().to_owned(),
            service: witness.service.clone(),
            target: target.clone(),
            process,
            end,
        };
        let sign = self.targets.end_sign(&witness.target, process, ENDING_TIME).await;
        if self.proves_end(sign, sent_at) {
            self.record_end(&evidence);
        } else {
            permit.iter().for_each(|permit| permit.is_unclear.set(true));
            actix_rt::spawn(watch_process(self.clone(), evidence, sent_at));
        }
        is_trial.then(|| self.blocked_time(&witness.work).unwrap_or(SUSPECT_RETRY_DELAY))
    }

    /// Returns whether a sign that a target ended under a call sent at `sent_at` proves it.
    ///
    /// A silent host proves it only if another target has replied since, as this VM's own links may be cut, and a
    /// refused connection only as long as targets are reached.
    fn proves_end(&self, sign: Option<EndSign>, sent_at: Instant) -> bool {
        match sign {
            Some(EndSign::Succeeded) => true,
            Some(EndSign::Refused) => !self.is_cut_off(),
            Some(EndSign::Silent) => self.reach.borrow().blames_target(sent_at) == Some(true),
            None => false,
        }
    }

    /// Records that a target ended under a call, unless the call's work was answered recently.
    fn record_end(&self, evidence: &EndEvidence) {
        let EndEvidence { work, service, target, process, end, .. } = evidence;
        if !end.in_trial && self.peers.is_recently_answered(evidence.hash) {
            return;
        }
        if !self.peers.record_target_end(*work, service, *end) {
            return;
        }
        let ends = self.peers.work_record(work).map_or(0, |record| record.counted_ends());
        let retry_after = self.peers.work_verdict(work).retry_after();
        log::warn!(
            work:% = work,
            place = evidence.place.as_str(),
            service = service.as_ref(),
            target = target.as_ref(),
            incarnation = process.incarnation,
            in_trial = end.in_trial,
            ends = ends,
            blocked_ms = retry_after.map(milliseconds);
            "target ended under a request"
        );
        self.metrics.record_quarantine_step(match retry_after {
            Some(_) => "blocked",
            None => "suspected",
        });
    }
}

/// A call that got no reply, and whose target may have ended under it.
struct EndEvidence {
    work: WorkFingerprint,
    /// Hash of the work on this VM.
    hash: u64,
    /// Path, or the class of a request of the product's own interface.
    place: String,
    service: ServiceId,
    target: TargetId,
    process: TargetProcess,
    end: TargetEnd,
}

/// Records the end of a process that seemed to live if it turns out soon: another one was started at its address
/// at once, or it was slow to end.
async fn watch_process(fanout: Rc<FanoutService>, evidence: EndEvidence, sent_at: Instant) {
    let targets = &fanout.targets;
    let EndEvidence { target, process, end: target_end, .. } = &evidence;
    let begun_at = Instant::now();
    let mut interval = PROCESS_POLL_INTERVAL;
    while begun_at.elapsed() < PROCESS_WATCH_TIME {
        tokio::time::sleep(interval).await;
        interval *= 2;
        let has_ended = match target_end.in_trial || begun_at.elapsed() < PROCESS_PROBE_TIME {
            true => {
                let sign = targets.end_sign(target, *process, ENDING_TIME).await;
                fanout.proves_end(sign, sent_at)
            }
            false => targets.has_successor(target, *process),
        };
        if has_ended {
            return fanout.record_end(&evidence);
        }
    }
}
