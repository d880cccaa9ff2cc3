//! Puts a node together over any platform, targets and links, and starts its tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cadence::StatsdClient;
use compact_str::CompactString;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::node::{Node, NodeParts};
use super::peers::PeerAnswers;
use super::session::{News, Session, SessionParts};
use super::tasks::{LoanBook, start_all};
use crate::budget::ledger::{HolderRow, HolderState};
use crate::budget::sizing::Sizing;
use crate::clock::Clock;
use crate::config::Config;
use crate::config::settings::Settings;
use crate::config::store::Follower;
use crate::engine::Engine;
use crate::ids::{Digest, Incarnation};
use crate::membership::view::{Entry, View};
use crate::membership::wire::Mesh;
use crate::route::picker::{Picker, Policy};
use crate::table::Platform;

/// Pause between attempts to reach the platform.
const PAUSE: Duration = Duration::from_millis(500);
/// Time for the last write of a holder that leaves.
const LEAVE: Duration = Duration::from_secs(2);

/// What a node is started with.
pub struct Boot<P, E, M> {
    /// Its settings.
    pub settings: Settings,
    /// The platform.
    pub platform: P,
    /// Targets.
    pub engine: E,
    /// Other routers.
    pub mesh: M,
    /// Time.
    pub clock: Clock,
    /// Its listener for callers.
    pub api: CompactString,
    /// Its listener for routers.
    pub peer: CompactString,
    /// How targets are chosen.
    pub policy: Policy,
    /// Overrides the sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
    /// Whether it borrows from others, off only in experiments.
    pub lending: bool,
    /// Metrics.
    pub metrics: StatsdClient,
}

/// A node at work.
pub struct Booted<P: Platform, E: Engine, M: Mesh> {
    /// The node.
    pub node: Arc<Node<P, E, M>>,
    /// Answers other routers.
    pub answers: PeerAnswers<P, E, M>,
    /// Its tasks; they end when this is dropped.
    pub tasks: JoinSet<()>,
}

/// A name that no other start ever had. Wall clock and process alone could repeat on instances
/// that are restored, so random bits are part of it.
pub fn new_incarnation(instance: &str) -> Incarnation {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
    let mut salt = [0; 16];
    getrandom::fill(&mut salt).expect("the system has random bytes");
    let word =
        Digest::of(&[&salt[..], &micros.to_le_bytes(), &n.to_le_bytes()].concat()).first_u64();
    let name = format!("{instance}@{word:016x}");
    name.parse().expect("settings checked the instance's name")
}

/// Starts a node. It waits for the platform: without the configuration's head and a holder row
/// there is nothing that it may serve.
pub async fn boot<P: Platform, E: Engine, M: Mesh>(b: Boot<P, E, M>) -> Booted<P, E, M> {
    let cfg: Arc<RwLock<Config>> = Arc::default();
    let mut follower = Follower::default();
    while let Err(e) = follower.catch_up(&b.platform, &cfg).await {
        log::warn!("start=waits for=configuration error={:?}", e.message);
        sleep(PAUSE).await;
    }
    let (session, news) = first_session(&b, &cfg).await;
    let me = Entry {
        incarnation: session.incarnation.clone(),
        zone: b.settings.zone.clone(),
        api: b.api,
        peer: b.peer,
        beat: 0,
        leaving: false,
        revision: follower.head().revision,
        load: 0,
    };
    let seed = Digest::of(session.incarnation.as_str().as_bytes()).first_u64();
    let node = Arc::new(Node::new(NodeParts {
        clock: b.clock,
        platform: b.platform,
        engine: b.engine,
        mesh: b.mesh,
        cfg,
        follower,
        view: View::new(me, b.settings.dead_after),
        picker: Picker::new(b.policy, b.settings.zone.clone(), seed),
        session,
        metrics: b.metrics,
        settings: b.settings,
        lending: b.lending,
        sizing: b.sizing,
    }));
    let loans: Arc<LoanBook> = Arc::default();
    let answers = PeerAnswers { node: node.clone(), loans: loans.clone() };
    let tasks = start_all(&node, &loans, news);
    Booted { node, answers, tasks }
}

async fn first_session<P: Platform, E: Engine, M: Mesh>(
    b: &Boot<P, E, M>,
    cfg: &Arc<RwLock<Config>>,
) -> (Arc<Session<P, M>>, mpsc::UnboundedReceiver<News>) {
    loop {
        let parts = SessionParts {
            platform: b.platform.clone(),
            mesh: b.mesh.clone(),
            incarnation: new_incarnation(&b.settings.instance),
            row: HolderRow {
                zone: b.settings.zone.clone(),
                api: b.api.clone(),
                peer: b.peer.clone(),
                witness: None,
                backup: None,
                state: HolderState::Live,
            },
            cfg: cfg.clone(),
            clock: b.clock,
            commit_interval: b.settings.commit_interval.duration(),
            sizing: b.sizing,
        };
        match Session::start(parts).await {
            Ok(started) => return started,
            Err(e) => log::warn!("start=waits for=holder_row error={:?}", e.message),
        }
        sleep(PAUSE).await;
    }
}

/// Gives grants back, flushes bills, and leaves. What is not done by `limit` is left to the
/// witness.
pub async fn give_back<P: Platform, E: Engine, M: Mesh>(node: &Node<P, E, M>, limit: Instant) {
    const LOOK: Duration = Duration::from_millis(100);
    let session = node.session();
    loop {
        session.release_all().await;
        let totals = session.totals().await;
        let empty = totals.pending_bills == 0 && totals.budgets == 0;
        if empty || Instant::now() >= limit {
            break;
        }
        sleep(LOOK).await;
    }
    if !matches!(timeout(LEAVE, session.leave()).await, Ok(Ok(()))) {
        log::warn!("drain=left_to_witness incarnation={}", session.incarnation);
    }
}
