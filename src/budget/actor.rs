//! Actor that owns the grants of a router: drives [`Holder`] and performs its I/O.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use kameo::error::Infallible;
use kameo::prelude::{
    Actor, ActorRef, Context, DelegatedReply, Message, ReplySender, WeakActorRef,
};

use super::holder::{Admission, Effect, HoldId, Holder, Limit, LoadedRows, Protection, Usage};
use super::ledger::{
    Bill, BudgetRow, GrantChange, GrantRow, HolderRow, HolderState, Versioned, bill_key,
    budget_key, grant_key, holder_key,
};
use super::sizing::Sizing;
use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, Millis, Tokens};
use crate::table::committer::Committer;
use crate::table::{Row, RowKey, Table, Version};

/// Interval between checks for idle grants and due flushes.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum delay between attempts to read the ledger, and the delay between attempts to write it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Receives events of a [`GrantActor`].
pub trait GrantListener: Clone + Send + Sync + 'static {
    /// The bills of these holds are recorded in the table.
    fn recorded(&self, holds: Vec<HoldId>);
    /// This incarnation was sealed by its witness and no longer holds any grants.
    fn fenced(&self);
}

/// Owns the grants of one incarnation of a router.
pub struct GrantActor<T: Table, L: GrantListener> {
    me: ActorRef<GrantActor<T, L>>,
    deps: GrantActorArgs<T, L>,
    holder: Holder,
    version: Version,
    fenced: bool,
    waiting: Vec<(HoldId, ReplySender<Result<HoldId>>)>,
}

/// Dependencies and initial state of a [`GrantActor`].
#[derive(Clone)]
pub struct GrantActorArgs<T: Table, L: GrantListener> {
    /// Table that holds the ledger, for reads.
    pub table: T,
    /// Group committer for writes to the ledger.
    pub committer: Committer,
    /// The incarnation that holds the grants.
    pub incarnation: Incarnation,
    /// Version of the incarnation's holder row.
    pub version: Version,
    /// The active configuration.
    pub cfg: Arc<RwLock<Config>>,
    /// Source of the current time.
    pub clock: Clock,
    /// Receives the events of the actor.
    pub grant_listener: L,
    /// Overrides the configured sizing policy, for experiments.
    pub sizing: Option<Sizing>,
    /// Number of routers that may hold parts of one budget.
    pub holders: u64,
}

impl<T: Table, L: GrantListener> Actor for GrantActor<T, L> {
    type Args = GrantActorArgs<T, L>;
    type Error = Infallible;

    async fn on_start(
        deps: GrantActorArgs<T, L>,
        me: ActorRef<Self>,
    ) -> std::result::Result<Self, Infallible> {
        tokio::spawn(tick(me.downgrade()));
        let sizing = deps.sizing.unwrap_or(Sizing::ByRate { horizon: Millis(5_000) });
        let version = deps.version;
        Ok(GrantActor {
            me,
            deps,
            holder: Holder::new(sizing),
            version,
            fenced: false,
            waiting: Vec::new(),
        })
    }
}

async fn tick<T: Table, L: GrantListener>(me: WeakActorRef<GrantActor<T, L>>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(me) = me.upgrade() else { return };
        if me.tell(Tick).await.is_err() {
            return;
        }
    }
}

/// Message: reserves tokens of a budget for a request.
#[derive(Clone, Debug)]
pub struct RequestHold {
    /// The budget to reserve from.
    pub budget: BudgetId,
    /// Largest possible cost of the request.
    pub amount: Tokens,
    /// Whether to wait for an extension of the grant if it is too small.
    pub wait_for_grant: bool,
}

/// Message: releases a hold whose request did not run or no longer waits for it.
#[derive(Clone, Copy, Debug)]
pub struct CancelHold(pub HoldId);

/// Message: replaces the hold of an ended request by its bill. Replies with the excess of the cost
/// over the held amount.
#[derive(Clone, Debug)]
pub struct SettleHold {
    /// Hold of the request.
    pub hold: HoldId,
    /// Bill of the request.
    pub bill: Bill,
}

