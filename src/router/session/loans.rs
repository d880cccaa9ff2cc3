//! Tokens that move between routers: borrowed, lent, repaid, called home.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{HeldTokens, HoldSpec, Session};
use crate::budget::actor::SettleHold;
use crate::budget::holder::HoldId;
use crate::budget::ledger::Bill;
use crate::budget::witness::HoldCopy;
use crate::error::Result;
use crate::ids::{BudgetId, Tokens};
use crate::membership::view::Entry;
use crate::membership::wire::{Ask, Mesh, Reply};
use crate::table::Platform;

/// Least time between two calls for the tokens of one budget.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between attempts to repay a borrowed hold.
const REPAY_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts to repay a borrowed hold: two minutes in all. Then the failure is logged, and the hold
/// stays with the lender.
const MAX_REPAY_ATTEMPTS: u32 = 600;

/// Lets one call for a budget's tokens through at a time; who comes while one is due shares it.
#[derive(Debug, Default)]
pub(super) struct ReleaseGate {
    last_started: tokio::sync::Mutex<Option<Instant>>,
}

impl ReleaseGate {
    fn is_recent(&self) -> bool {
        self.last_started
            .try_lock()
            .is_ok_and(|at| at.is_some_and(|at| at.elapsed() < MIN_RELEASE_INTERVAL))
    }
}

impl<P: Platform, M: Mesh> Session<P, M> {
    pub(super) async fn borrow(&self, spec: &HoldSpec, lender: &Entry) -> Option<HeldTokens> {
        let ask = Ask::Borrow {
            budget: spec.bill.budget.clone(),
            amount: spec.amount,
            copy: spec.copy(HoldId(0)),
        };
        let Ok(Reply::Held(hold)) = self.mesh.ask(lender, ask).await else { return None };
        log::info!(
            "borrow=held run={} budget={} from={}",
            spec.bill.run,
            spec.bill.budget,
            lender.incarnation
        );
        Some(HeldTokens { hold, lender: Some(lender.clone()) })
    }

    /// Asks others to give back what they have free of a budget, so that its last tokens are not
    /// lost in pockets too small for any request. Requests that need it at the same time share
    /// one call, and calls keep a distance: an exhausted budget must not cost the table a write
    /// for each request that it refuses.
    pub(super) async fn request_release(&self, budget: &BudgetId, others: &[Entry]) {
        let gate = {
            let mut release_gates = self.release_gates.lock().expect("never poisoned");
            release_gates.retain(|(_, gate)| Arc::strong_count(gate) > 1 || gate.is_recent());
            match release_gates.iter().find(|(b, _)| b == budget) {
                Some((_, gate)) => gate.clone(),
                None => {
                    let gate: Arc<ReleaseGate> = Arc::default();
                    release_gates.push((budget.clone(), gate.clone()));
                    gate
                }
            }
        };
        let arrived = Instant::now();
        let mut last_started = gate.last_started.lock().await;
        if last_started.is_some_and(|at| at >= arrived) {
            return;
        }
        if let Some(at) = *last_started {
            tokio::time::sleep_until(at + MIN_RELEASE_INTERVAL).await;
        }
        *last_started = Some(Instant::now());
        let asked = others.iter().map(|o| self.mesh.ask(o, Ask::Release(budget.clone())));
        futures_util::future::join_all(asked).await;
    }

    /// Tells a lender what became of its hold, until it knows. Repeats are harmless: a hold
    /// settles once.
    pub(super) fn repay(self: &Arc<Self>, lender: Entry, hold: HoldId, bill: Option<Bill>) {
        let mesh = self.mesh.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_REPAY_ATTEMPTS {
                if mesh
                    .ask(
                        &lender,
                        Ask::Repay { lender: lender.incarnation.clone(), hold, bill: bill.clone() },
                    )
                    .await
                    .is_ok()
                {
                    return;
                }
                tokio::time::sleep(REPAY_RETRY_INTERVAL).await;
            }
            log::error!("repay=given_up lender={} hold={}", lender.incarnation, hold.0);
        });
    }

    /// Lends a hold to another router.
    ///
    /// # Errors
    /// `BudgetExhausted` when there is no room, or as [`Session::cover`].
    pub async fn lend(
        self: &Arc<Self>,
        budget: &BudgetId,
        amount: Tokens,
        mut copy: HoldCopy,
    ) -> Result<HoldId> {
        let hold = self.hold(budget, amount, false).await?;
        copy.hold = hold;
        if let Err(e) = self.protect(copy).await {
            self.cancel_own(hold).await;
            return Err(e);
        }
        Ok(hold)
    }

    /// A lent hold's run goes to another target.
    ///
    /// # Errors
    /// As [`Session::cover`].
    pub async fn retarget_loan(&self, hold: HoldId, mut copy: HoldCopy) -> Result<()> {
        copy.hold = hold;
        self.protect(copy).await
    }

    /// A lent hold's run ended.
    pub async fn end_loan(self: &Arc<Self>, hold: HoldId, bill: Option<Bill>) {
        match bill {
            None => self.cancel_own(hold).await,
            Some(bill) => {
                let msg = SettleHold { hold, bill };
                let _ = self.grant_actor.ask(msg).await;
            }
        }
    }
}
