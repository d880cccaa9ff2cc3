//! Assembles a node over any platform, engine and peer client, and starts its tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cadence::StatsdClient;
use compact_str::CompactString;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::node::{Node, NodeParts};
use super::peers::NodePeerHandler;
use super::session::{Session, SessionEvent, SessionParts};
use super::tasks::{Loans, start_tasks};
use crate::budget::ledger::{HolderRow, HolderState};
use crate::budget::sizing::Sizing;
use crate::clock::Clock;
use crate::config::Config;
use crate::config::settings::Settings;
use crate::config::store::ConfigFollower;
use crate::engine::Engine;
use crate::ids::{Digest, Incarnation};
use crate::membership::view::{RouterInfo, View};
use crate::membership::wire::PeerClient;
use crate::route::picker::{Picker, Policy};
use crate::table::Platform;

/// Interval between attempts to reach the platform.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the last write of a leaving holder.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Dependencies and options for starting a node.
pub struct BootOptions<P, E, M> {
    /// Settings of the router.
    pub settings: Settings,
    /// Client for the platform: table, object store and instance list.
    pub platform: P,
    /// Client for the targets.
    pub engine: E,
    /// Client for requests to other routers.
    pub peer_client: M,
    /// Source of the current time.
    pub clock: Clock,
    /// Address of the listener for callers.
    pub api: CompactString,
    /// Address of the listener for other routers.
    pub peer: CompactString,
    /// Policy for choosing targets.
    pub policy: Policy,
    /// Overrides the configured sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
    /// Whether the router borrows tokens from others; `false` only in experiments.
    pub lending: bool,
    /// Client for metrics.
    pub metrics: StatsdClient,
}

/// A started node.
pub struct BootedNode<P: Platform, E: Engine, M: PeerClient> {
    /// The node.
    pub node: Arc<Node<P, E, M>>,
    /// Handler for messages from other routers.
    pub peer_handler: NodePeerHandler<P, E, M>,
    /// Background tasks; they stop when this is dropped.
    pub tasks: JoinSet<()>,
}

/// Returns a name for a new incarnation, unique across all starts. Time and a counter could repeat
/// on an instance that is restored from an image, so random bytes are included.
pub fn new_incarnation(instance: &str) -> Incarnation {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
    let mut salt = [0; 16];
    getrandom::fill(&mut salt).expect("the random number generator of the system works");
    let word =
        Digest::of(&[&salt[..], &micros.to_le_bytes(), &n.to_le_bytes()].concat()).first_u64();
    let name = format!("{instance}@{word:016x}");
    name.parse().expect("the settings validate the instance name")
}

/// Starts a node. Waits until the platform is available, because a router cannot serve anything
/// without the head of the configuration and a holder row.
pub async fn boot<P: Platform, E: Engine, M: PeerClient>(
    options: BootOptions<P, E, M>,
) -> BootedNode<P, E, M> {
    let cfg: Arc<RwLock<Config>> = Arc::default();
    let mut follower = ConfigFollower::default();
    while let Err(e) = follower.catch_up(&options.platform, &cfg).await {
        log::warn!("start=waits for=configuration error={:?}", e.message);
        sleep(RETRY_INTERVAL).await;
    }
    let (session, events) = first_session(&options, &cfg).await;
    let me = RouterInfo {
        incarnation: session.incarnation.clone(),
        zone: options.settings.zone.clone(),
        api: options.api,
        peer: options.peer,
        beat: 0,
        leaving: false,
        revision: follower.head().revision,
        load: 0,
    };
    let seed = Digest::of(session.incarnation.as_str().as_bytes()).first_u64();
    let node = Arc::new(Node::new(NodeParts {
        clock: options.clock,
        platform: options.platform,
        engine: options.engine,
        peer_client: options.peer_client,
        cfg,
        follower,
        view: View::new(me, options.settings.dead_after),
        picker: Picker::new(options.policy, options.settings.zone.clone(), seed),
        session,
        metrics: options.metrics,
        settings: options.settings,
        lending: options.lending,
        sizing: options.sizing,
    }));
    let loans: Arc<Loans> = Arc::default();
    let peer_handler = NodePeerHandler { node: node.clone(), loans: loans.clone() };
    let tasks = start_tasks(&node, &loans, events);
    BootedNode { node, peer_handler, tasks }
}

async fn first_session<P: Platform, E: Engine, M: PeerClient>(
    options: &BootOptions<P, E, M>,
    cfg: &Arc<RwLock<Config>>,
) -> (Arc<Session<P, M>>, mpsc::UnboundedReceiver<SessionEvent>) {
    loop {
        let parts = SessionParts {
            platform: options.platform.clone(),
            peer_client: options.peer_client.clone(),
            incarnation: new_incarnation(&options.settings.instance),
            row: HolderRow {
                zone: options.settings.zone.clone(),
                api: options.api.clone(),
                peer: options.peer.clone(),
                witness: None,
                backup: None,
                state: HolderState::Live,
            },
            cfg: cfg.clone(),
            clock: options.clock,
            commit_interval: options.settings.commit_interval.duration(),
            sizing: options.sizing,
        };
        match Session::start(parts).await {
            Ok(started) => return started,
            Err(e) => log::warn!("start=waits for=holder_row error={:?}", e.message),
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Releases all grants, flushes the bills and marks the incarnation as left. Whatever is not done
/// by `limit` is left to the witness.
pub async fn release_and_leave<P: Platform, E: Engine, M: PeerClient>(
    node: &Node<P, E, M>,
    limit: Instant,
) {
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    let session = node.session();
    loop {
        session.release_all().await;
        let totals = session.totals().await;
        let empty = totals.pending_bills == 0 && totals.budgets == 0;
        if empty || Instant::now() >= limit {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    if !matches!(timeout(LEAVE_TIMEOUT, session.leave()).await, Ok(Ok(()))) {
        log::warn!("drain=left_to_witness incarnation={}", session.incarnation);
    }
}
