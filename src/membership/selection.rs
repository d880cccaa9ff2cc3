//! Selects the routers that an organisation calls, and the witness and backup of each router.

use super::view::RouterInfo;
use crate::ids::{Digest, OrganisationId, ZoneId};

/// Rendezvous hashing score of a router for an organisation. Every router computes the same score,
/// and it does not change when other routers join or leave.
fn score(organisation: &OrganisationId, e: &RouterInfo) -> u64 {
    Digest::of(format!("{organisation}\n{}", e.incarnation).as_bytes()).first_u64()
}

/// The routers that serve an organisation: `width` of those that are not draining, by rendezvous
/// hashing and spread over as many availability zones as possible. Few routers then hold grants of
/// a budget, and the loss of one zone does not take all of them.
pub fn home_routers(
    live: &[RouterInfo],
    organisation: &OrganisationId,
    width: usize,
) -> Vec<RouterInfo> {
    let mut ranked: Vec<(u64, &RouterInfo)> =
        live.iter().filter(|e| !e.leaving).map(|e| (score(organisation, e), e)).collect();
    ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    let mut out: Vec<RouterInfo> = Vec::new();
    let mut max_per_zone = 0;
    while out.len() < width.min(ranked.len()) {
        max_per_zone += 1;
        for (_, e) in &ranked {
            let chosen_in_zone = out.iter().filter(|o| o.zone == e.zone).count();
            let is_chosen = out.iter().any(|o| o.incarnation == e.incarnation);
            if !is_chosen && chosen_in_zone < max_per_zone && out.len() < width {
                out.push((*e).clone());
            }
        }
    }
    out
}

/// The routers to name to a caller: the organisation's routers, those in the caller's zone first,
/// in an order that differs from call to call.
pub fn routers_for_caller(
    live: &[RouterInfo],
    organisation: &OrganisationId,
    width: usize,
    caller_zone: Option<&ZoneId>,
) -> Vec<RouterInfo> {
    let mut out = home_routers(live, organisation, width);
    if !out.is_empty() {
        // Callers use the first address, so each answer starts at a random router to spread the
        // callers.
        let start = fastrand::usize(..out.len());
        out.rotate_left(start);
    }
    out.sort_by_key(|e| caller_zone.is_some_and(|z| e.zone != *z));
    out
}

/// Selects the witness of a router: the live router in another zone with the highest score, or, if
/// there is none, the one with the highest score in the same zone.
pub fn select_witness<'a>(live: &'a [RouterInfo], router: &RouterInfo) -> Option<&'a RouterInfo> {
    let score = |e: &RouterInfo| {
        Digest::of(format!("{}\n{}", router.incarnation, e.incarnation).as_bytes()).first_u64()
    };
    let others = live.iter().filter(|e| e.incarnation != router.incarnation && !e.leaving);
    others.max_by_key(|e| (e.zone != router.zone, score(e)))
}

/// Selects the backup of a router: the live router in its own zone with the highest score that is
/// not its witness, or, if there is none, one in another zone. With a backup in the same zone,
/// routers of a zone that is cut off can still confirm each other's holds.
pub fn select_backup<'a>(
    live: &'a [RouterInfo],
    router: &RouterInfo,
    witness: &RouterInfo,
) -> Option<&'a RouterInfo> {
    let score = |e: &RouterInfo| {
        Digest::of(format!("{}\n{}", e.incarnation, router.incarnation).as_bytes()).first_u64()
    };
    let is_eligible = |e: &&RouterInfo| {
        ![&router.incarnation, &witness.incarnation].contains(&&e.incarnation) && !e.leaving
    };
    live.iter().filter(is_eligible).max_by_key(|e| (e.zone == router.zone, score(e)))
}
