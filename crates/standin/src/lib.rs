//! Stand-ins of the platform and of the searchers.
