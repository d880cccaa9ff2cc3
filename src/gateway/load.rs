//! A target's load as one router knows it: prompts that its engine has not read yet, parts that it
//! has cached, failures of late.

use std::time::Duration;

use tokio::time::Instant;

use super::request::Part;
use super::timing::Slowdown;

/// A prompt that should have been read so long ago is no longer counted on: its router may have
/// taken it back without anyone hearing of it.
const PREFILL_EXPIRY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CachedPart {
    id: u64,
    tokens: u64,
    last_used: Instant,
}

/// Which parts of prompts a target has probably cached: those that routers sent there, the least
/// recently used ones gone once they no longer fit. Parts that only one request uses count as
/// well: they are most of what an engine keeps, and push the shared ones out.
#[derive(Debug, Default)]
pub(super) struct PartCache {
    parts: Vec<CachedPart>,
    tokens: u64,
}

impl PartCache {
    pub(super) fn contains_part(&self, id: u64) -> bool {
        self.parts.binary_search_by_key(&id, |p| p.id).is_ok()
    }

    /// Tokens of the leading parts that are cached; a part counts only if all before it do.
    pub(super) fn cached_tokens(&self, parts: &[Part]) -> u64 {
        parts.iter().take_while(|p| self.contains_part(p.id)).map(|p| p.tokens).sum()
    }

    pub(super) fn insert_parts(&mut self, parts: &[Part], now: Instant, capacity: u64) {
        for p in parts {
            match self.parts.binary_search_by_key(&p.id, |c| c.id) {
                Ok(i) => self.parts[i].last_used = now,
                Err(i) => {
                    self.parts.insert(i, CachedPart { id: p.id, tokens: p.tokens, last_used: now });
                    self.tokens += p.tokens;
                }
            }
        }
        while self.tokens > capacity {
            let oldest = self.parts.iter().enumerate().min_by_key(|(_, p)| p.last_used);
            let Some((i, _)) = oldest else { return };
            self.tokens -= self.parts.remove(i).tokens;
        }
    }
}

/// A prompt that an engine has not read yet, as far as is known.
#[derive(Debug)]
struct PendingPrefill {
    number: u64,
    prefill: Duration,
    /// When it will be read, by the model.
    done_at: Instant,
}

#[derive(Debug)]
pub(super) struct Load {
    pub(super) in_flight_requests: u32,
    /// Prompts on their way, in the order in which they were sent by this router and, as far as
    /// they said so, by others.
    pending_prefills: Vec<PendingPrefill>,
    next_number: u64,
    /// When the engine will have read them all, by the model.
    pub(super) prefills_done_at: Instant,
    /// How much slower it is than its service's engines are on the whole.
    pub(super) slowdown: Slowdown,
    pub(super) cache: PartCache,
    pub(super) failures: u32,
    pub(super) unhealthy_until: Option<Instant>,
}

impl Load {
    pub(super) fn new(now: Instant) -> Load {
        Load {
            in_flight_requests: 0,
            pending_prefills: Vec::new(),
            next_number: 0,
            prefills_done_at: now,
            slowdown: Slowdown::default(),
            cache: PartCache::default(),
            failures: 0,
            unhealthy_until: None,
        }
    }

    /// Adds a prompt to what the engine has to read. Returns its number.
    pub(super) fn add_prefill(&mut self, prefill: Duration, now: Instant) -> u64 {
        self.pending_prefills.retain(|p| p.done_at + PREFILL_EXPIRY > now);
        self.prefills_done_at = self.prefills_done_at.max(now) + prefill;
        let number = self.next_number;
        self.next_number += 1;
        self.pending_prefills.push(PendingPrefill {
            number,
            prefill,
            done_at: self.prefills_done_at,
        });
        number
    }

    /// A prompt was read at `at`: so were all that were sent before it, and the engine has been
    /// busy with those behind it since.
    pub(super) fn finish_prefill(&mut self, number: u64, at: Instant) {
        self.pending_prefills.retain(|p| p.number > number);
        self.prefills_done_at = at;
        for p in &mut self.pending_prefills {
            self.prefills_done_at += p.prefill;
            p.done_at = self.prefills_done_at;
        }
    }

    /// A prompt was taken back.
    pub(super) fn cancel_prefill(&mut self, number: u64) {
        let Some(i) = self.pending_prefills.iter().position(|p| p.number == number) else { return };
        let prefill = self.pending_prefills.remove(i).prefill;
        self.prefills_done_at -= prefill;
        self.pending_prefills[i..].iter_mut().for_each(|p| p.done_at -= prefill);
    }
}
