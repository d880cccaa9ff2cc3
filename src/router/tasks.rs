//! Background tasks of a router: heartbeats, configuration updates, instance list, load reports,
//! choice of witness, reclaiming grants of dead routers, settling loans and expiry of old requests.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::boot::new_incarnation;
use super::node::Node;
use super::session::{Session, SessionEvent, SessionParts, WitnessAssignment, WitnessPair};
use crate::budget::holder::HoldId;
use crate::budget::ledger::{HOLDERS_PREFIX, HolderRow, HolderState};
use crate::budget::witness::HoldCopy;
use crate::config::ServiceKind;
use crate::engine::Engine;
use crate::error::{Kind, Result};
use crate::ids::{Incarnation, TargetId};
use crate::membership::selection::{select_backup, select_witness};
use crate::membership::view::RouterInfo;
use crate::membership::wire::{PeerClient, PeerReply, PeerRequest};
use crate::route::picker::ListedTarget;
use crate::table::{InstanceState, Platform, scan_all};

/// Number of routers that get each heartbeat, in addition to the witness, the backup and one silent
/// router.
const HEARTBEAT_FANOUT: usize = 3;
/// Interval between reads of the instance list.
const INSTANCE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between reads of the holder rows. Each interval is jittered by 25 % in either
/// direction.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks of the witness, of dead holders and of loans.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed reclaim is retried.
const RECLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Requests admitted by all routers together, in percent of the batch slots of the targets.
const OVERCOMMIT_PERCENT: u64 = 125;

/// A shared node over any platform, engine and peer client.
pub type SharedNode<P, E, M> = Arc<Node<P, E, M>>;

/// A hold lent to another router.
#[derive(Clone, Debug)]
struct Loan {
    hold: HoldId,
    copy: HoldCopy,
    settling: bool,
}

/// Holds lent to other routers.
#[derive(Debug, Default)]
pub struct Loans(Mutex<Vec<Loan>>);

impl Loans {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Loan>> {
        self.0.lock().expect("the loans lock is never poisoned")
    }

    /// Adds a hold that was lent.
    pub fn add_loan(&self, hold: HoldId, copy: HoldCopy) {
        self.lock().push(Loan { hold, copy, settling: false });
    }

    /// Changes the target in the copy of a lent hold and returns the new copy, or `None` if the
    /// loan is settled or is being settled.
    pub fn retarget(&self, hold: HoldId, target: TargetId) -> Option<HoldCopy> {
        let mut loans = self.lock();
        let loan = loans.iter_mut().find(|l| l.hold == hold && !l.settling)?;
        loan.copy.target = target;
        Some(loan.copy.clone())
    }

    /// Removes a loan and returns its copy, or `None` if it was already removed.
    pub fn end_loan(&self, hold: HoldId) -> Option<HoldCopy> {
        let mut loans = self.lock();
        let index = loans.iter().position(|l| l.hold == hold)?;
        Some(loans.swap_remove(index).copy)
    }

    /// Marks a loan as being settled. Returns `false` if the loan is gone or another task already
    /// settles it.
    fn start_settling(&self, hold: HoldId) -> bool {
        let mut loans = self.lock();
        let found = loans.iter_mut().find(|l| l.hold == hold && !l.settling);
        found.map(|l| l.settling = true).is_some()
    }

    fn all(&self) -> Vec<(HoldId, HoldCopy)> {
        self.lock().iter().map(|l| (l.hold, l.copy.clone())).collect()
    }

    fn clear(&self) {
        self.lock().clear();
    }
}

/// Starts all tasks. They stop when the set is dropped.
pub fn start_tasks<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
    loans: &Arc<Loans>,
    events: mpsc::UnboundedReceiver<SessionEvent>,
) -> tokio::task::JoinSet<()> {
    let mut set = tokio::task::JoinSet::new();
    set.spawn(send_heartbeats(node.clone()));
    set.spawn(follow_config(node.clone()));
    set.spawn(poll_instances(node.clone()));
    set.spawn(poll_load_reports(node.clone()));
    set.spawn(poll_holder_rows(node.clone()));
    set.spawn(maintain(node.clone(), loans.clone()));
    set.spawn(handle_session_events(node.clone(), loans.clone(), events));
    set
}

