//! Requests whose late replies a connection may still bring.

use std::time::Instant;

/// Maximum number of requests that one connection remembers.
const MAX_REMEMBERED_REQUESTS: usize = 512;

/// Requests that were sent on a connection and may be sent again.
///
/// A target may repeat a reply at the point where the next one is expected, and the id of a reply names the request, not the
/// send. So a reply proves something about a send only if no earlier send of the same request used the connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHistory {
    /// Hashes of the requests, each with the time from which on it is not sent any more.
    sent: Vec<(u64, Instant)>,
    /// Whether a request was left out for want of room, and until when that matters.
    overflow_until: Option<Instant>,
    /// Number of sends so far.
    sends: u64,
}

impl ConnectionHistory {
    /// Records that a request was sent, which may be sent again until `deadline`. `request` is a hash of its id.
    pub fn record_send(&mut self, request: u64, deadline: Instant, now: Instant) {
        self.sends += 1;
        self.sent.retain(|(_, until)| now < *until);
        if self.sent.len() >= MAX_REMEMBERED_REQUESTS {
            self.overflow_until = self.overflow_until.max(Some(deadline));
            return;
        }
        self.sent.push((request, deadline));
    }

    /// Forgets a request that got its final answer on this connection, so that it is not sent again.
    pub fn forget(&mut self, request: u64) {
        self.sent.retain(|(sent, _)| *sent != request);
    }

    /// Returns whether a reply to the request on this connection can only be one to the next send.
    pub fn allows(&self, request: u64, now: Instant) -> bool {
        let is_sent = self.sent.iter().any(|(sent, until)| *sent == request && now < *until);
        !is_sent && self.overflow_until.is_none_or(|until| now >= until)
    }

    /// Returns whether a reply belongs to the send in progress, that of a request with the id `sent_id`.
    ///
    /// A reply without an id may be a late copy of one to an earlier send, unless there was none.
    pub fn owns_reply(&self, sent_id: &[u8], reply_id: Option<&[u8]>) -> bool {
        match reply_id {
            Some(reply_id) => reply_id == sent_id,
            None => self.sends <= 1,
        }
    }
}
