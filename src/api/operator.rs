//! API for operators: status, budgets, configuration and submissions.

use std::sync::atomic::Ordering;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{BodyResult, NodeState, bearer, full_body};
use crate::budget::actor::versioned;
use crate::budget::ledger::{BudgetRow, GrantRow, HolderState, Versioned, budget_key, grant_key};
use crate::config::store::{Submission, read_revisions, submit};
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Incarnation, Revision, Tokens};
use crate::membership::wire::PeerClient;
use crate::router::node::Node;
use crate::router::tasks::{publish_revision, read_holder_rows};
use crate::table::{Platform, RowKey};

fn check_operator<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    headers: &HeaderMap,
) -> Result<()> {
    let given = Digest::of(bearer(headers)?);
    match node.settings.operator_key {
        Some(key) if key == given => Ok(()),
        _ => Err(Error::new(Kind::Unauthorized, "a valid operator key is needed")),
    }
}

/// `GET /operator/status`: routers, targets, configuration revision and counters.
pub async fn status<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    headers: HeaderMap,
) -> Response {
    if let Err(e) = check_operator(&node, &headers) {
        return e.into_response();
    }
    let now = node.now();
    let totals = node.session().totals().await;
    let routers: Vec<_> = node
        .live()
        .into_iter()
        .map(|e| {
            json!({ "incarnation": e.incarnation, "zone": e.zone, "api": e.api, "leaving": e.leaving,
                    "revision": e.revision, "load": e.load })
        })
        .collect();
    let silent: Vec<_> = {
        let view = node.lock_view();
        let dead = |(e, quiet): &(crate::membership::view::RouterInfo, crate::ids::Millis)| {
            !view.is_router_alive(now, &e.incarnation) && quiet.0 < 3_600_000
        };
        let known = view.known_peers(now);
        known
            .iter()
            .filter(|k| dead(k))
            .map(|(e, q)| json!({ "incarnation": e.incarnation, "silent_ms": q }))
            .collect()
    };
    let targets: Vec<_> = {
        let picker = node.lock_picker();
        let view = |t: &crate::route::picker::TargetView| {
            json!({ "id": t.id, "zone": t.zone, "leaving": t.leaving, "in_flight": t.in_flight,
                    "active": t.report.active, "queued": t.report.queued, "slots": t.report.slots,
                    "serves": t.report.serves })
        };
        picker.targets().iter().map(view).collect()
    };
    let c = &node.counts;
    let get = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    let (in_flight, waiting) = node.gates.load();
    Json(json!({
        "me": node.session().incarnation,
        "revision": node.lock_view().local_router().revision,
        "draining": node.is_draining(),
        "routers": routers,
        "silent": silent,
        "targets": targets,
        "requests": { "received": get(&c.requests), "answered": get(&c.answered), "refused": get(&c.refused),
                      "retries": get(&c.retries), "joined": get(&c.joined), "in_flight": in_flight,
                      "waiting": waiting },
        "ledger": { "pockets": totals.budgets, "holds": totals.holds, "pending_bills": totals.pending_bills,
                    "queued_writes": node.session().committer.queued(), "copies_out": node.session().copy_count() },
    }))
    .into_response()
}

/// Usage of a budget by one holder.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HolderUsage {
    /// Incarnation that holds the grant.
    pub holder: Incarnation,
    /// State of the holder according to its row: `live`, `left` or `sealed`.
    pub state: HolderState,
    /// Whether the queried router receives heartbeats from the holder.
    pub alive: bool,
    /// Size of the grant.
    pub granted: Tokens,
    /// Cost of the recorded bills.
    pub settled: Tokens,
}

/// A budget according to the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetReport {
    /// Id of the budget.
    pub budget: BudgetId,
    /// Prepaid amount.
    pub prepaid: Tokens,
    /// Cost of all recorded bills.
    pub settled: Tokens,
    /// Unsettled part of the grants of live holders.
    pub granted: Tokens,
    /// Unsettled part of the grants of holders that are silent or sealed. It counts as spent until
    /// the outcomes of their runs are known.
    pub in_doubt: Tokens,
    /// Tokens that can still be granted.
    pub free: Tokens,
    /// Usage by holder.
    pub holders: Vec<HolderUsage>,
}

/// `GET /operator/budget/ORGANISATION`: the organisation's budgets, by holder.
pub async fn budget<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    Path(organisation): Path<String>,
    headers: HeaderMap,
) -> Response {
    if let Err(e) = check_operator(&node, &headers) {
        return e.into_response();
    }
    match budget_reports(&node, &organisation).await {
        Ok(reports) => Json(reports).into_response(),
        Err(e) => e.into_response(),
    }
}