/// Message: moves a hold that no witness keeps a copy of to the solo part of the grant. Replies
/// whether it fits.
#[derive(Clone, Copy, Debug)]
pub struct MoveToSolo(pub HoldId);

/// Message: releases the free tokens of all budgets.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseAll;

/// Message: releases the free tokens of one budget.
#[derive(Clone, Debug)]
pub struct Release(pub BudgetId);

/// Message: the holder row was rewritten and now has this version.
#[derive(Clone, Copy, Debug)]
pub struct HolderRowVersion(pub Version);

/// Message: sets the number of routers.
#[derive(Clone, Copy, Debug)]
pub struct SetRouterCounts {
    /// Routers that write to the ledger.
    pub routers: u64,
    /// Routers that may hold parts of one budget.
    pub holders: u64,
}

/// Message: replies with the usage of a budget at this router.
#[derive(Clone, Debug)]
pub struct GetUsage(pub BudgetId);

/// Message: replies with the totals of this actor.
#[derive(Clone, Copy, Debug)]
pub struct GetTotals;

/// Totals for reports and for a graceful stop.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(kameo::Reply)]
pub struct GrantTotals {
    /// Number of budgets with state at this router.
    pub budgets: usize,
    /// Number of requests that hold tokens.
    pub holds: usize,
    /// Number of bills not yet recorded in the table.
    pub pending_bills: usize,
}

/// Message: the witness sealed this incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Fence;

struct Tick;
struct RowsRead(BudgetId, Result<LoadedRows>, Option<Version>);
struct Written(BudgetId, Option<Version>);

impl<T: Table, L: GrantListener> GrantActor<T, L> {
    fn now(&self) -> Millis {
        self.deps.clock.now()
    }

    fn limit(&mut self, id: &BudgetId) -> Limit {
        let cfg = self.deps.cfg.read().expect("the configuration lock is never poisoned");
        let sizing =
            self.deps.sizing.unwrap_or(Sizing::ByRate { horizon: cfg.fleet.grant_horizon });
        self.holder.set_policy(sizing, cfg.fleet.solo_share.0, self.deps.holders);
        Limit {
            prepaid: cfg.budget(id).map_or(Tokens::ZERO, |b| b.prepaid),
            revision: cfg.revision,
        }
    }

    fn run_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Load(id) => self.load(id),
                Effect::Write(id, change, budget, grant) => self.write(id, &change, budget, grant),
                Effect::Notify(result) => self.reply_to_waiter(result.ticket, result.refused),
                Effect::Recorded(holds) => self.deps.grant_listener.recorded(holds),
            }
        }
    }

    fn reply_to_waiter(&mut self, ticket: HoldId, refused: Option<Kind>) {
        let Ok(index) = self.waiting.binary_search_by(|(t, _)| t.cmp(&ticket)) else {
            // The request no longer waits, so its tokens must not stay reserved.
            return self.holder.cancel(ticket);
        };
        let (_, tx) = self.waiting.remove(index);
        tx.send(match refused {
            None => Ok(ticket),
            Some(kind) => Err(refusal(kind)),
        });
    }

    fn load(&self, id: BudgetId) {
        let (me, deps) = (self.me.clone(), self.deps.clone());
        let bills = self.holder.pending_bills_of(&id);
        tokio::spawn(async move {
            let (rows, version) = read_rows_with_retry(&deps, &id, &bills).await;
            // Sending fails only if the actor has stopped and no longer needs the rows.
            let _ = me.tell(RowsRead(id, rows, version)).await;
        });
    }

    fn write(
        &self,
        id: BudgetId,
        change: &GrantChange,
        budget: Versioned<BudgetRow>,
        grant: Versioned<GrantRow>,
    ) {
        log::debug!(
            "ledger=write budget={id} extend={} release={} bills={} close={}",
            change.extend,
            change.release,
            change.bills.len(),
            change.close
        );
        let mutation =
            change.mutation(&self.deps.incarnation, Some(self.version), &id, budget, grant);
        let (me, committer) = (self.me.clone(), self.deps.committer.clone());
        tokio::spawn(async move {
            let version = loop {
                match committer.write(mutation.clone()).await {
                    Ok(version) => break version,
                    Err(_) => tokio::time::sleep(MAX_RETRY_DELAY).await,
                }
            };
            let _ = me.tell(Written(id, version)).await;
        });
    }

    fn fence(&mut self) {
        if self.fenced {
            return;
        }
        self.fenced = true;
        log::warn!("holder=fenced incarnation={}", self.deps.incarnation);
        self.waiting.drain(..).for_each(|(_, tx)| tx.send(Err(refusal(Kind::Fenced))));
        self.deps.grant_listener.fenced();
    }
}

