//! The requests of one router by key: running ones can be joined, ended ones replayed.

use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;
use tokio::sync::watch;

use super::answer::{AnswerAssembler, PieceResult};
use crate::engine::{Part, RunUsage, ServiceAnswer};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Millis, OrganisationId, RequestKey, RunId, TargetId};

/// Ended requests are kept this long for callers that retry.
const ENDED_RUN_RETENTION: Millis = Millis(120_000);
/// Bytes of ended answers kept at most, oldest dropped first.
const MAX_RETAINED_BYTES: usize = 64 << 20;

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RunEnd {
    /// A whole model answer.
    Complete(RunUsage, Digest),
    /// A plain service's answer.
    Service(ServiceAnswer),
    /// No answer.
    Failed(Error),
}

#[derive(Debug, Default)]
struct Progress {
    answer: AnswerAssembler,
    end: Option<RunEnd>,
    target: Option<TargetId>,
    run: Option<RunId>,
}

/// One request, shared between its driver and any number of callers.
#[derive(Debug)]
pub struct Run {
    /// Who asks.
    pub organisation: OrganisationId,
    /// The caller's key, or one that was made up.
    pub key: RequestKey,
    /// Digest of the content.
    pub content: Digest,
    /// The budget that pays.
    pub budget: BudgetId,
    progress: Mutex<Progress>,
    version: watch::Sender<u64>,
}

/// A view of a run's progress from some token on.
#[derive(Clone, Debug)]
pub struct View {
    /// Tokens from there on.
    pub tokens: Vec<CompactString>,
    /// The end, once there is one.
    pub end: Option<RunEnd>,
    /// The execution behind it, once there is one.
    pub run: Option<RunId>,
}

impl Run {
    /// A request that has not begun.
    pub fn new(
        organisation: OrganisationId,
        key: RequestKey,
        content: Digest,
        budget: BudgetId,
    ) -> Run {
        let progress = Mutex::default();
        Run { organisation, key, content, budget, progress, version: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no code panics while it holds a run")
    }

    fn notify_followers(&self) {
        self.version.send_modify(|n| *n += 1);
    }

    /// Follows the progress. Callers read at their own pace from the one copy of the answer, so
    /// a slow one costs no memory beyond it.
    pub fn follow(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Callers that follow.
    pub fn followers(&self) -> usize {
        self.version.receiver_count()
    }

    /// The progress from a token on.
    pub fn view(&self, from: usize) -> View {
        let p = self.lock();
        let tokens = p.answer.tokens().get(from..).unwrap_or_default().to_vec();
        View { tokens, end: p.end.clone(), run: p.run.clone() }
    }

    /// Where it executes.
    pub fn execution(&self) -> Option<(RunId, TargetId)> {
        let p = self.lock();
        Some((p.run.clone()?, p.target.clone()?))
    }

    /// Tokens so far.
    pub fn tokens(&self) -> Vec<CompactString> {
        self.lock().answer.tokens().to_vec()
    }

    /// How many tokens there are.
    pub fn len(&self) -> usize {
        self.lock().answer.tokens().len()
    }

    /// Whether no token has come.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// It executes at `target` as `run` from now on.
    pub fn dispatched(&self, run: &RunId, target: &TargetId) {
        let mut p = self.lock();
        p.run = Some(run.clone());
        p.target = Some(target.clone());
    }

    /// Takes a piece. An end is not shown to callers yet: that is for [`Run::end`], after the bill.
    ///
    /// # Errors
    /// As [`AnswerAssembler::append_part`].
    pub fn append_part(&self, run: &RunId, part: Part) -> Result<PieceResult> {
        let result = self.lock().answer.append_part(run, part)?;
        if result == PieceResult::Appended {
            self.notify_followers();
        }
        Ok(result)
    }

    /// Digest of the answer.
    pub fn digest(&self) -> Digest {
        self.lock().answer.digest()
    }

    /// Pieces that were dropped.
    pub fn dropped(&self) -> u64 {
        self.lock().answer.dropped
    }

    /// Shows the end to all callers.
    pub fn end(&self, end: RunEnd) {
        self.lock().end.get_or_insert(end);
        self.notify_followers();
    }

    /// Whether it ended.
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    fn failed_retryable(&self) -> bool {
        matches!(&self.lock().end, Some(RunEnd::Failed(e)) if e.kind.answer().retryable)
    }
}

#[derive(Debug)]
struct RunEntry {
    run: Arc<Run>,
    since: Millis,
}

/// All requests that this router knows.
#[derive(Debug, Default)]
pub struct Runs {
    known_runs: Vec<RunEntry>,
}

/// What a key leads to.
#[derive(Debug)]
pub enum Lookup {
    /// A new request; its driver has to be started.
    New(Arc<Run>),
    /// A known one.
    Known(Arc<Run>),
}

impl Runs {
    fn find(
        &self,
        organisation: &OrganisationId,
        key: &RequestKey,
    ) -> std::result::Result<usize, usize> {
        self.known_runs
            .binary_search_by(|k| (&k.run.organisation, &k.run.key).cmp(&(organisation, key)))
    }

    /// The run of a key, if it is known.
    pub fn get(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<Arc<Run>> {
        self.find(organisation, key).ok().map(|index| self.known_runs[index].run.clone())
    }

    /// Finds the request of that key, or adds it. One that ended with an error that can be
    /// retried is replaced.
    ///
    /// # Errors
    /// `KeyReused` when the key belongs to other content.
    pub fn open(&mut self, now: Millis, new: Run) -> Result<Lookup> {
        match self.find(&new.organisation, &new.key) {
            Ok(index) if self.known_runs[index].run.content != new.content => {
                let message = "this idempotency key belongs to a request with other content";
                Err(Error::new(Kind::KeyReused, message))
            }
            Ok(index) if self.known_runs[index].run.failed_retryable() => {
                let run = Arc::new(new);
                self.known_runs[index] = RunEntry { run: run.clone(), since: now };
                Ok(Lookup::New(run))
            }
            Ok(index) => Ok(Lookup::Known(self.known_runs[index].run.clone())),
            Err(index) => {
                let run = Arc::new(new);
                self.known_runs.insert(index, RunEntry { run: run.clone(), since: now });
                Ok(Lookup::New(run))
            }
        }
    }

    /// Forgets ended requests that are old, or that take too much memory together.
    pub fn expire(&mut self, now: Millis) {
        self.known_runs.retain(|k| !k.run.has_ended() || now.since(k.since) < ENDED_RUN_RETENTION);
        let size = |k: &RunEntry| k.run.len() * size_of::<CompactString>();
        let mut bytes: usize = self.known_runs.iter().map(size).sum();
        if bytes <= MAX_RETAINED_BYTES {
            return;
        }
        let mut times: Vec<Millis> = self.known_runs.iter().map(|k| k.since).collect();
        times.sort();
        for cutoff in times {
            if bytes <= MAX_RETAINED_BYTES {
                return;
            }
            self.known_runs.retain(|k| !(k.since <= cutoff && k.run.has_ended()));
            bytes = self.known_runs.iter().map(size).sum();
        }
    }

    /// Requests that have not ended.
    pub fn running(&self) -> usize {
        self.known_runs.iter().filter(|k| !k.run.has_ended()).count()
    }

    /// All requests known, ended ones too.
    pub fn len(&self) -> usize {
        self.known_runs.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known_runs.is_empty()
    }
}
