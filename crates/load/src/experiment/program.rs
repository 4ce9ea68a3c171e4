//! Programs that an experiment starts and ends.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use eyre::Context;
use eyre::eyre;
use serde_json::Value;

/// Longest time from a program's start to its line of addresses.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at a program that is stopping.
const STOP_POLL: Duration = Duration::from_millis(10);

/// A running program that printed one JSON line of addresses; killed when dropped.
///
/// What it prints after that line is read and dropped, so that its log finds a reader.
#[derive(Debug)]
pub struct ChildProgram {
    child: Child,
    addresses: Value,
}

impl ChildProgram {
    /// Starts a program and waits for its first line.
    ///
    /// # Errors
    ///
    /// When it can't be started or prints no JSON line in time; it is ended then.
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
            .wrap_err_with(|| format!("{name} can't be started"))?;
        let stdout = child.stdout.take();
        let mut program = ChildProgram { child, addresses: Value::Null };
        let stdout = stdout.ok_or_else(|| eyre!("{name} has no output"))?;
        let read = tokio::task::spawn_blocking(move || {
            let mut output = BufReader::new(stdout);
            let mut line = String::new();
            output.read_line(&mut line).map(|_| (line, output))
        });
        let (line, output) = tokio::time::timeout(START_TIMEOUT, read)
            .await
            .wrap_err_with(|| format!("{name} printed no addresses in time"))???;
        std::thread::spawn(move || output.lines().for_each(drop));
        program.addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed no JSON line of addresses"))?;
        Ok(program)
    }

    /// The program's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, for example `TERM`; a program that has ended gets none.
    ///
    /// # Errors
    ///
    /// When it can't be signalled.
    pub fn signal(&mut self, name: &str) -> eyre::Result<()> {
        // Its id may be another process's once it has been waited for.
        if self.try_wait()?.is_some() {
            return Ok(());
        }
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        eyre::ensure!(status.success(), "process {pid} can't be signalled");
        Ok(())
    }

    /// How it ended, once it has.
    ///
    /// # Errors
    ///
    /// When the system can't say.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Asks the program to stop and waits for its end.
    ///
    /// # Errors
    ///
    /// When it can't be signalled or does not end within `timeout`.
    pub async fn stop(&mut self, timeout: Duration) -> eyre::Result<()> {
        let pid = self.pid();
        self.signal("TERM")?;
        let ended = async {
            while self.try_wait()?.is_none() {
                tokio::time::sleep(STOP_POLL).await;
            }
            Ok(())
        };
        tokio::time::timeout(timeout, ended)
            .await
            .wrap_err_with(|| format!("process {pid} did not end in time"))?
    }

    /// An address of the printed line.
    ///
    /// # Errors
    ///
    /// When the line has no such text.
    pub fn address(&self, name: &str) -> eyre::Result<String> {
        let address = self.addresses.get(name).and_then(Value::as_str);
        address.map(str::to_string).ok_or_else(|| eyre!("the program printed no address `{name}`"))
    }
}

impl Drop for ChildProgram {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
