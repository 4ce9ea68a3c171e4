//! Measurements of a run by deployment and class.

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::OperationKind;

use crate::ClassReport;
use crate::ClassTally;
use crate::ContractCheck;
use crate::CustomerReport;
use crate::DeploymentName;
use crate::LoadCounters;
use crate::OutcomeCounts;
use crate::PlannedRequest;
use crate::RequestSample;
use crate::RunSettings;
use crate::SecondReport;

/// Tallies keyed by deployment and class.
type TallyMap = BTreeMap<(DeploymentName, &'static str), ClassTally>;

/// Tallies of the whole run, of each phase and of each second.
pub(crate) struct RunTallies {
    tallies: TallyMap,
    phase_ends: Vec<Duration>,
    phases: Vec<TallyMap>,
    seconds: BTreeMap<DeploymentName, Vec<SecondReport>>,
}

impl RunTallies {
    /// Creates empty tallies that check the terms of the customers' contracts.
    pub(crate) fn new(
        settings: &RunSettings,
        contracts: &[CustomerContract],
    ) -> Result<RunTallies, hdrhistogram::CreationError> {
        let mut tallies = BTreeMap::new();
        for deployment in &settings.deployments {
            let contract = find_contract(contracts, deployment.customer());
            for share in deployment.classes() {
                let terms = contract.and_then(|contract| contract.classes.get(share.class));
                let tally = ClassTally::new(share.class, terms)?;
                tallies.insert((*deployment, share.class), tally);
            }
        }
        let ends = &settings.phase_ends_ms;
        let phases = if ends.is_empty() { 0 } else { ends.len() + 1 };
        Ok(RunTallies {
            phases: vec![tallies.clone(); phases],
            tallies,
            phase_ends: ends.iter().map(|end| Duration::from_millis(*end)).collect(),
            seconds: BTreeMap::new(),
        })
    }

    /// Records the first attempt of a request.
    pub(crate) fn record(&mut self, planned: &PlannedRequest, sample: &RequestSample) {
        let tally = tally_mut(&mut self.tallies, planned);
        tally.record(sample);
        let is_held = tally.holds(sample);
        let phase = self.phase_ends.iter().filter(|end| planned.at >= **end).count();
        if let Some(tallies) = self.phases.get_mut(phase) {
            tally_mut(tallies, planned).record(sample);
        }
        if planned.share.operation == OperationKind::Search {
            let seconds = self.seconds.entry(planned.deployment).or_default();
            let second = usize::try_from(planned.at.as_secs()).unwrap_or(usize::MAX);
            if seconds.len() <= second {
                seconds.resize(second + 1, SecondReport::default());
            }
            seconds[second].sent += 1;
            seconds[second].held += u64::from(is_held);
        }
    }

    /// Records the caller's repeat of a request.
    pub(crate) fn record_repeat(&mut self, planned: &PlannedRequest, sample: &RequestSample) {
        tally_mut(&mut self.tallies, planned).record_repeat(sample);
    }

    /// Returns the counts of first attempts, summed over all classes.
    pub(crate) fn totals(&self) -> OutcomeCounts {
        let mut totals = OutcomeCounts::default();
        for tally in self.tallies.values() {
            totals.add(tally.counts());
        }
        totals
    }

    /// Returns the report of each customer.
    ///
    /// The extra load is the difference between the counters read `before` and `after` the run.
    pub(crate) fn report(
        &self,
        contracts: &[CustomerContract],
        before: &LoadCounters,
        after: &LoadCounters,
    ) -> Vec<CustomerReport> {
        let mut reports: BTreeMap<DeploymentName, CustomerReport> = BTreeMap::new();
        for ((deployment, _), tally) in &self.tallies {
            let customer = deployment.customer();
            let report = reports.entry(*deployment).or_insert_with(|| CustomerReport {
                customer: customer.to_string(),
                classes: Vec::new(),
                extra_load: after.since(before, customer),
                phases: self.phase_reports(*deployment),
                seconds: self.seconds.get(deployment).cloned().unwrap_or_default(),
                checks: Vec::new(),
            });
            report.classes.push(tally.report());
        }
        for report in reports.values_mut() {
            if let Some(contract) = find_contract(contracts, &report.customer) {
                report.checks = ContractCheck::check_all(report, contract);
            }
        }
        reports.into_values().collect()
    }

    /// Returns the class reports of a deployment for each phase.
    fn phase_reports(&self, deployment: DeploymentName) -> Vec<Vec<ClassReport>> {
        let report = |tallies: &TallyMap| {
            let tallies = tallies.iter().filter(|((name, _), _)| *name == deployment);
            tallies.map(|(_, tally)| tally.report()).collect()
        };
        self.phases.iter().map(report).collect()
    }
}

/// Returns the tally of the planned request's deployment and class.
fn tally_mut<'a>(tallies: &'a mut TallyMap, planned: &PlannedRequest) -> &'a mut ClassTally {
    tallies
        .get_mut(&(planned.deployment, planned.share.class))
        .expect("every class of every planned deployment has a tally")
}

/// Returns the contract of a customer, if there is one.
fn find_contract<'a>(
    contracts: &'a [CustomerContract],
    customer: &str,
) -> Option<&'a CustomerContract> {
    contracts.iter().find(|contract| &*contract.customer == customer)
}
