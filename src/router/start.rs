//! Starting and stopping a router.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use tokio::task::{JoinHandle, JoinSet};

use super::node::{Node, NodeParts};
use super::peers::PeerAnswers;
use super::session::{Session, SessionParts};
use super::tasks::{LoanBook, start_all};
use crate::api::api_app;
use crate::budget::ledger::{HolderRow, HolderState};
use crate::clock::Clock;
use crate::config::Config;
use crate::config::settings::Settings;
use crate::config::store::Follower;
use crate::engine::http::HttpEngine;
use crate::error::Result;
use crate::ids::{Digest, Incarnation};
use crate::membership::link::{LinkCounts, Links, Secrets, listen};
use crate::membership::view::{Entry, View};
use crate::platform::http::HttpPlatform;
use crate::route::picker::{Picker, Policy};
use crate::standin::Served;

/// Pause between attempts to reach the platform at the start.
const START_PAUSE: Duration = Duration::from_millis(500);
/// Pause between looks at what still runs during a drain.
const DRAIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest drain. Answers that run longer are left to the witness.
const MAX_DRAIN: Duration = Duration::from_secs(180);

/// The node that the daemon runs.
pub type HttpNode = Node<HttpPlatform, HttpEngine, Links>;

/// A running router.
pub struct RunningRouter {
    /// Where callers connect.
    pub api: SocketAddr,
    /// Its state.
    pub node: Arc<HttpNode>,
    served: Served,
    peer_task: JoinHandle<()>,
    tasks: JoinSet<()>,
    /// Secrets of its links, for rotation.
    pub secrets: Secrets,
    /// What its links refused and carried.
    pub link_counts: Arc<LinkCounts>,
}

/// A name that no other start ever had. Wall clock and process alone could repeat on instances
/// that are restored, so random bits are part of it.
pub fn new_incarnation(instance: &str) -> Incarnation {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
    let mut salt = [0; 16];
    getrandom::fill(&mut salt).expect("the system has random bytes");
    let word = Digest::of(&[&salt[..], &micros.to_le_bytes(), &n.to_le_bytes()].concat()).word();
    let name = format!("{instance}@{word:016x}");
    name.parse().expect("settings checked the instance's name")
}

fn metrics(settings: &Settings) -> Result<StatsdClient> {
    let Some(addr) = settings.statsd else {
        return Ok(StatsdClient::from_sink("kingcupwall", NopMetricSink));
    };
    let socket = std::net::UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let failed =
        |e: cadence::MetricError| crate::error::Error::new(crate::error::Kind::Io, e.to_string());
    let sink = UdpMetricSink::from(addr, socket).map_err(failed)?;
    Ok(StatsdClient::from_sink("kingcupwall", QueuingMetricSink::from(sink)))
}

impl RunningRouter {
    /// Starts a router and serves. It waits for the platform: without the configuration's head
    /// and a holder row there is nothing that it may serve.
    ///
    /// # Errors
    /// `Io` when an address cannot be bound.
    pub async fn start(settings: Settings) -> Result<RunningRouter> {
        let platform = HttpPlatform::new(&settings.platform)?;
        let engine = HttpEngine::new()?;
        let clock = Clock::start();
        let cfg: Arc<RwLock<Config>> = Arc::default();
        let secrets: Secrets = Arc::new(Mutex::new(settings.link_keys.clone()));
        let link_counts: Arc<LinkCounts> = Arc::default();
        let mesh = Links::new(secrets.clone(), link_counts.clone());
        let api_listener = std::net::TcpListener::bind(settings.listen)?;
        let api = api_listener.local_addr()?;
        let peer_listener = std::net::TcpListener::bind(settings.peer_listen)?;
        let peer = peer_listener.local_addr()?;

        let mut follower = Follower::default();
        while let Err(e) = follower.catch_up(&platform, &cfg).await {
            log::warn!("start=waits for=configuration error={:?}", e.message);
            tokio::time::sleep(START_PAUSE).await;
        }
        let (session, news) = loop {
            let incarnation = new_incarnation(&settings.instance);
            let parts = SessionParts {
                platform: platform.clone(),
                mesh: mesh.clone(),
                incarnation,
                row: HolderRow {
                    zone: settings.zone.clone(),
                    api: api.to_string().into(),
                    peer: peer.to_string().into(),
                    witness: None,
                    state: HolderState::Live,
                },
                cfg: cfg.clone(),
                clock,
                commit_interval: settings.commit_interval.duration(),
                sizing: None,
            };
            match Session::start(parts).await {
                Ok(started) => break started,
                Err(e) => log::warn!("start=waits for=holder_row error={:?}", e.message),
            }
            tokio::time::sleep(START_PAUSE).await;
        };
        let me = Entry {
            incarnation: session.incarnation.clone(),
            zone: settings.zone.clone(),
            api: api.to_string().into(),
            peer: peer.to_string().into(),
            beat: 0,
            leaving: false,
            revision: follower.head().revision,
            load: 0,
        };
        let seed = Digest::of(session.incarnation.as_str().as_bytes()).word();
        let node = Arc::new(Node::new(NodeParts {
            clock,
            platform,
            engine,
            mesh,
            cfg,
            follower,
            view: View::new(me, settings.dead_after),
            picker: Picker::new(Policy::Sampled, settings.zone.clone(), seed),
            session,
            metrics: metrics(&settings)?,
            settings,
        }));
        let loans: Arc<LoanBook> = Arc::default();
        let answers = PeerAnswers { node: node.clone(), loans: loans.clone() };
        let peer_task = listen(peer_listener, secrets.clone(), link_counts.clone(), answers)?;
        let served = Served::start_on(api_listener, api_app(node.clone()))?;
        let tasks = start_all(&node, &loans, news);
        log::info!(
            "router=started incarnation={} api={api} peer={peer}",
            node.session().incarnation
        );
        Ok(RunningRouter { api, node, served, peer_task, tasks, secrets, link_counts })
    }

    /// Drains: no longer named in entry answers, still serving those who hold old ones, then
    /// finishes what runs, gives grants back, flushes bills, and leaves.
    pub async fn stop(mut self) {
        let node = self.node.clone();
        node.start_draining();
        log::info!("drain=start incarnation={}", node.session().incarnation);
        let lifetime = node.cfg.read().expect("never poisoned").fleet.entry_lifetime.duration();
        tokio::time::sleep(lifetime).await;
        node.refuse_new();
        let limit = tokio::time::Instant::now() + MAX_DRAIN;
        while node.lock_runs().running() > 0 && tokio::time::Instant::now() < limit {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        self.served.stop().await;
        let session = node.session();
        loop {
            session.release_all().await;
            let totals = session.totals().await;
            if totals.pending_bills == 0 && totals.pockets == 0
                || tokio::time::Instant::now() >= limit
            {
                break;
            }
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        if let Err(e) =
            tokio::time::timeout(START_PAUSE * 4, session.leave()).await.map_err(|_| "timeout")
        {
            log::warn!("drain=left_to_witness error={e}");
        }
        log::info!("drain=done incarnation={}", session.incarnation);
        self.tasks.abort_all();
        self.peer_task.abort();
    }
}
