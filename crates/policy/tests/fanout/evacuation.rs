//! Targets of evacuated failure domains.

use std::collections::BTreeSet;
use std::time::SystemTime;

use oleanderwind_policy::ExecutorOutcome;
use oleanderwind_policy::FailureDomainId;
use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::TargetPhase;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::ms;
use crate::fake_target::Behaviour;

fn domains(names: &[&str]) -> BTreeSet<FailureDomainId> {
    names.iter().map(|name| FailureDomainId::from(*name)).collect()
}

/// Returns a fleet whose first replicas are in failure domain `a` and the others in `b`.
fn two_domains(shards: u32, replicas: u32) -> FakeFleet {
    let mut fleet = FakeFleet::new(FanoutSettings::default(), shards, replicas);
    for spec in &mut fleet.specs {
        let domain = if spec.target.ends_with("r0") { "a" } else { "b" };
        spec.failure_domain = domain.into();
    }
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    fleet.submit_every(1, 20, ms(10));
    fleet
}

impl FakeFleet {
    fn evacuate(&mut self, names: &[&str]) {
        self.engine.set_evacuated(domains(names), self.now);
    }

    /// Returns the number of calls that the targets of failure domain `a` got.
    fn received_in_a(&self) -> u64 {
        let names = self.specs.iter().filter(|spec| &*spec.failure_domain == "a");
        names.map(|spec| u64::from(self.targets[&spec.target].received)).sum()
    }
}

/// Pattern: a failure domain is evacuated while its targets fail and the others are slow.
#[test]
fn evacuation_stops_calls_hedges_and_probes_until_it_is_taken_back() {
    let mut fleet = two_domains(4, 2);
    fleet.target("s1r0").behaviour = Behaviour::Fail;
    fleet.submit_every(100, 20, ms(10));
    fleet.target("s1r0").behaviour = Behaviour::Serve;
    fleet.advance(ms(1_000));
    for shard in 0..4 {
        fleet.target(&format!("s{shard}r1")).base_time = ms(40);
    }
    let before = fleet.received_in_a();
    assert!(before > 0);
    fleet.evacuate(&["a"]);
    fleet.submit_every(1_000, 200, ms(10));
    // A list of the targets changes nothing, nor does a process that starts there.
    fleet.specs[0].incarnation += 1;
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    fleet.submit_every(2_000, 200, ms(10));
    assert_eq!(fleet.received_in_a(), before);
    assert!(fleet.engine.target_view(&"s0r0".into(), fleet.now).is_evacuated);
    fleet.evacuate(&[]);
    let window = fleet.engine.target_view(&"s2r0".into(), fleet.now).window;
    assert_eq!(window, 1, "one call at a time at first");
    fleet.submit_every(10_000, 100, ms(10));
    assert!(fleet.received_in_a() > before, "its targets get calls again");
}

/// Pattern: calls are under way, wait for the processor and are queued when their targets' failure domain is evacuated.
#[test]
fn evacuation_withdraws_waiting_calls_and_lets_others_end() {
    let mut fleet = two_domains(1, 2);
    fleet.specs[1].phase = TargetPhase::Draining;
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    fleet.target("s0r0").base_time = ms(30);
    let plan = fleet.plan();
    fleet.submit(1_000, plan);
    fleet.advance(ms(1));
    fleet.send_backlog = ms(20);
    for query in 1_001..1_010 {
        let plan = fleet.plan();
        fleet.submit(query, plan);
    }
    fleet.advance(ms(1));
    let before = fleet.received_in_a();
    fleet.evacuate(&["a"]);
    while let Some(call) = fleet.waiting_call() {
        assert!(!fleet.engine.may_send(call.call, fleet.now, SystemTime::now()));
        fleet.withdraw(call.call);
    }
    fleet.advance(ms(300));
    assert_eq!(fleet.received_in_a(), before);
    assert_eq!(fleet.result(1_000).outcome, RequestOutcome::Answered, "it was under way");
    for query in 1_001..1_010 {
        assert_ne!(fleet.result(query).outcome, RequestOutcome::Answered);
    }
}

/// Pattern: the evacuated failure domain holds the last target of a shard.
#[test]
fn evacuation_leaves_out_the_shard_whose_last_target_it_takes() {
    let mut fleet = two_domains(4, 2);
    fleet.specs.retain(|spec| &*spec.target != "s3r1");
    fleet.engine.apply_targets(fleet.specs.clone(), fleet.now);
    fleet.evacuate(&["a"]);
    let plan = fleet.plan();
    fleet.submit(1_000, plan);
    fleet.advance(ms(250));
    let result = fleet.result(1_000);
    assert_eq!(result.outcome, RequestOutcome::Partial);
    assert_eq!(result.shards_answered, 3);
}

/// Pattern: a call that must not be sent twice has a target and is about to leave.
#[test]
fn evacuation_holds_back_a_call_that_has_an_executor() {
    let mut fleet = two_domains(1, 1);
    let (service, provider) = ("courses".into(), "east".into());
    let target = fleet.engine.pick_executor(&service, &provider, fleet.now).unwrap();
    assert!(fleet.engine.permit_executor(&target, fleet.now, SystemTime::now()));
    fleet.evacuate(&["a"]);
    assert!(!fleet.engine.permit_executor(&target, fleet.now, SystemTime::now()));
    fleet.engine.release_executor(&target, ExecutorOutcome::NotSent, fleet.now);
    assert_eq!(fleet.engine.pick_executor(&service, &provider, fleet.now), None);
}
