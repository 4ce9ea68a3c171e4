//! Permits of one VM for calls to one target with a limit.

use std::collections::VecDeque;
use std::time::Instant;
use std::time::SystemTime;

use crate::CallPermit;
use crate::PermitRequest;
use crate::RequestRate;

/// The permits of one VM for one target, and what it knows of further ones.
#[derive(Debug)]
pub(crate) struct PermitStock {
    pub(crate) rate: RequestRate,
    /// Ordered by the time from which they are usable.
    permits: VecDeque<CallPermit>,
    /// Number of calls that lacked a permit since the last ones were asked for.
    wanted: u32,
    is_asked: bool,
    /// Time before which the holder issues no permits.
    closed_until: Option<Instant>,
}

impl PermitStock {
    /// Returns an empty stock.
    pub(crate) fn new(rate: RequestRate) -> PermitStock {
        PermitStock {
            rate,
            permits: VecDeque::new(),
            wanted: 0,
            is_asked: false,
            closed_until: None,
        }
    }

    /// Returns the number of permits that have not expired.
    pub(crate) fn len(&self, now: Instant) -> usize {
        self.permits.iter().filter(|permit| !permit.is_expired(now)).count()
    }

    /// Returns whether a call may be sent now.
    pub(crate) fn has_usable(&self, now: Instant) -> bool {
        let mut live = self.permits.iter().filter(|permit| !permit.is_expired(now));
        live.next().is_some_and(|permit| permit.usable_from() <= now)
    }

    /// Takes a permit, if one is usable.
    pub(crate) fn take(&mut self, now: Instant) -> Option<CallPermit> {
        while self.permits.front()?.is_expired(now) {
            self.permits.pop_front();
        }
        self.permits.pop_front_if(|permit| permit.usable_from() <= now)
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    /// Returns until when there are no permits, if there are none in stock.
    pub(crate) fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.closed_until.filter(|_| self.is_closed(now) && self.len(now) == 0)
    }

    /// Records that `calls` lack a permit; returns whether permits have to be asked for.
    pub(crate) fn want(&mut self, calls: u32, now: Instant) -> bool {
        if self.is_closed(now) {
            return false;
        }
        self.wanted = self.wanted.saturating_add(calls).min(PermitRequest::MAX_WANTED);
        !self.is_asked
    }

    /// Returns whether there are no permits, and none are asked for or known to be exhausted.
    pub(crate) fn is_unasked(&self, now: Instant) -> bool {
        self.len(now) == 0 && !self.is_asked && !self.is_closed(now)
    }

    /// Takes a permit for a call that leaves now; it must be valid by both clocks.
    pub(crate) fn take_valid(&mut self, now: Instant, wall: SystemTime) -> bool {
        self.permits.retain(|permit| permit.usable_from() > now || permit.is_valid(now, wall));
        self.take(now).is_some()
    }

    /// Returns the number of permits to ask for, and counts them as asked for; 0 if there is nothing to ask.
    pub(crate) fn start_request(&mut self) -> u32 {
        if self.is_asked {
            return 0;
        }
        self.is_asked = self.wanted > 0;
        std::mem::take(&mut self.wanted)
    }

    /// Adds the permits that were asked for; none are to be had before `closed_until`. Returns whether more have to be
    /// asked for.
    pub(crate) fn add(&mut self, permits: &[CallPermit], closed_until: Option<Instant>) -> bool {
        self.is_asked = false;
        self.permits.extend(permits);
        self.closed_until = closed_until;
        if closed_until.is_some() {
            self.wanted = 0;
        }
        self.wanted > 0
    }
}
