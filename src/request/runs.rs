//! The requests of one router by key: running ones can be joined, ended ones replayed.

use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;
use tokio::sync::watch;

use super::answer::{Assembler, Taken};
use crate::engine::{RunPiece, RunUsage, ServiceAnswer};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Millis, OrganisationId, RequestKey, RunId, TargetId};

/// Ended requests are kept this long for callers that retry.
const KEEP: Millis = Millis(120_000);
/// Bytes of ended answers kept at most, oldest dropped first.
const KEEP_BYTES: usize = 64 << 20;

/// How a request ended.
#[derive(Clone, Debug)]
pub enum End {
    /// A whole model answer.
    Whole(RunUsage, Digest),
    /// A plain service's answer.
    Service(ServiceAnswer),
    /// No answer.
    Failed(Error),
}

#[derive(Debug, Default)]
struct Progress {
    answer: Assembler,
    end: Option<End>,
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
    pub end: Option<End>,
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

    fn bump(&self) {
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
    pub fn place(&self) -> Option<(RunId, TargetId)> {
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
    /// As [`Assembler::take`].
    pub fn take(&self, run: &RunId, part: RunPiece) -> Result<Taken> {
        let taken = self.lock().answer.take(run, part)?;
        if taken == Taken::Grew {
            self.bump();
        }
        Ok(taken)
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
    pub fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.bump();
    }

    /// Whether it ended.
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    fn failed_not_run(&self) -> bool {
        matches!(&self.lock().end, Some(End::Failed(e)) if e.kind.answer().retryable)
    }
}

#[derive(Debug)]
struct Kept {
    run: Arc<Run>,
    since: Millis,
}

/// All requests that this router knows.
#[derive(Debug, Default)]
pub struct Runs {
    kept: Vec<Kept>,
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
        self.kept.binary_search_by(|k| (&k.run.organisation, &k.run.key).cmp(&(organisation, key)))
    }

    /// The run of a key, if it is known.
    pub fn get(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<Arc<Run>> {
        self.find(organisation, key).ok().map(|place| self.kept[place].run.clone())
    }

    /// Finds the request of that key, or adds it. One that ended with an error that can be
    /// retried is replaced.
    ///
    /// # Errors
    /// `KeyReused` when the key belongs to other content.
    pub fn open(&mut self, now: Millis, new: Run) -> Result<Lookup> {
        match self.find(&new.organisation, &new.key) {
            Ok(place) if self.kept[place].run.content != new.content => {
                let message = "this idempotency key belongs to a request with other content";
                Err(Error::new(Kind::KeyReused, message))
            }
            Ok(place) if self.kept[place].run.failed_not_run() => {
                let run = Arc::new(new);
                self.kept[place] = Kept { run: run.clone(), since: now };
                Ok(Lookup::New(run))
            }
            Ok(place) => Ok(Lookup::Known(self.kept[place].run.clone())),
            Err(place) => {
                let run = Arc::new(new);
                self.kept.insert(place, Kept { run: run.clone(), since: now });
                Ok(Lookup::New(run))
            }
        }
    }

    /// Forgets ended requests that are old, or that take too much memory together.
    pub fn expire(&mut self, now: Millis) {
        self.kept.retain(|k| !k.run.has_ended() || now.since(k.since) < KEEP);
        let size = |k: &Kept| k.run.len() * size_of::<CompactString>();
        let mut bytes: usize = self.kept.iter().map(size).sum();
        if bytes <= KEEP_BYTES {
            return;
        }
        let mut ages: Vec<Millis> = self.kept.iter().map(|k| k.since).collect();
        ages.sort();
        for age in ages {
            if bytes <= KEEP_BYTES {
                return;
            }
            self.kept.retain(|k| !(k.since <= age && k.run.has_ended()));
            bytes = self.kept.iter().map(size).sum();
        }
    }

    /// Requests that have not ended.
    pub fn running(&self) -> usize {
        self.kept.iter().filter(|k| !k.run.has_ended()).count()
    }

    /// All requests known, ended ones too.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
