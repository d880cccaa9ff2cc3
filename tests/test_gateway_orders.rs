//! Tests of zones that the operator empties and returns to service.

use std::net::IpAddr;
use std::time::Duration;

use kingcupwall::gateway::datagram::Topic;
use kingcupwall::gateway::peers::accepts_datagram;
use kingcupwall::gateway::zone_filter::{ExclusionReason, ZoneFilter, ZoneRegions};
use kingcupwall::gateway::zone_orders::{ZoneOrder, ZoneOrders};
use kingcupwall::rows::{Fault, Ver};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, eventually, run_local};

fn order(zone: &str, ver: u64, emptied: bool) -> ZoneOrder {
    ZoneOrder { zone: zone.into(), ver: Ver(ver), emptied }
}

#[rstest]
#[case::first(&[], order("a", 5, true), true)]
#[case::taken_back(&[order("a", 5, true)], order("a", 6, false), true)]
#[case::duplicate(&[order("a", 5, true)], order("a", 5, true), false)]
#[case::older_order_late(&[order("a", 5, true), order("a", 6, false)], order("a", 5, true), false)]
#[case::other_zone(&[order("a", 5, true)], order("b", 4, true), true)]
#[case::never_emptied(&[], order("a", 5, false), false)]
fn orders_merge_newer(
    #[case] before: &[ZoneOrder],
    #[case] next: ZoneOrder,
    #[case] changes: bool,
) {
    let mut orders = ZoneOrders::default();
    let now = Instant::now();
    for o in before {
        orders.merge_newer(o, now);
    }
    assert_eq!(orders.merge_newer(&next, now), changes);
    assert_eq!(orders.is_emptied(&next.zone), next.emptied && (changes || before.len() < 2));
}

#[test]
fn orders_missing_from_snapshot_taken_back() {
    // Guards against a zone that stays emptied for ever because the store compacted away the
    // deletion of its row.
    let mut orders = ZoneOrders::default();
    let now = Instant::now();
    orders.merge_newer(&order("a", 5, true), now);
    orders.merge_newer(&order("b", 6, true), now);
    let gone = orders.missing_from(&["b".into()], Ver(9));
    assert_eq!(gone, [order("a", 9, false)]);
    assert!(orders.merge_newer(&gone[0], now));
    assert_eq!(orders.emptied(), ["b"]);
}

#[rstest]
#[case::before_snapshot(5, true, false, Some(Duration::ZERO))]
#[case::after_snapshot(10, true, true, None)]
#[case::restored_before_snapshot(5, false, false, Some(Duration::ZERO))]
fn orders_learnt_after_snapshot(
    #[case] ver: u64,
    #[case] emptied: bool,
    #[case] is_emptied: bool,
    #[case] in_service_for: Option<Duration>,
) {
    // Guards against a zone that a late message empties although the store's order has gone.
    let mut orders = ZoneOrders::default();
    let now = Instant::now();
    orders.record_snapshot(Ver(9));
    orders.merge_newer(&order("a", ver, emptied), now);
    assert_eq!(orders.is_emptied("a"), is_emptied);
    assert_eq!(orders.in_service_for("a", now), in_service_for);
}

#[test]
fn orders_lasting() {
    let mut orders = ZoneOrders::default();
    let (start, keep_time) = (Instant::now(), Duration::from_secs(60));
    for (zone, ver, emptied) in [("a", 1, true), ("b", 2, true), ("b", 3, false)] {
        orders.merge_newer(&order(zone, ver, emptied), start);
    }
    let zones_at = |s| -> Vec<_> {
        let lasting = orders.lasting(start + Duration::from_secs(s), keep_time);
        lasting.into_iter().map(|o| (o.zone, o.emptied)).collect()
    };
    assert_eq!(zones_at(59), [("a".into(), true), ("b".into(), false)]);
    assert_eq!(zones_at(61), [("a".into(), true)]);
}

