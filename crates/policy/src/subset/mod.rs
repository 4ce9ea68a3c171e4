//! Subsetting: selection of the VMs that hold connections to a service, and of the VMs that callers
//! use.
//!
//! Subsets are chosen by rendezvous hashing, after D. Thaler and C. Ravishankar, "Using name-based
//! mappings to increase hit rates" (IEEE/ACM Transactions on Networking, 1998), and are spread
//! evenly over the failure domains.

mod address;
mod budget;
mod callers;
mod holders;
mod rendezvous;

pub use address::rank_holders_for_caller;
pub use budget::ConnectionBudget;
pub use callers::ShardPlacement;
pub use callers::most_capable;
pub use callers::select_vms_for_caller;
pub use holders::SubsetSpec;
pub use holders::holders_by_service;
pub use holders::service_holders;
pub use rendezvous::SubsetCandidate;
pub(crate) use rendezvous::rank_by_weight;
pub use rendezvous::rendezvous_weight;
