//! One incarnation of a router: its grants, its witness, its writes.

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
use loans::SearchGate;

/// How long a request waits for a grant before other routers are asked.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Time for which a router that did not answer is asked last.
const SUSPICION: Duration = Duration::from_millis(2_000);
/// How long a request waits for another witness when the one there is does not answer.
const NEW_WITNESS: Duration = Duration::from_millis(500);
/// News of a session for its router.
#[derive(Debug)]
pub enum News {
    /// The table has the bills of these holds.
    Recorded(Vec<HoldId>),
    /// The incarnation is sealed.
    Fenced,
}

/// Carries a session's news.
#[derive(Clone, Debug)]
pub struct NewsTx(pub mpsc::UnboundedSender<News>);

impl GrantListener for NewsTx {
    fn recorded(&self, holds: Vec<HoldId>) {
        // A router that is gone wants no news.
        let _ = self.0.send(News::Recorded(holds));
    }

    fn fenced(&self) {
        let _ = self.0.send(News::Fenced);
    }
}

/// The routers that keep copies for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// In another zone when there is one; settles everything after this router's death.
    pub witness: RouterInfo,
    /// In the same zone when there is one, for the time when others cannot be reached.
    pub backup: Option<RouterInfo>,
}

impl Pair {
    /// Both.
    pub fn members(&self) -> impl Iterator<Item = &RouterInfo> {
        std::iter::once(&self.witness).chain(&self.backup)
    }
}

/// Who keeps the copies of this session's holds; `None`: the holder row names nobody, so nobody
/// can reclaim, and holds need no copy.
// There is one of these in a process; a box would only make it harder to read.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Watch {
    /// As the holder row says.
    By(Option<Pair>),
    /// The holder row is being written, and may name either: both have to have each copy.
    Moving(Option<Pair>, Option<Pair>),
}

/// Tokens held for one request.
#[derive(Clone, Debug)]
pub struct Held {
    /// Number of the hold at its holder.
    pub hold: HoldId,
    /// The router whose grant it is of; `None`: this one's.
    pub lender: Option<RouterInfo>,
}

/// What a hold is for.
#[derive(Clone, Debug)]
pub struct Purpose {
    /// The largest cost.
    pub amount: Tokens,
    /// The bill as it would be; its cost is not known yet.
    pub bill: Bill,
    /// Where it will run.
    pub target: crate::ids::TargetId,
}

impl Purpose {
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

/// One incarnation.
pub struct Session<P: Platform, M: PeerClient> {
    /// Its name.
    pub incarnation: Incarnation,
    /// Its writes.
    pub committer: Committer,
    keeper: ActorRef<GrantActor<P, NewsTx>>,
    mesh: M,
    watch: RwLock<Watch>,
    /// Routers that did not answer a copy; others are chosen without waiting for their death.
    suspects: Mutex<Vec<(Incarnation, Instant)>>,
    changed: Notify,
    row: Mutex<(HolderRow, Version)>,
    /// Copies that a witness must have: those of all holds and unrecorded bills.
    copies: Mutex<Vec<HoldCopy>>,
    next_run: AtomicU64,
    /// Budgets whose tokens were called home lately.
    searched: Mutex<Vec<(BudgetId, Arc<SearchGate>)>>,
}

/// What a session is started with.
pub struct SessionParts<P, M> {
    /// The platform.
    pub platform: P,
    /// The other routers.
    pub mesh: M,
    /// The incarnation's name.
    pub incarnation: Incarnation,
    /// Its holder row, not written yet.
    pub row: HolderRow,
    /// The configuration in force.
    pub cfg: Arc<RwLock<Config>>,
    /// Time.
    pub clock: Clock,
    /// Pause between group commits.
    pub commit_interval: Duration,
    /// Overrides the sizing policy, for experiments.
    pub sizing: Option<Sizing>,
}

impl<P: Platform, M: PeerClient> Session<P, M> {
    /// Writes the holder row and starts the keeper. The receiver gets the session's news.
    ///
    /// # Errors
    /// `PlatformAway`, or `Conflict` for an incarnation that exists.
    pub async fn start(
        parts: SessionParts<P, M>,
    ) -> Result<(Arc<Session<P, M>>, mpsc::UnboundedReceiver<News>)> {
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
        let keeper = GrantActor::spawn(GrantActorArgs {
            table: parts.platform,
            committer: committer.clone(),
            incarnation: parts.incarnation.clone(),
            version,
            cfg: parts.cfg,
            clock: parts.clock,
            grant_listener: NewsTx(tx),
            sizing: parts.sizing,
            holders: 1,
        });
        let session = Session {
            incarnation: parts.incarnation,
            committer,
            keeper,
            mesh: parts.mesh,
            watch: RwLock::new(Watch::By(None)),
            suspects: Mutex::default(),
            changed: Notify::new(),
            row: Mutex::new((parts.row, version)),
            copies: Mutex::default(),
            next_run: AtomicU64::new(1),
            searched: Mutex::default(),
        };
        Ok((Arc::new(session), rx))
    }

