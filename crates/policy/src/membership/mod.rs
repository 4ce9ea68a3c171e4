//! Membership: which VMs there are, from three sources that may disagree.
//!
//! The platform's lagging list, each VM's own word (told on by peers) and a leaving VM's own sign
//! meet in [`MemberTable`]. [`MembershipEngine`] probes one peer a period in a random round and
//! carries changes along with the probes, after A. Das, I. Gupta and A. Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol" (DSN 2002). A suspicion
//! only moves a VM back in address answers; nothing that keeps requests safe reads it.

mod engine;
mod member;
mod message;
mod settings;
mod table;
mod update_queue;

pub use engine::MembershipAction;
pub use engine::MembershipEngine;
pub use member::MemberPhase;
pub use member::MemberRecord;
pub use member::MemberState;
pub use member::PlatformVm;
pub use message::ExchangeMessage;
pub use message::ObjectSummary;
pub use settings::MembershipSettings;
pub use settings::ProbePlan;
pub use table::MemberTable;
