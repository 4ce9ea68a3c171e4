//! The record of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, on standard output and in `record.txt`.
pub(crate) struct Record {
    file: Mutex<File>,
    begun_at: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub(crate) fn create(folder: &Path) -> Result<Record, String> {
        let path = folder.join("record.txt");
        let file = File::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Record { file: Mutex::new(file), begun_at: Instant::now() })
    }

    /// Writes a line.
    pub(crate) fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.begun_at.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // The verdict does not depend on the record.
            let _ = writeln!(file, "{line}");
        }
    }
}
