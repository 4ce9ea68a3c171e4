//! Complete sessions of two VMs, the platform and a target.

#![allow(clippy::unwrap_used)]

mod ledger_simulation;

use std::fmt::Write;
use std::time::Duration;

use expect_test::Expect;
use expect_test::expect;
use ledger_simulation::InjectedBug;
use ledger_simulation::START_MS;
use ledger_simulation::Simulation;
use ledger_simulation::Step;
use ledger_simulation::settings;
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
        LedgerAction::Dispatch { request, .. } => format!("dispatch attempt {request}"),
        LedgerAction::Answer { request, outcome, ran, cause, result, retry_after } => format!(
            "answer attempt {request}: {outcome:?}, ran {ran:?}, {cause:?}, {result:?}, \
             retry after {retry_after:?}"
        ),
    }
}

/// Applies the steps and returns a log of them and their actions, one per line.
fn run_steps(simulation: &mut Simulation, steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        let actions = simulation.apply(*step);
        writeln!(text, "{step:?}").unwrap();
        for action in &actions {
            writeln!(text, "  {}", action_text(action)).unwrap();
        }
    }
    text
}

fn check(simulation: &mut Simulation, steps: &[Step], expected: Expect) {
    expected.assert_eq(&run_steps(simulation, steps));
}

fn simulation(numbers: &[u32]) -> Simulation {
    let key = format!("{START_MS}-a");
    let attempts: Vec<(&str, u32)> = numbers.iter().map(|number| (key.as_str(), *number)).collect();
    Simulation::new(&attempts, settings(), InjectedBug::None)
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

/// Returns the steps of one exchange with the platform or a target.
fn exchange(vm: usize) -> [Step; 2] {
    [serve(vm), deliver(vm)]
}

/// Returns the steps of one complete attempt: read, claim, dispatch and record.
fn complete_attempt(vm: usize) -> Vec<Step> {
    [vec![submit(vm)], exchange(vm).repeat(4)].concat()
}

#[test]
fn session_lost_reply_is_resolved_by_reading() {
    let lost = [Step::LoseReply { vm: 0, index: 0 }, deliver(0)];
    let steps =
        [vec![submit(0)], exchange(0).to_vec(), lost.to_vec(), exchange(0).repeat(2)].concat();
    check(
        &mut simulation(&[1]),
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
              dispatch attempt 0
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer attempt 0: Answered, ran Yes, Ran, Some("result of attempt 0"), retry after None
              update at 1 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"d":{"p":"east","r":"result of attempt 0"}}}}}
        "#]],
    );
}

#[test]
fn session_two_vms_claim_the_same_key() {
    let reads = [submit(0), submit(1), serve(0), serve(1), deliver(0), deliver(1)];
    let steps = [reads.to_vec(), exchange(0).to_vec(), exchange(1).repeat(2)].concat();
    check(
        &mut simulation(&[1, 2]),
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
              dispatch attempt 0
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer attempt 1: Unknown, ran Unknown, ClaimHeld, None, retry after Some(1s)
        "#]],
    );
}

#[test]
fn session_paused_vm_resumes() {
    let paused = [vec![submit(0)], exchange(0).to_vec(), vec![serve(0)]].concat();
    let other = [vec![submit(1)], exchange(1).to_vec()].concat();
    let resumed = [vec![Step::Expire { vm: 0 }, deliver(0)], exchange(0).to_vec()].concat();
    let retry = [vec![submit(0)], exchange(0).repeat(2)].concat();
    let steps = [paused, other, resumed, retry].concat();
    check(
        &mut simulation(&[1, 2, 3]),
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
              answer attempt 1: Unknown, ran Unknown, ClaimHeld, None, retry after Some(1s)
            Expire { vm: 0 }
              answer attempt 0: Unknown, ran Unknown, ClaimUncertain, None, retry after Some(1s)
            Deliver { vm: 0, index: 0 }
              update at 1 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"n":1}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
            Submit { vm: 0 }
              update at 2 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1144423221181916}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch attempt 2
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer attempt 2: Answered, ran Yes, Ran, Some("result of attempt 2"), retry after None
              update at 3 {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"d":{"p":"east","r":"result of attempt 2"}}}}}
        "#]],
    );
}