fn ticker(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Sends heartbeats to the witness, the backup and a few other routers in turn. The number of
/// messages per interval does not grow with the fleet.
async fn send_heartbeats<P: Platform, E: Engine, M: PeerClient>(node: SharedNode<P, E, M>) {
    let mut ticks = ticker(node.settings.heartbeat.duration());
    let mut offset = 0;
    loop {
        ticks.tick().await;
        let now = node.now();
        let load = node.gates.load().0;
        let (entries, to) = {
            let mut view = node.lock_view();
            view.update_local(|e| e.load = load);
            let me = view.local_router().incarnation.clone();
            let mut others = view.live_routers(now);
            others.retain(|e| e.incarnation != me);
            (view.next_heartbeat(now), others)
        };
        let candidate = node.lock_view().next_silent_candidate(now);
        let n = to.len().max(1);
        let mut chosen: Vec<RouterInfo> =
            (0..HEARTBEAT_FANOUT.min(to.len())).map(|i| to[(offset + i) % n].clone()).collect();
        offset = (offset + HEARTBEAT_FANOUT) % n;
        if let WitnessAssignment::Stable(Some(pair)) = node.session().assignment() {
            let missing = |m: &&RouterInfo| !chosen.iter().any(|c| c.incarnation == m.incarnation);
            let missing: Vec<RouterInfo> = pair.members().filter(missing).cloned().collect();
            chosen.extend(missing);
        }
        chosen.extend(candidate);
        for peer in chosen {
            tokio::spawn(send_heartbeat(node.clone(), peer, entries.clone()));
        }
    }
}

async fn send_heartbeat<P: Platform, E: Engine, M: PeerClient>(
    node: SharedNode<P, E, M>,
    peer: RouterInfo,
    entries: Vec<RouterInfo>,
) {
    if let Ok(PeerReply::Beat(theirs)) =
        node.peer_client.rpc(&peer, PeerRequest::Beat(entries)).await
    {
        let now = node.now();
        node.lock_view().merge(now, theirs);
    }
}

/// Keeps the configuration up to date: polls its head, reads it at once when another router runs a
/// newer revision, and fetches revisions from other routers while the platform is unavailable.
async fn follow_config<P: Platform, E: Engine, M: PeerClient>(node: SharedNode<P, E, M>) {
    loop {
        let before = node.follower.lock().await.head().revision;
        let result = node.follower.lock().await.catch_up(&node.platform, &node.cfg).await;
        if let Err(e) = result {
            log::warn!("config=behind revision={before} error={:?}", e.message);
            fetch_from_peers(&node).await;
        }
        publish_revision(&node).await;
        let _ = tokio::time::timeout(
            node.settings.config_poll.duration(),
            node.new_revision.notified(),
        )
        .await;
    }
}

/// Announces the active configuration revision to the other routers.
pub async fn publish_revision<P: Platform, E: Engine, M: PeerClient>(node: &SharedNode<P, E, M>) {
    let revision = node.follower.lock().await.head().revision;
    let mut view = node.lock_view();
    if view.local_router().revision < revision {
        view.update_local(|e| e.revision = revision);
        log::info!("config=in_force revision={revision}");
    }
}

async fn fetch_from_peers<P: Platform, E: Engine, M: PeerClient>(node: &SharedNode<P, E, M>) {
    let have = node.follower.lock().await.head().revision;
    let ahead: Vec<RouterInfo> = node.live().into_iter().filter(|e| e.revision > have).collect();
    for peer in ahead {
        if let Ok(PeerReply::Revisions(rows)) =
            node.peer_client.rpc(&peer, PeerRequest::Revisions(have)).await
        {
            let mut follower = node.follower.lock().await;
            for row in &rows {
                if let Err(e) = follower.apply(row, &node.cfg) {
                    log::warn!("config=refused from={} error={:?}", peer.incarnation, e.message);
                    break;
                }
            }
        }
    }
}

/// Updates the targets from the instance list. A list that is empty or cannot be read is ignored.
async fn poll_instances<P: Platform, E: Engine, M: PeerClient>(node: SharedNode<P, E, M>) {
    let mut ticks = ticker(INSTANCE_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let list = match node.platform.list().await {
            Ok(list) if !list.is_empty() => list,
            _ => continue,
        };
        let listed = list.into_iter().filter_map(|i| {
            let id = i.name.parse().ok()?;
            Some(ListedTarget {
                id,
                addr: i.addr,
                zone: i.zone,
                leaving: i.state == InstanceState::Leaving,
            })
        });
        node.lock_picker().set_list(listed.collect());
    }
}

/// Polls the load reports of all targets. A round starts only after the previous one is complete,
/// so with many targets each report is read less often.
async fn poll_load_reports<P: Platform, E: Engine, M: PeerClient>(node: SharedNode<P, E, M>) {
    let mut ticks = ticker(node.settings.report_poll.duration());
    loop {
        ticks.tick().await;
        let targets: Vec<_> =
            node.lock_picker().targets().iter().map(|t| (t.id.clone(), t.addr.clone())).collect();
        let polls = targets.into_iter().map(|(id, addr)| {
            let node = node.clone();
            async move {
                let report = node.engine.report(&addr).await;
                let Ok(report) = report else { return false };
                let known_leaving =
                    node.lock_picker().targets().iter().any(|t| t.id == id && t.leaving);
                if report.leaving && !known_leaving {
                    log::info!("target=leaving id={id} source=report");
                    announce_leaving(&node, &id);
                }
                let now = node.now();
                node.lock_picker().reported(now, &id, report);
                true
            }
        });
        let reported = futures_util::future::join_all(polls).await;
        set_capacities(&node);
        // The list of targets may have arrived during this round. Only their reports say what they
        // serve.
        if reported.contains(&true) {
            node.set_ready();
        }
    }
}

fn announce_leaving<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
    id: &crate::ids::TargetId,
) {
    for peer in node.live() {
        let (node, request) = (node.clone(), PeerRequest::TargetLeaves(id.clone()));
        tokio::spawn(async move {
            let _ = node.peer_client.rpc(&peer, request).await;
        });
    }
}

