//! The edge towards the platform's Object API.

use std::fmt;

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
    /// Operators' contracts.
    Contracts,
    /// Index versions with their partition maps.
    Snapshots,
    /// Targets' status.
    Targets,
    /// The platform's VM list.
    Vms,
    /// Routes of opaque requests.
    Routes,
    /// Segments of the ledger.
    Ledger,
}

impl ObjectKind {
    /// The kind's plural name in paths.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Contracts => "contracts",
            ObjectKind::Snapshots => "snapshots",
            ObjectKind::Targets => "targets",
            ObjectKind::Vms => "vms",
            ObjectKind::Routes => "routes",
            ObjectKind::Ledger => "ledger",
        }
    }
}

/// The platform's kind of a configuration object.
pub(crate) fn platform_kind(kind: policy::ObjectKind) -> ObjectKind {
    match kind {
        policy::ObjectKind::Contracts => ObjectKind::Contracts,
        policy::ObjectKind::Snapshots => ObjectKind::Snapshots,
        policy::ObjectKind::Targets => ObjectKind::Targets,
        policy::ObjectKind::Vms => ObjectKind::Vms,
        policy::ObjectKind::Routes => ObjectKind::Routes,
    }
}

/// Why a call to the platform has no result.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformError {
    /// The object changed since it was read; nothing was written.
    Conflict,
    /// An object of that name exists; nothing was written.
    AlreadyExists,
    /// No object of that name.
    NotFound,
    /// The watch's version is too old; list again.
    Expired,
    /// Certainly without effect, as no connection was made or too many calls came.
    Refused(String),
    /// The platform read the call and found it wrong, for the text's reason.
    Rejected(String),
    /// It can't be told whether the call took effect.
    Uncertain(String),
}

impl PlatformError {
    /// What a status other than success means, whichever way the platform is spoken to.
    ///
    /// `creates` says whether the call would have made an object; `body` is the reply's.
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

/// Events of a watch; ends when the platform ends it or the connection breaks.
pub type WatchStream = LocalBoxStream<'static, Result<WatchEvent, PlatformError>>;

/// Calls to the Object API.
pub trait PlatformClient {
    /// Kinds of configuration objects that the platform keeps.
    fn kinds(&self) -> &'static [policy::ObjectKind];

    /// Whether each VM enters itself into the platform's VM list.
    fn requires_self_registration(&self) -> bool;

    /// Whether a watch that broke off may be resumed where it ended.
    ///
    /// If not, it may have kept changes back before it broke, and a list has to show them.
    fn supports_watch_resume(&self) -> bool;

    /// Every object of a kind.
    fn list(&self, kind: ObjectKind) -> LocalBoxFuture<'_, Result<ObjectList, PlatformError>>;

    /// One object.
    fn get<'a>(
        &'a self,
        kind: ObjectKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Creates an object; answers it with its version.
    fn create<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Updates an object if its version is still the one given.
    fn update<'a>(
        &'a self,
        kind: ObjectKind,
        object: &'a ObjectDocument,
    ) -> LocalBoxFuture<'a, Result<ObjectDocument, PlatformError>>;

    /// Changes after a version.
    fn watch(
        &self,
        kind: ObjectKind,
        after: Revision,
    ) -> LocalBoxFuture<'_, Result<WatchStream, PlatformError>>;
}
