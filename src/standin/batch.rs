//! A simulated model engine with continuous batching, a prefix cache and priorities, as a state
//! machine without I/O.

use std::collections::VecDeque;

use compact_str::{CompactString, format_compact};

use crate::engine::{CancelOutcome, RunUsage, StartRun};
use crate::ids::{Digest, RunId};

/// Bytes of prompt per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt in one block of the prefix cache.
const BLOCK_BYTES: usize = 256;
/// Maximum number of runs that are remembered, including ended and cancelled ones. The oldest are
/// dropped first.
const MAX_KNOWN_RUNS: usize = 20_000;
/// Maximum number of prompt tokens that one step processes.
const MAX_PREFILL_TOKENS_PER_STEP: u64 = 512;

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineSize {
    /// Maximum number of runs in the batch. Each gets one token per step.
    pub slots: usize,
    /// Maximum number of prompt blocks in the prefix cache.
    pub cache_blocks: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunState {
    Queued,
    Active,
    Ended,
    Cancelled,
}

/// A run and its answer so far.
#[derive(Clone, Debug)]
pub struct Run {
    id: RunId,
    seed: u64,
    priority: u8,
    state: RunState,
    prefill_left: u64,
    prompt_tokens: u64,
    /// Tokens of the answer so far.
    pub tokens: Vec<CompactString>,
    limit: u64,
}

impl Run {
    /// Whether the run ended or was cancelled.
    pub fn is_over(&self) -> bool {
        matches!(self.state, RunState::Ended | RunState::Cancelled)
    }

    /// Whether the run ended with a complete answer.
    pub fn is_complete(&self) -> bool {
        self.state == RunState::Ended
    }

    /// Tokens that the run has used so far.
    pub fn usage(&self) -> RunUsage {
        RunUsage { prompt_tokens: self.prompt_tokens, tokens: self.tokens.len() as u64 }
    }
}

/// A simulated engine: its runs, its batch and its prefix cache.
#[derive(Debug)]
pub struct BatchEngine {
    size: EngineSize,
    runs: Vec<Run>,
    /// Ids of all known runs, oldest first.
    order: VecDeque<RunId>,
    /// Ids of queued and active runs, oldest first.
    unfinished: Vec<RunId>,
    cache: VecDeque<Digest>,
    /// Number of prompt blocks found in the cache, and number of lookups.
    pub block_hits: (u64, u64),
    /// Number of runs started. Repeated starts of the same id are not counted.
    pub started: u64,
}

/// The token that this engine generates at an index of the answer. It depends on the prompt alone,
/// so any caller can check that an answer belongs to its prompt and is complete.
pub fn expected_token(prompt: &str, index: u64) -> CompactString {
    token(Digest::of(prompt.as_bytes()).first_u64(), index)
}

/// Number of tokens that this engine generates for a prompt, between 1 and `max_tokens`.
pub fn natural_length(prompt: &str, max_tokens: u64) -> u64 {
    let word = Digest::of(prompt.as_bytes()).first_u64();
    (1 + word % max_tokens.max(1)).min(max_tokens)
}

fn token(seed: u64, index: u64) -> CompactString {
    let mixed =
        (seed ^ index.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    format_compact!(" {:04x}", mixed >> 48)
}

impl BatchEngine {
    /// Creates an idle engine.
    pub fn new(size: EngineSize) -> BatchEngine {
        BatchEngine {
            size,
            runs: Vec::new(),
            order: VecDeque::new(),
            unfinished: Vec::new(),
            cache: VecDeque::new(),
            block_hits: (0, 0),
            started: 0,
        }
    }

    fn find(&self, id: &RunId) -> Result<usize, usize> {
        self.runs.binary_search_by(|r| r.id.cmp(id))
    }

    /// The run with this id, if it is known.
    pub fn run(&self, id: &RunId) -> Option<&Run> {
        self.find(id).ok().map(|index| &self.runs[index])
    }

    /// Number of active and of queued runs.
    pub fn load(&self) -> (u32, u32) {
        let states = self.unfinished.iter().filter_map(|id| self.run(id)).map(|r| r.state);
        states.fold((0, 0), |(active, queued), s| match s {
            RunState::Active => (active + 1, queued),
            RunState::Queued => (active, queued + 1),
            RunState::Ended | RunState::Cancelled => (active, queued),
        })
    }

    /// Queues a run. Does nothing if its id is already known.
    pub fn start(&mut self, req: &StartRun) {
        let Err(index) = self.find(&req.run) else { return };
        self.started += 1;
        let prompt_tokens = req.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let cached = self.cache_prefix(&req.prompt);
        let run = Run {
            id: req.run.clone(),
            seed: Digest::of(req.prompt.as_bytes()).first_u64(),
            priority: req.priority,
            state: RunState::Queued,
            prefill_left: prompt_tokens.saturating_sub(cached) + req.so_far.len() as u64,
            prompt_tokens,
            tokens: req.so_far.clone(),
            limit: natural_length(&req.prompt, req.max_tokens),
        };
        self.runs.insert(index, run);
        self.unfinished.push(req.run.clone());
        self.track_run(req.run.clone());
    }

    fn track_run(&mut self, id: RunId) {
        self.order.push_back(id);
        if self.order.len() > MAX_KNOWN_RUNS
            && let Some(old) = self.order.pop_front()
            && let Ok(index) = self.find(&old)
        {
            self.runs.remove(index);
        }
    }

    /// Looks up the blocks of the prompt and adds them all to the cache. Returns the number of
    /// tokens in the leading blocks that were found.
    fn cache_prefix(&mut self, prompt: &str) -> u64 {
        let mut cached = 0;
        let mut leading = true;
        for end in (BLOCK_BYTES..=prompt.len()).step_by(BLOCK_BYTES) {
            let block = Digest::of(&prompt.as_bytes()[..end]);
            self.block_hits.1 += 1;
            let found = self.cache.iter().position(|d| *d == block);
            leading &= found.is_some();
            if leading {
                self.block_hits.0 += 1;
                cached += (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
            }
            if let Some(index) = found {
                self.cache.remove(index);
            }
            self.cache.push_back(block);
        }
        let excess = self.cache.len().saturating_sub(self.size.cache_blocks);
        self.cache.drain(..excess);
        cached
    }

    /// Cancels a run. An unknown id is recorded as cancelled, so that a later start of it does
    /// nothing.
    pub fn cancel(&mut self, id: &RunId) -> CancelOutcome {
        match self.find(id) {
            Ok(index) => {
                let run = &mut self.runs[index];
                let usage = run.usage();
                match run.state {
                    RunState::Ended => CancelOutcome::Ended(usage),
                    RunState::Cancelled if usage.tokens == 0 => CancelOutcome::NeverRan,
                    _ => {
                        run.state = RunState::Cancelled;
                        CancelOutcome::Stopped(usage)
                    }
                }
            }
            Err(index) => {
                let run = Run {
                    id: id.clone(),
                    seed: 0,
                    priority: 0,
                    state: RunState::Cancelled,
                    prefill_left: 0,
                    prompt_tokens: 0,
                    tokens: Vec::new(),
                    limit: 0,
                };
                self.runs.insert(index, run);
                self.track_run(id.clone());
                CancelOutcome::NeverRan
            }
        }
    }

    /// Runs one step: fills the batch by priority, then advances each active run by one token or by
    /// a part of its prompt. Returns whether any run was active.
    pub fn step(&mut self) -> bool {
        self.fill_batch();
        let mut progressed = false;
        let mut prefill = MAX_PREFILL_TOKENS_PER_STEP;
        let unfinished = std::mem::take(&mut self.unfinished);
        for id in &unfinished {
            if let Ok(index) = self.find(id)
                && self.runs[index].state == RunState::Active
            {
                progressed = true;
                prefill -= step_run(&mut self.runs[index], prefill);
            }
        }
        self.unfinished = unfinished;
        self.unfinished.retain(|id| {
            self.runs.binary_search_by(|r| r.id.cmp(id)).is_ok_and(|at| !self.runs[at].is_over())
        });
        progressed
    }

    fn fill_batch(&mut self) {
        let (active, queued) = self.load();
        let free = self.size.slots.saturating_sub(active as usize);
        if free == 0 || queued == 0 {
            return;
        }
        let mut waiting: Vec<(u8, usize)> = Vec::new();
        for (age, id) in self.unfinished.iter().enumerate() {
            waiting.extend(
                self.run(id).filter(|r| r.state == RunState::Queued).map(|r| (r.priority, age)),
            );
        }
        waiting.sort_by_key(|(priority, age)| (u8::MAX - priority, *age));
        for (_, age) in waiting.into_iter().take(free) {
            if let Ok(index) = self.find(&self.unfinished[age]) {
                self.runs[index].state = RunState::Active;
            }
        }
    }
}

/// Runs one step of an active run. Returns the number of prompt tokens processed, at most
/// `prefill`.
fn step_run(run: &mut Run, prefill: u64) -> u64 {
    let read = run.prefill_left.min(prefill);
    run.prefill_left -= read;
    if run.prefill_left > 0 {
        return read;
    }
    if (run.tokens.len() as u64) < run.limit {
        run.tokens.push(token(run.seed, run.tokens.len() as u64));
    }
    if run.tokens.len() as u64 >= run.limit {
        run.state = RunState::Ended;
    }
    read
}
