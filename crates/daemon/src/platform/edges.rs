//! Default interfaces of the product.

use crate::daemon::DaemonEdges;
use crate::platform::HttpPlatformClient;
use crate::settings::DaemonSettings;

/// Returns the product's own client of the Object API and its own protocol for callers.
pub fn product_edges(settings: &DaemonSettings) -> DaemonEdges {
    DaemonEdges { objects: Box::new(HttpPlatformClient::new(settings.platform)), callers: None }
}
