//! Drives one call of a plain service. A call that must not be repeated is claimed in the table
//! before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use serde::{Deserialize, Serialize};

use super::drive::{MAX_ATTEMPTS, Reservation, find_at_peers, log_choice, reserve_with_retry};
use super::gates::AdmissionRequest;
use super::node::{Counts, Node};
use super::session::HoldSpec;
use crate::budget::ledger::Bill;
use crate::engine::{Engine, RunUsage, ServiceAnswer, ServiceCall};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Incarnation, RunId, TargetId, Tokens};
use crate::membership::wire::PeerClient;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::{Next, Repeatable, Stage, after_failure};
use crate::route::picker::Choice;
use crate::table::{Mutation, Platform, RowKey, Version, read_one};

/// Maximum size, in bytes, of an answer that is stored in the claim row for replays.
const MAX_KEPT_ANSWER_BYTES: usize = 16 * 1024;
/// Time limit for claiming a key. After it, the caller gets a "not run" error.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of queries to the router that runs the same call.
const MAX_JOIN_ATTEMPTS: u32 = 100;
/// Interval between these queries.
const JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// A service call, ready to be driven.
#[derive(Clone, Debug)]
pub struct CallJob {
    /// Parameters for admission.
    pub admission: AdmissionRequest,
    /// Path below the service.
    pub path: String,
    /// Body of the request, unchanged.
    pub body: String,
    /// Cost of one call.
    pub cost: Tokens,
    /// Whether the call may run more than once.
    pub repeatable: Repeatable,
    /// Time limit for the answer.
    pub deadline: Duration,
}

/// State of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// The owner of the claim may have dispatched the call.
    Taken,
    /// The call ran. Contains its answer unless that was too large to store.
    Done(Option<ServiceAnswer>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct ClaimRow {
    content: Digest,
    owner: Incarnation,
    state: ClaimState,
}

/// Returns the call with the same key, or starts driving `new`.
///
/// # Errors
///
/// Returns `KeyReused` if the key belongs to a call with other content.
pub fn open_call<P: Platform, E: Engine, M: PeerClient>(
    node: &Arc<Node<P, E, M>>,
    new: Run,
    job: CallJob,
) -> Result<Arc<Run>> {
    node.open(new, |run| drive_call(node.clone(), run, job))
}

/// Drives `run` until it ends. The end is always set, so that callers never wait forever.
pub async fn drive_call<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    run: Arc<Run>,
    job: CallJob,
) {
    let began = node.now();
    let end = match node.gates.enter(began, &job.admission).await {
        Err(e) => Err(e),
        Ok(()) => {
            let entered = node.now();
            let mut driver = CallDriver { node: &node, run: &run, job: &job, reservation: None };
            let end = driver.run_to_end().await;
            node.gates.leave(node.now(), &job.admission, node.now().since(entered));
            end
        }
    };
    match end {
        Ok(answer) => {
            Counts::add(&node.counts.answered);
            run.end(RunEnd::Service(answer));
        }
        Err(e) => {
            Counts::add(&node.counts.refused);
            log::info!(
                "call=failed org={} key={} kind={} error={:?}",
                run.organisation,
                run.key,
                e.kind,
                e.message
            );
            run.end(RunEnd::Failed(e));
        }
    }
}

/// State of driving one service call through its attempts.
struct CallDriver<'a, P: Platform, E: Engine, M: PeerClient> {
    node: &'a Arc<Node<P, E, M>>,
    run: &'a Run,
    job: &'a CallJob,
    reservation: Option<Reservation<P, M>>,
}

