//! Processes that a play started: the only ones that it signals, each by its id. Dropping one kills it.

use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, ChildStdin, Command};

/// A started process.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Kept apart, since waiting for the child would close it.
    _stdin: Option<ChildStdin>,
    pid: Pid,
}

impl Process {
    /// Starts a command. Its standard input stays open as long as this process.
    pub(crate) fn spawn(command: &mut Command) -> std::io::Result<Process> {
        let mut child = command.stdin(Stdio::piped()).kill_on_drop(true).spawn()?;
        let pid = child
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .ok_or_else(|| std::io::Error::other("the process has ended at once"))?;
        Ok(Process {
            _stdin: child.stdin.take(),
            child,
            pid,
        })
    }

    pub(crate) fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Sends a signal, unless the process has been seen to end.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.ended().is_none() {
            // It may end between the two calls; it is not reaped before the next look.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Returns how the process ended; none while it lives.
    pub(crate) fn ended(&mut self) -> Option<String> {
        match self.child.try_wait() {
            Ok(status) => status.map(|status| status.to_string()),
            Err(e) => Some(e.to_string()),
        }
    }

    /// Kills the process and waits for its end.
    pub(crate) async fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill().await;
    }

    /// Waits for the end of the process; how it ended.
    pub(crate) async fn wait(&mut self) -> String {
        match self.child.wait().await {
            Ok(status) => status.to_string(),
            Err(e) => e.to_string(),
        }
    }
}
