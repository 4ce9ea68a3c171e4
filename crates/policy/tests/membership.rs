//! What one VM makes of the sources that speak of another.

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
use oleanderwind_wire::peer;
use prost::Message;

fn record(number: usize, incarnation: u64, sequence: u64) -> MemberRecord {
    MemberRecord { incarnation, sequence, ..MemberRecord::from(&platform_vm(number, 4)) }
}

#[test]
fn standing_gone_needs_the_platform_as_well_as_silence() {
    let list = [platform_vm(1, 4)];
    let mut table = MemberTable::default();
    table.apply_platform_list(list.iter());
    table.apply(&record(1, 5, 0));
    assert!(table.suspect(&list[0].vm));
    assert_eq!(table.state(&list[0].vm), MemberState::Suspect);
    table.apply_platform_list([].iter());
    assert_eq!(table.state(&list[0].vm), MemberState::Gone);
    // A list that lags does not remove a VM that speaks.
    table.apply(&record(1, 5, 1));
    table.apply_platform_list([].iter());
    assert_eq!(table.state(&list[0].vm), MemberState::Serving);
}

#[test]
fn standing_follows_the_later_process_and_its_later_word() {
    let vm = platform_vm(1, 4).vm;
    let mut table = MemberTable::default();
    assert!(table.apply(&MemberRecord { phase: MemberPhase::Left, ..record(1, 5, 9) }));
    assert!(!table.apply(&record(1, 5, 8)), "an older word");
    assert!(!table.apply(&record(1, 4, 99)), "an older process");
    assert_eq!(table.state(&vm), MemberState::Left);
    assert!(table.apply(&record(1, 6, 0)), "a restart");
    assert!(table.apply(&MemberRecord { suspected: true, ..record(1, 6, 0) }));
    assert!(!table.apply(&record(1, 6, 0)), "a suspicion stays until the VM itself denies it");
    assert!(table.apply(&record(1, 6, 1)));
    assert_eq!(table.state(&vm), MemberState::Serving);
}

#[test]
fn standing_leaving_by_the_list_or_by_its_own_sign() {
    let (mut listed, mut table) = (platform_vm(1, 4), MemberTable::default());
    listed.leaving = true;
    table.apply_platform_list([listed.clone(), platform_vm(2, 4)].iter());
    table.apply(&record(1, 5, 0));
    table.apply(&MemberRecord { phase: MemberPhase::Leaving, ..record(2, 5, 1) });
    assert_eq!(table.state(&listed.vm), MemberState::Leaving);
    assert_eq!(table.state(&platform_vm(2, 4).vm), MemberState::Leaving);
}

#[test]
fn suspect_is_told_and_denies_it() {
    let now = Instant::now();
    let engine =
        |number| MembershipEngine::new(MembershipSettings::default(), record(number, 5, 0), now);
    let (mut asker, mut asked) = (engine(1), engine(2));
    let list = [platform_vm(1, 4), platform_vm(2, 4)];
    asker.apply_platform_list(&list);
    asker.handle_probe_failure(&list[1].vm);
    assert_eq!(asker.table().state(&list[1].vm), MemberState::Suspect);
    let summary = ObjectSummary::default();
    let hello = ExchangeMessage { sender: record(2, 5, 0), members: Vec::new(), summary };
    asked.handle_reply(&asker.handle_heartbeat(&hello, summary, now));
    let denial = asked.handle_heartbeat(&hello, summary, now);
    asker.handle_reply(&denial);
    assert_eq!(asker.table().state(&list[1].vm), MemberState::Serving);
}

#[test]
fn suspicion_is_withheld_by_a_vm_that_reaches_nobody() {
    let now = Instant::now();
    let own = record(0, 5, 0);
    let mut engine = MembershipEngine::new(MembershipSettings::default(), own, now);
    let list: Vec<_> = (0..30).map(|number| platform_vm(number, 4)).collect();
    engine.apply_platform_list(&list);
    for listed in &list[1..] {
        for _ in engine.handle_probe_failure(&listed.vm) {
            engine.handle_indirect_probe(&listed.vm, false);
        }
    }
    let suspects = engine.table().iter().filter(|(_, seen)| *seen == MemberState::Suspect);
    assert!(suspects.count() < 8, "it takes itself for the one that is cut off");
}

#[test]
fn exchange_message_stays_below_its_bound() {
    let now = Instant::now();
    let settings = MembershipSettings::default();
    let bound = settings.max_member_bytes;
    let mut engine = MembershipEngine::new(settings, record(0, 5, 0), now);
    for number in 1..200 {
        let mut sender = record(number, 1_796_000_000_000, 300);
        sender.revision = 1 << 40;
        assert!(peer::MemberRecord::from(&sender).encoded_len() + 3 <= sender.max_encoded_len());
        let message =
            ExchangeMessage { sender, members: Vec::new(), summary: ObjectSummary::default() };
        let reply = engine.handle_heartbeat(&message, ObjectSummary::default(), now);
        let records = peer::ExchangeMessage { sender: None, ..(&reply).into() };
        assert!(records.encoded_len() <= bound);
        let back = ExchangeMessage::try_from(&peer::ExchangeMessage::from(&reply)).unwrap();
        assert_eq!(back, reply);
    }
    assert!(engine.next_tick() <= now + Duration::from_secs(4), "a flood doesn't silence it");
}
