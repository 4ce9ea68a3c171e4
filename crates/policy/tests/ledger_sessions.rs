//! Whole sessions of two VMs, the platform and a target around one key.

#![allow(clippy::unwrap_used)]

mod ledger_world;

use std::fmt::Write;
use std::time::Duration;

use expect_test::Expect;
use expect_test::expect;
use ledger_world::Flaw;
use ledger_world::START_MS;
use ledger_world::Step;
use ledger_world::World;
use ledger_world::settings;
use oleanderwind_policy::LedgerAction;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::LedgerSettings;

fn json(body: &LedgerSegment) -> String {
    serde_json::to_string(body).unwrap()
}

fn action_text(action: &LedgerAction) -> String {
    match action {
        LedgerAction::ReadSegment { .. } => "read".into(),
        LedgerAction::CreateSegment { body, .. } => format!("create {}", json(body)),
        LedgerAction::UpdateSegment { body, expected, .. } => {
            format!("update at {expected} {}", json(body))
        }
        LedgerAction::Dispatch { request, .. } => format!("dispatch try {request}"),
        LedgerAction::Answer { request, outcome, ran, cause, result, retry_after } => format!(
            "answer try {request}: {outcome:?}, ran {ran:?}, {cause:?}, {result:?}, \
             come back {retry_after:?}"
        ),
    }
}

/// Takes the steps and returns what happened, a line each.
fn play(world: &mut World, steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        let actions = world.take(*step);
        writeln!(text, "{step:?}").unwrap();
        for action in &actions {
            writeln!(text, "  {}", action_text(action)).unwrap();
        }
    }
    text
}

fn check(world: &mut World, steps: &[Step], expected: Expect) {
    expected.assert_eq(&play(world, steps));
}

fn world(attempts: &[u32]) -> World {
    let key = format!("{START_MS}-a");
    let tries: Vec<(&str, u32)> = attempts.iter().map(|number| (key.as_str(), *number)).collect();
    World::new(&tries, settings(), Flaw::None)
}

fn submit(vm: usize) -> Step {
    Step::Submit { vm }
}

fn serve(vm: usize) -> Step {
    Step::Serve { vm, index: 0 }
}

fn deliver(vm: usize) -> Step {
    Step::Deliver { vm, index: 0 }
}

/// One exchange with the platform or a target.
fn exchange(vm: usize) -> [Step; 2] {
    [serve(vm), deliver(vm)]
}

/// Reads, claims, dispatches and records.
fn run(vm: usize) -> Vec<Step> {
    [vec![submit(vm)], exchange(vm).repeat(4)].concat()
}

#[test]
fn session_lost_reply_is_settled_by_reading_back() {
    let lost = [Step::LoseReply { vm: 0, index: 0 }, deliver(0)];
    let steps =
        [vec![submit(0)], exchange(0).to_vec(), lost.to_vec(), exchange(0).repeat(2)].concat();
    check(
        &mut world(&[1]),
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
            LoseReply { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              read
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch try 0
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer try 0: Answered, ran Yes, Ran, Some("result of try 0"), come back None
              update at 1 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"d":{"p":"east","r":"result of try 0"}}}}}
        "#]],
    );
}

#[test]
fn session_two_vms_claim_the_same_key() {
    let reads = [submit(0), submit(1), serve(0), serve(1), deliver(0), deliver(1)];
    let steps = [reads.to_vec(), exchange(0).to_vec(), exchange(1).repeat(2)].concat();
    check(
        &mut world(&[1, 2]),
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Submit { vm: 1 }
              read
            Serve { vm: 0, index: 0 }
            Serve { vm: 1, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
            Deliver { vm: 1, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":4693686595990763}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch try 0
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer try 1: Unknown, ran Unknown, ClaimHeld, None, come back Some(1s)
        "#]],
    );
}

#[test]
fn session_frozen_holder_wakes() {
    let frozen = [vec![submit(0)], exchange(0).to_vec(), vec![serve(0)]].concat();
    let other = [vec![submit(1)], exchange(1).to_vec()].concat();
    let woken = [vec![Step::Expire { vm: 0 }, deliver(0)], exchange(0).to_vec()].concat();
    let retry = [vec![submit(0)], exchange(0).repeat(2)].concat();
    let steps = [frozen, other, woken, retry].concat();
    check(
        &mut world(&[1, 2, 3]),
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
            Serve { vm: 0, index: 0 }
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer try 1: Unknown, ran Unknown, ClaimHeld, None, come back Some(1s)
            Expire { vm: 0 }
              answer try 0: Unknown, ran Unknown, ClaimUncertain, None, come back Some(1s)
            Deliver { vm: 0, index: 0 }
              update at 1 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"n":1}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
            Submit { vm: 0 }
              update at 2 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1144423221181916}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch try 2
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer try 2: Answered, ran Yes, Ran, Some("result of try 2"), come back None
              update at 3 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"d":{"p":"east","r":"result of try 2"}}}}}
        "#]],
    );
}

