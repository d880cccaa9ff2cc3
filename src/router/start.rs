//! Starts and stops a router with its network listeners.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use tokio::task::{JoinHandle, JoinSet};

use super::boot::{BootOptions, BootedNode, boot, release_and_leave};
use super::node::Node;
use crate::api::api_app;
use crate::clock::Clock;
use crate::config::settings::Settings;
use crate::engine::http::HttpEngine;
use crate::error::Result;
use crate::membership::link::{LinkCounts, LinkPool, Secrets, listen};
use crate::route::picker::Policy;
use crate::standin::HttpServer;
use crate::table::http::HttpPlatform;

/// Interval between checks for running requests during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum duration of a drain. Answers that take longer are left to the witness.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(180);

/// The node of a router that runs as a daemon.
pub type HttpNode = Node<HttpPlatform, HttpEngine, LinkPool>;

/// A running router.
pub struct RunningRouter {
    /// Address on which callers connect.
    pub api: SocketAddr,
    /// State of the router.
    pub node: Arc<HttpNode>,
    served: HttpServer,
    peer_task: JoinHandle<()>,
    tasks: JoinSet<()>,
    /// Secrets of the links between routers; replaced on rotation.
    pub secrets: Secrets,
    /// Counters of the links: refused messages, and bytes sent and received.
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
    /// Starts a router and its listeners. Waits until the platform is available, because a router
    /// cannot serve anything without the head of the configuration and a holder row.
    ///
    /// # Errors
    ///
    /// Returns `Io` if an address cannot be bound.
    pub async fn start(settings: Settings) -> Result<RunningRouter> {
        let secrets: Secrets = Arc::new(Mutex::new(settings.link_keys.clone()));
        let link_counts: Arc<LinkCounts> = Arc::default();
        let api_listener = std::net::TcpListener::bind(settings.listen)?;
        let api = api_listener.local_addr()?;
        let peer_listener = std::net::TcpListener::bind(settings.peer_listen)?;
        let peer = peer_listener.local_addr()?;

        let booted = boot(BootOptions {
            metrics: metrics(&settings)?,
            platform: HttpPlatform::new(&settings.platform)?,
            engine: HttpEngine::new()?,
            peer_client: LinkPool::new(secrets.clone(), link_counts.clone()),
            clock: Clock::start(),
            api: api.to_string().into(),
            peer: peer.to_string().into(),
            policy: Policy::Sampled,
            sizing: None,
            lending: true,
            settings,
        })
        .await;
        let BootedNode { node, peer_handler, tasks } = booted;
        let peer_task = listen(peer_listener, secrets.clone(), link_counts.clone(), peer_handler)?;
        let served = HttpServer::start_on(api_listener, api_app(node.clone()))?;
        log::info!(
            "router=started incarnation={} api={api} peer={peer}",
            node.session().incarnation
        );
        Ok(RunningRouter { api, node, served, peer_task, tasks, secrets, link_counts })
    }

    /// Drains and stops the router. It is first left out of entry answers and keeps serving callers
    /// that still use an older entry answer. Then it refuses new requests, waits for running ones,
    /// releases its grants, flushes its bills and marks its incarnation as left.
    pub async fn stop(mut self) {
        let node = self.node.clone();
        node.start_draining();
        log::info!("drain=start incarnation={}", node.session().incarnation);
        let lifetime =
            node.cfg.read().expect("the lock is never poisoned").fleet.entry_lifetime.duration();
        tokio::time::sleep(lifetime).await;
        node.refuse_new();
        let limit = tokio::time::Instant::now() + DRAIN_TIMEOUT;
        while node.lock_runs().running() > 0 && tokio::time::Instant::now() < limit {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.served.stop().await;
        release_and_leave(&node, limit).await;
        log::info!("drain=done incarnation={}", node.session().incarnation);
        self.tasks.abort_all();
        self.peer_task.abort();
    }
}
