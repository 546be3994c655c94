//! Processes of a test. They are signalled and ended only by their own id.

use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use ryetide::error::StepError;

/// The time within which a process must print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which the end of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct OutputLines {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl OutputLines {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    output: Arc<OutputLines>,
}

impl TestProcess {
    /// Starts `program` and collects the lines of its output.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be started.
    pub fn start(program: &Path, arguments: &[String]) -> Result<Self, StepError> {
        let name = program.display().to_string();
        let fault = |error: std::io::Error| StepError::new("start process", error).with_peer(&name);
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(fault)?;
        let output = Arc::new(OutputLines::default());
        if let Some(stdout) = child.stdout.take() {
            collect_lines(stdout, &output);
        }
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, &output);
        }
        Ok(Self { name, child, output })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output so far.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Waits for a line that contains `text`.
    pub fn wait_line(&self, text: &str, limit: Duration) -> Option<String> {
        let end = Instant::now() + limit;
        let mut lines = self.output.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            let waited = self.output.line_added.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until the process has printed its addresses, and returns the one named `field`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] with the process's output when it is not printed in time.
    pub fn wait_address(&self, field: &str) -> Result<SocketAddr, StepError> {
        let line = self.wait_line("event=listening", START_TIMEOUT);
        let prefix = format!("{field}=");
        let found = line.as_deref().and_then(|line| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(&prefix))?;
            word.trim_matches('"').parse().ok()
        });
        found.ok_or_else(|| {
            StepError::new("wait for address", self.lines().join("\n")).with_peer(&self.name)
        })
    }

    /// Sends a signal to this process.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when the process has already ended.
    pub fn signal(&self, signal: Signal) -> Result<(), StepError> {
        let id = Pid::from_raw(self.child.id() as i32);
        signal::kill(id, signal)
            .map_err(|error| StepError::new("signal", error).with_peer(&self.name))
    }

    /// Waits until the process has ended. Returns `None` after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::park_timeout(EXIT_POLL_INTERVAL);
        }
        None
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_lines(stream: impl Read + Send + 'static, output: &Arc<OutputLines>) {
    let output = Arc::clone(output);
    thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            output.lock().push(line);
            output.line_added.notify_all();
        }
    });
}
