//! CPU time and memory usage of processes, read from `/proc`.

use std::fs;
use std::io;

use serde::Deserialize;
use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat`. Linux fixes this value (`USER_HZ`) for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields of `/proc/PID/stat` after the command name.
const UTIME_INDEX: usize = 11;

/// Resource usage of one process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct ProcessUsage {
    /// Process id.
    pub pid: u32,
    /// CPU time in user and kernel mode, in seconds.
    pub cpu_seconds: f64,
    /// Resident set size, in kilobytes.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the current memory usage and the CPU time since the process started.
    ///
    /// # Errors
    ///
    /// Returns the read error if the process has ended, or `InvalidData` if a file has an
    /// unexpected format.
    pub fn read(pid: u32) -> io::Result<ProcessUsage> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let usage = parse_cpu_seconds(&stat)
            .zip(parse_resident_kb(&status))
            .map(|(cpu_seconds, resident_kb)| ProcessUsage { pid, cpu_seconds, resident_kb });
        usage
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "unexpected format in /proc"))
    }

    /// Returns this reading with its CPU time reduced to the time since `earlier`.
    pub fn since(mut self, earlier: &ProcessUsage) -> ProcessUsage {
        self.cpu_seconds -= earlier.cpu_seconds;
        self
    }
}

/// Parses the sum of user and kernel time in a `stat` line.
fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(UTIME_INDEX);
    let user: f64 = times.next()?.parse().ok()?;
    let kernel: f64 = times.next()?.parse().ok()?;
    Some((user + kernel) / TICKS_PER_SECOND)
}

/// Parses `VmRSS` in a `status` file.
fn parse_resident_kb(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