#[rstest]
#[case::no_restriction(&[], &[], &[], "a", None)]
#[case::emptied(&["a"], &[], &[], "a", Some(ExclusionReason::Emptied))]
#[case::other_emptied(&["b"], &[], &[], "a", None)]
#[case::allowed_region(&[], &["south"], &[], "a", None)]
#[case::outside_regions(&[], &["north"], &[], "a", Some(ExclusionReason::OutsideAllowedRegions))]
#[case::both_restricted(&[], &["south", "north"], &["north"], "a", Some(ExclusionReason::OutsideAllowedRegions))]
#[case::outside_regions_and_emptied(&["a"], &["north"], &[], "a", Some(ExclusionReason::OutsideAllowedRegions))]
#[case::unknown_zone(&[], &["south"], &[], "z", Some(ExclusionReason::OutsideAllowedRegions))]
#[case::unknown_zone_unrestricted(&[], &[], &[], "z", None)]
fn zone_filter_exclusion_reason(
    #[case] emptied: &[&str],
    #[case] route: &[&str],
    #[case] org: &[&str],
    #[case] zone: &str,
    #[case] expected: Option<ExclusionReason>,
) {
    let to_names = |names: &[&str]| names.iter().map(|n| (*n).into()).collect::<Vec<_>>();
    let regions = ZoneRegions::new(vec![
        ("a".into(), "south".into()),
        ("b".into(), "south".into()),
        ("c".into(), "north".into()),
    ]);
    let (emptied, route, org) = (to_names(emptied), to_names(route), to_names(org));
    let zone_filter = ZoneFilter { emptied: &emptied, homes: [&route, &org], regions: &regions };
    assert_eq!(zone_filter.exclusion_reason(zone), expected);
}

/// One target in each of two zones, and any number of routers.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start(routers: usize) -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(catalog_parts(1, 1_000_000));
        let mut targets = Vec::new();
        for n in 1..=2 {
            let zone = format!("zone-{n}");
            let target = StandinTarget::start(&format!("t{n}"), "model", &zone).await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let mut fleet = Fleet { platform, targets, routers: Vec::new() };
        for n in 1..=routers {
            fleet.add_router(n, 1).await;
        }
        for r in &fleet.routers {
            eventually("discovery of all targets", || r.gw.targets.count().0 == 2).await;
            eventually("discovery of the other routers", || {
                r.gw.peers.borrow().len() + 1 >= routers
            })
            .await;
        }
        fleet
    }

    async fn add_router(&mut self, n: usize, incarnation: u64) {
        let name = format!("r{n}");
        let host = GatewayHost::start(&self.platform, &name, "zone-1", incarnation).await;
        self.routers.push(host.unwrap());
    }

    /// Sends requests to a router. Returns the number of runs at each target.
    async fn send(&self, router: usize, name: &str) -> (usize, usize) {
        let before = self.runs();
        for n in 0..8 {
            let call = Call::get("/safe/a").id(&format!("{name}{n}")).body(&format!("{name} {n}"));
            assert_eq!(call.send(self.routers[router].front).await.status(), 200);
        }
        let after = self.runs();
        (after.0 - before.0, after.1 - before.1)
    }

    fn runs(&self) -> (usize, usize) {
        (self.targets[0].runs().len(), self.targets[1].runs().len())
    }

    async fn wait_for_emptied(&self, router: usize, emptied: &[&str]) {
        let zones = &self.routers[router].gw.zones;
        eventually("arrival of the order", || zones.emptied() == emptied).await;
    }
}

#[test]
fn emptied_zone_gets_no_new_requests() {
    run_local(async {
        let fleet = Fleet::start(1).await;
        fleet.platform.empty_zone("zone-1");
        fleet.wait_for_emptied(0, &["zone-1"]).await;
        assert_eq!(fleet.send(0, "emptied").await, (0, 8));
        fleet.platform.restore_zone("zone-1");
        fleet.wait_for_emptied(0, &[]).await;
        assert!(fleet.send(0, "back").await.0 > 0);
    });
}

#[test]
fn emptied_zone_completes_running_requests() {
    // Guards against streams that break off because the zone of their target is emptied.
    run_local(async {
        let fleet = Fleet::start(1).await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(100)));
        let front = fleet.routers[0].front;
        let stream =
            spawn_local(async move { Call::get("/stream/a").tokens(10, 16).send(front).await });
        eventually("the start of the run", || fleet.runs() == (1, 0)).await;
        fleet.platform.empty_zone("zone-1");
        fleet.wait_for_emptied(0, &["zone-1"]).await;
        let got = stream.await.unwrap();
        assert!(got.is_complete);
        assert_eq!(got.events(), (1..=8).collect::<Vec<_>>());
    });
}

