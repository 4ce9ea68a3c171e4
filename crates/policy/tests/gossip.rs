//! Propagation time and traffic of changes, at the current and the target fleet size.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::object;
use fleet::platform_vm;
use oleanderwind_policy::GossipAction;
use oleanderwind_policy::GossipEngine;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectPull;
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::ProbePlan;
use oleanderwind_policy::VmId;

/// Time within which a change must take effect on every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(13);
/// Control traffic allowed per VM, in bytes per second.
const CONTROL_BYTES_PER_SECOND: usize = 2_000;
/// Mean interval between configuration changes at 2,500 per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(34_560);
/// Size of a contract, in bytes.
const CONTRACT_BYTES: usize = 700;

fn settings(seed: u64) -> MembershipSettings {
    let mut settings = MembershipSettings::default();
    settings.seed = seed;
    settings
}

struct Measurement {
    /// Time until all VMs held the change; none if it took too long.
    change: Option<Duration>,
    /// Time until all VMs saw the departure; none if it took too long.
    leaving: Option<Duration>,
    /// Traffic per VM, in bytes per second.
    mean_bytes: usize,
    max_bytes: usize,
}

/// Measures one change and one departure within the mean interval between changes.
fn measure(size: usize, settings: MembershipSettings) -> Measurement {
    let mut fleet = Fleet::new(size, settings);
    fleet.run(Duration::from_secs(5));
    fleet.nodes.iter_mut().for_each(|node| node.bytes = 0);
    let begin = fleet.now;
    let body = "x".repeat(CONTRACT_BYTES);
    let revision = fleet.write("late", Some(&body));
    let holds_all = |fleet: &Fleet| {
        let (held, live) = fleet.count_holding("late", revision);
        held == live
    };
    let change = fleet.run_until(PROPAGATION_LIMIT, holds_all);
    fleet.nodes[1].members.set_phase(MemberPhase::Leaving);
    let leaving =
        fleet.run_until(PROPAGATION_LIMIT, |fleet| fleet.all_see(1, MemberState::Leaving));
    fleet.run(CHANGE_INTERVAL.saturating_sub(fleet.now - begin));
    let seconds = (fleet.now - begin).as_secs_f64();
    let rates = fleet.nodes.iter().map(|node| (node.bytes as f64 / seconds) as usize);
    Measurement {
        change,
        leaving,
        mean_bytes: rates.clone().sum::<usize>() / size,
        max_bytes: rates.max().unwrap(),
    }
}

fn print_row(size: usize, plan: &str, measurement: &Measurement) {
    println!(
        "{size:>5} {plan:<11} change {:>8.1?} leaving {:>8.1?} bytes/s mean {:>6} max {:>6}",
        measurement.change, measurement.leaving, measurement.mean_bytes, measurement.max_bytes
    );
}

#[test]
fn full_mesh_exceeds_the_traffic_budget() {
    for size in [7, 70] {
        let mut mesh = settings(1);
        mesh.plan = ProbePlan::FullMesh;
        let measurement = measure(size, mesh);
        print_row(size, "full mesh", &measurement);
        assert!(measurement.mean_bytes > CONTROL_BYTES_PER_SECOND);
    }
}
#[test]
fn round_robin_meets_time_limit_and_traffic_budget() {
    for size in [7, 70, 700, 2_200] {
        let measurement = measure(size, settings(1));
        print_row(size, "round robin", &measurement);
        assert!(measurement.change.is_some(), "a change took longer than {PROPAGATION_LIMIT:?}");
        assert!(
            measurement.leaving.is_some(),
            "a departure took longer than {PROPAGATION_LIMIT:?}"
        );
        assert!(measurement.max_bytes <= CONTROL_BYTES_PER_SECOND);
    }
}

/// Returns the bytes that one change costs per VM, beyond the traffic without changes.
fn bytes_per_change(body_bytes: usize) -> usize {
    const VMS: usize = 200;
    const CHANGES: usize = 10;
    let mean_bytes = |changes: usize| {
        let mut fleet = Fleet::new(VMS, settings(1));
        fleet.run(Duration::from_secs(5));
        fleet.nodes.iter_mut().for_each(|node| node.bytes = 0);
        let body = "x".repeat(body_bytes);
        for number in 0..changes {
            fleet.write(&format!("change-{number}"), Some(&body));
            fleet.run(Duration::from_secs(2));
        }
        fleet.run(Duration::from_secs(2) * (CHANGES - changes) as u32);
        fleet.nodes.iter().map(|node| node.bytes).sum::<usize>() / VMS
    };
    mean_bytes(CHANGES).saturating_sub(mean_bytes(0)) / CHANGES
}

