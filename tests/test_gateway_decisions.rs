//! Tests of the gateway's decisions, without sockets.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwall::gateway::catalog::{Catalog, RouteKind, Share};
use kingcupwall::gateway::entry::{EntryView, RouterEntry, routers_needed};
use kingcupwall::gateway::members::TableReads;
use kingcupwall::gateway::outcome::{FinalAnswer, NextStep, SendCounts, SendOutcome, next_step};
use kingcupwall::gateway::place::{Candidate, Placement, PlacementGoal, PlacementWeights, place};
use kingcupwall::gateway::refusal::backoff_refusal;
use kingcupwall::gateway::retries::{RetryAllowance, ServiceRetryBudgets};
use kingcupwall::gateway::sse::EventSplitter;
use kingcupwall::gateway::zone_filter::ZoneRegions;
use kingcupwall::rows::StoreMs;
use kingcupwall::standin::gateway::{catalog_parts, route};
use proptest::prelude::*;
use rstest::rstest;

const FIRST_SEND: SendCounts = SendCounts { runs: 1, sends: 1 };

#[rstest]
#[case(RouteKind::NonIdempotent, SendOutcome::NoAnswer, 1, NextStep::Answer(FinalAnswer::Unknown))]
#[case(RouteKind::NonIdempotent, SendOutcome::Truncated, 3, NextStep::Answer(FinalAnswer::Unknown))]
#[case(RouteKind::Stream, SendOutcome::NoAnswer, 3, NextStep::Answer(FinalAnswer::Unknown))]
#[case(
    RouteKind::NonIdempotent,
    SendOutcome::Failed,
    3,
    NextStep::Answer(FinalAnswer::TargetAnswer)
)]
#[case(RouteKind::Idempotent, SendOutcome::NoAnswer, 2, NextStep::Retry(FinalAnswer::Unknown))]
#[case(RouteKind::Idempotent, SendOutcome::Failed, 2, NextStep::Retry(FinalAnswer::TargetAnswer))]
#[case(RouteKind::Idempotent, SendOutcome::Failed, 1, NextStep::Answer(FinalAnswer::TargetAnswer))]
#[case(
    RouteKind::ResumableStream,
    SendOutcome::Truncated,
    2,
    NextStep::Retry(FinalAnswer::Unknown)
)]
fn next_step_after_run(
    #[case] kind: RouteKind,
    #[case] ended: SendOutcome,
    #[case] attempts: u32,
    #[case] expected: NextStep,
) {
    assert_eq!(next_step(kind, ended, FIRST_SEND, attempts), expected);
}

#[rstest]
fn next_step_never_repeats_after_run(
    #[values(SendOutcome::NoAnswer, SendOutcome::Truncated, SendOutcome::Failed)]
    ended: SendOutcome,
    #[values(RouteKind::NonIdempotent, RouteKind::Stream)] kind: RouteKind,
    #[values(1, 2, 5)] attempts: u32,
    #[values(1, 2, 4)] sends: u32,
) {
    let next_step = next_step(kind, ended, SendCounts { runs: 1, sends }, attempts);
    assert!(
        matches!(next_step, NextStep::Answer(FinalAnswer::Unknown | FinalAnswer::TargetAnswer)),
        "{next_step:?}"
    );
}

#[rstest]
fn next_step_not_run_only_before_any_run(
    #[values(SendOutcome::NotSent, SendOutcome::NotRun, SendOutcome::OtherTarget)]
    ended: SendOutcome,
    #[values(0, 1, 2)] runs: u32,
    #[values(1, 4)] sends: u32,
) {
    // Answering "not run" would be false if an earlier send of the request may have run.
    let next_step = next_step(RouteKind::Idempotent, ended, SendCounts { runs, sends }, 3);
    let claims_not_run = matches!(
        next_step,
        NextStep::Answer(FinalAnswer::NotRun) | NextStep::Retry(FinalAnswer::NotRun)
    );
    assert!(runs == 0 || !claims_not_run, "{next_step:?}");
}

#[test]
fn route_longest_prefix() {
    let mut p = catalog_parts(1, 10);
    p.routes.push(route("/safe/deep/", RouteKind::Stream, 1));
    let catalog = Catalog::build(p);
    let name = |path| catalog.route("SHOP.example", path).map(|r| r.name.to_string());
    assert_eq!(name("/safe/deep/x").as_deref(), Some("safe/deep"));
    assert_eq!(name("/safe/deepx").as_deref(), Some("safe"));
    assert_eq!(name("/safe").as_deref(), None);
    assert!(catalog.route("other.example", "/safe/a").is_none());
}