#[test]
fn session_killed_between_claim_and_dispatch() {
    let claimed = [vec![submit(0)], exchange(0).repeat(2), vec![Step::Crash { vm: 0 }]].concat();
    let retry = [vec![submit(1)], exchange(1).to_vec()].concat();
    check(
        &mut world(&[1, 2]),
        &[claimed, retry].concat(),
        expect![[r#"
            Submit { vm: 0 }
              read
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch try 0
            Crash { vm: 0 }
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer try 1: Unknown, ran Unknown, ClaimHeld, None, come back Some(1s)
        "#]],
    );
}

#[test]
fn session_provider_moves_between_two_tries() {
    let mut world = world(&[1, 2]);
    play(&mut world, &run(0));
    world.provider = "west";
    let retry = [vec![submit(1)], exchange(1).to_vec()].concat();
    check(
        &mut world,
        &retry,
        expect![[r#"
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer try 1: Answered, ran Yes, RanBefore, Some("result of try 0"), come back None
        "#]],
    );
    assert_eq!(world.executed, [0]);
}

#[test]
fn session_full_segment_refuses() {
    let keys = [format!("{START_MS}-a"), format!("{START_MS}-b")];
    let tries = [(keys[0].as_str(), 1), (keys[1].as_str(), 1)];
    let limits = LedgerSettings { max_segment_bytes: 500, ..settings() };
    let mut world = World::new(&tries, limits, Flaw::None);
    let steps = [vec![submit(0), submit(0)], exchange(0).to_vec()].concat();
    check(
        &mut world,
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Submit { vm: 0 }
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer try 1: NotRun, ran No, SegmentFull, None, come back Some(1s)
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
        "#]],
    );
}

#[test]
fn session_key_past_the_window_is_unknown() {
    let key = format!("{}-a", START_MS - 600_001);
    let mut world = World::new(&[(&key, 1)], settings(), Flaw::None);
    check(
        &mut world,
        &[submit(0)],
        expect![[r#"
            Submit { vm: 0 }
              answer try 0: Unknown, ran Unknown, KeyExpired, None, come back None
        "#]],
    );
}

#[test]
fn session_key_from_the_future_is_refused() {
    let key = format!("{}-a", START_MS + 30_001);
    let mut world = World::new(&[(&key, 1), (&key, 2)], settings(), Flaw::None);
    check(
        &mut world,
        &[submit(0), submit(0)],
        expect![[r#"
            Submit { vm: 0 }
              answer try 0: NotRun, ran No, KeyInFuture, None, come back Some(1s)
            Submit { vm: 0 }
              answer try 1: Unknown, ran Unknown, KeyInFuture, None, come back Some(1s)
        "#]],
    );
}

/// VM 1's clock leads by the whole skew: it prunes the entry when VM 0 has just begun to refuse
/// the key.
#[test]
fn session_clocks_apart_never_reopen_a_key() {
    let keys = [format!("{START_MS}-a"), format!("{}-b", START_MS + 600_000)];
    let tries = [(keys[0].as_str(), 1), (keys[1].as_str(), 1), (keys[0].as_str(), 2)];
    let mut world = World::new(&tries, settings(), Flaw::None);
    play(&mut world, &run(0));
    for vm in &mut world.vms {
        vm.elapsed += Duration::from_millis(600_001);
    }
    world.vms[1].lead = Duration::from_secs(30);
    let steps = [vec![submit(1)], exchange(1).repeat(2), vec![submit(0)]].concat();
    check(
        &mut world,
        &steps,
        expect![[r#"
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              update at 2 {"e":{"a83b44ca2e485e8c926079c869354369":{"i":1800000600000,"s":{"c":4693686595990763}}}}
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              dispatch try 1
            Submit { vm: 0 }
              answer try 2: Unknown, ran Unknown, KeyExpired, None, come back None
        "#]],
    );
}

#[test]
fn session_platform_down_refuses_the_first_try_only() {
    let failed = |vm| [submit(vm), Step::FailRead { vm, index: 0 }, deliver(vm)];
    let steps = [failed(0), failed(1)].concat();
    check(
        &mut world(&[1, 2]),
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            FailRead { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer try 0: NotRun, ran No, PlatformUnreachable, None, come back Some(1s)
            Submit { vm: 1 }
              read
            FailRead { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer try 1: Unknown, ran Unknown, PlatformUnreachable, None, come back Some(1s)
        "#]],
    );
}

#[test]
fn session_claims_are_committed_in_one_group() {
    let keys: Vec<String> = (0..3).map(|number| format!("{START_MS}-{number}")).collect();
    let tries: Vec<(&str, u32)> = keys.iter().map(|key| (key.as_str(), 1)).collect();
    let mut world = World::new(&tries, settings(), Flaw::None);
    let steps = [vec![submit(0); 3], exchange(0).repeat(2)].concat();
    check(
        &mut world,
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Submit { vm: 0 }
            Submit { vm: 0 }
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"3e5bdb76420165a21f8fd9532bea3751":{"i":1800000000000,"s":{"c":1679551904914287}},"6d8d9513cde7a746993e6ebec7da5527":{"i":1800000000000,"s":{"c":2729280005488261}},"8cb95b9195840b6259a9a0d93f6dccd4":{"i":1800000000000,"s":{"c":1144423221181916}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch try 0
              dispatch try 1
              dispatch try 2
        "#]],
    );
}