/// Sets each gate's capacity to this router's share of what the targets can run at once, plus some
/// overcommitment.
fn set_capacities<P: Platform, E: Engine, M: PeerClient>(node: &SharedNode<P, E, M>) {
    let now = node.now();
    let routers = node.live().iter().filter(|e| !e.leaving).count().max(1) as u64;
    let services: Vec<_> = {
        let cfg = node.cfg.read().expect("the lock is never poisoned");
        let name = |k: &ServiceKind, id: &crate::ids::ServiceId| match k {
            ServiceKind::Model { model, .. } => model.clone(),
            ServiceKind::Plain { .. } => id.as_str().into(),
        };
        cfg.services.iter().map(|s| (s.id.clone(), name(&s.kind, &s.id))).collect()
    };
    node.lock_picker().set_routers(routers);
    for (service, name) in services {
        let slots = u64::from(node.lock_picker().slots(now, &name));
        let capacity = (slots * OVERCOMMIT_PERCENT / 100).div_ceil(routers).max(1) as u32;
        node.gates.set_capacity(now, &service, capacity);
    }
}

/// Reads the other routers from the holder rows. This is how routers discover each other at
/// startup, and how a router that lost contact with all others finds them again.
async fn poll_holder_rows<P: Platform, E: Engine, M: PeerClient>(node: SharedNode<P, E, M>) {
    loop {
        if let Ok(rows) = read_holder_rows(&node.platform).await {
            let (live, ended): (Vec<_>, Vec<_>) =
                rows.into_iter().partition(|(_, row)| row.state == HolderState::Live);
            let mut view = node.lock_view();
            ended.iter().for_each(|(incarnation, _)| view.mark_departed(incarnation));
            view.set_candidates(
                live.into_iter().map(|(i, row)| router_info_from_row(i, row)).collect(),
            );
        }
        sleep(HOLDER_POLL_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
    }
}

/// Reads all holder rows.
///
/// # Errors
///
/// Returns `PlatformAway` if the table does not answer, or `BadFormat` if a row cannot be decoded.
pub async fn read_holder_rows<P: Platform>(platform: &P) -> Result<Vec<(Incarnation, HolderRow)>> {
    let rows = scan_all(platform, HOLDERS_PREFIX).await?;
    rows.iter().map(|r| Ok((r.key[HOLDERS_PREFIX.len()..].parse()?, r.decode()?))).collect()
}

fn router_info_from_row(incarnation: Incarnation, row: HolderRow) -> RouterInfo {
    RouterInfo {
        incarnation,
        zone: row.zone,
        api: row.api,
        peer: row.peer,
        beat: 0,
        leaving: false,
        revision: Default::default(),
        load: 0,
    }
}

/// Periodically expires old requests, checks the witness, reclaims the grants of dead holders and
/// settles loans whose borrower is dead.
async fn maintain<P: Platform, E: Engine, M: PeerClient>(
    node: SharedNode<P, E, M>,
    loans: Arc<Loans>,
) {
    let mut ticks = ticker(MAINTENANCE_INTERVAL);
    let reclaimed = Reclaimed::default();
    loop {
        ticks.tick().await;
        let now = node.now();
        node.lock_runs().expire(now);
        let live = node.live();
        // Callers of one organisation are sent to this many routers, and only these hold parts of
        // its budgets.
        let width = node.cfg.read().expect("the lock is never poisoned").fleet.entry_width as usize;
        let serving = live.iter().filter(|e| !e.leaving).count();
        node.session().set_router_counts(serving as u64, serving.min(width) as u64).await;
        maintain_witness(&node, &live).await;
        reclaim_dead_holders(&node, &reclaimed);
        settle_loans_of_dead_borrowers(&node, &loans);
    }
}

async fn maintain_witness<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
    live: &[RouterInfo],
) {
    let session = node.session();
    let WitnessAssignment::Stable(current) = session.assignment() else { return };
    let me = node.lock_view().local_router().clone();
    let suspects = session.suspects();
    let responsive = |e: &&RouterInfo| !suspects.contains(&e.incarnation);
    let responsive: Vec<RouterInfo> = live.iter().filter(responsive).cloned().collect();
    let usable =
        |m: &RouterInfo| responsive.iter().any(|e| e.incarnation == m.incarnation && !e.leaving);
    let healthy = match &current {
        None => responsive.len() < 2,
        Some(pair) => pair.members().all(usable) && (pair.backup.is_some() || responsive.len() < 3),
    };
    if healthy || node.is_draining() {
        return;
    }
    let to = select_witness(&responsive, &me).map(|w| {
        let backup = select_backup(&responsive, &me, w).cloned();
        WitnessPair { witness: w.clone(), backup }
    });
    // No responsive router is left. The current witness, although suspected, is better than none.
    if to.is_none() && !live.is_empty() && current.is_some() && responsive.len() < live.len() {
        return;
    }
    tokio::spawn(async move {
        if let Err(e) = session.change_witness(to).await {
            log::warn!("witness=not_chosen error={:?}", e.message);
        }
    });
}