#[test]
fn daily_changes_leave_half_of_the_traffic_budget() {
    const SECONDS_PER_DAY: usize = 86_400;
    // Contracts; then one write for each target and three for each VM that fails or is replaced.
    let changes = [(CONTRACT_BYTES, 2_500), (300, 9_500 + 3 * 1_716)];
    let mut sum = 0;
    for (body_bytes, per_day) in changes {
        let bytes = bytes_per_change(body_bytes);
        let rate = bytes * per_day / SECONDS_PER_DAY;
        println!(
            "change of {body_bytes} bytes: {bytes} bytes per VM; {per_day} per day: {rate} bytes/s"
        );
        sum += rate;
    }
    println!("sum {sum} bytes/s of {CONTROL_BYTES_PER_SECOND}");
    assert!(
        sum <= CONTROL_BYTES_PER_SECOND / 2,
        "changes take more than half of the control traffic"
    );
}

/// Returns the record of a serving VM in one of three failure domains.
fn serving_record(number: usize) -> MemberRecord {
    let vm = platform_vm(number, 3);
    MemberRecord {
        vm: vm.vm,
        incarnation: 1,
        sequence: 1,
        phase: MemberPhase::Serving,
        suspected: false,
        failure_domain: vm.failure_domain,
        peer_address: vm.peer_address,
        caller_address: vm.caller_address,
        revision: 0,
        processor_millicores: 0,
        is_refused: false,
    }
}

/// Guards against one message per object when an index is repartitioned and hundreds of new
/// targets arrive in pages.
#[test]
fn handle_changes_pushes_a_page_as_one_message_within_the_failure_domain() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    let list: Vec<_> = (1..84).map(|number| platform_vm(number, 3)).collect();
    members.apply_platform_list(&list);
    for number in 1..84 {
        let message = oleanderwind_policy::ExchangeMessage {
            sender: serving_record(number),
            members: Vec::new(),
            summary: ObjectSummary::default(),
        };
        members.handle_reply(&message);
    }
    let mut gossip = GossipEngine::default();
    let page: Vec<_> =
        (0..200).map(|number| object(&format!("t{number}"), number + 1, Some("x"))).collect();
    let same_domain: Vec<VmId> =
        (0..84).step_by(3).map(|number| platform_vm(number, 3).vm).collect();
    let actions = gossip.handle_changes(&page, &mut members);
    assert_eq!(actions.len(), 3, "one message per peer");
    for action in actions {
        let GossipAction::Push { vm, objects } = action else { panic!("only pushes are expected") };
        assert_eq!(objects.len(), page.len());
        assert!(same_domain.contains(&vm), "{vm} is in another failure domain");
    }
}

/// Guards against a late VM: one that no peer picked at random applied a change three seconds after
/// the others.
#[test]
fn sample_domain_peers_returns_each_vm_of_a_failure_domain_first_once() {
    let mut first: Vec<VmId> = Vec::new();
    for own in (0..84).step_by(3) {
        let mut members =
            MembershipEngine::new(settings(own as u64), serving_record(own), Instant::now());
        let list: Vec<_> =
            (0..84).filter(|number| *number != own).map(|n| platform_vm(n, 3)).collect();
        members.apply_platform_list(&list);
        let chosen = members.sample_domain_peers(3);
        assert_eq!(chosen.len(), 3);
        first.push(chosen[0].clone());
    }
    first.sort_unstable();
    let all: Vec<VmId> = (0..84).step_by(3).map(|number| platform_vm(number, 3).vm).collect();
    assert_eq!(first, all);
}

/// Returns an engine that lacks one change and the summary of a peer that holds it.
fn one_change_behind(members: &mut MembershipEngine) -> (GossipEngine, ObjectSummary) {
    let mut gossip = GossipEngine::default();
    gossip.handle_changes(&[object("a", 1, Some("x"))], members);
    gossip.handle_watch_progress(1);
    let mut ahead = gossip.clone();
    ahead.handle_changes(&[object("b", 2, Some("x"))], members);
    ahead.handle_watch_progress(2);
    (gossip, ahead.store().summary())
}

/// Guards against cross-domain pulls of every change: heartbeats from other failure domains announce
/// a change before the peers of this VM's domain have pushed it.
#[test]
fn handle_summary_pulls_from_another_domain_only_after_a_delay() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    let (mut gossip, summary) = one_change_behind(&mut members);
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut handle = |same_domain: bool, ms: u64| {
        gossip.handle_summary(&"vm".into(), same_domain, summary, at(ms))
    };
    assert_eq!(handle(false, 0), None);
    assert_eq!(handle(false, 1_000), None);
    assert!(handle(false, 1_500).is_some());
    assert_eq!(handle(true, 1_600), None, "one pull at a time");
    assert!(handle(true, 3_600).is_some());
}

