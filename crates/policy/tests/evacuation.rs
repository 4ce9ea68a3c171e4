//! Evacuations: their spread over fleets, and the order of what is known of them.

#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use oleanderwind_policy::EvacuationRecord;
use oleanderwind_policy::EvacuationTable;
use oleanderwind_policy::FailureDomainRevision;
use oleanderwind_policy::MembershipSettings;
use oleanderwind_policy::revision_in_era;
use oleanderwind_wire::peer;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use prost::Message;

/// Time within which an evacuation must take effect on every VM that is in touch.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Number of failure domains of a fleet.
const DOMAINS: usize = 3;
const DOMAIN: &str = "r1-d01";

fn fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::with_domains(size, DOMAINS, MembershipSettings::default());
    fleet.run(Duration::from_secs(20));
    fleet
}

/// Returns the time until `count` VMs hold the evacuation in force; `None` beyond the limit.
fn time_until(fleet: &mut Fleet, count: usize) -> Option<Duration> {
    fleet.run_until(EVACUATION_LIMIT, |fleet| fleet.count_evacuated(DOMAIN) == count)
}

fn record(domain: &str, revision: u64, is_in_force: bool) -> EvacuationRecord {
    EvacuationRecord { failure_domain: domain.into(), revision, is_in_force }
}

#[test]
fn evacuation_reaches_all_vms_and_is_taken_back() {
    for (size, loss_rate) in [(1, 0.0), (7, 0.0), (7, 0.2), (75, 0.0), (75, 0.2)] {
        let mut fleet = fleet(size);
        fleet.loss_rate = loss_rate;
        fleet.write_evacuation(DOMAIN, true);
        let begun = time_until(&mut fleet, size).unwrap();
        fleet.write_evacuation(DOMAIN, false);
        let ended = time_until(&mut fleet, 0).unwrap();
        println!("{size} VMs, {loss_rate} lost: begun {begun:?}, ended {ended:?}");
    }
}

/// Pattern: all watches but one hear nothing.
#[test]
fn evacuation_reaches_all_vms_from_one_watch() {
    let mut fleet = fleet(75);
    let lost = fleet.watchers().split_off(1);
    lost.into_iter().for_each(|number| fleet.nodes[number].is_watch_lost = true);
    fleet.write_evacuation(DOMAIN, true);
    time_until(&mut fleet, 75).unwrap();
}

/// Pattern: a part of the fleet is cut off while a failure domain is evacuated, and while that is taken back.
#[test]
fn evacuation_reaches_vms_that_were_cut_off() {
    for size in [7, 75] {
        let cut_from = size / 2;
        let mut fleet = fleet(size);
        for is_in_force in [true, false] {
            fleet.partition = Some(cut_from);
            fleet.run(Duration::from_secs(30));
            let before = fleet.count_evacuated(DOMAIN);
            fleet.write_evacuation(DOMAIN, is_in_force);
            fleet.run(EVACUATION_LIMIT);
            let heard = fleet.count_evacuated(DOMAIN).abs_diff(before);
            assert_eq!(heard, cut_from, "the platform's side hears it");
            fleet.partition = None;
            time_until(&mut fleet, if is_in_force { size } else { 0 }).unwrap();
        }
    }
}

/// Pattern: the store is down and VMs start anew, one after the other.
#[test]
fn evacuation_outlasts_an_outage_of_the_store_and_restarts() {
    let mut fleet = fleet(7);
    fleet.write_evacuation(DOMAIN, true);
    time_until(&mut fleet, 7).unwrap();
    fleet.set_platform_down(true);
    for number in 0..7 {
        fleet.restart(number);
        assert_eq!(fleet.count_evacuated(DOMAIN), 6);
        time_until(&mut fleet, 7).unwrap();
    }
}

