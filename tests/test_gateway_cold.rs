//! Cold targets: what they get from all routers together.

use std::time::Duration;

use kingcupwall::gateway::CatalogParts;
use kingcupwall::gateway::cold::{ADMISSION_LIFE, ColdBound, Meter, Owner, Pace, WarmUp, owner};
use kingcupwall::gateway::place::{Candidate, Demand, Placement, Weights, place};
use kingcupwall::standin::gateway::{LocalPlatform, parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use proptest::prelude::*;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, eventually, run_local};

const BOUND: ColdBound = ColdBound { over: 1.5, slack: 5.0 };

fn warm_up(per_s: f64) -> WarmUp {
    WarmUp { lasts: Duration::from_secs(3), per_s }
}

#[rstest]
#[case::usual(11.0, BOUND)]
#[case::slow(2.0, BOUND)]
#[case::very_slow(0.3, BOUND)]
#[case::no_slack(8.0, ColdBound { over: 1.0, slack: 0.0 })]
#[case::nothing_on_top(0.8, ColdBound { over: 1.0, slack: 0.0 })]
#[case::fast(400.0, BOUND)]
fn pace_two_owners_within_bound(#[case] per_s: f64, #[case] bound: ColdBound) {
    let pace = Pace::of(warm_up(per_s), bound);
    let spans = 1.0_f64.max(pace.window.as_secs_f64());
    let most = 2.0 * pace.requests as f64 / spans;
    assert!(most <= per_s * bound.over + bound.slack, "{pace:?}");
    assert!(pace.requests >= 1 && pace.requests as f64 / spans <= per_s, "{pace:?}");
}

proptest! {
    #[test]
    fn meter_any_second(gaps in proptest::collection::vec(0_u64..300, 1..200)) {
        let pace = Pace::of(warm_up(11.0), BOUND);
        let mut meter = Meter::default();
        let mut now = Instant::now();
        let mut admitted = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            match meter.admit(now, pace) {
                Ok(()) => admitted.push(now),
                Err(room_in) => {
                    prop_assert!(!room_in.is_zero());
                    // There is room when it says so, and not before.
                    prop_assert!(room_in <= pace.window);
                }
            }
        }
        for from in &admitted {
            let within = |t: &&Instant| *t >= from && **t < *from + Duration::from_secs(1);
            prop_assert!(admitted.iter().filter(within).count() <= pace.requests);
        }
    }
}

fn router(name: &str, zone: &str, capacity: u32) -> Owner {
    let addr = "127.0.0.1:80".parse().unwrap();
    Owner { instance: name.into(), zone: zone.into(), addr, capacity }
}

#[test]
fn owner_largest_of_the_zone() {
    let mut routers = vec![
        router("a", "z1", 50),
        router("b", "z1", 200),
        router("c", "z1", 200),
        router("d", "z2", 900),
    ];
    let of =
        |routers: &[Owner], target: &str| owner(routers, target, "z1").unwrap().instance.clone();
    let owners: Vec<_> = (0..20).map(|n| of(&routers, &format!("t{n}"))).collect();
    assert!(owners.iter().all(|o| o == "b" || o == "c"));
    assert!(owners.iter().any(|o| o == "b") && owners.iter().any(|o| o == "c"));
    // Only the targets of a router that goes change their owner, in whatever order others stand.
    routers.retain(|r| r.instance != "c");
    routers.reverse();
    for (n, before) in owners.iter().enumerate().filter(|(_, o)| *o == "b") {
        assert_eq!(of(&routers, &format!("t{n}")), *before);
    }
    // A zone without routers is seen to by the others.
    assert_eq!(owner(&routers, "t1", "z3").unwrap().instance, "d");
    assert_eq!(owner(&[], "t1", "z1"), None);
}

#[rstest]
#[case::room(&[Some(0), None], 0)]
#[case::no_room(&[Some(30), None], 1)]
fn place_cold_with_room(#[case] room_in_ms: &[Option<u64>], #[case] expected: usize) {
    let sent = place(&candidates(room_in_ms), &DEMAND, &Weights::default());
    assert!(matches!(sent, Placement::Send { index, .. } if index == expected), "{sent:?}");
}

#[test]
fn place_all_cold_without_room() {
    // Guards against callers that are sent away without the time at which there is room.
    let placement = place(&candidates(&[Some(70), Some(30)]), &DEMAND, &Weights::default());
    assert_eq!(placement, Placement::Cold { room_in: Duration::from_millis(30) });
}

const DEMAND: Demand =
    Demand { aim: Duration::from_millis(300), left: Duration::from_secs(5), engine: true };

/// One candidate each, the first ones cheaper.
fn candidates(room_in_ms: &[Option<u64>]) -> Vec<Candidate> {
    let candidate = |(i, ms): (usize, &Option<u64>)| Candidate {
        near: true,
        uncached: 100,
        wait_ms: 50.0 * i as f64,
        base_ms: 0.0,
        prefill_ms: 10.0,
        running: 0,
        slots: 8,
        rank: i,
        doubtful: false,
        resting: None,
        tried: false,
        room_in: ms.map(Duration::from_millis),
    };
    room_in_ms.iter().enumerate().map(candidate).collect()
}

/// Requests within any second that a cold target bears here.
const BEARS: usize = 12;
/// The operator's bound for it: 4 a second, times 1.5, and 6 more.
const PER_S: f64 = 4.0;

