//! The routers as one of them sees them: gossiped heartbeat counters, no clock of others.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Millis, Revision, ZoneId};

/// Entries in one gossip message at most; bounds the bytes whatever the size of the fleet.
pub const MAX_GOSSIP_ENTRIES: usize = 16;
/// Dead members are remembered this many times the silence that made them dead, so that a late
/// message cannot bring them back.
const FORGET_AFTER_FACTOR: u64 = 30;

/// What a router tells about itself, and others pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouterInfo {
    /// Which start of which router.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its listener for callers.
    pub api: CompactString,
    /// Its listener for routers.
    pub peer: CompactString,
    /// Grows with each of its heartbeats.
    pub beat: u64,
    /// It drains.
    pub leaving: bool,
    /// The configuration revision that it runs.
    pub revision: Revision,
    /// Requests in flight at it.
    pub load: u32,
}

#[derive(Clone, Debug)]
struct Member {
    entry: RouterInfo,
    last_heartbeat: Millis,
}

/// All routers known to one of them.
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
    /// A view that knows only `local_router`.
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

    /// This router's own entry.
    pub fn local_router(&self) -> &RouterInfo {
        &self.local_router
    }

    /// Changes what this router tells about itself.
    pub fn update_local(&mut self, update: impl FnOnce(&mut RouterInfo)) {
        update(&mut self.local_router);
    }

    fn find(&self, id: &Incarnation) -> Result<usize, usize> {
        self.peer_members.binary_search_by(|m| m.entry.incarnation.cmp(id))
    }

    /// Takes entries from a message or the holder rows.
    ///
    /// Only a larger counter renews a member: a message that is late or sent again cannot make
    /// a dead one look alive.
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

    /// Routers as the table's rows name them: those not heard of are asked, and count as alive
    /// once they are.
    pub fn set_candidates(&mut self, candidates: Vec<RouterInfo>) {
        self.candidates = candidates;
    }

    /// One candidate that is silent, in turn: a new router, or one behind a cut that may have
    /// mended.
    pub fn next_silent_candidate(&mut self, now: Millis) -> Option<RouterInfo> {
        let silent = |e: &&RouterInfo| !self.is_router_alive(now, &e.incarnation);
        let silent: Vec<&RouterInfo> = self.candidates.iter().filter(silent).collect();
        let next = silent.get(self.probe_cursor % silent.len().max(1)).map(|e| (*e).clone());
        self.probe_cursor = self.probe_cursor.wrapping_add(1);
        next
    }

    /// A router said itself, or the table says, that it is gone for good.
    pub fn mark_departed(&mut self, id: &Incarnation) {
        if let Ok(index) = self.find(id) {
            self.peer_members[index].last_heartbeat = Millis(0);
            self.peer_members[index].entry.beat = u64::MAX;
        }
    }

    fn is_member_alive(&self, now: Millis, m: &Member) -> bool {
        now.since(m.last_heartbeat) < self.dead_after
    }

    /// Whether a router counts as alive.
    pub fn is_router_alive(&self, now: Millis, id: &Incarnation) -> bool {
        *id == self.local_router.incarnation
            || self.find(id).is_ok_and(|index| self.is_member_alive(now, &self.peer_members[index]))
    }

    /// Whether a router was ever heard of.
    pub fn is_known(&self, id: &Incarnation) -> bool {
        *id == self.local_router.incarnation || self.find(id).is_ok()
    }

    /// All live routers, this one too, in order of incarnation.
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

    /// Everybody known, dead ones too, with the time since they were heard.
    pub fn known_peers(&self, now: Millis) -> Vec<(RouterInfo, Millis)> {
        self.peer_members.iter().map(|m| (m.entry.clone(), now.since(m.last_heartbeat))).collect()
    }

    /// The next heartbeat: a higher counter, and the entries to send with it, taking turns.
    pub fn next_heartbeat(&mut self, now: Millis) -> Vec<RouterInfo> {
        self.local_router.beat += 1;
        let retention = Millis(self.dead_after.0.saturating_mul(FORGET_AFTER_FACTOR));
        self.peer_members
            .retain(|m| now.since(m.last_heartbeat) < retention || m.entry.beat == u64::MAX);
        self.gossip_entries(now)
    }

    /// Entries for one message: this router's own, and others in turn.
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

    /// Whether a router fell silent a short time ago: what it holds may come back soon.
    pub fn has_recently_silent(&self, now: Millis) -> bool {
        let (from, to) = (self.dead_after.0 / 2, self.dead_after.0.saturating_mul(5));
        let silent_ms = |m: &Member| now.since(m.last_heartbeat).0;
        let known = self.peer_members.iter().filter(|m| m.entry.beat != u64::MAX);
        known.map(silent_ms).any(|ms| ms >= from && ms < to)
    }

    /// The highest revision that any live router says it runs.
    pub fn newest_revision(&self, now: Millis) -> Revision {
        let live = self.peer_members.iter().filter(|m| self.is_member_alive(now, m));
        live.map(|m| m.entry.revision).max().unwrap_or_default()
    }
}