    /// A name for a new run.
    pub fn new_run(&self) -> RunId {
        let n = self.next_run.fetch_add(1, Ordering::Relaxed);
        format!("{}.{n}", self.incarnation)
            .parse()
            .expect("an incarnation and a number make a name")
    }

    /// Who keeps the copies.
    pub fn watch(&self) -> Watch {
        self.watch.read().expect("never poisoned").clone()
    }

    /// Holds tokens and has the hold covered, here or at one of `others`.
    ///
    /// # Errors
    /// `BudgetExhausted` when nobody asked has room; `PlatformAway` when the ledger could not be
    /// asked, or no cover could be had; `Fenced` when this incarnation was superseded.
    pub async fn reserve(
        self: &Arc<Self>,
        purpose: &Purpose,
        others: &[RouterInfo],
    ) -> Result<Held> {
        let own = match self.hold(&purpose.bill.budget, purpose.amount, true).await {
            Ok(hold) => self.cover_or_cancel(hold, purpose).await,
            Err(e) => Err(e),
        };
        let refused = match own {
            Ok(hold) => return Ok(Held { hold, lender: None }),
            Err(e) => e,
        };
        let budget = &purpose.bill.budget;
        let mut free = self.ask_free(budget, others).await;
        free.sort_by_key(|(tokens, _)| std::cmp::Reverse(*tokens));
        for (_, lender) in free.iter().filter(|(tokens, _)| *tokens >= purpose.amount) {
            if let Some(held) = self.borrow(purpose, lender).await {
                return Ok(held);
            }
        }
        let own = self.usage(budget.clone()).await;
        let scattered =
            free.iter().fold(own.free.plus(own.left), |sum, (tokens, _)| sum.plus(*tokens));
        if refused.kind != Kind::BudgetExhausted || scattered < purpose.amount {
            return Err(refused);
        }
        self.call_home(budget, others).await;
        let hold = self.hold(budget, purpose.amount, true).await?;
        Ok(Held { hold: self.cover_or_cancel(hold, purpose).await?, lender: None })
    }

    /// What others have free of a budget.
    async fn ask_free(
        &self,
        budget: &BudgetId,
        others: &[RouterInfo],
    ) -> Vec<(Tokens, RouterInfo)> {
        let asked = others.iter().map(|o| self.mesh.rpc(o, PeerRequest::Free(budget.clone())));
        let replies = futures_util::future::join_all(asked).await;
        let free = |(reply, other): (Result<PeerReply>, &RouterInfo)| match reply {
            Ok(PeerReply::Free(tokens)) => Some((tokens, other.clone())),
            _ => None,
        };
        replies.into_iter().zip(others).filter_map(free).collect()
    }