fn warming_parts() -> CatalogParts {
    let mut p = parts(1, 1_000_000);
    p.services[0].warm_up = Some(warm_up(PER_S));
    p
}

/// Routers before targets of which the first ones are cold.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start(routers: usize, cold: usize, warm: usize) -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(warming_parts());
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
            eventually("the others are known", || r.gw.peers.borrow().len() + 1 >= routers).await;
            eventually("targets are known", || r.gw.targets.count().0 == warm + cold).await;
        }
        // Until each knows its own row, and has settled.
        sleep(Duration::from_millis(2_300)).await;
        let fleet = Fleet { platform, targets, routers: hosts };
        for target in &fleet.targets[..cold] {
            target.set_cold(Some(BEARS));
            fleet.platform.register_cold(target, "ready", Duration::from_secs(3));
        }
        for r in &fleet.routers {
            eventually("targets are cold", || r.gw.targets.count_cold() == cold).await;
        }
        fleet
    }

    /// Many requests at each router, all at once. Returns how many were answered.
    async fn burst(&self, at_each: usize) -> usize {
        let mut calls = Vec::new();
        for (r, n) in self.routers.iter().flat_map(|r| (0..at_each).map(move |n| (r, n))) {
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
fn cold_target_before_many_routers() {
    // Guards against a target that has just come back and ends under what all routers send it at
    // once, each of them a little.
    run_local(async {
        let fleet = Fleet::start(5, 1, 0).await;
        let answered = fleet.burst(12).await;
        let cold = &fleet.targets[0];
        assert!(!cold.has_ended(), "{} within a second", cold.most_while_cold());
        assert!(answered >= PER_S as usize, "{answered} answered");
    });
}

#[test]
fn cold_target_beside_warm_ones() {
    // Guards against callers that are refused because one of the targets is cold.
    run_local(async {
        let fleet = Fleet::start(3, 1, 2).await;
        assert_eq!(fleet.burst(10).await, 30);
        assert!(!fleet.targets[0].has_ended());
        assert!(!fleet.targets[0].runs().is_empty());
    });
}

#[test]
fn cold_refusal_says_when() {
    // Guards against callers that are refused at a cold target without a time to come back.
    run_local(async {
        let fleet = Fleet::start(1, 1, 0).await;
        let front = fleet.routers[0].front;
        let mut refused = None;
        for n in 0..12 {
            let got = Call::get("/once/a").id(&format!("q{n}")).body("order").send(front).await;
            refused = refused.or((got.status() == 503).then_some(got));
        }
        let refused = refused.expect("more than it bears");
        assert_eq!(refused.body, r#"{"error":"cold"}"#);
        let after: f64 = refused.header("Retry-After").unwrap().parse().unwrap();
        assert!((0.1..=3.0).contains(&after), "{after}");
    });
}

#[test]
fn cold_after_zone_is_taken_back() {
    // Guards against targets that became cold while their zone was emptied and get all requests at
    // once, because their entries do not say so yet.
    run_local(async {
        let fleet = Fleet::start(2, 0, 1).await;
        fleet.platform.empty_zone("zone-1");
        for r in &fleet.routers {
            eventually("it is emptied", || r.gw.zones.is_emptied("zone-1")).await;
        }
        fleet.targets[0].set_cold(Some(BEARS));
        fleet.platform.take_zone_back("zone-1");
        for r in &fleet.routers {
            eventually("it is back", || !r.gw.zones.is_emptied("zone-1")).await;
        }
        fleet.burst(20).await;
        assert!(!fleet.targets[0].has_ended());
    });
}

#[test]
fn cold_in_zone_taken_back_before_target_is_known() {
    // Guards against a target that gets all requests at once because its zone was taken back
    // before this router knew of it, or of the configuration.
    run_local(async {
        let mut fleet = Fleet::start(1, 0, 1).await;
        fleet.platform.empty_zone("zone-1");
        let gw = fleet.routers[0].gw.clone();
        eventually("it is emptied", || gw.zones.is_emptied("zone-1")).await;
        fleet.platform.take_zone_back("zone-1");
        eventually("it is back", || !gw.zones.is_emptied("zone-1")).await;
        let target = StandinTarget::start("t2", "model", "zone-1").await.unwrap();
        target.set_cold(Some(BEARS));
        fleet.platform.register(&target, "ready");
        eventually("it is known", || gw.targets.count().0 == 2).await;
        fleet.targets.push(target);
        fleet.burst(30).await;
        let target = &fleet.targets[1];
        assert!(!target.has_ended(), "{} within a second", target.most_while_cold());
    });
}

#[test]
fn cold_after_it_could_not_be_reached() {
    // Guards against a target that started anew and gets all requests at once, because the store
    // is away and its entry says nothing of that.
    run_local(async {
        let fleet = Fleet::start(1, 0, 1).await;
        let backend = fleet.routers[0].gw.targets.all().remove(0);
        backend.process_state.unreached(&std::io::ErrorKind::ConnectionRefused.into());
        fleet.targets[0].set_cold(Some(BEARS));
        fleet.burst(30).await;
        assert!(!fleet.targets[0].has_ended());
        assert!(backend.is_cold(Instant::now()));
    });
}

#[test]
fn cold_owner_is_silent() {
    // Guards against routers that send on their own when the one that admits does not answer.
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
fn admission_is_short() {
    // An admission that is used later than this counts in another second than it was admitted in.
    assert!(ADMISSION_LIFE < Duration::from_millis(50));
}
