//! Settings of the engine.

/// How the engine decides; the defaults are the product's.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub struct FanoutSettings {
    /// Put into the upper 24 bits of each call id, so that ids differ between VMs.
    pub call_prefix: u32,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Default for FanoutSettings {
    fn default() -> FanoutSettings {
        FanoutSettings { call_prefix: 1, seed: 1 }
    }
}
