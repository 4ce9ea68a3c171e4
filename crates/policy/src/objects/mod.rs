//! Configuration objects: what each VM holds, and how changes get everywhere.
//!
//! A few VMs of each failure domain hold the platform's waiting watches ([`watch_holders`]). What
//! they learn goes to a few random peers each, which pass news on in turn; behind that every
//! heartbeat compares digests and a VM that lacks something pulls it: rumor mongering backed by
//! anti-entropy, after A. Demers et al., "Epidemic algorithms for replicated database maintenance"
//! (PODC 1987). Objects only ever grow in revision, so the order of messages does not matter.

mod contact;
mod delta;
mod gossip;
mod listing;
mod object;
mod readiness;
mod store;
mod watch;

pub use contact::ContactState;
pub use contact::ContactTracker;
pub use delta::ObjectDelta;
pub use gossip::GossipAction;
pub use gossip::GossipEngine;
pub use listing::ObjectListing;
pub use object::ConfigurationObject;
pub use object::ObjectKey;
pub use object::ObjectKind;
pub use readiness::ReadinessGate;
pub use store::ObjectStore;
pub use watch::WatchBackoff;
pub use watch::watch_holders;
