//! `POST /v1/chat/completions`.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::json;

use super::sse::{EventId, Rolling, check_resume, first_progress, respond, usage_body};
use super::{
    App, BUDGET, Body, IDEMPOTENCY_KEY, LAST_EVENT_ID, check_open, header_text, organisation,
    priority, request_key, whole,
};
use crate::config::{Config, Organisation, Service, ServiceKind};
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, RequestKey, ServiceId, Tokens};
use crate::membership::wire::PeerClient;
use crate::request::runs::{Run, RunEnd};
use crate::router::drive::{Job, open_run};
use crate::router::gates::Visitor;
use crate::router::node::{Counts, Node};
use crate::table::Platform;

/// A chat request. Fields that are not known are ignored, as callers' libraries send many.
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
    State(node): App<P, E, M>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    Counts::add(&node.counts.requests);
    try_complete(node, headers, body).await.unwrap_or_else(IntoResponse::into_response)
}

async fn try_complete<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response> {
    let org = organisation(&node, &headers)?;
    let body = whole(body)?;
    let bad = |e: serde_json::Error| Error::new(Kind::BadRequest, format!("body: {e}"));
    let req: ChatRequest = serde_json::from_slice(&body).map_err(bad)?;
    let (key, own_key) = request_key(&node, &headers)?;
    let resume = header_text(&headers, LAST_EVENT_ID)?.map(EventId::parse).transpose()?;
    let (job, budget) = {
        let cfg = node.cfg.read().expect("never poisoned");
        prepare(&cfg, &org, &req, priority(&headers)?, header_text(&headers, BUDGET)?, own_key)?
    };
    let service = job.visitor.service.to_string();
    let run = open(&node, &org, key.clone(), content(&req), budget, job)?;
    let mut rx = run.follow();
    let from = resume.map_or(0, |r| r.tokens);
    first_progress(&run, &mut rx, from).await;
    let mut resp = match (run.view(0).end, req.stream) {
        // A stream that failed before its first token is a plain refusal.
        (Some(RunEnd::Failed(e)), _) if run.len() <= from => e.into_response(),
        (_, true) => {
            let rolling = resume.map(|at| check_resume(&run, at)).transpose()?;
            respond(run, rx, rolling.unwrap_or_else(Rolling::default), service)
        }
        (_, false) => whole_answer(&run, rx, &service).await,
    };
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        resp.headers_mut().insert(IDEMPOTENCY_KEY, value);
    }
    Ok(resp)
}

/// Digest of what makes two requests the same.
fn content(req: &ChatRequest) -> Digest {
    let limit = req.max_tokens.map_or(String::new(), |n| n.to_string());
    Digest::of(format!("{}\n{limit}\n{}", req.model, req.prompt()).as_bytes())
}

fn prepare(
    cfg: &Config,
    org: &Organisation,
    req: &ChatRequest,
    priority: u8,
    budget: Option<&str>,
    own_key: bool,
) -> Result<(Job, BudgetId)> {
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
    let job = Job {
        visitor: visitor(org, service, priority),
        model: model.clone(),
        amount: Tokens(prompt_tokens).plus(Tokens(limit)),
        prompt,
        max_tokens: limit,
        deadline: service.deadline.duration(),
        own_key,
    };
    Ok((job, choose_budget(cfg, org, service, budget)?))
}

/// Who wants through the gate.
pub fn visitor(org: &Organisation, service: &Service, priority: u8) -> Visitor {
    Visitor {
        service: service.id.clone(),
        organisation: org.id.clone(),
        weight: org.weight,
        limit: org.max_in_flight,
        priority,
    }
}

/// The budget that pays: the one named, or the first that the service may draw on.
///
/// # Errors
/// `NotFound` for one that is not the organisation's or not for this service, `BudgetExhausted`
/// when there is none at all.
pub fn choose_budget(
    cfg: &Config,
    org: &Organisation,
    service: &Service,
    named: Option<&str>,
) -> Result<BudgetId> {
    let covers =
        |b: &&crate::config::Budget| b.services.is_empty() || b.services.contains(&service.id);
    match named {
        Some(name) => {
            let own = cfg
                .budgets_of(org.id.as_str())
                .filter(covers)
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
    job: Job,
) -> Result<Arc<Run>> {
    let known = node.lock_runs().get(&org.id, &key).is_some();
    if !known {
        check_open(node)?;
    }
    let new = Run::new(org.id.clone(), key, content, budget);
    open_run(node, new, job)
}

async fn whole_answer(
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
