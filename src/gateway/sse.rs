//! Splits server-sent event streams into complete events.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// The longest accepted event; longer ones are an error.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The error for bytes that cannot be events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidEvents;

/// Splits a stream into complete events, so that no part of an incomplete event is forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

/// Complete events that were extracted together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// The events, unchanged.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
    /// Id of the last event that has one.
    pub last_id: Option<CompactString>,
}

impl EventSplitter {
    /// Adds received bytes and returns all events that are now complete.
    ///
    /// # Errors
    /// `InvalidEvents` if the buffer exceeds `MAX_EVENT_BYTES` without a complete event.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<EventBatch>, InvalidEvents> {
        let scanned = self.buf.len().saturating_sub(3);
        self.buf.extend_from_slice(piece);
        let mut end = 0;
        let mut count = 0;
        let mut i = scanned;
        while let Some(len) = find_event_end(&self.buf[i..]) {
            i += len;
            end = i;
            count += 1;
        }
        if end == 0 {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(InvalidEvents) } else { Ok(None) };
        }
        let bytes = self.buf.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Ok(Some(EventBatch { bytes, count, last_id }))
    }

    /// Whether an event has begun and is not complete.
    pub fn is_within_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns the offset after the next blank line, which ends an event.
fn find_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.rsplit(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value.trim_ascii()).ok().map(CompactString::from)
}
