//! Drives one model request from admission to its bill.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use compact_str::CompactString;
use tokio::time::{Instant, timeout, timeout_at};

use super::gates::Visitor;
use super::node::{Counts, Node};
use super::session::{Held, Purpose, Session};
use crate::budget::ledger::Bill;
use crate::engine::{Engine, Parts, RunUsage, StartRun};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, OrganisationId, RequestKey, RunId, TargetId, Tokens};
use crate::membership::view::Entry;
use crate::membership::wire::{Ask, Found, Mesh, Reply};
use crate::request::answer::PieceResult;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::{Next, Repeatable, Stage, after_failure};
use crate::route::picker::Choice;
use crate::table::Platform;

/// Attempts of one request at most, resumptions at the same target not counted.
pub const MAX_ATTEMPTS: usize = 5;
/// Resumptions of a broken stream at the same target before another is tried.
const MAX_RESUMES: u32 = 2;
/// Silence after which a stream is taken for broken.
const SILENCE: Duration = Duration::from_secs(4);
/// Time without any caller after which a request is cancelled.
const LINGER: Duration = Duration::from_secs(20);
/// Questions whether a request that another router admitted has started.
const FIND_ATTEMPTS: u32 = 40;
/// Pause between them.
const FIND_PAUSE: Duration = Duration::from_millis(50);
/// Further attempts to hold tokens while a router's are in doubt.
const DOUBT_ATTEMPTS: u32 = 6;
/// Pause between them.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);
/// Bytes of the prompt that make up its prefix for affinity.
const PREFIX: usize = 1_024;

/// A model request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Who may pass the gate.
    pub visitor: Visitor,
    /// The model.
    pub model: CompactString,
    /// The prompt.
    pub prompt: String,
    /// Answer tokens at most.
    pub max_tokens: u64,
    /// The largest cost.
    pub amount: Tokens,
    /// When the answer must be whole.
    pub deadline: Duration,
    /// Whether the caller chose the key, so that others may know it.
    pub own_key: bool,
}

/// Digest of the leading part of a prompt.
pub fn prefix_of(prompt: &str) -> u64 {
    if prompt.len() < PREFIX / 4 {
        0
    } else {
        Digest::of(&prompt.as_bytes()[..prompt.len().min(PREFIX)]).first_u64()
    }
}

/// Asks the routers that may know a key.
pub async fn find_elsewhere<P: Platform, E: Engine, M: Mesh>(
    node: &Node<P, E, M>,
    organisation: &OrganisationId,
    key: &RequestKey,
) -> Option<Found> {
    // This router may itself keep the copy of a dead one.
    if let Some(found) = node.found_copy(organisation, key) {
        return Some(found);
    }
    let others = node.others_for(organisation);
    let ask = || Ask::Find { organisation: organisation.clone(), key: key.clone() };
    let replies =
        futures_util::future::join_all(others.iter().map(|o| node.mesh.ask(o, ask()))).await;
    let mut found: Vec<Found> = replies
        .into_iter()
        .filter_map(|r| if let Ok(Reply::Found(f)) = r { f } else { None })
        .collect();
    let started = found.iter().position(|f| f.run.is_some()).unwrap_or(0);
    (!found.is_empty()).then(|| found.swap_remove(started))
}

/// Finds the request of that key, or starts the new one.
///
/// # Errors
/// `KeyReused` when the key belongs to other content.
pub fn open_run<P: Platform, E: Engine, M: Mesh>(
    node: &Arc<Node<P, E, M>>,
    new: Run,
    job: Job,
) -> Result<Arc<Run>> {
    node.open(new, |run| drive(node.clone(), run, job))
}

/// Drives `run` to its end. Whatever happens, its callers are told.
pub async fn drive<P: Platform, E: Engine, M: Mesh>(
    node: Arc<Node<P, E, M>>,
    run: Arc<Run>,
    job: Job,
) {
    if job.own_key && join_elsewhere(&node, &run, &job).await {
        return;
    }
    let began = node.now();
    if let Err(e) = node.gates.enter(began, &job.visitor).await {
        return refuse(&node, &run, e);
    }
    let entered = node.now();
    let deadline = Instant::now() + job.deadline;
    let mut attempt =
        Attempt { node: &node, run: &run, job: &job, deadline, tried: Vec::new(), held: None };
    let end = attempt.run_to_end().await;
    node.gates.leave(node.now(), &job.visitor, node.now().since(entered));
    Counts::add(match &end {
        RunEnd::Failed(_) => &node.counts.refused,
        _ => &node.counts.answered,
    });
    // A metrics sink that fails must not fail a request.
    let _ = node.metrics.time("request.total", node.now().since(began).0);
    if let RunEnd::Failed(e) = &end {
        log::info!(
            "request=failed org={} key={} kind={} error={:?}",
            run.organisation,
            run.key,
            e.kind,
            e.message
        );
    }
    run.end(end);
}

