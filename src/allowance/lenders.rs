//! Which routers lend tokens of which organisation to which other routers. No clock, no I/O.
//!
//! Each router that spends from an organisation's ledger also writes it. With every router a
//! spender, 25 routers conflicted on every ledger. Therefore only a few routers of each zone draw
//! on the ledgers and lend to the other routers of their zone. If a zone's lender has too little
//! left, a lender of another zone covers the request.

use std::cmp::Reverse;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ids::Digest;

/// A zone has one lender for this many routers, rounded up. Answering a loan request takes a lender
/// some 50 µs, and there is one loan request for each request of its zone, so one lender could
/// serve some 30 routers. With more lenders a crash affects fewer organisations; with fewer lenders
/// the ledgers have fewer writers.
const ROUTERS_PER_LENDER: usize = 16;
/// Minimum number of lenders in a zone, so that a second one can take over if the first is
/// unavailable.
const MIN_LENDERS_PER_ZONE: usize = 2;
/// Maximum number of other routers that are asked for one request. Each loan request takes 2 ms.
const MAX_LENDERS_ASKED: usize = 5;

/// A router that may lend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Name of its instance.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Address at which it receives datagrams.
    pub addr: SocketAddr,
    /// Requests a second that it can handle. The routers with the largest capacity lend.
    pub capacity: u32,
}

/// Where a request's tokens may come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This router's own grant.
    Own,
    /// Another router's grant.
    Peer(SocketAddr),
    /// This router's own grant although it is no lender. Used only if some lenders did not answer:
    /// if all of them answered that they have too little, the store has too little as well.
    Fallback,
}

/// The lenders of all zones, from one router's point of view.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lenders {
    /// Instance name of this router.
    own_name: CompactString,
    zone: CompactString,
    /// All lenders, sorted by zone.
    by_zone: Vec<Lender>,
}

impl Lenders {
    /// Chooses the lenders among `routers`: those of each zone with the largest capacity.
    pub fn choose(own_name: &str, zone: &str, mut routers: Vec<Lender>) -> Lenders {
        // All routers must choose the same lenders, so equal capacities are ordered by name.
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

    /// Number of lenders.
    pub fn count(&self) -> usize {
        self.by_zone.len()
    }

    /// Routers to ask for tokens of an organisation's budget, in order: this zone's first lender
    /// for the organisation, the first lenders of the other zones, this zone's second lender, and
    /// so on. The router's own grant comes last if it is no lender.
    pub fn order(&self, org: &str) -> Vec<Source> {
        let hash = |l: &Lender| {
            let mut bytes = Vec::with_capacity(org.len() + 1 + l.name.len());
            bytes.extend_from_slice(org.as_bytes());
            bytes.push(0);
            bytes.extend_from_slice(l.name.as_bytes());
            Digest::of(&bytes).first_u64()
        };
        // Rank, hash and source of each lender. Ranks alternate between this zone and the others:
        // this zone's first lender, the others' first lenders, this zone's second lender, and so
        // on.
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
