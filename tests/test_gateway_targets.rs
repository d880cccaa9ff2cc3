//! Tests of the targets that a router tracks, without sockets.

use std::rc::Rc;
use std::time::Duration;

use kingcupwall::gateway::backend::target_digest;
use kingcupwall::gateway::backend::{
    Backend, InFlight, PlacementPlan, StartedMs, TargetInfo, TargetState,
};
use kingcupwall::gateway::notice::{Availability, Notice, RetryAfter};
use kingcupwall::gateway::request::PromptPart;
use kingcupwall::gateway::targets::{Change, PlacementRequest, Targets};
use kingcupwall::gateway::timing::PrefillWork;
use kingcupwall::gateway::zone_filter::ZoneFilter;
use rstest::rstest;
use tokio::time::Instant;

const PARTS: [PromptPart; 2] =
    [PromptPart { id: 7, tokens: 5_000 }, PromptPart { id: 8, tokens: 1_000 }];

fn entry(started_at: Option<u64>, state: TargetState) -> TargetInfo {
    TargetInfo {
        id: "t1".into(),
        service: "model".into(),
        addr: "127.0.0.9:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        state,
        warm_up: Duration::ZERO,
        started_at: started_at.map(StartedMs),
        version: "v1".parse().ok(),
    }
}

fn request() -> PlacementRequest<'static> {
    PlacementRequest {
        service: "model",
        zone: "a",
        parts: &PARTS,
        prompt: 6_000,
        engine: true,
        tried: &[],
        zone_filter: ZoneFilter::ALL_ZONES,
        version: None,
    }
}

fn plan() -> PlacementPlan {
    PlacementPlan {
        engine: true,
        prompt: 6_000,
        uncached: 6_000,
        wait_ms: 0.0,
        prefill_ms: 100.0,
        predicted_ms: 100.0,
        cache_tokens: 100_000,
    }
}

fn only(targets: &Targets) -> Rc<Backend> {
    targets.candidates(&request()).candidates.remove(0).0
}

const READY: TargetState = TargetState::Ready;

#[rstest]
#[case::heartbeat(Some(5), Some(5), Change::Same)]
#[case::newer(Some(5), Some(6), Change::Restarted)]
#[case::older_arrives_late(Some(5), Some(4), Change::Outdated)]
#[case::start_time_dropped(Some(5), None, Change::Same)]
#[case::start_time_added(None, Some(5), Change::Same)]
#[case::no_start_time(None, None, Change::Same)]
fn set_start_time(#[case] known: Option<u64>, #[case] next: Option<u64>, #[case] expected: Change) {
    let targets = Targets::default();
    assert_eq!(targets.set(entry(known, READY)), Change::New);
    assert_eq!(targets.set(entry(next, READY)), expected);
}

#[test]
fn set_start_time_remembered() {
    // An entry without a start time in between must not let an outdated entry through.
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    targets.set(entry(None, READY));
    assert_eq!(targets.set(entry(Some(4), READY)), Change::Outdated);
}

#[rstest]
#[case::draining(TargetState::Draining, Change::State)]
#[case::still_ready(TargetState::Ready, Change::Same)]
fn set_state(#[case] state: TargetState, #[case] expected: Change) {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    assert_eq!(targets.set(entry(Some(5), state)), expected);
}

#[test]
fn set_after_lapse_and_removal() {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    targets.lapse("t1");
    assert_eq!(targets.set(entry(Some(5), READY)), Change::State);
    targets.remove("t1");
    assert_eq!(targets.set(entry(Some(5), READY)), Change::New);
}

/// Guards against treating a restarted target as warm. It restarts under the same id and address
/// and its entry never disappears, so requests whose shared part was cached are still sent to it.
/// Each prompt is prefilled again, and its first token is later than predicted.
#[tokio::test(start_paused = true)]
async fn set_restart_resets_load() {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    let before = only(&targets);
    let mut flight = InFlight::begin(&before, &plan(), Instant::now());
    flight.record_sent(&PARTS, Rc::default());
    before.record_failure();
    before.record_failure();
    let seen = targets.candidates(&request()).candidates.remove(0).1;
    assert_eq!((seen.uncached, seen.in_flight_requests, seen.unhealthy), (0, 1, true));
    assert!(seen.wait_ms > 90.0);

    targets.set(entry(Some(6), READY));
    let seen = targets.candidates(&request()).candidates.remove(0).1;
    assert_eq!((seen.uncached, seen.in_flight_requests, seen.unhealthy), (6_000, 0, false));
    assert!(seen.wait_ms == 0.0);
    // Requests of the previous process do not count for the new one.
    drop(flight);
    assert_eq!(targets.candidates(&request()).candidates.remove(0).1.in_flight_requests, 0);
    assert!(!Rc::ptr_eq(&before, &only(&targets)));
}

#[test]
fn set_restart_ends_draining() {
    let targets = Targets::default();
    targets.set(entry(Some(5), TargetState::Draining));
    assert_eq!(targets.set(entry(Some(6), READY)), Change::Restarted);
    assert_eq!(targets.candidates(&request()).candidates.len(), 1);
}

#[test]
fn set_other_address() {
    // An id that moves to another address without a start time is a new process as well.
    let targets = Targets::default();
    targets.set(entry(None, READY));
    let moved = TargetInfo { addr: "127.0.0.9:81".parse().unwrap(), ..entry(None, READY) };
    assert_eq!(targets.set(moved), Change::Restarted);
}

