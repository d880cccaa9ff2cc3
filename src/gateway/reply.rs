//! A target's answer as far as it was read.

use bytes::Bytes;
use compact_str::CompactString;

use super::backend::Flight;
use super::outcome::SendOutcome;
use super::sse::{Events, Splitter};
use crate::http1::{Conn, Decoder, ResponseHead};

/// A target's answer, as far as it was read.
pub struct Reply {
    /// Its head.
    pub head: ResponseHead,
    /// The answer's payload so far; for streams whole events only.
    pub start: Bytes,
    /// What is still to come.
    pub rest: Option<Rest>,
    /// The target's load; ends with the reply.
    pub flight: Flight,
}

/// The part of an answer that is still to come.
pub struct Rest {
    /// The connection to the target.
    pub conn: Conn,
    /// Framing of the body.
    pub body: Decoder,
    /// Set for a stream: its events so far.
    pub stream: Option<StreamState>,
}

/// How far a stream has come.
#[derive(Debug, Default)]
pub struct StreamState {
    /// Cuts events out.
    pub splitter: Splitter,
    /// The last event's id.
    pub last_id: Option<CompactString>,
    /// Whole events so far.
    pub events: u64,
}

impl StreamState {
    /// Adds a piece of the stream; returns the whole events in it.
    ///
    /// # Errors
    /// `Truncated` if it holds no events.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, SendOutcome> {
        let Some(events) = self.splitter.push(piece).map_err(|_| SendOutcome::Truncated)? else {
            return Ok(None);
        };
        let Events { bytes, count, last_id } = events;
        self.events += count;
        if last_id.is_some() {
            self.last_id = last_id;
        }
        Ok(Some(bytes))
    }
}
