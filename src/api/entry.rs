//! `GET /v1/entry`: addresses of the routers that a caller should use, and how long they stay
//! valid.

use axum::Json;
use axum::extract::{Query, State};
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use super::{NodeState, organisation};
use crate::engine::Engine;
use crate::error::Result;
use crate::ids::ZoneId;
use crate::membership::selection::routers_for_caller;
use crate::membership::wire::PeerClient;
use crate::router::node::Node;
use crate::table::Platform;

/// Query parameters of a caller.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct EntryQuery {
    zone: Option<String>,
}

/// Response to an entry request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryAnswer {
    /// `ip:port` of the routers, best first.
    pub addresses: Vec<String>,
    /// Milliseconds after which the caller should request the list again.
    pub lifetime_ms: u64,
}

/// Handles an entry request.
pub async fn entry<P: Platform, E: Engine, M: PeerClient>(
    State(node): NodeState<P, E, M>,
    Query(query): Query<EntryQuery>,
    headers: HeaderMap,
) -> Response {
    try_entry(&node, &query, &headers)
        .map_or_else(IntoResponse::into_response, |a| Json(a).into_response())
}

fn try_entry<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    query: &EntryQuery,
    headers: &HeaderMap,
) -> Result<EntryAnswer> {
    let org = organisation(node, headers)?;
    let zone: Option<ZoneId> = query.zone.as_deref().map(str::parse).transpose()?;
    let fleet = node.cfg.read().expect("the lock is never poisoned").fleet.clone();
    let entries =
        routers_for_caller(&node.live(), &org.id, fleet.entry_width as usize, zone.as_ref());
    let addresses = entries.into_iter().map(|e| e.api.to_string()).collect();
    Ok(EntryAnswer { addresses, lifetime_ms: fleet.entry_lifetime.0 })
}
