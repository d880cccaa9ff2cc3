//! `POST /v1/chat/completions`: model requests.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::json;

use super::sse::{
    EventId, PrefixDigest, check_resume, stream_response, usage_body, wait_for_progress,
};
use super::{
    BUDGET, BodyResult, IDEMPOTENCY_KEY, LAST_EVENT_ID, NodeState, check_accepting, full_body,
    header_text, organisation, priority, request_key,
};
use crate::config::{Config, Organisation, Service, ServiceKind};
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, RequestKey, ServiceId, Tokens};
use crate::membership::wire::PeerClient;
use crate::request::runs::{Run, RunEnd};
use crate::router::drive::{ModelJob, open_run};
use crate::router::gates::AdmissionRequest;
use crate::router::node::{Counts, Node};
use crate::table::Platform;

/// Body of a chat request. Unknown fields are ignored because client libraries send many of them.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl ChatRequest {
    fn prompt(&self) -> String {
        self.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect()
    }
}

/// Handles a chat request.
pub async fn complete<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    Counts::add(&node.counts.requests);
    try_complete(node, headers, body).await.unwrap_or_else(IntoResponse::into_response)
}

async fn try_complete<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    headers: HeaderMap,
    body: BodyResult,
) -> Result<Response> {
    let org = organisation(&node, &headers)?;
    let body = full_body(body)?;
    let bad = |e: serde_json::Error| Error::new(Kind::BadRequest, format!("body: {e}"));
    let req: ChatRequest = serde_json::from_slice(&body).map_err(bad)?;
    let (key, key_from_caller) = request_key(&node, &headers)?;
    let resume = header_text(&headers, LAST_EVENT_ID)?.map(EventId::parse).transpose()?;
    let (job, budget) = {
        let cfg = node.cfg.read().expect("the lock is never poisoned");
        prepare(
            &cfg,
            &org,
            &req,
            priority(&headers)?,
            header_text(&headers, BUDGET)?,
            key_from_caller,
        )?
    };
    let service = job.admission.service.to_string();
    let run = open(&node, &org, key.clone(), content_digest(&req), budget, job)?;
    let mut rx = run.follow();
    let from = resume.map_or(0, |r| r.tokens);
    wait_for_progress(&run, &mut rx, from).await;
    let mut resp = match (run.view(0).end, req.stream) {
        // A request that failed before its first new token gets an error response instead of a
        // stream.
        (Some(RunEnd::Failed(e)), _) if run.len() <= from => e.into_response(),
        (_, true) => {
            let prefix = resume.map(|at| check_resume(&run, at)).transpose()?;
            stream_response(run, rx, prefix.unwrap_or_else(PrefixDigest::default), service)
        }
        (_, false) => buffered_answer(&run, rx, &service).await,
    };
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        resp.headers_mut().insert(IDEMPOTENCY_KEY, value);
    }
    Ok(resp)
}

/// Returns a digest of the fields that must be equal in two requests with the same key.
fn content_digest(req: &ChatRequest) -> Digest {
    let limit = req.max_tokens.map_or(String::new(), |n| n.to_string());
    Digest::of(format!("{}\n{limit}\n{}", req.model, req.prompt()).as_bytes())
}

fn prepare(
    cfg: &Config,
    org: &Organisation,
    req: &ChatRequest,
    priority: u8,
    budget: Option<&str>,
    key_from_caller: bool,
) -> Result<(ModelJob, BudgetId)> {
    let unknown = || Error::new(Kind::NotFound, "no such model");
    let id: ServiceId = req.model.parse().map_err(|_| unknown())?;
    let service = cfg.service(&id).ok_or_else(unknown)?;
    let ServiceKind::Model { model, bytes_per_token, max_tokens } = &service.kind else {
        return Err(unknown());
    };
    if req.messages.is_empty() {
        return Err(Error::new(Kind::BadRequest, "messages must not be empty"));
    }
    let prompt = req.prompt();
    let limit = req.max_tokens.unwrap_or(*max_tokens);
    if limit == 0 || limit > *max_tokens {
        let message = format!("max_tokens must be 1 to {max_tokens} for {id}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    let prompt_tokens = (prompt.len() as u64).div_ceil(*bytes_per_token);
    let job = ModelJob {
        admission: admission(org, service, priority),
        model: model.clone(),
        amount: Tokens(prompt_tokens).plus(Tokens(limit)),
        prompt,
        max_tokens: limit,
        deadline: service.deadline.duration(),
        key_from_caller,
    };
    Ok((job, choose_budget(cfg, org, service, budget)?))
}

/// Returns the parameters for admitting a request of an organisation.
pub fn admission(org: &Organisation, service: &Service, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        service: service.id.clone(),
        organisation: org.id.clone(),
        weight: org.weight,
        limit: org.max_in_flight,
        priority,
    }
}

/// Returns the budget that pays: the one that the caller named, or else the first that may pay for
/// the service.
///
/// # Errors
///
/// Returns `NotFound` if the named budget does not belong to the organisation or may not pay for
/// the service, or `BudgetExhausted` if no budget is named and none may pay for the service.
pub fn choose_budget(
    cfg: &Config,
    org: &Organisation,
    service: &Service,
    named: Option<&str>,
) -> Result<BudgetId> {
    let may_pay =
        |b: &&crate::config::Budget| b.services.is_empty() || b.services.contains(&service.id);
    match named {
        Some(name) => {
            let own = cfg
                .budgets_of(org.id.as_str())
                .filter(may_pay)
                .find(|b| b.id.as_str().ends_with(&format!("/{name}")));
            own.map(|b| b.id.clone())
                .ok_or_else(|| Error::new(Kind::NotFound, "no such budget for this service"))
        }
        None => {
            let none = || Error::new(Kind::BudgetExhausted, "no budget for this service");
            cfg.budget_for(&org.id, &service.id).map(|b| b.id.clone()).ok_or_else(none)
        }
    }
}

fn open<P: Platform, E: Engine, M: PeerClient>(
    node: &Arc<Node<P, E, M>>,
    org: &Organisation,
    key: RequestKey,
    content: Digest,
    budget: BudgetId,
    job: ModelJob,
) -> Result<Arc<Run>> {
    let known = node.lock_runs().get(&org.id, &key).is_some();
    if !known {
        check_accepting(node)?;
    }
    let new = Run::new(org.id.clone(), key, content, budget);
    open_run(node, new, job)
}

async fn buffered_answer(
    run: &Run,
    mut rx: tokio::sync::watch::Receiver<u64>,
    service: &str,
) -> Response {
    loop {
        rx.borrow_and_update();
        let view = run.view(0);
        match view.end {
            Some(RunEnd::Complete(usage, digest)) => {
                let body = json!({
                    "object": "chat.completion",
                    "model": service,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": view.tokens.concat() },
                        "finish_reason": "stop",
                    }],
                    "usage": usage_body(usage),
                    "answer_digest": digest.to_string(),
                });
                return Json(body).into_response();
            }
            Some(RunEnd::Failed(e)) => return e.into_response(),
            Some(RunEnd::Service(_)) => {
                return Error::new(Kind::KeyReused, "this key belongs to a call").into_response();
            }
            None => {}
        }
        if rx.changed().await.is_err() {
            return Error::new(Kind::RunLost, "the run ended without an answer").into_response();
        }
    }
}
