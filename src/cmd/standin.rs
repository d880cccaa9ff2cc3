//! `kingcupwall standin`: a platform or a target for trials.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use compact_str::CompactString;

use super::{block_on, stopped};
use crate::error::{Error, Kind, Result};
use crate::ids::{Millis, ZoneId};
use crate::standin::HttpServer;
use crate::standin::batch::EngineSize;
use crate::standin::platform::{PlatformLimits, platform_app};
use crate::standin::target::{Target, TargetSetup};
use crate::table::memory::MemoryPlatform;
use crate::table::{Instance, InstanceState};

/// Attempts to be listed at the platform.
const LIST_ATTEMPTS: u32 = 20;
/// Pause between them.
const LIST_PAUSE: Duration = Duration::from_millis(250);

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
    /// Table, object store and instance list
    #[bpaf(command("platform"))]
    Platform {
        /// Where to listen; port 0 takes any
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Transactions a second
        #[bpaf(argument("N"), fallback(300))]
        writes: u32,
        /// Reads a second
        #[bpaf(argument("N"), fallback(2000))]
        reads: u32,
    },
    /// A model engine with plain services beside it
    #[bpaf(command("target"))]
    Target {
        /// Where to listen; port 0 takes any
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Name in the instance list
        #[bpaf(argument("NAME"))]
        name: CompactString,
        /// Availability zone
        #[bpaf(argument("ZONE"))]
        zone: ZoneId,
        /// Platform whose instance list gets this target
        #[bpaf(argument("ADDR"))]
        platform: Option<String>,
        /// A model or plain service that it serves; repeatable
        #[bpaf(argument("NAME"))]
        serves: Vec<CompactString>,
        /// Places in the batch
        #[bpaf(argument("N"), fallback(16))]
        slots: usize,
        /// Time of one token, such as 20ms
        #[bpaf(argument("TIME"), fallback(Millis(20)))]
        pace: Millis,
        /// Age of load reports, such as 200ms
        #[bpaf(argument("TIME"), fallback(Millis(200)))]
        lag: Millis,
    },
}

/// Runs the command.
///
/// # Errors
/// `Io` for the listener or the platform.
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
                    list(&platform, Instance { name, addr, zone, state: InstanceState::Live })
                        .await?;
                }
                served
            }
        };
        println!("listening={}", served.addr);
        stopped().await?;
        served.kill();
        Ok(())
    })
}

async fn list(platform: &str, instance: Instance) -> Result<()> {
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?;
    let url = format!("http://{platform}/admin/instances");
    let mut last = Error::new(Kind::Io, "not sent");
    // The platform may be starting at the same time.
    for _ in 0..LIST_ATTEMPTS {
        match client.post(&url).json(&instance).send().await {
            Ok(resp) => return Ok(resp.error_for_status().map(drop)?),
            Err(e) => last = e.into(),
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
    Err(last)
}
