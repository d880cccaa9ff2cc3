//! Reclaims and settles the grants of a crashed holder from the copies that its witness keeps.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use super::actor::versioned;
use super::holder::HoldId;
use super::ledger::{
    Bill, GrantChange, HolderRow, HolderState, bill_key, budget_key, grant_key, grants_prefix,
    holder_key,
};
use super::witness::{HoldCopy, Witness};
use crate::engine::{CancelOutcome, Engine, Piece, PieceStream, RunUsage};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, RunId, TargetId, Tokens};
use crate::table::committer::Committer;
use crate::table::{Mutation, Table, read_one, scan_all};

/// Interval between attempts to determine the outcome of a run, and between attempts to settle a
/// grant.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of bills recorded in one change.
const MAX_BILLS_PER_SETTLEMENT: usize = 100;
/// Maximum number of attempts to determine the outcome of a run. After that, its hold stays counted
/// as spent.
const MAX_QUERY_ATTEMPTS: u32 = 240;

/// Resolves targets to addresses.
pub trait AddressLookup: Clone + Send + Sync + 'static {
    /// Returns the `ip:port` of a target, or `None` if the target is unknown.
    fn addr(&self, target: &TargetId) -> Option<compact_str::CompactString>;
}

/// Seals holders at their backups.
pub trait BackupSealer: Clone + Send + Sync + 'static {
    /// Makes `backup` refuse all further copies of `holder` and returns the copies it has.
    ///
    /// # Errors
    ///
    /// Returns `Io` or `Timeout` if the backup did not confirm. It may then still accept copies.
    fn seal_at(
        &self,
        backup: &Incarnation,
        holder: &Incarnation,
    ) -> impl Future<Output = Result<Vec<HoldCopy>>> + Send;
}

/// Reclaims the grants of crashed holders on behalf of their witness.
#[derive(Clone)]
pub struct Reclaimer<T: Table, E: Engine, A: AddressLookup, S: BackupSealer> {
    /// Seals holders at their backups.
    pub sealer: S,
    /// Table that holds the ledger, for reads.
    pub table: T,
    /// Group committer for writes to the ledger.
    pub committer: Committer,
    /// Client for queries to targets about runs.
    pub engine: E,
    /// Addresses of the targets.
    pub addresses: A,
    /// Copies of the holds of other routers.
    pub witness: Arc<Mutex<Witness>>,
    /// Incarnation of this router, which is the witness.
    pub own_incarnation: Incarnation,
}

/// A hold whose outcome is known.
struct ResolvedHold {
    copy: HoldCopy,
    /// The bill to record; `None` if the run never started or is already billed.
    bill: Option<Bill>,
}

fn ended_usage(copy: &HoldCopy) -> RunUsage {
    RunUsage { prompt_tokens: 0, tokens: copy.bill.cost.0 }
}

/// What is known about a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunStatus {
    Ended(RunUsage),
    NeverRan,
    Unknown,
}

impl<T: Table, E: Engine, A: AddressLookup, S: BackupSealer> Reclaimer<T, E, A, S> {
    /// Seals `holder`, releases the provably unspent part of its grants, and settles its runs as
    /// their outcomes become known. Returns whether this router is the holder's witness and has
    /// sealed it.
    ///
    /// The order of the steps matters. Witness and backup first refuse further copies from the
    /// holder, so that it cannot dispatch anything new, even if it was only paused. Only then is
    /// the unspent part released. Without the backup's seal nothing is released, because a holder
    /// that is cut off from its witness may keep running with copies at its backup alone.
    ///
    /// # Errors
    ///
    /// Returns `PlatformAway`, `Io` or `Timeout` if the table or the backup does not answer.
    /// Nothing is released before both have answered.
    pub async fn reclaim(&self, holder: &Incarnation) -> Result<bool> {
        let Some(row) = self.assigned_row(holder).await? else {
            // This router may have sealed the holder as its backup, on behalf of the witness. That
            // seal has to stay.
            self.lock_witness().drop_unsealed(holder);
            return Ok(false);
        };
        // The backup is sealed first. While it cannot be reached, the holder may still be running
        // next to it, and the witness must still accept its copies once the network partition is
        // over.
        let backup_copies = match &row.backup {
            Some(backup) => self.sealer.seal_at(backup, holder).await?,
            None => Vec::new(),
        };
        self.lock_witness().seal(holder);
        self.lock_witness().merge(holder, backup_copies);
        if !self.seal_row(holder, row.backup.as_ref()).await? {
            self.lock_witness().unseal(holder);
            return Ok(false);
        }
        let copies = self.lock_witness().copies(holder).to_vec();
        log::info!("reclaim=start holder={holder} copies={}", copies.len());
        for budget in self.budgets_of(holder).await? {
            self.settle_ended_runs(holder, &budget, &copies).await?;
        }
        let (tx, rx) = mpsc::unbounded_channel();
        for copy in copies.into_iter().filter(|c| !c.ended) {
            let (reclaimer, tx) = (self.clone(), tx.clone());
            tokio::spawn(async move { reclaimer.resolve_hold(copy, tx).await });
        }
        let (reclaimer, holder) = (self.clone(), holder.clone());
        tokio::spawn(async move { reclaimer.settle_resolved(&holder, rx).await });
        Ok(true)
    }

