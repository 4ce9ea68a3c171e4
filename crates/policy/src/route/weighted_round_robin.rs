//! Turns of weighted services.

use crate::route::WeightedService;

/// Whose turn it is among weighted services.
///
/// Smooth weighted round robin, as introduced by nginx: each turn adds every service's weight to
/// its credit and takes the whole weight off the one chosen. Over any run of turns as long as the
/// sum of the weights each service is chosen exactly as often as its weight says.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Position of the service whose turn it is; none without services.
    pub fn next(&mut self, shares: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != shares.len() {
            self.credits = vec![0; shares.len()];
        }
        let mut total = 0;
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            *credit += i64::from(share.weight);
            total += i64::from(share.weight);
        }
        // The first of equals, so that the order of the configuration decides.
        let credits = self.credits.iter().enumerate();
        let (chosen, _) = credits.rev().max_by_key(|(_, credit)| **credit)?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
