//! Rate limits that targets name in their answers, kept by the whole fleet.
//!
//! Each VM knows the limits that targets named to it or to a peer ([`LimitTable`]). A call to such a target needs a permit
//! ([`CallPermit`]). One VM for each target, the holder ([`rank_limit_holders`]), issues them at the rate of the limit
//! ([`PermitIssuer`]). A VM without a permit treats the target as full.

mod cold;
mod holder;
mod notice;
mod permit;
mod permit_issuer;
mod permit_stock;
mod request_rate;
mod table;

pub use cold::ColdTargetTable;
pub use holder::rank_limit_holders;
pub use notice::LimitNotice;
pub use permit::CallPermit;
pub use permit::PermitGrant;
pub use permit::PermitRequest;
pub use permit_issuer::FleetReach;
pub use permit_issuer::PermitIssuer;
pub(crate) use permit_stock::PermitStock;
pub use request_rate::RequestRate;
pub use request_rate::RequestRateError;
pub use table::LimitChange;
pub use table::LimitRecord;
pub use table::LimitTable;
