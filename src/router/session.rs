//! Session of a router: one incarnation with its grants, its witness and its writes to the ledger.

mod loans;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use kameo::error::SendError;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::budget::actor::{
    CancelHold, Fence, GetTotals, GetUsage, GrantActor, GrantActorArgs, GrantListener, GrantTotals,
    HolderRowVersion, MoveToSolo, Release, ReleaseAll, RequestHold, SetRouterCounts, SettleHold,
};
use crate::budget::holder::{HoldId, Usage};
use crate::budget::ledger::{Bill, HolderRow, HolderState, holder_key};
use crate::budget::sizing::Sizing;
use crate::budget::witness::HoldCopy;
use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, RunId, Tokens};
use crate::membership::view::RouterInfo;
use crate::membership::wire::{PeerClient, PeerReply, PeerRequest};
use crate::table::committer::Committer;
use crate::table::{Mutation, Platform, Version};
use loans::ReleaseGate;

/// Maximum time that a request waits for this router's own grant before other routers are asked.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a router that failed to confirm a copy is tried last and not chosen as a witness.
const SUSPECT_PERIOD: Duration = Duration::from_millis(2_000);
/// Maximum time that a request waits for a change of witness after the current one failed to
/// confirm its copy.
const WITNESS_CHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Event that a session reports to its router.
#[derive(Debug)]
pub enum SessionEvent {
    /// The bills of these holds are recorded in the table.
    Recorded(Vec<HoldId>),
    /// The incarnation was sealed and can no longer write to the ledger.
    Fenced,
}

/// Sends the events of a grant actor to the router.
#[derive(Clone, Debug)]
pub struct SessionEventSender(pub mpsc::UnboundedSender<SessionEvent>);

impl GrantListener for SessionEventSender {
    fn recorded(&self, holds: Vec<HoldId>) {
        // Sending fails only if the router has stopped and no longer needs events.
        let _ = self.0.send(SessionEvent::Recorded(holds));
    }

    fn fenced(&self) {
        let _ = self.0.send(SessionEvent::Fenced);
    }
}

/// The routers that keep copies of this router's holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WitnessPair {
    /// Settles all holds if this router crashes. In another availability zone if possible.
    pub witness: RouterInfo,
    /// Keeps copies while the witness cannot be reached. In the same availability zone if possible.
    pub backup: Option<RouterInfo>,
}

impl WitnessPair {
    /// Iterates over the witness and the backup.
    pub fn members(&self) -> impl Iterator<Item = &RouterInfo> {
        std::iter::once(&self.witness).chain(&self.backup)
    }
}

/// Which routers keep the copies of this session's holds. `None` means that the holder row names no
/// witness: nobody can reclaim the grants, so holds need no copies.
// There is only one value of this type in a process, so boxing would only complicate the code.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessAssignment {
    /// The witness and backup that the holder row names.
    Stable(Option<WitnessPair>),
    /// The old and the new pair while the holder row is being rewritten. The row may name either,
    /// so every copy goes to both.
    Changing(Option<WitnessPair>, Option<WitnessPair>),
}

/// Tokens reserved for one request.
#[derive(Clone, Debug)]
pub struct HeldTokens {
    /// Id of the hold at the router that granted it.
    pub hold: HoldId,
    /// Router that lent the tokens; `None` if they belong to this router's own grant.
    pub lender: Option<RouterInfo>,
}

/// Specifies a hold for a request.
#[derive(Clone, Debug)]
pub struct HoldSpec {
    /// Largest possible cost of the request.
    pub amount: Tokens,
    /// Bill of the request, with a cost that is not final yet.
    pub bill: Bill,
    /// Target that will run the request.
    pub target: crate::ids::TargetId,
}

impl HoldSpec {
    fn copy(&self, hold: HoldId) -> HoldCopy {
        HoldCopy {
            hold,
            amount: self.amount,
            bill: self.bill.clone(),
            target: self.target.clone(),
            ended: false,
        }
    }
}

