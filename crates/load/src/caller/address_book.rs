//! The addresses that a caller keeps.

use std::time::Duration;

use oleanderwind_wire::AddressAnswer;
use tokio::time::Instant;

/// Seed addresses and the kept address answer of one caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressBook {
    seeds: Vec<String>,
    seed_index: usize,
    address: Option<String>,
    keep_until: Option<Instant>,
    failures: usize,
}

impl AddressBook {
    /// A book that asks the seed at `first_seed` first and the others in turn.
    pub fn new(seeds: Vec<String>, first_seed: usize) -> AddressBook {
        AddressBook { seeds, seed_index: first_seed, address: None, keep_until: None, failures: 0 }
    }

    /// The kept address while its answer may be kept.
    pub fn current(&self, now: Instant) -> Option<String> {
        self.address.clone().filter(|_| self.keep_until.is_some_and(|until| now <= until))
    }

    /// Keeps an answer. Takes its best address, or the next one for each failure since the last
    /// kept answer ran out.
    pub fn keep(&mut self, answer: AddressAnswer, now: Instant) {
        let index = self.failures % answer.addresses.len().max(1);
        self.address = answer.addresses.into_iter().nth(index);
        self.keep_until = Some(now + Duration::from_millis(answer.keep_ms));
    }

    /// Forgets the kept answer after a connection failed.
    pub fn drop_answer(&mut self) {
        self.address = None;
        self.failures += 1;
    }

    /// The seed to ask now; the next call gives another.
    pub fn next_seed(&mut self) -> String {
        let seed = self.seeds[self.seed_index % self.seeds.len()].clone();
        self.seed_index += 1;
        seed
    }
}
