//! Interfaces to the platform and to the protocol of callers and targets.

mod callers;
mod platform;
mod reply;

pub use callers::CallHead;
pub use callers::CallerProtocol;
pub use callers::IncomingCall;
pub use callers::OpaqueRequest;
pub use callers::ReplyMetadata;
pub use callers::TargetNotice;
pub use platform::ObjectKind;
pub use platform::PlatformClient;
pub use platform::PlatformError;
pub use platform::WatchHold;
pub use platform::WatchStream;
pub(crate) use platform::platform_kind;
pub(crate) use reply::announced_length;
