//! The actor that owns a router's grants: drives [`Holder`] and does its I/O.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use kameo::error::Infallible;
use kameo::prelude::{
    Actor, ActorRef, Context, DelegatedReply, Message, ReplySender, WeakActorRef,
};

use super::holder::{Admit, Cover, Effect, HoldId, Holder, Limit, Loaded, Usage};
use super::ledger::{
    Bill, BudgetRow, Change, GrantRow, HolderRow, HolderState, Seen, bill_key, budget_key,
    grant_key, holder_key,
};
use super::sizing::Sizing;
use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, Millis, Tokens};
use crate::table::committer::Committer;
use crate::table::{Row, RowKey, Table, Version};

/// Pause between looks at idle grants.
const TICK: Duration = Duration::from_millis(250);
/// Longest pause between attempts to read the ledger.
const MAX_READ_PAUSE: Duration = Duration::from_secs(2);

/// What the keeper tells the rest of the router.
pub trait Outbox: Clone + Send + Sync + 'static {
    /// The table has these holds' bills.
    fn recorded(&self, holds: Vec<HoldId>);
    /// This incarnation was sealed by its witness: it holds nothing any more.
    fn fenced(&self);
}

/// The keeper of one incarnation's grants.
pub struct Keeper<T: Table, O: Outbox> {
    me: ActorRef<Keeper<T, O>>,
    parts: Parts<T, O>,
    holder: Holder,
    version: Version,
    fenced: bool,
    waiting: Vec<(HoldId, ReplySender<Result<HoldId>>)>,
}

/// What a keeper is made of.
#[derive(Clone)]
pub struct Parts<T: Table, O: Outbox> {
    /// Reads the ledger.
    pub table: T,
    /// Writes the ledger.
    pub committer: Committer,
    /// The incarnation that holds the grants.
    pub incarnation: Incarnation,
    /// Version of its holder row.
    pub version: Version,
    /// The configuration in force.
    pub cfg: Arc<RwLock<Config>>,
    /// Time.
    pub clock: Clock,
    /// Where news go.
    pub out: O,
    /// Overrides the sizing policy, for experiments.
    pub sizing: Option<Sizing>,
    /// Routers that may hold parts of one budget.
    pub holders: u64,
}

impl<T: Table, O: Outbox> Actor for Keeper<T, O> {
    type Args = Parts<T, O>;
    type Error = Infallible;

    async fn on_start(
        parts: Parts<T, O>,
        me: ActorRef<Self>,
    ) -> std::result::Result<Self, Infallible> {
        tokio::spawn(tick(me.downgrade()));
        let sizing = parts.sizing.unwrap_or(Sizing::ByRate { horizon: Millis(5_000) });
        let version = parts.version;
        Ok(Keeper {
            me,
            parts,
            holder: Holder::new(sizing),
            version,
            fenced: false,
            waiting: Vec::new(),
        })
    }
}

async fn tick<T: Table, O: Outbox>(me: WeakActorRef<Keeper<T, O>>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(me) = me.upgrade() else { return };
        if me.tell(Tick).await.is_err() {
            return;
        }
    }
}

/// Holds tokens for a request.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Whose tokens.
    pub budget: BudgetId,
    /// The largest cost.
    pub amount: Tokens,
    /// Whether to wait for a grant.
    pub patient: bool,
}

/// A held request turned out not to run, or nobody waits for the hold any more.
#[derive(Clone, Copy, Debug)]
pub struct Cancel(pub HoldId);

/// A request ended with this bill.
#[derive(Clone, Debug)]
pub struct Settle {
    /// Its hold.
    pub hold: HoldId,
    /// Its cost, and who pays.
    pub bill: Bill,
}

/// No witness keeps a copy of this hold; may it go on the solo part?
#[derive(Clone, Copy, Debug)]
pub struct GoSolo(pub HoldId);

/// Gives back everything that is free.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseAll;

/// Gives back what is free of one budget.
#[derive(Clone, Debug)]
pub struct Release(pub BudgetId);

/// The holder row was written again.
#[derive(Clone, Copy, Debug)]
pub struct HolderVersion(pub Version);

/// How many routers there are.
#[derive(Clone, Copy, Debug)]
pub struct Holders {
    /// All that write to the ledger.
    pub routers: u64,
    /// Those that hold parts of one budget.
    pub holders: u64,
}

/// What is held of a budget.
#[derive(Clone, Debug)]
pub struct UsageOf(pub BudgetId);

/// State of the whole keeper.
#[derive(Clone, Copy, Debug)]
pub struct Totals;

/// Counts for reports and for a graceful stop.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(kameo::Reply)]
pub struct KeeperTotals {
    /// Budgets with state here.
    pub pockets: usize,
    /// Requests that hold tokens.
    pub holds: usize,
    /// Bills the table does not have yet.
    pub pending_bills: usize,
}

