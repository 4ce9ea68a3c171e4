//! State of a VM derived from the platform's list, its own records and suspicions.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;
use std::time::Instant;

use fleet::platform_vm;
use oleanderwind_policy::ExchangeMessage;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::MemberTable;
use oleanderwind_policy::MembershipEngine;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::ObjectSummary;
use oleanderwind_policy::WatchPosition;
use oleanderwind_wire::peer;
use prost::Message;

fn record(number: usize, incarnation: u64, sequence: u64) -> MemberRecord {
    MemberRecord { incarnation, sequence, ..MemberRecord::from(&platform_vm(number, 4)) }
}

#[test]
fn state_is_gone_only_if_suspected_and_not_listed() {
    let list = [platform_vm(1, 4)];
    let mut table = MemberTable::default();
    table.apply_platform_list(list.iter());
    table.apply(&record(1, 5, 0));
    assert!(table.suspect(&list[0].vm));
    assert_eq!(table.state(&list[0].vm), MemberState::Suspect);
    table.apply_platform_list([].iter());
    assert_eq!(table.state(&list[0].vm), MemberState::Gone);
    // A lagging list does not remove a VM that refuted the suspicion.
    table.apply(&record(1, 5, 1));
    table.apply_platform_list([].iter());
    assert_eq!(table.state(&list[0].vm), MemberState::Serving);
}

#[test]
fn state_follows_the_latest_incarnation_and_sequence() {
    let vm = platform_vm(1, 4).vm;
    let mut table = MemberTable::default();
    assert!(table.apply(&MemberRecord { phase: MemberPhase::Left, ..record(1, 5, 9) }));
    assert!(!table.apply(&record(1, 5, 8)), "an older sequence");
    assert!(!table.apply(&record(1, 4, 99)), "an older incarnation");
    assert_eq!(table.state(&vm), MemberState::Left);
    assert!(table.apply(&record(1, 6, 0)), "a restart");
    assert!(table.apply(&MemberRecord { suspected: true, ..record(1, 6, 0) }));
    assert!(!table.apply(&record(1, 6, 0)), "a suspicion stays until the VM itself refutes it");
    assert!(table.apply(&record(1, 6, 1)));
    assert_eq!(table.state(&vm), MemberState::Serving);
}

/// Guards against VMs that are killed at once, start at other addresses and never find each other again.
#[test]
fn apply_platform_list_follows_the_address_of_a_vm_that_was_never_heard() {
    let (mut listed, mut table) = (platform_vm(1, 4), MemberTable::default());
    table.apply_platform_list([&listed].into_iter());
    assert!(table.suspect(&listed.vm));
    listed.peer_address.set_port(9);
    table.apply_platform_list([&listed].into_iter());
    assert_eq!(table.record(&listed.vm).unwrap().peer_address, listed.peer_address);
    assert_eq!(table.state(&listed.vm), MemberState::Serving);
    // What the VM itself says takes precedence.
    table.apply(&record(1, 5, 0));
    table.apply_platform_list([&listed].into_iter());
    assert_eq!(table.record(&listed.vm).unwrap().peer_address, record(1, 5, 0).peer_address);
}

#[test]
fn state_is_leaving_by_the_list_or_by_its_own_record() {
    let (mut listed, mut table) = (platform_vm(1, 4), MemberTable::default());
    listed.leaving = true;
    table.apply_platform_list([listed.clone(), platform_vm(2, 4)].iter());
    table.apply(&record(1, 5, 0));
    table.apply(&MemberRecord { phase: MemberPhase::Leaving, ..record(2, 5, 1) });
    assert_eq!(table.state(&listed.vm), MemberState::Leaving);
    assert_eq!(table.state(&platform_vm(2, 4).vm), MemberState::Leaving);
}

