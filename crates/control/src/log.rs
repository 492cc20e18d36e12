//! Structured logs: one JSON object per line on standard output, written by a separate thread.
//!
//! Logging never blocks the caller: lines that do not fit into the queue are dropped and counted, and the count is
//! logged once lines are written again.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use serde_json::{Map, Value};

use crate::clock::{now_ms, unix_ms};

/// Most lines queued for a slow reader of standard output.
const QUEUED_LINES: usize = 2_048;

/// Most lines per second that do not concern a single request; further ones are counted, not written.
const GENERAL_LINES_PER_S: u64 = 200;

/// Writes structured lines.
#[derive(Debug, Clone)]
pub struct Log {
    node: Arc<str>,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    /// The current second of the rate limit, and the general lines logged in it.
    second: Arc<AtomicU64>,
    general: Arc<AtomicU64>,
    suppressed: Arc<AtomicU64>,
}

impl Log {
    /// Starts the thread that writes; an error if it cannot be spawned.
    pub fn start(node: &str) -> std::io::Result<Log> {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_by_writer = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_string())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&queue, &dropped_by_writer))?;
        Ok(Log::with_sender(node, lines, dropped))
    }

    /// Creates a log that discards all lines, for nodes in tests.
    pub fn discarding(node: &str) -> Log {
        let (lines, _) = sync_channel(1);
        Log::with_sender(node, lines, Arc::new(AtomicU64::new(0)))
    }

    fn with_sender(node: &str, lines: SyncSender<String>, dropped: Arc<AtomicU64>) -> Log {
        Log {
            node: node.into(),
            lines,
            dropped,
            second: Arc::new(AtomicU64::new(0)),
            general: Arc::new(AtomicU64::new(0)),
            suppressed: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the number of lines that were not written, because the queue was full or to limit the volume.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed) + self.dropped.load(Ordering::Relaxed)
    }

    /// Logs a line about one request.
    pub fn request(&self, part: &str, what: &str, id: &str, fields: &[(&str, Value)]) {
        let mut line = self.line(part, what);
        line.insert("id".to_string(), Value::from(id));
        self.send(line, fields);
    }

    /// Logs a line about the process and its state, subject to the rate limit.
    pub fn general(&self, part: &str, what: &str, fields: &[(&str, Value)]) {
        let second = now_ms() / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            let previous = self.general.swap(0, Ordering::Relaxed);
            if previous > GENERAL_LINES_PER_S {
                let line = self.line("log", "lines suppressed");
                self.send(
                    line,
                    &[("count", Value::from(previous - GENERAL_LINES_PER_S))],
                );
            }
        }
        if self.general.fetch_add(1, Ordering::Relaxed) >= GENERAL_LINES_PER_S {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let line = self.line(part, what);
        self.send(line, fields);
    }

    fn line(&self, part: &str, what: &str) -> Map<String, Value> {
        let mut line = Map::new();
        line.insert("at_unix_ms".to_string(), Value::from(unix_ms()));
        line.insert("node".to_string(), Value::from(self.node.as_ref()));
        line.insert("part".to_string(), Value::from(part));
        line.insert("what".to_string(), Value::from(what));
        line
    }

    fn send(&self, mut line: Map<String, Value>, fields: &[(&str, Value)]) {
        for (name, value) in fields {
            line.insert((*name).to_string(), value.clone());
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(Value::Object(line).to_string()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until all senders are dropped.
fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    let mut reported = 0;
    while let Ok(line) = queue.recv() {
        // A closed reader must not stop the node.
        let _ = writeln!(out, "{line}");
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let _ = writeln!(
                out,
                "{{\"part\":\"log\",\"what\":\"lines dropped\",\"count\":{}}}",
                total - reported
            );
            reported = total;
        }
    }
}
