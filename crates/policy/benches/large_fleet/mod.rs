//! A fan-out engine at the target size: 9,504 targets and 72 shards per query.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::AttemptPolicy;
use oleanderwind_policy::CallId;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::FanoutAction;
use oleanderwind_policy::FanoutEngine;
use oleanderwind_policy::FanoutEvent;
use oleanderwind_policy::FanoutPlan;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::QueryId;
use oleanderwind_policy::ShardEntry;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;

/// Number of shards of each service, and of calls of each query.
pub(crate) const SHARDS: u32 = 72;
/// Number of services; with two replicas of each shard they have 9,504 targets.
const SERVICES: u32 = 66;
/// Time between two queries of a VM at 190 queries per second.
const QUERY_INTERVAL: Duration = Duration::from_micros(5_263);
/// Time after which each call is answered.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// An engine with every target of the fleet and one manifest per service.
pub(crate) struct LargeFleet {
    /// The fan-out engine under test.
    pub(crate) engine: FanoutEngine,
    /// Virtual time.
    pub(crate) now: Instant,
    /// Calls sent and not yet answered, oldest first.
    pub(crate) open: Vec<CallId>,
    /// Number of finished queries.
    pub(crate) finished: u64,
    manifests: Vec<Arc<SnapshotManifest>>,
    next_query: QueryId,
}

impl LargeFleet {
    /// Returns a fleet that has served a few queries of each service.
    pub(crate) fn new() -> LargeFleet {
        LargeFleet::with_services(SERVICES as usize)
    }

    /// Returns such a fleet with `services` services of 144 targets each.
    pub(crate) fn with_services(services: usize) -> LargeFleet {
        let mut specs = Vec::new();
        let services = u32::try_from(services).unwrap_or(u32::MAX);
        let manifests = (0..services).map(|service| add_service(service, &mut specs)).collect();
        let now = Instant::now();
        let mut engine = FanoutEngine::new(FanoutSettings::default());
        engine.apply_targets(specs, now);
        let open = Vec::new();
        let mut fleet = LargeFleet { engine, now, open, finished: 0, manifests, next_query: 0 };
        fleet.serve(u64::from(services) * 3);
        fleet
    }

    /// Submits `queries` queries at the same virtual time, to the services in turn.
    pub(crate) fn submit(&mut self, queries: u64) {
        for _ in 0..queries {
            let plan = self.plan();
            let mut actions = Vec::with_capacity(SHARDS as usize);
            self.engine.submit(self.next_query, plan, self.now, &mut actions);
            self.next_query += 1;
            self.record_actions(&actions);
        }
    }

    /// Answers every open call.
    pub(crate) fn answer(&mut self) {
        let mut actions = Vec::new();
        for call in std::mem::take(&mut self.open) {
            let load = LoadReport { busy: 1, queued: 0, slots: 2, pace_percent: 0 };
            let event = FanoutEvent::Answered { call, documents: 1_000, load, draining: false };
            self.engine.handle(event, self.now, &mut actions);
            self.record_actions(&actions);
            actions.clear();
        }
    }

    /// Advances the virtual time by `span` and wakes the engine once.
    pub(crate) fn wake(&mut self, span: Duration) {
        self.now += span;
        let mut actions = Vec::new();
        self.engine.wake(self.now, &mut actions);
        self.record_actions(&actions);
    }

    /// Serves `queries` queries at the rate of one VM, each answered after the service time.
    pub(crate) fn serve(&mut self, queries: u64) {
        for _ in 0..queries {
            self.submit(1);
            self.wake(SERVICE_TIME);
            self.answer();
            self.now += QUERY_INTERVAL;
        }
    }

    fn plan(&self) -> FanoutPlan {
        let service = self.next_query as usize % self.manifests.len();
        FanoutPlan {
            customer: "library".into(),
            class: "finder".into(),
            manifest: self.manifests[service].clone(),
            deadline: self.now + Duration::from_millis(210),
            coverage_floor_permille: 900,
            preference: AnswerPreference::Coverage,
            priority: ClassPriority::Interactive,
            urgency: None,
            extra_load_permille: 100,
            objective: None,
            attempt_policy: AttemptPolicy::default(),
        }
    }

    fn record_actions(&mut self, actions: &[FanoutAction]) {
        for action in actions {
            match action {
                FanoutAction::Send { call, .. } => self.open.push(*call),
                FanoutAction::Finish { .. } => self.finished += 1,
                FanoutAction::Merge { .. } | FanoutAction::Cancel { .. } => {}
            }
        }
    }
}

fn add_service(service: u32, specs: &mut Vec<TargetSpec>) -> Arc<SnapshotManifest> {
    let mut shards = Vec::new();
    for shard in 0..SHARDS {
        let name = |replica| TargetId::from(format!("t{service}-{shard}-{replica}"));
        for replica in 0..2 {
            specs.push(TargetSpec {
                target: name(replica),
                service: format!("service-{service}").into(),
                provider: "east".into(),
                address: ([127, 0, 0, 1], 1).into(),
                failure_domain: "a".into(),
                slots: 2,
                connection_limit: 25,
                incarnation: 0,
                phase: TargetPhase::Ready,
                cold_ms: 0,
            });
        }
        shards.push(ShardEntry { shard, documents: 1_000, targets: vec![name(0), name(1)] });
    }
    Arc::new(SnapshotManifest {
        service: format!("service-{service}").into(),
        provider: "east".into(),
        index_version: 1,
        shards,
    })
}
