//! Rate limiting of requests to cold targets across all routers.

use std::time::Duration;

use kingcupwall::gateway::CatalogParts;
use kingcupwall::gateway::cold::{
    ADMISSION_TTL, AdmissionLimit, AdmissionWindow, ColdRateLimit, OwnerCandidate, WarmUp,
    pick_owner,
};
use kingcupwall::gateway::place::{Candidate, Placement, PlacementGoal, PlacementWeights, place};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use proptest::prelude::*;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, eventually, run_local};

const BOUND: ColdRateLimit = ColdRateLimit { rate_factor: 1.5, slack: 5.0 };

fn warm_up(requests_per_s: f64) -> WarmUp {
    WarmUp { cold_duration: Duration::from_secs(3), requests_per_s }
}

#[rstest]
#[case::usual(11.0, BOUND)]
#[case::slow(2.0, BOUND)]
#[case::very_slow(0.3, BOUND)]
#[case::no_slack(8.0, ColdRateLimit { rate_factor: 1.0, slack: 0.0 })]
#[case::below_one_per_s(0.8, ColdRateLimit { rate_factor: 1.0, slack: 0.0 })]
#[case::fast(400.0, BOUND)]
fn for_warm_up_two_owners_within_limit(#[case] requests_per_s: f64, #[case] bound: ColdRateLimit) {
    let limit = AdmissionLimit::for_warm_up(warm_up(requests_per_s), bound);
    let spans = 1.0_f64.max(limit.window.as_secs_f64());
    let max_per_s = 2.0 * limit.requests as f64 / spans;
    assert!(max_per_s <= requests_per_s * bound.rate_factor + bound.slack, "{limit:?}");
    assert!(limit.requests >= 1 && limit.requests as f64 / spans <= requests_per_s, "{limit:?}");
}

proptest! {
    #[test]
    fn admit_any_second_within_limit(gaps in proptest::collection::vec(0_u64..300, 1..200)) {
        let limit = AdmissionLimit::for_warm_up(warm_up(11.0), BOUND);
        let mut admission_window = AdmissionWindow::default();
        let mut now = Instant::now();
        let mut admitted = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            match admission_window.admit(now, limit) {
                Ok(()) => admitted.push(now),
                Err(room_in) => {
                    prop_assert!(!room_in.is_zero());
                    // The next admission is possible within one window.
                    prop_assert!(room_in <= limit.window);
                }
            }
        }
        for from in &admitted {
            let within = |t: &&Instant| *t >= from && **t < *from + Duration::from_secs(1);
            prop_assert!(admitted.iter().filter(within).count() <= limit.requests);
        }
    }
}

fn router(name: &str, zone: &str, capacity: u32) -> OwnerCandidate {
    let addr = "127.0.0.1:80".parse().unwrap();
    OwnerCandidate { instance: name.into(), zone: zone.into(), addr, capacity }
}

#[test]
fn pick_owner_largest_in_zone() {
    let mut routers = vec![
        router("a", "z1", 50),
        router("b", "z1", 200),
        router("c", "z1", 200),
        router("d", "z2", 900),
    ];
    let of = |routers: &[OwnerCandidate], target: &str| {
        pick_owner(routers, target, "z1").unwrap().instance.clone()
    };
    let owners: Vec<_> = (0..20).map(|n| of(&routers, &format!("t{n}"))).collect();
    assert!(owners.iter().all(|o| o == "b" || o == "c"));
    assert!(owners.iter().any(|o| o == "b") && owners.iter().any(|o| o == "c"));
    // Removing a router changes the owner of its own targets only, whatever the order of the list.
    routers.retain(|r| r.instance != "c");
    routers.reverse();
    for (n, before) in owners.iter().enumerate().filter(|(_, o)| *o == "b") {
        assert_eq!(of(&routers, &format!("t{n}")), *before);
    }
    // Targets in a zone without routers are owned by routers of other zones.
    assert_eq!(pick_owner(&routers, "t1", "z3").unwrap().instance, "d");
    assert_eq!(pick_owner(&[], "t1", "z1"), None);
}

#[rstest]
#[case::room(&[Some(0), None], 0)]
#[case::no_room(&[Some(30), None], 1)]
fn place_cold_target_with_capacity(#[case] room_in_ms: &[Option<u64>], #[case] expected: usize) {
    let sent = place(&candidates(room_in_ms), &GOAL, &PlacementWeights::default());
    assert!(matches!(sent, Placement::Send { index, .. } if index == expected), "{sent:?}");
}

#[test]
fn place_all_targets_cold() {
    // Guards against refusals that don't state when the next request can be admitted.
    let placement = place(&candidates(&[Some(70), Some(30)]), &GOAL, &PlacementWeights::default());
    assert_eq!(placement, Placement::NoRoom { room_in: Duration::from_millis(30) });
}