    /// Holds tokens of this session's grant.
    ///
    /// # Errors
    /// As the keeper's refusal; `PlatformAway` when no verdict came in time.
    pub async fn hold(
        self: &Arc<Self>,
        budget: &BudgetId,
        amount: Tokens,
        wait_for_grant: bool,
    ) -> Result<HoldId> {
        let msg = RequestHold { budget: budget.clone(), amount, wait_for_grant };
        let (tx, rx) = tokio::sync::oneshot::channel();
        let session = self.clone();
        // The verdict may come after the request stopped waiting: then the hold is undone here.
        tokio::spawn(async move {
            let verdict = session.keeper.ask(msg).await;
            let late = tx.send(verdict.map_err(flatten)).err();
            if let Some(Ok(hold)) = late {
                session.keeper_cancel(hold).await;
            }
        });
        let away = || Error::new(Kind::PlatformAway, "the ledger did not answer in time");
        tokio::time::timeout(PATIENCE, rx).await.map_err(|_| away())?.map_err(|_| away())?
    }

    async fn keeper_cancel(&self, hold: HoldId) {
        // A keeper that is gone holds nothing.
        let _ = self.keeper.tell(CancelHold(hold)).await;
    }

    async fn cover_or_cancel(&self, hold: HoldId, purpose: &Purpose) -> Result<HoldId> {
        match self.cover(purpose.copy(hold)).await {
            Ok(()) => Ok(hold),
            Err(e) => {
                self.undo(hold).await;
                Err(e)
            }
        }
    }

    fn remember(&self, copy: &HoldCopy) {
        let mut copies = self.copies.lock().expect("never poisoned");
        match copies.binary_search_by(|c| c.hold.cmp(&copy.hold)) {
            Ok(place) => copies[place] = copy.clone(),
            Err(place) => copies.insert(place, copy.clone()),
        }
    }

    /// Gives the witnesses a copy; without the word of one of them nothing may be dispatched,
    /// unless the hold fits the solo part.
    ///
    /// # Errors
    /// `Fenced` when this incarnation is sealed, `PlatformAway` when there is no cover.
    pub async fn cover(&self, copy: HoldCopy) -> Result<()> {
        let (hold, run, amount) = (copy.hold, copy.bill.run.clone(), copy.amount);
        let changed = self.changed.notified();
        let first = match self.send_copy(copy.clone()).await {
            Ok(()) => return Ok(()),
            Err(e) if e.kind == Kind::Fenced => return Err(e),
            Err(e) => e,
        };
        if let Ok(true) = self.keeper.ask(MoveToSolo(hold)).await {
            log::info!("cover=solo run={run} hold={} amount={amount}", hold.0);
            return Ok(());
        }
        let new_witness = tokio::time::timeout(NEW_WITNESS, changed).await.is_ok();
        if new_witness && self.send_copy(copy).await.is_ok() {
            log::info!("cover=late run={run} hold={}", hold.0);
            return Ok(());
        }
        let message = format!("no witness can be reached: {}", first.message);
        Err(Error::new(Kind::PlatformAway, message))
    }

    /// One attempt to have a copy kept wherever the holder row may point to.
    ///
    /// The copy is remembered before it is looked up who keeps copies. A change of witness does
    /// it the other way round, so no copy falls between the two.
    async fn send_copy(&self, copy: HoldCopy) -> Result<()> {
        self.remember(&copy);
        let copies = vec![copy];
        match self.watch() {
            Watch::By(pair) => self.give(pair.as_ref(), copies).await,
            Watch::Moving(from, to) => {
                self.give(from.as_ref(), copies.clone()).await?;
                self.give(to.as_ref(), copies).await
            }
        }
    }