#[test]
fn route_service_by_share() {
    let mut r = route("/a/", RouteKind::Idempotent, 1);
    r.shares =
        vec![Share { service: "x".into(), weight: 90 }, Share { service: "y".into(), weight: 10 }];
    let of = |draw| r.service(draw).unwrap().to_string();
    assert_eq!(
        (of(0.0), of(0.899), of(0.901), of(0.9999)),
        ("x".into(), "x".into(), "y".into(), "y".into())
    );
}

fn candidate() -> Candidate {
    Candidate {
        same_zone: true,
        uncached: 1_000,
        wait_ms: 10.0,
        base_ms: 0.0,
        prefill_ms: 50.0,
        in_flight_requests: 0,
        slots: 8,
        rank: 0,
        unhealthy: false,
        backoff: None,
        tried: false,
        room_in: None,
    }
}

const GOAL: PlacementGoal = PlacementGoal {
    aim: Duration::from_millis(300),
    remaining: Duration::from_secs(5),
    engine: true,
};

fn sent(placement: Placement) -> usize {
    let Placement::Send { index, .. } = placement else { panic!("{placement:?}") };
    index
}

#[test]
fn place_prefers_cached_to_idle() {
    // Prefilling the shared part again delays all requests that wait behind it.
    let cached = Candidate { wait_ms: 40.0, prefill_ms: 20.0, ..candidate() };
    let idle = Candidate { prefill_ms: 120.0, ..candidate() };
    assert_eq!(sent(place(&[idle, cached], &GOAL, &PlacementWeights::default())), 1);
    // A long queue outweighs the cached part.
    let queued = Candidate { wait_ms: 400.0, ..cached };
    assert_eq!(sent(place(&[idle, queued], &GOAL, &PlacementWeights::default())), 0);
}

#[test]
fn place_unhealthy_as_last_resort() {
    let unhealthy = Candidate { unhealthy: true, ..candidate() };
    let slow = Candidate { wait_ms: 200.0, ..candidate() };
    assert_eq!(sent(place(&[unhealthy, slow], &GOAL, &PlacementWeights::default())), 1);
    assert_eq!(sent(place(&[unhealthy], &GOAL, &PlacementWeights::default())), 0);
    let none =
        place(&[Candidate { tried: true, ..candidate() }], &GOAL, &PlacementWeights::default());
    assert_eq!(none, Placement::NoTarget);
}

#[test]
fn place_refuses_late_request() {
    // Under sustained overload, each admitted request would wait behind all others and be late.
    let busy = Candidate { wait_ms: 900.0, ..candidate() };
    let placement = place(&[busy, busy], &GOAL, &PlacementWeights::default());
    let Placement::Busy { room_in_ms } = placement else { panic!("{placement:?}") };
    assert!((600.0..900.0).contains(&room_in_ms), "{room_in_ms}");
}

/// Guards against a retry delay other than the time until the first target accepts requests again.
#[rstest]
#[case::all_backing_off(&[Some(3_000), Some(120)], &[], Some(120))]
#[case::already_tried(&[Some(3_000)], &[0], Some(3_000))]
#[case::none_backing_off(&[None], &[0], None)]
fn place_all_backing_off(
    #[case] backoff_ms: &[Option<u64>],
    #[case] tried: &[usize],
    #[case] retry_after_ms: Option<u64>,
) {
    let one = |(i, ms): (usize, &Option<u64>)| Candidate {
        backoff: ms.map(Duration::from_millis),
        tried: tried.contains(&i),
        ..candidate()
    };
    let candidates: Vec<Candidate> = backoff_ms.iter().enumerate().map(one).collect();
    let expected = match retry_after_ms {
        Some(ms) => Placement::BackingOff { retry_after: Duration::from_millis(ms) },
        None => Placement::NoTarget,
    };
    assert_eq!(place(&candidates, &GOAL, &PlacementWeights::default()), expected);
}

/// Guards against callers that retry before a target accepts requests, or all at once.
#[rstest]
#[case::stated_delay(3_000, 3_000, 3_400)]
#[case::minimum_delay(1, 150, 300)]
fn backoff_refusal_jitter(#[case] retry_after_ms: u64, #[case] from_ms: u128, #[case] to_ms: u128) {
    let after = || {
        let refusal = backoff_refusal(Duration::from_millis(retry_after_ms));
        refusal.retry_after.unwrap().as_millis()
    };
    fastrand::seed(1);
    let times: Vec<u128> = (0..100).map(|_| after()).collect();
    assert!(times.iter().all(|ms| (from_ms..=to_ms).contains(ms)), "{times:?}");
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!((most - least) * 2 > to_ms - from_ms, "{times:?}");
}

