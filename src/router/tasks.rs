//! What a router does besides serving: heartbeats, following the configuration, load reports,
//! the instance list, its witness, dead wards, loans, expiry.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::boot::new_incarnation;
use super::node::Node;
use super::session::{News, Pair, Session, SessionParts, Watch};
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

/// Others that get each heartbeat besides the witness.
const FANOUT: usize = 3;
/// Pause between looks at the instance list.
const LIST_POLL: Duration = Duration::from_millis(500);
/// Pause between looks at the holder rows.
const HOLDERS_POLL: Duration = Duration::from_secs(5);
/// Pause between looks at witness, wards and loans.
const CARE: Duration = Duration::from_millis(100);
/// Pause before a reclaim that could not be finished is tried again.
const RECLAIM_PAUSE: Duration = Duration::from_millis(500);
/// Room at the gate beyond the targets' batches, in percent.
const OVERCOMMIT: u64 = 125;

/// A node of any kind.
pub type Shared<P, E, M> = Arc<Node<P, E, M>>;

/// One hold lent to another router.
#[derive(Clone, Debug)]
struct Loan {
    hold: HoldId,
    copy: HoldCopy,
    settling: bool,
}

/// Holds lent to other routers.
#[derive(Debug, Default)]
pub struct LoanBook(Mutex<Vec<Loan>>);

impl LoanBook {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Loan>> {
        self.0.lock().expect("no code panics while it holds the loans")
    }

    /// A hold was lent.
    pub fn lent(&self, hold: HoldId, copy: HoldCopy) {
        self.lock().push(Loan { hold, copy, settling: false });
    }

    /// A lent hold's run goes to another target; `None` when the loan is settled or about to be.
    pub fn moved(&self, hold: HoldId, target: TargetId) -> Option<HoldCopy> {
        let mut loans = self.lock();
        let loan = loans.iter_mut().find(|l| l.hold == hold && !l.settling)?;
        loan.copy.target = target;
        Some(loan.copy.clone())
    }

    /// A lent hold is dealt with; `None` when it was already.
    pub fn repaid(&self, hold: HoldId) -> Option<HoldCopy> {
        let mut loans = self.lock();
        let place = loans.iter().position(|l| l.hold == hold)?;
        Some(loans.swap_remove(place).copy)
    }

    /// Whether the caller is the one to settle a dead borrower's loan.
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

/// Starts all tasks. They end when the set is dropped.
pub fn start_all<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
    loans: &Arc<LoanBook>,
    news: mpsc::UnboundedReceiver<News>,
) -> tokio::task::JoinSet<()> {
    let mut set = tokio::task::JoinSet::new();
    set.spawn(beat(node.clone()));
    set.spawn(follow_config(node.clone()));
    set.spawn(poll_list(node.clone()));
    set.spawn(poll_reports(node.clone()));
    set.spawn(poll_holders(node.clone()));
    set.spawn(care(node.clone(), loans.clone()));
    set.spawn(hear_news(node.clone(), loans.clone(), news));
    set
}

fn every(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Heartbeats: to the witness and a few others in turn. Bounded whatever the size of the fleet.
async fn beat<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>) {
    let mut ticks = every(node.settings.heartbeat.duration());
    let mut turn = 0;
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
            (0..FANOUT.min(to.len())).map(|i| to[(turn + i) % n].clone()).collect();
        turn = (turn + FANOUT) % n;
        if let Watch::By(Some(pair)) = node.session().watch() {
            let missing = |m: &&RouterInfo| !chosen.iter().any(|c| c.incarnation == m.incarnation);
            let missing: Vec<RouterInfo> = pair.members().filter(missing).cloned().collect();
            chosen.extend(missing);
        }
        chosen.extend(candidate);
        for peer in chosen {
            tokio::spawn(beat_one(node.clone(), peer, entries.clone()));
        }
    }
}

async fn beat_one<P: Platform, E: Engine, M: PeerClient>(
    node: Shared<P, E, M>,
    peer: RouterInfo,
    entries: Vec<RouterInfo>,
) {
    if let Ok(PeerReply::Beat(theirs)) = node.mesh.rpc(&peer, PeerRequest::Beat(entries)).await {
        let now = node.now();
        node.lock_view().merge(now, theirs);
    }
}

/// Follows the configuration: by polling its head, at once when another router runs a newer
/// revision, and from other routers while the platform is away.
async fn follow_config<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>) {
    loop {
        let before = node.follower.lock().await.head().revision;
        let result = node.follower.lock().await.catch_up(&node.platform, &node.cfg).await;
        if let Err(e) = result {
            log::warn!("config=behind revision={before} error={:?}", e.message);
            from_peers(&node).await;
        }
        publish_revision(&node).await;
        let _ = tokio::time::timeout(
            node.settings.config_poll.duration(),
            node.new_revision.notified(),
        )
        .await;
    }
}

