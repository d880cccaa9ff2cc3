//! A target's load as this router knows it: pending prefills, cached prompt parts and recent
//! failures.

use std::time::Duration;

use tokio::time::Instant;

use super::request::PromptPart;
use super::timing::Slowdown;

/// Pending prefills are dropped this long after their predicted end. The router that sent the
/// prompt may have cancelled it, and cancellations are not sent to other routers.
const PREFILL_EXPIRY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CachedPart {
    id: u64,
    tokens: u64,
    last_used: Instant,
}

/// An estimate of the prompt parts that a target has cached: the parts that routers sent to it,
/// with least-recently-used eviction. Parts that only one request uses count as well: they are most
/// of what an engine keeps, and they evict the shared parts.
#[derive(Debug, Default)]
pub(super) struct PartCache {
    parts: Vec<CachedPart>,
    tokens: u64,
}

impl PartCache {
    pub(super) fn contains_part(&self, id: u64) -> bool {
        self.parts.binary_search_by_key(&id, |p| p.id).is_ok()
    }

    /// Number of tokens in the leading parts that are cached. A part counts only if all parts
    /// before it are cached.
    pub(super) fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        parts.iter().take_while(|p| self.contains_part(p.id)).map(|p| p.tokens).sum()
    }

    pub(super) fn insert_parts(&mut self, parts: &[PromptPart], now: Instant, capacity: u64) {
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

/// A prompt whose prefill is not known to have ended.
#[derive(Debug)]
struct PendingPrefill {
    number: u64,
    prefill: Duration,
    /// Predicted end of the prefill.
    done_at: Instant,
}

#[derive(Debug)]
pub(super) struct Load {
    pub(super) in_flight_requests: u32,
    /// Requests in flight that were written to the target.
    pub(super) sent_requests: u32,
    /// Prompts in the order in which this router sent them and, as far as they reported it, others
    /// did.
    pending_prefills: Vec<PendingPrefill>,
    next_number: u64,
    /// Predicted end of all pending prefills.
    pub(super) prefills_done_at: Instant,
    /// Speed of the target relative to its service's engines.
    pub(super) slowdown: Slowdown,
    pub(super) cache: PartCache,
    pub(super) failures: u32,
    pub(super) unhealthy_until: Option<Instant>,
}

impl Load {
    pub(super) fn new(now: Instant) -> Load {
        Load {
            in_flight_requests: 0,
            sent_requests: 0,
            pending_prefills: Vec::new(),
            next_number: 0,
            prefills_done_at: now,
            slowdown: Slowdown::default(),
            cache: PartCache::default(),
            failures: 0,
            unhealthy_until: None,
        }
    }

    /// Adds a pending prefill. Returns its number.
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

    /// Records that the prefill `number` ended at `at`. Prefills run in order: all earlier ones
    /// have ended as well, and the engine has been working on the later ones since then.
    pub(super) fn finish_prefill(&mut self, number: u64, at: Instant) {
        self.pending_prefills.retain(|p| p.number > number);
        self.prefills_done_at = at;
        for p in &mut self.pending_prefills {
            self.prefills_done_at += p.prefill;
            p.done_at = self.prefills_done_at;
        }
    }

    /// Removes the prefill of a cancelled request.
    pub(super) fn cancel_prefill(&mut self, number: u64) {
        let Some(i) = self.pending_prefills.iter().position(|p| p.number == number) else { return };
        let prefill = self.pending_prefills.remove(i).prefill;
        self.prefills_done_at -= prefill;
        self.pending_prefills[i..].iter_mut().for_each(|p| p.done_at -= prefill);
    }
}
