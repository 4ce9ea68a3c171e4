//! What one VM sends another that lacks something.

use crate::ConfigurationObject;
use crate::Revision;

/// A page of objects in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectDelta {
    /// Objects changed after the revision that was asked for.
    pub objects: Vec<ConfigurationObject>,
    /// The sender has nothing else between the revision asked for and this one.
    pub scanned_revision: Revision,
    /// The sender holds everything up to this revision.
    pub complete_revision: Revision,
    /// There is more after `scanned_revision`.
    pub has_more: bool,
    /// Deletions since the revision asked for are forgotten: the asker has to list anew.
    pub too_old: bool,
}