fn refuse<P: Platform, E: Engine, M: Mesh>(node: &Node<P, E, M>, run: &Run, e: Error) {
    Counts::add(&node.counts.refused);
    log::info!("request=refused org={} key={} kind={}", run.organisation, run.key, e.kind);
    run.end(RunEnd::Failed(e));
}

/// Joins a run that another router admitted. Whether the request is dealt with.
async fn join_elsewhere<P: Platform, E: Engine, M: Mesh>(
    node: &Arc<Node<P, E, M>>,
    run: &Run,
    job: &Job,
) -> bool {
    for _ in 0..FIND_ATTEMPTS {
        let Some(found) = find_elsewhere(node, &run.organisation, &run.key).await else {
            return false;
        };
        if found.content != run.content {
            let message = "this idempotency key belongs to a request with other content";
            refuse(node, run, Error::new(Kind::KeyReused, message));
            return true;
        }
        if let Some((id, target)) = found.run
            && let Some(usage) = follow(node, run, &id, &target, job.deadline).await
        {
            Counts::add(&node.counts.joined);
            Counts::add(&node.counts.answered);
            run.end(RunEnd::Complete(usage, run.digest()));
            return true;
        }
        tokio::time::sleep(FIND_PAUSE).await;
    }
    false
}

async fn follow<P: Platform, E: Engine, M: Mesh>(
    node: &Arc<Node<P, E, M>>,
    run: &Run,
    id: &RunId,
    target: &TargetId,
    limit: Duration,
) -> Option<RunUsage> {
    let addr = node.lock_picker().addr(target)?;
    log::info!("route=join org={} key={} run={id} target={target}", run.organisation, run.key);
    run.dispatched(id, target);
    let read = async {
        let mut parts = node.engine.resume(&addr, id, run.len() as u64).await?;
        read_parts(run, id, &mut parts).await
    };
    timeout(limit, read).await.ok()?.ok()
}

/// Reads a stream to its end.
async fn read_parts<S: Parts>(run: &Run, id: &RunId, parts: &mut S) -> Result<RunUsage> {
    let mut alone = Instant::now();
    loop {
        let broke = || Error::new(Kind::TargetFailed, "the stream broke off");
        let silent = |_| Error::new(Kind::TargetFailed, "the target went silent");
        let part = timeout(SILENCE, parts.next()).await.map_err(silent)??.ok_or_else(broke)?;
        if let PieceResult::Complete(usage) = run.append_part(id, part)? {
            return Ok(usage);
        }
        if run.followers() > 0 {
            alone = Instant::now();
        } else if alone.elapsed() > LINGER {
            return Err(Error::new(Kind::RunLost, "nobody waits for the answer"));
        }
    }
}

struct Attempt<'a, P: Platform, E: Engine, M: Mesh> {
    node: &'a Arc<Node<P, E, M>>,
    run: &'a Arc<Run>,
    job: &'a Job,
    deadline: Instant,
    tried: Vec<TargetId>,
    held: Option<Reserved<P, M>>,
}

/// A hold, and the incarnation that made it: a router that joined again meanwhile has another.
pub struct Reserved<P: Platform, M: Mesh> {
    /// The incarnation.
    pub session: Arc<Session<P, M>>,
    /// The hold.
    pub held: Held,
    /// What it is for.
    pub purpose: Purpose,
}

impl<P: Platform, M: Mesh> Reserved<P, M> {
    /// Bills what was used.
    pub async fn settle(self, usage: RunUsage) {
        let cost = Tokens(usage.prompt_tokens).plus(Tokens(usage.tokens));
        self.session.settle(self.held, &self.purpose, cost).await;
    }

    /// Bills nothing: there was no answer.
    pub async fn cancel(self) {
        self.session.cancel(self.held).await;
    }
}

