//! A customer's limit over the whole fleet, with no call per request.
//!
//! Every VM that serves a customer owns an equal part of its rate. A VM with more demand borrows
//! from peers of the same subset for a few seconds; the lender goes without from before the
//! borrower may use the loan until after it may not. So the parts never add up to more than the
//! limit, whatever messages are lost and whoever is cut off: escrow, after P. O'Neil, "The Escrow
//! transactional method" (ACM TODS 1986), with loans that lapse by themselves.

mod bucket;
mod ledger;
mod limiter;

pub use limiter::AdmissionDecision;
pub use limiter::CustomerLimiter;
pub use limiter::LoanRequest;
