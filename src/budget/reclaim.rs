//! Settling the grants of a holder that died, out of its witness's copies.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use super::holder::HoldId;
use super::keeper::seen;
use super::ledger::{
    Bill, Change, HolderRow, HolderState, bill_key, budget_key, grant_key, grants_of, holder_key,
};
use super::witness::{Copy, Witness};
use crate::engine::{CancelOutcome, Engine, Piece, PieceStream, RunUsage};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, RunId, TargetId, Tokens};
use crate::table::committer::Committer;
use crate::table::{Mutation, Table, read_one, scan_all};

/// Pause between attempts to learn what became of a run.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Bills recorded in one change.
const FOLD_PAGE: usize = 100;
/// Attempts before a run is left in doubt.
const ASK_ATTEMPTS: u32 = 240;

/// Finds a target's address.
pub trait Addresses: Clone + Send + Sync + 'static {
    /// `ip:port` of a target, while it is known.
    fn addr(&self, target: &TargetId) -> Option<compact_str::CompactString>;
}

/// Asks backups for their seals.
pub trait Seals: Clone + Send + Sync + 'static {
    /// Has `backup` refuse all later copies of `holder`, and tell those it has.
    ///
    /// # Errors
    /// `Io` or `Timeout`: it may still take copies.
    fn seal_at(
        &self,
        backup: &Incarnation,
        holder: &Incarnation,
    ) -> impl Future<Output = Result<Vec<Copy>>> + Send;
}

/// A witness at work for its dead wards.
#[derive(Clone)]
pub struct Reclaimer<T: Table, E: Engine, A: Addresses, S: Seals> {
    /// Other routers.
    pub seals: S,
    /// The ledger.
    pub table: T,
    /// Writes the ledger.
    pub committer: Committer,
    /// Asked what became of runs.
    pub engine: E,
    /// Where targets are.
    pub addresses: A,
    /// The copies.
    pub witness: Arc<Mutex<Witness>>,
    /// The incarnation that is the witness.
    pub me: Incarnation,
}

/// A hold whose end is known.
struct Adopted {
    copy: Copy,
    /// Its bill; `None`: it never ran, or is billed already.
    bill: Option<Bill>,
}

fn ended_usage(copy: &Copy) -> RunUsage {
    RunUsage { prompt_tokens: 0, tokens: copy.bill.cost.0 }
}

/// What is known of a run after asking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    Ended(RunUsage),
    NeverRan,
    Unknown,
}

impl<T: Table, E: Engine, A: Addresses, S: Seals> Reclaimer<T, E, A, S> {
    /// Seals `holder`, gives back what was provably unspent of its grants, and settles its runs
    /// one by one as evidence comes. Whether the holder was this witness's to reclaim.
    ///
    /// The order matters. Witness and backup refuse the holder's copies first, so from then on it
    /// can dispatch nothing new, paused or not; only then is the rest of its grants given back.
    /// Without the backup's seal nothing is: a cut-off holder may go on with its word.
    ///
    /// # Errors
    /// `PlatformAway`, `Io` or `Timeout`: nothing is given back until table and backup answer.
    pub async fn reclaim(&self, holder: &Incarnation) -> Result<bool> {
        let Some(row) = self.own_row(holder).await? else {
            // As its backup this router may have sealed it for the witness: that must stand.
            self.lock_witness().drop_unsealed(holder);
            return Ok(false);
        };
        // The backup first: while it cannot be reached, the holder may be well beside it, and
        // must find its witness open when the zones see each other again.
        let theirs = match &row.backup {
            Some(backup) => self.seals.seal_at(backup, holder).await?,
            None => Vec::new(),
        };
        self.lock_witness().seal(holder);
        self.lock_witness().merge(holder, theirs);
        if !self.seal_row(holder, row.backup.as_ref()).await? {
            self.lock_witness().unseal(holder);
            return Ok(false);
        }
        let copies = self.lock_witness().copies(holder).to_vec();
        log::info!("reclaim=start holder={holder} copies={}", copies.len());
        for budget in self.budgets_of(holder).await? {
            self.fold_ended(holder, &budget, &copies).await?;
        }
        let (tx, rx) = mpsc::unbounded_channel();
        for copy in copies.into_iter().filter(|c| !c.ended) {
            let (reclaimer, tx) = (self.clone(), tx.clone());
            tokio::spawn(async move { reclaimer.adopt(copy, tx).await });
        }
        let (reclaimer, holder) = (self.clone(), holder.clone());
        tokio::spawn(async move { reclaimer.settle_adopted(&holder, rx).await });
        Ok(true)
    }