/// Tells the others which revision is in force here.
pub async fn publish_revision<P: Platform, E: Engine, M: PeerClient>(node: &Shared<P, E, M>) {
    let revision = node.follower.lock().await.head().revision;
    let mut view = node.lock_view();
    if view.local_router().revision < revision {
        view.update_local(|e| e.revision = revision);
        log::info!("config=in_force revision={revision}");
    }
}

async fn from_peers<P: Platform, E: Engine, M: PeerClient>(node: &Shared<P, E, M>) {
    let have = node.follower.lock().await.head().revision;
    let ahead: Vec<RouterInfo> = node.live().into_iter().filter(|e| e.revision > have).collect();
    for peer in ahead {
        if let Ok(PeerReply::Revisions(rows)) =
            node.mesh.rpc(&peer, PeerRequest::Revisions(have)).await
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

/// Targets, from the instance list. A list that cannot be read, or is empty, changes nothing.
async fn poll_list<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>) {
    let mut ticks = every(LIST_POLL);
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

/// Load reports, each target in turn. At many targets a report is asked for less often.
async fn poll_reports<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>) {
    let mut ticks = every(node.settings.report_poll.duration());
    loop {
        ticks.tick().await;
        let targets: Vec<_> =
            node.lock_picker().targets().iter().map(|t| (t.id.clone(), t.addr.clone())).collect();
        let asked = targets.into_iter().map(|(id, addr)| {
            let node = node.clone();
            async move {
                let report = node.engine.report(&addr).await;
                let Ok(report) = report else { return };
                let known_leaving =
                    node.lock_picker().targets().iter().any(|t| t.id == id && t.leaving);
                if report.leaving && !known_leaving {
                    log::info!("target=leaving id={id} source=report");
                    tell_leaving(&node, &id);
                }
                let now = node.now();
                node.lock_picker().reported(now, &id, report);
            }
        });
        futures_util::future::join_all(asked).await;
        set_capacities(&node);
        if !node.lock_picker().targets().is_empty() {
            node.set_ready();
        }
    }
}

fn tell_leaving<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
    id: &crate::ids::TargetId,
) {
    for peer in node.live() {
        let (node, ask) = (node.clone(), PeerRequest::TargetLeaves(id.clone()));
        tokio::spawn(async move {
            let _ = node.mesh.rpc(&peer, ask).await;
        });
    }
}

/// Each router lets through its share of what the targets can take, and a little more.
fn set_capacities<P: Platform, E: Engine, M: PeerClient>(node: &Shared<P, E, M>) {
    let now = node.now();
    let routers = node.live().iter().filter(|e| !e.leaving).count().max(1) as u64;
    let services: Vec<_> = {
        let cfg = node.cfg.read().expect("never poisoned");
        let name = |k: &ServiceKind, id: &crate::ids::ServiceId| match k {
            ServiceKind::Model { model, .. } => model.clone(),
            ServiceKind::Plain { .. } => id.as_str().into(),
        };
        cfg.services.iter().map(|s| (s.id.clone(), name(&s.kind, &s.id))).collect()
    };
    node.lock_picker().set_routers(routers);
    for (service, name) in services {
        let slots = u64::from(node.lock_picker().slots(now, &name));
        let capacity = (slots * OVERCOMMIT / 100).div_ceil(routers).max(1) as u32;
        node.gates.set_capacity(now, &service, capacity);
    }
}