/// One incarnation of a router.
pub struct Session<P: Platform, M: PeerClient> {
    /// Name of the incarnation.
    pub incarnation: Incarnation,
    /// Group committer for writes to the ledger.
    pub committer: Committer,
    grant_actor: ActorRef<GrantActor<P, SessionEventSender>>,
    peer_client: M,
    assignment: RwLock<WitnessAssignment>,
    /// Routers that recently failed to confirm a copy. They are avoided before they count as dead.
    suspects: Mutex<Vec<(Incarnation, Instant)>>,
    witness_changed: Notify,
    row: Mutex<(HolderRow, Version)>,
    /// Copies that the witnesses must have: one for each hold and for each bill not yet recorded,
    /// sorted by hold.
    copies: Mutex<Vec<HoldCopy>>,
    next_run: AtomicU64,
    /// Budgets for which other routers were recently asked to release free tokens.
    release_gates: Mutex<Vec<(BudgetId, Arc<ReleaseGate>)>>,
}

/// Dependencies and initial state of a [`Session`].
pub struct SessionParts<P, M> {
    /// Client for the platform: table, object store and instance list.
    pub platform: P,
    /// Client for requests to other routers.
    pub peer_client: M,
    /// Name of the incarnation.
    pub incarnation: Incarnation,
    /// Holder row to write. It must not exist yet.
    pub row: HolderRow,
    /// The active configuration.
    pub cfg: Arc<RwLock<Config>>,
    /// Source of the current time.
    pub clock: Clock,
    /// Interval between group commits.
    pub commit_interval: Duration,
    /// Overrides the configured sizing policy, for experiments.
    pub sizing: Option<Sizing>,
}

impl<P: Platform, M: PeerClient> Session<P, M> {
    /// Writes the holder row and starts the grant actor. The receiver gets the events of the
    /// session.
    ///
    /// # Errors
    ///
    /// Returns `PlatformAway` if the table does not answer, or `Conflict` if the incarnation
    /// already exists.
    pub async fn start(
        parts: SessionParts<P, M>,
    ) -> Result<(Arc<Session<P, M>>, mpsc::UnboundedReceiver<SessionEvent>)> {
        let committer =
            Committer::start(parts.platform.clone(), &parts.incarnation, parts.commit_interval);
        let key = holder_key(&parts.incarnation);
        let written = committer
            .write(Mutation::default().guard(key.clone(), None).put(key, &parts.row))
            .await?;
        let exists =
            || Error::new(Kind::Conflict, format!("incarnation {} exists", parts.incarnation));
        let version = written.ok_or_else(exists)?;
        let (tx, rx) = mpsc::unbounded_channel();
        let grant_actor = GrantActor::spawn(GrantActorArgs {
            table: parts.platform,
            committer: committer.clone(),
            incarnation: parts.incarnation.clone(),
            version,
            cfg: parts.cfg,
            clock: parts.clock,
            grant_listener: SessionEventSender(tx),
            sizing: parts.sizing,
            holders: 1,
        });
        let session = Session {
            incarnation: parts.incarnation,
            committer,
            grant_actor,
            peer_client: parts.peer_client,
            assignment: RwLock::new(WitnessAssignment::Stable(None)),
            suspects: Mutex::default(),
            witness_changed: Notify::new(),
            row: Mutex::new((parts.row, version)),
            copies: Mutex::default(),
            next_run: AtomicU64::new(1),
            release_gates: Mutex::default(),
        };
        Ok((Arc::new(session), rx))
    }

    /// Returns a new run id, unique across incarnations.
    pub fn new_run_id(&self) -> RunId {
        let n = self.next_run.fetch_add(1, Ordering::Relaxed);
        format!("{}.{n}", self.incarnation)
            .parse()
            .expect("an incarnation and a number make a valid run id")
    }

