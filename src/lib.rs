//! oleanderwind.
