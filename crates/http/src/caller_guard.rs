//! What protects a listener from callers that misbehave.

use std::rc::Rc;

use crate::HttpCall;
use crate::MemoryBudget;

/// Returns whether a call, whose body has not been read, needs it.
pub type BodyCheck = Rc<dyn Fn(&HttpCall) -> bool>;

/// Memory of a listener's calls, and which of them need their body.
#[derive(Clone, Default)]
pub struct CallerGuard {
    /// Budget of bodies and answers; `None` without a bound.
    pub memory: Option<Rc<MemoryBudget>>,
    /// Asked before a long body is read; `None` if all are needed. A call that needs none is served
    /// without it, and its connection is closed.
    pub body_check: Option<BodyCheck>,
}

impl CallerGuard {
    /// Returns whether a call needs its body.
    pub(crate) fn needs_body(&self, call: &HttpCall) -> bool {
        self.body_check.as_ref().is_none_or(|check| check(call))
    }
}