    /// Gives copies to one of a pair: a reclaim needs the seals of both, so either is enough.
    async fn give(&self, pair: Option<&Pair>, copies: Vec<HoldCopy>) -> Result<()> {
        let Some(pair) = pair else { return Ok(()) };
        let mut members: Vec<&RouterInfo> = pair.members().collect();
        let suspects = self.suspects();
        members.sort_by_key(|e| suspects.contains(&e.incarnation));
        let mut last = Error::new(Kind::PlatformAway, "no witness is named");
        for member in members {
            let ask = PeerRequest::Keep {
                keeper: member.incarnation.clone(),
                holder: self.incarnation.clone(),
                copies: copies.clone(),
            };
            match self.mesh.rpc(member, ask).await {
                Ok(_) => return Ok(()),
                Err(e) if e.kind == Kind::Fenced => {
                    let _ = self.keeper.tell(Fence).await;
                    return Err(e);
                }
                Err(e) => last = e,
            }
            let mut suspects = self.suspects.lock().expect("never poisoned");
            suspects.retain(|(s, _)| *s != member.incarnation);
            suspects.push((member.incarnation.clone(), Instant::now()));
        }
        Err(last)
    }

    /// Routers that did not answer a copy a short time ago.
    pub fn suspects(&self) -> Vec<Incarnation> {
        let mut suspects = self.suspects.lock().expect("never poisoned");
        suspects.retain(|(_, at)| at.elapsed() < SUSPICION);
        suspects.iter().map(|(s, _)| s.clone()).collect()
    }

    /// A hold whose request never ran.
    pub async fn undo(&self, hold: HoldId) {
        self.keeper_cancel(hold).await;
        self.forget(&[hold]).await;
    }

    /// Gives a hold back, wherever it is.
    pub async fn cancel(self: &Arc<Self>, held: Held) {
        match held.lender {
            None => self.undo(held.hold).await,
            Some(lender) => self.repay(lender, held.hold, None),
        }
    }

    /// A new target for a covered request.
    ///
    /// # Errors
    /// As [`Session::cover`].
    pub async fn move_to(&self, held: &Held, purpose: &Purpose) -> Result<()> {
        let Some(lender) = &held.lender else {
            return self.cover(purpose.copy(held.hold)).await;
        };
        // The lender settles by asking the target it knows of. Untold, it would hear there that
        // the run never was, and lend the tokens again.
        let target = purpose.target.clone();
        let ask = PeerRequest::Move { lender: lender.incarnation.clone(), hold: held.hold, target };
        self.mesh.rpc(lender, ask).await.map(drop)
    }

    /// Settles a hold with its bill. When this returns, the bill survives this router.
    pub async fn settle(self: &Arc<Self>, held: Held, purpose: &Purpose, cost: Tokens) {
        let bill = Bill { cost, ..purpose.bill.clone() };
        if let Some(lender) = held.lender {
            return self.repay(lender, held.hold, Some(bill));
        }
        let mut copy = purpose.copy(held.hold);
        copy.bill = bill.clone();
        copy.ended = true;
        copy.amount = Tokens(purpose.amount.0.max(cost.0));
        // Without a reply the witness still has the hold, and learns the cost from the target.
        let _ = self.send_copy(copy).await;
        match self.keeper.ask(SettleHold { hold: held.hold, bill }).await {
            Ok(excess) if excess > Tokens::ZERO => {
                log::warn!("bill=capped run={} excess={excess}", purpose.bill.run);
            }
            Ok(_) => {}
            Err(e) => log::warn!("bill=left_to_witness run={} error={e:?}", purpose.bill.run),
        }
    }

    /// Drops copies here and at the witness.
    pub async fn forget(&self, holds: &[HoldId]) {
        {
            let mut copies = self.copies.lock().expect("never poisoned");
            copies.retain(|c| !holds.contains(&c.hold));
        }
        let pair = match self.watch() {
            Watch::By(pair) | Watch::Moving(_, pair) => pair,
        };
        let ask =
            || PeerRequest::Forget { holder: self.incarnation.clone(), holds: holds.to_vec() };
        let members: Vec<RouterInfo> = pair.iter().flat_map(Pair::members).cloned().collect();
        // A copy too many costs nothing while this router lives.
        let _ =
            futures_util::future::join_all(members.iter().map(|m| self.mesh.rpc(m, ask()))).await;
    }

