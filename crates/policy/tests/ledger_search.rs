//! Breadth-first search over the interleavings of two engines, the platform and a target.
//!
//! States are compared by a 64-bit hash of their whole content.

#![allow(clippy::unwrap_used)]

mod ledger_simulation;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use ledger_simulation::InjectedBug;
use ledger_simulation::Message;
use ledger_simulation::START_MS;
use ledger_simulation::Simulation;
use ledger_simulation::Step;
use ledger_simulation::settings;
use oleanderwind_policy::ClaimMode;
use oleanderwind_policy::EntryState;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::RequestOutcome;

/// Result of a search.
struct Search {
    states: usize,
    kinds: BTreeMap<String, u64>,
    is_exhaustive: bool,
    violation: Option<(String, Vec<Step>)>,
}

fn is_fault(step: Step) -> bool {
    !matches!(
        step,
        Step::Submit { .. }
            | Step::Serve { .. }
            | Step::Deliver { .. }
            | Step::Tick { .. }
            | Step::ApplyDelayedWrite { .. }
            | Step::ExecuteDelayed { .. }
    )
}

fn step_kind(simulation: &Simulation, step: Step) -> String {
    let step_name = format!("{step:?}");
    let name = step_name.split(' ').next().unwrap();
    let message = match step {
        Step::Serve { vm, index }
        | Step::Deliver { vm, index }
        | Step::LoseReply { vm, index }
        | Step::LoseCall { vm, index }
        | Step::DelayCall { vm, index }
        | Step::RefuseCall { vm, index } => &simulation.vms[vm].messages[index],
        _ => return name.into(),
    };
    let text = match message {
        Message::Reply(event) => format!("{event:?}"),
        other => format!("{other:?}"),
    };
    format!("{name} {}", text.split(' ').next().unwrap())
}

fn enabled_steps(simulation: &Simulation) -> Vec<Step> {
    let mut steps = Vec::new();
    for vm in 0..simulation.vms.len() {
        if simulation.submitted < simulation.attempts.len() {
            steps.push(Step::Submit { vm });
        }
        for (index, message) in simulation.vms[vm].messages.iter().enumerate() {
            match message {
                Message::Reply(_) => steps.push(Step::Deliver { vm, index }),
                Message::Read { .. } => {
                    steps.extend([Step::Serve { vm, index }, Step::FailRead { vm, index }]);
                }
                Message::Execute { deadline, .. } if *deadline <= simulation.now(vm) => {
                    steps.push(Step::NotSent { vm, index });
                }
                Message::Write { .. } | Message::Execute { .. } => steps.extend([
                    Step::Serve { vm, index },
                    Step::LoseReply { vm, index },
                    Step::LoseCall { vm, index },
                    Step::DelayCall { vm, index },
                    Step::RefuseCall { vm, index },
                ]),
            }
        }
        let engine = &simulation.vms[vm].engine;
        if engine.next_wake().is_some() {
            steps.push(Step::Tick { vm });
        }
        steps.extend([Step::Expire { vm }, Step::Crash { vm }]);
    }
    steps.extend(
        (0..simulation.delayed_writes.len()).map(|index| Step::ApplyDelayedWrite { index }),
    );
    steps.extend(
        (0..simulation.delayed_executions.len()).map(|index| Step::ExecuteDelayed { index }),
    );
    steps.retain(|step| simulation.faults_left > 0 || !is_fault(*step));
    steps
}

/// Returns the first violated invariant, if any.
fn violation(simulation: &Simulation) -> Option<String> {
    let attempts = &simulation.attempts;
    for (place, first) in simulation.executed.iter().enumerate() {
        let key = &attempts[*first as usize].key;
        if let Some(second) = simulation.executed[place + 1..]
            .iter()
            .find(|other| attempts[**other as usize].key == *key)
        {
            return Some(format!("key ran in attempt {first} and in attempt {second}"));
        }
    }
    for (answered, (outcome, result)) in &simulation.answers {
        let own = &attempts[*answered as usize];
        let run =
            simulation.executed.iter().find(|other| attempts[**other as usize].key == own.key);
        match outcome {
            RequestOutcome::NotRun => {
                if let Some(run) = run.filter(|run| attempts[**run as usize].number <= own.number) {
                    return Some(format!(
                        "attempt {answered} was answered `not run`, but attempt {run} ran"
                    ));
                }
            }
            RequestOutcome::Answered => {
                let expected = run.map(|run| simulation.result_text(*run));
                if *result != expected {
                    return Some(format!("attempt {answered} got {result:?}, not {expected:?}"));
                }
            }
            RequestOutcome::Unknown => {}
            RequestOutcome::Partial => return Some("partial".into()),
        }
    }
    leaked_claim(simulation)
}

/// Returns an error if a claim without outcome is left that no engine will resolve, though no VM
/// crashed and no dispatch was lost.
fn leaked_claim(simulation: &Simulation) -> Option<String> {
    let is_idle = simulation.vms.iter().all(|vm| vm.engine.open_requests() == 0);
    if !is_idle || simulation.allows_open_claims {
        return None;
    }
    let mut entries = simulation.store.values().flat_map(|(_, body)| &body.entries);
    let is_claimed = entries.any(|(_, entry)| matches!(entry.state, EntryState::Claimed(_)));
    is_claimed.then(|| "a claim without outcome was left behind".into())
}

