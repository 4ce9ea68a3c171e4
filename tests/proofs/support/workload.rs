//! A workload of searches of both customers in which every answer is checked.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::FaultOrder;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::CallerAnswer;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::support::AnswerChecker;
use crate::support::TestCaller;
use crate::support::TestFleet;

/// Concurrent callers of a workload.
const CALLERS: usize = 8;
/// Most batches within which a service must recover.
const MAX_BATCHES: u64 = 5;
/// Provider of every target.
pub(crate) const PROVIDER: &str = "alpha";
/// Services with two searchers for each shard.
pub(crate) const PAIRED_SERVICES: [&str; 4] =
    ["course-finder", "board-notes", "member-app", "ledger-desk"];
/// Customer, class and service of every search.
pub(crate) const SEARCH_CLASSES: [(&str, &str, &str); 8] = [
    ("tsagaan-ordon", "module-finder", "course-finder"),
    ("haneul", "find-bed", "member-app"),
    ("tsagaan-ordon", "quick-lookup", "board-notes"),
    ("haneul", "desk-balance", "ledger-desk"),
    ("tsagaan-ordon", "trainer-lookup", "trainer-roster"),
    ("haneul", "counter-lookup", "salon-counter"),
    ("tsagaan-ordon", "certificate-check", "certificate-registry"),
    ("haneul", "dividend", "dividend-run"),
];

/// Counts the answers of a workload by outcome, and keeps them.
#[derive(Default)]
pub(crate) struct WorkloadTally {
    pub(crate) answered: Cell<u32>,
    pub(crate) partial: Cell<u32>,
    pub(crate) not_served: Cell<u32>,
    pub(crate) answers: RefCell<Vec<(String, CallerAnswer)>>,
}

impl WorkloadTally {
    fn record(&self, query: String, answer: CallerAnswer) {
        let count = match answer.outcome {
            RequestOutcome::Answered => &self.answered,
            RequestOutcome::Partial => &self.partial,
            RequestOutcome::NotRun | RequestOutcome::Unknown => &self.not_served,
        };
        count.set(count.get() + 1);
        self.answers.borrow_mut().push((query, answer));
    }

    /// Prints the counts, and the reasons of incomplete answers.
    fn print(&self, seed: u64) {
        let (answered, partial) = (self.answered.get(), self.partial.get());
        println!("seed {seed}: {answered} answered, {partial} partial of {}", self.total());
        let mut reasons = BTreeMap::<String, u32>::new();
        for (_, answer) in self.answers.borrow().iter() {
            let Some(refusal) = &answer.refusal else { continue };
            let reason = format!("{} ran {:?}", refusal.reason, answer.ran);
            *reasons.entry(reason).or_default() += 1;
        }
        println!("  {reasons:?}");
    }

    /// Counts the answers that give this reason.
    pub(crate) fn count_reason(&self, reason: &str) -> usize {
        let answers = self.answers.borrow();
        let refusals = answers.iter().filter_map(|(_, answer)| answer.refusal.as_ref());
        refusals.filter(|refusal| refusal.reason == reason).count()
    }

    /// Returns whether each answer is complete, or partial because its contract prefers
    /// an early answer once the coverage floor is met.
    pub(crate) fn is_all_served(&self) -> bool {
        self.answers.borrow().iter().all(|(_, answer)| {
            let reason = answer.refusal.as_ref().map(|refusal| refusal.reason.as_str());
            answer.outcome == RequestOutcome::Answered || reason == Some("floor_met")
        })
    }

    /// Returns the number of answers of any outcome.
    pub(crate) fn total(&self) -> u32 {
        self.answered.get() + self.partial.get() + self.not_served.get()
    }
}

/// A fleet that serves both customers, and a checker of its answers.
pub(crate) struct SearchFleet {
    pub(crate) fleet: TestFleet,
    pub(crate) checker: AnswerChecker,
}

impl SearchFleet {
    /// Starts `count` VMs.
    ///
    /// The paired services have few enough shards to recompute any partial answer.
    pub(crate) async fn start(count: usize, snapshot_keep: Duration) -> SearchFleet {
        let settings = StandinSettings {
            deployments: DeploymentName::ALL.to_vec(),
            snapshot_retention: snapshot_keep,
            ..StandinSettings::default()
        };
        let fleet = TestFleet::start(settings, count).await;
        let searches = SearchFleet { fleet, checker: AnswerChecker::default() };
        searches.publish_all(5);
        searches
    }

    /// Publishes a new snapshot of every paired service.
    pub(crate) fn publish_all(&self, shards: u32) {
        for service in PAIRED_SERVICES {
            self.checker.publish(&self.fleet.standin, service, shards);
        }
    }

    /// Injects a fault.
    pub(crate) fn inject_fault(&self, scope: FaultScope, fault: SearcherFault) {
        self.fleet.standin.apply(&FaultOrder { scope, fault }).unwrap();
    }

    /// Injects a fault into the searchers of a service with these indices.
    pub(crate) fn inject_searcher_faults(
        &self,
        service: &str,
        indices: impl Iterator<Item = u32>,
        fault: SearcherFault,
    ) {
        for index in indices {
            let target = format!("{service}.{PROVIDER}.{index}");
            self.inject_fault(FaultScope::Searcher(target.as_str().into()), fault);
        }
    }

    /// Sends `per_caller` requests from each caller to random VMs.
    ///
    /// # Panics
    ///
    /// Panics when a request gets no answer or a wrong one.
    pub(crate) async fn run(&self, seed: u64, per_caller: u32) -> Rc<WorkloadTally> {
        self.run_at(seed, per_caller, 0..self.fleet.vms.len()).await
    }

    /// Sends requests as [`SearchFleet::run`] does, to some of the VMs.
    pub(crate) async fn run_at(
        &self,
        seed: u64,
        per_caller: u32,
        vms: Range<usize>,
    ) -> Rc<WorkloadTally> {
        let tally = Rc::new(WorkloadTally::default());
        let call = |caller| self.call(seed, caller, per_caller, vms.clone(), &tally);
        join_all((0..CALLERS).map(call)).await;
        tally.print(seed);
        tally
    }

    /// Runs batches until one is served completely; panics after [`MAX_BATCHES`] batches.
    pub(crate) async fn expect_recovery(&self, seed: u64) {
        for batch in 0..MAX_BATCHES {
            if self.run(seed + batch, 20).await.is_all_served() {
                return;
            }
        }
        panic!("seed {seed}: no batch was fully served after the fault");
    }

    /// Counts the connections that searchers closed for exceeding their connection limit.
    pub(crate) fn over_limit(&self) -> u64 {
        self.fleet.standin.calls().iter().map(|report| report.connections_over_limit).sum()
    }

    async fn call(
        &self,
        seed: u64,
        number: usize,
        per_caller: u32,
        vms: Range<usize>,
        tally: &WorkloadTally,
    ) {
        let caller = TestCaller::new();
        let mut generator = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32);
        for sequence in 0..per_caller {
            let vm = generator.random_range(vms.clone());
            let class = SEARCH_CLASSES[generator.random_range(0..SEARCH_CLASSES.len())];
            let (customer, class, service) = class;
            let query = format!("{seed}-{number}-{sequence}");
            let address = self.fleet.caller_address(vm);
            let answer = caller.search(&address, customer, class, &query).await;
            let answer = answer.unwrap_or_else(|| panic!("seed {seed}: {query} got no answer"));
            self.checker.check(service, &query, &answer);
            tally.record(query, answer);
        }
    }
}
