//! The product's own edges.

use crate::daemon::DaemonEdges;
use crate::platform::HttpPlatform;
use crate::settings::DaemonSettings;

/// The product's own Object API, and its own interface for callers.
pub fn product_edges(settings: &DaemonSettings) -> DaemonEdges {
    DaemonEdges { objects: Box::new(HttpPlatform::new(settings.platform)), callers: None }
}