fn digest(simulation: &Simulation) -> u64 {
    let mut hasher = DefaultHasher::new();
    simulation.hash(&mut hasher);
    hasher.finish()
}

fn search(start: Simulation, depth: usize) -> Search {
    let mut found =
        Search { states: 1, kinds: BTreeMap::new(), is_exhaustive: true, violation: None };
    let mut seen = HashSet::from([digest(&start)]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((simulation, path)) = queue.pop_front() {
        if path.len() == depth {
            found.is_exhaustive = false;
            continue;
        }
        for step in enabled_steps(&simulation) {
            let mut next = simulation.clone();
            next.faults_left -= u32::from(is_fault(step));
            next.apply(step);
            *found.kinds.entry(step_kind(&simulation, step)).or_default() += 1;
            if !seen.insert(digest(&next)) {
                continue;
            }
            found.states += 1;
            let mut next_path = path.clone();
            next_path.push(step);
            if let Some(text) = violation(&next) {
                found.violation = Some((text, next_path));
                return found;
            }
            queue.push_back((next, next_path));
        }
    }
    found
}

fn simulation(numbers: &[u32], faults: u32, mode: ClaimMode, bug: InjectedBug) -> Simulation {
    let key = format!("{START_MS}-a");
    let attempts: Vec<(&str, u32)> = numbers.iter().map(|number| (key.as_str(), *number)).collect();
    let mut simulation = Simulation::new(&attempts, LedgerSettings { mode, ..settings() }, bug);
    simulation.faults_left = faults;
    simulation
}

fn print(name: &str, depth: usize, found: &Search) {
    println!(
        "{name}: {} states, depth bound {depth}, exhaustive {}",
        found.states, found.is_exhaustive
    );
    println!("{:?}", found.kinds);
}

/// Steps that each search must take, by the name of the step and of its message.
const KINDS: [&str; 25] = [
    "Submit",
    "Serve Read",
    "Serve Write",
    "Serve Execute",
    "FailRead",
    "LoseReply Write",
    "LoseReply Execute",
    "LoseCall Write",
    "LoseCall Execute",
    "DelayCall Write",
    "DelayCall Execute",
    "RefuseCall Write",
    "RefuseCall Execute",
    "Deliver SegmentRead",
    "Deliver ReadFailed",
    "Deliver WriteAccepted",
    "Deliver WriteConflict",
    "Deliver WriteUncertain",
    "Deliver WriteRefused",
    "Deliver ExecuteFinished",
    "Expire",
    "Tick",
    "Crash",
    "ApplyDelayedWrite",
    "ExecuteDelayed",
];

fn assert_holds(name: &str, start: Simulation, depth: usize) {
    let found = search(start, depth);
    print(name, depth, &found);
    assert_eq!(found.violation, None);
    for kind in KINDS {
        assert!(found.kinds.contains_key(kind), "step {kind} was never taken");
    }
}

#[test]
fn search_holds_for_two_attempts() {
    assert_holds("two attempts", simulation(&[1, 2], 2, ClaimMode::Grouped, InjectedBug::None), 14);
}

#[test]
fn search_holds_exhaustively_with_one_fault() {
    let found = search(simulation(&[1, 2], 1, ClaimMode::Grouped, InjectedBug::None), usize::MAX);
    print("one fault", usize::MAX, &found);
    assert_eq!(found.violation, None);
    assert!(found.is_exhaustive);
}

#[test]
fn search_holds_for_three_attempts() {
    assert_holds(
        "three attempts",
        simulation(&[1, 2, 3], 2, ClaimMode::Grouped, InjectedBug::None),
        10,
    );
}

#[test]
fn search_holds_for_uncounted_attempts() {
    assert_holds(
        "uncounted attempts",
        simulation(&[0, 0], 2, ClaimMode::Grouped, InjectedBug::None),
        11,
    );
}

#[test]
fn search_holds_for_two_keys() {
    let mut start = simulation(&[1, 2], 2, ClaimMode::Grouped, InjectedBug::None);
    start.attempts.push(ledger_simulation::Attempt { key: format!("{START_MS}-b"), number: 1 });
    assert_holds("two keys", start, 10);
}

#[test]
fn search_holds_for_per_request_objects() {
    let start = simulation(&[1, 2], 2, ClaimMode::PerRequestObject, InjectedBug::None);
    assert_holds("one object per request", start, 12);
}

#[test]
fn search_finds_ignored_revision() {
    let found =
        search(simulation(&[1, 2], 0, ClaimMode::Grouped, InjectedBug::IgnoredRevision), 14);
    print("ignored revision", 14, &found);
    let (text, path) = found.violation.unwrap();
    println!("{path:?}");
    assert_eq!(text, "key ran in attempt 0 and in attempt 1");
}

#[test]
fn search_finds_assumed_acceptance() {
    let mut start = simulation(&[1, 2], 1, ClaimMode::Grouped, InjectedBug::AssumedAcceptance);
    // Lets the search continue past claims without outcome to a key that runs twice.
    start.allows_open_claims = true;
    let found = search(start, 14);
    print("assumed acceptance", 14, &found);
    let (text, path) = found.violation.unwrap();
    println!("{path:?}");
    assert_eq!(text, "key ran in attempt 0 and in attempt 1");
}