#[test]
fn place_backing_off_never_chosen() {
    let backoff = Candidate { backoff: Some(Duration::from_millis(1)), ..candidate() };
    let unhealthy = Candidate { unhealthy: true, wait_ms: 200.0, ..candidate() };
    assert_eq!(sent(place(&[backoff, unhealthy], &GOAL, &PlacementWeights::default())), 1);
}

#[test]
fn retry_budget_over_any_window() {
    // Guards against retry storms: when a service fails for all requests, the fleet must stay
    // within its retry budget over any window, for any number of routers.
    let allowance = RetryAllowance { ratio: 0.2, slack: 52.0 };
    let routers = 6;
    let mut fleet: Vec<ServiceRetryBudgets> =
        (0..routers).map(|_| ServiceRetryBudgets::new(allowance)).collect();
    fleet.iter_mut().for_each(|r| r.set_routers(routers));
    let mut retries = Vec::new();
    for n in 0..6_000_usize {
        let router = &mut fleet[n % routers as usize];
        router.earn("api");
        // No failures at first, then every request fails.
        retries.push(u32::from(n > 2_000 && router.take("api")));
    }
    for window in retries.windows(400) {
        let sum: u32 = window.iter().sum();
        assert!(f64::from(sum) <= 0.2 * 400.0 + 52.0, "{sum}");
    }
    assert!(retries.iter().sum::<u32>() > 600);
}

#[test]
fn entry_answer_fewest_routers() {
    let router = |n: u8, zone: &str, rate, leaving| RouterEntry {
        front: format!("127.0.0.{n}:80").parse().unwrap(),
        zone: zone.into(),
        leaving,
        partitioned: false,
        rate,
        capacity: 100,
    };
    let mut view = EntryView {
        routers: vec![
            router(1, "a", 30, false),
            router(2, "a", 40, false),
            router(3, "b", 20, false),
            router(4, "b", 0, true),
        ],
        ready: true,
        ..EntryView::default()
    };
    let answer = |view: &EntryView, zone| -> Vec<String> {
        view.answer("", zone, &ZoneRegions::default()).iter().map(|a| a.ip().to_string()).collect()
    };
    assert_eq!(answer(&view, "a"), ["127.0.0.1"]);
    view.routers[1].rate = 60;
    assert_eq!(answer(&view, "a"), ["127.0.0.1", "127.0.0.2"]);
    assert_eq!(answer(&view, "b"), ["127.0.0.3"]);
    // A router that is leaving is never named. A zone without routers gets those of all other
    // zones.
    view.routers[0].leaving = true;
    assert_eq!(answer(&view, "a"), ["127.0.0.2"]);
    assert_eq!(answer(&view, "c"), ["127.0.0.2", "127.0.0.3"]);
}

proptest! {
    #[test]
    fn splitter_whole_events(cuts in proptest::collection::vec(1_usize..30, 1..40)) {
        let text: String = (1..40).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n % 7))).collect();
        let mut splitter = EventSplitter::default();
        let (mut rest, mut out, mut count, mut last) = (text.as_bytes(), Vec::new(), 0, None);
        for n in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*n).min(rest.len()));
            rest = after;
            if let Some(events) = splitter.push(piece).unwrap() {
                prop_assert!(events.bytes.ends_with(b"\n\n"));
                out.extend_from_slice(&events.bytes);
                count += events.count;
                last = events.last_id;
            }
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!((count, last.as_deref()), (39, Some("39")));
        prop_assert!(!splitter.is_within_event());
    }
}

#[rstest]
#[case::one_of_zone(&[1], "a", &[2])]
#[case::whole_zone(&[1, 2], "a", &[3])]
#[case::whole_region(&[1, 2, 3], "a", &[1])]
#[case::other_region(&[1, 2, 3], "c", &[4])]
#[case::all(&[1, 2, 3, 4], "c", &[4])]
fn entry_answer_partitioned(#[case] partitioned: &[u8], #[case] zone: &str, #[case] named: &[u8]) {
    // Guards against sending callers to a router that is partitioned from the targets while another
    // one near them is not, and to another region because all near ones are.
    let addr = |n: u8| SocketAddr::from(([127, 0, 0, n], 80));
    let router = |(n, zone): (u8, &str)| RouterEntry {
        front: addr(n),
        zone: zone.into(),
        leaving: false,
        partitioned: partitioned.contains(&n),
        rate: 10,
        capacity: 100,
    };
    let view = EntryView {
        routers: [(1, "a"), (2, "a"), (3, "b"), (4, "c")].map(router).to_vec(),
        ready: true,
        ..EntryView::default()
    };
    let regions =
        [("a", "south"), ("b", "south"), ("c", "north")].map(|(z, r)| (z.into(), r.into()));
    let expected: Vec<_> = named.iter().map(|n| addr(*n)).collect();
    assert_eq!(view.answer("", zone, &ZoneRegions::new(regions.to_vec())), expected);
}

