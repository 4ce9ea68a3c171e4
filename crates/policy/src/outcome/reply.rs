//! What the reply of a target to a forwarded request may be used for.

use crate::RefusalCause;

/// Statuses that tell a caller that the request has not run and never will.
const PROMISE_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether a status tells a caller that the request has not run.
pub fn is_promise(status: u16) -> bool {
    PROMISE_STATUSES.contains(&status)
}

/// Reply of a target, as far as it says what became of the request.
///
/// What a caller gets, once no other target answers; `proof` is the target's word that it did not run the request:
///
/// | status | proof | may be repeated, one target | may not be repeated | one of the shards of an answer |
/// |---|---|---|---|---|
/// | any | yes | sent again, in the end 503 of our own | the same | the same |
/// | 421 | no | as with the proof: another target was meant | the same | the same |
/// | 2xx | no | the reply | the reply | a part |
/// | 408, 429 | no | the reply | 502 of our own: the status would be a promise | no part, another target is asked |
/// | 503 | no | another target is asked, in the end the reply | 502 of our own | no part, another target is asked |
/// | other 5xx | no | another target is asked, in the end the reply | the reply | no part, another target is asked |
/// | any other | no | the reply | the reply | no part, another target is asked |
///
/// A reply without a signature, or with an encoded body, counts as none. So does one with a status that ends no exchange of
/// HTTP, below 200 or above 599, whatever it says of the request. 502 becomes 504 if the time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetReply {
    /// HTTP status.
    pub status: u16,
    /// Whether the target reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the request reached another target than the intended one.
    pub is_misdirected: bool,
    /// Whether the reply has the target's signature and its body as the target made it.
    pub is_whole: bool,
}

/// What a reply may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyUse {
    /// It is the answer, or a part of it.
    Answer,
    /// It proves that the target did not run the request.
    Refusal(RefusalCause),
    /// The call failed; the caller may get the reply if no other call is answered.
    Failure,
    /// The call failed, and the caller must not get the reply.
    Nothing,
}

impl TargetReply {
    /// Returns what the reply may be used for. `is_gathered` is whether the answers of several shards, or of a set that
    /// happens to have one, are merged.
    pub fn use_for(&self, is_idempotent: bool, is_gathered: bool) -> ReplyUse {
        if !(200..600).contains(&self.status) {
            return ReplyUse::Nothing;
        }
        if self.is_misdirected {
            return ReplyUse::Refusal(RefusalCause::Draining);
        }
        if self.is_not_run {
            return ReplyUse::Refusal(RefusalCause::Shedding);
        }
        match self.status {
            _ if !self.is_whole => ReplyUse::Nothing,
            200..300 => ReplyUse::Answer,
            _ if is_gathered => ReplyUse::Nothing,
            status if !is_idempotent && is_promise(status) => ReplyUse::Nothing,
            500.. => ReplyUse::Failure,
            _ => ReplyUse::Answer,
        }
    }
}
