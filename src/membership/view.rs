//! One router's view of the fleet, from gossiped heartbeat counters. It uses only the local clock:
//! other routers' clocks are never compared.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Millis, Revision, ZoneId};

/// The most entries in one gossip message, so that its size does not grow with the fleet.
pub const MAX_GOSSIP_ENTRIES: usize = 16;
/// A dead member is forgotten after this many times `dead_after`. Until then its last counter is
/// kept, so that a late message cannot make it look alive again.
const FORGET_AFTER_FACTOR: u64 = 30;

/// What a router announces about itself; other routers pass it on by gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouterInfo {
    /// Identifies the router process: instance and start.
    pub incarnation: Incarnation,
    /// The router's availability zone.
    pub zone: ZoneId,
    /// Address of its listener for callers, `ip:port`.
    pub api: CompactString,
    /// Address of its listener for other routers, `ip:port`.
    pub peer: CompactString,
    /// Heartbeat counter; grows with each of the router's heartbeats.
    pub beat: u64,
    /// Whether the router is draining.
    pub leaving: bool,
    /// The configuration revision in force at the router.
    pub revision: Revision,
    /// Number of requests in flight at the router.
    pub load: u32,
}

#[derive(Clone, Debug)]
struct Member {
    entry: RouterInfo,
    last_heartbeat: Millis,
}

/// The routers known to the local router, each with the time of its last heartbeat.
#[derive(Debug)]
pub struct View {
    local_router: RouterInfo,
    dead_after: Millis,
    peer_members: Vec<Member>,
    candidates: Vec<RouterInfo>,
    gossip_cursor: usize,
    probe_cursor: usize,
}

impl View {
    /// A view that contains only the local router. A peer without a heartbeat for `dead_after`
    /// counts as dead.
    pub fn new(local_router: RouterInfo, dead_after: Millis) -> View {
        View {
            local_router,
            dead_after,
            peer_members: Vec::new(),
            candidates: Vec::new(),
            gossip_cursor: 0,
            probe_cursor: 0,
        }
    }

    /// What the local router announces about itself.
    pub fn local_router(&self) -> &RouterInfo {
        &self.local_router
    }

    /// Changes what the local router announces about itself.
    pub fn update_local(&mut self, update: impl FnOnce(&mut RouterInfo)) {
        update(&mut self.local_router);
    }

    fn find(&self, id: &Incarnation) -> Result<usize, usize> {
        self.peer_members.binary_search_by(|m| m.entry.incarnation.cmp(id))
    }

    /// Merges entries from a gossip message.
    ///
    /// Only a larger heartbeat counter refreshes a member, so a message that is late or repeated
    /// cannot make a dead router look alive. `leaving` stays set once it was seen.
    pub fn merge(&mut self, now: Millis, entries: Vec<RouterInfo>) {
        for e in entries.into_iter().filter(|e| e.incarnation != self.local_router.incarnation) {
            match self.find(&e.incarnation) {
                Ok(index) if e.beat > self.peer_members[index].entry.beat => {
                    let leaving = e.leaving || self.peer_members[index].entry.leaving;
                    self.peer_members[index] =
                        Member { entry: RouterInfo { leaving, ..e }, last_heartbeat: now };
                }
                Ok(_) => {}
                Err(index) => {
                    self.peer_members.insert(index, Member { entry: e, last_heartbeat: now })
                }
            }
        }
    }

    /// Sets the routers listed in the table's holder rows. Those without a recent heartbeat are
    /// contacted in turn, and count as alive once they reply.
    pub fn set_candidates(&mut self, candidates: Vec<RouterInfo>) {
        self.candidates = candidates;
    }

    /// The next candidate without a recent heartbeat, in turn: either a new router, or one behind a
    /// network partition that may have healed.
    pub fn next_silent_candidate(&mut self, now: Millis) -> Option<RouterInfo> {
        let silent = |e: &&RouterInfo| !self.is_router_alive(now, &e.incarnation);
        let silent: Vec<&RouterInfo> = self.candidates.iter().filter(silent).collect();
        let next = silent.get(self.probe_cursor % silent.len().max(1)).map(|e| (*e).clone());
        self.probe_cursor = self.probe_cursor.wrapping_add(1);
        next
    }