    /// Returns the routers that keep the copies.
    pub fn assignment(&self) -> WitnessAssignment {
        self.assignment.read().expect("the lock is never poisoned").clone()
    }

    /// Reserves tokens for a request and protects the hold, either from this router's own grant or
    /// by borrowing from one of `others`.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExhausted` if no router has enough free tokens, `PlatformAway` if the ledger
    /// does not answer or the hold cannot be protected, or `Fenced` if this incarnation was
    /// superseded.
    pub async fn reserve(
        self: &Arc<Self>,
        spec: &HoldSpec,
        others: &[RouterInfo],
    ) -> Result<HeldTokens> {
        let own = match self.hold(&spec.bill.budget, spec.amount, true).await {
            Ok(hold) => self.protect_or_cancel(hold, spec).await,
            Err(e) => Err(e),
        };
        let refused = match own {
            Ok(hold) => return Ok(HeldTokens { hold, lender: None }),
            Err(e) => e,
        };
        let budget = &spec.bill.budget;
        let mut free = self.query_free_tokens(budget, others).await;
        free.sort_by_key(|(tokens, _)| std::cmp::Reverse(*tokens));
        for (_, lender) in free.iter().filter(|(tokens, _)| *tokens >= spec.amount) {
            if let Some(held) = self.borrow(spec, lender).await {
                return Ok(held);
            }
        }
        let own = self.usage(budget.clone()).await;
        let total_free =
            free.iter().fold(own.free.plus(own.left), |sum, (tokens, _)| sum.plus(*tokens));
        if refused.kind != Kind::BudgetExhausted || total_free < spec.amount {
            return Err(refused);
        }
        self.request_release(budget, others).await;
        let hold = self.hold(budget, spec.amount, true).await?;
        Ok(HeldTokens { hold: self.protect_or_cancel(hold, spec).await?, lender: None })
    }

    /// Asks other routers how many tokens of a budget they have free. Routers that do not answer
    /// are left out.
    async fn query_free_tokens(
        &self,
        budget: &BudgetId,
        others: &[RouterInfo],
    ) -> Vec<(Tokens, RouterInfo)> {
        let queries =
            others.iter().map(|o| self.peer_client.rpc(o, PeerRequest::Free(budget.clone())));
        let replies = futures_util::future::join_all(queries).await;
        let free = |(reply, other): (Result<PeerReply>, &RouterInfo)| match reply {
            Ok(PeerReply::Free(tokens)) => Some((tokens, other.clone())),
            _ => None,
        };
        replies.into_iter().zip(others).filter_map(free).collect()
    }

    /// Reserves tokens from this session's own grant.
    ///
    /// # Errors
    ///
    /// Returns the error of the grant actor, or `PlatformAway` if it does not reply in time.
    pub async fn hold(
        self: &Arc<Self>,
        budget: &BudgetId,
        amount: Tokens,
        wait_for_grant: bool,
    ) -> Result<HoldId> {
        let msg = RequestHold { budget: budget.clone(), amount, wait_for_grant };
        let (tx, rx) = tokio::sync::oneshot::channel();
        let session = self.clone();
        // The reply may arrive after the request has stopped waiting. In that case the hold is
        // cancelled here.
        tokio::spawn(async move {
            let reply = session.grant_actor.ask(msg).await;
            let late = tx.send(reply.map_err(into_error)).err();
            if let Some(Ok(hold)) = late {
                session.send_cancel(hold).await;
            }
        });
        let away = || Error::new(Kind::PlatformAway, "the ledger did not answer in time");
        tokio::time::timeout(GRANT_TIMEOUT, rx).await.map_err(|_| away())?.map_err(|_| away())?
    }

    async fn send_cancel(&self, hold: HoldId) {
        // Sending fails only if the actor has stopped, in which case there are no holds left.
        let _ = self.grant_actor.tell(CancelHold(hold)).await;
    }

