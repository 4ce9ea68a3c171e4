//! Breadth-first search over what two engines, the platform and a target may do to one key.
//!
//! A state is told apart by a 64-bit hash of everything in it.

#![allow(clippy::unwrap_used)]

mod ledger_world;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use ledger_world::Flaw;
use ledger_world::Message;
use ledger_world::START_MS;
use ledger_world::Step;
use ledger_world::World;
use ledger_world::settings;
use oleanderwind_policy::ClaimMode;
use oleanderwind_policy::EntryState;
use oleanderwind_policy::LedgerSettings;
use oleanderwind_policy::RequestOutcome;

/// What a search saw.
struct Search {
    states: usize,
    kinds: BTreeMap<String, u64>,
    is_whole: bool,
    violation: Option<(String, Vec<Step>)>,
}

fn is_fault(step: Step) -> bool {
    !matches!(
        step,
        Step::Submit { .. }
            | Step::Serve { .. }
            | Step::Deliver { .. }
            | Step::Tick { .. }
            | Step::LateWrite { .. }
            | Step::LateExecute { .. }
    )
}

fn kind(world: &World, step: Step) -> String {
    let step_name = format!("{step:?}");
    let name = step_name.split(' ').next().unwrap();
    let message = match step {
        Step::Serve { vm, index }
        | Step::Deliver { vm, index }
        | Step::LoseReply { vm, index }
        | Step::LoseCall { vm, index }
        | Step::DelayCall { vm, index }
        | Step::RefuseCall { vm, index } => &world.vms[vm].messages[index],
        _ => return name.into(),
    };
    let text = match message {
        Message::Reply(event) => format!("{event:?}"),
        other => format!("{other:?}"),
    };
    format!("{name} {}", text.split(' ').next().unwrap())
}