    fn lock_witness(&self) -> std::sync::MutexGuard<'_, Witness> {
        self.witness.lock().expect("no code panics while it holds the witness")
    }

    fn is_mine(&self, row: &HolderRow) -> bool {
        row.witness.as_ref() == Some(&self.me) && row.state != HolderState::Left
    }

    /// The holder's row, if it names this witness.
    async fn own_row(&self, holder: &Incarnation) -> Result<Option<HolderRow>> {
        let Some(row) = read_one(&self.table, holder_key(holder)).await? else { return Ok(None) };
        let row: HolderRow = row.decode()?;
        Ok(self.is_mine(&row).then_some(row))
    }

    /// Marks the holder as sealed. From then on every change of its own fails on its guard.
    async fn seal_row(&self, holder: &Incarnation, backup: Option<&Incarnation>) -> Result<bool> {
        loop {
            let Some(row) = read_one(&self.table, holder_key(holder)).await? else {
                return Ok(false);
            };
            let mut value: HolderRow = row.decode()?;
            if !self.is_mine(&value) || value.backup.as_ref() != backup {
                return Ok(false);
            }
            if value.state == HolderState::Sealed {
                return Ok(true);
            }
            value.state = HolderState::Sealed;
            let m = Mutation::default().guard(holder_key(holder), Some(row.version));
            if self.committer.write(m.put(holder_key(holder), &value)).await?.is_some() {
                return Ok(true);
            }
        }
    }

    async fn budgets_of(&self, holder: &Incarnation) -> Result<Vec<BudgetId>> {
        let prefix = grants_of(holder);
        let rows = scan_all(&self.table, prefix.clone()).await?;
        rows.iter().map(|r| r.key[prefix.len()..].parse()).collect()
    }

    /// Settles all ended runs of one grant together: one by one, each would wait for the write
    /// of the one before, as they change the same row.
    async fn fold_ended(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        copies: &[Copy],
    ) -> Result<()> {
        let own: Vec<&Copy> =
            copies.iter().filter(|c| c.ended && c.bill.budget == *budget).collect();
        for page in own.chunks(FOLD_PAGE) {
            let bills: Vec<Bill> = page.iter().map(|c| self.bill(c, ended_usage(c))).collect();
            let holds: Vec<HoldId> = page.iter().map(|c| c.hold).collect();
            self.fold(holder, budget, &bills, &holds).await?;
            self.lock_witness().forget(holder, &holds);
        }
        self.fold(holder, budget, &[], &[]).await
    }

    /// Records `bills`, of the holds `ended`, and brings a grant down to what is settled,
    /// outstanding or solo.
    async fn fold(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        bills: &[Bill],
        ended: &[HoldId],
    ) -> Result<()> {
        loop {
            let (bk, gk) = (budget_key(budget), grant_key(holder, budget));
            let mut keys = vec![bk.clone(), gk.clone()];
            keys.extend(bills.iter().map(bill_key));
            let rows = self.table.read(keys).await?;
            let find = |key| rows.iter().find(|r| r.key == key);
            let (budget_row, grant_row) = (seen(find(bk))?, seen(find(gk))?);
            if grant_row.version.is_none() {
                return Ok(());
            }
            let new = bills.iter().filter(|b| find(bill_key(b)).is_none()).cloned().collect();
            let mut change = Change { bills: new, ..Change::default() };
            let outstanding = self.lock_witness().outstanding(holder, budget, ended);
            let (_, after) = change.after(budget_row.row, grant_row.row);
            let needed = after.settled.plus(outstanding).plus(after.solo);
            change.release = after.granted.minus(needed);
            change.close = after.granted.minus(change.release) == after.settled;
            if change == Change::default() {
                return Ok(());
            }
            let m = change.mutation(holder, None, budget, budget_row, grant_row);
            if self.committer.write(m).await?.is_some() {
                log::info!(
                    "reclaim=fold holder={holder} budget={budget} released={}",
                    change.release
                );
                return Ok(());
            }
        }
    }

    async fn adopt(&self, copy: Copy, tx: mpsc::UnboundedSender<Adopted>) {
        if let Some(bill) = self.outcome(&copy).await {
            // The other end lives as long as this one.
            let _ = tx.send(Adopted { copy, bill });
        }
    }

    /// Finds out what became of a run whose router died: its bill, or that there is none to make
    /// (`Some(None)`). Without evidence, `None`: the hold stays counted as spent.
    pub async fn outcome(&self, copy: &Copy) -> Option<Option<Bill>> {
        for _ in 0..ASK_ATTEMPTS {
            match self.evidence(copy).await {
                Ok(Evidence::Ended(u)) => return Some(Some(self.bill(copy, u))),
                Ok(Evidence::NeverRan) => return Some(None),
                Ok(Evidence::Unknown) => {}
                Err(e) => log::warn!("reclaim=ask run={} error={:?}", copy.bill.run, e.message),
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
        log::error!("reclaim=in_doubt run={} tokens={}", copy.bill.run, copy.amount);
        None
    }

    /// Settles holds as evidence comes, all that is there together: each changes the same row.
    ///
    /// A copy stays until its bill is recorded: another fold would otherwise give its tokens back
    /// and close the grant before the bill.
    async fn settle_adopted(&self, holder: &Incarnation, mut rx: mpsc::UnboundedReceiver<Adopted>) {
        let mut page = Vec::new();
        while rx.recv_many(&mut page, FOLD_PAGE).await > 0 {
            page.sort_by(|a, b| a.copy.bill.budget.cmp(&b.copy.bill.budget));
            for group in page.chunk_by(|a, b| a.copy.bill.budget == b.copy.bill.budget) {
                let bills: Vec<Bill> = group.iter().filter_map(|a| a.bill.clone()).collect();
                let holds: Vec<HoldId> = group.iter().map(|a| a.copy.hold).collect();
                let budget = &group[0].copy.bill.budget;
                self.fold_until_done(holder, budget, &bills, &holds).await;
                self.lock_witness().forget(holder, &holds);
            }
            page.clear();
        }
        log::info!("reclaim=done holder={holder}");
    }

    async fn fold_until_done(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        bills: &[Bill],
        ended: &[HoldId],
    ) {
        while let Err(e) = self.fold(holder, budget, bills, ended).await {
            log::warn!("reclaim=fold holder={holder} error={:?}", e.message);
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    fn bill(&self, copy: &Copy, usage: RunUsage) -> Bill {
        let cost = Tokens(usage.prompt_tokens).plus(Tokens(usage.tokens));
        Bill { cost: Tokens(cost.0.min(copy.amount.0)), ..copy.bill.clone() }
    }

    async fn evidence(&self, copy: &Copy) -> Result<Evidence> {
        if copy.ended {
            return Ok(Evidence::Ended(ended_usage(copy)));
        }
        // Another router ran the same request and billed it: this run is paid for.
        if read_one(&self.table, bill_key(&copy.bill)).await?.is_some() {
            return Ok(Evidence::NeverRan);
        }
        let Some(addr) = self.addresses.addr(&copy.target) else { return Ok(Evidence::Unknown) };
        match self.usage_at_end(&addr, &copy.bill.run).await {
            Err(e) if e.kind == Kind::RunLost => self.forbid(&addr, &copy.bill.run).await,
            other => other,
        }
    }

    /// Follows a run to its end.
    async fn usage_at_end(&self, addr: &str, run: &RunId) -> Result<Evidence> {
        let mut parts = self.engine.resume(addr, run, 0).await?;
        while let Some(part) = parts.next().await? {
            if let (true, Piece::End(usage)) = (part.run == *run, part.piece) {
                return Ok(Evidence::Ended(usage));
            }
        }
        Err(Error::new(Kind::RunLost, "the run broke off"))
    }

    /// The target does not know the run. Before its tokens are released, the target is told never
    /// to start it: a holder that was paused before its dispatch may still send it.
    async fn forbid(&self, addr: &str, run: &RunId) -> Result<Evidence> {
        Ok(match self.engine.cancel(addr, run).await? {
            CancelOutcome::NeverRan => Evidence::NeverRan,
            CancelOutcome::Stopped(usage) | CancelOutcome::Ended(usage) => Evidence::Ended(usage),
        })
    }
}
