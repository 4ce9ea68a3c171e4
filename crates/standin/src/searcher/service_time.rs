//! Service time distribution.

use std::cell::RefCell;
use std::f64::consts::TAU;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Distribution of service times: log-normal, with a fraction of stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimeSettings {
    /// Median service time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Fraction of stragglers, in thousandths.
    pub straggler_permille: u32,
    /// Factor by which the service time of a straggler is multiplied.
    pub straggler_factor: u32,
}

/// Seeded sampler of service times.
#[derive(Debug)]
pub(crate) struct ServiceTimeSampler {
    settings: ServiceTimeSettings,
    random: RefCell<Pcg64Mcg>,
}

impl Default for ServiceTimeSettings {
    fn default() -> ServiceTimeSettings {
        ServiceTimeSettings {
            median: Duration::from_millis(3),
            sigma: 0.5,
            straggler_permille: 10,
            straggler_factor: 10,
        }
    }
}

impl ServiceTimeSampler {
    /// Creates a sampler; equal settings and seeds give the same sequence.
    pub(crate) fn new(settings: ServiceTimeSettings, seed: u64) -> ServiceTimeSampler {
        ServiceTimeSampler { settings, random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)) }
    }

    /// Returns the next service time.
    pub(crate) fn sample(&self) -> Duration {
        let mut random = self.random.borrow_mut();
        let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * random.random::<f64>()).cos();
        let time = self.settings.median.mul_f64((self.settings.sigma * normal).exp());
        match random.random_range(0..1_000) < self.settings.straggler_permille {
            true => time * self.settings.straggler_factor,
            false => time,
        }
    }
}