/// The witness sealed this incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Fence;

struct Tick;
struct RowsRead(BudgetId, Result<Loaded>, Option<Version>);
struct Written(BudgetId, Option<Version>);

impl<T: Table, O: Outbox> Keeper<T, O> {
    fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    fn limit(&mut self, id: &BudgetId) -> Limit {
        let cfg = self.parts.cfg.read().expect("the configuration lock is never poisoned");
        let sizing =
            self.parts.sizing.unwrap_or(Sizing::ByRate { horizon: cfg.fleet.grant_horizon });
        self.holder.set_policy(sizing, cfg.fleet.solo_share.0, self.parts.holders);
        Limit {
            prepaid: cfg.budget(id).map_or(Tokens::ZERO, |b| b.prepaid),
            revision: cfg.revision,
        }
    }

    fn run(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Load(id) => self.load(id),
                Effect::Write(id, change, budget, grant) => self.write(id, &change, budget, grant),
                Effect::Tell(v) => self.tell_waiting(v.ticket, v.refused),
                Effect::Recorded(holds) => self.parts.out.recorded(holds),
            }
        }
    }

    fn tell_waiting(&mut self, ticket: HoldId, refused: Option<Kind>) {
        let Ok(place) = self.waiting.binary_search_by(|(t, _)| t.cmp(&ticket)) else {
            // Who waited is gone: the tokens must not stay held for nobody.
            return self.holder.cancel(ticket);
        };
        let (_, tx) = self.waiting.remove(place);
        tx.send(match refused {
            None => Ok(ticket),
            Some(kind) => Err(refusal(kind)),
        });
    }

    fn load(&self, id: BudgetId) {
        let (me, parts) = (self.me.clone(), self.parts.clone());
        let bills = self.holder.pending_of(&id);
        tokio::spawn(async move {
            let (rows, version) = read_until_known(&parts, &id, &bills).await;
            // A keeper that is gone needs no rows.
            let _ = me.tell(RowsRead(id, rows, version)).await;
        });
    }

    fn write(&self, id: BudgetId, change: &Change, budget: Seen<BudgetRow>, grant: Seen<GrantRow>) {
        log::debug!(
            "ledger=write budget={id} extend={} release={} bills={} close={}",
            change.extend,
            change.release,
            change.bills.len(),
            change.close
        );
        let mutation =
            change.mutation(&self.parts.incarnation, Some(self.version), &id, budget, grant);
        let (me, committer) = (self.me.clone(), self.parts.committer.clone());
        tokio::spawn(async move {
            let version = loop {
                match committer.write(mutation.clone()).await {
                    Ok(version) => break version,
                    Err(_) => tokio::time::sleep(MAX_READ_PAUSE).await,
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
        log::warn!("holder=fenced incarnation={}", self.parts.incarnation);
        self.waiting.drain(..).for_each(|(_, tx)| tx.send(Err(refusal(Kind::Fenced))));
        self.parts.out.fenced();
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

/// Reads a budget's rows, again and again while the table is away: a pocket whose rows are
/// unknown can do nothing else. Pauses carry jitter against a stampede on return.
async fn read_until_known<T: Table, O: Outbox>(
    parts: &Parts<T, O>,
    id: &BudgetId,
    bills: &[Bill],
) -> (Result<Loaded>, Option<Version>) {
    let mut pause = Duration::from_millis(50);
    loop {
        match read_rows(parts, id, bills).await {
            Ok((loaded, version)) => return (Ok(loaded), version),
            Err(e) if e.kind == Kind::Fenced => return (Err(e), None),
            Err(e) => log::warn!("ledger=read_failed budget={id} error={:?}", e.message),
        }
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        pause = (pause * 2).min(MAX_READ_PAUSE);
    }
}

async fn read_rows<T: Table, O: Outbox>(
    parts: &Parts<T, O>,
    id: &BudgetId,
    bills: &[Bill],
) -> Result<(Loaded, Option<Version>)> {
    let holder = holder_key(&parts.incarnation);
    let (budget, grant) = (budget_key(id), grant_key(&parts.incarnation, id));
    let mut keys: Vec<RowKey> = vec![holder.clone(), budget.clone(), grant.clone()];
    keys.extend(bills.iter().map(bill_key));
    let rows = parts.table.read(keys).await?;
    let find = |key: &RowKey| rows.iter().find(|r| r.key == *key);
    let version = match find(&holder) {
        Some(row) if row.decode::<HolderRow>()?.state == HolderState::Live => row.version,
        _ => return Err(refusal(Kind::Fenced)),
    };
    let billed = bills.iter().filter(|b| find(&bill_key(b)).is_some()).cloned().collect();
    let loaded = Loaded { budget: seen(find(&budget))?, grant: seen(find(&grant))?, billed };
    Ok((loaded, Some(version)))
}

/// A row with its version, or the default for none.
pub fn seen<'a, R: Default + serde::Deserialize<'a>>(row: Option<&'a Row>) -> Result<Seen<R>> {
    match row {
        Some(r) => Ok(Seen { version: Some(r.version), row: r.decode()? }),
        None => Ok(Seen::default()),
    }
}

impl<T: Table, O: Outbox> Message<Hold> for Keeper<T, O> {
    type Reply = DelegatedReply<Result<HoldId>>;

    async fn handle(&mut self, msg: Hold, cx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (reply, tx) = cx.reply_sender();
        let Some(tx) = tx else { return reply };
        if self.fenced {
            tx.send(Err(refusal(Kind::Fenced)));
            return reply;
        }
        let limit = self.limit(&msg.budget);
        let now = self.now();
        let stuck = self.parts.committer.is_write_failing();
        let patient = msg.patient && !stuck;
        let (admit, effects) =
            self.holder.admit(now, &msg.budget, limit, msg.amount, Cover::Witness, patient);
        match admit {
            Admit::Held(id) => tx.send(Ok(id)),
            // Without the table it is not known whether the budget is exhausted.
            Admit::Refused(_) if stuck => tx.send(Err(refusal(Kind::PlatformAway))),
            Admit::Refused(kind) => tx.send(Err(refusal(kind))),
            Admit::Wait(ticket) => self.waiting.push((ticket, tx)),
        }
        self.run(effects);
        reply
    }
}

impl<T: Table, O: Outbox> Message<Cancel> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, ()>) {
        self.waiting.retain(|(t, _)| *t != msg.0);
        self.holder.cancel(msg.0);
    }
}

impl<T: Table, O: Outbox> Message<Settle> for Keeper<T, O> {
    type Reply = Tokens;

    async fn handle(&mut self, msg: Settle, _: &mut Context<Self, Tokens>) -> Tokens {
        let now = self.now();
        let (excess, effects) = self.holder.settle(now, msg.hold, msg.bill);
        self.run(effects);
        excess
    }
}

impl<T: Table, O: Outbox> Message<GoSolo> for Keeper<T, O> {
    type Reply = bool;

    async fn handle(&mut self, msg: GoSolo, _: &mut Context<Self, bool>) -> bool {
        self.holder.go_solo(msg.0)
    }
}

impl<T: Table, O: Outbox> Message<ReleaseAll> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, _: ReleaseAll, _: &mut Context<Self, ()>) {
        let effects = self.holder.release_all(self.now());
        self.run(effects);
    }
}

impl<T: Table, O: Outbox> Message<Release> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: Release, _: &mut Context<Self, ()>) {
        let effects = self.holder.release(self.now(), &msg.0);
        self.run(effects);
    }
}

