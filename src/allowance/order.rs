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
const LEAST_LENDERS: usize = 2;
/// Other routers that are asked for one request, at most. Each takes 2 ms.
const MOST_ASKED: usize = 5;

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
    me: CompactString,
    zone: CompactString,
    /// By zone.
    all: Vec<Lender>,
}

impl Lenders {
    /// Chooses the lenders among `routers`: the largest of each zone.
    pub fn choose(me: &str, zone: &str, mut routers: Vec<Lender>) -> Lenders {
        // All routers choose alike: those of one size in the order of their names.
        routers.sort_by(|a, b| {
            let of = |r: &Lender| (r.zone.clone(), Reverse(r.capacity), r.name.clone());
            of(a).cmp(&of(b))
        });
        let chosen = |of_zone: &[Lender]| {
            let n = of_zone.len().div_ceil(ROUTERS_PER_LENDER).max(LEAST_LENDERS);
            of_zone[..n.min(of_zone.len())].to_vec()
        };
        let all = routers.chunk_by(|a, b| a.zone == b.zone).flat_map(chosen).collect();
        Lenders { me: me.into(), zone: zone.into(), all }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Whom to ask for a part of an organisation's budget, in this order: the zone's lender of that
    /// organisation, those of other zones, the zone's next one, and at last the router itself.
    pub fn order(&self, org: &str) -> Vec<Source> {
        let word = |l: &Lender| {
            let mut bytes = Vec::with_capacity(org.len() + 1 + l.name.len());
            bytes.extend_from_slice(org.as_bytes());
            bytes.push(0);
            bytes.extend_from_slice(l.name.as_bytes());
            Digest::of(&bytes).word()
        };
        // The zone's own first, the firsts of the others, its second, and so on.
        let mut ranked: Vec<(usize, Reverse<u64>, Source)> = Vec::new();
        for of_zone in self.all.chunk_by(|a, b| a.zone == b.zone) {
            let far = usize::from(of_zone[0].zone != self.zone);
            let mut words: Vec<(Reverse<u64>, &Lender)> =
                of_zone.iter().map(|l| (Reverse(word(l)), l)).collect();
            words.sort_by_key(|(w, _)| *w);
            for (place, (w, l)) in words.into_iter().enumerate() {
                let source = if l.name == self.me { Source::Own } else { Source::Peer(l.addr) };
                ranked.push((2 * place + far, w, source));
            }
        }
        ranked.sort_by_key(|(round, w, _)| (*round, *w));
        let mut order: Vec<Source> = ranked.into_iter().map(|(_, _, s)| s).collect();
        order.truncate(MOST_ASKED);
        if !order.contains(&Source::Own) {
            order.push(Source::Fallback);
        }
        order
    }
}