    async fn protect_or_cancel(&self, hold: HoldId, spec: &HoldSpec) -> Result<HoldId> {
        match self.protect(spec.copy(hold)).await {
            Ok(()) => Ok(hold),
            Err(e) => {
                self.cancel_own(hold).await;
                Err(e)
            }
        }
    }

    fn upsert_copy(&self, copy: &HoldCopy) {
        let mut copies = self.copies.lock().expect("the lock is never poisoned");
        match copies.binary_search_by(|c| c.hold.cmp(&copy.hold)) {
            Ok(index) => copies[index] = copy.clone(),
            Err(index) => copies.insert(index, copy.clone()),
        }
    }

    /// Protects a hold against a crash of this router by sending a copy to a witness. A request
    /// must not be dispatched before a witness has confirmed its copy, unless the hold fits into
    /// the solo part of the grant.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` if this incarnation was sealed, or `PlatformAway` if the hold cannot be
    /// protected.
    pub async fn protect(&self, copy: HoldCopy) -> Result<()> {
        let (hold, run, amount) = (copy.hold, copy.bill.run.clone(), copy.amount);
        let witness_changed = self.witness_changed.notified();
        let first = match self.replicate(copy.clone()).await {
            Ok(()) => return Ok(()),
            Err(e) if e.kind == Kind::Fenced => return Err(e),
            Err(e) => e,
        };
        if let Ok(true) = self.grant_actor.ask(MoveToSolo(hold)).await {
            log::info!("cover=solo run={run} hold={} amount={amount}", hold.0);
            return Ok(());
        }
        let new_witness =
            tokio::time::timeout(WITNESS_CHANGE_TIMEOUT, witness_changed).await.is_ok();
        if new_witness && self.replicate(copy).await.is_ok() {
            log::info!("cover=late run={run} hold={}", hold.0);
            return Ok(());
        }
        let message = format!("no witness can be reached: {}", first.message);
        Err(Error::new(Kind::PlatformAway, message))
    }

    /// Sends a copy once to every pair that the holder row may name.
    ///
    /// The copy is stored before the assignment is read. A change of witness sets the assignment
    /// before it reads the stored copies. So no copy can be missed by both.
    async fn replicate(&self, copy: HoldCopy) -> Result<()> {
        self.upsert_copy(&copy);
        let copies = vec![copy];
        match self.assignment() {
            WitnessAssignment::Stable(pair) => self.send_to_pair(pair.as_ref(), copies).await,
            WitnessAssignment::Changing(from, to) => {
                self.send_to_pair(from.as_ref(), copies.clone()).await?;
                self.send_to_pair(to.as_ref(), copies).await
            }
        }
    }

    /// Sends copies to one member of a pair. One is enough because a reclaim needs the seals of
    /// both.
    async fn send_to_pair(&self, pair: Option<&WitnessPair>, copies: Vec<HoldCopy>) -> Result<()> {
        let Some(pair) = pair else { return Ok(()) };
        let mut members: Vec<&RouterInfo> = pair.members().collect();
        let suspects = self.suspects();
        members.sort_by_key(|e| suspects.contains(&e.incarnation));
        let mut last = Error::new(Kind::PlatformAway, "no witness is named");
        for member in members {
            let request = PeerRequest::Keep {
                keeper: member.incarnation.clone(),
                holder: self.incarnation.clone(),
                copies: copies.clone(),
            };
            match self.peer_client.rpc(member, request).await {
                Ok(_) => return Ok(()),
                Err(e) if e.kind == Kind::Fenced => {
                    let _ = self.grant_actor.tell(Fence).await;
                    return Err(e);
                }
                Err(e) => last = e,
            }
            let mut suspects = self.suspects.lock().expect("the lock is never poisoned");
            suspects.retain(|(s, _)| *s != member.incarnation);
            suspects.push((member.incarnation.clone(), Instant::now()));
        }
        Err(last)
    }

