//! What a case saw, written to its file as it happens.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, began_at: Instant::now() })
    }

    /// Returns the seconds since the start at a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began_at).as_secs_f64()
    }

    /// Writes a line with the time of the moment that it tells of.
    pub fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds(at));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }
}
