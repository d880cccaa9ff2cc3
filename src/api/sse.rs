//! Answers as server-sent events.
//!
//! An event's id is the number of tokens up to it and a digest of their text. A caller that
//! resumes names the last id it has; the router checks that its own answer begins with the same
//! text, so that two runs are never spliced.

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

/// A place in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Tokens before it.
    pub tokens: usize,
    /// Digest of their text.
    pub digest: u64,
}

impl EventId {
    /// Reads `tokens-digest`.
    ///
    /// # Errors
    /// `BadRequest` for anything else.
    pub fn parse(text: &str) -> Result<EventId> {
        let bad =
            || Error::new(Kind::BadRequest, "Last-Event-ID is the id of an event as it was sent");
        let (tokens, digest) = text.split_once('-').ok_or_else(bad)?;
        let tokens = tokens.parse().map_err(|_| bad())?;
        let digest = u64::from_str_radix(digest, 16).map_err(|_| bad())?;
        Ok(EventId { tokens, digest })
    }
}

/// Digest of an answer's text so far.
#[derive(Clone, Debug, Default)]
pub struct Rolling {
    hasher: blake3::Hasher,
    tokens: usize,
}

impl Rolling {
    /// Adds tokens.
    pub fn extend(&mut self, tokens: &[CompactString]) {
        for t in tokens {
            self.hasher.update(t.as_bytes());
        }
        self.tokens += tokens.len();
    }

    /// The id after the tokens so far.
    pub fn id(&self) -> EventId {
        let hash = self.hasher.finalize();
        let digest =
            u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash holds 32 bytes"));
        EventId { tokens: self.tokens, digest }
    }
}

/// Waits until a run shows something past `from`, or ends.
pub async fn first_progress(run: &Run, rx: &mut watch::Receiver<u64>, from: usize) {
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

/// Checks that an answer begins with what a caller has.
///
/// # Errors
/// `RunLost` when it does not: the caller has to ask again from the start.
pub fn check_resume(run: &Run, at: EventId) -> Result<Rolling> {
    let view = run.view(0);
    let mut rolling = Rolling::default();
    rolling.extend(view.tokens.get(..at.tokens).unwrap_or_default());
    if rolling.id() == at {
        return Ok(rolling);
    }
    Err(Error::new(
        Kind::RunLost,
        "the answer that this event belongs to is gone; ask again without Last-Event-ID",
    ))
}

struct State {
    run: Arc<Run>,
    rx: watch::Receiver<u64>,
    rolling: Rolling,
    service: String,
    over: bool,
}

/// The rest of an answer as a stream of events.
pub fn respond(
    run: Arc<Run>,
    rx: watch::Receiver<u64>,
    rolling: Rolling,
    service: String,
) -> Response {
    let state = State { run, rx, rolling, service, over: false };
    let events = stream::unfold(state, |mut s| async move {
        if s.over {
            return None;
        }
        loop {
            s.rx.borrow_and_update();
            let view = s.run.view(s.rolling.tokens);
            if !view.tokens.is_empty() || view.end.is_some() {
                let text = s.render(&view.tokens, view.end);
                return Some((Ok::<_, std::io::Error>(Bytes::from(text)), s));
            }
            s.rx.changed().await.ok()?;
        }
    });
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(events)).into_response()
}

impl State {
    fn render(&mut self, tokens: &[CompactString], end: Option<RunEnd>) -> String {
        let mut out = String::new();
        if !tokens.is_empty() {
            self.rolling.extend(tokens);
            let EventId { tokens: n, digest } = self.rolling.id();
            let chunk = json!({
                "object": "chat.completion.chunk",
                "model": self.service,
                "choices": [{ "index": 0, "delta": { "content": tokens.concat() } }],
            });
            out += &format!("id: {n}-{digest:016x}\ndata: {chunk}\n\n");
        }
        let Some(end) = end else { return out };
        self.over = true;
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

/// Usage as callers know it.
pub fn usage_body(u: crate::engine::RunUsage) -> serde_json::Value {
    json!({
        "prompt_tokens": u.prompt_tokens,
        "completion_tokens": u.tokens,
        "total_tokens": u.prompt_tokens.saturating_add(u.tokens),
    })
}
