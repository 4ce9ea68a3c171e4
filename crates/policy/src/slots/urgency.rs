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
}

/// Urgency of a waiting call, as it is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
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

/// Identifies the organisation that takes turns with others; 0 for callers without one.
pub(crate) type TurnTaker = u64;

/// Returns who takes turns for a query's calls.
pub(crate) fn turn_taker(urgency: &CallUrgency) -> TurnTaker {
    urgency.organisation.as_ref().map_or(0, |organisation| xxh3_64(organisation.as_bytes()))
}
