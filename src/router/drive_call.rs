//! Drives one call of a plain service. One that must not be repeated is claimed in the table
//! before its only dispatch.

use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use serde::{Deserialize, Serialize};

use super::drive::{MAX_ATTEMPTS, Reserved, find_elsewhere, log_choice, reserve_patiently};
use super::gates::Visitor;
use super::node::{Counts, Node};
use super::session::Purpose;
use crate::budget::ledger::Bill;
use crate::engine::{Engine, RunUsage, ServiceAnswer, ServiceCall};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Incarnation, RunId, TargetId, Tokens};
use crate::membership::wire::PeerClient;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::{Next, Repeatable, Stage, after_failure};
use crate::route::picker::Choice;
use crate::table::{Mutation, Platform, RowKey, Version, read_one};

/// Bytes of an answer that the claim's row keeps for replays.
const MAX_KEPT: usize = 16 * 1024;
/// Time for a claim; past that the caller is told "not run".
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Questions to the router that runs the same call.
const JOIN_ATTEMPTS: u32 = 100;
/// Pause between them.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// A call.
#[derive(Clone, Debug)]
pub struct CallJob {
    /// Who may pass the gate.
    pub visitor: Visitor,
    /// Path below the service.
    pub path: String,
    /// The body as it came.
    pub body: String,
    /// What one call costs.
    pub cost: Tokens,
    /// Whether it may run more than once.
    pub repeatable: Repeatable,
    /// When the answer must be there.
    pub deadline: Duration,
}

/// State of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// Its owner may have dispatched it.
    Taken,
    /// It ran, with this answer if it was small.
    Done(Option<ServiceAnswer>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct ClaimRow {
    content: Digest,
    owner: Incarnation,
    state: ClaimState,
}

/// Finds the call of that key, or starts the new one.
///
/// # Errors
/// `KeyReused` when the key belongs to other content.
pub fn open_call<P: Platform, E: Engine, M: PeerClient>(
    node: &Arc<Node<P, E, M>>,
    new: Run,
    job: CallJob,
) -> Result<Arc<Run>> {
    node.open(new, |run| drive_call(node.clone(), run, job))
}

/// Drives `run` to its end. Whatever happens, its callers are told.
pub async fn drive_call<P: Platform, E: Engine, M: PeerClient>(
    node: Arc<Node<P, E, M>>,
    run: Arc<Run>,
    job: CallJob,
) {
    let began = node.now();
    let end = match node.gates.enter(began, &job.visitor).await {
        Err(e) => Err(e),
        Ok(()) => {
            let entered = node.now();
            let mut driver = Driver { node: &node, run: &run, job: &job, reserved: None };
            let end = driver.run_to_end().await;
            node.gates.leave(node.now(), &job.visitor, node.now().since(entered));
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

struct Driver<'a, P: Platform, E: Engine, M: PeerClient> {
    node: &'a Arc<Node<P, E, M>>,
    run: &'a Run,
    job: &'a CallJob,
    reserved: Option<Reserved<P, M>>,
}

impl<P: Platform, E: Engine, M: PeerClient> Driver<'_, P, E, M> {
    async fn run_to_end(&mut self) -> Result<ServiceAnswer> {
        let choice = self.choose(&[])?;
        let id = self.node.session().new_run();
        self.reserve(&id, &choice.id).await?;
        let claimed = match self.job.repeatable {
            Repeatable::Yes => None,
            Repeatable::No => match self.claim().await {
                Ok(Claimed::Mine(version)) => Some(version),
                Ok(Claimed::Replay(answer)) => {
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
        if let Some(r) = self.reserved.take() {
            r.cancel().await;
        }
    }

    fn choose(&self, tried: &[TargetId]) -> Result<Choice> {
        let service = self.job.visitor.service.as_str();
        let none = || Error::new(Kind::NoTarget, format!("no target serves {service} now"));
        let choice =
            self.node.lock_picker().pick(self.node.now(), service, 0, tried).ok_or_else(none)?;
        log_choice(
            &self.run.organisation,
            &self.run.key,
            &self.job.visitor,
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
        let purpose = Purpose { amount: self.job.cost, bill, target: target.clone() };
        let others = self.node.lenders_for(&self.run.organisation);
        let session = self.node.session();
        let held = reserve_patiently(self.node, &session, &purpose, &others).await?;
        self.reserved = Some(Reserved { session, held, purpose });
        Ok(())
    }

    fn claim_key(&self) -> RowKey {
        format_compact!("claim/{}/{}", self.run.organisation, self.run.key)
    }

    /// Claims the key in the table.
    ///
    /// Guards against two dispatches of one call over retries, crashes and routers: only who
    /// inserted the row may dispatch. A claim whose answer is late is deleted when it comes,
    /// because its caller was told "not run".
    async fn claim(&self) -> Result<Claimed> {
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
            Some(version) => Ok(Claimed::Mine(version)),
            None => self.claimed_before().await.map(Claimed::Replay),
        }
    }

    /// Somebody claimed the key before: its answer, or the wait for it, or "unknown".
    async fn claimed_before(&self) -> Result<ServiceAnswer> {
        let unknown = || {
            Error::new(
                Kind::OutcomeUnknown,
                "the call was dispatched before, and its end is not known",
            )
        };
        for _ in 0..JOIN_ATTEMPTS {
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
            let found = find_elsewhere(self.node, &self.run.organisation, &self.run.key).await;
            match found {
                Some(f) if f.service.is_some() => return f.service.ok_or_else(unknown),
                Some(_) if self.is_alive(&row.owner) => tokio::time::sleep(JOIN_PAUSE).await,
                // Its owner is gone: nobody will ever know more, so the caller learns it now.
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
            let budget = more && self.node.retries.lock().expect("never poisoned").try_spend();
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
            service: self.job.visitor.service.as_str().into(),
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

    /// Bills what ran or may have run, and writes the claim's end.
    async fn finish(
        &mut self,
        claimed: Option<Version>,
        stage: Stage,
        result: Result<ServiceAnswer>,
    ) -> Result<ServiceAnswer> {
        let certain_not_run = result.is_err() && stage < Stage::Dispatched;
        if let Some(version) = claimed {
            self.end_claim(version, certain_not_run, result.as_ref().ok()).await;
        }
        let Some(r) = self.reserved.take() else { return result };
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
                let kept = (answer.body.len() <= MAX_KEPT).then(|| answer.clone());
                let owner = session.incarnation.clone();
                m.put(
                    key,
                    &ClaimRow { content: self.run.content, owner, state: ClaimState::Done(kept) },
                )
            }
            // Unknown stays claimed for ever.
            (false, None) => return,
        };
        let committer = session.committer.clone();
        let write = async move {
            let _ = committer.write(m).await;
        };
        if not_run {
            // The caller may retry at once: the claim has to be gone by then, if it can be.
            let _ = tokio::time::timeout(CLAIM_TIMEOUT, write).await;
        } else {
            tokio::spawn(write);
        }
    }
}

enum Claimed {
    Mine(Version),
    Replay(ServiceAnswer),
}
