//! Poisson arrivals, the same for the same seed.

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_policy::OperationKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::ClassShare;
use crate::DeploymentName;

/// Number of different query texts.
const QUERY_COUNT: u32 = 10_000;

/// What shapes the arrivals.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivalSettings {
    /// Deployments under load.
    pub deployments: Vec<DeploymentName>,
    /// Requests a second for each deployment without a factor.
    pub rate: f64,
    /// Multiples of the rate.
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Arrivals end at this time after the start.
    pub duration: Duration,
    /// Arrivals end after this many.
    pub count: u64,
    /// Seed of the generator.
    pub seed: u64,
    /// Thousandths of keyed requests that the caller repeats when they did not run or may have.
    pub repeat_permille: u32,
}

/// One request to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number within the run, counted from 0.
    pub number: u64,
    /// Intended send time after the start of the run.
    pub at: Duration,
    /// The deployment that receives it.
    pub deployment: DeploymentName,
    /// The class it belongs to.
    pub share: ClassShare,
    /// Which text to search for.
    pub query: u32,
    /// Whether the caller repeats it with the same key when it did not run or may have.
    pub repeats: bool,
}

/// Iterator over the requests of a run in the order of their send times.
#[derive(Clone, Debug)]
pub struct ArrivalPlan {
    settings: ArrivalSettings,
    generator: Pcg64Mcg,
    at: Duration,
    number: u64,
}

impl ArrivalPlan {
    /// A plan at its first arrival.
    pub fn new(settings: ArrivalSettings) -> ArrivalPlan {
        let generator = Pcg64Mcg::seed_from_u64(settings.seed);
        ArrivalPlan { settings, generator, at: Duration::ZERO, number: 0 }
    }

    /// Sum of every deployment's factor.
    fn factor_sum(&self) -> f64 {
        self.settings.deployments.iter().map(|name| self.factor(*name)).sum()
    }

    /// A deployment's multiple of the rate.
    fn factor(&self, deployment: DeploymentName) -> f64 {
        self.settings.rate_factors.get(&deployment).copied().unwrap_or(1.0)
    }

    /// Draws the next request's deployment by the rates.
    fn draw_deployment(&mut self) -> DeploymentName {
        let deployments = &self.settings.deployments;
        if self.settings.rate_factors.is_empty() {
            return deployments[self.generator.random_range(0..deployments.len())];
        }
        let mut point = self.generator.random::<f64>() * self.factor_sum();
        for deployment in deployments {
            point -= self.factor(*deployment);
            if point < 0.0 {
                return *deployment;
            }
        }
        deployments[0]
    }

    /// Draws the time to the next arrival from an exponential distribution.
    fn draw_gap(&mut self) -> Duration {
        let total_rate = self.settings.rate * self.factor_sum();
        let uniform: f64 = self.generator.random();
        Duration::try_from_secs_f64(-(1.0 - uniform).ln() / total_rate).unwrap_or(Duration::MAX)
    }
}

impl Iterator for ArrivalPlan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        if self.number >= self.settings.count || self.settings.deployments.is_empty() {
            return None;
        }
        let gap = self.draw_gap();
        self.at = self.at.saturating_add(gap);
        if self.at >= self.settings.duration {
            return None;
        }
        let deployment = self.draw_deployment();
        let share = deployment.class_at(self.generator.random_range(0..100));
        let query = self.generator.random_range(0..QUERY_COUNT);
        let chosen = self.generator.random_range(0..1_000) < self.settings.repeat_permille;
        let request = PlannedRequest {
            number: self.number,
            at: self.at,
            deployment,
            share,
            query,
            repeats: chosen && share.operation == OperationKind::Execute,
        };
        self.number += 1;
        Some(request)
    }
}
