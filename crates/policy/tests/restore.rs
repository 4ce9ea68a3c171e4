//! Objects of a store that is restored from a copy, received by VMs in any order.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::Era;
use oleanderwind_policy::MissingObjects;
use oleanderwind_policy::ObjectKey;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectListing;
use oleanderwind_policy::ObjectStore;
use oleanderwind_policy::Revision;
use oleanderwind_policy::era_from_count;
use oleanderwind_policy::era_of;
use oleanderwind_policy::revision_in_era;
use oleanderwind_policy::revision_number;
use proptest::prelude::*;

/// Number of VMs.
const VMS: usize = 3;
/// Number of targets.
const TARGETS: usize = 3;

fn routes_key() -> ObjectKey {
    ObjectKey { kind: ObjectKind::Routes, name: "main".into() }
}

fn target_key(target: usize) -> ObjectKey {
    ObjectKey { kind: ObjectKind::Targets, name: format!("t-{target}").into() }
}

fn live(key: ObjectKey, revision: Revision, version: u64) -> ConfigurationObject {
    ConfigurationObject { key, revision, version, body: Some(version.to_string().into()) }
}

/// Returns a configuration of the operator; each has the next number.
fn routes(revision: Revision, number: u64) -> ConfigurationObject {
    live(routes_key(), revision, number << 1)
}

/// Returns the entry of a target's process.
fn entry(target: usize, revision: Revision, born: u64, is_draining: bool) -> ConfigurationObject {
    live(target_key(target), revision, born << 1 | u64::from(is_draining))
}

fn listing(objects: &[ConfigurationObject], revision: Revision) -> ObjectListing {
    let mut listing = ObjectListing::from_platform(objects, revision);
    listing.missing = MissingObjects::KeepEarlierEras;
    listing
}

/// Returns the version that a store holds of an object.
fn held_version(store: &ObjectStore, key: &ObjectKey) -> Option<u64> {
    store.get(key).map(|object| object.version)
}

#[test]
fn revisions_are_ordered_by_era_first() {
    let revisions = [0, 41, revision_in_era(1, 0), revision_in_era(1, 900), revision_in_era(2, 7)];
    assert!(revisions.is_sorted());
    assert_eq!(revisions.map(era_of), [0, 0, 1, 1, 2]);
    assert_eq!(revisions.map(revision_number), [0, 41, 0, 900, 7]);
    assert_eq!([0, 1, 70_000].map(era_from_count), [0, 1, 70_000]);
    assert!(era_from_count(1_733_300_000) < era_from_count(1_733_300_001));
}

/// Pattern: the store is restored to a copy from before the last configuration. A VM that had it keeps
/// it, and passes it on to one that has only the copy.
#[test]
fn merge_keeps_the_newer_configuration_until_the_operator_writes_again() {
    let mut seen = ObjectStore::default();
    seen.apply_listing(&listing(&[routes(revision_in_era(1, 9), 9)], revision_in_era(1, 9)));
    let copy = listing(&[routes(revision_in_era(2, 5), 7)], revision_in_era(2, 6));
    let changes = seen.apply_listing(&copy);
    assert_eq!(held_version(&seen, &routes_key()), Some(18));
    let mut new = ObjectStore::default();
    new.apply_listing(&copy);
    assert_eq!(held_version(&new, &routes_key()), Some(14), "only the copy is known");
    for object in &changes {
        new.apply(object);
    }
    assert_eq!(held_version(&new, &routes_key()), Some(18));
    assert_eq!(new.summary().digest, seen.summary().digest);
    for store in [&mut seen, &mut new] {
        store.apply(&routes(revision_in_era(2, 7), 8));
        assert_eq!(held_version(store, &routes_key()), Some(18), "an older one written again");
        store.apply(&routes(revision_in_era(2, 8), 9));
        assert_eq!(store.get(&routes_key()).unwrap().revision, revision_in_era(2, 8));
        store.apply(&routes(revision_in_era(2, 9), 10));
        assert_eq!(held_version(store, &routes_key()), Some(20));
    }
}

