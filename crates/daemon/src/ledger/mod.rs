//! Drives the ledger engine: requests that may not be repeated are claimed before they are sent.

mod dispatch;
mod driver;
mod instruments;
mod segment;
mod service;

pub(crate) use service::LedgerCall;
pub(crate) use service::LedgerReply;
pub(crate) use service::LedgerService;
