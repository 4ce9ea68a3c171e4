//! Reads and writes of segments, each sent once without retries.

use std::rc::Rc;

use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerSegment;
use oleanderwind_policy::Revision;
use oleanderwind_policy::SegmentId;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;

use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::ledger::LedgerService;

/// Reads a segment and reports the result to the engine.
pub(crate) async fn read_segment(ledger: Rc<LedgerService>, segment: SegmentId) {
    let result = ledger.platform.get(ObjectKind::Ledger, &object_name(segment)).await;
    ledger.handle(read_event(segment, result));
}

/// Creates a segment and reports the result to the engine.
pub(crate) async fn create_segment(
    ledger: Rc<LedgerService>,
    segment: SegmentId,
    body: LedgerSegment,
) {
    let result = match object(segment, &body, None) {
        Ok(object) => ledger.platform.create(ObjectKind::Ledger, &object).await,
        Err(error) => Err(error),
    };
    ledger.handle(write_event(segment, result));
}

/// Updates a segment and reports the result to the engine.
pub(crate) async fn update_segment(
    ledger: Rc<LedgerService>,
    segment: SegmentId,
    body: LedgerSegment,
    expected: Revision,
) {
    let result = match object(segment, &body, Some(expected)) {
        Ok(object) => ledger.platform.update(ObjectKind::Ledger, &object).await,
        Err(error) => Err(error),
    };
    ledger.handle(write_event(segment, result));
}

fn object_name(segment: SegmentId) -> String {
    format!("segment-{segment:016x}")
}

fn object(
    segment: SegmentId,
    body: &LedgerSegment,
    expected: Option<Revision>,
) -> Result<ObjectDocument, PlatformError> {
    let spec = serde_json::to_value(body).map_err(|error| {
        PlatformError::Refused(format!("the segment can't be serialized: {error}"))
    })?;
    let metadata = ObjectMetadata {
        name: object_name(segment),
        resource_version: expected.map(|revision| revision.to_string()).unwrap_or_default(),
        ..ObjectMetadata::default()
    };
    Ok(ObjectDocument { kind: ObjectKind::Ledger.as_str().to_owned(), metadata, spec })
}

fn read_event(segment: SegmentId, result: Result<ObjectDocument, PlatformError>) -> LedgerEvent {
    let object = match result {
        Ok(object) => object,
        Err(PlatformError::NotFound) => {
            return LedgerEvent::SegmentRead { segment, body: None, revision: 0 };
        }
        Err(error) => {
            log::warn!("failed to read ledger segment {segment}: {error}");
            return LedgerEvent::ReadFailed { segment };
        }
    };
    let revision = object.revision();
    match serde_json::from_value(object.spec) {
        Ok(body) if revision > 0 => {
            LedgerEvent::SegmentRead { segment, body: Some(body), revision }
        }
        Ok(_) => {
            log::error!("ledger segment {segment} was read without a resource version");
            LedgerEvent::ReadFailed { segment }
        }
        Err(error) => {
            log::error!("failed to parse ledger segment {segment}: {error}");
            LedgerEvent::ReadFailed { segment }
        }
    }
}

/// Converts the result of a write; any result that is not certain becomes
/// [`LedgerEvent::WriteUncertain`].
fn write_event(segment: SegmentId, result: Result<ObjectDocument, PlatformError>) -> LedgerEvent {
    let error = match result {
        Ok(object) if object.revision() > 0 => {
            return LedgerEvent::WriteAccepted { segment, revision: object.revision() };
        }
        Ok(_) => PlatformError::Uncertain("the reply has no resource version".to_owned()),
        Err(error) => error,
    };
    match error {
        PlatformError::Conflict | PlatformError::AlreadyExists => {
            LedgerEvent::WriteConflict { segment }
        }
        PlatformError::Refused(_) => {
            log::warn!("failed to write ledger segment {segment}: {error}");
            LedgerEvent::WriteRefused { segment }
        }
        PlatformError::NotFound
        | PlatformError::Expired
        | PlatformError::Rejected(_)
        | PlatformError::Uncertain(_) => {
            log::warn!("write of ledger segment {segment} may have taken effect: {error}");
            LedgerEvent::WriteUncertain { segment }
        }
    }
}
