//! Room for calls: a window of open calls a target, and the shard calls that wait for it.

mod queue;
mod window;

pub(crate) use queue::WaitingCall;
pub(crate) use queue::WaitingCallQueue;
pub(crate) use window::ConcurrencyWindow;
