//! What an answer says of its target's rate limit.

use crate::RequestRate;

/// What an answer says of its target's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It names none: there is no limit, or it has ended.
    #[default]
    Missing,
    /// Requests that the target takes from all VMs together.
    Named(RequestRate),
    /// It names something that is not a rate; what was known stays in force.
    Unreadable,
}
