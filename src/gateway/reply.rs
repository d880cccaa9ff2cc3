//! A target's answer, read as far as it is buffered.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;

use super::backend::InFlight;
use super::outcome::SendOutcome;
use super::sse::{EventBatch, EventSplitter};
use crate::http1::{BodyDecoder, Conn, ResponseHead};

/// A target's answer, of which at least the head was read.
pub struct Reply {
    /// Head of the answer.
    pub head: ResponseHead,
    /// Payload read so far; for a stream, complete events only.
    pub first_bytes: Bytes,
    /// The part of the body that was not read yet; `None` if the body is complete.
    pub remaining: Option<RemainingBody>,
    /// Counts the request as load of its target until the reply is dropped.
    pub in_flight: InFlight,
}

/// The unread part of an answer's body.
pub struct RemainingBody {
    /// The connection to the target.
    pub conn: Conn,
    /// The router that relays the connection; `None` if it is direct.
    pub via: Option<SocketAddr>,
    /// Decoder of the body's framing.
    pub body: BodyDecoder,
    /// Progress of a stream; `None` for a plain answer.
    pub stream: Option<StreamProgress>,
}

/// Progress of an event stream.
#[derive(Debug, Default)]
pub struct StreamProgress {
    /// Splits the stream into complete events.
    pub splitter: EventSplitter,
    /// Id of the last event that has one.
    pub last_id: Option<CompactString>,
    /// Number of complete events so far.
    pub events: u64,
}

impl StreamProgress {
    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// `Truncated` if the bytes cannot be events.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, SendOutcome> {
        let Some(events) = self.splitter.push(piece).map_err(|_| SendOutcome::Truncated)? else {
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