impl<P: Platform, E: Engine, M: Mesh> Attempt<'_, P, E, M> {
    async fn run_to_end(&mut self) -> RunEnd {
        let late = |_| Error::new(Kind::Timeout, "the answer was not whole before its deadline");
        let ended = timeout_at(self.deadline, self.attempts()).await.map_err(late).flatten();
        let reserved = self.held.take();
        match ended {
            Ok(usage) => {
                if let Some(r) = reserved {
                    r.settle(usage).await;
                }
                RunEnd::Complete(usage, self.run.digest())
            }
            Err(e) => {
                self.clean_up(reserved, &e).await;
                RunEnd::Failed(e)
            }
        }
    }

    /// A request without a whole answer costs nothing, except one that its caller left: that is
    /// billed as far as it ran.
    async fn clean_up(&self, reserved: Option<Reserved<P, M>>, e: &Error) {
        let stopped = match self.run.execution() {
            Some((id, target)) => self.stop_run(&id, &target).await,
            None => None,
        };
        let Some(reserved) = reserved else { return };
        match stopped {
            Some(usage) if e.kind == Kind::RunLost && usage.tokens > 0 => {
                reserved.settle(usage).await
            }
            _ => reserved.cancel().await,
        }
    }

    async fn stop_run(&self, id: &RunId, target: &TargetId) -> Option<RunUsage> {
        use crate::engine::Cancelled;
        let addr = self.node.lock_picker().addr(target)?;
        match self.node.engine.cancel(&addr, id).await.ok()? {
            Cancelled::NeverRan => None,
            Cancelled::Stopped(usage) | Cancelled::Ended(usage) => Some(usage),
        }
    }

    async fn attempts(&mut self) -> Result<RunUsage> {
        self.node.retries.lock().expect("never poisoned").earn();
        let id = self.node.session().new_run();
        loop {
            let choice = self.choose()?;
            self.reserve(&id, &choice).await?;
            self.run.dispatched(&id, &choice.id);
            let (stage, e) = match self.attempt(&id, &choice).await {
                Ok(usage) => return Ok(usage),
                Err(failed) => failed,
            };
            self.log_failure(&id, &choice, &e);
            if e.kind == Kind::RunLost && stage == Stage::Streaming {
                return Err(e);
            }
            self.tried.push(choice.id);
            let more = self.tried.len() < MAX_ATTEMPTS;
            let budget = more && self.node.retries.lock().expect("never poisoned").try_spend();
            match after_failure(stage, Repeatable::Yes, e.kind, budget) {
                Next::Retry => Counts::add(&self.node.counts.retries),
                Next::GiveUp(kind) => return Err(Error::new(kind, e.message)),
            }
        }
    }

    fn log_failure(&self, id: &RunId, choice: &Choice, e: &Error) {
        log::warn!(
            "attempt=failed org={} key={} run={id} target={} attempt={} kind={} error={:?}",
            self.run.organisation,
            self.run.key,
            choice.id,
            self.tried.len() + 1,
            e.kind,
            e.message
        );
    }

    fn choose(&self) -> Result<Choice> {
        let now = self.node.now();
        let prefix = prefix_of(&self.job.prompt);
        let mut picker = self.node.lock_picker();
        let choice = picker.pick(now, &self.job.model, prefix, &self.tried);
        // Every target was tried: one of them is better than none.
        let choice = choice.or_else(|| picker.pick(now, &self.job.model, prefix, &[]));
        drop(picker);
        let none = || {
            Error::new(Kind::NoTarget, format!("no target serves {} now", self.job.visitor.service))
        };
        let choice = choice.ok_or_else(none)?;
        log_choice(
            &self.run.organisation,
            &self.run.key,
            &self.job.visitor,
            &choice,
            self.tried.len() + 1,
        );
        Ok(choice)
    }

    async fn reserve(&mut self, id: &RunId, choice: &Choice) -> Result<()> {
        if let Some(r) = &mut self.held {
            r.purpose.target = choice.id.clone();
            let lost = |e: Error| Error::new(Kind::TargetFailed, e.message);
            return r.session.move_to(&r.held, &r.purpose).await.map_err(lost);
        }
        let session = self.node.session();
        let bill = Bill {
            organisation: self.run.organisation.clone(),
            key: self.run.key.clone(),
            content: self.run.content,
            budget: self.run.budget.clone(),
            run: id.clone(),
            cost: Tokens::ZERO,
        };
        let purpose = Purpose { amount: self.job.amount, bill, target: choice.id.clone() };
        let others = self.node.lenders_for(&self.run.organisation);
        let held = reserve_patiently(self.node, &session, &purpose, &others).await?;
        self.held = Some(Reserved { session, held, purpose });
        Ok(())
    }

    /// One dispatch, with resumptions of its stream.
    async fn attempt(
        &self,
        id: &RunId,
        choice: &Choice,
    ) -> std::result::Result<RunUsage, (Stage, Error)> {
        self.node.lock_picker().started(self.node.now(), &choice.id);
        let mut guard = InFlight { node: self.node, target: choice.id.clone(), ok: false };
        let result = self.stream(id, choice).await;
        guard.ok = result.is_ok();
        result
    }

    async fn stream(
        &self,
        id: &RunId,
        choice: &Choice,
    ) -> std::result::Result<RunUsage, (Stage, Error)> {
        let start = StartRun {
            run: id.clone(),
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.visitor.priority,
            so_far: self.run.tokens(),
        };
        let mut parts = match timeout(SILENCE, self.node.engine.start(&choice.addr, &start)).await {
            Ok(started) => started.map_err(|e| (Stage::Dispatched, e))?,
            Err(_) => {
                return Err((
                    Stage::Dispatched,
                    Error::new(Kind::TargetFailed, "the target is silent"),
                ));
            }
        };
        let mut resumes = 0;
        loop {
            match read_parts(self.run, id, &mut parts).await {
                Ok(usage) => return Ok(usage),
                Err(e) if resumes == MAX_RESUMES || e.kind == Kind::RunLost => {
                    return Err((Stage::Streaming, e));
                }
                Err(e) => {
                    log::info!("stream=resume run={id} target={} error={:?}", choice.id, e.message)
                }
            }
            resumes += 1;
            let from = self.run.len() as u64;
            let resumed = self.node.engine.resume(&choice.addr, id, from).await;
            // A target that forgot the run failed; only a caller that left makes a run lost.
            let failed = |e: Error| (Stage::Streaming, Error::new(Kind::TargetFailed, e.message));
            parts = resumed.map_err(failed)?;
        }
    }
}