#[test]
fn suspected_vm_is_notified_and_refutes_the_suspicion() {
    let now = Instant::now();
    let engine =
        |number| MembershipEngine::new(MembershipSettings::default(), record(number, 5, 0), now);
    let (mut prober, mut suspect) = (engine(1), engine(2));
    let list = [platform_vm(1, 4), platform_vm(2, 4)];
    prober.apply_platform_list(&list);
    prober.handle_heartbeat_failure(&list[1].vm);
    assert_eq!(prober.table().state(&list[1].vm), MemberState::Suspect);
    let summary = ObjectSummary::default();
    let heartbeat = ExchangeMessage { sender: record(2, 5, 0), members: Vec::new(), summary };
    suspect.handle_reply(&prober.handle_heartbeat(&heartbeat, summary, now));
    let refutation = suspect.handle_heartbeat(&heartbeat, summary, now);
    prober.handle_reply(&refutation);
    assert_eq!(prober.table().state(&list[1].vm), MemberState::Serving);
}

#[test]
fn isolated_vm_suspects_few_others() {
    let now = Instant::now();
    let own = record(0, 5, 0);
    let mut engine = MembershipEngine::new(MembershipSettings::default(), own, now);
    let list: Vec<_> = (0..30).map(|number| platform_vm(number, 4)).collect();
    engine.apply_platform_list(&list);
    for listed in &list[1..] {
        for _ in engine.handle_heartbeat_failure(&listed.vm) {
            engine.handle_indirect_probe(&listed.vm, false);
        }
    }
    let suspects = engine.table().iter().filter(|(_, state)| *state == MemberState::Suspect);
    assert!(suspects.count() < 8, "an isolated VM must stop suspecting others");
}

#[test]
fn exchange_message_stays_within_its_size_limit() {
    let now = Instant::now();
    let settings = MembershipSettings::default();
    let limit = settings.max_member_bytes;
    let mut engine = MembershipEngine::new(settings, record(0, 5, 0), now);
    for number in 1..200 {
        let mut sender = record(number, 1_796_000_000_000, 300);
        sender.revision = 1 << 40;
        assert!(peer::MemberRecord::from(&sender).encoded_len() + 3 <= sender.max_encoded_len());
        let message =
            ExchangeMessage { sender, members: Vec::new(), summary: ObjectSummary::default() };
        let reply = engine.handle_heartbeat(&message, ObjectSummary::default(), now);
        let records = peer::ExchangeMessage { sender: None, ..(&reply).into() };
        assert!(records.encoded_len() <= limit);
        let decoded = ExchangeMessage::try_from(&peer::ExchangeMessage::from(&reply)).unwrap();
        assert_eq!(decoded, reply);
    }
    assert!(
        engine.next_tick() <= now + Duration::from_secs(4),
        "received heartbeats must not postpone the next one beyond 4 s"
    );
}

/// Returns the engine of VM 0, which knows `others` as serving VMs of four failure domains.
fn engine_with(others: &[usize]) -> MembershipEngine {
    let now = Instant::now();
    let mut engine = MembershipEngine::new(MembershipSettings::default(), record(0, 1, 0), now);
    for number in others {
        let sender = record(*number, 1, 0);
        let message =
            ExchangeMessage { sender, members: Vec::new(), summary: ObjectSummary::default() };
        engine.handle_heartbeat(&message, ObjectSummary::default(), now);
    }
    engine
}

#[test]
fn watch_position_counts_the_holders_of_all_failure_domains() {
    let alone = engine_with(&[]);
    assert_eq!(alone.watch_position(), WatchPosition::ALONE);
    assert!(!alone.has_other_watch_holders());
    // VM 4 is of the own failure domain, VM 1 of another one.
    for others in [vec![4], vec![1]] {
        let engine = engine_with(&others);
        assert_eq!(engine.watch_position(), WatchPosition { rank: 0, holders: 2 });
        assert!(engine.has_other_watch_holders(), "{others:?}");
    }
    assert_eq!(engine_with(&[1, 2, 3, 4, 5, 6]).watch_position().holders, 7);
}
