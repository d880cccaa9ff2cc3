//! Which routers lend which organisation's tokens to whom. Pure.
//!
//! An organisation's row is written by those who spend from it. With each router a spender, 25 of
//! them raced for every row. So a few routers of each zone draw on the rows and lend to
//! the others of their zone; a request whose zone's lender has nothing left is covered by one
//! of another zone.

use std::cmp::Reverse;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ids::Digest;

/// One in so many routers of a zone lends. A request for a part takes a lender some 50 µs and
/// comes once for each request of its zone, so one lender could do for some 30 routers; with
/// more lenders a death is felt by fewer organisations, with fewer the rows have fewer writers.
const ROUTERS_PER_LENDER: usize = 16;
/// Lenders of a zone, at least: if one is away, the other steps in.
const MIN_LENDERS_PER_ZONE: usize = 2;
/// Other routers that are asked for one request, at most. Each takes 2 ms.
const MAX_LENDERS_ASKED: usize = 5;

/// A router that may lend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Its instance.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Where it takes datagrams.
    pub addr: SocketAddr,
    /// Requests a second that it can take: the largest lend.
    pub capacity: u32,
}

/// Where a part of a budget may come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This router's own grant.
    Own,
    /// Another router's.
    Peer(SocketAddr),
    /// This router's own grant, though it does not lend: only if some of the others do not answer.
    /// What they do not have is not in the store either.
    Fallback,
}

/// The lenders of all zones, as one router sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lenders {
    /// This router.
    own_name: CompactString,
    zone: CompactString,
    /// By zone.
    by_zone: Vec<Lender>,
}

impl Lenders {
    /// Chooses the lenders among `routers`: the largest of each zone.
    pub fn choose(own_name: &str, zone: &str, mut routers: Vec<Lender>) -> Lenders {
        // All routers choose alike: those of one size in the order of their names.
        routers.sort_by(|a, b| {
            let sort_key = |r: &Lender| (r.zone.clone(), Reverse(r.capacity), r.name.clone());
            sort_key(a).cmp(&sort_key(b))
        });
        let choose_in_zone = |in_zone: &[Lender]| {
            let n = in_zone.len().div_ceil(ROUTERS_PER_LENDER).max(MIN_LENDERS_PER_ZONE);
            in_zone[..n.min(in_zone.len())].to_vec()
        };
        let by_zone = routers.chunk_by(|a, b| a.zone == b.zone).flat_map(choose_in_zone).collect();
        Lenders { own_name: own_name.into(), zone: zone.into(), by_zone }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_zone.len()
    }

    /// Whom to ask for a part of an organisation's budget, in this order: the zone's lender of that
    /// organisation, those of other zones, the zone's next one, and at last the router itself.
    pub fn order(&self, org: &str) -> Vec<Source> {
        let hash = |l: &Lender| {
            let mut bytes = Vec::with_capacity(org.len() + 1 + l.name.len());
            bytes.extend_from_slice(org.as_bytes());
            bytes.push(0);
            bytes.extend_from_slice(l.name.as_bytes());
            Digest::of(&bytes).word()
        };
        // The zone's own first, the firsts of the others, its second, and so on.
        let mut ranked: Vec<(usize, Reverse<u64>, Source)> = Vec::new();
        for in_zone in self.by_zone.chunk_by(|a, b| a.zone == b.zone) {
            let other_zone = usize::from(in_zone[0].zone != self.zone);
            let mut by_hash: Vec<(Reverse<u64>, &Lender)> =
                in_zone.iter().map(|l| (Reverse(hash(l)), l)).collect();
            by_hash.sort_by_key(|(hash_rank, _)| *hash_rank);
            for (position, (hash_rank, l)) in by_hash.into_iter().enumerate() {
                let source =
                    if l.name == self.own_name { Source::Own } else { Source::Peer(l.addr) };
                ranked.push((2 * position + other_zone, hash_rank, source));
            }
        }
        ranked.sort_by_key(|(round, hash_rank, _)| (*round, *hash_rank));
        let mut order: Vec<Source> = ranked.into_iter().map(|(_, _, s)| s).collect();
        order.truncate(MAX_LENDERS_ASKED);
        if !order.contains(&Source::Own) {
            order.push(Source::Fallback);
        }
        order
    }
}