/// Pattern: a target that was draining or gone stands in the copy as ready.
#[test]
fn merge_keeps_a_departure_until_a_later_process_is_listed() {
    for is_gone in [false, true] {
        let mut store = ObjectStore::default();
        let ready = entry(0, revision_in_era(1, 4), 50, false);
        store.apply_listing(&listing(std::slice::from_ref(&ready), revision_in_era(1, 4)));
        store.apply(&entry(0, revision_in_era(1, 8), 50, true));
        if is_gone {
            let gone = ConfigurationObject {
                revision: revision_in_era(1, 9),
                version: 0,
                body: None,
                ..ready.clone()
            };
            store.apply(&gone);
            store.apply_listing(&listing(&[], revision_in_era(1, 12)));
        }
        let copy = [ConfigurationObject { revision: revision_in_era(2, 4), ..ready }];
        store.apply_listing(&listing(&copy, revision_in_era(2, 5)));
        let expected = (!is_gone).then_some(101);
        assert_eq!(held_version(&store, &target_key(0)), expected, "gone: {is_gone}");
        store.apply(&entry(0, revision_in_era(2, 9), 60, false));
        assert_eq!(held_version(&store, &target_key(0)), Some(120), "a later process");
    }
}

/// Pattern: a VM that holds an older process of a target learns of a deletion, and names that process
/// when it passes the deletion on. An entry of a process in between arrives late, after a restore.
#[test]
fn merge_takes_a_deletion_for_that_of_the_newest_process_held() {
    let key = target_key(0);
    let deletion = |revision: Revision, version: u64| ConfigurationObject {
        key: key.clone(),
        revision,
        version,
        body: None,
    };
    let mut store = ObjectStore::default();
    store.apply(&entry(0, revision_in_era(1, 8), 60, false));
    store.apply(&deletion(revision_in_era(1, 9), 40 << 1 | 1));
    assert_eq!(held_version(&store, &key), None);
    store.apply(&entry(0, revision_in_era(2, 4), 50, false));
    assert_eq!(held_version(&store, &key), None, "process 50 is older than 60, which has left");
    store.apply(&entry(0, revision_in_era(2, 5), 70, false));
    assert_eq!(held_version(&store, &key), Some(140), "a later process");
}

/// Pattern: a VM carries an older process over a deletion, as it never knew the one that was deleted.
/// Another VM knew it.
#[test]
fn merge_keeps_a_departure_against_what_another_vm_carried_over() {
    let key = target_key(0);
    let deletion = ConfigurationObject {
        key: key.clone(),
        revision: revision_in_era(2, 5),
        version: 0,
        body: None,
    };
    let mut behind = ObjectStore::default();
    behind.apply(&entry(0, revision_in_era(1, 3), 20, false));
    behind.apply(&deletion);
    let carried = behind.merge(&entry(0, revision_in_era(1, 5), 30, false)).unwrap();
    let mut store = ObjectStore::default();
    store.apply(&entry(0, revision_in_era(2, 3), 40, false));
    store.apply(&deletion);
    store.apply(&carried);
    assert_eq!(held_version(&store, &key), None, "process 30 is older than 40, which has left");
}

/// Pattern: a target that started after the copy is missing from it until it writes its entry again.
#[test]
fn apply_listing_keeps_what_the_copy_lacks_until_the_hold_ends() {
    let started = entry(1, revision_in_era(1, 30), 70, false);
    let mut store = ObjectStore::default();
    store.apply_listing(&listing(std::slice::from_ref(&started), revision_in_era(1, 30)));
    let copy = listing(&[], revision_in_era(2, 6));
    store.apply_listing(&copy);
    store.apply_listing(&copy);
    assert_eq!(held_version(&store, &target_key(1)), Some(140), "kept in each list of the hold");
    let mut rewritten = store.clone();
    let again = ConfigurationObject { revision: revision_in_era(2, 7), ..started };
    rewritten.apply(&again);
    let after_hold = |objects: &[ConfigurationObject]| {
        ObjectListing::from_platform(objects, revision_in_era(2, 9))
    };
    rewritten.apply_listing(&after_hold(&[again]));
    assert_eq!(held_version(&rewritten, &target_key(1)), Some(140));
    store.apply_listing(&after_hold(&[]));
    assert_eq!(held_version(&store, &target_key(1)), None, "it never came back");
}