impl<P: Platform, E: Engine, M: PeerClient> CallDriver<'_, P, E, M> {
    async fn run_to_end(&mut self) -> Result<ServiceAnswer> {
        let choice = self.choose(&[])?;
        let id = self.node.session().new_run_id();
        self.reserve(&id, &choice.id).await?;
        let claimed = match self.job.repeatable {
            Repeatable::Yes => None,
            Repeatable::No => match self.claim().await {
                Ok(ClaimResult::Acquired(version)) => Some(version),
                Ok(ClaimResult::Replay(answer)) => {
                    self.cancel_hold().await;
                    return Ok(answer);
                }
                Err(e) => {
                    self.cancel_hold().await;
                    return Err(e);
                }
            },
        };
        let (stage, result) = self.dispatch(&id, choice).await;
        self.finish(claimed, stage, result).await
    }

    async fn cancel_hold(&mut self) {
        if let Some(r) = self.reservation.take() {
            r.cancel().await;
        }
    }

    fn choose(&self, tried: &[TargetId]) -> Result<Choice> {
        let service = self.job.admission.service.as_str();
        let none = || Error::new(Kind::NoTarget, format!("no target serves {service} now"));
        let choice =
            self.node.lock_picker().pick(self.node.now(), service, 0, tried).ok_or_else(none)?;
        log_choice(
            &self.run.organisation,
            &self.run.key,
            &self.job.admission,
            &choice,
            tried.len() + 1,
        );
        Ok(choice)
    }

    async fn reserve(&mut self, id: &RunId, target: &TargetId) -> Result<()> {
        let bill = Bill {
            organisation: self.run.organisation.clone(),
            key: self.run.key.clone(),
            content: self.run.content,
            budget: self.run.budget.clone(),
            run: id.clone(),
            cost: self.job.cost,
        };
        let spec = HoldSpec { amount: self.job.cost, bill, target: target.clone() };
        let others = self.node.lenders_for(&self.run.organisation);
        let session = self.node.session();
        let held = reserve_with_retry(self.node, &session, &spec, &others).await?;
        self.reservation = Some(Reservation { session, held, spec });
        Ok(())
    }

    fn claim_key(&self) -> RowKey {
        format_compact!("claim/{}/{}", self.run.organisation, self.run.key)
    }

    /// Claims the key in the table.
    ///
    /// The claim prevents one call from being dispatched twice, be it through retries, crashes or
    /// different routers: only the router that inserted the row may dispatch. A claim that is
    /// confirmed after the timeout is deleted again, because the caller has already got the error
    /// that says that the call did not run.
    async fn claim(&self) -> Result<ClaimResult> {
        let session = self.node.session();
        let row = ClaimRow {
            content: self.run.content,
            owner: session.incarnation.clone(),
            state: ClaimState::Taken,
        };
        let key = self.claim_key();
        let insert = Mutation::default().guard(key.clone(), None).put(key.clone(), &row);
        let committer = session.committer.clone();
        let (tx, rx) = tokio::sync::oneshot::channel();
        tokio::spawn(async move {
            let written = committer.write(insert).await;
            if let Err(Ok(Some(version))) = tx.send(written) {
                let undo = Mutation::default().guard(key.clone(), Some(version)).delete(key);
                let _ = committer.write(undo).await;
            }
        });
        let away = || Error::new(Kind::PlatformAway, "the call could not be claimed in time");
        let written = tokio::time::timeout(CLAIM_TIMEOUT, rx).await;
        match written.map_err(|_| away())?.map_err(|_| away())?? {
            Some(version) => Ok(ClaimResult::Acquired(version)),
            None => self.await_earlier_claim().await.map(ClaimResult::Replay),
        }
    }

    /// Waits for the call that claimed the key earlier and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns `OutcomeUnknown` if the owner of the claim is gone, the wait takes too long, or the
    /// answer is not known. Returns `NoTarget` if the claim was deleted because the call did not
    /// run, or `KeyReused` if it belongs to other content.
    async fn await_earlier_claim(&self) -> Result<ServiceAnswer> {
        let unknown = || {
            Error::new(
                Kind::OutcomeUnknown,
                "the call was dispatched before, and its end is not known",
            )
        };
        for _ in 0..MAX_JOIN_ATTEMPTS {
            let Some(row) = read_one(&self.node.platform, self.claim_key()).await? else {
                return Err(Error::new(
                    Kind::NoTarget,
                    "an earlier attempt did not run; try again",
                ));
            };
            let row: ClaimRow = row.decode()?;
            if row.content != self.run.content {
                let message = "this idempotency key belongs to a call with other content";
                return Err(Error::new(Kind::KeyReused, message));
            }
            if let ClaimState::Done(answer) = row.state {
                return answer.ok_or_else(unknown);
            }
            let found = find_at_peers(self.node, &self.run.organisation, &self.run.key).await;
            match found {
                Some(f) if f.service.is_some() => return f.service.ok_or_else(unknown),
                Some(_) if self.is_alive(&row.owner) => tokio::time::sleep(JOIN_INTERVAL).await,
                // The owner is gone, so the outcome will never be known. The caller gets the error
                // without further waiting.
                _ => return Err(unknown()),
            }
        }
        Err(unknown())
    }

    fn is_alive(&self, owner: &Incarnation) -> bool {
        self.node.lock_view().is_router_alive(self.node.now(), owner)
    }

    async fn dispatch(&mut self, id: &RunId, first: Choice) -> (Stage, Result<ServiceAnswer>) {
        let mut choice = first;
        let mut tried = Vec::new();
        loop {
            self.run.dispatched(id, &choice.id);
            let e = match self.call(id, &choice).await {
                Ok(answer) => return (Stage::Ended, Ok(answer)),
                Err(e) => e,
            };
            log::warn!(
                "attempt=failed key={} run={id} target={} kind={}",
                self.run.key,
                choice.id,
                e.kind
            );
            tried.push(choice.id.clone());
            let more = tried.len() < MAX_ATTEMPTS;
            let budget =
                more && self.node.retries.lock().expect("the lock is never poisoned").try_spend();
            let next = after_failure(Stage::Dispatched, self.job.repeatable, e.kind, budget);
            let stage = if e.kind == Kind::NoTarget { Stage::Protected } else { Stage::Dispatched };
            match (next, self.choose(&tried)) {
                (Next::Retry, Ok(other)) => choice = other,
                (Next::Retry, Err(none)) if e.kind == Kind::NoTarget => return (stage, Err(none)),
                (Next::Retry, Err(_)) => return (stage, Err(e)),
                (Next::GiveUp(kind), _) => return (stage, Err(Error::new(kind, e.message))),
            }
            Counts::add(&self.node.counts.retries);
        }
    }

    async fn call(&self, id: &RunId, choice: &Choice) -> Result<ServiceAnswer> {
        let call = ServiceCall {
            run: id.clone(),
            key: self.run.key.clone(),
            service: self.job.admission.service.as_str().into(),
            path: self.job.path.clone(),
            body: self.job.body.clone(),
        };
        self.node.lock_picker().started(self.node.now(), &choice.id);
        let late = |_| Error::new(Kind::TargetFailed, "no answer before the deadline");
        let answered =
            tokio::time::timeout(self.job.deadline, self.node.engine.call(&choice.addr, &call))
                .await;
        let result = answered.map_err(late).flatten();
        self.node.lock_picker().ended(self.node.now(), &choice.id, result.is_ok());
        result
    }

    /// Updates the claim and bills the call, or releases its hold if there is no answer.
    async fn finish(
        &mut self,
        claimed: Option<Version>,
        stage: Stage,
        result: Result<ServiceAnswer>,
    ) -> Result<ServiceAnswer> {
        let provably_not_run = result.is_err() && stage < Stage::Dispatched;
        if let Some(version) = claimed {
            self.end_claim(version, provably_not_run, result.as_ref().ok()).await;
        }
        let Some(r) = self.reservation.take() else { return result };
        if result.is_ok() {
            r.settle(RunUsage { prompt_tokens: 0, tokens: self.job.cost.0 }).await;
        } else {
            r.cancel().await;
        }
        result
    }

    async fn end_claim(&self, version: Version, not_run: bool, answer: Option<&ServiceAnswer>) {
        let session = self.node.session();
        let key = self.claim_key();
        let m = Mutation::default().guard(key.clone(), Some(version));
        let m = match (not_run, answer) {
            (true, _) => m.delete(key),
            (false, Some(answer)) => {
                let kept = (answer.body.len() <= MAX_KEPT_ANSWER_BYTES).then(|| answer.clone());
                let owner = session.incarnation.clone();
                m.put(
                    key,
                    &ClaimRow { content: self.run.content, owner, state: ClaimState::Done(kept) },
                )
            }
            // The outcome is unknown, so the claim stays and the call is never dispatched again.
            (false, None) => return,
        };
        let committer = session.committer.clone();
        let write = async move {
            let _ = committer.write(m).await;
        };
        if not_run {
            // The caller may retry at once, so the claim should be gone before the error is
            // returned.
            let _ = tokio::time::timeout(CLAIM_TIMEOUT, write).await;
        } else {
            tokio::spawn(write);
        }
    }
}

/// Result of claiming a key: the version of the new claim row, or the answer of an earlier call.
enum ClaimResult {
    Acquired(Version),
    Replay(ServiceAnswer),
}
