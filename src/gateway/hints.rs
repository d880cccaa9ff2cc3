//! Routers tell one another where they send prompts.
//!
//! An engine's load is what all routers sent to it, and a prompt's parts are cached where any of
//! them sent it. Each router sends its own placements of the last moments to the others in one
//! datagram. A datagram may be lost: what it says is worth little a second later, so nothing is
//! sent twice and no connection is kept for it.

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

/// Placements of so long go into one datagram: a wake-up costs more than the bytes.
const GATHER: Duration = Duration::from_millis(10);
/// Placements in one datagram, at most; 60 bytes each keep it under a usual packet.
const MAX_PLACEMENTS: usize = 16;
/// Routers of other zones that are told, at most. With many routers per zone, each zone's
/// targets are used by its own routers alone, and telling all others would cost more traffic
/// between zones than it saves.
const MAX_FAR: usize = 12;
/// Format of a datagram; others are ignored.
const FORMAT: u8 = 2;

/// One prompt on its way to a target.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Hint {
    /// Digest of the target's id.
    pub target: u64,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Those of them that were not cached.
    pub uncached: u32,
    /// Its parts, id and tokens.
    parts: Vec<(u64, u32)>,
}

impl Hint {
    /// The parts of the prompt.
    pub fn parts(&self) -> impl Iterator<Item = PromptPart> {
        self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: u64::from(*tokens) })
    }
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Datagram {
    format: u8,
    hints: Vec<Hint>,
}

/// Whom to tell, and what was not told yet.
#[derive(Debug, Default)]
pub struct Hints {
    waiting: RefCell<Vec<Hint>>,
    peers: RefCell<Vec<SocketAddr>>,
    some: Notify,
    lost: Cell<u64>,
}

impl Hints {
    /// Notes a placement of this router.
    pub fn placed(&self, target: &str, plan: &PlacementPlan, parts: &[PromptPart]) {
        let mut waiting = self.waiting.borrow_mut();
        if self.peers.borrow().is_empty() || waiting.len() >= 4 * MAX_PLACEMENTS {
            return;
        }
        let short = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let parts = parts.iter().map(|p| (p.id, short(p.tokens)));
        waiting.push(Hint {
            target: target_digest(target),
            prompt: short(plan.prompt),
            uncached: short(plan.uncached),
            parts: parts.collect(),
        });
        if waiting.len() == 1 {
            self.some.notify_one();
        }
    }

    /// Sets whom to tell: routers of the same zone, and those of others while they are few.
    pub fn set_peers(&self, near: Vec<SocketAddr>, far: Vec<SocketAddr>) {
        let far = if far.len() > MAX_FAR { Vec::new() } else { far };
        let mut peers = near;
        peers.extend(far);
        peers.sort();
        *self.peers.borrow_mut() = peers;
    }

    fn take(&self) -> Vec<u8> {
        let mut waiting = self.waiting.borrow_mut();
        let n = waiting.len().min(MAX_PLACEMENTS);
        let datagram = Datagram { format: FORMAT, hints: waiting.drain(..n).collect() };
        let mut out = Vec::with_capacity(64 * n);
        ciborium::into_writer(&datagram, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// Tells the others, for ever.
    pub async fn tell(&self, socket: &UdpSocket) {
        loop {
            if self.waiting.borrow().is_empty() {
                self.some.notified().await;
            }
            sleep(GATHER).await;
            let bytes = Topic::Hints.frame(&self.take());
            let peers = self.peers.borrow().clone();
            for peer in peers {
                // A full buffer or an unreachable peer loses a hint, which is made for that.
                if socket.try_send_to(&bytes, peer).is_err() {
                    self.lost.set(self.lost.get() + 1);
                }
            }
        }
    }
}

/// The placements that a datagram tells of; none if it cannot be read.
pub fn parse(bytes: &[u8]) -> Vec<Hint> {
    let read = ciborium::from_reader::<Datagram, _>(bytes).ok();
    read.filter(|d| d.format == FORMAT).map(|d| d.hints).unwrap_or_default()
}