const GOAL: PlacementGoal = PlacementGoal {
    aim: Duration::from_millis(300),
    remaining: Duration::from_secs(5),
    engine: true,
};

/// One candidate per element of `room_in_ms`, in order of increasing cost.
fn candidates(room_in_ms: &[Option<u64>]) -> Vec<Candidate> {
    let candidate = |(i, ms): (usize, &Option<u64>)| Candidate {
        same_zone: true,
        uncached: 100,
        wait_ms: 50.0 * i as f64,
        base_ms: 0.0,
        prefill_ms: 10.0,
        in_flight_requests: 0,
        slots: 8,
        rank: i,
        unhealthy: false,
        backoff: None,
        tried: false,
        room_in: ms.map(Duration::from_millis),
    };
    room_in_ms.iter().enumerate().map(candidate).collect()
}

/// Number of requests within any second that a cold target can handle in these tests.
const COLD_CAPACITY: usize = 12;
/// The warm-up rate of the service. With the factor 1.5 and the slack of 5 that the test routers
/// use, the operator's limit is 11 requests per second.
const COLD_REQUESTS_PER_S: f64 = 4.0;

fn warm_up_parts() -> CatalogParts {
    let mut p = catalog_parts(1, 1_000_000);
    p.services[0].warm_up = Some(warm_up(COLD_REQUESTS_PER_S));
    p
}

/// Routers and their targets, of which the first ones are cold.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start(routers: usize, cold: usize, warm: usize) -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(warm_up_parts());
        let mut targets = Vec::new();
        for n in 1..=warm + cold {
            let target = StandinTarget::start(&format!("t{n}"), "model", "zone-1").await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let mut hosts = Vec::new();
        for n in 1..=routers {
            let name = format!("r{n}");
            hosts.push(GatewayHost::start(&platform, &name, "zone-1", 1).await.unwrap());
        }
        for r in &hosts {
            eventually("discovery of the other routers", || {
                r.gw.peers.borrow().len() + 1 >= routers
            })
            .await;
            eventually("discovery of the targets", || r.gw.targets.count().0 == warm + cold).await;
        }
        // By then every router has read its own row, and its startup delay is over.
        sleep(Duration::from_millis(2_300)).await;
        let fleet = Fleet { platform, targets, routers: hosts };
        for target in &fleet.targets[..cold] {
            target.set_cold(Some(COLD_CAPACITY));
            fleet.platform.register_cold(target, "ready", Duration::from_secs(3));
        }
        for r in &fleet.routers {
            eventually("the warm-up of the targets", || r.gw.targets.count_cold() == cold).await;
        }
        fleet
    }

    /// Sends requests to each router, all at the same time. Returns the number of answered
    /// requests.
    async fn burst(&self, per_router: usize) -> usize {
        let mut calls = Vec::new();
        for (r, n) in self.routers.iter().flat_map(|r| (0..per_router).map(move |n| (r, n))) {
            let front = r.front;
            let call = Call::get("/once/a").id(&format!("{front}-{n}")).body("order");
            calls.push(spawn_local(async move { call.send(front).await.status() }));
        }
        let mut answered = 0;
        for call in calls {
            let status = call.await.unwrap();
            assert!(status == 200 || status == 503, "{status}");
            answered += usize::from(status == 200);
        }
        answered
    }
}

#[test]
fn cold_target_with_many_routers() {
    // Guards against a restarted target that crashes because every router sends it a few requests
    // at the same time.
    run_local(async {
        let fleet = Fleet::start(5, 1, 0).await;
        let answered = fleet.burst(12).await;
        let cold = &fleet.targets[0];
        assert!(!cold.has_crashed(), "{} requests within a second", cold.peak_while_cold());
        assert!(answered >= COLD_REQUESTS_PER_S as usize, "{answered} answered");
    });
}

#[test]
fn cold_target_with_warm_targets() {
    // Guards against refusals because one of several targets is cold.
    run_local(async {
        let fleet = Fleet::start(3, 1, 2).await;
        assert_eq!(fleet.burst(10).await, 30);
        assert!(!fleet.targets[0].has_crashed());
        assert!(!fleet.targets[0].runs().is_empty());
    });
}

