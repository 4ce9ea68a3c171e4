//! Ids of everything that the tier names.

use std::sync::Arc;

/// A customer, as operators name it in its contract.
pub type CustomerId = Arc<str>;
/// A class of requests within a customer's contract.
pub type ClassId = Arc<str>;
/// A searched or executing service, for example `course-finder`.
pub type ServiceId = Arc<str>;
/// The provider that runs a set of targets.
pub type ProviderId = Arc<str>;
/// A VM of the tier.
pub type VmId = Arc<str>;
/// A target (searcher).
pub type TargetId = Arc<str>;
/// A failure domain.
pub type FailureDomainId = Arc<str>;
/// A shard of one snapshot, counted from 0.
pub type ShardId = u32;
/// Version of a service's index, growing with every snapshot.
pub type IndexVersion = u64;
/// Version of a configuration object in the platform's Object API.
pub type Revision = u64;
/// One call to a target, unique over all VMs.
pub type CallId = u64;
/// A caller's key for a request that may not be repeated.
pub type IdempotencyKey = Arc<str>;
