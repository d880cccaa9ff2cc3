//! A gateway in this process, its tasks and all, on stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::gateway::{LocalPlatform, process, settings};
use crate::error::Result;
use crate::gateway::{self, Gateway};
use crate::oplog::Log;

/// Pause between two looks whether a gateway serves by now.
const LOOK: Duration = Duration::from_millis(5);

/// One gateway.
pub struct GatewayHost {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Its state.
    pub gw: Rc<Gateway<LocalPlatform>>,
    /// Its handle of the platform, to inject faults.
    pub platform: LocalPlatform,
    /// Its log.
    pub log: Log,
    tasks: Vec<JoinHandle<()>>,
}

impl GatewayHost {
    /// Starts a gateway as the process `incarnation` of `instance`, and waits until it serves.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start(
        platform: &LocalPlatform,
        instance: &str,
        zone: &str,
        incarnation: u64,
    ) -> Result<GatewayHost> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let front = listener.local_addr()?;
        let socket = UdpSocket::bind(front).await?;
        let platform = platform.another();
        let log = Log::new();
        let me = process(instance, incarnation);
        let settings = settings(instance, zone, front);
        let gw = Gateway::new(platform.clone(), settings, me, log.clone());
        let tasks = gateway::start(&gw, listener, socket);
        let host = GatewayHost { front, gw, platform, log, tasks };
        while !host.serves() {
            sleep(LOOK).await;
        }
        Ok(host)
    }

    fn serves(&self) -> bool {
        self.gw.is_ready() && self.gw.targets.count().1 > 0
    }

    /// Stops its feed of the configuration, as a connection does that has gone silent.
    pub fn stop_following(&self) {
        self.tasks[0].abort();
    }

    /// Ends it as a kill would: it admits and writes nothing any more, and no caller hears of it.
    pub fn kill(self) {
        self.gw.budget_shares.halt();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