/// One step of the history.
#[derive(Clone, Debug)]
enum Step {
    Configure,
    Start {
        target: usize,
    },
    Drain {
        target: usize,
    },
    Remove {
        target: usize,
    },
    Copy,
    Restore,
    /// Operator and targets write again what the store has forgotten.
    Rewrite,
    Deliver {
        vm: usize,
        message: usize,
    },
    List {
        vm: usize,
    },
    /// A list of an earlier moment whose answer arrives late.
    ListLate {
        vm: usize,
        list: usize,
    },
}

/// The platform's store, its operator and its targets.
#[derive(Clone, Debug, Default)]
struct World {
    era: Era,
    revision: u64,
    objects: BTreeMap<ObjectKey, ConfigurationObject>,
    copy: (u64, BTreeMap<ObjectKey, ConfigurationObject>),
    configuration: u64,
    /// Start of each target's process and whether it drains; `None` once it is gone.
    targets: [Option<(u64, bool)>; TARGETS],
    births: u64,
    messages: Vec<ConfigurationObject>,
    lists: Vec<ObjectListing>,
}

impl World {
    fn write(&mut self, object: impl FnOnce(Revision) -> ConfigurationObject) {
        self.revision += 1;
        let object = object(revision_in_era(self.era, self.revision));
        self.objects.insert(object.key.clone(), object.clone());
        self.messages.push(object);
    }

    fn write_target(&mut self, target: usize) {
        if let Some((born, is_draining)) = self.targets[target] {
            self.write(|revision| entry(target, revision, born, is_draining));
        }
    }

