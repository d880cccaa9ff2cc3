//! Drives one model request from admission until it is billed.

use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use compact_str::CompactString;
use tokio::time::{Instant, timeout, timeout_at};

use super::gates::AdmissionRequest;
use super::node::{Counts, Node};
use super::session::{HeldTokens, HoldSpec, Session};
use crate::budget::ledger::Bill;
use crate::engine::{Engine, PieceStream, RunUsage, StartRun};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, OrganisationId, RequestKey, RunId, TargetId, Tokens};
use crate::membership::view::RouterInfo;
use crate::membership::wire::{KnownRequest, PeerClient, PeerReply, PeerRequest};
use crate::request::answer::PieceResult;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::{Next, Repeatable, Stage, after_failure};
use crate::route::picker::Choice;
use crate::table::Platform;

/// Maximum number of attempts for one request. Resumptions at the same target are not counted.
pub const MAX_ATTEMPTS: usize = 5;
/// Maximum number of times that a broken stream is resumed at the same target before another target
/// is tried.
const MAX_RESUMES: u32 = 2;
/// Time without data after which a stream, or a dispatch without a reply, counts as failed.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without any following caller after which a request is cancelled.
const NO_CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of queries for whether a request admitted by another router has started.
const MAX_FIND_ATTEMPTS: u32 = 40;
/// Interval between these queries.
const FIND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of retries of a reservation while a router is suspected to be dead and its tokens
/// may be reclaimed.
const MAX_SUSPECT_RETRIES: u32 = 6;
/// Interval between these retries.
const SUSPECT_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Length of the prompt prefix, in bytes, that decides which target a request has affinity to.
const AFFINITY_PREFIX_BYTES: usize = 1_024;

/// A model request, ready to be driven.
#[derive(Clone, Debug)]
pub struct ModelJob {
    /// Parameters for admission.
    pub admission: AdmissionRequest,
    /// Name of the model at the targets.
    pub model: CompactString,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of answer tokens.
    pub max_tokens: u64,
    /// Largest possible cost.
    pub amount: Tokens,
    /// Time limit for the complete answer.
    pub deadline: Duration,
    /// Whether the caller chose the idempotency key, so that other routers may already know it.
    pub key_from_caller: bool,
}

/// Returns a digest of the first bytes of a prompt, or 0 if the prompt is too short for affinity.
pub fn prompt_prefix_digest(prompt: &str) -> u64 {
    if prompt.len() < AFFINITY_PREFIX_BYTES / 4 {
        0
    } else {
        Digest::of(&prompt.as_bytes()[..prompt.len().min(AFFINITY_PREFIX_BYTES)]).first_u64()
    }
}

/// Asks the routers that may know a request with this key. Prefers an answer that names a run.
pub async fn find_at_peers<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    organisation: &OrganisationId,
    key: &RequestKey,
) -> Option<KnownRequest> {
    // This router may itself be the witness of a dead router and have its copy.
    if let Some(found) = node.find_copy(organisation, key) {
        return Some(found);
    }
    let others = node.budget_peers(organisation);
    let new_request = || PeerRequest::Find { organisation: organisation.clone(), key: key.clone() };
    let replies = futures_util::future::join_all(
        others.iter().map(|o| node.peer_client.rpc(o, new_request())),
    )
    .await;
    let mut found: Vec<KnownRequest> = replies
        .into_iter()
        .filter_map(|r| if let Ok(PeerReply::Found(f)) = r { f } else { None })
        .collect();
    let started = found.iter().position(|f| f.run.is_some()).unwrap_or(0);
    (!found.is_empty()).then(|| found.swap_remove(started))
}

/// Returns the request with the same key, or starts driving `new`.
///
/// # Errors
///
/// Returns `KeyReused` if the key belongs to a request with other content.
pub fn open_run<P: Platform, E: Engine, M: PeerClient>(
    node: &Arc<Node<P, E, M>>,
    new: Run,
    job: ModelJob,
) -> Result<Arc<Run>> {
    node.open(new, |run| drive(node.clone(), run, job))
}

