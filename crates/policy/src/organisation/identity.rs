//! On whose behalf a request is served.

use std::sync::Arc;

use crate::OrganisationContract;
use crate::OrganisationId;

/// On whose behalf a request is served.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// Nobody in particular: the configuration names no organisations, or the route is public and the key not known.
    Anonymous,
    /// The organisation whose key the request carries.
    Organisation(Arc<OrganisationContract>),
    /// The request needs a key and carries none, or an unknown one.
    Unknown,
}

impl CallerIdentity {
    /// Returns the contract of the organisation, if there is one.
    pub fn contract(&self) -> Option<&Arc<OrganisationContract>> {
        match self {
            CallerIdentity::Organisation(contract) => Some(contract),
            CallerIdentity::Anonymous | CallerIdentity::Unknown => None,
        }
    }

    /// Returns the organisation's name, if there is one.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        self.contract().map(|contract| &contract.organisation)
    }
}
