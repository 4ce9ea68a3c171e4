//! Child processes of an experiment.

use std::collections::VecDeque;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use eyre::Context;
use eyre::eyre;
use serde_json::Value;

/// Time limit for a program to print its line of addresses after its start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of lines of output kept.
const MAX_OUTPUT_LINES: usize = 20_000;
/// Interval at which a stopping program is polled for its exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running program whose first line of output was a JSON object of addresses. Killed when
/// dropped.
///
/// Its further output is read, so that the program does not block on a full pipe, and the last lines are kept.
#[derive(Debug)]
pub struct ChildProgram {
    child: Child,
    addresses: Value,
    output: Arc<Mutex<VecDeque<String>>>,
}

impl ChildProgram {
    /// Starts a program and waits for its line of addresses.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or prints no JSON line within 30 s. The program is
    /// killed then.
    pub async fn start(
        program: &Path,
        args: &[String],
        environment: &[(String, String)],
    ) -> eyre::Result<ChildProgram> {
        let name = program.display();
        let mut child = Command::new(program)
            .args(args)
            .envs(environment.iter().map(|(variable, value)| (variable, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("failed to start {name}"))?;
        let stdout = child.stdout.take();
        let kept = Arc::new(Mutex::new(VecDeque::new()));
        let mut program = ChildProgram { child, addresses: Value::Null, output: kept.clone() };
        let stdout = stdout.ok_or_else(|| eyre!("standard output of {name} is not captured"))?;
        let read = tokio::task::spawn_blocking(move || {
            let mut output = BufReader::new(stdout);
            let mut line = String::new();
            output.read_line(&mut line).map(|_| (line, output))
        });
        let (line, output) =
            tokio::time::timeout(START_TIMEOUT, read).await.wrap_err_with(|| {
                format!("{name} printed no addresses within {START_TIMEOUT:?}")
            })???;
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let Ok(mut kept) = kept.lock() else { return };
                if kept.len() >= MAX_OUTPUT_LINES {
                    kept.pop_front();
                }
                kept.push_back(line);
            }
        });
        program.addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("first line printed by {name} is not JSON"))?;
        Ok(program)
    }

    /// Returns the last lines of its output, without the line of addresses.
    pub fn output(&self) -> Vec<String> {
        let output = self.output.lock();
        output.map(|lines| lines.iter().cloned().collect()).unwrap_or_default()
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal `name`, for example `TERM`. Does nothing if the program has exited.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn signal(&mut self, name: &str) -> eyre::Result<()> {
        // The system may reuse the process id once the exit status has been collected.
        if self.try_wait()?.is_some() {
            return Ok(());
        }
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        eyre::ensure!(status.success(), "failed to send SIG{name} to process {pid}");
        Ok(())
    }

    /// Returns the exit status, or `None` while the program runs.
    ///
    /// # Errors
    ///
    /// Fails when the system can't report the state of the process.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Sends `TERM` and waits for the program to exit.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent or the program does not exit within `timeout`.
    pub async fn stop(&mut self, timeout: Duration) -> eyre::Result<()> {
        let pid = self.pid();
        self.signal("TERM")?;
        let exited = async {
            while self.try_wait()?.is_none() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
            Ok(())
        };
        tokio::time::timeout(timeout, exited)
            .await
            .wrap_err_with(|| format!("process {pid} did not exit within {timeout:?}"))?
    }

    /// Returns the address `name` from the printed line.
    ///
    /// # Errors
    ///
    /// Fails when the line has no string under that name.
    pub fn address(&self, name: &str) -> eyre::Result<String> {
        let address = self.addresses.get(name).and_then(Value::as_str);
        address
            .map(str::to_string)
            .ok_or_else(|| eyre!("the program printed no address named `{name}`"))
    }
}

impl Drop for ChildProgram {
    fn drop(&mut self) {
        // Fails if the program has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
