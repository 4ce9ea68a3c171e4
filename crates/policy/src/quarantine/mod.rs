//! Quarantine of requests that end the targets that run them.
//!
//! A process of a target that ends while it runs a request may have ended because of it. The work of such
//! a request becomes suspect on all VMs. Suspect work runs in trials: one at a time in the fleet, on a target
//! that runs no other trial. One VM, the arbiter of the work's service, permits them. Work whose trials end
//! targets too is blocked for a while; work that is answered is cleared.
//!
//! [`QuarantineEngine`] holds what one VM knows, and decides; [`WorkRecord`] is what VMs tell each other.

mod arbiter;
mod engine;
mod fingerprint;
mod recent;
mod record;
mod table;

pub use arbiter::TrialDecision;
pub use arbiter::trial_arbiters;
pub use engine::QuarantineEngine;
pub use engine::WorkVerdict;
pub use fingerprint::WorkFingerprint;
pub use record::TargetEnd;
pub use record::WorkRecord;
