//! Reads and writes of segments, each sent once.

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

/// Reads a segment and feeds the engine what is there.
pub(crate) async fn read_segment(ledger: Rc<LedgerService>, segment: SegmentId) {
    let result = ledger.platform.get(ObjectKind::Ledger, &object_name(segment)).await;
    ledger.handle(read_event(segment, result));
}

/// Creates a segment and feeds the engine what came of it.
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

/// Updates a segment and feeds the engine what came of it.
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
        PlatformError::Refused(format!("the segment can't be written: {error}"))
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
            log::warn!("ledger segment {segment} could not be read: {error}");
            return LedgerEvent::ReadFailed { segment };
        }
    };
    let revision = object.revision();
    match serde_json::from_value(object.spec) {
        Ok(body) if revision > 0 => {
            LedgerEvent::SegmentRead { segment, body: Some(body), revision }
        }
        Ok(_) => {
            log::error!("ledger segment {segment} has no version");
            LedgerEvent::ReadFailed { segment }
        }
        Err(error) => {
            log::error!("ledger segment {segment} is not as agreed: {error}");
            LedgerEvent::ReadFailed { segment }
        }
    }
}

/// What a write came to; whatever is not certain is [`LedgerEvent::WriteUncertain`].
fn write_event(segment: SegmentId, result: Result<ObjectDocument, PlatformError>) -> LedgerEvent {
    let error = match result {
        Ok(object) if object.revision() > 0 => {
            return LedgerEvent::WriteAccepted { segment, revision: object.revision() };
        }
        Ok(_) => PlatformError::Uncertain("the reply has no version".to_owned()),
        Err(error) => error,
    };
    match error {
        PlatformError::Conflict | PlatformError::AlreadyExists => {
            LedgerEvent::WriteConflict { segment }
        }
        PlatformError::Refused(_) => {
            log::warn!("ledger segment {segment} could not be written: {error}");
            LedgerEvent::WriteRefused { segment }
        }
        PlatformError::NotFound
        | PlatformError::Expired
        | PlatformError::Rejected(_)
        | PlatformError::Uncertain(_) => {
            log::warn!("ledger segment {segment} may be written: {error}");
            LedgerEvent::WriteUncertain { segment }
        }
    }
}
