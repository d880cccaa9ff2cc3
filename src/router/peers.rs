//! Answers to other routers.

use std::sync::Arc;

use super::node::Node;
use super::tasks::LoanBook;
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{OrganisationId, RequestKey, Revision, Tokens};
use crate::membership::link::PeerHandler;
use crate::membership::wire::{KnownRequest, PeerClient, PeerReply, PeerRequest};
use crate::request::runs::{Run, RunEnd};
use crate::table::Platform;

/// Answers questions about a node.
pub struct PeerAnswers<P: Platform, E: Engine, M: PeerClient> {
    /// The node.
    pub node: Arc<Node<P, E, M>>,
    /// Holds lent to others.
    pub loans: Arc<LoanBook>,
}

impl<P: Platform, E: Engine, M: PeerClient> Clone for PeerAnswers<P, E, M> {
    fn clone(&self) -> Self {
        PeerAnswers { node: self.node.clone(), loans: self.loans.clone() }
    }
}

impl<P: Platform, E: Engine, M: PeerClient> PeerHandler for PeerAnswers<P, E, M> {
    async fn handle_request(&self, ask: PeerRequest) -> PeerReply {
        self.try_answer(ask).await.unwrap_or_else(PeerReply::from)
    }
}

impl<P: Platform, E: Engine, M: PeerClient> PeerAnswers<P, E, M> {
    async fn try_answer(&self, ask: PeerRequest) -> Result<PeerReply> {
        let node = &self.node;
        match ask {
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
                node.check_keeper(&keeper)?;
                let mut witness =
                    node.witness.lock().expect("no code panics while it holds the witness");
                // An empty message, too, has to be refused for a sealed holder.
                witness.check(&holder)?;
                copies.into_iter().try_for_each(|c| witness.keep(&holder, c))?;
                Ok(PeerReply::Done)
            }
            PeerRequest::Forget { holder, holds } => {
                node.witness
                    .lock()
                    .expect("no code panics while it holds the witness")
                    .forget(&holder, &holds);
                Ok(PeerReply::Done)
            }
            PeerRequest::Seal { keeper, holder } => {
                node.check_keeper(&keeper)?;
                log::info!("witness=seal holder={holder} role=backup");
                let mut witness =
                    node.witness.lock().expect("no code panics while it holds the witness");
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
                self.loans.lent(hold, copy);
                Ok(PeerReply::Held(hold))
            }
            PeerRequest::Repay { lender, hold, bill } => {
                // A loan of an incarnation that was sealed since is its witness's to settle. Taken
                // for one of this incarnation's, it would free a hold whose run goes on.
                let session = node.session();
                let known = lender == session.incarnation && self.loans.repaid(hold).is_some();
                log::debug!(
                    "loan=repaid hold={} known={known} bill={:?}",
                    hold.0,
                    bill.as_ref().map(|b| b.cost)
                );
                if known {
                    session.repaid(hold, bill).await;
                }
                Ok(PeerReply::Done)
            }
            PeerRequest::Move { lender, hold, target } => {
                let session = node.session();
                let moved =
                    self.loans.moved(hold, target).filter(|_| lender == session.incarnation);
                let settled = || Error::new(Kind::Fenced, "this loan is settled");
                session.lent_moved(hold, moved.ok_or_else(settled)?).await?;
                Ok(PeerReply::Done)
            }
            PeerRequest::Release(budget) => {
                node.session().release(budget).await;
                // Two commits: what is free has to be in the table before the asker looks again.
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

    /// A run of this router, or one whose copy it keeps.
    fn find(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<KnownRequest> {
        if let Some(run) = self.node.lock_runs().get(organisation, key) {
            return found(&run);
        }
        self.node.found_copy(organisation, key)
    }

    async fn revisions(&self, from: Revision) -> Vec<crate::config::revision::RevisionRow> {
        self.node.follower.lock().await.revisions_after(from)
    }
}

fn found(run: &Arc<Run>) -> Option<KnownRequest> {
    let view = run.view(usize::MAX);
    let service = match view.end {
        // What failed here is no reason to fail elsewhere.
        Some(RunEnd::Failed(_)) => return None,
        Some(RunEnd::Service(answer)) => Some(answer),
        _ => None,
    };
    Some(KnownRequest { content: run.content, run: run.execution(), service })
}
