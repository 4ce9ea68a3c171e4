//! Stand-in of the platform: a versioned object store behind the Object API.

mod call;
mod error;
mod fault;
mod node;
mod object_call;
mod store;
mod watch;

pub use call::CallCount;
pub use call::CallKind;
pub use call::PlatformReport;
pub use fault::FailureMode;
pub use fault::PlatformFault;
pub(crate) use node::PlatformNode;
pub(crate) use store::ObjectStore;
