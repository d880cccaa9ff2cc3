//! Handler for messages from other routers.

use std::sync::Arc;

use super::node::Node;
use super::tasks::Loans;
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{OrganisationId, RequestKey, Revision, Tokens};
use crate::membership::link::Answerer;
use crate::membership::wire::{Ask, Found, Mesh, Reply};
use crate::request::runs::{Run, RunEnd};
use crate::table::Platform;

/// Handles messages from other routers to a node.
pub struct NodePeerHandler<P: Platform, E: Engine, M: Mesh> {
    /// The node that receives the messages.
    pub node: Arc<Node<P, E, M>>,
    /// Holds lent to other routers.
    pub loans: Arc<Loans>,
}

impl<P: Platform, E: Engine, M: Mesh> Clone for NodePeerHandler<P, E, M> {
    fn clone(&self) -> Self {
        NodePeerHandler { node: self.node.clone(), loans: self.loans.clone() }
    }
}

impl<P: Platform, E: Engine, M: Mesh> Answerer for NodePeerHandler<P, E, M> {
    async fn answer(&self, ask: Ask) -> Reply {
        self.try_answer(ask).await.unwrap_or_else(Reply::from)
    }
}

impl<P: Platform, E: Engine, M: Mesh> NodePeerHandler<P, E, M> {
    async fn try_answer(&self, ask: Ask) -> Result<Reply> {
        let node = &self.node;
        match ask {
            Ask::Beat(entries) => {
                let now = node.now();
                let mut view = node.lock_view();
                view.merge(now, entries);
                let mine = view.entries(now);
                let newer = view.newest_revision(now) > view.me().revision;
                drop(view);
                if newer {
                    node.new_revision.notify_one();
                }
                Ok(Reply::Beat(mine))
            }
            Ask::Keep { keeper, holder, copies } => {
                node.check_own_incarnation(&keeper)?;
                let mut witness = node.witness.lock().expect("the witness lock is never poisoned");
                // The check is also needed if `copies` is empty: a sealed holder must always be
                // refused.
                witness.check(&holder)?;
                copies.into_iter().try_for_each(|c| witness.keep(&holder, c))?;
                Ok(Reply::Done)
            }
            Ask::Forget { holder, holds } => {
                node.witness
                    .lock()
                    .expect("the witness lock is never poisoned")
                    .forget(&holder, &holds);
                Ok(Reply::Done)
            }
            Ask::Seal { keeper, holder } => {
                node.check_own_incarnation(&keeper)?;
                log::info!("witness=seal holder={holder} role=backup");
                let mut witness = node.witness.lock().expect("the witness lock is never poisoned");
                Ok(Reply::Copies(witness.seal(&holder)))
            }
            Ask::Find { organisation, key } => Ok(Reply::Found(self.find(&organisation, &key))),
            Ask::Free(budget) => {
                let free = if node.is_draining() {
                    Tokens::ZERO
                } else {
                    node.session().usage(budget).await.free
                };
                Ok(Reply::Free(free))
            }
            Ask::Borrow { budget, amount, copy } => {
                if node.is_draining() {
                    return Err(Error::new(Kind::Draining, "this router drains"));
                }
                let session = node.session();
                let hold = session.lend(&budget, amount, copy.clone()).await?;
                self.loans.add_loan(hold, copy);
                Ok(Reply::Held(hold))
            }
            Ask::Repay { lender, hold, bill } => {
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
                Ok(Reply::Done)
            }
            Ask::Move { lender, hold, target } => {
                let session = node.session();
                let retargeted =
                    self.loans.retarget(hold, target).filter(|_| lender == session.incarnation);
                let settled = || Error::new(Kind::Fenced, "this loan is settled");
                session.retarget_loan(hold, retargeted.ok_or_else(settled)?).await?;
                Ok(Reply::Done)
            }
            Ask::Release(budget) => {
                node.session().release(budget).await;
                // Waits for two group commits, so that the released tokens are in the table before
                // the asking router tries again.
                tokio::time::sleep(node.settings.commit_interval.duration() * 2).await;
                Ok(Reply::Done)
            }
            Ask::Revisions(from) => Ok(Reply::Revisions(self.revisions(from).await)),
            Ask::TargetLeaves(target) => {
                node.lock_picker().mark_leaving(&target);
                Ok(Reply::Done)
            }
        }
    }

    /// Returns what is known of a request that runs at this router or whose copy this router keeps.
    fn find(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<Found> {
        if let Some(run) = self.node.lock_runs().get(organisation, key) {
            return found_from_run(&run);
        }
        self.node.find_copy(organisation, key)
    }

    async fn revisions(&self, from: Revision) -> Vec<crate::config::revision::RevisionRow> {
        self.node.follower.lock().await.after(from)
    }
}

fn found_from_run(run: &Arc<Run>) -> Option<Found> {
    let view = run.view(usize::MAX);
    let service = match view.end {
        // The failure may be specific to this router, so other routers must not report it.
        Some(RunEnd::Failed(_)) => return None,
        Some(RunEnd::Service(answer)) => Some(answer),
        _ => None,
    };
    Some(Found { content: run.content, run: run.execution(), service })
}