    /// Names other witnesses in the holder row.
    ///
    /// Guards against a death in the middle of the change, which would show as tokens given back
    /// although their run went on. From the first step on every new copy goes to the old and the
    /// new ones; then the new ones get all copies there are; only then is the row written.
    /// Whichever the row names at the death, they have everything. The write's outcome may stay
    /// unknown for long, so this must run to its end.
    ///
    /// # Errors
    /// `Fenced` when this incarnation was sealed meanwhile; `Io` or `Timeout` when the new ones
    /// cannot be reached.
    pub async fn choose_witness(&self, to: Option<Pair>) -> Result<()> {
        let Watch::By(from) = self.watch() else { return Ok(()) };
        self.set_watch(Watch::Moving(from.clone(), to.clone()));
        let copies = self.copies.lock().expect("never poisoned").clone();
        if let Err(e) = self.give(to.as_ref(), copies).await {
            self.set_watch(Watch::By(from));
            return Err(e);
        }
        let (mut row, version) = self.row.lock().expect("never poisoned").clone();
        row.witness = to.as_ref().map(|p| p.witness.incarnation.clone());
        row.backup = to.as_ref().and_then(|p| p.backup.as_ref()).map(|b| b.incarnation.clone());
        let key = holder_key(&self.incarnation);
        let m = Mutation::default().guard(key.clone(), Some(version)).put(key, &row);
        let Some(version) = self.committer.write(m).await? else {
            let _ = self.keeper.tell(Fence).await;
            return Err(Error::new(Kind::Fenced, "the holder row was sealed"));
        };
        let named = |n: &Option<Incarnation>| n.as_ref().map_or("-".to_string(), |i| i.to_string());
        let (witness, backup) = (named(&row.witness), named(&row.backup));
        log::info!("witness=chosen holder={} witness={witness} backup={backup}", self.incarnation);
        *self.row.lock().expect("never poisoned") = (row, version);
        let _ = self.keeper.tell(HolderRowVersion(version)).await;
        self.set_watch(Watch::By(to));
        self.changed.notify_waiters();
        Ok(())
    }

    fn set_watch(&self, watch: Watch) {
        *self.watch.write().expect("never poisoned") = watch;
    }

    /// Marks the incarnation as left, after everything was given back.
    ///
    /// # Errors
    /// `PlatformAway` or `Fenced`.
    pub async fn leave(&self) -> Result<()> {
        let (mut row, version) = self.row.lock().expect("never poisoned").clone();
        row.state = HolderState::Left;
        let key = holder_key(&self.incarnation);
        let m = Mutation::default().guard(key.clone(), Some(version)).put(key, &row);
        let fenced = || Error::new(Kind::Fenced, "the holder row was sealed");
        self.committer.write(m).await?.ok_or_else(fenced).map(drop)
    }

    /// Gives back what is free of one budget.
    pub async fn release(&self, budget: BudgetId) {
        let _ = self.keeper.tell(Release(budget)).await;
    }

    /// Gives back everything that is free.
    pub async fn release_all(&self) {
        let _ = self.keeper.tell(ReleaseAll).await;
    }

    /// Tells the keeper how many routers there are, and how many hold parts of one budget.
    pub async fn set_holders(&self, routers: u64, holders: u64) {
        let _ = self.keeper.tell(SetRouterCounts { routers, holders }).await;
    }

    /// What is held of a budget.
    pub async fn usage(&self, budget: BudgetId) -> Usage {
        self.keeper.ask(GetUsage(budget)).await.unwrap_or_default()
    }

    /// Counts over all budgets.
    pub async fn totals(&self) -> GrantTotals {
        self.keeper.ask(GetTotals).await.unwrap_or_default()
    }

    /// Copies that a witness should have.
    pub fn copies(&self) -> usize {
        self.copies.lock().expect("never poisoned").len()
    }
}

fn flatten(e: SendError<RequestHold, Error>) -> Error {
    match e {
        SendError::HandlerError(e) => e,
        _ => Error::new(Kind::Fenced, "the keeper of this incarnation is gone"),
    }
}