/// Pattern: in a storm of changes a VM pulls some of them from a peer before they are pushed to it. The
/// next VM must still get them from it.
#[test]
fn handle_pull_page_pushes_new_changes_to_the_next_vm() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    let domain: Vec<_> = [3, 6, 9, 12].map(|number| platform_vm(number, 3)).to_vec();
    members.apply_platform_list(&domain);
    let (mut gossip, summary) = one_change_behind(&mut members);
    let mut ahead = gossip.clone();
    ahead.handle_changes(&[object("b", 2, Some("x"))], &mut members);
    ahead.handle_watch_progress(2);
    let peer = platform_vm(9, 3).vm;
    assert!(gossip.handle_summary(&peer, true, summary, now).is_some());
    let page = ahead.handle_pull(1, false);
    let pull = ObjectPull { vm: peer, after: 1, full: false };
    let actions = gossip.handle_pull_page(&pull, &page, &mut members, now);
    let objects = vec![object("b", 2, Some("x"))];
    assert_eq!(actions, [GossipAction::Push { vm: platform_vm(3, 3).vm, objects }]);
}

/// Pattern: VMs that no push reaches, whether their peers do not know them yet or pushes are lost. The
/// limits are the users' bounds on the time until a configuration is in force.
fn check_change_reaches_unpushed_vms(unanswered: Option<usize>) {
    for (size, domains, limit_s) in [(83, 5, 5), (295, 7, 6), (2_200, 16, 13)] {
        for seed in 1..4 {
            let mut fleet = Fleet::with_domains(size, domains, settings(seed));
            fleet.run(Duration::from_secs(5));
            fleet.unpushed = Some(3);
            fleet.unanswered = unanswered;
            let revision = fleet.write("late", Some("x"));
            let limit = Duration::from_secs(limit_s);
            let time = fleet.run_until(limit, |fleet| {
                let (held, live) = fleet.count_holding("late", revision);
                held == live
            });
            println!("{size:>5} VMs, seed {seed}: {time:?} of {limit:?}");
            assert!(time.is_some(), "{size} VMs, seed {seed}: longer than {limit:?}");
        }
    }
}

#[test]
fn change_reaches_vms_in_time_that_no_push_reaches() {
    check_change_reaches_unpushed_vms(None);
}

/// Pattern: a rolling restart, in which many peers are listed but answer no pull.
#[test]
fn change_reaches_vms_in_time_that_no_push_reaches_though_peers_answer_no_pull() {
    check_change_reaches_unpushed_vms(Some(3));
}

/// Guards against oversized messages: the platform discards its history while the configuration
/// changes, so that the watch holders list again and find more changes than fit in one message.
#[test]
fn handle_listing_splits_changes_into_messages() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(6, 3), platform_vm(9, 3)]);
    let mut gossip = GossipEngine::default();
    let known = [object("known", 1, Some("x"))];
    gossip.apply_listing(&ObjectListing::from_platform(&known, 1));
    let body = "x".repeat(40_000);
    let mut all: Vec<_> =
        (0..6).map(|number| object(&format!("n{number}"), number + 2, Some(&body))).collect();
    all.extend(known);
    let actions = gossip.handle_listing(&ObjectListing::from_platform(&all, 7), &mut members);
    let mut pushed = BTreeMap::new();
    for action in actions {
        let GossipAction::Push { vm, objects } = action else { panic!("only pushes are expected") };
        assert_eq!(objects.len(), 1, "two objects would exceed 64 KiB");
        *pushed.entry(vm).or_insert(0) += 1;
    }
    assert_eq!(pushed.into_values().collect::<Vec<_>>(), [6; 3]);
}

/// Guards against a stalled pull when a peer fails while a VM pulls from it.
#[test]
fn handle_pull_failure_retries_once_and_then_waits_for_a_heartbeat() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(4, 3)]);
    let (mut gossip, summary) = one_change_behind(&mut members);
    assert!(gossip.handle_summary(&"vm".into(), true, summary, now).is_some());
    let retry = ObjectPull { vm: platform_vm(3, 3).vm, after: 1, full: false };
    let expected = GossipAction::Pull(retry.clone());
    assert_eq!(gossip.handle_pull_failure(&"vm".into(), &mut members, now), Some(expected));
    assert_eq!(gossip.handle_pull_failure(&retry.vm, &mut members, now), None);
    assert!(
        gossip.handle_summary(&"vm".into(), true, summary, now).is_some(),
        "the next heartbeat starts a new pull"
    );
}

