//! Address cache of a caller.

use std::time::Duration;

use oleanderwind_wire::AddressAnswer;
use tokio::time::Instant;

/// Seed addresses of one caller and its cached tier address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressBook {
    seeds: Vec<String>,
    seed_index: usize,
    address: Option<String>,
    expires_at: Option<Instant>,
    failures: usize,
}

impl AddressBook {
    /// Creates an empty cache that uses the seeds in turn, beginning with index `first_seed`.
    pub fn new(seeds: Vec<String>, first_seed: usize) -> AddressBook {
        AddressBook { seeds, seed_index: first_seed, address: None, expires_at: None, failures: 0 }
    }

    /// Returns the cached address, unless it has expired.
    pub fn current(&self, now: Instant) -> Option<String> {
        self.address.clone().filter(|_| self.expires_at.is_some_and(|expires_at| now <= expires_at))
    }

    /// Caches an address of `answer` for the time that the answer allows.
    ///
    /// Selects the first address, which is the best one, and moves on by one place for each
    /// connection failure so far, wrapping around at the end.
    pub fn store(&mut self, answer: AddressAnswer, now: Instant) {
        let index = self.failures % answer.addresses.len().max(1);
        self.address = answer.addresses.into_iter().nth(index);
        self.expires_at = Some(now + Duration::from_millis(answer.keep_ms));
    }

    /// Drops the cached address after a connection failed, and counts the failure.
    pub fn invalidate(&mut self) {
        self.address = None;
        self.failures += 1;
    }

    /// Returns the seed to query and advances to the next one.
    ///
    /// # Panics
    ///
    /// Panics if there are no seeds.
    pub fn next_seed(&mut self) -> String {
        let seed = self.seeds[self.seed_index % self.seeds.len()].clone();
        self.seed_index += 1;
        seed
    }
}