fn steps(world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    for vm in 0..world.vms.len() {
        if world.submitted < world.tries.len() {
            steps.push(Step::Submit { vm });
        }
        for (index, message) in world.vms[vm].messages.iter().enumerate() {
            match message {
                Message::Reply(_) => steps.push(Step::Deliver { vm, index }),
                Message::Read { .. } => {
                    steps.extend([Step::Serve { vm, index }, Step::FailRead { vm, index }]);
                }
                Message::Execute { deadline, .. } if *deadline <= world.now(vm) => {
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
        let engine = &world.vms[vm].engine;
        if engine.next_wake().is_some() {
            steps.push(Step::Tick { vm });
        }
        steps.extend([Step::Expire { vm }, Step::Crash { vm }]);
    }
    steps.extend((0..world.late_writes.len()).map(|index| Step::LateWrite { index }));
    steps.extend((0..world.late_executions.len()).map(|index| Step::LateExecute { index }));
    steps.retain(|step| world.faults_left > 0 || !is_fault(*step));
    steps
}

/// The first broken promise, if any.
fn violation(world: &World) -> Option<String> {
    let tries = &world.tries;
    for (place, first) in world.executed.iter().enumerate() {
        let key = &tries[*first as usize].key;
        if let Some(second) =
            world.executed[place + 1..].iter().find(|other| tries[**other as usize].key == *key)
        {
            return Some(format!("key ran in try {first} and in try {second}"));
        }
    }
    for (answered, (outcome, result)) in &world.answers {
        let own = &tries[*answered as usize];
        let run = world.executed.iter().find(|other| tries[**other as usize].key == own.key);
        match outcome {
            RequestOutcome::NotRun => {
                if let Some(run) = run.filter(|run| tries[**run as usize].attempt <= own.attempt) {
                    return Some(format!("try {answered} told `not run`, but try {run} ran"));
                }
            }
            RequestOutcome::Answered => {
                let expected = run.map(|run| world.result_text(*run));
                if *result != expected {
                    return Some(format!("try {answered} got {result:?}, not {expected:?}"));
                }
            }
            RequestOutcome::Unknown => {}
            RequestOutcome::Partial => return Some("partial".into()),
        }
    }
    forgotten_claim(world)
}

/// A claim without outcome that nobody will settle, though no VM crashed and no call was lost.
fn forgotten_claim(world: &World) -> Option<String> {
    let is_quiet = world.vms.iter().all(|vm| vm.engine.open_requests() == 0);
    if !is_quiet || world.may_stay_claimed {
        return None;
    }
    let mut entries = world.store.values().flat_map(|(_, body)| &body.entries);
    let is_claimed = entries.any(|(_, entry)| matches!(entry.state, EntryState::Claimed(_)));
    is_claimed.then(|| "a claim was forgotten".into())
}

fn digest(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn search(start: World, depth: usize) -> Search {
    let mut found = Search { states: 1, kinds: BTreeMap::new(), is_whole: true, violation: None };
    let mut seen = HashSet::from([digest(&start)]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((world, path)) = queue.pop_front() {
        if path.len() == depth {
            found.is_whole = false;
            continue;
        }
        for step in steps(&world) {
            let mut next = world.clone();
            next.faults_left -= u32::from(is_fault(step));
            next.take(step);
            *found.kinds.entry(kind(&world, step)).or_default() += 1;
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

fn world(attempts: &[u32], faults: u32, mode: ClaimMode, flaw: Flaw) -> World {
    let key = format!("{START_MS}-a");
    let tries: Vec<(&str, u32)> = attempts.iter().map(|number| (key.as_str(), *number)).collect();
    let mut world = World::new(&tries, LedgerSettings { mode, ..settings() }, flaw);
    world.faults_left = faults;
    world
}

fn print(name: &str, depth: usize, found: &Search) {
    println!("{name}: {} states, depth bound {depth}, to the end {}", found.states, found.is_whole);
    println!("{:?}", found.kinds);
}

/// Steps that a search must have taken, by the name of the step and of its message.
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
    "LateWrite",
    "LateExecute",
];

fn assert_holds(name: &str, start: World, depth: usize) {
    let found = search(start, depth);
    print(name, depth, &found);
    assert_eq!(found.violation, None);
    for kind in KINDS {
        assert!(found.kinds.contains_key(kind), "{kind} never taken");
    }
}

#[test]
fn search_holds_for_two_tries() {
    assert_holds("two tries", world(&[1, 2], 2, ClaimMode::Grouped, Flaw::None), 14);
}

#[test]
fn search_holds_to_the_end_with_one_fault() {
    let found = search(world(&[1, 2], 1, ClaimMode::Grouped, Flaw::None), usize::MAX);
    print("one fault", usize::MAX, &found);
    assert_eq!(found.violation, None);
    assert!(found.is_whole);
}

#[test]
fn search_holds_for_three_tries() {
    assert_holds("three tries", world(&[1, 2, 3], 2, ClaimMode::Grouped, Flaw::None), 10);
}

#[test]
fn search_holds_for_uncounted_tries() {
    assert_holds("uncounted tries", world(&[0, 0], 2, ClaimMode::Grouped, Flaw::None), 11);
}

#[test]
fn search_holds_for_two_keys() {
    let mut start = world(&[1, 2], 2, ClaimMode::Grouped, Flaw::None);
    start.tries.push(ledger_world::Try { key: format!("{START_MS}-b"), attempt: 1 });
    assert_holds("two keys", start, 10);
}

#[test]
fn search_holds_for_per_request_objects() {
    let start = world(&[1, 2], 2, ClaimMode::PerRequestObject, Flaw::None);
    assert_holds("one object a request", start, 12);
}

#[test]
fn search_finds_the_fence_switched_off() {
    let found = search(world(&[1, 2], 0, ClaimMode::Grouped, Flaw::FenceOff), 14);
    print("fence off", 14, &found);
    let (text, path) = found.violation.unwrap();
    println!("{path:?}");
    assert_eq!(text, "key ran in try 0 and in try 1");
}

#[test]
fn search_finds_the_guessed_claim() {
    let mut start = world(&[1, 2], 1, ClaimMode::Grouped, Flaw::GuessAccepted);
    // The search is to go on past forgotten claims, to the key that runs twice.
    start.may_stay_claimed = true;
    let found = search(start, 14);
    print("guessed claim", 14, &found);
    let (text, path) = found.violation.unwrap();
    println!("{path:?}");
    assert_eq!(text, "key ran in try 0 and in try 1");
}
