//! Simulates routers that end at once, in fleets of several sizes, and counts the streams whose
//! origin a surviving router still finds. Routers choose the keepers of an origin with the
//! production [`KeeperRing`]; messages are simulated.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use fastrand::Rng;
use serde::Serialize;

use crate::gateway::origins::{KeeperRing, StreamKey};
use crate::gateway::resumption::{ASKED_ROUTERS, KEEPERS};

/// Numbers of routers in the simulated fleets.
const FLEET_SIZES: [u16; 4] = [6, 20, 79, 470];
/// Numbers of routers that keep an origin; the largest one stands for all routers.
const KEEPER_COUNTS: [usize; 5] = [1, 2, 3, KEEPERS, usize::MAX];
/// Streams in each cell.
const STREAMS: u32 = 2_000;
/// Share of datagrams that are lost, in percent.
const LOST_PERCENT: u32 = 1;
/// Number of times that a query is sent.
const QUERIES: u32 = 3;

/// Which routers end, beside the one that began the streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// No other router.
    One,
    /// Every second router.
    Half,
    /// All routers but one.
    AllButOne,
}

/// Result of one simulation.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// Number of routers.
    pub routers: u16,
    /// Number of routers that keep an origin.
    pub keepers: usize,
    /// Which routers ended.
    pub ended: Ended,
    /// Datagrams that are sent for each stream that begins.
    pub datagrams_per_stream: f64,
    /// Share of the streams whose origin a surviving router finds.
    pub found: f64,
}

/// Runs all cells whose name, such as `79/5/half`, contains `only`.
pub fn run(seed: u64, only: &str, mut print_row: impl FnMut(&Cell)) {
    for routers in FLEET_SIZES {
        for keepers in KEEPER_COUNTS.map(|n| n.min(usize::from(routers) - 1)) {
            for ended in [Ended::One, Ended::Half, Ended::AllButOne] {
                let name = format!("{routers}/{keepers}/{ended:?}").to_lowercase();
                if name.contains(only) {
                    print_row(&simulate(seed, routers, keepers, ended));
                }
            }
        }
    }
}

fn addr(router: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), router)
}

fn ring(names: &[String], own: u16) -> KeeperRing {
    let others = (0_u16..).zip(names).filter(|(i, _)| *i != own);
    KeeperRing::new(others.map(|(i, name)| (name.as_str(), addr(i))))
}

fn simulate(seed: u64, routers: u16, keepers: usize, ended: Ended) -> Cell {
    let mut rng = Rng::with_seed(seed);
    let names: Vec<String> = (0..routers).map(|i| format!("router-{i}")).collect();
    let rings: Vec<KeeperRing> = (0..routers).map(|i| ring(&names, i)).collect();
    let is_lost = |rng: &mut Rng| rng.u32(..100) < LOST_PERCENT;
    let (mut found, mut datagrams) = (0, 0);
    for _ in 0..STREAMS {
        let (key, origin) = (StreamKey(rng.u64(..)), rng.u16(..routers));
        let last = (origin + 1 + rng.u16(..routers - 1)) % routers;
        let has_ended = |router: u16| {
            router == origin
                || match ended {
                    Ended::One => false,
                    Ended::Half => router != last && router.is_multiple_of(2),
                    Ended::AllButOne => router != last,
                }
        };
        let told: Vec<SocketAddr> = rings[usize::from(origin)].keepers(key, keepers).collect();
        datagrams += told.len();
        let reached: Vec<SocketAddr> = told.into_iter().filter(|_| !is_lost(&mut rng)).collect();
        let asked: Vec<SocketAddr> = rings[usize::from(last)]
            .keepers(key, ASKED_ROUTERS.max(keepers))
            .filter(|to| !has_ended(to.port()) && reached.contains(to))
            .collect();
        let is_answered =
            asked.iter().any(|_| (0..QUERIES).any(|_| !is_lost(&mut rng) && !is_lost(&mut rng)));
        found += u32::from(reached.contains(&addr(last)) || is_answered);
    }
    let streams = f64::from(STREAMS);
    Cell {
        routers,
        keepers,
        ended,
        datagrams_per_stream: datagrams as f64 / streams,
        found: f64::from(found) / streams,
    }
}