fn refusal(kind: Kind) -> Error {
    let message = match kind {
        Kind::BudgetExhausted => {
            "the budget has too little left for the largest cost of this request"
        }
        Kind::Fenced => "this router was superseded and is joining again",
        _ => "the ledger cannot be reached",
    };
    Error::new(kind, message)
}

/// Reads the rows of a budget and retries until the table answers, because nothing can be done for
/// a budget whose rows are unknown. Delays are jittered so that routers don't all retry at once
/// when the table is available again.
async fn read_rows_with_retry<T: Table, L: GrantListener>(
    deps: &GrantActorArgs<T, L>,
    id: &BudgetId,
    bills: &[Bill],
) -> (Result<LoadedRows>, Option<Version>) {
    let mut delay = Duration::from_millis(50);
    loop {
        match read_rows(deps, id, bills).await {
            Ok((loaded, version)) => return (Ok(loaded), version),
            Err(e) if e.kind == Kind::Fenced => return (Err(e), None),
            Err(e) => log::warn!("ledger=read_failed budget={id} error={:?}", e.message),
        }
        tokio::time::sleep(delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn read_rows<T: Table, L: GrantListener>(
    deps: &GrantActorArgs<T, L>,
    id: &BudgetId,
    bills: &[Bill],
) -> Result<(LoadedRows, Option<Version>)> {
    let holder = holder_key(&deps.incarnation);
    let (budget, grant) = (budget_key(id), grant_key(&deps.incarnation, id));
    let mut keys: Vec<RowKey> = vec![holder.clone(), budget.clone(), grant.clone()];
    keys.extend(bills.iter().map(bill_key));
    let rows = deps.table.read(keys).await?;
    let find = |key: &RowKey| rows.iter().find(|r| r.key == *key);
    let version = match find(&holder) {
        Some(row) if row.decode::<HolderRow>()?.state == HolderState::Live => row.version,
        _ => return Err(refusal(Kind::Fenced)),
    };
    let billed = bills.iter().filter(|b| find(&bill_key(b)).is_some()).cloned().collect();
    let loaded =
        LoadedRows { budget: versioned(find(&budget))?, grant: versioned(find(&grant))?, billed };
    Ok((loaded, Some(version)))
}

/// Decodes a row together with its version. A missing row gives the default and no version.
///
/// # Errors
///
/// Returns an error if the row cannot be decoded.
pub fn versioned<'a, R: Default + serde::Deserialize<'a>>(
    row: Option<&'a Row>,
) -> Result<Versioned<R>> {
    match row {
        Some(r) => Ok(Versioned { version: Some(r.version), row: r.decode()? }),
        None => Ok(Versioned::default()),
    }
}

impl<T: Table, L: GrantListener> Message<RequestHold> for GrantActor<T, L> {
    type Reply = DelegatedReply<Result<HoldId>>;

    async fn handle(
        &mut self,
        msg: RequestHold,
        cx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let (reply, tx) = cx.reply_sender();
        let Some(tx) = tx else { return reply };
        if self.fenced {
            tx.send(Err(refusal(Kind::Fenced)));
            return reply;
        }
        let limit = self.limit(&msg.budget);
        let now = self.now();
        let ledger_unavailable = self.deps.committer.is_write_failing();
        let wait_for_grant = msg.wait_for_grant && !ledger_unavailable;
        let (admission, effects) = self.holder.admit(
            now,
            &msg.budget,
            limit,
            msg.amount,
            Protection::Witness,
            wait_for_grant,
        );
        match admission {
            Admission::Held(id) => tx.send(Ok(id)),
            // While the table cannot be written, it is unknown whether the budget is exhausted.
            Admission::Refused(_) if ledger_unavailable => {
                tx.send(Err(refusal(Kind::PlatformAway)))
            }
            Admission::Refused(kind) => tx.send(Err(refusal(kind))),
            Admission::Wait(ticket) => self.waiting.push((ticket, tx)),
        }
        self.run_effects(effects);
        reply
    }
}

impl<T: Table, L: GrantListener> Message<CancelHold> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: CancelHold, _: &mut Context<Self, ()>) {
        self.waiting.retain(|(t, _)| *t != msg.0);
        self.holder.cancel(msg.0);
    }
}

impl<T: Table, L: GrantListener> Message<SettleHold> for GrantActor<T, L> {
    type Reply = Tokens;

    async fn handle(&mut self, msg: SettleHold, _: &mut Context<Self, Tokens>) -> Tokens {
        let now = self.now();
        let (excess, effects) = self.holder.settle(now, msg.hold, msg.bill);
        self.run_effects(effects);
        excess
    }
}

impl<T: Table, L: GrantListener> Message<MoveToSolo> for GrantActor<T, L> {
    type Reply = bool;

    async fn handle(&mut self, msg: MoveToSolo, _: &mut Context<Self, bool>) -> bool {
        self.holder.move_to_solo(msg.0)
    }
}

impl<T: Table, L: GrantListener> Message<ReleaseAll> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, _: ReleaseAll, _: &mut Context<Self, ()>) {
        let effects = self.holder.release_all(self.now());
        self.run_effects(effects);
    }
}

