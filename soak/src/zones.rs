//! Empties zones and returns them to service while faults are injected, sends requests that are
//! bound to one region, and checks where requests ran.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcupwall::rows::MemoryRows;
use kingcupwall::standin::gateway_target::StandinTarget;
use kingcupwall_platform::names;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{Callers, HOST, REQUEST_TIMEOUT, connect};

/// The region of each zone, in the format of the router's settings.
pub const REGIONS: &str = "{ zone-0: south, zone-1: north }";
/// Prefix of the route whose requests must stay in the region of the first zone.
pub const BOUND_PREFIX: &str = "/bound/";
/// Region in which bound requests must stay.
pub const HOME_REGION: &str = "south";
/// Duration of a target's warm-up, in seconds.
pub const WARM_UP_S: f64 = 1.5;
/// Requests a second that a target accepts during its warm-up.
pub const WARM_UP_PER_S: f64 = 8.0;
/// Maximum number of requests in one second at a cold target: 1.5 times [`WARM_UP_PER_S`], plus 5.
/// The factor and the slack are in the routers' settings.
pub const MAX_COLD_REQUESTS_PER_S: usize = 17;
/// Range of the pause before a zone is emptied, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..4_000;
/// Range of the time for which a zone stays emptied, in milliseconds.
const EMPTIED_MS: std::ops::Range<u64> = 6_000..9_000;
/// How long requests may still arrive after a zone was emptied. Routers are paused for up to 3 s
/// and may have requests in flight at that time.
const EMPTY_GRACE: Duration = Duration::from_secs(5);
/// Pause between two bound requests.
const BOUND_PAUSE: Duration = Duration::from_millis(80);

/// A period in which a zone was emptied.
#[derive(Clone, Debug)]
pub struct EmptiedPeriod {
    /// The availability zone.
    pub zone: &'static str,
    /// When the order to empty the zone was written.
    pub from: Instant,
    /// When the zone was returned to service.
    pub to: Instant,
}

/// Empties one zone after the other and returns it to service, until `until`. The targets of a zone
/// are cold for a while after its return. Returns the periods in which zones were emptied.
pub async fn empty_zones(
    store: MemoryRows,
    targets: impl Fn() -> Vec<StandinTarget>,
    until: Instant,
    seed: u64,
) -> Vec<EmptiedPeriod> {
    let mut rng = Rng::with_seed(seed);
    let mut periods = Vec::new();
    loop {
        let pause = Duration::from_millis(rng.u64(PAUSE_MS));
        let emptied_for = Duration::from_millis(rng.u64(EMPTIED_MS));
        let zone = if rng.bool() { "zone-0" } else { "zone-1" };
        if Instant::now() + pause + emptied_for > until {
            return periods;
        }
        sleep(pause).await;
        let key = format!("{}{zone}", names::EVACUATE_KEY_PREFIX);
        store.put(names::CONFIG_ROW.0, &key, b"{}");
        let from = Instant::now();
        sleep(emptied_for).await;
        targets().iter().filter(|t| t.zone == zone).for_each(start_warm_up);
        store.remove(names::CONFIG_ROW.0, &key);
        periods.push(EmptiedPeriod { zone, from, to: Instant::now() });
    }
}

/// Marks a target as cold for the duration of a warm-up, so that it records its peak request rate.
pub fn start_warm_up(target: &StandinTarget) {
    target.set_cold(Some(usize::MAX));
    let target = target.clone();
    tokio::task::spawn_local(async move {
        sleep(Duration::from_secs_f64(WARM_UP_S)).await;
        target.set_cold(None);
    });
}

/// Sends requests that are bound to one region until callers are stopped.
pub async fn send_bound_requests(callers: Rc<Callers>, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let names = names::headers();
    let mut sent = 0_u32;
    while !callers.stop_requested.get() {
        if let Some((_, mut conn)) = connect(&callers, &mut rng, sent).await {
            let bytes = format!(
                "GET {BOUND_PREFIX}{sent} HTTP/1.1\r\nHost: {HOST}\r\n{}: bound-{sent}\r\n{}: {}\r\n\
                 Authorization: Bearer {}\r\n\r\n",
                names.request_id,
                names.time_left,
                REQUEST_TIMEOUT.as_millis(),
                callers.keys[callers.keys.len() - 1],
            );
            sent += 1;
            // The outcome is checked at the targets.
            let _ = timeout(REQUEST_TIMEOUT, async {
                conn.write(bytes.as_bytes()).await?;
                conn.wait_for_data().await
            })
            .await;
        }
        sleep(BOUND_PAUSE).await;
    }
}

/// Returns the violations found in the requests that targets received: too many at a cold target,
/// outside the region, or in an emptied zone.
pub fn check(targets: &[StandinTarget], emptied: &[EmptiedPeriod]) -> Vec<String> {
    targets.iter().flat_map(|t| check_target(t, emptied)).collect()
}

fn check_target(target: &StandinTarget, emptied: &[EmptiedPeriod]) -> Vec<String> {
    let mut violations = Vec::new();
    let peak_rate = target.peak_while_cold();
    if peak_rate > MAX_COLD_REQUESTS_PER_S {
        violations.push(format!("{}: {peak_rate} requests in one second while cold", target.id));
    }
    let runs = target.runs();
    let is_outside_region = |path: &str| path.starts_with(BOUND_PREFIX) && target.zone != "zone-0";
    violations.extend(
        runs.iter()
            .filter(|r| is_outside_region(&r.target))
            .map(|r| format!("{}: ran {} outside its region", target.id, r.id)),
    );
    for e in emptied.iter().filter(|e| target.zone == e.zone) {
        let late_runs = runs.iter().filter(|r| r.at > e.from + EMPTY_GRACE && r.at < e.to);
        violations.extend(late_runs.map(|r| {
            let ms = (r.at - e.from).as_millis();
            format!("{}: {} reached it {ms} ms after its zone was emptied", target.id, r.id)
        }));
    }
    violations
}
