//! Fleet-wide rate limit of each customer, enforced without a remote call per request.
//!
//! Every VM that serves a customer owns an equal share of its rate. A VM with higher demand borrows
//! rate from peers of the same subset for a few seconds. The lender stops using the lent rate
//! before the borrower may use it, and resumes only after the loan has expired for the borrower. So
//! the usable rates never add up to more than the limit, whatever messages are lost and whichever
//! VMs are partitioned. This is the escrow method of P. O'Neil, "The Escrow transactional method"
//! (ACM TODS 1986), with loans that expire by themselves.

mod bucket;
mod limiter;
mod loans;

pub use limiter::AdmissionDecision;
pub use limiter::CustomerLimiter;
pub use limiter::LoanRequest;