    /// Returns the routers that recently failed to confirm a copy.
    pub fn suspects(&self) -> Vec<Incarnation> {
        let mut suspects = self.suspects.lock().expect("the lock is never poisoned");
        suspects.retain(|(_, at)| at.elapsed() < SUSPECT_PERIOD);
        suspects.iter().map(|(s, _)| s.clone()).collect()
    }

    /// Cancels a hold of this session's own grant whose request did not run.
    pub async fn cancel_own(&self, hold: HoldId) {
        self.send_cancel(hold).await;
        self.forget(&[hold]).await;
    }

    /// Cancels a hold, here or at its lender.
    pub async fn cancel(self: &Arc<Self>, held: HeldTokens) {
        match held.lender {
            None => self.cancel_own(held.hold).await,
            Some(lender) => self.repay(lender, held.hold, None),
        }
    }

    /// Changes the target of a protected request.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Session::protect`], or the error of the lender if the tokens are
    /// borrowed.
    pub async fn change_target(&self, held: &HeldTokens, spec: &HoldSpec) -> Result<()> {
        let Some(lender) = &held.lender else {
            return self.protect(spec.copy(held.hold)).await;
        };
        // If the borrower dies, the lender settles the loan by asking the target that it knows. The
        // old target would report that the run never happened, and the lender would free tokens
        // that the run is still using.
        let target = spec.target.clone();
        let request =
            PeerRequest::Move { lender: lender.incarnation.clone(), hold: held.hold, target };
        self.peer_client.rpc(lender, request).await.map(drop)
    }

    /// Replaces a hold by its bill. When this returns, the bill survives a crash of this router.
    pub async fn settle(self: &Arc<Self>, held: HeldTokens, spec: &HoldSpec, cost: Tokens) {
        let bill = Bill { cost, ..spec.bill.clone() };
        if let Some(lender) = held.lender {
            return self.repay(lender, held.hold, Some(bill));
        }
        let mut copy = spec.copy(held.hold);
        copy.bill = bill.clone();
        copy.ended = true;
        copy.amount = Tokens(spec.amount.0.max(cost.0));
        // If this fails, the witness still has the copy of the hold and gets the cost from the
        // target.
        let _ = self.replicate(copy).await;
        match self.grant_actor.ask(SettleHold { hold: held.hold, bill }).await {
            Ok(excess) if excess > Tokens::ZERO => {
                log::warn!("bill=capped run={} excess={excess}", spec.bill.run);
            }
            Ok(_) => {}
            Err(e) => log::warn!("bill=left_to_witness run={} error={e:?}", spec.bill.run),
        }
    }

    /// Drops copies here and at the witness and backup.
    pub async fn forget(&self, holds: &[HoldId]) {
        {
            let mut copies = self.copies.lock().expect("the lock is never poisoned");
            copies.retain(|c| !holds.contains(&c.hold));
        }
        let pair = match self.assignment() {
            WitnessAssignment::Stable(pair) | WitnessAssignment::Changing(_, pair) => pair,
        };
        let new_request =
            || PeerRequest::Forget { holder: self.incarnation.clone(), holds: holds.to_vec() };
        let members: Vec<RouterInfo> =
            pair.iter().flat_map(WitnessPair::members).cloned().collect();
        // A failure is harmless: a leftover copy has no effect while this router is alive.
        let _ = futures_util::future::join_all(
            members.iter().map(|m| self.peer_client.rpc(m, new_request())),
        )
        .await;
    }