/// Holds tokens; while a router that may have some of the same budget has just fallen silent, a
/// refusal waits for what its witness gives back.
///
/// # Errors
/// As [`Session::reserve`].
pub async fn reserve_patiently<P: Platform, E: Engine, M: Mesh>(
    node: &Node<P, E, M>,
    session: &Arc<Session<P, M>>,
    purpose: &Purpose,
    others: &[Entry],
) -> Result<Held> {
    let mut attempt = 0;
    loop {
        let refused = match session.reserve(purpose, others).await {
            Ok(held) => return Ok(held),
            Err(e) => e,
        };
        attempt += 1;
        let doubtful = node.lock_view().has_doubtful(node.now());
        if refused.kind != Kind::BudgetExhausted || !doubtful || attempt > DOUBT_ATTEMPTS {
            return Err(superseded(refused));
        }
        tokio::time::sleep(DOUBT_PAUSE).await;
    }
}

/// To a caller, a router that was superseded is one that cannot reach the ledger for a moment.
pub fn superseded(e: Error) -> Error {
    if e.kind == Kind::Fenced { Error::new(Kind::PlatformAway, e.message) } else { e }
}

/// Counts a run at its target, whatever way it ends.
struct InFlight<'a, P: Platform, E: Engine, M: Mesh> {
    node: &'a Node<P, E, M>,
    target: TargetId,
    ok: bool,
}

impl<P: Platform, E: Engine, M: Mesh> Drop for InFlight<'_, P, E, M> {
    fn drop(&mut self) {
        self.node.lock_picker().ended(self.node.now(), &self.target, self.ok);
    }
}

/// One line per routing decision, enough to tell why.
pub fn log_choice(
    organisation: &OrganisationId,
    key: &RequestKey,
    v: &Visitor,
    c: &Choice,
    attempt: usize,
) {
    let (next, next_load) = match &c.next {
        Some((id, load)) => (id.as_str(), *load),
        None => ("-", 0),
    };
    log::info!(
        "route=choose org={organisation} key={key} service={} target={} load={} affinity={} next={next} \
         next_load={next_load} candidates={} attempt={attempt}",
        v.service,
        c.id,
        c.load,
        c.affinity,
        c.candidates
    );
}
