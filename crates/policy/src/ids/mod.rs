//! Identifier types.

use std::sync::Arc;

/// Name of a customer, as given in its contract.
pub type CustomerId = Arc<str>;
/// Name of a request class within a customer's contract.
pub type ClassId = Arc<str>;
/// Name of a service that searches or executes operations, for example `course-finder`.
pub type ServiceId = Arc<str>;
/// Name of a provider, which runs a set of targets.
pub type ProviderId = Arc<str>;
/// Id of a VM of the tier.
pub type VmId = Arc<str>;
/// Id of a target (searcher).
pub type TargetId = Arc<str>;
/// Name of a failure domain.
pub type FailureDomainId = Arc<str>;
/// Name of a region, a set of failure domains.
pub type RegionId = Arc<str>;
/// Name of an organisation on whose behalf callers ask.
pub type OrganisationId = Arc<str>;
/// Number of a shard within one snapshot, counted from 0.
pub type ShardId = u32;
/// Version of a service's index; increases with every snapshot.
pub type IndexVersion = u64;
/// Version of a configuration object in the platform's Object API.
pub type Revision = u64;
/// Id of one call to a target, unique across all VMs.
pub type CallId = u64;
/// Caller-supplied key of a non-idempotent request.
pub type IdempotencyKey = Arc<str>;