    /// Rewrites the holder row to name another witness and backup.
    ///
    /// If this router crashes during the change, the witness that the row names must have all
    /// copies. Otherwise tokens would be released although their run is still going on. Therefore
    /// all new copies first go to both the old and the new pair, then the new pair gets the
    /// existing copies, and only then the row is written. The outcome of that write may stay
    /// unknown for a long time, so the caller must not cancel this call.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` if this incarnation was sealed, `Io` or `Timeout` if the new pair cannot be
    /// reached, or `PlatformAway` if the table does not answer.
    pub async fn change_witness(&self, to: Option<WitnessPair>) -> Result<()> {
        let WitnessAssignment::Stable(from) = self.assignment() else { return Ok(()) };
        self.set_assignment(WitnessAssignment::Changing(from.clone(), to.clone()));
        let copies = self.copies.lock().expect("the lock is never poisoned").clone();
        if let Err(e) = self.send_to_pair(to.as_ref(), copies).await {
            self.set_assignment(WitnessAssignment::Stable(from));
            return Err(e);
        }
        let (mut row, version) = self.row.lock().expect("the lock is never poisoned").clone();
        row.witness = to.as_ref().map(|p| p.witness.incarnation.clone());
        row.backup = to.as_ref().and_then(|p| p.backup.as_ref()).map(|b| b.incarnation.clone());
        let key = holder_key(&self.incarnation);
        let m = Mutation::default().guard(key.clone(), Some(version)).put(key, &row);
        let Some(version) = self.committer.write(m).await? else {
            let _ = self.grant_actor.tell(Fence).await;
            return Err(Error::new(Kind::Fenced, "the holder row was sealed"));
        };
        let named = |n: &Option<Incarnation>| n.as_ref().map_or("-".to_string(), |i| i.to_string());
        let (witness, backup) = (named(&row.witness), named(&row.backup));
        log::info!("witness=chosen holder={} witness={witness} backup={backup}", self.incarnation);
        *self.row.lock().expect("the lock is never poisoned") = (row, version);
        let _ = self.grant_actor.tell(HolderRowVersion(version)).await;
        self.set_assignment(WitnessAssignment::Stable(to));
        self.witness_changed.notify_waiters();
        Ok(())
    }

    fn set_assignment(&self, assignment: WitnessAssignment) {
        *self.assignment.write().expect("the lock is never poisoned") = assignment;
    }

    /// Marks the incarnation as left. All its grants must have been released before.
    ///
    /// # Errors
    ///
    /// Returns `PlatformAway` if the table does not answer, or `Fenced` if the holder row was
    /// sealed.
    pub async fn leave(&self) -> Result<()> {
        let (mut row, version) = self.row.lock().expect("the lock is never poisoned").clone();
        row.state = HolderState::Left;
        let key = holder_key(&self.incarnation);
        let m = Mutation::default().guard(key.clone(), Some(version)).put(key, &row);
        let fenced = || Error::new(Kind::Fenced, "the holder row was sealed");
        self.committer.write(m).await?.ok_or_else(fenced).map(drop)
    }

    /// Releases the free tokens of one budget.
    pub async fn release(&self, budget: BudgetId) {
        let _ = self.grant_actor.tell(Release(budget)).await;
    }

    /// Releases the free tokens of all budgets.
    pub async fn release_all(&self) {
        let _ = self.grant_actor.tell(ReleaseAll).await;
    }

    /// Sets the number of routers that write to the ledger and the number that may hold parts of
    /// one budget.
    pub async fn set_router_counts(&self, routers: u64, holders: u64) {
        let _ = self.grant_actor.tell(SetRouterCounts { routers, holders }).await;
    }

    /// Returns the usage of a budget at this router.
    pub async fn usage(&self, budget: BudgetId) -> Usage {
        self.grant_actor.ask(GetUsage(budget)).await.unwrap_or_default()
    }

    /// Returns the totals over all budgets.
    pub async fn totals(&self) -> GrantTotals {
        self.grant_actor.ask(GetTotals).await.unwrap_or_default()
    }

    /// Returns the number of copies that a witness should have.
    pub fn copy_count(&self) -> usize {
        self.copies.lock().expect("the lock is never poisoned").len()
    }
}

fn into_error(e: SendError<RequestHold, Error>) -> Error {
    match e {
        SendError::HandlerError(e) => e,
        _ => Error::new(Kind::Fenced, "the keeper of this incarnation is gone"),
    }
}
