//! The gateway's decisions, without sockets.

use std::time::Duration;

use kingcupwall::gateway::catalog::{Catalog, RouteKind, Share};
use kingcupwall::gateway::entry::{EntryView, RouterEntry, how_many};
use kingcupwall::gateway::members::Reads;
use kingcupwall::gateway::outcome::{Ended, Final, Made, Next, next};
use kingcupwall::gateway::place::{Candidate, Demand, Placement, Weights, place};
use kingcupwall::gateway::reach::ZoneRegions;
use kingcupwall::gateway::refusal::resting_refusal;
use kingcupwall::gateway::retries::{RetryAllowance, RetryShares};
use kingcupwall::gateway::sse::EventSplitter;
use kingcupwall::rows::StoreMs;
use kingcupwall::standin::gateway::{parts, route};
use proptest::prelude::*;
use rstest::rstest;

const NEW: Made = Made { runs: 1, sends: 1 };

#[rstest]
#[case(RouteKind::NonIdempotent, Ended::NoAnswer, 1, Next::Answer(Final::Unknown))]
#[case(RouteKind::NonIdempotent, Ended::Truncated, 3, Next::Answer(Final::Unknown))]
#[case(RouteKind::Stream, Ended::NoAnswer, 3, Next::Answer(Final::Unknown))]
#[case(RouteKind::NonIdempotent, Ended::Failed, 3, Next::Answer(Final::TargetsOwn))]
#[case(RouteKind::Idempotent, Ended::NoAnswer, 2, Next::Retry(Final::Unknown))]
#[case(RouteKind::Idempotent, Ended::Failed, 2, Next::Retry(Final::TargetsOwn))]
#[case(RouteKind::Idempotent, Ended::Failed, 1, Next::Answer(Final::TargetsOwn))]
#[case(RouteKind::ResumableStream, Ended::Truncated, 2, Next::Retry(Final::Unknown))]
fn next_after_run(
    #[case] kind: RouteKind,
    #[case] ended: Ended,
    #[case] attempts: u32,
    #[case] expected: Next,
) {
    assert_eq!(next(kind, ended, NEW, attempts), expected);
}

#[rstest]
fn next_never_runs_twice(
    #[values(Ended::NoAnswer, Ended::Truncated, Ended::Failed)] ended: Ended,
    #[values(RouteKind::NonIdempotent, RouteKind::Stream)] kind: RouteKind,
    #[values(1, 2, 5)] attempts: u32,
    #[values(1, 2, 4)] sends: u32,
) {
    let next = next(kind, ended, Made { runs: 1, sends }, attempts);
    assert!(matches!(next, Next::Answer(Final::Unknown | Final::TargetsOwn)), "{next:?}");
}

#[rstest]
fn next_not_run_only_if_true(
    #[values(Ended::NotSent, Ended::NotRun, Ended::OtherTarget)] ended: Ended,
    #[values(0, 1, 2)] runs: u32,
    #[values(1, 4)] sends: u32,
) {
    // "Not run" after an earlier send of the same request may have run would be a lie.
    let next = next(RouteKind::Idempotent, ended, Made { runs, sends }, 3);
    let says_not_run = matches!(next, Next::Answer(Final::NotRun) | Next::Retry(Final::NotRun));
    assert!(runs == 0 || !says_not_run, "{next:?}");
}

#[test]
fn route_longest_prefix() {
    let mut p = parts(1, 10);
    p.routes.push(route("/safe/deep/", RouteKind::Stream, 1));
    let catalog = Catalog::build(p);
    let name = |path| catalog.route("SHOP.example", path).map(|r| r.name.to_string());
    assert_eq!(name("/safe/deep/x").as_deref(), Some("safe/deep"));
    assert_eq!(name("/safe/deepx").as_deref(), Some("safe"));
    assert_eq!(name("/safe").as_deref(), None);
    assert!(catalog.route("other.example", "/safe/a").is_none());
}

#[test]
fn route_shares() {
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
        near: true,
        uncached: 1_000,
        wait_ms: 10.0,
        base_ms: 0.0,
        prefill_ms: 50.0,
        running: 0,
        slots: 8,
        rank: 0,
        doubtful: false,
        resting: None,
        tried: false,
        room_in: None,
    }
}

const DEMAND: Demand =
    Demand { aim: Duration::from_millis(300), left: Duration::from_secs(5), engine: true };

