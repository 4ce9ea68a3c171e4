//! How old reports of load are taken.

/// How a report of a target's load is taken as it gets older.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum LoadNews {
    /// As true for a second, then as nothing.
    Held,
    /// As less and less likely: the estimate moves to the target's average, and its pace to the usual.
    #[default]
    Decayed,
}
