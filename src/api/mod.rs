//! HTTP API for callers and operators, documented in `docs/API.md`.

pub mod chat;
pub mod entry;
pub mod operator;
pub mod service;
pub mod sse;

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde_json::json;

use crate::config::Organisation;
use crate::engine::Engine;
use crate::error::{Error, Kind, NotRun, Result};
use crate::ids::RequestKey;
use crate::membership::wire::PeerClient;
use crate::router::node::Node;
use crate::table::Platform;

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum size of an operator's submission in bytes.
const MAX_SUBMISSION_BYTES: usize = 256 << 20;
/// Request header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the id of the last event received, to resume a stream after it.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Request header with the priority, 0 to 9.
pub const PRIORITY: &str = "x-priority";
/// Request header with the budget that pays, for organisations with several budgets.
pub const BUDGET: &str = "x-budget";
/// Priority of requests without the header.
pub const DEFAULT_PRIORITY: u8 = 5;

/// Handler state: the shared node.
pub type NodeState<P, E, M> = State<Arc<Node<P, E, M>>>;
/// Body of a request, or the reason why it could not be read.
pub type BodyResult = std::result::Result<Bytes, BytesRejection>;

/// Builds the HTTP service with the routes of all paths.
pub fn api_app<P: Platform, E: Engine, M: PeerClient>(node: Arc<Node<P, E, M>>) -> axum::Router {
    let operator = axum::Router::new()
        .route("/operator/status", get(operator::status::<P, E, M>))
        .route("/operator/budget/{organisation}", get(operator::budget::<P, E, M>))
        .route("/operator/config", get(operator::config::<P, E, M>))
        .route("/operator/revisions", get(operator::revisions::<P, E, M>))
        .route("/operator/submit", post(operator::submit_edits::<P, E, M>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_SUBMISSION_BYTES));
    axum::Router::new()
        .route("/v1/chat/completions", post(chat::complete::<P, E, M>))
        .route("/v1/services/{service}/{*path}", post(service::call::<P, E, M>))
        .route("/v1/entry", get(entry::entry::<P, E, M>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .merge(operator)
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(readyz::<P, E, M>))
        .fallback(|| async { Error::new(Kind::NotFound, "no such path").into_response() })
        .with_state(node)
}

async fn readyz<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
) -> Response {
    match node.is_ready() {
        true => "ready".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready").into_response(),
    }
}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let answer = self.kind.attrs();
        let status =
            StatusCode::from_u16(answer.status).expect("all answers have valid status codes");
        let mut resp = (status, Json(error_body(&self))).into_response();
        if answer.retry_after > 0 {
            resp.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(answer.retry_after));
        }
        resp
    }
}

/// Returns the JSON body for an error.
pub fn error_body(e: &Error) -> serde_json::Value {
    let answer = e.kind.attrs();
    let not_run = match answer.not_run {
        NotRun::Yes => json!(true),
        NotRun::No => json!(false),
        NotRun::Unknown => json!("unknown"),
    };
    json!({ "error": {
        "kind": answer.name,
        "message": e.message,
        "not_run": not_run,
        "retryable": answer.retryable,
    } })
}

/// Returns a header as text.
///
/// # Errors
///
/// Returns `BadRequest` if the header has characters other than visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let bad = |_| Error::new(Kind::BadRequest, format!("header {name} must be visible ASCII"));
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(bad)
}

/// Returns the bearer token of a request.
///
/// # Errors
///
/// Returns `Unauthorized` if there is none.
pub fn bearer(headers: &HeaderMap) -> Result<&[u8]> {
    let none =
        || Error::new(Kind::Unauthorized, "a valid key is needed: Authorization: Bearer KEY");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(none)?;
    value.as_bytes().strip_prefix(b"Bearer ").ok_or_else(none)
}

/// Returns the organisation that the API key of a request belongs to.
///
/// # Errors
///
/// Returns `Unauthorized`, with the same message for a missing and a wrong key.
pub fn organisation<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    headers: &HeaderMap,
) -> Result<Organisation> {
    let none =
        || Error::new(Kind::Unauthorized, "a valid key is needed: Authorization: Bearer KEY");
    let cfg = node.cfg.read().expect("the lock is never poisoned");
    cfg.organisation_by_key(bearer(headers)?).cloned().ok_or_else(none)
}

/// Returns the caller's idempotency key, or a generated one, and whether it came from the caller.
///
/// # Errors
///
/// Returns `BadRequest` if the key is malformed.
pub fn request_key<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    headers: &HeaderMap,
) -> Result<(RequestKey, bool)> {
    match header_text(headers, IDEMPOTENCY_KEY)? {
        Some(key) => Ok((key.parse()?, true)),
        None => Ok((format!("auto-{}", node.session().new_run_id()).parse()?, false)),
    }
}

/// Returns the priority of a request.
///
/// # Errors
///
/// Returns `BadRequest` if the header is not a single digit.
pub fn priority(headers: &HeaderMap) -> Result<u8> {
    let bad = || Error::new(Kind::BadRequest, format!("{PRIORITY} is a digit, 0 to 9"));
    match header_text(headers, PRIORITY)? {
        None => Ok(DEFAULT_PRIORITY),
        Some(text) => text.parse().ok().filter(|p| *p <= 9).ok_or_else(bad),
    }
}

/// Returns the complete body of a request.
///
/// # Errors
///
/// Returns `TooLarge` if the body exceeds the limit, or `BadRequest` if it could not be read.
pub fn full_body(body: BodyResult) -> Result<Bytes> {
    body.map_err(|e| match e.status() {
        StatusCode::PAYLOAD_TOO_LARGE => {
            Error::new(Kind::TooLarge, format!("a body holds {MAX_BODY_BYTES} bytes at most"))
        }
        _ => Error::new(Kind::BadRequest, "the body could not be read"),
    })
}

/// Checks that the router still accepts new requests.
///
/// # Errors
///
/// Returns `Draining` if it does not.
pub fn check_accepting<P: Platform, E: Engine, M: PeerClient>(node: &Node<P, E, M>) -> Result<()> {
    match node.refuses_new() {
        true => Err(Error::new(Kind::Draining, "this router drains; ask /v1/entry for others")),
        false => Ok(()),
    }
}
