//! Whole events out of the pieces of a stream.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// The longest event that is accepted, in bytes; a longer one is no event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The bytes of a stream cannot be events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidEvents;

/// Cuts a stream into whole events, so that no part of a broken one is ever forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

/// Whole events that arrived together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// Their bytes, as sent.
    pub bytes: Bytes,
    /// How many.
    pub count: u64,
    /// The id of the last one that has any.
    pub last_id: Option<CompactString>,
}

impl EventSplitter {
    /// Adds a piece, and takes out all events that are whole by now.
    ///
    /// # Errors
    /// If the bytes cannot be events.
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

    /// Whether an event has begun and is not whole.
    pub fn is_within_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// The distance to the end of the next blank line.
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
