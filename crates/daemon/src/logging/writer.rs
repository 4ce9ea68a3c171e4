//! The thread that writes lines.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

/// Lines that may wait for a reader of standard output that is slow.
const WAITING_LINES: usize = 1_024;

/// Hands lines to a thread of its own.
pub(crate) struct LineWriter {
    sender: SyncSender<String>,
    dropped: AtomicU64,
}

/// Lines that wait until standard output is theirs.
pub struct BufferedLines {
    receiver: Receiver<String>,
}

impl BufferedLines {
    /// Starts the thread that writes them, which ends with the process.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start_writing(self) -> io::Result<()> {
        let writing = move || write_lines(&self.receiver);
        thread::Builder::new().name("log".to_owned()).spawn(writing).map(drop)
    }
}

impl LineWriter {
    /// A writer with the lines that it will be given.
    pub(crate) fn new() -> (LineWriter, BufferedLines) {
        let (sender, receiver) = sync_channel(WAITING_LINES);
        (LineWriter { sender, dropped: AtomicU64::new(0) }, BufferedLines { receiver })
    }

    /// Hands a line over; one that finds the queue full is counted and left out.
    pub(crate) fn write(&self, line: String) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        let line = match dropped {
            0 => line,
            count => format!("{{\"message\":\"{count} lines found the queue full\"}}\n{line}"),
        };
        match self.sender.try_send(line) {
            Ok(()) => drop(self.dropped.fetch_sub(dropped, Ordering::Relaxed)),
            Err(_) => drop(self.dropped.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

/// Writes until the process ends; a standard output that is closed has no reader to tell.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut output = io::stdout().lock();
        if output.write_all(line.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