impl<T: Table, L: GrantListener> Message<Release> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: Release, _: &mut Context<Self, ()>) {
        let effects = self.holder.release(self.now(), &msg.0);
        self.run_effects(effects);
    }
}

impl<T: Table, L: GrantListener> Message<HolderRowVersion> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: HolderRowVersion, _: &mut Context<Self, ()>) {
        self.version = self.version.max(msg.0);
    }
}

impl<T: Table, L: GrantListener> Message<SetRouterCounts> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: SetRouterCounts, _: &mut Context<Self, ()>) {
        self.deps.holders = msg.holders;
        self.holder.set_routers(msg.routers);
    }
}

impl<T: Table, L: GrantListener> Message<GetUsage> for GrantActor<T, L> {
    type Reply = Usage;

    async fn handle(&mut self, msg: GetUsage, _: &mut Context<Self, Usage>) -> Usage {
        self.holder.usage(&msg.0)
    }
}

impl<T: Table, L: GrantListener> Message<GetTotals> for GrantActor<T, L> {
    type Reply = GrantTotals;

    async fn handle(&mut self, _: GetTotals, _: &mut Context<Self, GrantTotals>) -> GrantTotals {
        GrantTotals {
            budgets: self.holder.budgets(),
            holds: self.holder.holds(),
            pending_bills: self.holder.pending_bills(),
        }
    }
}

impl<T: Table, L: GrantListener> Message<Fence> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, _: Fence, _: &mut Context<Self, ()>) {
        self.fence();
    }
}

impl<T: Table, L: GrantListener> Message<Tick> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let effects = self.holder.tick(self.now());
        self.run_effects(effects);
    }
}

impl<T: Table, L: GrantListener> Message<RowsRead> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: RowsRead, _: &mut Context<Self, ()>) {
        let RowsRead(id, rows, version) = msg;
        match rows {
            Ok(loaded) => {
                self.version = version.unwrap_or(self.version).max(self.version);
                let effects = self.holder.loaded(self.now(), &id, loaded);
                self.run_effects(effects);
            }
            Err(_) => self.fence(),
        }
    }
}

impl<T: Table, L: GrantListener> Message<Written> for GrantActor<T, L> {
    type Reply = ();

    async fn handle(&mut self, msg: Written, _: &mut Context<Self, ()>) {
        let effects = self.holder.changed(self.now(), &msg.0, msg.1);
        self.run_effects(effects);
    }
}
