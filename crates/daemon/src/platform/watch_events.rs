//! Decoder for the JSON lines of a watch.

use bytes::Bytes;
use bytes::BytesMut;
use oleanderwind_wire::WatchEvent;

use crate::edge::PlatformError;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 2 * 1_024 * 1_024;

/// Splits chunks into lines and parses each line as an event.
#[derive(Default)]
pub(crate) struct WatchEventDecoder {
    /// Incomplete last line.
    pending: BytesMut,
}

impl WatchEventDecoder {
    /// Adds a chunk and returns the events that are complete now.
    ///
    /// An incomplete line longer than [`MAX_LINE_BYTES`] is discarded and reported as an error.
    pub(crate) fn decode(&mut self, chunk: &Bytes) -> Vec<Result<WatchEvent, PlatformError>> {
        self.pending.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            if !line.trim_ascii().is_empty() {
                events.push(parse_event(&line));
            }
        }
        if self.pending.len() > MAX_LINE_BYTES {
            self.pending.clear();
            events.push(Err(PlatformError::Uncertain("a watch line is too long".to_owned())));
        }
        events
    }
}

fn parse_event(line: &[u8]) -> Result<WatchEvent, PlatformError> {
    serde_json::from_slice(line)
        .map_err(|error| PlatformError::Uncertain(format!("a watch line is not JSON: {error}")))
}