/// Other routers, from the holder rows: how they find each other first, and how one that lost
/// touch with all others finds them again.
async fn poll_holders<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>) {
    loop {
        if let Ok(rows) = read_holders(&node.platform).await {
            let (live, gone): (Vec<_>, Vec<_>) =
                rows.into_iter().partition(|(_, row)| row.state == HolderState::Live);
            let mut view = node.lock_view();
            gone.iter().for_each(|(incarnation, _)| view.mark_departed(incarnation));
            view.set_candidates(live.into_iter().map(|(i, row)| entry_of(i, row)).collect());
        }
        sleep(HOLDERS_POLL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
    }
}

/// All holder rows.
///
/// # Errors
/// `PlatformAway`, or `BadFormat` for a row that cannot be read.
pub async fn read_holders<P: Platform>(platform: &P) -> Result<Vec<(Incarnation, HolderRow)>> {
    let rows = scan_all(platform, HOLDERS_PREFIX).await?;
    rows.iter().map(|r| Ok((r.key[HOLDERS_PREFIX.len()..].parse()?, r.decode()?))).collect()
}

fn entry_of(incarnation: Incarnation, row: HolderRow) -> RouterInfo {
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

/// Looks after the witness, dead wards, loans to the dead, and old requests.
async fn care<P: Platform, E: Engine, M: PeerClient>(node: Shared<P, E, M>, loans: Arc<LoanBook>) {
    let mut ticks = every(CARE);
    let reclaimed = Reclaimed::default();
    loop {
        ticks.tick().await;
        let now = node.now();
        node.lock_runs().expire(now);
        let live = node.live();
        // An organisation is named so many routers; only these hold parts of its budgets.
        let width = node.cfg.read().expect("never poisoned").fleet.entry_width as usize;
        let serving = live.iter().filter(|e| !e.leaving).count();
        node.session().set_holders(serving as u64, serving.min(width) as u64).await;
        care_witness(&node, &live).await;
        reclaim_dead(&node, &reclaimed);
        settle_loans(&node, &loans);
    }
}

async fn care_witness<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
    live: &[RouterInfo],
) {
    let session = node.session();
    let Watch::By(now) = session.watch() else { return };
    let me = node.lock_view().local_router().clone();
    let suspects = session.suspects();
    let trusted = |e: &&RouterInfo| !suspects.contains(&e.incarnation);
    let trusted: Vec<RouterInfo> = live.iter().filter(trusted).cloned().collect();
    let stays =
        |m: &RouterInfo| trusted.iter().any(|e| e.incarnation == m.incarnation && !e.leaving);
    let well = match &now {
        None => trusted.len() < 2,
        Some(pair) => pair.members().all(stays) && (pair.backup.is_some() || trusted.len() < 3),
    };
    if well || node.is_draining() {
        return;
    }
    let to = select_witness(&trusted, &me).map(|w| {
        let backup = select_backup(&trusted, &me, w).cloned();
        Pair { witness: w.clone(), backup }
    });
    // Nobody to turn to: whom the row names is better than nobody.
    if to.is_none() && !live.is_empty() && now.is_some() && trusted.len() < live.len() {
        return;
    }
    tokio::spawn(async move {
        if let Err(e) = session.choose_witness(to).await {
            log::warn!("witness=not_chosen error={:?}", e.message);
        }
    });
}

/// Dead wards whose grants are being settled, or are.
type Reclaimed = Arc<Mutex<Vec<Incarnation>>>;

/// Each dead ward is reclaimed by a task of its own: one whose backup cannot be reached must not
/// keep this router from caring for its own witness.
fn reclaim_dead<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
    reclaimed: &Reclaimed,
) {
    let now = node.now();
    let wards = node.witness.lock().expect("no code panics while it holds the witness").holders();
    let dead: Vec<Incarnation> = {
        let view = node.lock_view();
        let mut started = reclaimed.lock().expect("never poisoned");
        let dead = |w: &Incarnation| {
            view.is_known(w) && !view.is_router_alive(now, w) && !started.contains(w)
        };
        let dead: Vec<Incarnation> = wards.into_iter().filter(dead).collect();
        started.extend(dead.iter().cloned());
        dead
    };
    for holder in dead {
        let (node, reclaimed) = (node.clone(), reclaimed.clone());
        tokio::spawn(async move {
            let done = node.reclaimer().reclaim(&holder).await;
            if let Err(e) = &done {
                log::warn!("reclaim=waits holder={holder} error={:?}", e.message);
                sleep(RECLAIM_PAUSE).await;
            }
            if !matches!(done, Ok(true)) {
                reclaimed.lock().expect("never poisoned").retain(|r| *r != holder);
            }
        });
    }
}

/// A borrower that died cannot repay: the lender follows the run to its end itself. It must not
/// stop it: a borrower that is only cut off still streams the answer to its caller.
fn settle_loans<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
    loans: &Arc<LoanBook>,
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
            if loans.repaid(hold).is_some() {
                log::info!("loan=settled run={} billed={}", copy.bill.run, bill.is_some());
                session.repaid(hold, bill).await;
            }
        });
    }
}

/// Tells the witness what the table has, and joins again when this incarnation was sealed.
async fn hear_news<P: Platform, E: Engine, M: PeerClient>(
    node: Shared<P, E, M>,
    loans: Arc<LoanBook>,
    mut news: mpsc::UnboundedReceiver<News>,
) {
    loop {
        match news.recv().await {
            Some(News::Recorded(holds)) => {
                let session = node.session();
                tokio::spawn(async move { session.forget(&holds).await });
            }
            Some(News::Fenced) => {
                loans.clear();
                news = rejoin(&node).await;
            }
            None => return,
        }
    }
}

/// A wrong suspicion or a long pause ended this incarnation: what it held is its witness's to
/// settle, and a new one starts with nothing. Running streams go on.
async fn rejoin<P: Platform, E: Engine, M: PeerClient>(
    node: &Shared<P, E, M>,
) -> mpsc::UnboundedReceiver<News> {
    loop {
        let incarnation = new_incarnation(&node.settings.instance);
        let me = node.lock_view().local_router().clone();
        let parts = SessionParts {
            platform: node.platform.clone(),
            mesh: node.mesh.clone(),
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
            Ok((session, news)) => {
                node.set_session(session);
                node.lock_view().update_local(|e| {
                    e.incarnation = incarnation.clone();
                    e.beat = 0;
                });
                log::warn!("rejoin=done incarnation={incarnation}");
                return news;
            }
            Err(e) if e.kind == Kind::Conflict => {}
            Err(e) => log::warn!("rejoin=waits error={:?}", e.message),
        }
        sleep(CARE).await;
    }
}
