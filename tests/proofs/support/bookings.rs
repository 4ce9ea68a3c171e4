//! Operations with what their callers were told, checked against what the targets ran.

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
/// Its class that may not be repeated.
pub(crate) const CLASS: &str = "certificate-entry";
/// The service that runs it.
pub(crate) const SERVICE: &str = "certificate-registry";

/// One try of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyTry {
    pub(crate) key: String,
    pub(crate) attempt: u32,
    /// Shorter than the contract's, when set.
    pub(crate) deadline_ms: Option<u64>,
}

/// What a caller was told about a try.
#[derive(Clone, Debug)]
pub(crate) struct ToldAnswer {
    pub(crate) asked: KeyTry,
    pub(crate) answer: CallerAnswer,
}

/// Sends tries and keeps every answer.
pub(crate) struct BookingRecord {
    caller: TestCaller,
    told: RefCell<Vec<ToldAnswer>>,
    next_key: Cell<u64>,
}

impl KeyTry {
    /// The next try of the key.
    pub(crate) fn next(&self) -> KeyTry {
        KeyTry { attempt: self.attempt + 1, ..self.clone() }
    }

    /// The same try with a shorter deadline.
    pub(crate) fn within(&self, deadline_ms: u64) -> KeyTry {
        KeyTry { deadline_ms: Some(deadline_ms), ..self.clone() }
    }

    /// The body names the try, so that a run tells which try it came from.
    fn body(&self) -> String {
        format!("{} {}", self.key, self.attempt)
    }
}

impl ToldAnswer {
    /// Outcome and reason.
    pub(crate) fn verdict(&self) -> (RequestOutcome, &str) {
        let reason = self.answer.refusal.as_ref().map(|refusal| refusal.reason.as_str());
        (self.answer.outcome, reason.unwrap_or_default())
    }

    /// Whether a result came.
    pub(crate) fn is_answered(&self) -> bool {
        self.answer.outcome == RequestOutcome::Answered
    }
}

impl BookingRecord {
    /// Sends as `caller`.
    pub(crate) fn new(caller: &TestCaller) -> BookingRecord {
        BookingRecord {
            caller: caller.clone(),
            told: RefCell::new(Vec::new()),
            next_key: Cell::new(0),
        }
    }

    /// The first try of a key that is issued now.
    pub(crate) fn fresh(&self) -> KeyTry {
        self.issued(0)
    }

    /// The first try of a key that is issued some milliseconds before or after now.
    pub(crate) fn issued(&self, offset_ms: i64) -> KeyTry {
        self.next_key.set(self.next_key.get() + 1);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
        let key = format!("{}-key{}", now + offset_ms, self.next_key.get());
        KeyTry { key, attempt: 1, deadline_ms: None }
    }

    /// Sends a try to a VM and keeps the answer; `None` when the request was cut.
    pub(crate) async fn ask(&self, vm: &str, asked: &KeyTry) -> Option<ToldAnswer> {
        let mut body = json!({"class": CLASS, "body": asked.body()});
        if let Some(deadline_ms) = asked.deadline_ms {
            body["deadline_ms"] = deadline_ms.into();
        }
        let attempt = asked.attempt.to_string();
        let headers =
            [("idempotency-key", asked.key.as_str()), ("idempotency-attempt", attempt.as_str())];
        let answer = self.caller.request(vm, CUSTOMER, &headers, &body).await?;
        let told = ToldAnswer { asked: asked.clone(), answer };
        self.told.borrow_mut().push(told.clone());
        Some(told)
    }

    /// Tries a key again until its result comes, with a new attempt number each time.
    ///
    /// The record of an outcome follows the answer, so a repeat may be too early for it.
    pub(crate) async fn ask_until_answered(&self, vm: &str, asked: &KeyTry) -> ToldAnswer {
        let mut asked = asked.clone();
        for _ in 0..500 {
            let told = self.ask(vm, &asked).await.unwrap();
            if told.is_answered() {
                return told;
            }
            asked = asked.next();
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{} is never answered", asked.key);
    }

    /// How many answers had an outcome.
    pub(crate) fn count(&self, outcome: RequestOutcome) -> usize {
        self.told.borrow().iter().filter(|told| told.answer.outcome == outcome).count()
    }

    /// Checks all answers against what the targets ran.
    pub(crate) fn check(&self, runs: &[ExecutionRecord]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *counts.entry(&run.idempotency_key).or_default() += 1;
        }
        counts.retain(|_, count| *count > 1);
        assert!(counts.is_empty(), "keys that ran more than once: {counts:?}");
        for told in self.told.borrow().iter() {
            check_answer(told, runs);
        }
    }
}

/// How often targets ran a key.
pub(crate) fn runs_of(runs: &[ExecutionRecord], key: &str) -> usize {
    runs.iter().filter(|run| run.idempotency_key == key).count()
}

fn check_answer(told: &ToldAnswer, runs: &[ExecutionRecord]) {
    let run = runs.iter().find(|run| run.idempotency_key == told.asked.key);
    match told.answer.outcome {
        RequestOutcome::Answered => {
            assert_eq!(told.answer.ran, RunState::Yes, "{told:?}");
            assert!(run.is_some(), "answered but never run: {told:?}");
            assert_eq!(told.answer.digest, told.answer.content_digest(), "{told:?}");
        }
        RequestOutcome::NotRun => {
            assert_eq!(told.answer.ran, RunState::No, "{told:?}");
            let attempt = run.map(|run| run.body.rsplit(' ').next().unwrap().parse().unwrap());
            let is_true = attempt.is_none_or(|attempt: u32| attempt > told.asked.attempt);
            assert!(is_true, "not run, but this or an earlier try ran: {told:?}");
        }
        RequestOutcome::Unknown => assert_eq!(told.answer.ran, RunState::Unknown, "{told:?}"),
        RequestOutcome::Partial => panic!("an operation can't be partial: {told:?}"),
    }
}
