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
pub use fault::PlatformFault;
pub use fault::SilenceManner;
pub(crate) use node::PlatformNode;
pub(crate) use store::ObjectStore;
