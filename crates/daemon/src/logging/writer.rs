//! The thread that writes log lines.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

/// Maximum number of lines queued for a slow reader of standard output.
const MAX_QUEUED_LINES: usize = 1_024;

/// Queues lines for the writer thread.
pub(crate) struct LineWriter {
    sender: SyncSender<String>,
    dropped: AtomicU64,
}

/// Lines that are buffered until the process lets the log write to standard output.
pub struct BufferedLines {
    receiver: Receiver<String>,
}

impl BufferedLines {
    /// Starts the thread that writes the lines. It runs until the process exits or standard output
    /// is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start_writing(self) -> io::Result<()> {
        let writing = move || write_lines(&self.receiver);
        thread::Builder::new().name("log".to_owned()).spawn(writing).map(drop)
    }
}

impl LineWriter {
    /// Returns a writer and the buffer of its lines.
    pub(crate) fn new() -> (LineWriter, BufferedLines) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        (LineWriter { sender, dropped: AtomicU64::new(0) }, BufferedLines { receiver })
    }

    /// Queues a line. If the queue is full, the line is dropped and counted.
    pub(crate) fn write(&self, line: String) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        let line = match dropped {
            0 => line,
            count => format!(
                "{{\"message\":\"{count} lines dropped because the log queue was full\"}}\n{line}"
            ),
        };
        match self.sender.try_send(line) {
            Ok(()) => drop(self.dropped.fetch_sub(dropped, Ordering::Relaxed)),
            Err(_) => drop(self.dropped.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

/// Writes lines until the process exits or standard output is closed.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut output = io::stdout().lock();
        if output.write_all(line.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
