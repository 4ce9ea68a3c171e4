//! Poisson arrival process, reproducible from its seed.

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_policy::OperationKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::ClassShare;
use crate::DeploymentName;

/// Number of distinct query texts.
const QUERY_COUNT: u32 = 10_000;

/// Parameters of the arrival process.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivalSettings {
    /// Deployments under load.
    pub deployments: Vec<DeploymentName>,
    /// Requests per second of each deployment without a rate factor.
    pub rate: f64,
    /// Multipliers of `rate`, for deployments whose rate differs from it.
    pub rate_factors: BTreeMap<DeploymentName, f64>,
    /// Time after the start at which arrivals end.
    pub duration: Duration,
    /// Maximum number of arrivals.
    pub count: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Fraction of keyed requests that the caller repeats if they get no answer, in thousandths.
    pub repeat_permille: u32,
}

/// Request to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Sequence number within the run, counted from 0.
    pub number: u64,
    /// Intended send time, relative to the start of the run.
    pub at: Duration,
    /// Deployment that receives the request.
    pub deployment: DeploymentName,
    /// Class of the request, with its share of the deployment's requests.
    pub share: ClassShare,
    /// Number of the query text.
    pub query: u32,
    /// Whether the caller repeats the request, with the same idempotency key, if it gets no answer.
    pub repeats: bool,
}

/// Iterator over the requests of a run, in order of intended send time.
#[derive(Clone, Debug)]
pub struct ArrivalPlan {
    settings: ArrivalSettings,
    generator: Pcg64Mcg,
    at: Duration,
    number: u64,
}

impl ArrivalPlan {
    /// Creates a plan that starts with the first arrival.
    pub fn new(settings: ArrivalSettings) -> ArrivalPlan {
        let generator = Pcg64Mcg::seed_from_u64(settings.seed);
        ArrivalPlan { settings, generator, at: Duration::ZERO, number: 0 }
    }

    /// Returns the sum of the rate factors of all deployments.
    fn factor_sum(&self) -> f64 {
        self.settings.deployments.iter().map(|name| self.factor(*name)).sum()
    }

    /// Returns the rate factor of a deployment, 1 by default.
    fn factor(&self, deployment: DeploymentName) -> f64 {
        self.settings.rate_factors.get(&deployment).copied().unwrap_or(1.0)
    }

    /// Draws the deployment of the next request, with probabilities proportional to the rates.
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
    fn draw_interarrival_time(&mut self) -> Duration {
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
        let interarrival_time = self.draw_interarrival_time();
        self.at = self.at.saturating_add(interarrival_time);
        if self.at >= self.settings.duration {
            return None;
        }
        let deployment = self.draw_deployment();
        let share = deployment.class_at(self.generator.random_range(0..100));
        let query = self.generator.random_range(0..QUERY_COUNT);
        let is_selected = self.generator.random_range(0..1_000) < self.settings.repeat_permille;
        let request = PlannedRequest {
            number: self.number,
            at: self.at,
            deployment,
            share,
            query,
            repeats: is_selected && share.operation == OperationKind::Execute,
        };
        self.number += 1;
        Some(request)
    }
}
