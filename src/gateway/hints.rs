//! Placement hints: routers inform each other of the prompts that they send to targets.
//!
//! An engine's load consists of the prompts from all routers, and a prompt's parts are cached
//! wherever any router sent them. Each router sends its recent placements to the others in one
//! datagram. Datagrams can be lost, but a hint is worth little after a second, so there are no
//! retransmissions and no connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::backend::{PlacementPlan, target_digest};
use super::datagram::Topic;
use super::request::PromptPart;

/// Time over which placements are collected into one datagram. Waking up the receivers costs more
/// than the bytes.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of placements in one datagram. At 60 bytes each, it fits into a usual packet.
const MAX_PLACEMENTS: usize = 16;
/// Maximum number of routers in other zones that get hints. With many routers per zone, each zone's
/// targets are used by the routers of that zone alone, and hints to the others would cost more
/// traffic between zones than they save.
const MAX_OTHER_ZONE_PEERS: usize = 12;
/// Version of the datagram format. Datagrams of other versions are ignored.
const DATAGRAM_FORMAT: u8 = 2;

/// A prompt that was sent to a target.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct PlacementHint {
    /// Digest of the target's id.
    pub target: u64,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Number of those tokens that were not cached.
    pub uncached: u32,
    /// Id and token count of each prompt part.
    parts: Vec<(u64, u32)>,
}

impl PlacementHint {
    /// The parts of the prompt.
    pub fn parts(&self) -> impl Iterator<Item = PromptPart> {
        self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: u64::from(*tokens) })
    }
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Datagram {
    format: u8,
    hints: Vec<PlacementHint>,
}

/// The peers that get hints, and the placements not yet sent.
#[derive(Debug, Default)]
pub struct PlacementHints {
    unsent: RefCell<Vec<PlacementHint>>,
    peers: RefCell<Vec<SocketAddr>>,
    wakeup: Notify,
    lost_datagrams: Cell<u64>,
}

impl PlacementHints {
    /// Queues a placement of this router. Drops it if there are no peers or the queue is full.
    pub fn record_placement(&self, target: &str, plan: &PlacementPlan, parts: &[PromptPart]) {
        let mut unsent = self.unsent.borrow_mut();
        if self.peers.borrow().is_empty() || unsent.len() >= 4 * MAX_PLACEMENTS {
            return;
        }
        let saturated = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let parts = parts.iter().map(|p| (p.id, saturated(p.tokens)));
        unsent.push(PlacementHint {
            target: target_digest(target),
            prompt: saturated(plan.prompt),
            uncached: saturated(plan.uncached),
            parts: parts.collect(),
        });
        if unsent.len() == 1 {
            self.wakeup.notify_one();
        }
    }

    /// Sets the peers: routers of the same zone, and those of other zones unless there are too
    /// many.
    pub fn set_peers(&self, same_zone: Vec<SocketAddr>, other_zones: Vec<SocketAddr>) {
        let other_zones =
            if other_zones.len() > MAX_OTHER_ZONE_PEERS { Vec::new() } else { other_zones };
        let mut peers = same_zone;
        peers.extend(other_zones);
        peers.sort();
        *self.peers.borrow_mut() = peers;
    }

    fn take_datagram(&self) -> Vec<u8> {
        let mut unsent = self.unsent.borrow_mut();
        let n = unsent.len().min(MAX_PLACEMENTS);
        let datagram = Datagram { format: DATAGRAM_FORMAT, hints: unsent.drain(..n).collect() };
        let mut out = Vec::with_capacity(64 * n);
        ciborium::into_writer(&datagram, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// Sends queued placements to the peers. Never returns.
    pub async fn run_sender(&self, socket: &UdpSocket) {
        loop {
            if self.unsent.borrow().is_empty() {
                self.wakeup.notified().await;
            }
            sleep(BATCH_DELAY).await;
            let bytes = Topic::Hints.frame(&self.take_datagram());
            let peers = self.peers.borrow().clone();
            for peer in peers {
                // A full buffer or an unreachable peer loses the hint, which is acceptable.
                if socket.try_send_to(&bytes, peer).is_err() {
                    self.lost_datagrams.set(self.lost_datagrams.get() + 1);
                }
            }
        }
    }
}

/// Decodes the placements in a datagram. Returns none if it is malformed or of another version.
pub fn parse(bytes: &[u8]) -> Vec<PlacementHint> {
    let read = ciborium::from_reader::<Datagram, _>(bytes).ok();
    read.filter(|d| d.format == DATAGRAM_FORMAT).map(|d| d.hints).unwrap_or_default()
}
