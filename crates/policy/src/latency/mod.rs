//! Observed latency: a decaying histogram per shard, and moving averages per target.

mod ewma;
mod histogram;
mod shard;

pub(crate) use ewma::LatencyEwma;
pub(crate) use histogram::LatencyHistogram;
pub(crate) use shard::LatencyEstimate;
pub(crate) use shard::LatencyIndex;
pub(crate) use shard::LatencyTable;