#[test]
fn list_ends_what_it_lacks_but_later_ones() {
    let mut table = EvacuationTable::default();
    for (domain, revision) in [("a", 5), ("b", 6), ("c", 9)] {
        assert!(table.merge(&record(domain, revision, true)));
    }
    let listed: Vec<FailureDomainRevision> = vec![("b".into(), 6)];
    let news = table.apply_list(&listed, 8, false);
    assert_eq!(news, [record("a", 8, false)]);
    assert!(table.in_force().iter().map(|domain| &**domain).eq(["b", "c"]));
    assert!(!table.merge(&record("a", 5, true)), "a peer's outdated record");
    assert!(table.merge(&record("a", 9, true)), "evacuated once more");
}

/// Pattern: the store is restored from a copy that lacks an evacuation, and the operator writes it again.
#[test]
fn list_of_a_restored_store_keeps_evacuations_for_a_while() {
    let mut table = EvacuationTable::default();
    table.merge(&record("a", revision_in_era(1, 50), true));
    assert!(table.apply_list(&[], revision_in_era(2, 40), true).is_empty());
    assert!(table.in_force().contains("a"));
    let written = record("a", revision_in_era(2, 42), true);
    assert!(table.merge(&written), "the revisions of a new era are later");
    let news = table.apply_list(&[], revision_in_era(2, 45), false);
    assert_eq!(news, [record("a", revision_in_era(2, 45), false)]);
}

/// Guards against a table that names without end fill.
#[test]
fn table_is_bounded_and_keeps_evacuations_in_force() {
    let mut table = EvacuationTable::default();
    table.merge(&record("kept", 1, true));
    for number in 0..1_000 {
        table.merge(&record(&format!("name-{number}"), number + 2, false));
    }
    assert!(table.records().count() <= 256, "{}", table.records().count());
    assert!(table.in_force().contains("kept"));
}

/// Guards against messages that a build without evacuations can't read, and the other way round.
#[test]
fn heartbeat_is_read_by_builds_without_evacuations() {
    /// Fields of a heartbeat as they were before evacuations.
    #[derive(Clone, PartialEq, Message)]
    struct EarlierHeartbeat {
        #[prost(uint64, tag = "4")]
        revision: u64,
        #[prost(fixed64, tag = "6")]
        configuration_digest: u64,
    }
    let known = record(DOMAIN, 7, true);
    let heartbeat = peer::ExchangeMessage {
        revision: 3,
        configuration_digest: 4,
        evacuations: vec![(&known).into()],
        ..peer::ExchangeMessage::default()
    };
    let bytes = heartbeat.encode_to_vec();
    let earlier = EarlierHeartbeat::decode(&bytes[..]).unwrap();
    assert_eq!(earlier, EarlierHeartbeat { revision: 3, configuration_digest: 4 });
    let read = peer::ExchangeMessage::decode(&bytes[..]).unwrap();
    assert_eq!(EvacuationRecord::try_from(&read.evacuations[0]), Ok(known));
    let read = peer::ExchangeMessage::decode(&earlier.encode_to_vec()[..]).unwrap();
    assert!(read.evacuations.is_empty(), "it says nothing of evacuations and ends none");
}

proptest! {
    #[test]
    fn records_give_the_same_result_in_any_order(
        (records, order) in proptest::collection::vec((0..3_u8, 1..20_u64, any::<bool>()), 1..20)
            .prop_flat_map(|records| {
                let order = proptest::sample::subsequence((0..records.len()).collect::<Vec<_>>(), records.len());
                (proptest::strategy::Just(records), order.prop_shuffle())
            })
    ) {
        let records: Vec<EvacuationRecord> = records
            .iter()
            .map(|(domain, revision, is_in_force)| {
                record(&format!("d{domain}"), *revision, *is_in_force)
            })
            .collect();
        let (mut first, mut second) = (EvacuationTable::default(), EvacuationTable::default());
        for record in &records {
            first.merge(record);
        }
        for index in order {
            second.merge(&records[index]);
        }
        let held = |table: &EvacuationTable| table.records().cloned().collect::<Vec<_>>();
        assert_eq!(held(&first), held(&second));
    }
}
