//! Answers as server-sent events.
//!
//! The id of an event is the number of tokens up to and including it, and a digest of their text. A
//! caller that resumes sends the last id it received. The router checks that its own answer begins
//! with the same text, so that the answers of two runs are never mixed.

use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::http::header;
use axum::response::{IntoResponse, Response};
use compact_str::CompactString;
use futures_util::stream;
use serde_json::json;
use tokio::sync::watch;

use super::error_body;
use crate::error::{Error, Kind, Result};
use crate::request::runs::{Run, RunEnd};

/// Position in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Number of tokens before the position.
    pub tokens: usize,
    /// Digest of the text of these tokens.
    pub digest: u64,
}

impl EventId {
    /// Parses an id of the form `TOKENS-DIGEST`, with the digest in hexadecimal.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest` if the text has any other form.
    pub fn parse(text: &str) -> Result<EventId> {
        let bad =
            || Error::new(Kind::BadRequest, "Last-Event-ID is the id of an event as it was sent");
        let (tokens, digest) = text.split_once('-').ok_or_else(bad)?;
        let tokens = tokens.parse().map_err(|_| bad())?;
        let digest = u64::from_str_radix(digest, 16).map_err(|_| bad())?;
        Ok(EventId { tokens, digest })
    }
}

/// Incremental digest of the tokens of an answer.
#[derive(Clone, Debug, Default)]
pub struct PrefixDigest {
    hasher: blake3::Hasher,
    tokens: usize,
}

impl PrefixDigest {
    /// Appends tokens.
    pub fn extend(&mut self, tokens: &[CompactString]) {
        for t in tokens {
            self.hasher.update(t.as_bytes());
        }
        self.tokens += tokens.len();
    }

    /// Returns the id of the position after the tokens so far.
    pub fn id(&self) -> EventId {
        let hash = self.hasher.finalize();
        let digest =
            u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash holds 32 bytes"));
        EventId { tokens: self.tokens, digest }
    }
}

/// Waits until a run has tokens after the first `from`, or ends.
pub async fn wait_for_progress(run: &Run, rx: &mut watch::Receiver<u64>, from: usize) {
    loop {
        rx.borrow_and_update();
        if run.len() > from || run.has_ended() {
            return;
        }
        if rx.changed().await.is_err() {
            return;
        }
    }
}

/// Checks that an answer begins with the tokens that a caller already has.
///
/// # Errors
///
/// Returns `RunLost` if it does not. The caller must then repeat the request from the start.
pub fn check_resume(run: &Run, at: EventId) -> Result<PrefixDigest> {
    let view = run.view(0);
    let mut prefix = PrefixDigest::default();
    prefix.extend(view.tokens.get(..at.tokens).unwrap_or_default());
    if prefix.id() == at {
        return Ok(prefix);
    }
    Err(Error::new(
        Kind::RunLost,
        "the answer that this event belongs to is gone; ask again without Last-Event-ID",
    ))
}

struct EventStream {
    run: Arc<Run>,
    rx: watch::Receiver<u64>,
    prefix: PrefixDigest,
    service: String,
    stream_ended: bool,
}

/// Streams the rest of an answer as events.
pub fn stream_response(
    run: Arc<Run>,
    rx: watch::Receiver<u64>,
    prefix: PrefixDigest,
    service: String,
) -> Response {
    let state = EventStream { run, rx, prefix, service, stream_ended: false };
    let events = stream::unfold(state, |mut s| async move {
        if s.stream_ended {
            return None;
        }
        loop {
            s.rx.borrow_and_update();
            let view = s.run.view(s.prefix.tokens);
            if !view.tokens.is_empty() || view.end.is_some() {
                let text = s.render(&view.tokens, view.end);
                return Some((Ok::<_, std::io::Error>(Bytes::from(text)), s));
            }
            s.rx.changed().await.ok()?;
        }
    });
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(events)).into_response()
}

impl EventStream {
    fn render(&mut self, tokens: &[CompactString], end: Option<RunEnd>) -> String {
        let mut out = String::new();
        if !tokens.is_empty() {
            self.prefix.extend(tokens);
            let EventId { tokens: n, digest } = self.prefix.id();
            let chunk = json!({
                "object": "chat.completion.chunk",
                "model": self.service,
                "choices": [{ "index": 0, "delta": { "content": tokens.concat() } }],
            });
            out += &format!("id: {n}-{digest:016x}\ndata: {chunk}\n\n");
        }
        let Some(end) = end else { return out };
        self.stream_ended = true;
        out += &match end {
            RunEnd::Complete(usage, digest) => {
                let last = json!({
                    "object": "chat.completion.chunk",
                    "model": self.service,
                    "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
                    "usage": usage_body(usage),
                    "answer_digest": digest.to_string(),
                });
                format!("data: {last}\n\ndata: [DONE]\n\n")
            }
            RunEnd::Failed(e) => format!("event: error\ndata: {}\n\n", error_body(&e)),
            RunEnd::Service(_) => String::new(),
        };
        out
    }
}

/// Returns the token counts as the field `usage` of an answer.
pub fn usage_body(u: crate::engine::RunUsage) -> serde_json::Value {
    json!({
        "prompt_tokens": u.prompt_tokens,
        "completion_tokens": u.tokens,
        "total_tokens": u.prompt_tokens.saturating_add(u.tokens),
    })
}