/// Guards against a VM that waits for a peer which is stopping, and asks no other for seconds.
#[test]
fn handle_summary_pulls_from_another_peer_beside_one_that_does_not_answer() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(4, 3)]);
    let (mut gossip, summary) = one_change_behind(&mut members);
    let at = |ms: u64| now + Duration::from_millis(ms);
    let (silent, other): (VmId, VmId) = ("silent".into(), "other".into());
    assert!(gossip.handle_summary(&silent, true, summary, at(0)).is_some());
    assert_eq!(gossip.handle_summary(&other, true, summary, at(400)), None, "one at a time");
    let action = gossip.handle_summary(&other, true, summary, at(600));
    let Some(GossipAction::Pull(pull)) = action else { panic!("{action:?}") };
    assert_eq!(pull.vm, other);
    // The end of the first pull does not end the second one.
    assert_eq!(gossip.handle_pull_failure(&silent, &mut members, at(700)), None);
    assert_eq!(gossip.handle_summary(&silent, true, summary, at(800)), None);
    let mut ahead = gossip.clone();
    ahead.handle_changes(&[object("b", 2, Some("x"))], &mut members);
    ahead.handle_watch_progress(2);
    // A late page of the first one is used as well.
    let late = ObjectPull { vm: silent, ..pull };
    gossip.handle_pull_page(&late, &ahead.handle_pull(1, false), &mut members, at(900));
    assert_eq!(gossip.store().summary().complete_revision, 2);
}

/// Guards against pulls without end after a change that all VMs hold, and that no watch has confirmed yet: the watches
/// of the kinds that did not change wait for seconds.
#[test]
fn chase_changes_asks_nobody_for_what_this_vm_holds() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(4, 3)]);
    let (mut gossip, _) = one_change_behind(&mut members);
    let change = [object("b", 2, Some("x"))];
    let mut ahead = gossip.clone();
    ahead.handle_changes(&change, &mut members);
    let at = |ms: u64| now + Duration::from_millis(ms);
    let summary = ahead.store().summary();
    assert_eq!(gossip.handle_summary(&"vm".into(), false, summary, at(0)), None);
    assert!(gossip.lacks_changes());
    assert_eq!(gossip.chase_changes(&mut members, at(500)), None, "a push may be on its way");
    assert!(gossip.clone().chase_changes(&mut members, at(1_000)).is_some());
    assert_eq!(gossip.clone().chase_changes(&mut members, at(5_000)), None, "nobody has them");
    gossip.handle_changes(&change, &mut members);
    assert_eq!(gossip.handle_summary(&"vm".into(), false, summary, at(900)), None);
    assert!(!gossip.lacks_changes());
    assert_eq!(gossip.chase_changes(&mut members, at(1_000)), None);
}

/// Guards against a listing that takes the page of another pull for its own, and drops what the page lacks.
#[test]
fn handle_pull_page_of_an_earlier_pull_is_no_part_of_a_listing() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    members.apply_platform_list(&[platform_vm(3, 3), platform_vm(4, 3)]);
    let mut ahead = GossipEngine::default();
    let objects = [object("a", 1, Some("x")), object("b", 2, Some("x"))];
    ahead.apply_listing(&ObjectListing::from_platform(&objects, 2));
    let mut gossip = GossipEngine::default();
    let summary = ahead.store().summary();
    let listing = gossip.handle_summary(&"vm".into(), true, summary, now);
    let Some(GossipAction::Pull(listing)) = listing else { panic!("{listing:?}") };
    assert!(listing.full);
    let earlier = ObjectPull { vm: "earlier".into(), ..listing.clone() };
    let part = ahead.handle_pull(1, false);
    gossip.handle_pull_page(&earlier, &part, &mut members, now);
    assert_eq!(gossip.store().summary().complete_revision, 0, "the listing is not complete");
    gossip.handle_pull_page(&listing, &ahead.handle_pull(0, true), &mut members, now);
    assert_eq!(gossip.store().summary(), summary);
}

/// Guards against a VM without a watch that holds every change but never counts as complete.
#[test]
fn handle_summary_adopts_the_complete_revision_of_a_peer_with_the_same_objects() {
    let now = Instant::now();
    let mut members = MembershipEngine::new(settings(1), serving_record(0), now);
    let mut gossip = GossipEngine::default();
    gossip.handle_changes(&[object("a", 1, Some("x"))], &mut members);
    let mut watcher = gossip.clone();
    watcher.handle_watch_progress(1);
    assert_eq!(gossip.handle_summary(&"vm".into(), true, watcher.store().summary(), now), None);
    assert_eq!(gossip.store().summary().complete_revision, 1);
}