/// Dead holders whose grants this router has reclaimed or is reclaiming.
type Reclaimed = Arc<Mutex<Vec<Incarnation>>>;

/// Starts reclaiming the grants of holders that died. Each gets its own task, because an
/// unreachable backup of one holder must not delay the checks of this router's own witness.
fn reclaim_dead_holders<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
    reclaimed: &Reclaimed,
) {
    let now = node.now();
    let watched = node.witness.lock().expect("the witness lock is never poisoned").holders();
    let dead: Vec<Incarnation> = {
        let view = node.lock_view();
        let mut started = reclaimed.lock().expect("the lock is never poisoned");
        let dead = |w: &Incarnation| {
            view.is_known(w) && !view.is_router_alive(now, w) && !started.contains(w)
        };
        let dead: Vec<Incarnation> = watched.into_iter().filter(dead).collect();
        started.extend(dead.iter().cloned());
        dead
    };
    for holder in dead {
        let (node, reclaimed) = (node.clone(), reclaimed.clone());
        tokio::spawn(async move {
            let done = node.reclaimer().reclaim(&holder).await;
            if let Err(e) = &done {
                log::warn!("reclaim=waits holder={holder} error={:?}", e.message);
                sleep(RECLAIM_RETRY_DELAY).await;
            }
            if !matches!(done, Ok(true)) {
                reclaimed.lock().expect("the lock is never poisoned").retain(|r| *r != holder);
            }
        });
    }
}

