//! Tests of routes and organisations that are restricted to regions.

use kingcupwall::gateway::CatalogParts;
use kingcupwall::gateway::entry::{EntryView, RouterEntry};
use kingcupwall::gateway::zone_filter::ZoneRegions;
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use rstest::rstest;

use crate::gateway_fleet::{Call, eventually, run_local};

/// The default configuration, with the first route and the organisation restricted to regions.
fn restricted_parts(route: &[&str], org: &[&str]) -> CatalogParts {
    let to_names = |names: &[&str]| names.iter().map(|n| (*n).into()).collect();
    let mut p = catalog_parts(1, 1_000_000);
    p.routes[0].homes = to_names(route);
    p.organisations.as_mut().unwrap()[0].homes = to_names(org);
    p
}

#[rstest]
#[case::unrestricted(&[], &[], 200)]
#[case::route_near(&["south"], &[], 200)]
#[case::route_far(&["north"], &[], 200)]
#[case::org_far(&[], &["north"], 200)]
#[case::both_far(&["north", "south"], &["north"], 200)]
#[case::both_exclude(&["south"], &["north"], 503)]
#[case::no_such_region(&["east"], &[], 503)]
fn request_stays_in_allowed_regions(
    #[case] route: &[&str],
    #[case] org: &[&str],
    #[case] status: u16,
) {
    // Guards against a request body that reaches a target outside the allowed regions.
    run_local(async {
        let platform = LocalPlatform::new();
        platform.configure(restricted_parts(route, org));
        let mut targets = Vec::new();
        for zone in ["zone-1", "zone-3"] {
            let target = StandinTarget::start(zone, "model", zone).await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let router = GatewayHost::start(&platform, "r1", "zone-1", 1).await.unwrap();
        eventually("discovery of all targets", || router.gw.targets.count().0 == 2).await;
        for n in 0..6 {
            let call = Call::get("/safe/a").id(&format!("q{n}")).body(&format!("private {n}"));
            assert_eq!(call.send(router.front).await.status(), status);
        }
        let runs = |n: usize| targets[n].runs().len();
        let may = |region| {
            status == 200 && [route, org].iter().all(|h| h.is_empty() || h.contains(&region))
        };
        assert_eq!(runs(0) + runs(1), if status == 200 { 6 } else { 0 });
        assert!(may("south") || runs(0) == 0);
        assert!(may("north") || runs(1) == 0);
    });
}

#[rstest]
#[case::own_zone("zone-1", &[1, 2, 3, 4], &[1])]
#[case::own_region("zone-1", &[2, 3, 4], &[2])]
#[case::allowed_region("zone-1", &[3, 4], &[3])]
#[case::any("zone-1", &[4], &[4])]
#[case::unknown_zone("zone-9", &[1, 3, 4], &[3])]
fn entry_answer_by_region(#[case] zone: &str, #[case] up: &[u8], #[case] named: &[u8]) {
    // Guards against sending callers to a region that is neither their own nor an allowed one.
    let zones = ["zone-1", "zone-2", "zone-3", "zone-4"];
    let regions = ["south", "south", "north", "east"];
    let router = |n: &u8| RouterEntry {
        front: format!("127.0.0.{n}:80").parse().unwrap(),
        zone: zones[usize::from(*n) - 1].into(),
        leaving: false,
        partitioned: false,
        rate: 0,
        capacity: 100,
    };
    let view = EntryView {
        routers: up.iter().map(router).collect(),
        ready: true,
        host_homes: vec![("shop.example".into(), vec!["north".into()])],
    };
    let pairs = zones.iter().zip(regions).map(|(z, r)| ((*z).into(), r.into()));
    let regions = ZoneRegions::new(pairs.collect());
    let answer = view.answer("Shop.example", zone, &regions);
    let expected: Vec<_> = named.iter().map(|n| router(n).front).collect();
    assert_eq!(answer, expected);
}