fn sent(placement: Placement) -> usize {
    let Placement::Send { index, .. } = placement else { panic!("{placement:?}") };
    index
}

#[test]
fn place_cached_before_idle() {
    // Reading a prompt's shared part again takes time that others wait for.
    let cached = Candidate { wait_ms: 40.0, prefill_ms: 20.0, ..candidate() };
    let idle = Candidate { prefill_ms: 120.0, ..candidate() };
    assert_eq!(sent(place(&[idle, cached], &DEMAND, &Weights::default())), 1);
    // But a long queue outweighs it.
    let queued = Candidate { wait_ms: 400.0, ..cached };
    assert_eq!(sent(place(&[idle, queued], &DEMAND, &Weights::default())), 0);
}

#[test]
fn place_doubtful_last() {
    let doubtful = Candidate { doubtful: true, ..candidate() };
    let slow = Candidate { wait_ms: 200.0, ..candidate() };
    assert_eq!(sent(place(&[doubtful, slow], &DEMAND, &Weights::default())), 1);
    assert_eq!(sent(place(&[doubtful], &DEMAND, &Weights::default())), 0);
    let none = place(&[Candidate { tried: true, ..candidate() }], &DEMAND, &Weights::default());
    assert_eq!(none, Placement::NoTarget);
}

#[test]
fn place_too_late() {
    // Steady load over capacity: every request is admitted, waits behind all others, and is late.
    let busy = Candidate { wait_ms: 900.0, ..candidate() };
    let placement = place(&[busy, busy], &DEMAND, &Weights::default());
    let Placement::Busy { room_in_ms } = placement else { panic!("{placement:?}") };
    assert!((600.0..900.0).contains(&room_in_ms), "{room_in_ms}");
}

/// Guards against callers that are told another time than the first at which a target wants them.
#[rstest]
#[case::all_rest(&[Some(3_000), Some(120)], &[], Some(120))]
#[case::one_that_was_tried(&[Some(3_000)], &[0], Some(3_000))]
#[case::none_rests(&[None], &[0], None)]
fn place_resting(
    #[case] resting_ms: &[Option<u64>],
    #[case] tried: &[usize],
    #[case] wants_in_ms: Option<u64>,
) {
    let one = |(i, ms): (usize, &Option<u64>)| Candidate {
        resting: ms.map(Duration::from_millis),
        tried: tried.contains(&i),
        ..candidate()
    };
    let candidates: Vec<Candidate> = resting_ms.iter().enumerate().map(one).collect();
    let expected = match wants_in_ms {
        Some(ms) => Placement::Resting { wants_in: Duration::from_millis(ms) },
        None => Placement::NoTarget,
    };
    assert_eq!(place(&candidates, &DEMAND, &Weights::default()), expected);
}

/// Guards against callers that come back before a target wants them, or all at once.
#[rstest]
#[case::known(3_000, 3_000, 3_400)]
#[case::at_once(1, 150, 300)]
fn resting_refusal_spread(#[case] wants_in_ms: u64, #[case] from_ms: u128, #[case] to_ms: u128) {
    let after = || {
        let own = resting_refusal(Duration::from_millis(wants_in_ms));
        own.retry_after.unwrap().as_millis()
    };
    fastrand::seed(1);
    let times: Vec<u128> = (0..100).map(|_| after()).collect();
    assert!(times.iter().all(|ms| (from_ms..=to_ms).contains(ms)), "{times:?}");
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!((most - least) * 2 > to_ms - from_ms, "{times:?}");
}

#[test]
fn place_resting_never_chosen() {
    let resting = Candidate { resting: Some(Duration::from_millis(1)), ..candidate() };
    let doubtful = Candidate { doubtful: true, wait_ms: 200.0, ..candidate() };
    assert_eq!(sent(place(&[resting, doubtful], &DEMAND, &Weights::default())), 1);
}

