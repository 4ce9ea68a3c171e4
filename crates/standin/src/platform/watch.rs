//! Watches: streams of events, one JSON document per line, until their time-out.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::MessageBody;
use actix_http::header;
use bytes::Bytes;
use futures_util::stream;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;
use serde_json::Value;

use crate::net::HttpReply;
use crate::platform::PlatformNode;
use crate::platform::SilenceManner;
use crate::platform::error::PlatformError;
use crate::platform::object_call::ObjectCall;
use crate::platform::store::version_metadata;

/// Interval at which a watch of a lagging kind checks for newly visible changes.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of an open watch.
struct OpenWatch {
    platform: Rc<PlatformNode>,
    kind: String,
    version: u64,
    deadline: Instant,
    ended: bool,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.platform.open_watches.set(self.platform.open_watches.get() - 1);
    }
}

/// Opens a watch and returns its streaming reply.
///
/// # Errors
///
/// [`PlatformError::Expired`] if the history no longer reaches back to the requested version.
pub(crate) fn watch_reply(
    platform: &Rc<PlatformNode>,
    call: &ObjectCall,
) -> Result<HttpReply, PlatformError> {
    let now = Instant::now();
    let store = platform.store.borrow();
    let version = call.version.unwrap_or_else(|| store.version());
    store.changes_after(&call.kind, version, now)?;
    platform.open_watches.set(platform.open_watches.get() + 1);
    let watch = OpenWatch {
        platform: Rc::clone(platform),
        kind: call.kind.clone(),
        version,
        deadline: now + Duration::from_secs(call.timeout_seconds),
        ended: false,
    };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.next_lines().await?;
        Some((Ok::<Bytes, Infallible>(line), watch))
    });
    let body = BodyStream::new(Box::pin(lines)).boxed();
    let mut reply = Response::build(StatusCode::OK);
    reply.insert_header((header::CONTENT_TYPE, "application/json"));
    Ok(reply.body(body).map_into_boxed_body())
}

impl OpenWatch {
    /// Returns the next events; at the time-out a bookmark, and after it `None`.
    async fn next_lines(&mut self) -> Option<Bytes> {
        while !self.ended {
            let outage = self.platform.fault.borrow().outage;
            match outage {
                Some(SilenceManner::Closed) => return None,
                Some(SilenceManner::Silent) => {
                    self.platform.changed.notified().await;
                    continue;
                }
                None => {}
            }
            let events = self.take_events()?;
            if !events.is_empty() {
                return Some(to_json_lines(&events));
            }
            if Instant::now() >= self.deadline {
                self.ended = true;
                return Some(to_json_lines(&[self.bookmark()]));
            }
            self.wait().await;
        }
        None
    }

    /// Returns the events that became visible, or `None` if the history no longer contains them.
    fn take_events(&mut self) -> Option<Vec<WatchEvent>> {
        let visible_at = self.platform.visible_at(&self.kind);
        let store = self.platform.store.borrow();
        let events = store.changes_after(&self.kind, self.version, visible_at).ok()?;
        self.version = self.version.max(store.version_at(visible_at));
        Some(events)
    }

    /// Waits for a change, the next check of a lagging kind, or the deadline.
    async fn wait(&self) {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let lagging = !self.platform.lag(&self.kind).is_zero();
        let pause = if lagging { left.min(LAG_POLL_INTERVAL) } else { left };
        tokio::select! {
            () = self.platform.changed.notified() => {}
            () = actix_rt::time::sleep(pause) => {}
        }
    }

    /// Returns a bookmark: the version up to which all changes were sent.
    fn bookmark(&self) -> WatchEvent {
        let metadata = version_metadata(self.version);
        let object = ObjectDocument { kind: self.kind.clone(), metadata, spec: Value::Null };
        WatchEvent { kind: WatchKind::Bookmark, object }
    }
}

/// Encodes events as JSON, one per line.
fn to_json_lines(events: &[WatchEvent]) -> Bytes {
    let mut lines = Vec::new();
    for event in events {
        lines.extend(serde_json::to_vec(event).unwrap_or_default());
        lines.push(b'\n');
    }
    Bytes::from(lines)
}
