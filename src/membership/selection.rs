//! Entry answers: which routers an organisation should call, and which share its work.

use super::view::RouterInfo;
use crate::ids::{Digest, OrganisationId, ZoneId};

/// Rank of a router for an organisation: the same at every router, and stable while others
/// come and go.
fn rank(organisation: &OrganisationId, e: &RouterInfo) -> u64 {
    Digest::of(format!("{organisation}\n{}", e.incarnation).as_bytes()).word()
}

/// The routers that serve an organisation: `width` of them by rendezvous hashing, in different
/// zones as long as there are any, so that few routers hold parts of a budget and yet no zone's
/// loss takes them all.
pub fn home_routers(
    live_routers: &[RouterInfo],
    organisation: &OrganisationId,
    width: usize,
) -> Vec<RouterInfo> {
    let mut ranked: Vec<(u64, &RouterInfo)> =
        live_routers.iter().filter(|e| !e.leaving).map(|e| (rank(organisation, e), e)).collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let mut chosen: Vec<RouterInfo> = Vec::new();
    let mut max_per_zone = 0;
    while chosen.len() < width.min(ranked.len()) {
        max_per_zone += 1;
        for (_, e) in &ranked {
            let chosen_in_zone = chosen.iter().filter(|o| o.zone == e.zone).count();
            let is_chosen = chosen.iter().any(|o| o.incarnation == e.incarnation);
            if !is_chosen && chosen_in_zone < max_per_zone && chosen.len() < width {
                chosen.push((*e).clone());
            }
        }
    }
    chosen
}

/// The answer to a caller: the home routers, those in the caller's zone first, in an order that
/// differs from answer to answer.
pub fn routers_for_caller(
    live_routers: &[RouterInfo],
    organisation: &OrganisationId,
    width: usize,
    caller_zone: Option<&ZoneId>,
) -> Vec<RouterInfo> {
    let mut chosen = home_routers(live_routers, organisation, width);
    if !chosen.is_empty() {
        // Callers use the first address: each answer starts elsewhere, so that they spread.
        let start = fastrand::usize(..chosen.len());
        chosen.rotate_left(start);
    }
    chosen.sort_by_key(|e| caller_zone.is_some_and(|z| e.zone != *z));
    chosen
}

/// The witness for a router: the best ranked live one in another zone, or else any other.
pub fn select_witness<'a>(
    live_routers: &'a [RouterInfo],
    router: &RouterInfo,
) -> Option<&'a RouterInfo> {
    let hash_weight = |e: &RouterInfo| {
        Digest::of(format!("{}\n{}", router.incarnation, e.incarnation).as_bytes()).word()
    };
    let others = live_routers.iter().filter(|e| e.incarnation != router.incarnation && !e.leaving);
    others.max_by_key(|e| (e.zone != router.zone, hash_weight(e)))
}

/// The backup for a router: the best ranked live one in its own zone besides `witness`, or else
/// any other. While a zone is cut off, its routers go on with each other's word.
pub fn select_backup<'a>(
    live_routers: &'a [RouterInfo],
    router: &RouterInfo,
    witness: &RouterInfo,
) -> Option<&'a RouterInfo> {
    let hash_weight = |e: &RouterInfo| {
        Digest::of(format!("{}\n{}", e.incarnation, router.incarnation).as_bytes()).word()
    };
    let is_eligible = |e: &&RouterInfo| {
        ![&router.incarnation, &witness.incarnation].contains(&&e.incarnation) && !e.leaving
    };
    live_routers.iter().filter(is_eligible).max_by_key(|e| (e.zone == router.zone, hash_weight(e)))
}
