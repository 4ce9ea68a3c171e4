//! Observed latency: a decaying histogram a shard, a smoothed mean a target.

mod histogram;
mod mean;
mod shard;

pub(crate) use histogram::LatencyHistogram;
pub(crate) use mean::LatencyMean;
pub(crate) use shard::LatencyIndex;
pub(crate) use shard::LatencyTable;
pub(crate) use shard::ShardEstimate;
