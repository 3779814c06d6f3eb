//! Child processes of a test. Each is signalled and killed by its process id.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A child process and the addresses that it printed on standard output. Dropping it kills the
/// process.
pub struct Process {
    child: Child,
    fields: BTreeMap<String, String>,
}

impl Process {
    /// Starts `binary` and waits for its `event=listening` line. Standard error is written to
    /// `log`.
    pub fn start(binary: &str, args: &[&str], log: &Path) -> Self {
        let mut child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let fields = line
            .split_whitespace()
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        let process = Self { child, fields };
        assert!(
            line.starts_with("event=listening"),
            "{binary} {args:?} did not start: {}",
            std::fs::read_to_string(log).unwrap_or_default()
        );
        process
    }

    /// Returns the address in `field` of the `event=listening` line.
    pub fn addr(&self, field: &str) -> SocketAddr {
        self.fields[field].parse().unwrap()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success(), "kill -{name} failed");
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Returns the exit status if the process has exited.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
