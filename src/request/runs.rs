//! Requests of one router by idempotency key. Callers can join a running request and replay an
//! ended one.

use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;
use tokio::sync::watch;

use super::answer::{AnswerAssembler, PieceResult};
use crate::engine::{RunPiece, RunUsage, ServiceAnswer};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Millis, OrganisationId, RequestKey, RunId, TargetId};

/// Time, from their start, for which ended requests are kept for callers that retry.
const ENDED_RUN_RETENTION: Millis = Millis(120_000);
/// Maximum total size of the answers kept. Beyond it, the oldest ended requests are dropped first.
const MAX_RETAINED_BYTES: usize = 64 << 20;

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RunEnd {
    /// With a complete answer of a model.
    Complete(RunUsage, Digest),
    /// With the answer of a plain service.
    Service(ServiceAnswer),
    /// Without an answer.
    Failed(Error),
}

#[derive(Debug, Default)]
struct Progress {
    answer: AnswerAssembler,
    end: Option<RunEnd>,
    target: Option<TargetId>,
    run: Option<RunId>,
}

/// One request, shared between the task that drives it and any number of callers. Not to be confused
/// with its run at a target, which is identified by a [`RunId`].
#[derive(Debug)]
pub struct Run {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Idempotency key from the caller, or a generated one.
    pub key: RequestKey,
    /// Digest of the request's content.
    pub content: Digest,
    /// Budget that pays for the request.
    pub budget: BudgetId,
    progress: Mutex<Progress>,
    version: watch::Sender<u64>,
}

/// Progress of a request from a given token on.
#[derive(Clone, Debug)]
pub struct View {
    /// Tokens from the requested offset on.
    pub tokens: Vec<CompactString>,
    /// How the request ended; `None` while it is running.
    pub end: Option<RunEnd>,
    /// Id of the current run at a target; `None` before the first dispatch.
    pub run: Option<RunId>,
}

impl Run {
    /// Creates a request that is not dispatched yet.
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

    /// Subscribes to changes of the progress. Callers read at their own pace from one shared copy
    /// of the answer, so a slow caller needs no buffer of its own.
    pub fn follow(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Number of callers that follow the request.
    pub fn followers(&self) -> usize {
        self.version.receiver_count()
    }

    /// Returns the progress from token `from` on.
    pub fn view(&self, from: usize) -> View {
        let p = self.lock();
        let tokens = p.answer.tokens().get(from..).unwrap_or_default().to_vec();
        View { tokens, end: p.end.clone(), run: p.run.clone() }
    }

    /// Returns the current run and its target; `None` before the first dispatch.
    pub fn execution(&self) -> Option<(RunId, TargetId)> {
        let p = self.lock();
        Some((p.run.clone()?, p.target.clone()?))
    }

    /// Returns the tokens received so far.
    pub fn tokens(&self) -> Vec<CompactString> {
        self.lock().answer.tokens().to_vec()
    }

    /// Returns the number of tokens received so far.
    pub fn len(&self) -> usize {
        self.lock().answer.tokens().len()
    }

    /// Returns whether no token has been received yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that the request now runs at `target` as `run`.
    pub fn dispatched(&self, run: &RunId, target: &TargetId) {
        let mut p = self.lock();
        p.run = Some(run.clone());
        p.target = Some(target.clone());
    }

    /// Adds a piece of `run` to the answer. The end of the answer becomes visible to callers only
    /// with [`Run::end`], after the bill is safe.
    ///
    /// # Errors
    ///
    /// Same as [`AnswerAssembler::append_piece`].
    pub fn append_piece(&self, run: &RunId, run_piece: RunPiece) -> Result<PieceResult> {
        let result = self.lock().answer.append_piece(run, run_piece)?;
        if result == PieceResult::Appended {
            self.notify_followers();
        }
        Ok(result)
    }

    /// Returns the digest of the answer's text.
    pub fn digest(&self) -> Digest {
        self.lock().answer.digest()
    }

    /// Returns the number of dropped pieces.
    pub fn dropped(&self) -> u64 {
        self.lock().answer.dropped
    }

    /// Ends the request and makes the end visible to all callers. Only the first call has an
    /// effect.
    pub fn end(&self, end: RunEnd) {
        self.lock().end.get_or_insert(end);
        self.notify_followers();
    }

    /// Returns whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    fn failed_retryable(&self) -> bool {
        matches!(&self.lock().end, Some(RunEnd::Failed(e)) if e.kind.attrs().retryable)
    }
}

#[derive(Debug)]
struct RunEntry {
    run: Arc<Run>,
    since: Millis,
}

/// All requests known to this router, sorted by organisation and key.
#[derive(Debug, Default)]
pub struct Runs {
    known_runs: Vec<RunEntry>,
}

/// Result of [`Runs::open`].
#[derive(Debug)]
pub enum Lookup {
    /// The request was added, and the caller has to start the task that drives it.
    New(Arc<Run>),
    /// The request was already known.
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

    /// Returns the request with this key, if it is known.
    pub fn get(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<Arc<Run>> {
        self.find(organisation, key).ok().map(|index| self.known_runs[index].run.clone())
    }

    /// Returns the request with the key of `new`, or adds `new`. A known request that ended with a
    /// retryable error is replaced.
    ///
    /// # Errors
    ///
    /// Returns `KeyReused` if the key belongs to a request with other content.
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

    /// Drops ended requests that are older than the retention time, and the oldest ones while the
    /// answers exceed the memory limit.
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

    /// Number of requests that have not ended.
    pub fn running(&self) -> usize {
        self.known_runs.iter().filter(|k| !k.run.has_ended()).count()
    }

    /// Number of known requests, including ended ones.
    pub fn len(&self) -> usize {
        self.known_runs.len()
    }

    /// Returns whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.known_runs.is_empty()
    }
}
