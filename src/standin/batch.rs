//! A model engine's continuous batching, prefix cache and priorities, as a pure state machine.

use std::collections::VecDeque;

use compact_str::{CompactString, format_compact};

use crate::engine::{Cancelled, RunUsage, StartRun};
use crate::ids::{Digest, RunId};

/// Bytes of prompt per token in this engine.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt in one block of the prefix cache.
const BLOCK: usize = 256;
/// Ended and cancelled runs that are remembered.
const KEPT_RUNS: usize = 20_000;
/// Prompt tokens that one step can read in.
const PREFILL_PER_STEP: u64 = 512;

/// Size of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchSize {
    /// Runs that get a token in each step.
    pub slots: usize,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunState {
    Queued,
    Active,
    Ended,
    Cancelled,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Run {
    id: RunId,
    seed: u64,
    priority: u8,
    state: RunState,
    prefill_left: u64,
    prompt_tokens: u64,
    /// Tokens so far.
    pub tokens: Vec<CompactString>,
    limit: u64,
}

impl Run {
    /// Whether nothing more will come.
    pub fn is_over(&self) -> bool {
        matches!(self.state, RunState::Ended | RunState::Cancelled)
    }

    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.state == RunState::Ended
    }

    /// What it cost so far.
    pub fn usage(&self) -> RunUsage {
        RunUsage { prompt_tokens: self.prompt_tokens, tokens: self.tokens.len() as u64 }
    }
}

/// The engine.
#[derive(Debug)]
pub struct Batch {
    size: BatchSize,
    runs: Vec<Run>,
    /// Every known run, oldest first.
    order: VecDeque<RunId>,
    /// Queued and active runs, oldest first.
    live: Vec<RunId>,
    cache: VecDeque<Digest>,
    /// Prompt blocks found in the cache, and looked for.
    pub hits: (u64, u64),
    /// Runs started, a repeat of the same id not counted.
    pub started: u64,
}

/// The token that this engine answers at a place: a function of the prompt alone, so that any
/// caller can check that its answer is its own and whole.
pub fn expected_token(prompt: &str, place: u64) -> CompactString {
    token(Digest::of(prompt.as_bytes()).first_u64(), place)
}

/// How many tokens this engine answers when it is not limited.
pub fn natural_length(prompt: &str, max_tokens: u64) -> u64 {
    let word = Digest::of(prompt.as_bytes()).first_u64();
    (1 + word % max_tokens.max(1)).min(max_tokens)
}

fn token(seed: u64, place: u64) -> CompactString {
    let mixed =
        (seed ^ place.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    format_compact!(" {:04x}", mixed >> 48)
}

impl Batch {
    /// An idle engine.
    pub fn new(size: BatchSize) -> Batch {
        Batch {
            size,
            runs: Vec::new(),
            order: VecDeque::new(),
            live: Vec::new(),
            cache: VecDeque::new(),
            hits: (0, 0),
            started: 0,
        }
    }

    fn find(&self, id: &RunId) -> Result<usize, usize> {
        self.runs.binary_search_by(|r| r.id.cmp(id))
    }

    /// The run of that id.
    pub fn run(&self, id: &RunId) -> Option<&Run> {
        self.find(id).ok().map(|place| &self.runs[place])
    }

    /// Runs in the batch and in the queue.
    pub fn load(&self) -> (u32, u32) {
        let states = self.live.iter().filter_map(|id| self.run(id)).map(|r| r.state);
        states.fold((0, 0), |(active, queued), s| match s {
            RunState::Active => (active + 1, queued),
            RunState::Queued => (active, queued + 1),
            RunState::Ended | RunState::Cancelled => (active, queued),
        })
    }

    /// Starts a run, unless its id is known already.
    pub fn start(&mut self, req: &StartRun) {
        let Err(place) = self.find(&req.run) else { return };
        self.started += 1;
        let prompt_tokens = req.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let cached = self.read_prefix(&req.prompt);
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
        self.runs.insert(place, run);
        self.live.push(req.run.clone());
        self.remember(req.run.clone());
    }

    fn remember(&mut self, id: RunId) {
        self.order.push_back(id);
        if self.order.len() > KEPT_RUNS
            && let Some(old) = self.order.pop_front()
            && let Ok(place) = self.find(&old)
        {
            self.runs.remove(place);
        }
    }

    /// Looks the prompt's leading blocks up and caches them all. Cached tokens.
    fn read_prefix(&mut self, prompt: &str) -> u64 {
        let mut cached = 0;
        let mut leading = true;
        for end in (BLOCK..=prompt.len()).step_by(BLOCK) {
            let block = Digest::of(&prompt.as_bytes()[..end]);
            self.hits.1 += 1;
            let found = self.cache.iter().position(|d| *d == block);
            leading &= found.is_some();
            if leading {
                self.hits.0 += 1;
                cached += (BLOCK / BYTES_PER_TOKEN) as u64;
            }
            if let Some(place) = found {
                self.cache.remove(place);
            }
            self.cache.push_back(block);
        }
        let surplus = self.cache.len().saturating_sub(self.size.cache_blocks);
        self.cache.drain(..surplus);
        cached
    }

    /// Stops a run. One that is not known is remembered as cancelled, and never starts.
    pub fn cancel(&mut self, id: &RunId) -> Cancelled {
        match self.find(id) {
            Ok(place) => {
                let run = &mut self.runs[place];
                let usage = run.usage();
                match run.state {
                    RunState::Ended => Cancelled::Ended(usage),
                    RunState::Cancelled if usage.tokens == 0 => Cancelled::NeverRan,
                    _ => {
                        run.state = RunState::Cancelled;
                        Cancelled::Stopped(usage)
                    }
                }
            }
            Err(place) => {
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
                self.runs.insert(place, run);
                self.remember(id.clone());
                Cancelled::NeverRan
            }
        }
    }

    /// One step of the engine: fills the batch by priority, then every run in it gets a token or
    /// reads on in its prompt. Whether anything moved.
    pub fn step(&mut self) -> bool {
        self.fill();
        let mut moved = false;
        let mut prefill = PREFILL_PER_STEP;
        let live = std::mem::take(&mut self.live);
        for id in &live {
            if let Ok(place) = self.find(id)
                && self.runs[place].state == RunState::Active
            {
                moved = true;
                prefill -= step_run(&mut self.runs[place], prefill);
            }
        }
        self.live = live;
        self.live.retain(|id| {
            self.runs.binary_search_by(|r| r.id.cmp(id)).is_ok_and(|at| !self.runs[at].is_over())
        });
        moved
    }

    fn fill(&mut self) {
        let (active, queued) = self.load();
        let free = self.size.slots.saturating_sub(active as usize);
        if free == 0 || queued == 0 {
            return;
        }
        let mut waiting: Vec<(u8, usize)> = Vec::new();
        for (age, id) in self.live.iter().enumerate() {
            waiting.extend(
                self.run(id).filter(|r| r.state == RunState::Queued).map(|r| (r.priority, age)),
            );
        }
        waiting.sort_by_key(|(priority, age)| (u8::MAX - priority, *age));
        for (_, age) in waiting.into_iter().take(free) {
            if let Ok(place) = self.find(&self.live[age]) {
                self.runs[place].state = RunState::Active;
            }
        }
    }
}

/// One step of an active run. Prompt tokens read, out of `prefill`.
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