impl<T: Table, O: Outbox> Message<HolderVersion> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: HolderVersion, _: &mut Context<Self, ()>) {
        self.version = self.version.max(msg.0);
    }
}

impl<T: Table, O: Outbox> Message<Holders> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: Holders, _: &mut Context<Self, ()>) {
        self.parts.holders = msg.holders;
        self.holder.set_routers(msg.routers);
    }
}

impl<T: Table, O: Outbox> Message<UsageOf> for Keeper<T, O> {
    type Reply = Usage;

    async fn handle(&mut self, msg: UsageOf, _: &mut Context<Self, Usage>) -> Usage {
        self.holder.usage(&msg.0)
    }
}

impl<T: Table, O: Outbox> Message<Totals> for Keeper<T, O> {
    type Reply = KeeperTotals;

    async fn handle(&mut self, _: Totals, _: &mut Context<Self, KeeperTotals>) -> KeeperTotals {
        KeeperTotals {
            pockets: self.holder.pockets(),
            holds: self.holder.holds(),
            pending_bills: self.holder.pending_bills(),
        }
    }
}

impl<T: Table, O: Outbox> Message<Fence> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, _: Fence, _: &mut Context<Self, ()>) {
        self.fence();
    }
}

impl<T: Table, O: Outbox> Message<Tick> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let effects = self.holder.tick(self.now());
        self.run(effects);
    }
}

impl<T: Table, O: Outbox> Message<RowsRead> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: RowsRead, _: &mut Context<Self, ()>) {
        let RowsRead(id, rows, version) = msg;
        match rows {
            Ok(loaded) => {
                self.version = version.unwrap_or(self.version).max(self.version);
                let effects = self.holder.loaded(self.now(), &id, loaded);
                self.run(effects);
            }
            Err(_) => self.fence(),
        }
    }
}

impl<T: Table, O: Outbox> Message<Written> for Keeper<T, O> {
    type Reply = ();

    async fn handle(&mut self, msg: Written, _: &mut Context<Self, ()>) {
        let effects = self.holder.changed(self.now(), &msg.0, msg.1);
        self.run(effects);
    }
}
