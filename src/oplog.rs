//! Structured log lines on standard output, bounded in volume and never blocking.
//!
//! A line is `time_ms kind key=value …`. Lines gather in memory and go out in one write at a
//! time from a task of its own. Each kind has a limit of lines a second; failures and changes
//! of belief have a higher one than routine decisions. What does not fit is counted, and the
//! count is printed.

use std::cell::RefCell;
use std::fmt::{Arguments, Write};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Lines a second of each kind that reports a failure or a changed belief. A router at its full
/// rate of about 30 requests a second can report every one of them.
const NOTES_PER_S: u32 = 60;
/// Lines a second of each kind that reports routine.
const ROUTINE_PER_S: u32 = 40;
/// Bytes that may wait to be written; beyond it lines are dropped and counted.
const MAX_WAITING: usize = 128 * 1024;
/// Pause between two writes. Each one is a system call and a wake-up.
const FLUSH: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Allowance {
    kind: &'static str,
    second: u64,
    lines: u32,
}

#[derive(Debug)]
struct Buffer {
    start: Instant,
    text: String,
    allowances: Vec<Allowance>,
    dropped: u64,
    ever_dropped: u64,
}

/// A handle to the log of this process.
#[derive(Clone, Debug)]
pub struct Log(Rc<RefCell<Buffer>>);

impl Default for Log {
    fn default() -> Log {
        Log::new()
    }
}

impl Log {
    /// An empty log.
    pub fn new() -> Log {
        Log(Rc::new(RefCell::new(Buffer {
            start: Instant::now(),
            text: String::new(),
            allowances: Vec::new(),
            dropped: 0,
            ever_dropped: 0,
        })))
    }

    /// A failure, or a decision that changed what the process believes.
    pub fn note(&self, kind: &'static str, fields: Arguments<'_>) {
        self.line(kind, NOTES_PER_S, fields);
    }

    /// A routine decision.
    pub fn routine(&self, kind: &'static str, fields: Arguments<'_>) {
        self.line(kind, ROUTINE_PER_S, fields);
    }

    fn line(&self, kind: &'static str, per_s: u32, fields: Arguments<'_>) {
        let mut buf = self.0.borrow_mut();
        let ms = buf.start.elapsed().as_millis();
        if !buf.admits(kind, per_s, u64::try_from(ms / 1_000).unwrap_or(u64::MAX)) {
            buf.dropped += 1;
            buf.ever_dropped += 1;
            return;
        }
        // Writing into a string cannot fail.
        let _ = writeln!(buf.text, "t_ms={ms} event={kind} {fields}");
    }

    /// Takes what is to be written next.
    pub fn take(&self) -> String {
        let mut buf = self.0.borrow_mut();
        if buf.dropped > 0 {
            let (n, ms) = (buf.dropped, buf.start.elapsed().as_millis());
            buf.dropped = 0;
            let _ = writeln!(buf.text, "t_ms={ms} event=log_dropped lines={n}");
        }
        std::mem::take(&mut buf.text)
    }

    /// Lines that were dropped since the start.
    pub fn lines_dropped(&self) -> u64 {
        self.0.borrow().ever_dropped
    }

    /// Writes lines to `out` until the process ends. A reader that has stalled holds up only
    /// this task: meanwhile lines gather up to the bound and are then dropped.
    pub async fn run(self, mut out: impl tokio::io::AsyncWrite + Unpin) {
        use tokio::io::AsyncWriteExt;
        loop {
            sleep(FLUSH).await;
            let text = self.take();
            if !text.is_empty() && out.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

impl Buffer {
    fn admits(&mut self, kind: &'static str, per_s: u32, second: u64) -> bool {
        if self.text.len() > MAX_WAITING {
            return false;
        }
        let i = match self.allowances.iter().position(|a| a.kind == kind) {
            Some(i) => i,
            None => {
                self.allowances.push(Allowance { kind, second, lines: 0 });
                self.allowances.len() - 1
            }
        };
        let a = &mut self.allowances[i];
        if a.second != second {
            a.second = second;
            a.lines = 0;
        }
        a.lines += 1;
        a.lines <= per_s
    }
}
