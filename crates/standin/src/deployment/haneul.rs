//! Member minutes search: four failure domains, prefers low latency.

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::ProviderId;

use crate::deployment::plan::DeploymentPlan;
use crate::deployment::plan::ServicePlan;
use crate::deployment::plan::contract;
use crate::deployment::plan::deferrable;
use crate::deployment::plan::execute;
use crate::deployment::plan::search;

/// Returns the plan of the deployment, with its contract placed with `provider`.
pub(crate) fn plan(provider: &ProviderId) -> DeploymentPlan {
    DeploymentPlan {
        name: "haneul",
        failure_domains: 4,
        services: vec![
            ServicePlan::paired("member-app", 20),
            ServicePlan::paired("ledger-desk", 30),
            ServicePlan::shared("salon-counter", 4, 50),
            ServicePlan::shared("dividend-run", 4, 50),
        ],
        contract: contract(
            "haneul",
            AnswerPreference::Latency,
            provider,
            vec![
                ("find-bed", search("member-app", 150, 900)),
                ("desk-balance", search("ledger-desk", 150, 950)),
                ("counter-lookup", search("salon-counter", 150, 1_000)),
                ("booking", execute("salon-counter", 300)),
                ("redemption", execute("salon-counter", 300)),
                ("dividend", deferrable("dividend-run", 1_000, 1_000)),
            ],
        ),
    }
}