async fn budget_reports<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    organisation: &str,
) -> Result<Vec<BudgetReport>> {
    let budgets: Vec<(BudgetId, Tokens)> = {
        let cfg = node.cfg.read().expect("the lock is never poisoned");
        cfg.budgets_of(organisation).map(|b| (b.id.clone(), b.prepaid)).collect()
    };
    if budgets.is_empty() {
        return Err(Error::new(Kind::NotFound, format!("no budget of {organisation}")));
    }
    let holders = read_holder_rows(&node.platform).await?;
    let mut out = Vec::new();
    for (id, prepaid) in budgets {
        let mut keys: Vec<RowKey> = holders.iter().map(|(h, _)| grant_key(h, &id)).collect();
        keys.push(budget_key(&id));
        let rows = node.platform.read(keys).await?;
        let find = |key: RowKey| rows.iter().find(|r| r.key == key);
        let row: Versioned<BudgetRow> = versioned(find(budget_key(&id)))?;
        let now = node.now();
        let mut parts = Vec::new();
        for (holder, h) in &holders {
            let grant: Versioned<GrantRow> = versioned(find(grant_key(holder, &id)))?;
            if grant.version.is_some() {
                let alive = node.lock_view().is_router_alive(now, holder);
                let (granted, settled) = (grant.row.granted, grant.row.settled);
                parts.push(HolderUsage {
                    holder: holder.clone(),
                    state: h.state,
                    alive,
                    granted,
                    settled,
                });
            }
        }
        out.push(report(id, prepaid, row.row, parts));
    }
    Ok(out)
}

fn sum(parts: impl Iterator<Item = Tokens>) -> Tokens {
    parts.fold(Tokens::ZERO, Tokens::plus)
}

fn report(
    budget: BudgetId,
    prepaid: Tokens,
    row: BudgetRow,
    holders: Vec<HolderUsage>,
) -> BudgetReport {
    let counts_as_granted = |p: &&HolderUsage| p.alive && p.state == HolderState::Live;
    let unsettled = |p: &HolderUsage| p.granted.minus(p.settled);
    let granted = sum(holders.iter().filter(counts_as_granted).map(unsettled));
    let in_doubt = sum(holders.iter().filter(|p| !counts_as_granted(p)).map(unsettled));
    let settled = row.closed.plus(sum(holders.iter().map(|p| p.settled)));
    BudgetReport {
        budget,
        prepaid,
        settled,
        granted,
        in_doubt,
        free: prepaid.minus(row.committed),
        holders,
    }
}

/// `GET /operator/config`: the active configuration revision and its text.
pub async fn config<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    headers: HeaderMap,
) -> Response {
    if let Err(e) = check_operator(&node, &headers) {
        return e.into_response();
    }
    let follower = node.follower.lock().await;
    let head = follower.head();
    Json(json!({ "revision": head.revision, "digest": head.digest, "text": follower.document().text() }))
        .into_response()
}

/// Query parameters for listing revisions.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct RevisionsQuery {
    #[serde(default)]
    after: u64,
}

/// `GET /operator/revisions?after=N`: accepted revisions after `N`, with their edits.
pub async fn revisions<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    Query(after): Query<RevisionsQuery>,
    headers: HeaderMap,
) -> Response {
    if let Err(e) = check_operator(&node, &headers) {
        return e.into_response();
    }
    match read_revisions(&node.platform, Revision(after.after)).await {
        Ok(rows) => Json(rows).into_response(),
        Err(e) => e.into_response(),
    }
}

/// `POST /operator/submit`: submits a configuration change.
pub async fn submit_edits<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    if let Err(e) = check_operator(&node, &headers) {
        return e.into_response();
    }
    let submission: Submission = match full_body(body).and_then(|b| Ok(serde_json::from_slice(&b)?))
    {
        Ok(s) => s,
        Err(e) => return e.into_response(),
    };
    let result = {
        let mut follower = node.follower.lock().await;
        submit(&node.platform, &mut follower, &node.cfg, &submission).await
    };
    publish_revision(&node).await;
    match result {
        Ok(revision) => {
            log::info!("submit=accepted id={} revision={revision}", submission.id);
            Json(json!({ "revision": revision })).into_response()
        }
        Err(e) => {
            log::info!(
                "submit=refused id={} kind={} base={}",
                submission.id,
                e.kind,
                submission.base
            );
            e.into_response()
        }
    }
}