    /// Marks a router as gone for good, because its holder row is no longer live. Its counter is
    /// set to the maximum, so that no later heartbeat can make it look alive again.
    pub fn mark_departed(&mut self, id: &Incarnation) {
        if let Ok(index) = self.find(id) {
            self.peer_members[index].last_heartbeat = Millis(0);
            self.peer_members[index].entry.beat = u64::MAX;
        }
    }

    fn is_member_alive(&self, now: Millis, m: &Member) -> bool {
        now.since(m.last_heartbeat) < self.dead_after
    }

    /// Whether a router's last heartbeat is recent enough. The local router is always alive.
    pub fn is_router_alive(&self, now: Millis, id: &Incarnation) -> bool {
        *id == self.local_router.incarnation
            || self.find(id).is_ok_and(|index| self.is_member_alive(now, &self.peer_members[index]))
    }

    /// Whether the view contains a router, alive or dead.
    pub fn is_known(&self, id: &Incarnation) -> bool {
        *id == self.local_router.incarnation || self.find(id).is_ok()
    }

    /// All live routers including the local one, ordered by incarnation.
    pub fn live_routers(&self, now: Millis) -> Vec<RouterInfo> {
        let peer_members = self
            .peer_members
            .iter()
            .filter(|m| self.is_member_alive(now, m))
            .map(|m| m.entry.clone());
        let mut all: Vec<RouterInfo> = peer_members.chain([self.local_router.clone()]).collect();
        all.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        all
    }

    /// All known peers, dead ones included, each with the time since its last heartbeat.
    pub fn known_peers(&self, now: Millis) -> Vec<(RouterInfo, Millis)> {
        self.peer_members.iter().map(|m| (m.entry.clone(), now.since(m.last_heartbeat))).collect()
    }

    /// Starts the next heartbeat: increments the local counter, forgets members that have been dead
    /// for long enough, and returns the entries to send.
    pub fn next_heartbeat(&mut self, now: Millis) -> Vec<RouterInfo> {
        self.local_router.beat += 1;
        let retention = Millis(self.dead_after.0.saturating_mul(FORGET_AFTER_FACTOR));
        self.peer_members
            .retain(|m| now.since(m.last_heartbeat) < retention || m.entry.beat == u64::MAX);
        self.gossip_entries(now)
    }

    /// Entries for one gossip message: the local router and up to `MAX_GOSSIP_ENTRIES - 1` peers,
    /// in turn.
    pub fn gossip_entries(&mut self, now: Millis) -> Vec<RouterInfo> {
        let mut out = vec![self.local_router.clone()];
        let peer_count = self.peer_members.len();
        for offset in 0..peer_count.min(MAX_GOSSIP_ENTRIES - 1) {
            let m = &self.peer_members[(self.gossip_cursor + offset) % peer_count];
            if self.is_member_alive(now, m) {
                out.push(m.entry.clone());
            }
        }
        self.gossip_cursor = if peer_count == 0 {
            0
        } else {
            (self.gossip_cursor + MAX_GOSSIP_ENTRIES - 1) % peer_count
        };
        out
    }

    /// Whether some router fell silent a short time ago, between half of `dead_after` and five
    /// times `dead_after`. The tokens it holds may become available soon.
    pub fn has_recently_silent(&self, now: Millis) -> bool {
        let (from, to) = (self.dead_after.0 / 2, self.dead_after.0.saturating_mul(5));
        let silent_ms = |m: &Member| now.since(m.last_heartbeat).0;
        let known = self.peer_members.iter().filter(|m| m.entry.beat != u64::MAX);
        known.map(silent_ms).any(|ms| ms >= from && ms < to)
    }

    /// The newest configuration revision that any live peer announces.
    pub fn newest_revision(&self, now: Millis) -> Revision {
        let live = self.peer_members.iter().filter(|m| self.is_member_alive(now, m));
        live.map(|m| m.entry.revision).max().unwrap_or_default()
    }
}
