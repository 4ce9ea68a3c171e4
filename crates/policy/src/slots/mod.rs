//! Concurrency limits of targets, and the queues of shard calls that wait for free capacity.

mod queue;
mod urgency;
mod window;

pub(crate) use queue::WaitingCall;
pub(crate) use queue::WaitingCallQueue;
pub(crate) use urgency::CallRank;
pub use urgency::CallUrgency;
pub(crate) use urgency::TurnTaker;
pub(crate) use window::ConcurrencyWindow;
