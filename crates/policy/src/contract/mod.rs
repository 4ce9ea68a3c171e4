//! Contracts: the configuration object that operators write for each customer.

mod class;
mod customer_contract;
mod difference;
mod placement;
mod raw;

pub use class::ClassPriority;
pub use class::ClassTerms;
pub use class::OperationKind;
pub use customer_contract::AnswerPreference;
pub use customer_contract::CustomerContract;
pub use difference::FieldDifference;
pub use placement::PlacementShare;
pub use raw::RawClass;
pub use raw::RawContract;
pub use raw::RawPlacement;