#[test]
fn resumed_stream_leaves_emptied_zone() {
    // Guards against resuming or retrying a request in a zone that was emptied while the first
    // target was running the request.
    run_local(async {
        let fleet = Fleet::start(1).await;
        for n in 0..10 {
            let warm = Call::get("/resumable/warm").id(&format!("w{n}")).tokens(1, 2);
            assert_eq!(warm.send(fleet.routers[0].front).await.status(), 200);
        }
        let third = StandinTarget::start("t3", "model", "zone-1").await.unwrap();
        fleet.platform.register(&third, "ready");
        eventually("discovery of the third target", || fleet.routers[0].gw.targets.count().0 == 3)
            .await;
        let before = fleet.runs();
        for t in fleet.targets.iter().chain([&third]) {
            t.set_event_gap(Duration::from_millis(60));
            t.fail(&[TargetFault::CutsStream(6)]);
        }
        let front = fleet.routers[0].front;
        let stream = spawn_local(async move {
            Call::get("/resumable/a").id("s").tokens(10, 20).send(front).await
        });
        let runs = || fleet.runs().0 - before.0 + third.runs().len();
        eventually("the start of the run in the zone", || runs() == 1).await;
        fleet.platform.empty_zone("zone-1");
        fleet.wait_for_emptied(0, &["zone-1"]).await;
        let got = stream.await.unwrap();
        // The target in the other zone cuts the stream at the same event, so no new event arrives.
        assert!(!got.events().is_empty());
        assert_eq!((runs(), fleet.runs().1 - before.1), (1, 1));
    });
}

#[test]
fn all_zones_emptied_refused() {
    // Guards against holding a request until it times out although no target can serve it.
    run_local(async {
        let fleet = Fleet::start(1).await;
        fleet.platform.empty_zone("zone-1");
        fleet.platform.empty_zone("zone-2");
        fleet.wait_for_emptied(0, &["zone-1", "zone-2"]).await;
        let got = Call::get("/once/a").body("order").send(fleet.routers[0].front).await;
        assert_eq!((got.status(), got.body.as_str()), (503, r#"{"error":"zones_emptied"}"#));
        assert!(got.header("Retry-After").unwrap().parse::<f64>().unwrap() >= 1.0);
        assert_eq!(fleet.runs(), (0, 0));
    });
}

#[test]
fn order_reaches_router_rejected_by_store() {
    // Guards against a router that keeps sending into an emptied zone because the store rejects
    // this router but not the others.
    run_local(async {
        let fleet = Fleet::start(2).await;
        fleet.routers[1].platform.rows.set_fault(Fault::Reject(503));
        sleep(Duration::from_millis(100)).await;
        fleet.platform.empty_zone("zone-1");
        fleet.wait_for_emptied(1, &["zone-1"]).await;
        assert_eq!(fleet.send(1, "told").await, (0, 8));
        fleet.platform.restore_zone("zone-1");
        fleet.wait_for_emptied(1, &[]).await;
    });
}

#[test]
fn order_in_compacted_history() {
    // Guards against missing the start or the end of an order because the store has compacted the
    // history that contains it.
    run_local(async {
        let fleet = Fleet::start(1).await;
        let rows = &fleet.routers[0].platform.rows;
        for emptied in [true, false] {
            rows.set_fault(Fault::Reject(503));
            sleep(Duration::from_millis(100)).await;
            match emptied {
                true => fleet.platform.empty_zone("zone-1"),
                false => fleet.platform.restore_zone("zone-1"),
            }
            fleet.platform.rows.compact();
            rows.set_fault(Fault::None);
            fleet.wait_for_emptied(0, if emptied { &["zone-1"] } else { &[] }).await;
        }
    });
}

#[test]
fn router_starts_while_zone_is_emptied() {
    // Guards against a new router that sends its first requests into an emptied zone.
    run_local(async {
        let mut fleet = Fleet::start(0).await;
        fleet.platform.empty_zone("zone-1");
        fleet.add_router(1, 1).await;
        eventually("discovery of all targets", || fleet.routers[0].gw.targets.count().0 == 2).await;
        assert_eq!(fleet.send(0, "started").await, (0, 8));
    });
}

#[rstest]
#[case::known(&["127.0.0.2"], "127.0.0.2", Topic::Hints, true)]
#[case::unknown(&["127.0.0.2"], "127.0.0.3", Topic::Orders, false)]
#[case::order_before_any_is_known(&[], "127.0.0.3", Topic::Orders, true)]
#[case::hint_before_any_is_known(&[], "127.0.0.3", Topic::Hints, false)]
fn accepts_datagram_by_sender(
    #[case] known: &[&str],
    #[case] from: &str,
    #[case] topic: Topic,
    #[case] expected: bool,
) {
    // Guards against a router that keeps sending into an emptied zone because its store stopped
    // responding before the router had read the list of its peers.
    let known: Vec<IpAddr> = known.iter().map(|a| a.parse().unwrap()).collect();
    assert_eq!(accepts_datagram(&known, from.parse().unwrap(), Some(topic)), expected);
}
