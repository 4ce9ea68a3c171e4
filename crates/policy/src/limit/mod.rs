//! Rate limits that targets name in their answers.

mod notice;
mod request_rate;
mod table;

pub use notice::LimitNotice;
pub use request_rate::RequestRate;
pub use request_rate::RequestRateError;
pub use table::LimitChange;
pub use table::LimitRecord;
pub use table::LimitTable;
