//! `POST /v1/services/NAME/PATH`: calls of plain services.

use std::sync::Arc;

use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};

use super::chat::{admission, choose_budget};
use super::{
    BUDGET, BodyResult, IDEMPOTENCY_KEY, NodeState, check_accepting, full_body, header_text,
    organisation, priority, request_key,
};
use crate::config::ServiceKind;
use crate::engine::{Engine, ServiceAnswer};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, ServiceId};
use crate::membership::wire::PeerClient;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::Repeatable;
use crate::router::drive_call::{CallJob, open_call};
use crate::router::node::{Counts, Node};
use crate::table::Platform;

/// Handles a call of a plain service.
pub async fn call<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    Path((service, path)): Path<(String, String)>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    Counts::add(&node.counts.requests);
    try_call(node, service, path, headers, body).await.unwrap_or_else(IntoResponse::into_response)
}

async fn try_call<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    service: String,
    path: String,
    headers: HeaderMap,
    body: BodyResult,
) -> Result<Response> {
    let org = organisation(&node, &headers)?;
    let body = full_body(body)?;
    let body = String::from_utf8(body.to_vec())
        .map_err(|_| Error::new(Kind::BadRequest, "the body must be UTF-8"))?;
    let (key, key_from_caller) = request_key(&node, &headers)?;
    let content = Digest::of(format!("{service}\n{path}\n{body}").as_bytes());
    let (job, budget) = {
        let cfg = node.cfg.read().expect("the lock is never poisoned");
        let unknown = || Error::new(Kind::NotFound, "no such service");
        let id: ServiceId = service.parse().map_err(|_| unknown())?;
        let service = cfg.service(&id).ok_or_else(unknown)?;
        let ServiceKind::Plain { cost, repeatable } = &service.kind else { return Err(unknown()) };
        let may_repeat = repeatable.iter().any(|r| r.as_str() == path);
        if !may_repeat && !key_from_caller {
            let message = "a call that must not be repeated needs an Idempotency-Key";
            return Err(Error::new(Kind::BadRequest, message));
        }
        let job = CallJob {
            admission: admission(&org, service, priority(&headers)?),
            path,
            body,
            cost: *cost,
            repeatable: if may_repeat { Repeatable::Yes } else { Repeatable::No },
            deadline: service.deadline.duration(),
        };
        (job, choose_budget(&cfg, &org, service, header_text(&headers, BUDGET)?)?)
    };
    if node.lock_runs().get(&org.id, &key).is_none() {
        check_accepting(&node)?;
    }
    let new = Run::new(org.id.clone(), key.clone(), content, budget);
    let run = open_call(&node, new, job)?;
    let mut resp =
        wait_for_end(&run).await.map_or_else(IntoResponse::into_response, service_response);
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        resp.headers_mut().insert(IDEMPOTENCY_KEY, value);
    }
    Ok(resp)
}

async fn wait_for_end(run: &Run) -> Result<ServiceAnswer> {
    let mut rx = run.follow();
    loop {
        rx.borrow_and_update();
        match run.view(usize::MAX).end {
            Some(RunEnd::Service(answer)) => return Ok(answer),
            Some(RunEnd::Failed(e)) => return Err(e),
            Some(RunEnd::Complete(..)) => {
                return Err(Error::new(Kind::KeyReused, "this key belongs to a model request"));
            }
            None => {}
        }
        if rx.changed().await.is_err() {
            return Err(Error::new(Kind::OutcomeUnknown, "the call was left without an end"));
        }
    }
}

fn service_response(answer: ServiceAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    (status, [(header::CONTENT_TYPE, "application/json")], answer.body).into_response()
}
