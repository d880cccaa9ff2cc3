//! Starting and stopping a router.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use tokio::task::{JoinHandle, JoinSet};

use super::boot::{Boot, Booted, boot, give_back};
use super::node::Node;
use crate::api::api_app;
use crate::clock::Clock;
use crate::config::settings::Settings;
use crate::engine::http::HttpEngine;
use crate::error::Result;
use crate::membership::link::{LinkCounts, Links, Secrets, listen};
use crate::route::picker::Policy;
use crate::standin::HttpServer;
use crate::table::http::HttpPlatform;

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
    served: HttpServer,
    peer_task: JoinHandle<()>,
    tasks: JoinSet<()>,
    /// Secrets of its links, for rotation.
    pub secrets: Secrets,
    /// What its links refused and carried.
    pub link_counts: Arc<LinkCounts>,
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
        let secrets: Secrets = Arc::new(Mutex::new(settings.link_keys.clone()));
        let link_counts: Arc<LinkCounts> = Arc::default();
        let api_listener = std::net::TcpListener::bind(settings.listen)?;
        let api = api_listener.local_addr()?;
        let peer_listener = std::net::TcpListener::bind(settings.peer_listen)?;
        let peer = peer_listener.local_addr()?;

        let booted = boot(Boot {
            metrics: metrics(&settings)?,
            platform: HttpPlatform::new(&settings.platform)?,
            engine: HttpEngine::new()?,
            mesh: Links::new(secrets.clone(), link_counts.clone()),
            clock: Clock::start(),
            api: api.to_string().into(),
            peer: peer.to_string().into(),
            policy: Policy::Sampled,
            sizing: None,
            lending: true,
            settings,
        })
        .await;
        let Booted { node, answers, tasks } = booted;
        let peer_task = listen(peer_listener, secrets.clone(), link_counts.clone(), answers)?;
        let served = HttpServer::start_on(api_listener, api_app(node.clone()))?;
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
        give_back(&node, limit).await;
        log::info!("drain=done incarnation={}", node.session().incarnation);
        self.tasks.abort_all();
        self.peer_task.abort();
    }
}
