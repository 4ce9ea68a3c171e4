//! The services of the oleanderwind daemon.
