//! Processes of a test: started, read, signalled and ended by their own id.

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

/// A process must say where it listens within this long.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The pause between two looks whether a process has ended.
const EXIT_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct OutputLines {
    lines: Mutex<Vec<String>>,
    grown: Condvar,
}

impl OutputLines {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A process that was started here; dropping it kills it.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    output: Arc<OutputLines>,
}

impl TestProcess {
    /// Starts `program`; the lines of its output are kept.
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
            keep_lines(stdout, &output);
        }
        if let Some(stderr) = child.stderr.take() {
            keep_lines(stderr, &output);
        }
        Ok(Self { name, child, output })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what it has printed.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Waits for a line that holds `text`.
    pub fn wait_line(&self, text: &str, limit: Duration) -> Option<String> {
        let end = Instant::now() + limit;
        let mut lines = self.output.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            let waited = self.output.grown.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until the process says where it listens, and returns the address called `field`.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] with the process's output when it does not.
    pub fn wait_address(&self, field: &str) -> Result<SocketAddr, StepError> {
        let line = self.wait_line("event=listening", START_LIMIT);
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
    /// Returns a [`StepError`] when it has ended already.
    pub fn signal(&self, signal: Signal) -> Result<(), StepError> {
        let id = Pid::from_raw(self.child.id() as i32);
        signal::kill(id, signal)
            .map_err(|error| StepError::new("signal", error).with_peer(&self.name))
    }

    /// Waits for the process's end.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::park_timeout(EXIT_PAUSE);
        }
        None
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended already; either way nothing is left behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn keep_lines(stream: impl Read + Send + 'static, output: &Arc<OutputLines>) {
    let output = Arc::clone(output);
    thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            output.lock().push(line);
            output.grown.notify_all();
        }
    });
}