#[test]
fn entry_answer_largest_first() {
    let router = |n: u8, rate, capacity| RouterEntry {
        front: format!("127.0.0.{n}:80").parse().unwrap(),
        zone: "a".into(),
        leaving: false,
        partitioned: false,
        rate,
        capacity,
    };
    let answer = |rate| -> Vec<String> {
        let mut routers: Vec<_> = (1..=9).map(|n| router(n, rate, 50)).collect();
        routers.push(router(10, rate, 200));
        let view = EntryView { routers, ready: true, ..EntryView::default() };
        let named = view.answer("", "a", &ZoneRegions::default());
        named.iter().map(|a| a.ip().to_string()).collect()
    };
    // Twice the stated capacity is no problem for the large router; 40 requests per second each
    // would overload the small ones.
    assert_eq!(answer(40), ["127.0.0.10"]);
    // Above that rate the small routers are named too, sorted by address.
    let mut all = vec!["127.0.0.10".to_owned()];
    all.extend((1..=9).map(|n| format!("127.0.0.{n}")));
    assert_eq!(answer(50), all);
}

#[test]
fn reads_unnamed_after_termination() {
    // Guards against naming routers that terminated during a store outage for several seconds after
    // it.
    const LIMIT: Duration = Duration::from_millis(3_500);
    let mut reads = TableReads::default();
    for ms in [1_000, 3_000, 5_000, 13_400] {
        reads.record_read(StoreMs(ms));
    }
    // Live routers could not renew their rows, so they stay named until they have had time to do
    // so.
    assert!(reads.max_advertised_age_ms(StoreMs(13_400), LIMIT) > 13_400 - 4_900);
    assert!(reads.max_advertised_age_ms(StoreMs(15_400), LIMIT) > 15_400 - 4_900);
    reads.record_read(StoreMs(15_400));
    reads.record_read(StoreMs(17_400));
    assert_eq!(reads.max_advertised_age_ms(StoreMs(16_000), LIMIT), 3_500);
    assert!(reads.stale_ms(StoreMs(16_000)) > 6_500);
}

#[rstest]
#[case::usual_rate(157.0, 2)]
#[case::no_requests(0.0, 1)]
#[case::burst_of_one_organisation(450.0, 2)]
#[case::twice_stated_capacity(800.0, 2)]
#[case::above_large_routers(900.0, 25)]
#[case::above_all_routers(5_000.0, 25)]
fn routers_needed_large_before_small(#[case] rate: f64, #[case] named: usize) {
    // Guards against naming a small router beside large ones. It would get as many callers as each
    // of them, several times what its link can carry.
    let mut capacities = vec![200.0, 200.0];
    capacities.extend([48.0; 23]);
    assert_eq!(routers_needed(&capacities, rate), named);
}

#[test]
fn routers_needed_equal_sizes() {
    let of = |rate| routers_needed(&[100.0; 4], rate);
    assert_eq!((of(70.0), of(80.0), of(300.0), of(390.0)), (1, 2, 4, 4));
    assert_eq!(routers_needed(&[], 10.0), 0);
}

/// Guards against routers that name only themselves to callers after a store outage. All 60 routers
/// lose the store for eight seconds, so no row is renewed, and every row looks stale to the first
/// router that reads the table again.
#[test]
fn reads_stale_after_store_outage() {
    let mut reads = TableReads::default();
    let usual = reads.stale_ms(StoreMs(1_000));
    for ms in [1_000, 3_000, 5_000] {
        reads.record_read(StoreMs(ms));
        assert_eq!(reads.stale_ms(StoreMs(ms)), usual);
    }
    reads.record_read(StoreMs(13_400));
    let last_beat = 4_900;
    assert!(reads.stale_ms(StoreMs(13_400)) > 13_400 - last_beat);
    // Routers that have not renewed their row by now are gone.
    for ms in (15_400..25_000).step_by(2_000) {
        reads.record_read(StoreMs(ms));
    }
    assert_eq!(reads.stale_ms(StoreMs(24_000)), usual);
}
