//! The HTTP API towards callers and operators. `docs/API.md` is its description.

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
use crate::membership::wire::Mesh;
use crate::router::node::Node;
use crate::table::Platform;

/// Bytes of a request body at most.
pub const MAX_BODY: usize = 4 << 20;
/// Bytes of an operator's submission at most.
const MAX_SUBMISSION: usize = 256 << 20;
/// Header with the caller's key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the place to resume a stream from.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Header with a request's priority, 0 to 9.
pub const PRIORITY: &str = "x-priority";
/// Header with the budget that pays, when an organisation has several.
pub const BUDGET: &str = "x-budget";
/// Priority unless the caller says otherwise.
pub const DEFAULT_PRIORITY: u8 = 5;

/// The node behind all handlers.
pub type App<P, E, M> = State<Arc<Node<P, E, M>>>;
/// A body as it was read, or why not.
pub type Body = std::result::Result<Bytes, BytesRejection>;

/// All paths.
pub fn api_app<P: Platform, E: Engine, M: Mesh>(node: Arc<Node<P, E, M>>) -> axum::Router {
    let operator = axum::Router::new()
        .route("/operator/status", get(operator::status::<P, E, M>))
        .route("/operator/budget/{organisation}", get(operator::budget::<P, E, M>))
        .route("/operator/config", get(operator::config::<P, E, M>))
        .route("/operator/revisions", get(operator::revisions::<P, E, M>))
        .route("/operator/submit", post(operator::submit_edits::<P, E, M>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_SUBMISSION));
    axum::Router::new()
        .route("/v1/chat/completions", post(chat::complete::<P, E, M>))
        .route("/v1/services/{service}/{*path}", post(service::call::<P, E, M>))
        .route("/v1/entry", get(entry::entry::<P, E, M>))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY))
        .merge(operator)
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(readyz::<P, E, M>))
        .fallback(|| async { Error::new(Kind::NotFound, "no such path").into_response() })
        .with_state(node)
}

async fn readyz<P: Platform, E: Engine, M: Mesh>(State(node): App<P, E, M>) -> Response {
    match node.is_ready() {
        true => "ready".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready").into_response(),
    }
}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let answer = self.kind.attrs();
        let status = StatusCode::from_u16(answer.status).expect("the table holds valid codes");
        let mut resp = (status, Json(error_body(&self))).into_response();
        if answer.retry_after > 0 {
            resp.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(answer.retry_after));
        }
        resp
    }
}

/// An error as JSON.
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

/// A header as text.
///
/// # Errors
/// `BadRequest` for other characters than visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let bad = |_| Error::new(Kind::BadRequest, format!("header {name} must be visible ASCII"));
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(bad)
}

/// The bearer token of a request.
///
/// # Errors
/// `Unauthorized` when there is none.
pub fn bearer(headers: &HeaderMap) -> Result<&[u8]> {
    let none =
        || Error::new(Kind::Unauthorized, "a valid key is needed: Authorization: Bearer KEY");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(none)?;
    value.as_bytes().strip_prefix(b"Bearer ").ok_or_else(none)
}

/// The organisation that a request's key belongs to.
///
/// # Errors
/// `Unauthorized`, the same for an absent and a wrong key.
pub fn organisation<P: Platform, E: Engine, M: Mesh>(
    node: &Node<P, E, M>,
    headers: &HeaderMap,
) -> Result<Organisation> {
    let none =
        || Error::new(Kind::Unauthorized, "a valid key is needed: Authorization: Bearer KEY");
    let cfg = node.cfg.read().expect("never poisoned");
    cfg.organisation_by_key(bearer(headers)?).cloned().ok_or_else(none)
}

/// The caller's key, or a fresh one, and whether it is the caller's.
///
/// # Errors
/// `BadRequest` for a malformed key.
pub fn request_key<P: Platform, E: Engine, M: Mesh>(
    node: &Node<P, E, M>,
    headers: &HeaderMap,
) -> Result<(RequestKey, bool)> {
    match header_text(headers, IDEMPOTENCY_KEY)? {
        Some(key) => Ok((key.parse()?, true)),
        None => Ok((format!("auto-{}", node.session().new_run()).parse()?, false)),
    }
}

/// The priority of a request.
///
/// # Errors
/// `BadRequest` for anything but a digit.
pub fn priority(headers: &HeaderMap) -> Result<u8> {
    let bad = || Error::new(Kind::BadRequest, format!("{PRIORITY} is a digit, 0 to 9"));
    match header_text(headers, PRIORITY)? {
        None => Ok(DEFAULT_PRIORITY),
        Some(text) => text.parse().ok().filter(|p| *p <= 9).ok_or_else(bad),
    }
}

/// A body that was read whole.
///
/// # Errors
/// `TooLarge` or `BadRequest`.
pub fn whole(body: Body) -> Result<Bytes> {
    body.map_err(|e| match e.status() {
        StatusCode::PAYLOAD_TOO_LARGE => {
            Error::new(Kind::TooLarge, format!("a body holds {MAX_BODY} bytes at most"))
        }
        _ => Error::new(Kind::BadRequest, "the body could not be read"),
    })
}

/// Refuses new work when the router drains for good.
///
/// # Errors
/// `Draining`.
pub fn check_open<P: Platform, E: Engine, M: Mesh>(node: &Node<P, E, M>) -> Result<()> {
    match node.refuses_new() {
        true => Err(Error::new(Kind::Draining, "this router drains; ask /v1/entry for others")),
        false => Ok(()),
    }
}