/// Drives `run` until it ends. The end is always set, so that callers never wait forever.
pub async fn drive<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    run: Arc<Run>,
    job: ModelJob,
) {
    if job.key_from_caller && join_at_peer(&node, &run, &job).await {
        return;
    }
    let began = node.now();
    if let Err(e) = node.gates.enter(began, &job.admission).await {
        return refuse(&node, &run, e);
    }
    let entered = node.now();
    let deadline = Instant::now() + job.deadline;
    let mut driver = RunDriver {
        node: &node,
        run: &run,
        job: &job,
        deadline,
        tried: Vec::new(),
        reservation: None,
    };
    let end = driver.run_to_end().await;
    node.gates.leave(node.now(), &job.admission, node.now().since(entered));
    Counts::add(match &end {
        RunEnd::Failed(_) => &node.counts.refused,
        _ => &node.counts.answered,
    });
    // A failing metrics sink must not fail a request.
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

fn refuse<P: Platform, E: Engine, M: PeerClient>(node: &Node<P, E, M>, run: &Run, e: Error) {
    Counts::add(&node.counts.refused);
    log::info!("request=refused org={} key={} kind={}", run.organisation, run.key, e.kind);
    run.end(RunEnd::Failed(e));
}

/// Joins a run that another router has admitted. Returns whether the request has ended.
async fn join_at_peer<P: Platform, E: Engine, M: PeerClient>(
    node: &Arc<Node<P, E, M>>,
    run: &Run,
    job: &ModelJob,
) -> bool {
    for _ in 0..MAX_FIND_ATTEMPTS {
        let Some(found) = find_at_peers(node, &run.organisation, &run.key).await else {
            return false;
        };
        if found.content != run.content {
            let message = "this idempotency key belongs to a request with other content";
            refuse(node, run, Error::new(Kind::KeyReused, message));
            return true;
        }
        if let Some((id, target)) = found.run
            && let Some(usage) = follow_run(node, run, &id, &target, job.deadline).await
        {
            Counts::add(&node.counts.joined);
            Counts::add(&node.counts.answered);
            run.end(RunEnd::Complete(usage, run.digest()));
            return true;
        }
        tokio::time::sleep(FIND_INTERVAL).await;
    }
    false
}

async fn follow_run<P: Platform, E: Engine, M: PeerClient>(
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
        let mut pieces = node.engine.resume(&addr, id, run.len() as u64).await?;
        read_pieces(run, id, &mut pieces).await
    };
    timeout(limit, read).await.ok()?.ok()
}

/// Reads a stream until the run ends.
async fn read_pieces<S: PieceStream>(run: &Run, id: &RunId, pieces: &mut S) -> Result<RunUsage> {
    let mut last_followed = Instant::now();
    loop {
        let broke = || Error::new(Kind::TargetFailed, "the stream broke off");
        let silent = |_| Error::new(Kind::TargetFailed, "the target went silent");
        let run_piece = timeout(STREAM_IDLE_TIMEOUT, pieces.next())
            .await
            .map_err(silent)??
            .ok_or_else(broke)?;
        if let PieceResult::Complete(usage) = run.append_piece(id, run_piece)? {
            return Ok(usage);
        }
        if run.followers() > 0 {
            last_followed = Instant::now();
        } else if last_followed.elapsed() > NO_CALLER_TIMEOUT {
            return Err(Error::new(Kind::RunLost, "nobody waits for the answer"));
        }
    }
}

/// State of driving one model request through its attempts.
struct RunDriver<'a, P: Platform, E: Engine, M: PeerClient> {
    node: &'a Arc<Node<P, E, M>>,
    run: &'a Arc<Run>,
    job: &'a ModelJob,
    deadline: Instant,
    tried: Vec<TargetId>,
    reservation: Option<Reservation<P, M>>,
}

/// A hold together with the session that made it. The router may have started a new session since.
pub struct Reservation<P: Platform, M: PeerClient> {
    /// Session that made the hold.
    pub session: Arc<Session<P, M>>,
    /// The held tokens.
    pub held: HeldTokens,
    /// Specification of the hold.
    pub spec: HoldSpec,
}

