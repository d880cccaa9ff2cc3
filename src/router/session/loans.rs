//! Tokens that move between routers: borrowed, lent, repaid, called home.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Held, Purpose, Session};
use crate::budget::actor::SettleHold;
use crate::budget::holder::HoldId;
use crate::budget::ledger::Bill;
use crate::budget::witness::HoldCopy;
use crate::error::Result;
use crate::ids::{BudgetId, Tokens};
use crate::membership::view::RouterInfo;
use crate::membership::wire::{PeerClient, PeerReply, PeerRequest};
use crate::table::Platform;

/// Least time between two calls for the tokens of one budget.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);
/// Pause between attempts to repay a borrowed hold.
const REPAY_PAUSE: Duration = Duration::from_millis(200);
/// Attempts to repay a borrowed hold: two minutes in all. Then the failure is logged, and the hold
/// stays with the lender.
const REPAY_ATTEMPTS: u32 = 600;

/// Lets one call for a budget's tokens through at a time; who comes while one is due shares it.
#[derive(Debug, Default)]
pub(super) struct SearchGate {
    began: tokio::sync::Mutex<Option<Instant>>,
}

impl SearchGate {
    fn is_recent(&self) -> bool {
        self.began.try_lock().is_ok_and(|at| at.is_some_and(|at| at.elapsed() < SEARCH_PAUSE))
    }
}

impl<P: Platform, M: PeerClient> Session<P, M> {
    pub(super) async fn borrow(&self, purpose: &Purpose, lender: &RouterInfo) -> Option<Held> {
        let ask = PeerRequest::Borrow {
            budget: purpose.bill.budget.clone(),
            amount: purpose.amount,
            copy: purpose.copy(HoldId(0)),
        };
        let Ok(PeerReply::Held(hold)) = self.mesh.rpc(lender, ask).await else { return None };
        log::info!(
            "borrow=held run={} budget={} from={}",
            purpose.bill.run,
            purpose.bill.budget,
            lender.incarnation
        );
        Some(Held { hold, lender: Some(lender.clone()) })
    }

    /// Asks others to give back what they have free of a budget, so that its last tokens are not
    /// lost in pockets too small for any request. Requests that need it at the same time share
    /// one call, and calls keep a distance: an exhausted budget must not cost the table a write
    /// for each request that it refuses.
    pub(super) async fn call_home(&self, budget: &BudgetId, others: &[RouterInfo]) {
        let gate = {
            let mut searched = self.searched.lock().expect("never poisoned");
            searched.retain(|(_, gate)| Arc::strong_count(gate) > 1 || gate.is_recent());
            match searched.iter().find(|(b, _)| b == budget) {
                Some((_, gate)) => gate.clone(),
                None => {
                    let gate: Arc<SearchGate> = Arc::default();
                    searched.push((budget.clone(), gate.clone()));
                    gate
                }
            }
        };
        let arrived = Instant::now();
        let mut began = gate.began.lock().await;
        if began.is_some_and(|at| at >= arrived) {
            return;
        }
        if let Some(at) = *began {
            tokio::time::sleep_until(at + SEARCH_PAUSE).await;
        }
        *began = Some(Instant::now());
        let asked = others.iter().map(|o| self.mesh.rpc(o, PeerRequest::Release(budget.clone())));
        futures_util::future::join_all(asked).await;
    }

    /// Tells a lender what became of its hold, until it knows. Repeats are harmless: a hold
    /// settles once.
    pub(super) fn repay(self: &Arc<Self>, lender: RouterInfo, hold: HoldId, bill: Option<Bill>) {
        let mesh = self.mesh.clone();
        tokio::spawn(async move {
            for _ in 0..REPAY_ATTEMPTS {
                if mesh
                    .rpc(
                        &lender,
                        PeerRequest::Repay {
                            lender: lender.incarnation.clone(),
                            hold,
                            bill: bill.clone(),
                        },
                    )
                    .await
                    .is_ok()
                {
                    return;
                }
                tokio::time::sleep(REPAY_PAUSE).await;
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
        if let Err(e) = self.cover(copy).await {
            self.undo(hold).await;
            return Err(e);
        }
        Ok(hold)
    }

    /// A lent hold's run goes to another target.
    ///
    /// # Errors
    /// As [`Session::cover`].
    pub async fn lent_moved(&self, hold: HoldId, mut copy: HoldCopy) -> Result<()> {
        copy.hold = hold;
        self.cover(copy).await
    }

    /// A lent hold's run ended.
    pub async fn repaid(self: &Arc<Self>, hold: HoldId, bill: Option<Bill>) {
        match bill {
            None => self.undo(hold).await,
            Some(bill) => {
                let msg = SettleHold { hold, bill };
                let _ = self.keeper.ask(msg).await;
            }
        }
    }
}