#[test]
fn cold_refusal_has_retry_after() {
    // Guards against refusals at a cold target without a `Retry-After`.
    run_local(async {
        let fleet = Fleet::start(1, 1, 0).await;
        let front = fleet.routers[0].front;
        let mut refused = None;
        for n in 0..12 {
            let got = Call::get("/once/a").id(&format!("q{n}")).body("order").send(front).await;
            refused = refused.or((got.status() == 503).then_some(got));
        }
        let refused = refused.expect("no request was refused");
        assert_eq!(refused.body, r#"{"error":"cold"}"#);
        let after: f64 = refused.header("Retry-After").unwrap().parse().unwrap();
        assert!((0.1..=3.0).contains(&after), "{after}");
    });
}

#[test]
fn cold_target_after_zone_is_restored() {
    // Guards against sending all requests at once to targets that became cold while their zone was
    // emptied. Their entries do not show this yet.
    run_local(async {
        let fleet = Fleet::start(2, 0, 1).await;
        fleet.platform.empty_zone("zone-1");
        for r in &fleet.routers {
            eventually("emptying the zone", || r.gw.zones.is_emptied("zone-1")).await;
        }
        fleet.targets[0].set_cold(Some(COLD_CAPACITY));
        fleet.platform.restore_zone("zone-1");
        for r in &fleet.routers {
            eventually("restoring the zone", || !r.gw.zones.is_emptied("zone-1")).await;
        }
        fleet.burst(20).await;
        assert!(!fleet.targets[0].has_crashed());
    });
}

#[rstest]
#[case::restored_while_down(true)]
#[case::restored_before(false)]
fn cold_target_after_restart_of_all_routers(#[case] restored_while_down: bool) {
    // Guards against sending all requests at once to targets of a zone that was restored while no
    // router was running, or right before all were killed: the new processes have seen no order.
    run_local(async {
        let mut fleet = Fleet::start(2, 0, 1).await;
        fleet.platform.empty_zone("zone-1");
        for r in &fleet.routers {
            eventually("emptying the zone", || r.gw.zones.is_emptied("zone-1")).await;
        }
        // Each router renews its row every 2 s.
        sleep(Duration::from_millis(2_300)).await;
        if !restored_while_down {
            fleet.platform.restore_zone("zone-1");
            for r in &fleet.routers {
                eventually("restoring the zone", || !r.gw.zones.is_emptied("zone-1")).await;
            }
        }
        fleet.routers.drain(..).for_each(GatewayHost::kill);
        fleet.platform.restore_zone("zone-1");
        for name in ["r1", "r2"] {
            let router = GatewayHost::start(&fleet.platform, name, "zone-1", 2).await.unwrap();
            fleet.routers.push(router);
        }
        fleet.targets[0].set_cold(Some(COLD_CAPACITY));
        fleet.burst(20).await;
        let target = &fleet.targets[0];
        assert!(!target.has_crashed(), "{} requests within a second", target.peak_while_cold());
    });
}

#[test]
fn cold_target_unknown_when_zone_is_restored() {
    // Guards against sending all requests at once to a target whose zone was restored before this
    // router knew the target or the configuration.
    run_local(async {
        let mut fleet = Fleet::start(1, 0, 1).await;
        fleet.platform.empty_zone("zone-1");
        let gw = fleet.routers[0].gw.clone();
        eventually("emptying the zone", || gw.zones.is_emptied("zone-1")).await;
        fleet.platform.restore_zone("zone-1");
        eventually("restoring the zone", || !gw.zones.is_emptied("zone-1")).await;
        let target = StandinTarget::start("t2", "model", "zone-1").await.unwrap();
        target.set_cold(Some(COLD_CAPACITY));
        fleet.platform.register(&target, "ready");
        eventually("registering the second target", || gw.targets.count().0 == 2).await;
        fleet.targets.push(target);
        fleet.burst(30).await;
        let target = &fleet.targets[1];
        assert!(!target.has_crashed(), "{} requests within a second", target.peak_while_cold());
    });
}

#[test]
fn cold_target_after_refused_connection() {
    // Guards against sending all requests at once to a restarted target whose entry does not show
    // the restart because the store is unavailable.
    run_local(async {
        let fleet = Fleet::start(1, 0, 1).await;
        let backend = fleet.routers[0].gw.targets.all().remove(0);
        backend.process_state.connect_failed(&std::io::ErrorKind::ConnectionRefused.into());
        fleet.targets[0].set_cold(Some(COLD_CAPACITY));
        fleet.burst(30).await;
        assert!(!fleet.targets[0].has_crashed());
        assert!(backend.is_cold(Instant::now()));
    });
}

#[test]
fn cold_target_with_unresponsive_owner() {
    // Guards against routers that send requests without an admission when the owner does not
    // answer.
    run_local(async {
        let mut fleet = Fleet::start(2, 1, 0).await;
        let owner_of = |r: &GatewayHost| r.gw.cold.owner_of("t1", "zone-1").unwrap();
        let name = owner_of(&fleet.routers[0]);
        assert_eq!(name, owner_of(&fleet.routers[1]));
        let i = fleet.routers.iter().position(|r| r.gw.settings.instance == name).unwrap();
        fleet.routers.remove(i).kill();
        let before = fleet.targets[0].runs().len();
        assert_eq!(fleet.burst(10).await, 0);
        assert_eq!(fleet.targets[0].runs().len(), before);
    });
}

#[test]
fn admission_ttl_is_short() {
    // A longer TTL would let requests count in a later second than the one they were admitted in.
    assert!(ADMISSION_TTL < Duration::from_millis(50));
}