impl<P: Platform, M: PeerClient> Reservation<P, M> {
    /// Bills the tokens used.
    pub async fn settle(self, usage: RunUsage) {
        let cost = Tokens(usage.prompt_tokens).plus(Tokens(usage.tokens));
        self.session.settle(self.held, &self.spec, cost).await;
    }

    /// Releases the hold without a bill because there was no answer.
    pub async fn cancel(self) {
        self.session.cancel(self.held).await;
    }
}

impl<P: Platform, E: Engine, M: PeerClient> RunDriver<'_, P, E, M> {
    async fn run_to_end(&mut self) -> RunEnd {
        let late = |_| Error::new(Kind::Timeout, "the answer was not whole before its deadline");
        let ended = timeout_at(self.deadline, self.try_targets()).await.map_err(late).flatten();
        let unsettled = self.reservation.take();
        match ended {
            Ok(usage) => {
                if let Some(r) = unsettled {
                    r.settle(usage).await;
                }
                RunEnd::Complete(usage, self.run.digest())
            }
            Err(e) => {
                self.clean_up(unsettled, &e).await;
                RunEnd::Failed(e)
            }
        }
    }

    /// Stops the run and releases the hold. A request without a complete answer costs nothing,
    /// unless its callers left: then it is billed for the tokens generated so far.
    async fn clean_up(&self, reservation: Option<Reservation<P, M>>, e: &Error) {
        let stopped = match self.run.execution() {
            Some((id, target)) => self.stop_run(&id, &target).await,
            None => None,
        };
        let Some(reservation) = reservation else { return };
        match stopped {
            Some(usage) if e.kind == Kind::RunLost && usage.tokens > 0 => {
                reservation.settle(usage).await
            }
            _ => reservation.cancel().await,
        }
    }

    async fn stop_run(&self, id: &RunId, target: &TargetId) -> Option<RunUsage> {
        use crate::engine::CancelOutcome;
        let addr = self.node.lock_picker().addr(target)?;
        match self.node.engine.cancel(&addr, id).await.ok()? {
            CancelOutcome::NeverRan => None,
            CancelOutcome::Stopped(usage) | CancelOutcome::Ended(usage) => Some(usage),
        }
    }

    async fn try_targets(&mut self) -> Result<RunUsage> {
        self.node.retries.lock().expect("the lock is never poisoned").earn();
        let id = self.node.session().new_run_id();
        loop {
            let choice = self.choose()?;
            self.reserve(&id, &choice).await?;
            self.run.dispatched(&id, &choice.id);
            let (stage, e) = match self.dispatch_to(&id, &choice).await {
                Ok(usage) => return Ok(usage),
                Err(failed) => failed,
            };
            self.log_failure(&id, &choice, &e);
            if e.kind == Kind::RunLost && stage == Stage::Streaming {
                return Err(e);
            }
            self.tried.push(choice.id);
            let more = self.tried.len() < MAX_ATTEMPTS;
            let budget =
                more && self.node.retries.lock().expect("the lock is never poisoned").try_spend();
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
        let prefix = prompt_prefix_digest(&self.job.prompt);
        let mut picker = self.node.lock_picker();
        let choice = picker.pick(now, &self.job.model, prefix, &self.tried);
        // If every target has been tried, one of them is tried again.
        let choice = choice.or_else(|| picker.pick(now, &self.job.model, prefix, &[]));
        drop(picker);
        let none = || {
            Error::new(
                Kind::NoTarget,
                format!("no target serves {} now", self.job.admission.service),
            )
        };
        let choice = choice.ok_or_else(none)?;
        log_choice(
            &self.run.organisation,
            &self.run.key,
            &self.job.admission,
            &choice,
            self.tried.len() + 1,
        );
        Ok(choice)
    }

    async fn reserve(&mut self, id: &RunId, choice: &Choice) -> Result<()> {
        if let Some(r) = &mut self.reservation {
            r.spec.target = choice.id.clone();
            let unprotected = |e: Error| Error::new(Kind::TargetFailed, e.message);
            return r.session.change_target(&r.held, &r.spec).await.map_err(unprotected);
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
        let spec = HoldSpec { amount: self.job.amount, bill, target: choice.id.clone() };
        let others = self.node.lenders_for(&self.run.organisation);
        let held = reserve_with_retry(self.node, &session, &spec, &others).await?;
        self.reservation = Some(Reservation { session, held, spec });
        Ok(())
    }

    /// Dispatches the run to one target and resumes its stream if it breaks.
    async fn dispatch_to(
        &self,
        id: &RunId,
        choice: &Choice,
    ) -> std::result::Result<RunUsage, (Stage, Error)> {
        self.node.lock_picker().started(self.node.now(), &choice.id);
        let mut guard = InFlightGuard { node: self.node, target: choice.id.clone(), ok: false };
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
            priority: self.job.admission.priority,
            so_far: self.run.tokens(),
        };
        let mut pieces = match timeout(
            STREAM_IDLE_TIMEOUT,
            self.node.engine.start(&choice.addr, &start),
        )
        .await
        {
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
            match read_pieces(self.run, id, &mut pieces).await {
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
            // If the target no longer knows the run, that is a target failure. `RunLost` is
            // reserved for runs whose callers have left.
            let failed = |e: Error| (Stage::Streaming, Error::new(Kind::TargetFailed, e.message));
            pieces = resumed.map_err(failed)?;
        }
    }
}

/// Reserves tokens. If the budget is exhausted while another router is suspected to be dead,
/// retries for a while because the witness of that router may release tokens of the same budget.
///
/// # Errors
///
/// Returns the errors of [`Session::reserve`], with `Fenced` replaced by `PlatformAway`.
pub async fn reserve_with_retry<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    session: &Arc<Session<P, M>>,
    spec: &HoldSpec,
    others: &[RouterInfo],
) -> Result<HeldTokens> {
    let mut attempt = 0;
    loop {
        let refused = match session.reserve(spec, others).await {
            Ok(held) => return Ok(held),
            Err(e) => e,
        };
        attempt += 1;
        let has_suspect = node.lock_view().has_recently_silent(node.now());
        if refused.kind != Kind::BudgetExhausted || !has_suspect || attempt > MAX_SUSPECT_RETRIES {
            return Err(fenced_as_platform_away(refused));
        }
        tokio::time::sleep(SUSPECT_RETRY_INTERVAL).await;
    }
}

