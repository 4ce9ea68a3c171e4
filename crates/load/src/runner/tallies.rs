//! The tallies of every customer and class of a run.

use std::collections::BTreeMap;

use oleanderwind_policy::CustomerContract;

use crate::ClassTally;
use crate::ContractCheck;
use crate::CustomerReport;
use crate::DeploymentName;
use crate::LoadCounters;
use crate::OutcomeCounts;
use crate::PlannedRequest;

/// Tallies by deployment and class.
pub(crate) struct RunTallies {
    tallies: BTreeMap<(DeploymentName, &'static str), ClassTally>,
}

impl RunTallies {
    /// Empty tallies with the terms of the customers' contracts.
    pub(crate) fn new(
        deployments: &[DeploymentName],
        contracts: &[CustomerContract],
    ) -> Result<RunTallies, hdrhistogram::CreationError> {
        let mut tallies = BTreeMap::new();
        for deployment in deployments {
            let contract = find_contract(contracts, deployment.customer());
            for share in deployment.classes() {
                let terms = contract.and_then(|contract| contract.classes.get(share.class));
                let tally = ClassTally::new(share.class, terms)?;
                tallies.insert((*deployment, share.class), tally);
            }
        }
        Ok(RunTallies { tallies })
    }

    /// The tally that a request counts in.
    pub(crate) fn tally(&mut self, planned: &PlannedRequest) -> &mut ClassTally {
        self.tallies
            .get_mut(&(planned.deployment, planned.share.class))
            .expect("every class of every planned deployment has a tally")
    }

    /// Sums over all classes.
    pub(crate) fn totals(&self) -> OutcomeCounts {
        let mut totals = OutcomeCounts::default();
        for tally in self.tallies.values() {
            totals.add(tally.counts());
        }
        totals
    }

    /// The reports of each customer.
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
}

/// The contract of a customer.
fn find_contract<'a>(
    contracts: &'a [CustomerContract],
    customer: &str,
) -> Option<&'a CustomerContract> {
    contracts.iter().find(|contract| &*contract.customer == customer)
}
