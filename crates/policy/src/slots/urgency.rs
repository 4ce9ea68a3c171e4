//! How urgent a query's calls are among those that wait for the same target.

use xxhash_rust::xxh3::xxh3_64;

use crate::OrganisationId;

/// How urgent a query's calls are among those that wait for the same target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallUrgency {
    /// Rank of the organisation; 0 is the highest.
    pub organisation_rank: u32,
    /// Rank of the route, among calls of organisations of the same rank; 0 is the highest.
    pub route_rank: u32,
    /// Organisations take turns among calls of the same ranks. Callers without one share a turn.
    pub organisation: Option<OrganisationId>,
    /// Turns of the organisation for each turn of one with a share of 1; at least 1.
    pub share: u32,
}

/// Urgency of a waiting call, as it is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CallRank {
    organisation_rank: u32,
    route_rank: u32,
}

impl CallRank {
    /// Returns the rank of a query's calls; they are all alike without an urgency.
    pub(crate) fn of(urgency: Option<&CallUrgency>) -> CallRank {
        urgency.map_or_else(CallRank::default, |urgency| CallRank {
            organisation_rank: urgency.organisation_rank,
            route_rank: urgency.route_rank,
        })
    }
}

/// Virtual time in which an organisation with a share of 1 has one turn.
const TURN_TIME: u64 = 1 << 20;

/// Who takes turns with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TurnTaker {
    /// Hash of the organisation; 0 for callers without one.
    pub(crate) organisation: u64,
    /// Virtual time from one of its turns to the next.
    pub(crate) turn_time: u64,
}

impl TurnTaker {
    /// Returns who takes turns for a query's calls.
    pub(crate) fn of(urgency: &CallUrgency) -> TurnTaker {
        let organisation = urgency.organisation.as_ref();
        TurnTaker {
            organisation: organisation.map_or(0, |organisation| xxh3_64(organisation.as_bytes())),
            turn_time: TURN_TIME / u64::from(urgency.share.max(1)),
        }
    }
}
