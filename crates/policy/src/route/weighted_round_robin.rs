//! Smooth weighted round robin over services.

use crate::route::WeightedService;

/// Chooses among weighted services by smooth weighted round robin, as introduced by nginx.
///
/// Each selection adds every service's weight to its credit, chooses the service with the highest
/// credit and subtracts the sum of all weights from it. In any sequence of selections as long as
/// the sum of the weights, each service is chosen exactly as often as its weight.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service for the next request, or `None` if `services` is empty.
    ///
    /// All credits start from 0 again when the number of services changes.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let mut weight_sum = 0;
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
            weight_sum += i64::from(service.weight);
        }
        // On equal credits the service that is first in the configuration is chosen:
        // `max_by_key` returns the last maximum, hence the reversed iteration.
        let credits = self.credits.iter().enumerate();
        let (chosen, _) = credits.rev().max_by_key(|(_, credit)| **credit)?;
        self.credits[chosen] -= weight_sum;
        Some(chosen)
    }
}