#[test]
fn retries_over_any_window() {
    // A service that fails for all gets little more than its share of repeats, from any number
    // of routers, over any window.
    let allowance = RetryAllowance { ratio: 0.2, slack: 52.0 };
    let routers = 6;
    let mut fleet: Vec<RetryShares> = (0..routers).map(|_| RetryShares::new(allowance)).collect();
    fleet.iter_mut().for_each(|r| r.set_routers(routers));
    let mut allows_repeats = Vec::new();
    for n in 0..6_000_usize {
        let router = &mut fleet[n % routers as usize];
        router.earn("api");
        // Quiet at first, then everything fails.
        allows_repeats.push(u32::from(n > 2_000 && router.take("api")));
    }
    for window in allows_repeats.windows(400) {
        let sum: u32 = window.iter().sum();
        assert!(f64::from(sum) <= 0.2 * 400.0 + 52.0, "{sum}");
    }
    assert!(allows_repeats.iter().sum::<u32>() > 600);
}

#[test]
fn entry_answer_as_few_as_carry() {
    let router = |n: u8, zone: &str, rate, leaving| RouterEntry {
        front: format!("127.0.0.{n}:80").parse().unwrap(),
        zone: zone.into(),
        leaving,
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
    // A leaving one is never named, and a zone without any is served by all others.
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

#[test]
fn entry_answer_largest_first() {
    let router = |n: u8, rate, capacity| RouterEntry {
        front: format!("127.0.0.{n}:80").parse().unwrap(),
        zone: "a".into(),
        leaving: false,
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
    // Twice what the large one states is little for it; 40 each would be much for the small ones.
    assert_eq!(answer(40), ["127.0.0.10"]);
    // More than it carries: the small ones as well, in the order of their addresses.
    let mut all = vec!["127.0.0.10".to_owned()];
    all.extend((1..=9).map(|n| format!("127.0.0.{n}")));
    assert_eq!(answer(50), all);
}

#[test]
fn reads_unnamed_soon_after_end() {
    // Guards against callers that are sent to routers which ended in a cut, seconds after it.
    const LIMIT: Duration = Duration::from_millis(3_500);
    let mut reads = Reads::default();
    for ms in [1_000, 3_000, 5_000, 13_400] {
        reads.note(StoreMs(ms));
    }
    // Living routers could not renew their rows: they are named until they have had the time.
    assert!(reads.unnamed_ms(StoreMs(13_400), LIMIT) > 13_400 - 4_900);
    assert!(reads.unnamed_ms(StoreMs(15_400), LIMIT) > 15_400 - 4_900);
    reads.note(StoreMs(15_400));
    reads.note(StoreMs(17_400));
    assert_eq!(reads.unnamed_ms(StoreMs(16_000), LIMIT), 3_500);
    assert!(reads.stale_ms(StoreMs(16_000)) > 6_500);
}

#[rstest]
#[case::calm(157.0, 2)]
#[case::nobody(0.0, 1)]
#[case::one_organisation_sends_many_times_its_usual(450.0, 2)]
#[case::twice_what_is_stated(800.0, 2)]
#[case::more_than_the_large_ones_carry(900.0, 25)]
#[case::more_than_all_carry(5_000.0, 25)]
fn how_many_large_before_small(#[case] rate: f64, #[case] named: usize) {
    // Guards against a small router that is named beside large ones and gets as much as each of
    // them, several times what its link carries.
    let mut capacities = vec![200.0, 200.0];
    capacities.extend([48.0; 23]);
    assert_eq!(how_many(&capacities, rate), named);
}

#[test]
fn how_many_alike() {
    let of = |rate| how_many(&[100.0; 4], rate);
    assert_eq!((of(70.0), of(80.0), of(300.0), of(390.0)), (1, 2, 4, 4));
    assert_eq!(how_many(&[], 10.0), 0);
}

/// All routers are cut from the store for eight seconds. Their rows are older than that when the
/// first of them reads the table again, because none could be renewed. A router that took the
/// others for gone would name only itself to callers, and each of sixty routers would do so.
#[test]
fn reads_stale_after_cut_of_all() {
    let mut reads = Reads::default();
    let usual = reads.stale_ms(StoreMs(1_000));
    for ms in [1_000, 3_000, 5_000] {
        reads.note(StoreMs(ms));
        assert_eq!(reads.stale_ms(StoreMs(ms)), usual);
    }
    reads.note(StoreMs(13_400));
    let last_beat = 4_900;
    assert!(reads.stale_ms(StoreMs(13_400)) > 13_400 - last_beat);
    // Whoever has not written by then is gone.
    for ms in (15_400..25_000).step_by(2_000) {
        reads.note(StoreMs(ms));
    }
    assert_eq!(reads.stale_ms(StoreMs(24_000)), usual);
}
