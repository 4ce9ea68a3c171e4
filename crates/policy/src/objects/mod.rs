//! Configuration objects: the store of each VM and the propagation of changes to all VMs.
//!
//! A few VMs of each failure domain hold long-poll watches on the platform ([`watch_holders`]).
//! They push the changes that they receive to a few random peers, which push what is new to them in
//! turn. In addition every heartbeat compares digests, and a VM that lacks changes pulls them. This
//! is rumor mongering backed by anti-entropy, after A. Demers et al., "Epidemic algorithms for
//! replicated database maintenance" (PODC 1987). The revision of an object never decreases, so the
//! order of messages does not matter.
//!
//! A store that is restored from a copy gives revisions out again in a new [`Era`]; a [`Revision`]
//! orders objects over all eras. What the copy has forgotten is carried over: see
//! [`ObjectStore::merge`].
//!
//! [`Revision`]: crate::Revision

mod contact;
mod delta;
mod era;
mod gossip;
mod listing;
mod object;
mod readiness;
mod store;
mod watch;

pub use contact::ContactState;
pub use contact::ContactTracker;
pub use delta::ObjectDelta;
pub use era::Era;
pub use era::era_from_count;
pub use era::era_of;
pub use era::revision_in_era;
pub use era::revision_number;
pub use gossip::GossipAction;
pub use gossip::GossipEngine;
pub use gossip::ObjectPull;
pub use listing::MissingObjects;
pub use listing::ObjectListing;
pub use object::ConfigurationObject;
pub use object::ObjectKey;
pub use object::ObjectKind;
pub use readiness::ReadinessGate;
pub use store::ObjectStore;
pub use watch::WatchBackoff;
pub use watch::watch_holders;
