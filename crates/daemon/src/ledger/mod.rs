//! I/O driver of the ledger engine, which claims non-idempotent requests before they are sent.

mod dispatch;
mod driver;
mod instruments;
mod segment;
mod service;

pub(crate) use service::LedgerCall;
pub(crate) use service::LedgerReply;
pub(crate) use service::LedgerService;
