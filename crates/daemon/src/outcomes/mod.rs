//! Outcomes of requests per contract and class: counts and latencies of the last 5 to 10 minutes,
//! or of a longer time after a pause without requests and reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use oleanderwind_policy::ClassTerms;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_wire::ClassOutcome;

use crate::directory::DirectoryService;
use crate::time::milliseconds;

/// Half of the measurement window. Once it has passed, the next record or report makes the current
/// half the previous one.
const HALF_WINDOW: Duration = Duration::from_secs(300);
/// Fraction of requests that must meet each term of a contract. Also the quantile of the reported
/// tail latency.
const COMPLIANCE_QUANTILE: f64 = 0.99;
/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Measurements of one finished request.
#[derive(Clone, Debug)]
pub(crate) struct FinishedRequest {
    pub(crate) outcome: RequestOutcome,
    pub(crate) latency: Duration,
    /// Part of the documents that was searched, in thousandths, rounded down. `None` for
    /// `Execute` requests.
    pub(crate) coverage_permille: Option<u32>,
    pub(crate) primary_calls: u32,
    pub(crate) extra_calls: u32,
}

/// Counts of one class in one half of the window.
#[derive(Clone)]
struct ClassCounts {
    requests: u64,
    within_deadline: u64,
    above_floor: u64,
    not_served: u64,
    primary_calls: u64,
    extra_calls: u64,
    latencies: Histogram<u32>,
}

/// Key of a class of a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey {
    customer: String,
    class: String,
}

/// The two halves of the window.
struct OutcomeWindow {
    current: BTreeMap<ClassKey, ClassCounts>,
    previous: BTreeMap<ClassKey, ClassCounts>,
    rotated_at: Instant,
}

/// Outcomes of all classes in the current and the previous half window.
pub(crate) struct OutcomeService {
    window: RefCell<OutcomeWindow>,
}

impl OutcomeService {
    /// Returns a service with an empty window.
    pub(crate) fn new() -> OutcomeService {
        let window = OutcomeWindow {
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
            rotated_at: Instant::now(),
        };
        OutcomeService { window: RefCell::new(window) }
    }

    /// Records a finished request of a class that is in the contract.
    pub(crate) fn record(
        &self,
        customer: &str,
        class: &str,
        terms: &ClassTerms,
        request: &FinishedRequest,
    ) {
        let mut window = self.window.borrow_mut();
        window.rotate(Instant::now());
        let key = ClassKey { customer: customer.to_owned(), class: class.to_owned() };
        window.current.entry(key).or_insert_with(ClassCounts::new).add(terms, request);
    }

    /// Returns the outcomes of each class of all contracts in force.
    pub(crate) fn report(&self, directory: &DirectoryService) -> Vec<ClassOutcome> {
        let mut window = self.window.borrow_mut();
        window.rotate(Instant::now());
        let mut outcomes = Vec::new();
        for entry in directory.contracts() {
            for (class, terms) in &entry.contract.classes {
                let key = ClassKey {
                    customer: entry.contract.customer.to_string(),
                    class: class.to_string(),
                };
                outcomes.push(window.counts(&key).outcome(&entry.contract, class, terms));
            }
        }
        outcomes
    }
}

impl OutcomeWindow {
    fn rotate(&mut self, now: Instant) {
        if now.duration_since(self.rotated_at) >= HALF_WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }

    fn counts(&self, key: &ClassKey) -> ClassCounts {
        let mut counts = ClassCounts::new();
        for half in [&self.previous, &self.current] {
            if let Some(other) = half.get(key) {
                counts.merge(other);
            }
        }
        counts
    }
}

impl ClassCounts {
    fn new() -> ClassCounts {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
            .unwrap_or_else(|_| Histogram::new(2).unwrap_or_else(|_| unreachable!()));
        ClassCounts {
            requests: 0,
            within_deadline: 0,
            above_floor: 0,
            not_served: 0,
            primary_calls: 0,
            extra_calls: 0,
            latencies,
        }
    }

    fn add(&mut self, terms: &ClassTerms, request: &FinishedRequest) {
        self.requests += 1;
        self.within_deadline += u64::from(request.latency <= terms.deadline);
        let is_above = request
            .coverage_permille
            .is_none_or(|coverage| coverage >= terms.coverage_floor_permille);
        self.above_floor += u64::from(is_above);
        let is_served =
            matches!(request.outcome, RequestOutcome::Answered | RequestOutcome::Partial);
        self.not_served += u64::from(!is_served);
        self.primary_calls += u64::from(request.primary_calls);
        self.extra_calls += u64::from(request.extra_calls);
        let latency = u64::try_from(request.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latencies.saturating_record(latency.max(1));
    }

    fn merge(&mut self, other: &ClassCounts) {
        self.requests += other.requests;
        self.within_deadline += other.within_deadline;
        self.above_floor += other.above_floor;
        self.not_served += other.not_served;
        self.primary_calls += other.primary_calls;
        self.extra_calls += other.extra_calls;
        // Both histograms have the same bounds.
        let _ = self.latencies.add(&other.latencies);
    }

    fn outcome(
        &self,
        contract: &CustomerContract,
        class: &str,
        terms: &ClassTerms,
    ) -> ClassOutcome {
        let p99_ms = self.latencies.value_at_quantile(COMPLIANCE_QUANTILE) as f64 / 1_000.0;
        let is_met = |count: u64| count as f64 >= COMPLIANCE_QUANTILE * self.requests as f64;
        let max_extra_millicalls = self.primary_calls * u64::from(contract.extra_load_permille);
        let holds = is_met(self.within_deadline)
            && is_met(self.above_floor)
            && is_met(self.requests - self.not_served)
            && self.extra_calls * 1_000 <= max_extra_millicalls;
        ClassOutcome {
            customer: contract.customer.clone(),
            class: class.to_owned(),
            requests: self.requests,
            within_deadline: self.within_deadline,
            above_floor: self.above_floor,
            not_served: self.not_served,
            p99_ms,
            deadline_ms: milliseconds(terms.deadline),
            primary_calls: self.primary_calls,
            extra_calls: self.extra_calls,
            extra_load_permille: contract.extra_load_permille,
            holds,
        }
    }
}
