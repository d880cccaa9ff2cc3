//! `kingcupwall standin`: runs a stand-in for the platform or for a target.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use compact_str::CompactString;

use super::{block_on, wait_for_signal};
use crate::error::{Error, Kind, Result};
use crate::ids::{Millis, ZoneId};
use crate::standin::HttpServer;
use crate::standin::batch::EngineSize;
use crate::standin::platform::{PlatformLimits, platform_app};
use crate::standin::target::{Target, TargetSetup};
use crate::table::memory::MemoryPlatform;
use crate::table::{Instance, InstanceState};

/// Maximum attempts to register a target at the platform.
const REGISTER_ATTEMPTS: u32 = 20;
/// Delay before registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Run a stand-in for the platform or for a target
///
/// Example: kingcupwall standin platform --listen 127.0.0.1:9000
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("standin"))]
pub struct Args {
    #[bpaf(external)]
    which: Which,
}

#[derive(Clone, Debug)]
#[derive(Bpaf)]
enum Which {
    /// Run a platform: table, object store and instance list
    #[bpaf(command("platform"))]
    Platform {
        /// Address to listen on; port 0 selects a free port
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Maximum transactions per second
        #[bpaf(argument("N"), fallback(300))]
        writes: u32,
        /// Maximum reads per second
        #[bpaf(argument("N"), fallback(2000))]
        reads: u32,
    },
    /// Run a target: a model engine and plain services
    #[bpaf(command("target"))]
    Target {
        /// Address to listen on; port 0 selects a free port
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Name of the target in the instance list
        #[bpaf(argument("NAME"))]
        name: CompactString,
        /// Availability zone of the target
        #[bpaf(argument("ZONE"))]
        zone: ZoneId,
        /// Address of the platform to register the target at
        #[bpaf(argument("ADDR"))]
        platform: Option<String>,
        /// Name of a model or plain service that the target serves; repeatable
        #[bpaf(argument("NAME"))]
        serves: Vec<CompactString>,
        /// Maximum requests in a batch
        #[bpaf(argument("N"), fallback(16))]
        slots: usize,
        /// Time to generate one token, such as 20ms
        #[bpaf(argument("TIME"), fallback(Millis(20)))]
        pace: Millis,
        /// Delay of load reports, such as 200ms
        #[bpaf(argument("TIME"), fallback(Millis(200)))]
        lag: Millis,
    },
}

/// Runs the command.
///
/// # Errors
/// `Io` if the port cannot be bound or the target cannot be registered.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let served = match args.which.clone() {
            Which::Platform { listen, writes, reads } => {
                let limits = PlatformLimits {
                    writes_per_s: writes,
                    reads_per_s: reads,
                    ..PlatformLimits::default()
                };
                HttpServer::start(listen, platform_app(MemoryPlatform::default(), limits)).await?
            }
            Which::Target { listen, name, zone, platform, serves, slots, pace, lag } => {
                let setup = TargetSetup {
                    serves,
                    size: EngineSize { slots, ..TargetSetup::default().size },
                    step_time: pace.duration(),
                    report_lag: lag.duration(),
                    ..TargetSetup::default()
                };
                let served = HttpServer::start(listen, Target::start(setup).app()).await?;
                if let Some(platform) = platform {
                    let addr = served.addr.to_string().into();
                    register_target(
                        &platform,
                        Instance { name, addr, zone, state: InstanceState::Live },
                    )
                    .await?;
                }
                served
            }
        };
        println!("listening={}", served.addr);
        wait_for_signal().await?;
        served.kill();
        Ok(())
    })
}

async fn register_target(platform: &str, instance: Instance) -> Result<()> {
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?;
    let url = format!("http://{platform}/admin/instances");
    let mut last = Error::new(Kind::Io, "the registration wasnot sent");
    // The platform may still be starting.
    for _ in 0..REGISTER_ATTEMPTS {
        match client.post(&url).json(&instance).send().await {
            Ok(resp) => return Ok(resp.error_for_status().map(drop)?),
            Err(e) => last = e.into(),
        }
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
    Err(last)
}
