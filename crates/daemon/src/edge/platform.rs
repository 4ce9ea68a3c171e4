//! Interface to the platform's Object API.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use oleanderwind_policy as policy;
use oleanderwind_policy::Revision;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectList;
use oleanderwind_wire::WatchEvent;

/// Kinds of objects that the daemon uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// Contracts of customers.
    Contracts,
    /// Index snapshots with their partition maps.
    Snapshots,
    /// Targets and their status.
    Targets,
    /// The platform's VM list.
    Vms,
    /// Routes of opaque requests.
    Routes,
    /// Ledger segments.
    Ledger,
    /// Evacuated failure domains.
    Evacuations,
}

impl ObjectKind {
    /// Returns the plural name of the kind, as used in paths.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Contracts => "contracts",
            ObjectKind::Snapshots => "snapshots",
            ObjectKind::Targets => "targets",
            ObjectKind::Vms => "vms",
            ObjectKind::Routes => "routes",
            ObjectKind::Ledger => "ledger",
            ObjectKind::Evacuations => "evacuations",
        }
    }
}

/// Converts the kind of a configuration object to that of the Object API.
pub(crate) fn platform_kind(kind: policy::ObjectKind) -> ObjectKind {
    match kind {
        policy::ObjectKind::Contracts => ObjectKind::Contracts,
        policy::ObjectKind::Snapshots => ObjectKind::Snapshots,
        policy::ObjectKind::Targets => ObjectKind::Targets,
        policy::ObjectKind::Vms => ObjectKind::Vms,
        policy::ObjectKind::Routes => ObjectKind::Routes,
    }
}

/// Failure of a call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformError {
    /// The object changed since it was read; nothing was written.
    Conflict,
    /// An object of that name already exists; nothing was written.
    AlreadyExists,
    /// There is no object of that name.
    NotFound,
    /// The revision to watch from is too old; list again.
    Expired,
    /// The call had no effect: no connection was established or the rate limit was exceeded.
    Refused(String),
    /// The platform rejected the call as invalid, for the given reason.
    Rejected(String),
    /// It is unknown whether the call took effect.
    Uncertain(String),
}

impl PlatformError {
    /// Maps an HTTP status other than success to an error.
    ///
    /// `creates` is whether the call was to create an object; `body` is that of the reply.
    pub fn from_status(status: u16, creates: bool, body: &[u8]) -> PlatformError {
        match status {
            409 if creates => PlatformError::AlreadyExists,
            409 => PlatformError::Conflict,
            404 => PlatformError::NotFound,
            410 => PlatformError::Expired,
            429 => PlatformError::Refused("too many calls".to_owned()),
            400..500 => PlatformError::Rejected(String::from_utf8_lossy(body).into_owned()),
            _ => PlatformError::Uncertain(format!("status {status}")),
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Conflict => write!(f, "the object changed; read it again"),
            PlatformError::AlreadyExists => write!(f, "the object exists; read it first"),
            PlatformError::NotFound => write!(f, "there is no such object"),
            PlatformError::Expired => write!(f, "the version is too old; list again"),
            PlatformError::Refused(reason) => write!(f, "the platform refused: {reason}"),
            PlatformError::Rejected(reason) => write!(f, "the platform rejected: {reason}"),
            PlatformError::Uncertain(reason) => write!(f, "the effect is uncertain: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Events of a watch; ends when the platform closes the watch or the connection breaks.
pub type WatchStream = LocalBoxStream<'static, Result<WatchEvent, PlatformError>>;

/// Returns how long the platform may hold the next call of a watch open while nothing changes.
pub type WatchHold = Rc<dyn Fn() -> Duration>;

/// Client of the Object API.
pub trait PlatformClient {
    /// Returns the kinds of configuration objects that the platform stores.
    fn kinds(&self) -> &'static [policy::ObjectKind];

    /// Returns whether the platform lists failure domains that are to be evacuated.
    fn has_evacuations(&self) -> bool;

    /// Returns whether each VM must register itself in the platform's VM list.
    fn requires_self_registration(&self) -> bool;

    /// Returns whether a watch that failed may be resumed at its last revision.
    ///
    /// If not, it may have withheld changes before it failed, which only a new list shows.
    fn supports_watch_resume(&self) -> bool;

    /// Lists all objects of a kind.
    fn list(&self, kind: ObjectKind) -> LocalBoxFuture<'_, Result<ObjectList, PlatformError>>;

    /// Reads an object.
    fn get<'a>(
        &'a self,
        kind: ObjectKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Creates an object; returns it with its version.
    fn create<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Updates an object if its version is still the given one; returns it with its new version.
    fn update<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Watches the changes after a revision. A watch that waits for changes in one call after the
    /// other asks `hold` before each; one whose calls have a fixed duration need not.
    fn watch(
        &self,
        kind: ObjectKind,
        after: Revision,
        hold: WatchHold,
    ) -> LocalBoxFuture<'_, Result<WatchStream, PlatformError>>;
}