    fn lock_witness(&self) -> std::sync::MutexGuard<'_, Witness> {
        self.witness.lock().expect("the witness lock is never poisoned")
    }

    fn is_assigned(&self, row: &HolderRow) -> bool {
        row.witness.as_ref() == Some(&self.own_incarnation) && row.state != HolderState::Left
    }

    /// Returns the row of the holder if it names this router as the witness.
    async fn assigned_row(&self, holder: &Incarnation) -> Result<Option<HolderRow>> {
        let Some(row) = read_one(&self.table, holder_key(holder)).await? else { return Ok(None) };
        let row: HolderRow = row.decode()?;
        Ok(self.is_assigned(&row).then_some(row))
    }

    /// Marks the holder's row as sealed, after which the guard of every change by the holder fails.
    /// Returns `false` if the row is gone or names other witnesses.
    async fn seal_row(&self, holder: &Incarnation, backup: Option<&Incarnation>) -> Result<bool> {
        loop {
            let Some(row) = read_one(&self.table, holder_key(holder)).await? else {
                return Ok(false);
            };
            let mut value: HolderRow = row.decode()?;
            if !self.is_assigned(&value) || value.backup.as_ref() != backup {
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
        let prefix = grants_prefix(holder);
        let rows = scan_all(&self.table, prefix.clone()).await?;
        rows.iter().map(|r| r.key[prefix.len()..].parse()).collect()
    }

    /// Settles all ended runs of one grant in batches. They all change the same row, so settling
    /// them one by one would make each wait for the previous write.
    async fn settle_ended_runs(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        copies: &[HoldCopy],
    ) -> Result<()> {
        let own: Vec<&HoldCopy> =
            copies.iter().filter(|c| c.ended && c.bill.budget == *budget).collect();
        for batch in own.chunks(MAX_BILLS_PER_SETTLEMENT) {
            let bills: Vec<Bill> = batch.iter().map(|c| self.bill(c, ended_usage(c))).collect();
            let holds: Vec<HoldId> = batch.iter().map(|c| c.hold).collect();
            self.settle_grant(holder, budget, &bills, &holds).await?;
            self.lock_witness().forget(holder, &holds);
        }
        self.settle_grant(holder, budget, &[], &[]).await
    }

    /// Records `bills`, which belong to the holds `ended`, and shrinks the grant to its settled,
    /// outstanding and solo tokens.
    async fn settle_grant(
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
            let (budget_row, grant_row) = (versioned(find(bk))?, versioned(find(gk))?);
            if grant_row.version.is_none() {
                return Ok(());
            }
            let new = bills.iter().filter(|b| find(bill_key(b)).is_none()).cloned().collect();
            let mut change = GrantChange { bills: new, ..GrantChange::default() };
            let outstanding = self.lock_witness().outstanding(holder, budget, ended);
            let (_, after) = change.after(budget_row.row, grant_row.row);
            let needed = after.settled.plus(outstanding).plus(after.solo);
            change.release = after.granted.minus(needed);
            change.close = after.granted.minus(change.release) == after.settled;
            if change == GrantChange::default() {
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

    async fn resolve_hold(&self, copy: HoldCopy, tx: mpsc::UnboundedSender<ResolvedHold>) {
        if let Some(bill) = self.outcome(&copy).await {
            // The receiving task runs until all senders are dropped, so this cannot fail.
            let _ = tx.send(ResolvedHold { copy, bill });
        }
    }

    /// Determines the outcome of a run whose router crashed.
    ///
    /// Returns `Some(Some(bill))` for a run to be billed, `Some(None)` if there is nothing to bill,
    /// and `None` if the outcome could not be determined. In the last case the hold stays counted
    /// as spent.
    pub async fn outcome(&self, copy: &HoldCopy) -> Option<Option<Bill>> {
        for _ in 0..MAX_QUERY_ATTEMPTS {
            match self.query_run(copy).await {
                Ok(RunStatus::Ended(u)) => return Some(Some(self.bill(copy, u))),
                Ok(RunStatus::NeverRan) => return Some(None),
                Ok(RunStatus::Unknown) => {}
                Err(e) => log::warn!("reclaim=ask run={} error={:?}", copy.bill.run, e.message),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        log::error!("reclaim=in_doubt run={} tokens={}", copy.bill.run, copy.amount);
        None
    }

    /// Settles holds as their outcomes arrive. Those available at the same time are settled
    /// together per budget, because they change the same row.
    ///
    /// A copy is kept until its bill is recorded. Otherwise another settlement of the same grant
    /// could release its tokens and close the grant before the bill is written.
    async fn settle_resolved(
        &self,
        holder: &Incarnation,
        mut rx: mpsc::UnboundedReceiver<ResolvedHold>,
    ) {
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, MAX_BILLS_PER_SETTLEMENT).await > 0 {
            batch.sort_by(|a, b| a.copy.bill.budget.cmp(&b.copy.bill.budget));
            for group in batch.chunk_by(|a, b| a.copy.bill.budget == b.copy.bill.budget) {
                let bills: Vec<Bill> = group.iter().filter_map(|a| a.bill.clone()).collect();
                let holds: Vec<HoldId> = group.iter().map(|a| a.copy.hold).collect();
                let budget = &group[0].copy.bill.budget;
                self.settle_grant_with_retry(holder, budget, &bills, &holds).await;
                self.lock_witness().forget(holder, &holds);
            }
            batch.clear();
        }
        log::info!("reclaim=done holder={holder}");
    }

    async fn settle_grant_with_retry(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        bills: &[Bill],
        ended: &[HoldId],
    ) {
        while let Err(e) = self.settle_grant(holder, budget, bills, ended).await {
            log::warn!("reclaim=fold holder={holder} error={:?}", e.message);
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn bill(&self, copy: &HoldCopy, usage: RunUsage) -> Bill {
        let cost = Tokens(usage.prompt_tokens).plus(Tokens(usage.tokens));
        Bill { cost: Tokens(cost.0.min(copy.amount.0)), ..copy.bill.clone() }
    }

    async fn query_run(&self, copy: &HoldCopy) -> Result<RunStatus> {
        if copy.ended {
            return Ok(RunStatus::Ended(ended_usage(copy)));
        }
        // Another router ran the same request and billed it, so there is nothing left to bill.
        if read_one(&self.table, bill_key(&copy.bill)).await?.is_some() {
            return Ok(RunStatus::NeverRan);
        }
        let Some(addr) = self.addresses.addr(&copy.target) else { return Ok(RunStatus::Unknown) };
        match self.follow_to_end(&addr, &copy.bill.run).await {
            Err(e) if e.kind == Kind::RunLost => self.cancel_run(&addr, &copy.bill.run).await,
            other => other,
        }
    }

    /// Reads the stream of a run to its end.
    async fn follow_to_end(&self, addr: &str, run: &RunId) -> Result<RunStatus> {
        let mut pieces = self.engine.resume(addr, run, 0).await?;
        while let Some(run_piece) = pieces.next().await? {
            if let (true, Piece::End(usage)) = (run_piece.run == *run, run_piece.piece) {
                return Ok(RunStatus::Ended(usage));
            }
        }
        Err(Error::new(Kind::RunLost, "the stream of the run ended without its usage"))
    }

    /// Cancels a run that the target does not know, before the tokens of the run are released. From
    /// then on the target refuses to start it, because a holder that was paused before its dispatch
    /// may still send the request.
    async fn cancel_run(&self, addr: &str, run: &RunId) -> Result<RunStatus> {
        Ok(match self.engine.cancel(addr, run).await? {
            CancelOutcome::NeverRan => RunStatus::NeverRan,
            CancelOutcome::Stopped(usage) | CancelOutcome::Ended(usage) => RunStatus::Ended(usage),
        })
    }
}