/// Replaces `Fenced` by `PlatformAway`: to a caller, a router whose incarnation was superseded is
/// the same as one that cannot reach the ledger for a moment.
pub fn fenced_as_platform_away(e: Error) -> Error {
    if e.kind == Kind::Fenced { Error::new(Kind::PlatformAway, e.message) } else { e }
}

/// Counts a run as in flight at its target until dropped.
struct InFlightGuard<'a, P: Platform, E: Engine, M: PeerClient> {
    node: &'a Node<P, E, M>,
    target: TargetId,
    ok: bool,
}

impl<P: Platform, E: Engine, M: PeerClient> Drop for InFlightGuard<'_, P, E, M> {
    fn drop(&mut self) {
        self.node.lock_picker().ended(self.node.now(), &self.target, self.ok);
    }
}

/// Logs one line per routing decision with the values that it was based on.
pub fn log_choice(
    organisation: &OrganisationId,
    key: &RequestKey,
    admission: &AdmissionRequest,
    choice: &Choice,
    attempt: usize,
) {
    let (next, next_load) = match &choice.next {
        Some((id, load)) => (id.as_str(), *load),
        None => ("-", 0),
    };
    log::info!(
        "route=choose org={organisation} key={key} service={} target={} load={} affinity={} next={next} \
         next_load={next_load} candidates={} attempt={attempt}",
        admission.service,
        choice.id,
        choice.load,
        choice.affinity,
        choice.candidates
    );
}