#[test]
fn session_killed_between_claim_and_dispatch() {
    let claimed = [vec![submit(0)], exchange(0).repeat(2), vec![Step::Crash { vm: 0 }]].concat();
    let retry = [vec![submit(1)], exchange(1).to_vec()].concat();
    check(
        &mut simulation(&[1, 2]),
        &[claimed, retry].concat(),
        expect![[r#"
            Submit { vm: 0 }
              read
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              dispatch attempt 0
            Crash { vm: 0 }
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer attempt 1: Unknown, ran Unknown, ClaimHeld, None, retry after Some(1s)
        "#]],
    );
}

#[test]
fn session_provider_changes_between_two_attempts() {
    let mut simulation = simulation(&[1, 2]);
    run_steps(&mut simulation, &complete_attempt(0));
    simulation.provider = "west";
    let retry = [vec![submit(1)], exchange(1).to_vec()].concat();
    check(
        &mut simulation,
        &retry,
        expect![[r#"
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer attempt 1: Answered, ran Yes, RanBefore, Some("result of attempt 0"), retry after None
        "#]],
    );
    assert_eq!(simulation.executed, [0]);
}

#[test]
fn session_full_segment_refuses() {
    let keys = [format!("{START_MS}-a"), format!("{START_MS}-b")];
    let attempts = [(keys[0].as_str(), 1), (keys[1].as_str(), 1)];
    let limits = LedgerSettings { max_segment_bytes: 500, ..settings() };
    let mut simulation = Simulation::new(&attempts, limits, InjectedBug::None);
    let steps = [vec![submit(0), submit(0)], exchange(0).to_vec()].concat();
    check(
        &mut simulation,
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            Submit { vm: 0 }
            Serve { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer attempt 1: NotRun, ran No, SegmentFull, None, retry after Some(1s)
              create {"e":{"4284d392857018c32e72c97cc5bfa691":{"i":1800000000000,"s":{"c":1679551904914287}}}}
        "#]],
    );
}

#[test]
fn session_key_past_the_window_is_unknown() {
    let key = format!("{}-a", START_MS - 600_001);
    let mut simulation = Simulation::new(&[(&key, 1)], settings(), InjectedBug::None);
    check(
        &mut simulation,
        &[submit(0)],
        expect![[r#"
            Submit { vm: 0 }
              answer attempt 0: Unknown, ran Unknown, KeyExpired, None, retry after None
        "#]],
    );
}

#[test]
fn session_key_from_the_future_is_refused() {
    let key = format!("{}-a", START_MS + 30_001);
    let mut simulation = Simulation::new(&[(&key, 1), (&key, 2)], settings(), InjectedBug::None);
    check(
        &mut simulation,
        &[submit(0), submit(0)],
        expect![[r#"
            Submit { vm: 0 }
              answer attempt 0: NotRun, ran No, KeyInFuture, None, retry after Some(1s)
            Submit { vm: 0 }
              answer attempt 1: Unknown, ran Unknown, KeyInFuture, None, retry after Some(1s)
        "#]],
    );
}

/// The clock of VM 1 is ahead by the maximum skew, so it prunes the entry just after VM 0 begins to
/// refuse the key.
#[test]
fn session_clock_skew_never_reopens_a_key() {
    let keys = [format!("{START_MS}-a"), format!("{}-b", START_MS + 600_000)];
    let attempts = [(keys[0].as_str(), 1), (keys[1].as_str(), 1), (keys[0].as_str(), 2)];
    let mut simulation = Simulation::new(&attempts, settings(), InjectedBug::None);
    run_steps(&mut simulation, &complete_attempt(0));
    for vm in &mut simulation.vms {
        vm.elapsed += Duration::from_millis(600_001);
    }
    simulation.vms[1].wall_offset = Duration::from_secs(30);
    let steps = [vec![submit(1)], exchange(1).repeat(2), vec![submit(0)]].concat();
    check(
        &mut simulation,
        &steps,
        expect![[r#"
            Submit { vm: 1 }
              read
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              update at 2 {"e":{"a83b44ca2e485e8c926079c869354369":{"i":1800000600000,"s":{"c":4693686595990763}}}}
            Serve { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              dispatch attempt 1
            Submit { vm: 0 }
              answer attempt 2: Unknown, ran Unknown, KeyExpired, None, retry after None
        "#]],
    );
}

#[test]
fn session_platform_down_is_certain_for_the_first_attempt_only() {
    let failed = |vm| [submit(vm), Step::FailRead { vm, index: 0 }, deliver(vm)];
    let steps = [failed(0), failed(1)].concat();
    check(
        &mut simulation(&[1, 2]),
        &steps,
        expect![[r#"
            Submit { vm: 0 }
              read
            FailRead { vm: 0, index: 0 }
            Deliver { vm: 0, index: 0 }
              answer attempt 0: NotRun, ran No, PlatformUnreachable, None, retry after Some(1s)
            Submit { vm: 1 }
              read
            FailRead { vm: 1, index: 0 }
            Deliver { vm: 1, index: 0 }
              answer attempt 1: Unknown, ran Unknown, PlatformUnreachable, None, retry after Some(1s)
        "#]],
    );
}

#[test]
fn session_claims_are_committed_in_one_group() {
    let keys: Vec<String> = (0..3).map(|number| format!("{START_MS}-{number}")).collect();
    let attempts: Vec<(&str, u32)> = keys.iter().map(|key| (key.as_str(), 1)).collect();
    let mut simulation = Simulation::new(&attempts, settings(), InjectedBug::None);
    let steps = [vec![submit(0); 3], exchange(0).repeat(2)].concat();
    check(
        &mut simulation,
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
              dispatch attempt 0
              dispatch attempt 1
              dispatch attempt 2
        "#]],
    );
}