    fn remove(&mut self, target: usize) {
        self.targets[target] = None;
        if let Some(object) = self.objects.remove(&target_key(target)) {
            self.revision += 1;
            let revision = revision_in_era(self.era, self.revision);
            let tombstone = ConfigurationObject { revision, version: 0, body: None, ..object };
            self.messages.push(tombstone);
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        let (revision, objects) = self.copy.clone();
        self.revision = revision;
        let in_era = |(key, object): (ObjectKey, ConfigurationObject)| {
            let revision = revision_in_era(self.era, revision_number(object.revision));
            (key, ConfigurationObject { revision, ..object })
        };
        self.objects = objects.into_iter().map(in_era).collect();
    }

    /// Writes again what the store lacks or has in an older version.
    fn rewrite(&mut self) {
        let configuration = self.configuration;
        let held = self.objects.get(&routes_key()).map(|object| object.version);
        if configuration > 0 && held != Some(configuration << 1) {
            self.write(|revision| routes(revision, configuration));
        }
        for target in 0..TARGETS {
            let held = self.objects.get(&target_key(target)).map(|object| object.version);
            match self.targets[target] {
                Some((born, is_draining)) if held != Some(born << 1 | u64::from(is_draining)) => {
                    self.write_target(target);
                }
                None if held.is_some() => self.remove(target),
                _ => {}
            }
        }
    }

    fn list(&mut self) -> ObjectListing {
        let objects: Vec<ConfigurationObject> = self.objects.values().cloned().collect();
        let list = listing(&objects, revision_in_era(self.era, self.revision));
        self.lists.push(list.clone());
        list
    }

    fn step(&mut self, step: &Step, vms: &mut [ObjectStore; VMS]) {
        match *step {
            Step::Configure => {
                self.configuration += 1;
                let number = self.configuration;
                self.write(|revision| routes(revision, number));
            }
            Step::Start { target } => {
                self.births += 1;
                self.targets[target] = Some((self.births, false));
                self.write_target(target);
            }
            Step::Drain { target } => {
                if let Some((_, is_draining)) = &mut self.targets[target] {
                    *is_draining = true;
                }
                self.write_target(target);
            }
            Step::Remove { target } => self.remove(target),
            Step::Copy => self.copy = (self.revision, self.objects.clone()),
            Step::Restore => self.restore(),
            Step::Rewrite => self.rewrite(),
            Step::Deliver { vm, message } if !self.messages.is_empty() => {
                let message = &self.messages[message % self.messages.len()];
                // What a VM passes on is a message, too.
                self.messages.extend(vms[vm].merge(&message.clone()));
            }
            Step::List { vm } => {
                let list = self.list();
                self.messages.extend(vms[vm].apply_listing(&list));
            }
            Step::ListLate { vm, list } if !self.lists.is_empty() => {
                let list = self.lists[list % self.lists.len()].clone();
                self.messages.extend(vms[vm].apply_listing(&list));
            }
            Step::Deliver { .. } | Step::ListLate { .. } => {}
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..TARGETS;
    prop_oneof![
        2 => Just(Step::Configure),
        2 => target.clone().prop_map(|target| Step::Start { target }),
        1 => target.clone().prop_map(|target| Step::Drain { target }),
        1 => target.prop_map(|target| Step::Remove { target }),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        1 => Just(Step::Rewrite),
        6 => (0..VMS, any::<usize>()).prop_map(|(vm, message)| Step::Deliver { vm, message }),
        3 => (0..VMS).prop_map(|vm| Step::List { vm }),
        1 => (0..VMS, any::<usize>()).prop_map(|(vm, list)| Step::ListLate { vm, list }),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    })]

    /// No VM returns to an older configuration or to a process of a target that it knows to have
    /// left, and all agree once the store is quiet.
    #[test]
    fn merge_never_goes_back_and_agrees_in_the_end(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        // The revisions of a store start above 0.
        let mut world =
            World { era: 1, revision: 1, copy: (1, BTreeMap::new()), ..World::default() };
        let mut vms: [ObjectStore; VMS] = Default::default();
        let mut configurations = [0; VMS];
        let mut departed = [[0_u64; TARGETS]; VMS];
        for step in &steps {
            let before = vms.clone();
            world.step(step, &mut vms);
            for vm in 0..VMS {
                let version = held_version(&vms[vm], &routes_key()).unwrap_or(configurations[vm]);
                prop_assert!(version >= configurations[vm], "VM {vm} went back after {step:?}");
                configurations[vm] = version;
                for (target, left) in departed[vm].iter_mut().enumerate() {
                    let held = held_version(&vms[vm], &target_key(target));
                    let known = held_version(&before[vm], &target_key(target));
                    let is_ready = held.is_some_and(|version| version & 1 == 0);
                    let is_back = is_ready && held.unwrap_or(0) >> 1 <= *left;
                    prop_assert!(!is_back, "target {target} is back on VM {vm} after {step:?}");
                    let has_left = held.is_none() || !is_ready;
                    if has_left && known.or(held).is_some() {
                        *left = (*left).max(known.max(held).unwrap_or(0) >> 1);
                    }
                }
            }
        }
        world.step(&Step::Rewrite, &mut vms);
        // The hold after a restore is over.
        let list = ObjectListing { missing: MissingObjects::Remove, ..world.list() };
        vms.iter_mut().for_each(|vm| drop(vm.apply_listing(&list)));
        for vm in &vms {
            prop_assert_eq!(vm.summary().digest, vms[0].summary().digest);
            let expected = (world.configuration > 0).then_some(world.configuration << 1);
            prop_assert_eq!(held_version(vm, &routes_key()), expected);
            for target in 0..TARGETS {
                let expected = world.targets[target]
                    .map(|(born, is_draining)| born << 1 | u64::from(is_draining));
                prop_assert_eq!(held_version(vm, &target_key(target)), expected);
            }
        }
    }
}
