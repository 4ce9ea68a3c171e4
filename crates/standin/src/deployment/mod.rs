//! Example deployments: their services, sizes and contracts.

mod haneul;
mod plan;
mod tsagaan;

pub use plan::DeploymentName;
pub use plan::DeploymentPlan;
pub use plan::ServicePlan;
