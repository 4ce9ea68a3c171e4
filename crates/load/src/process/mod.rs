//! Processor time and memory of processes, from `/proc`.

use std::fs;
use std::io;

use serde::Deserialize;
use serde::Serialize;

/// Clock ticks a second in `/proc/PID/stat`, fixed by Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields after the command's name.
const UTIME_INDEX: usize = 11;

/// What one process used.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct ProcessUsage {
    /// Process id.
    pub pid: u32,
    /// Processor time in user and kernel, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage since the process started.
    ///
    /// # Errors
    ///
    /// The read error when the process is gone, or `InvalidData` for an unknown format.
    pub fn read(pid: u32) -> io::Result<ProcessUsage> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let usage = cpu_seconds(&stat)
            .zip(resident_kb(&status))
            .map(|(cpu_seconds, resident_kb)| ProcessUsage { pid, cpu_seconds, resident_kb });
        usage.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "unknown /proc format"))
    }

    /// This reading with the processor time since `earlier`.
    pub fn since(mut self, earlier: &ProcessUsage) -> ProcessUsage {
        self.cpu_seconds -= earlier.cpu_seconds;
        self
    }
}

/// Sum of user and kernel time in a `stat` line.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(UTIME_INDEX);
    let user: f64 = times.next()?.parse().ok()?;
    let kernel: f64 = times.next()?.parse().ok()?;
    Some((user + kernel) / TICKS_PER_SECOND)
}

/// `VmRSS` of a `status` file.
fn resident_kb(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
