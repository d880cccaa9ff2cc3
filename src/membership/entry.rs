//! Entry answers: which routers an organisation should call, and which share its work.

use super::view::Entry;
use crate::ids::{Digest, OrganisationId, ZoneId};

/// Rank of a router for an organisation: the same at every router, and stable while others
/// come and go.
fn rank(organisation: &OrganisationId, e: &Entry) -> u64 {
    Digest::of(format!("{organisation}\n{}", e.incarnation).as_bytes()).first_u64()
}

/// The routers that serve an organisation: `width` of them by rendezvous hashing, in different
/// zones as long as there are any, so that few routers hold parts of a budget and yet no zone's
/// loss takes them all.
pub fn home(live: &[Entry], organisation: &OrganisationId, width: usize) -> Vec<Entry> {
    let mut ranked: Vec<(u64, &Entry)> =
        live.iter().filter(|e| !e.leaving).map(|e| (rank(organisation, e), e)).collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let mut out: Vec<Entry> = Vec::new();
    let mut round = 0;
    while out.len() < width.min(ranked.len()) {
        round += 1;
        for (_, e) in &ranked {
            let in_zone = out.iter().filter(|o| o.zone == e.zone).count();
            let taken = out.iter().any(|o| o.incarnation == e.incarnation);
            if !taken && in_zone < round && out.len() < width {
                out.push((*e).clone());
            }
        }
    }
    out
}

/// The answer to a caller: the home routers, those in the caller's zone first, in an order that
/// differs from answer to answer.
pub fn answer(
    live: &[Entry],
    organisation: &OrganisationId,
    width: usize,
    near: Option<&ZoneId>,
) -> Vec<Entry> {
    let mut out = home(live, organisation, width);
    if !out.is_empty() {
        // Callers use the first address: each answer starts elsewhere, so that they spread.
        let start = fastrand::usize(..out.len());
        out.rotate_left(start);
    }
    out.sort_by_key(|e| near.is_some_and(|z| e.zone != *z));
    out
}

/// The witness for a router: the best ranked live one in another zone, or else any other.
pub fn witness<'a>(live: &'a [Entry], me: &Entry) -> Option<&'a Entry> {
    let word = |e: &Entry| {
        Digest::of(format!("{}\n{}", me.incarnation, e.incarnation).as_bytes()).first_u64()
    };
    let others = live.iter().filter(|e| e.incarnation != me.incarnation && !e.leaving);
    others.max_by_key(|e| (e.zone != me.zone, word(e)))
}

/// The backup for a router: the best ranked live one in its own zone besides `witness`, or else
/// any other. While a zone is cut off, its routers go on with each other's word.
pub fn backup<'a>(live: &'a [Entry], me: &Entry, witness: &Entry) -> Option<&'a Entry> {
    let word = |e: &Entry| {
        Digest::of(format!("{}\n{}", e.incarnation, me.incarnation).as_bytes()).first_u64()
    };
    let free = |e: &&Entry| {
        ![&me.incarnation, &witness.incarnation].contains(&&e.incarnation) && !e.leaving
    };
    live.iter().filter(free).max_by_key(|e| (e.zone == me.zone, word(e)))
}
