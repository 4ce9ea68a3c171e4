//! Reply to a pull of configuration objects.

use crate::ConfigurationObject;
use crate::Revision;

/// Page of objects in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectDelta {
    /// Objects changed after the requested revision.
    pub objects: Vec<ConfigurationObject>,
    /// Revision up to which the page contains all that the sender holds after the requested one.
    pub scanned_revision: Revision,
    /// Revision up to which the sender holds all objects.
    pub complete_revision: Revision,
    /// Whether the sender holds more objects after `scanned_revision`.
    pub has_more: bool,
    /// Whether tombstones after the requested revision were pruned, so that the receiver needs a full
    /// listing.
    pub too_old: bool,
}
