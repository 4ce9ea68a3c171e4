//! Compares the answers to operations with the runs that the targets recorded.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_standin::ExecutionRecord;
use oleanderwind_wire::CallerAnswer;
use serde_json::json;

use crate::support::TestCaller;

/// Customer of every operation here.
pub(crate) const CUSTOMER: &str = "tsagaan-ordon";
/// The non-idempotent class of the customer.
pub(crate) const CLASS: &str = "certificate-entry";
/// The service that runs the operations of the class.
pub(crate) const SERVICE: &str = "certificate-registry";

/// An attempt to run the operation of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyAttempt {
    pub(crate) key: String,
    pub(crate) attempt: u32,
    /// Deadline that replaces the contract's longer one, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
}

/// The answer that a caller received to an attempt.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) sent: KeyAttempt,
    pub(crate) answer: CallerAnswer,
}

/// Sends attempts and keeps every answer.
pub(crate) struct OperationRecorder {
    caller: TestCaller,
    received: RefCell<Vec<ReceivedAnswer>>,
    next_key: Cell<u64>,
}

impl KeyAttempt {
    /// Returns the next attempt of the key.
    pub(crate) fn next(&self) -> KeyAttempt {
        KeyAttempt { attempt: self.attempt + 1, ..self.clone() }
    }

    /// Returns the same attempt with a shorter deadline.
    pub(crate) fn within(&self, deadline_ms: u64) -> KeyAttempt {
        KeyAttempt { deadline_ms: Some(deadline_ms), ..self.clone() }
    }

    /// Returns a body that names the attempt, so that a run can be traced back to it.
    fn body(&self) -> String {
        format!("{} {}", self.key, self.attempt)
    }
}

impl ReceivedAnswer {
    /// Returns the outcome and the refusal reason, which is empty if there is none.
    pub(crate) fn outcome_and_reason(&self) -> (RequestOutcome, &str) {
        let reason = self.answer.refusal.as_ref().map(|refusal| refusal.reason.as_str());
        (self.answer.outcome, reason.unwrap_or_default())
    }

    /// Returns whether the answer has a result.
    pub(crate) fn is_answered(&self) -> bool {
        self.answer.outcome == RequestOutcome::Answered
    }
}

impl OperationRecorder {
    /// Creates a recorder that sends through `caller`.
    pub(crate) fn new(caller: &TestCaller) -> OperationRecorder {
        OperationRecorder {
            caller: caller.clone(),
            received: RefCell::new(Vec::new()),
            next_key: Cell::new(0),
        }
    }

    /// Returns the first attempt of a new key that is issued now.
    pub(crate) fn new_key(&self) -> KeyAttempt {
        self.new_key_issued_at(0)
    }

    /// Returns the first attempt of a new key, issued `offset_ms` milliseconds from now.
    pub(crate) fn new_key_issued_at(&self, offset_ms: i64) -> KeyAttempt {
        self.next_key.set(self.next_key.get() + 1);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
        let key = format!("{}-key{}", now + offset_ms, self.next_key.get());
        KeyAttempt { key, attempt: 1, deadline_ms: None }
    }

    /// Sends an attempt to a VM and keeps the answer; returns `None` when no answer arrives.
    pub(crate) async fn send(&self, vm: &str, sent: &KeyAttempt) -> Option<ReceivedAnswer> {
        let mut body = json!({"class": CLASS, "body": sent.body()});
        if let Some(deadline_ms) = sent.deadline_ms {
            body["deadline_ms"] = deadline_ms.into();
        }
        let attempt = sent.attempt.to_string();
        let headers =
            [("idempotency-key", sent.key.as_str()), ("idempotency-attempt", attempt.as_str())];
        let answer = self.caller.request(vm, CUSTOMER, &headers, &body).await?;
        let received = ReceivedAnswer { sent: sent.clone(), answer };
        self.received.borrow_mut().push(received.clone());
        Some(received)
    }

    /// Retries a key with increasing attempt numbers until its result arrives.
    ///
    /// An outcome is recorded after its answer is sent, so the first retries may come too early.
    ///
    /// # Panics
    ///
    /// Panics when the key is not answered within 500 attempts.
    pub(crate) async fn retry_until_answered(&self, vm: &str, sent: &KeyAttempt) -> ReceivedAnswer {
        let mut sent = sent.clone();
        for _ in 0..500 {
            let received = self.send(vm, &sent).await.unwrap();
            if received.is_answered() {
                return received;
            }
            sent = sent.next();
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{} was not answered within 500 attempts", sent.key);
    }

    /// Counts the answers with an outcome.
    pub(crate) fn count(&self, outcome: RequestOutcome) -> usize {
        self.received.borrow().iter().filter(|received| received.answer.outcome == outcome).count()
    }

    /// Checks all answers against the runs of the targets; panics when a key ran more than once.
    pub(crate) fn check(&self, runs: &[ExecutionRecord]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *counts.entry(&run.idempotency_key).or_default() += 1;
        }
        counts.retain(|_, count| *count > 1);
        assert!(counts.is_empty(), "keys that ran more than once: {counts:?}");
        for received in self.received.borrow().iter() {
            check_answer(received, runs);
        }
    }
}

/// Counts the runs of a key.
pub(crate) fn count_runs(runs: &[ExecutionRecord], key: &str) -> usize {
    runs.iter().filter(|run| run.idempotency_key == key).count()
}

fn check_answer(received: &ReceivedAnswer, runs: &[ExecutionRecord]) {
    let run = runs.iter().find(|run| run.idempotency_key == received.sent.key);
    match received.answer.outcome {
        RequestOutcome::Answered => {
            assert_eq!(received.answer.ran, RunState::Yes, "{received:?}");
            assert!(run.is_some(), "answered, but no target ran it: {received:?}");
            assert_eq!(received.answer.digest, received.answer.content_digest(), "{received:?}");
        }
        RequestOutcome::NotRun => {
            assert_eq!(received.answer.ran, RunState::No, "{received:?}");
            let attempt = run.map(|run| run.body.rsplit(' ').next().unwrap().parse().unwrap());
            let is_true = attempt.is_none_or(|attempt: u32| attempt > received.sent.attempt);
            assert!(
                is_true,
                "reported as not run, but this or an earlier attempt ran: {received:?}"
            );
        }
        RequestOutcome::Unknown => {
            assert_eq!(received.answer.ran, RunState::Unknown, "{received:?}");
        }
        RequestOutcome::Partial => panic!("an operation has a partial outcome: {received:?}"),
    }
}
