//! A small fleet in one process: platform, targets and routers on loopback.
//!
//! Each router has its own runtime, so that killing it stops all its tasks at once, like the death
//! of a process.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::{CompactString, format_compact};

use super::HttpServer;
use super::platform::{PlatformLimits, platform_app};
use super::target::{Target, TargetSetup};
use crate::config::revision::Document;
use crate::config::settings::Settings;
use crate::config::store::Submission;
use crate::error::Result;
use crate::ids::{Digest, Millis, Revision, ZoneId};
use crate::operator::OperatorClient;
use crate::router::start::RunningRouter;
use crate::table::memory::MemoryPlatform;
use crate::table::{Instance, InstanceState};

/// Operator key of fleets in one process.
pub const OPERATOR_KEY: &str = "operator";

/// Loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A platform stand-in in this process.
pub struct PlatformHost {
    /// State of the platform, for inspection by tests.
    pub memory: MemoryPlatform,
    /// HTTP server of the platform.
    pub server: HttpServer,
}

impl PlatformHost {
    /// Starts a platform.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start(limits: PlatformLimits) -> Result<PlatformHost> {
        let memory = MemoryPlatform::default();
        let server = HttpServer::start(loopback(), platform_app(memory.clone(), limits)).await?;
        Ok(PlatformHost { memory, server })
    }
}

/// A target stand-in in this process.
pub struct TargetHost {
    /// Name of the target's instance.
    pub name: CompactString,
    /// State of the target.
    pub target: Target,
    /// HTTP server of the target.
    pub server: HttpServer,
}

impl TargetHost {
    /// Starts a target and adds it to the platform's instance list.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start(
        platform: &MemoryPlatform,
        name: &str,
        zone: &ZoneId,
        setup: TargetSetup,
    ) -> Result<TargetHost> {
        let target = Target::start(setup);
        let server = HttpServer::start(loopback(), target.app()).await?;
        let name = CompactString::from(name);
        let addr = format_compact!("{}", server.addr);
        platform.put_instance(Instance {
            name: name.clone(),
            addr,
            zone: zone.clone(),
            state: InstanceState::Live,
        });
        Ok(TargetHost { name, target, server })
    }
}

/// A router with its own runtime.
pub struct RouterHost {
    /// Address to which callers connect.
    pub api: SocketAddr,
    runtime: tokio::runtime::Runtime,
    router: RunningRouter,
}

/// Settings for a router of a fleet in one process.
pub fn router_settings(platform: SocketAddr, instance: &str, zone: &ZoneId) -> Settings {
    Settings {
        instance: CompactString::from(instance),
        zone: zone.clone(),
        listen: loopback(),
        peer_listen: loopback(),
        platform: format_compact!("{platform}"),
        link_keys: vec![CompactString::const_new("link secret")],
        operator_key: Some(Digest::of(OPERATOR_KEY.as_bytes())),
        commit_interval: Millis(50),
        heartbeat: Millis(100),
        dead_after: Millis(1_000),
        config_poll: Millis(500),
        report_poll: Millis(100),
        statsd: None,
    }
}

impl RouterHost {
    /// Starts a router on its own threads.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start(settings: Settings) -> Result<RouterHost> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let started = runtime.spawn(RunningRouter::start(settings));
        let router = started
            .await
            .map_err(|e| crate::error::Error::new(crate::error::Kind::Io, e.to_string()))??;
        Ok(RouterHost { api: router.api, runtime, router })
    }

    /// The running router.
    pub fn router(&self) -> &RunningRouter {
        &self.router
    }

    /// Waits until the router can serve requests.
    pub async fn ready(&self) {
        while !self.router.node.is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Stops the router like a killed process: buffered data is lost, and other processes get no
    /// notice.
    pub fn kill(self) {
        let RouterHost { runtime, router, .. } = self;
        runtime.shutdown_background();
        drop(router);
    }

    /// Drains and stops the router.
    pub async fn stop(self) {
        let RouterHost { runtime, router, .. } = self;
        // A panic during the drain is logged; the runtime is shut down in either case.
        let _ = runtime.spawn(router.stop()).await;
        runtime.shutdown_background();
    }
}

/// Submits a first configuration through a router.
///
/// # Errors
/// `BadConfig`, `Conflict` or `Io`.
pub async fn submit_first(router: SocketAddr, text: &str) -> Result<Revision> {
    let operator = OperatorClient::new(&router.to_string(), OPERATOR_KEY)?;
    let edits = Document::default().diff(&Document::parse(text));
    let id = CompactString::from(Digest::of(text.as_bytes()).to_string());
    operator.submit(&Submission { id, base: Revision(0), edits, merge: false }).await
}
