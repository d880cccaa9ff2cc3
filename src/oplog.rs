//! Structured log of bounded volume. Writing a line never blocks the caller.
//!
//! A line has the form `t_ms=TIME event=KIND key=value …`. Lines are buffered in memory, and a
//! separate task writes them out. Each kind of event has a maximum number of lines per second, which
//! is higher for failures and state changes than for routine decisions. Lines beyond it are dropped,
//! and the log reports their number.

use std::cell::RefCell;
use std::fmt::{Arguments, Write};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Maximum lines per second of each kind that reports failures or state changes. A router at its
/// full rate of about 30 requests per second can report each of them.
const NOTE_LINES_PER_S: u32 = 60;
/// Maximum lines per second of each kind that reports routine decisions.
const ROUTINE_LINES_PER_S: u32 = 40;
/// Maximum size of the buffer. While it is exceeded, lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;
/// Interval between writes. Each write costs a system call and a wake-up.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Lines of one kind in the current second, including dropped ones.
#[derive(Debug)]
struct LineCounter {
    kind: &'static str,
    second: u64,
    lines: u32,
}

#[derive(Debug)]
struct Buffer {
    start: Instant,
    text: String,
    counters: Vec<LineCounter>,
    /// Lines dropped since the last `log_dropped` line.
    unreported_dropped: u64,
    total_dropped: u64,
}

/// A handle to the log of this process. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct Log(Rc<RefCell<Buffer>>);

impl Default for Log {
    fn default() -> Log {
        Log::new()
    }
}

impl Log {
    /// Creates an empty log, whose timestamps start at zero.
    pub fn new() -> Log {
        Log(Rc::new(RefCell::new(Buffer {
            start: Instant::now(),
            text: String::new(),
            counters: Vec::new(),
            unreported_dropped: 0,
            total_dropped: 0,
        })))
    }

    /// Logs a failure or a change of the process's state.
    pub fn note(&self, kind: &'static str, fields: Arguments<'_>) {
        self.line(kind, NOTE_LINES_PER_S, fields);
    }

    /// Logs a routine decision.
    pub fn routine(&self, kind: &'static str, fields: Arguments<'_>) {
        self.line(kind, ROUTINE_LINES_PER_S, fields);
    }

    fn line(&self, kind: &'static str, max_per_s: u32, fields: Arguments<'_>) {
        let mut buffer = self.0.borrow_mut();
        let elapsed_ms = buffer.start.elapsed().as_millis();
        if !buffer.is_within_limits(
            kind,
            max_per_s,
            u64::try_from(elapsed_ms / 1_000).unwrap_or(u64::MAX),
        ) {
            buffer.unreported_dropped += 1;
            buffer.total_dropped += 1;
            return;
        }
        // Writing to a string cannot fail.
        let _ = writeln!(buffer.text, "t_ms={elapsed_ms} event={kind} {fields}");
    }

    /// Removes and returns the buffered lines, with a `log_dropped` line if lines were dropped.
    pub fn take(&self) -> String {
        let mut buffer = self.0.borrow_mut();
        if buffer.unreported_dropped > 0 {
            let (lines, elapsed_ms) =
                (buffer.unreported_dropped, buffer.start.elapsed().as_millis());
            buffer.unreported_dropped = 0;
            let _ = writeln!(buffer.text, "t_ms={elapsed_ms} event=log_dropped lines={lines}");
        }
        std::mem::take(&mut buffer.text)
    }

    /// Returns the number of lines dropped since the start.
    pub fn lines_dropped(&self) -> u64 {
        self.0.borrow().total_dropped
    }

    /// Writes lines to `out` until a write fails. A reader that has stalled blocks only this task.
    /// Meanwhile lines are buffered up to the limit and then dropped.
    pub async fn run(self, mut out: impl tokio::io::AsyncWrite + Unpin) {
        use tokio::io::AsyncWriteExt;
        loop {
            sleep(FLUSH_INTERVAL).await;
            let text = self.take();
            if !text.is_empty() && out.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

impl Buffer {
    /// Counts a line of `kind` and returns whether the limits of rate and buffer size permit it.
    fn is_within_limits(&mut self, kind: &'static str, max_per_s: u32, second: u64) -> bool {
        if self.text.len() > MAX_BUFFERED_BYTES {
            return false;
        }
        let i = match self.counters.iter().position(|counter| counter.kind == kind) {
            Some(i) => i,
            None => {
                self.counters.push(LineCounter { kind, second, lines: 0 });
                self.counters.len() - 1
            }
        };
        let counter = &mut self.counters[i];
        if counter.second != second {
            counter.second = second;
            counter.lines = 0;
        }
        counter.lines += 1;
        counter.lines <= max_per_s
    }
}
