//! What was sent, answered and run, for `record.txt`.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the milliseconds since the start of the case; clones share them.
#[derive(Clone)]
pub struct Record {
    begun_at: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { begun_at: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, text: impl Into<String>) {
        let at = self.begun_at.elapsed().as_micros();
        self.lines.lock().expect("no thread panics").push((at, text.into()));
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{text}");
        self.add(text);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("no thread panics").clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines: Vec<String> = lines
            .iter()
            .map(|(at, text)| format!("{:>8}.{:03} ms  {text}", at / 1_000, at % 1_000))
            .collect();
        if let Err(error) = std::fs::write(path, lines.join("\n") + "\n") {
            eprintln!("{}: {error}", path.display());
        }
    }
}
