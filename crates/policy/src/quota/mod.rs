//! Quotas of organisations, kept by the whole fleet.
//!
//! One VM for each organisation, the holder, has its token bucket ([`QuotaHolder`]). The other VMs draw tokens from it
//! and admit requests with them ([`QuotaStock`]). While the holder is not reached, its deputy issues a small part, and
//! a VM that reaches neither admits its own part of that.

mod bucket;
mod holder;
mod reach;
mod settings;
mod stock;
mod table;
mod token;

pub use holder::QuotaGrant;
pub use holder::QuotaHolder;
pub use holder::QuotaRole;
pub use reach::QuotaReach;
pub use reach::QuotaVm;
pub use settings::QuotaSettings;
pub use stock::QuotaAnswer;
pub(crate) use stock::QuotaStock;
pub use table::QuotaDecision;
pub use table::QuotaRefusal;
pub use table::QuotaTable;
pub use token::QuotaToken;
