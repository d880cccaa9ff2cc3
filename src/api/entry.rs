//! `GET /v1/entry`: which routers to call, and for how long that holds.

use axum::Json;
use axum::extract::{Query, State};
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use super::{App, organisation};
use crate::engine::Engine;
use crate::error::Result;
use crate::ids::ZoneId;
use crate::membership::selection::routers_for_caller;
use crate::membership::wire::PeerClient;
use crate::router::node::Node;
use crate::table::Platform;

/// The caller's place.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Near {
    zone: Option<String>,
}

/// An entry answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryAnswer {
    /// `ip:port`, best first.
    pub addresses: Vec<String>,
    /// Milliseconds until it should be asked again.
    pub lifetime_ms: u64,
}

/// Handles a question for addresses.
pub async fn entry<P: Platform, E: Engine, M: PeerClient>(
    State(node): App<P, E, M>,
    Query(near): Query<Near>,
    headers: HeaderMap,
) -> Response {
    try_entry(&node, &near, &headers)
        .map_or_else(IntoResponse::into_response, |a| Json(a).into_response())
}

fn try_entry<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    near: &Near,
    headers: &HeaderMap,
) -> Result<EntryAnswer> {
    let org = organisation(node, headers)?;
    let zone: Option<ZoneId> = near.zone.as_deref().map(str::parse).transpose()?;
    let fleet = node.cfg.read().expect("never poisoned").fleet.clone();
    let entries =
        routers_for_caller(&node.live(), &org.id, fleet.entry_width as usize, zone.as_ref());
    let addresses = entries.into_iter().map(|e| e.api.to_string()).collect();
    Ok(EntryAnswer { addresses, lifetime_ms: fleet.entry_lifetime.0 })
}