#[test]
fn set_other_version() {
    // Guards against a stream that continues at another version because its target's entry changed:
    // requests in flight keep the version that they began at.
    let targets = Targets::default();
    targets.set(entry(None, READY));
    let began_at = only(&targets).version();
    let changed = TargetInfo { version: "v2".parse().ok(), ..entry(None, READY) };
    let before = only(&targets);
    assert_eq!(targets.set(changed), Change::Restarted);
    assert_eq!(before.version(), began_at);
    assert_ne!(only(&targets).version(), began_at);
}

/// Guards against prefilling a long shared part repeatedly. Parts used by only one request evict it
/// from a target's cache; if routers did not count those, they would assume it is still cached
/// there and send no request to the target that does have it.
#[test]
fn candidates_unshared_parts_evict() {
    const KEPT: u64 = 20_000;
    let targets = Targets::default();
    targets.set(entry(None, READY));
    let digest = target_digest("t1");
    let hint = |parts: &[PromptPart]| {
        let prompt: u64 = parts.iter().map(|p| p.tokens).sum();
        targets.apply_hint(digest, PrefillWork::of(prompt, prompt), parts, |_| KEPT);
    };
    hint(&PARTS);
    let uncached = || targets.candidates(&request()).candidates.remove(0).1.uncached;
    assert_eq!(uncached(), 0);
    for id in 100..113 {
        hint(&[PromptPart { id, tokens: 1_000 }]);
    }
    assert_eq!(uncached(), 0, "all parts still fit");
    hint(&[PromptPart { id: 200, tokens: 5_000 }]);
    assert_eq!(uncached(), 6_000);
}

const LEAVING: Notice = Notice { leaving: true, retry_after: None, rejection_limit: None };

/// Guards against entries that discard a target's own leaving notice, and against a notice of an
/// earlier start that excludes the restarted target.
#[rstest]
#[case::renewed(Some(5), Some(5), false, 0)]
#[case::gone_and_back(Some(5), Some(5), true, 0)]
#[case::start_time_dropped(Some(5), None, true, 0)]
#[case::start_time_added(None, Some(5), true, 0)]
#[case::started_again(Some(5), Some(6), false, 1)]
#[case::gone_and_started_again(Some(5), Some(6), true, 1)]
fn set_keeps_leaving(
    #[case] started_at: Option<u64>,
    #[case] next: Option<u64>,
    #[case] gone: bool,
    #[case] accepting: usize,
) {
    let targets = Targets::default();
    targets.set(entry(started_at, READY));
    only(&targets).self_reported.apply_notice(LEAVING, Instant::now());
    if gone {
        targets.remove("t1");
    }
    targets.set(entry(next, READY));
    assert_eq!(targets.candidates(&request()).candidates.len(), accepting);
    assert_eq!(targets.count(), (1, accepting));
}

/// Guards against losing a leaving notice to an entry from another writer with another address.
#[test]
fn set_keeps_leaving_at_other_address() {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    only(&targets).self_reported.apply_notice(LEAVING, Instant::now());
    let moved = TargetInfo { addr: "127.0.0.9:81".parse().unwrap(), ..entry(Some(5), READY) };
    targets.set(moved);
    targets.set(entry(Some(5), READY));
    assert!(targets.candidates(&request()).candidates.is_empty());
}

#[test]
fn remove_lapsed_keeps_leaving() {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    only(&targets).self_reported.apply_notice(LEAVING, Instant::now());
    targets.lapse("t1");
    assert_eq!(targets.remove_lapsed(), ["t1"]);
    targets.set(entry(Some(5), READY));
    assert!(targets.candidates(&request()).candidates.is_empty());
}

#[tokio::test(start_paused = true)]
async fn availability_backoff() {
    let retry_after_notice = |ms| Notice {
        leaving: false,
        retry_after: Some(RetryAfter::Delay(Duration::from_millis(ms))),
        rejection_limit: None,
    };
    let (availability, start) = (Availability::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let backoff_ms = |ms| availability.backoff_left(at(ms)).map(|d| d.as_millis());
    assert!(availability.apply_notice(retry_after_notice(3_000), start));
    // Neither a shorter delay nor an answer without a delay shortens the backoff.
    assert!(!availability.apply_notice(retry_after_notice(100), at(10)));
    assert!(!availability.apply_notice(retry_after_notice(0), at(20)));
    assert!(!availability.apply_notice(Notice::default(), at(30)));
    assert_eq!((backoff_ms(2_999), backoff_ms(3_000)), (Some(1), None));
    assert!(availability.apply_notice(retry_after_notice(3_000), at(1_000)));
    assert_eq!(backoff_ms(3_500), Some(500));
    assert!(!availability.apply_notice(
        Notice { retry_after: Some(RetryAfter::Unreadable), ..Notice::default() },
        at(9_000)
    ));
    assert_eq!(backoff_ms(9_000), None);
}

/// Guards against losing a target's backoff when its entry disappears and reappears.
#[rstest]
#[case::same_start(Some(5), 0)]
#[case::started_again(Some(6), 1)]
#[tokio::test(start_paused = true)]
async fn set_keeps_backoff(#[case] next: Option<u64>, #[case] accepting: usize) {
    let targets = Targets::default();
    targets.set(entry(Some(5), READY));
    only(&targets).self_reported.back_off(Instant::now(), Duration::from_secs(3));
    targets.remove("t1");
    targets.set(entry(next, READY));
    let count_accepting = |t: &Targets| {
        t.candidates(&request()).candidates.iter().filter(|(_, c)| c.backoff.is_none()).count()
    };
    assert_eq!(
        (count_accepting(&targets), targets.count_backing_off()),
        (accepting, 1 - accepting)
    );
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_eq!(count_accepting(&targets), 1);
}
