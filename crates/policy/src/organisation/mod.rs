//! Organisations: who may ask, how much, and how urgent it is.
//!
//! A configuration that names organisations admits only requests that carry one of their keys,
//! except on public routes. Keys are held as digests only.

mod contract;
mod identity;
mod key;
mod raw;
mod table;

pub use contract::OrganisationContract;
pub use contract::RequestQuota;
pub use identity::CallerIdentity;
pub use key::KeyDigest;
pub use raw::RawOrganisation;
pub use table::OrganisationTable;
