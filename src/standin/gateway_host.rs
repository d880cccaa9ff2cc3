//! A gateway that runs in this process with all its tasks, on top of the stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

use super::gateway::{LocalPlatform, process_id, settings};
use crate::error::Result;
use crate::gateway::{self, Gateway};
use crate::oplog::Log;

/// Interval between checks whether a starting gateway is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running gateway.
pub struct GatewayHost {
    /// Address to which callers connect.
    pub front: SocketAddr,
    /// State of the gateway.
    pub gw: Rc<Gateway<LocalPlatform>>,
    /// The gateway's client of the platform, for injecting faults.
    pub platform: LocalPlatform,
    /// Log of the gateway.
    pub log: Log,
    tasks: Vec<JoinHandle<()>>,
    /// Runs all tasks of the gateway, also those of its connections.
    process: JoinHandle<()>,
    is_paused: watch::Sender<bool>,
}

/// Runs the tasks of a gateway, but not while it is paused.
async fn run(mut tasks: LocalSet, mut is_paused: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            biased;
            Ok(_) = is_paused.wait_for(|paused| *paused) => (),
            () = &mut tasks => return,
        }
        if is_paused.wait_for(|paused| !*paused).await.is_err() {
            return;
        }
    }
}

impl GatewayHost {
    /// Starts a gateway as process `incarnation` of `instance` and waits until it is ready and has
    /// at least one target.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start(
        platform: &LocalPlatform,
        instance: &str,
        zone: &str,
        incarnation: u64,
    ) -> Result<GatewayHost> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let front = listener.local_addr()?;
        let tunnel_listener = TcpListener::bind("127.0.0.1:0").await?;
        let peer = tunnel_listener.local_addr()?;
        let socket = UdpSocket::bind(peer).await?;
        let platform = platform.new_client();
        let log = Log::new();
        let own_id = process_id(instance, incarnation);
        let settings = gateway::Settings { peer, ..settings(instance, zone, front) };
        let gw = Gateway::new(platform.clone(), settings, own_id, log.clone());
        let local = LocalSet::new();
        let tasks = {
            let _entered = local.enter();
            gateway::start(&gw, listener, socket, tunnel_listener)
        };
        let is_paused = watch::Sender::new(false);
        let process = spawn_local(run(local, is_paused.subscribe()));
        let host = GatewayHost { front, gw, platform, log, tasks, process, is_paused };
        while !host.is_serving() {
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(host)
    }

    fn is_serving(&self) -> bool {
        self.gw.is_ready() && self.gw.targets.count().1 > 0
    }

    /// Stops the gateway's feed of the configuration, like a connection on which nothing arrives
    /// any more.
    pub fn stop_config_feed(&self) {
        self.tasks[0].abort();
    }

    /// Pauses the gateway like a process that stands still, or lets it go on. What arrives meanwhile
    /// waits, and timers run.
    pub fn set_paused(&self, paused: bool) {
        self.is_paused.send_replace(paused);
    }

    /// Stops the gateway like a killed process: it admits, sends and writes nothing more, and callers
    /// get no notice.
    pub fn kill(self) {
        self.gw.budget_shares.halt();
        self.process.abort();
    }
}
