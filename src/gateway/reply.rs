//! A target's answer as far as it was read.

use bytes::Bytes;
use compact_str::CompactString;

use super::backend::InFlight;
use super::outcome::Ended;
use super::sse::{EventBatch, EventSplitter};
use crate::http1::{BodyDecoder, Conn, ResponseHead};

/// A target's answer, as far as it was read.
pub struct Reply {
    /// Its head.
    pub head: ResponseHead,
    /// The answer's payload so far; for streams whole events only.
    pub first_bytes: Bytes,
    /// What is still to come.
    pub remaining: Option<RemainingBody>,
    /// The target's load; ends with the reply.
    pub in_flight: InFlight,
}

/// The part of an answer that is still to come.
pub struct RemainingBody {
    /// The connection to the target.
    pub conn: Conn,
    /// Framing of the body.
    pub body: BodyDecoder,
    /// Set for a stream: its events so far.
    pub stream: Option<StreamProgress>,
}

/// How far a stream has come.
#[derive(Debug, Default)]
pub struct StreamProgress {
    /// Cuts events out.
    pub splitter: EventSplitter,
    /// The last event's id.
    pub last_id: Option<CompactString>,
    /// Whole events so far.
    pub events: u64,
}

impl StreamProgress {
    /// Adds a piece of the stream; returns the whole events in it.
    ///
    /// # Errors
    /// `Truncated` if it holds no events.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, Ended> {
        let Some(events) = self.splitter.push(piece).map_err(|_| Ended::Truncated)? else {
            return Ok(None);
        };
        let EventBatch { bytes, count, last_id } = events;
        self.events += count;
        if last_id.is_some() {
            self.last_id = last_id;
        }
        Ok(Some(bytes))
    }
}
