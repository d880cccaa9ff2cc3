//! A target's load as one router knows it: prompts that its engine has not read yet, parts that it
//! has cached, failures of late.

use std::time::Duration;

use tokio::time::Instant;

use super::request::PromptPart;
use super::timing::Pace;

/// A prompt that should have been read so long ago is no longer counted on: its router may have
/// taken it back without anyone hearing of it.
const OVERDUE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CachedPart {
    id: u64,
    tokens: u64,
    used: Instant,
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
    pub(super) fn has(&self, id: u64) -> bool {
        self.parts.binary_search_by_key(&id, |p| p.id).is_ok()
    }

    /// Tokens of the leading parts that are cached; a part counts only if all before it do.
    pub(super) fn cached(&self, parts: &[PromptPart]) -> u64 {
        parts.iter().take_while(|p| self.has(p.id)).map(|p| p.tokens).sum()
    }

    pub(super) fn read(&mut self, parts: &[PromptPart], now: Instant, capacity: u64) {
        for p in parts {
            match self.parts.binary_search_by_key(&p.id, |c| c.id) {
                Ok(i) => self.parts[i].used = now,
                Err(i) => {
                    self.parts.insert(i, CachedPart { id: p.id, tokens: p.tokens, used: now });
                    self.tokens += p.tokens;
                }
            }
        }
        while self.tokens > capacity {
            let oldest = self.parts.iter().enumerate().min_by_key(|(_, p)| p.used);
            let Some((i, _)) = oldest else { return };
            self.tokens -= self.parts.remove(i).tokens;
        }
    }
}

/// A prompt that an engine has not read yet, as far as is known.
#[derive(Debug)]
struct Unread {
    number: u64,
    prefill: Duration,
    /// When it will be read, by the model.
    done: Instant,
}

#[derive(Debug)]
pub(super) struct Load {
    pub(super) running: u32,
    /// Prompts on their way, in the order in which they were sent by this router and, as far as
    /// they said so, by others.
    unread: Vec<Unread>,
    next_number: u64,
    /// When the engine will have read them all, by the model.
    pub(super) read_by: Instant,
    /// How much slower it is than its service's engines are on the whole.
    pub(super) pace: Pace,
    pub(super) cache: PartCache,
    pub(super) failures: u32,
    pub(super) doubtful_until: Option<Instant>,
}

impl Load {
    pub(super) fn new(now: Instant) -> Load {
        Load {
            running: 0,
            unread: Vec::new(),
            next_number: 0,
            read_by: now,
            pace: Pace::default(),
            cache: PartCache::default(),
            failures: 0,
            doubtful_until: None,
        }
    }

    /// Adds a prompt to what the engine has to read. Returns its number.
    pub(super) fn add(&mut self, prefill: Duration, now: Instant) -> u64 {
        self.unread.retain(|u| u.done + OVERDUE > now);
        self.read_by = self.read_by.max(now) + prefill;
        let number = self.next_number;
        self.next_number += 1;
        self.unread.push(Unread { number, prefill, done: self.read_by });
        number
    }

    /// A prompt was read at `at`: so were all that were sent before it, and the engine has been
    /// busy with those behind it since.
    pub(super) fn read(&mut self, number: u64, at: Instant) {
        self.unread.retain(|u| u.number > number);
        self.read_by = at;
        for u in &mut self.unread {
            self.read_by += u.prefill;
            u.done = self.read_by;
        }
    }

    /// A prompt was taken back.
    pub(super) fn cancel(&mut self, number: u64) {
        let Some(i) = self.unread.iter().position(|u| u.number == number) else { return };
        let prefill = self.unread.remove(i).prefill;
        self.read_by -= prefill;
        self.unread[i..].iter_mut().for_each(|u| u.done -= prefill);
    }
}
