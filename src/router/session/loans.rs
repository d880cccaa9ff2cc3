//! Lending between routers: borrowing, lending and settling holds, and asking other routers to
//! release free tokens.

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
use crate::membership::view::RouterInfo;
use crate::membership::wire::{PeerClient, PeerReply, PeerRequest};
use crate::table::Platform;

/// Minimum time between two requests to the other routers to release tokens of the same budget.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to report the outcome of a borrowed hold to its lender.
const REPAY_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of attempts to report the outcome of a borrowed hold, over about two minutes.
/// After that, the failure is logged and the hold stays reserved at the lender.
const MAX_REPAY_ATTEMPTS: u32 = 600;

/// Serializes release requests for one budget. A caller that arrives before the next release
/// request has started shares that request.
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

impl<P: Platform, M: PeerClient> Session<P, M> {
    pub(super) async fn borrow(&self, spec: &HoldSpec, peer: &RouterInfo) -> Option<HeldTokens> {
        let req = PeerRequest::Borrow {
            budget: spec.bill.budget.clone(),
            amount: spec.amount,
            copy: spec.copy(HoldId(0)),
        };
        let Ok(PeerReply::Held(hold)) = self.peer_client.rpc(peer, req).await else { return None };
        log::info!(
            "borrow=held run={} budget={} from={}",
            spec.bill.run,
            spec.bill.budget,
            peer.incarnation
        );
        Some(HeldTokens { hold, lender: Some(peer.clone()) })
    }

    /// Asks other routers to release their free tokens of a budget. Otherwise the last tokens of a
    /// budget would be stranded in parts too small for any request.
    ///
    /// Requests that need the same budget at the same time share one release request, and there is
    /// a minimum interval between two of them, because an exhausted budget must not cost the table
    /// a write for each refused request.
    pub(super) async fn request_release(&self, budget: &BudgetId, others: &[RouterInfo]) {
        let gate = {
            let mut release_gates = self.release_gates.lock().expect("the lock is never poisoned");
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
        let requests =
            others.iter().map(|o| self.peer_client.rpc(o, PeerRequest::Release(budget.clone())));
        futures_util::future::join_all(requests).await;
    }

    /// Reports the outcome of a borrowed hold to its lender and retries until the lender confirms.
    /// Retries are idempotent because a hold is settled only once.
    pub(super) fn repay(self: &Arc<Self>, lender: RouterInfo, hold: HoldId, bill: Option<Bill>) {
        let peer_client = self.peer_client.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_REPAY_ATTEMPTS {
                if peer_client
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
                tokio::time::sleep(REPAY_RETRY_INTERVAL).await;
            }
            log::error!("repay=given_up lender={} hold={}", lender.incarnation, hold.0);
        });
    }

    /// Lends a hold of this session's own grant to another router.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExhausted` if there are not enough free tokens, or the errors of
    /// [`Session::protect`].
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

    /// Sends the witnesses a copy that names the new target of a lent hold's run.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Session::protect`].
    pub async fn retarget_loan(&self, hold: HoldId, mut copy: HoldCopy) -> Result<()> {
        copy.hold = hold;
        self.protect(copy).await
    }

    /// Settles a lent hold with its bill, or cancels it if there is none.
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
