//! Handler for messages from other routers.

use std::sync::Arc;

use super::node::Node;
use super::tasks::Loans;
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{OrganisationId, RequestKey, Revision, Tokens};
use crate::membership::link::PeerHandler;
use crate::membership::wire::{KnownRequest, PeerClient, PeerReply, PeerRequest};
use crate::request::runs::{Run, RunEnd};
use crate::table::Platform;

/// Handles messages from other routers to a node.
pub struct NodePeerHandler<P: Platform, E: Engine, M: PeerClient> {
    /// The node that receives the messages.
    pub node: Arc<Node<P, E, M>>,
    /// Holds lent to other routers.
    pub loans: Arc<Loans>,
}

impl<P: Platform, E: Engine, M: PeerClient> Clone for NodePeerHandler<P, E, M> {
    fn clone(&self) -> Self {
        NodePeerHandler { node: self.node.clone(), loans: self.loans.clone() }
    }
}

impl<P: Platform, E: Engine, M: PeerClient> PeerHandler for NodePeerHandler<P, E, M> {
    async fn handle_request(&self, request: PeerRequest) -> PeerReply {
        self.try_answer(request).await.unwrap_or_else(PeerReply::from)
    }
}

impl<P: Platform, E: Engine, M: PeerClient> NodePeerHandler<P, E, M> {
    async fn try_answer(&self, request: PeerRequest) -> Result<PeerReply> {
        let node = &self.node;
        match request {
            PeerRequest::Beat(entries) => {
                let now = node.now();
                let mut view = node.lock_view();
                view.merge(now, entries);
                let mine = view.gossip_entries(now);
                let newer = view.newest_revision(now) > view.local_router().revision;
                drop(view);
                if newer {
                    node.new_revision.notify_one();
                }
                Ok(PeerReply::Beat(mine))
            }
            PeerRequest::Keep { keeper, holder, copies } => {
                node.check_own_incarnation(&keeper)?;
                let mut witness = node.witness.lock().expect("the witness lock is never poisoned");
                // The check is also needed if `copies` is empty: a sealed holder must always be
                // refused.
                witness.check(&holder)?;
                copies.into_iter().try_for_each(|c| witness.keep(&holder, c))?;
                Ok(PeerReply::Done)
            }
            PeerRequest::Forget { holder, holds } => {
                node.witness
                    .lock()
                    .expect("the witness lock is never poisoned")
                    .forget(&holder, &holds);
                Ok(PeerReply::Done)
            }
            PeerRequest::Seal { keeper, holder } => {
                node.check_own_incarnation(&keeper)?;
                log::info!("witness=seal holder={holder} role=backup");
                let mut witness = node.witness.lock().expect("the witness lock is never poisoned");
                Ok(PeerReply::Copies(witness.seal(&holder)))
            }
            PeerRequest::Find { organisation, key } => {
                Ok(PeerReply::Found(self.find(&organisation, &key)))
            }
            PeerRequest::Free(budget) => {
                let free = if node.is_draining() {
                    Tokens::ZERO
                } else {
                    node.session().usage(budget).await.free
                };
                Ok(PeerReply::Free(free))
            }
            PeerRequest::Borrow { budget, amount, copy } => {
                if node.is_draining() {
                    return Err(Error::new(Kind::Draining, "this router drains"));
                }
                let session = node.session();
                let hold = session.lend(&budget, amount, copy.clone()).await?;
                self.loans.add_loan(hold, copy);
                Ok(PeerReply::Held(hold))
            }
            PeerRequest::Repay { lender, hold, bill } => {
                // A loan of a sealed incarnation is settled by that incarnation's witness. Hold ids
                // are unique only within an incarnation, so treating it as a loan of the current
                // one could free a hold whose run is still going on.
                let session = node.session();
                let known = lender == session.incarnation && self.loans.end_loan(hold).is_some();
                log::debug!(
                    "loan=repaid hold={} known={known} bill={:?}",
                    hold.0,
                    bill.as_ref().map(|b| b.cost)
                );
                if known {
                    session.end_loan(hold, bill).await;
                }
                Ok(PeerReply::Done)
            }
            PeerRequest::Move { lender, hold, target } => {
                let session = node.session();
                let retargeted =
                    self.loans.retarget(hold, target).filter(|_| lender == session.incarnation);
                let settled = || Error::new(Kind::Fenced, "this loan is settled");
                session.retarget_loan(hold, retargeted.ok_or_else(settled)?).await?;
                Ok(PeerReply::Done)
            }
            PeerRequest::Release(budget) => {
                node.session().release(budget).await;
                // Waits for two group commits, so that the released tokens are in the table before
                // the asking router tries again.
                tokio::time::sleep(node.settings.commit_interval.duration() * 2).await;
                Ok(PeerReply::Done)
            }
            PeerRequest::Revisions(from) => Ok(PeerReply::Revisions(self.revisions(from).await)),
            PeerRequest::TargetLeaves(target) => {
                node.lock_picker().mark_leaving(&target);
                Ok(PeerReply::Done)
            }
        }
    }

    /// Returns what is known of a request that runs at this router or whose copy this router keeps.
    fn find(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<KnownRequest> {
        if let Some(run) = self.node.lock_runs().get(organisation, key) {
            return found_from_run(&run);
        }
        self.node.find_copy(organisation, key)
    }

    async fn revisions(&self, from: Revision) -> Vec<crate::config::revision::RevisionRow> {
        self.node.follower.lock().await.revisions_after(from)
    }
}

fn found_from_run(run: &Arc<Run>) -> Option<KnownRequest> {
    let view = run.view(usize::MAX);
    let service = match view.end {
        // The failure may be specific to this router, so other routers must not report it.
        Some(RunEnd::Failed(_)) => return None,
        Some(RunEnd::Service(answer)) => Some(answer),
        _ => None,
    };
    Some(KnownRequest { content: run.content, run: run.execution(), service })
}