/// Settles loans whose borrower died and so cannot report the outcome. The lender follows the run
/// until it ends and does not cancel it, because a borrower that is only cut off from the lender
/// still streams the answer to its caller.
fn settle_loans_of_dead_borrowers<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
    loans: &Arc<Loans>,
) {
    for (hold, copy) in loans.all() {
        let run = copy.bill.run.as_str();
        let borrower = run.rsplit_once('.').and_then(|(b, _)| b.parse::<Incarnation>().ok());
        let now = node.now();
        let dead = borrower.is_none_or(|b| {
            let view = node.lock_view();
            view.is_known(&b) && !view.is_router_alive(now, &b)
        });
        if !dead || !loans.start_settling(hold) {
            continue;
        }
        let (node, loans) = (node.clone(), loans.clone());
        tokio::spawn(async move {
            let session = node.session();
            let Some(bill) = node.reclaimer().outcome(&copy).await else { return };
            if loans.end_loan(hold).is_some() {
                log::info!("loan=settled run={} billed={}", copy.bill.run, bill.is_some());
                session.end_loan(hold, bill).await;
            }
        });
    }
}

/// Drops the copies of recorded bills at the witness, and starts a new session when the current one
/// is fenced.
async fn handle_session_events<P: Platform, E: Engine, M: PeerClient>(
    node: SharedNode<P, E, M>,
    loans: Arc<Loans>,
    mut events: mpsc::UnboundedReceiver<SessionEvent>,
) {
    loop {
        match events.recv().await {
            Some(SessionEvent::Recorded(holds)) => {
                let session = node.session();
                tokio::spawn(async move { session.forget(&holds).await });
            }
            Some(SessionEvent::Fenced) => {
                loans.clear();
                events = rejoin(&node).await;
            }
            None => return,
        }
    }
}

/// Starts a new session after the current incarnation was sealed, by a false suspicion or after a
/// long pause. The witness settles what the old incarnation held, and the new one starts without
/// grants. Running streams continue.
async fn rejoin<P: Platform, E: Engine, M: PeerClient>(
    node: &SharedNode<P, E, M>,
) -> mpsc::UnboundedReceiver<SessionEvent> {
    loop {
        let incarnation = new_incarnation(&node.settings.instance);
        let me = node.lock_view().local_router().clone();
        let parts = SessionParts {
            platform: node.platform.clone(),
            peer_client: node.peer_client.clone(),
            incarnation: incarnation.clone(),
            row: HolderRow {
                zone: me.zone,
                api: me.api,
                peer: me.peer,
                witness: None,
                backup: None,
                state: HolderState::Live,
            },
            cfg: node.cfg.clone(),
            clock: node.clock,
            commit_interval: node.settings.commit_interval.duration(),
            sizing: node.sizing,
        };
        match Session::start(parts).await {
            Ok((session, events)) => {
                node.set_session(session);
                node.lock_view().update_local(|e| {
                    e.incarnation = incarnation.clone();
                    e.beat = 0;
                });
                log::warn!("rejoin=done incarnation={incarnation}");
                return events;
            }
            Err(e) if e.kind == Kind::Conflict => {}
            Err(e) => log::warn!("rejoin=waits error={:?}", e.message),
        }
        sleep(MAINTENANCE_INTERVAL).await;
    }
}
