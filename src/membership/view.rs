//! The routers as one of them sees them: gossiped heartbeat counters, no clock of others.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Millis, Revision, ZoneId};

/// Entries in one gossip message at most; bounds the bytes whatever the size of the fleet.
pub const MAX_ENTRIES: usize = 16;
/// Dead members are remembered this many times the silence that made them dead, so that a late
/// message cannot bring them back.
const REMEMBER: u64 = 30;

/// What a router tells about itself, and others pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
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
    entry: Entry,
    heard: Millis,
}

/// All routers known to one of them.
#[derive(Debug)]
pub struct View {
    me: Entry,
    dead_after: Millis,
    others: Vec<Member>,
    candidates: Vec<Entry>,
    cursor: usize,
    turn: usize,
}

impl View {
    /// A view that knows only `me`.
    pub fn new(me: Entry, dead_after: Millis) -> View {
        View { me, dead_after, others: Vec::new(), candidates: Vec::new(), cursor: 0, turn: 0 }
    }

    /// This router's own entry.
    pub fn me(&self) -> &Entry {
        &self.me
    }

    /// Changes what this router tells about itself.
    pub fn update_me(&mut self, f: impl FnOnce(&mut Entry)) {
        f(&mut self.me);
    }

    fn find(&self, id: &Incarnation) -> Result<usize, usize> {
        self.others.binary_search_by(|m| m.entry.incarnation.cmp(id))
    }

    /// Takes entries from a message or the holder rows.
    ///
    /// Only a larger counter renews a member: a message that is late or sent again cannot make
    /// a dead one look alive.
    pub fn merge(&mut self, now: Millis, entries: Vec<Entry>) {
        for e in entries.into_iter().filter(|e| e.incarnation != self.me.incarnation) {
            match self.find(&e.incarnation) {
                Ok(place) if e.beat > self.others[place].entry.beat => {
                    let leaving = e.leaving || self.others[place].entry.leaving;
                    self.others[place] = Member { entry: Entry { leaving, ..e }, heard: now };
                }
                Ok(_) => {}
                Err(place) => self.others.insert(place, Member { entry: e, heard: now }),
            }
        }
    }

    /// Routers as the table's rows name them: those not heard of are asked, and count as alive
    /// once they are.
    pub fn set_candidates(&mut self, candidates: Vec<Entry>) {
        self.candidates = candidates;
    }

    /// One candidate that is silent, in turn: a new router, or one behind a cut that may have
    /// mended.
    pub fn next_candidate(&mut self, now: Millis) -> Option<Entry> {
        let silent = |e: &&Entry| !self.alive(now, &e.incarnation);
        let silent: Vec<&Entry> = self.candidates.iter().filter(silent).collect();
        let next = silent.get(self.turn % silent.len().max(1)).map(|e| (*e).clone());
        self.turn = self.turn.wrapping_add(1);
        next
    }

    /// A router said itself, or the table says, that it is gone for good.
    pub fn remove(&mut self, id: &Incarnation) {
        if let Ok(place) = self.find(id) {
            self.others[place].heard = Millis(0);
            self.others[place].entry.beat = u64::MAX;
        }
    }

    fn is_live(&self, now: Millis, m: &Member) -> bool {
        now.since(m.heard) < self.dead_after
    }

    /// Whether a router counts as alive.
    pub fn alive(&self, now: Millis, id: &Incarnation) -> bool {
        *id == self.me.incarnation
            || self.find(id).is_ok_and(|at| self.is_live(now, &self.others[at]))
    }

    /// Whether a router was ever heard of.
    pub fn knows(&self, id: &Incarnation) -> bool {
        *id == self.me.incarnation || self.find(id).is_ok()
    }

    /// All live routers, this one too, in order of incarnation.
    pub fn live(&self, now: Millis) -> Vec<Entry> {
        let others = self.others.iter().filter(|m| self.is_live(now, m)).map(|m| m.entry.clone());
        let mut all: Vec<Entry> = others.chain([self.me.clone()]).collect();
        all.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        all
    }

    /// Everybody known, dead ones too, with the time since they were heard.
    pub fn known(&self, now: Millis) -> Vec<(Entry, Millis)> {
        self.others.iter().map(|m| (m.entry.clone(), now.since(m.heard))).collect()
    }

    /// The next heartbeat: a higher counter, and the entries to send with it, taking turns.
    pub fn beat(&mut self, now: Millis) -> Vec<Entry> {
        self.me.beat += 1;
        let silence = Millis(self.dead_after.0.saturating_mul(REMEMBER));
        self.others.retain(|m| now.since(m.heard) < silence || m.entry.beat == u64::MAX);
        self.entries(now)
    }

    /// Entries for one message: this router's own, and others in turn.
    pub fn entries(&mut self, now: Millis) -> Vec<Entry> {
        let mut out = vec![self.me.clone()];
        let n = self.others.len();
        for step in 0..n.min(MAX_ENTRIES - 1) {
            let m = &self.others[(self.cursor + step) % n];
            if self.is_live(now, m) {
                out.push(m.entry.clone());
            }
        }
        self.cursor = if n == 0 { 0 } else { (self.cursor + MAX_ENTRIES - 1) % n };
        out
    }

    /// Whether a router fell silent a short time ago: what it holds may come back soon.
    pub fn has_doubtful(&self, now: Millis) -> bool {
        let (from, to) = (self.dead_after.0 / 2, self.dead_after.0.saturating_mul(5));
        let quiet = |m: &Member| now.since(m.heard).0;
        let known = self.others.iter().filter(|m| m.entry.beat != u64::MAX);
        known.map(quiet).any(|q| q >= from && q < to)
    }

    /// The highest revision that any live router says it runs.
    pub fn newest_revision(&self, now: Millis) -> Revision {
        let live = self.others.iter().filter(|m| self.is_live(now, m));
        live.map(|m| m.entry.revision).max().unwrap_or_default()
    }
}
