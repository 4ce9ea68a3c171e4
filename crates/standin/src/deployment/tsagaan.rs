//! Governor training search: three failure domains, prefers high coverage.

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
        name: "tsagaan",
        failure_domains: 3,
        services: vec![
            ServicePlan::paired("course-finder", 20),
            ServicePlan::paired("board-notes", 30),
            ServicePlan::shared("certificate-registry", 7, 100),
            ServicePlan::shared("trainer-roster", 3, 100),
        ],
        contract: contract(
            "tsagaan-ordon",
            AnswerPreference::Coverage,
            provider,
            vec![
                ("module-finder", search("course-finder", 210, 990)),
                ("quick-lookup", search("board-notes", 150, 900)),
                ("certificate-check", deferrable("certificate-registry", 1_000, 1_000)),
                ("certificate-entry", execute("certificate-registry", 1_000)),
                ("trainer-lookup", search("trainer-roster", 210, 1_000)),
            ],
        ),
    }
}
