//! Quarantine decisions, tested without sockets, and fingerprints of requests.

use kingcupwall::experiment::quarantine::{Scenario, Sharing, run};
use kingcupwall::gateway::crashes::MAX_EVENTS_PER_DATAGRAM;
use kingcupwall::gateway::datagram::Topic;
use kingcupwall::gateway::fingerprint::Fingerprint;
use kingcupwall::gateway::quarantine::{
    CRASH_RETENTION_MS, CRASHES_TO_QUARANTINE, Cause, Completion, Crash, CrashReport, Incarnation,
    PART_QUARANTINE_MS, QUARANTINE_MS, Quarantine, Source,
};
use kingcupwall::http1::RequestHead;
use kingcupwall::rows::StoreMs;
use proptest::prelude::*;
use rstest::rstest;

const CAUSE: Fingerprint = Fingerprint(7);
const UNRELATED: Fingerprint = Fingerprint(8);

fn crash(request: Fingerprint, target: u64, began: u64, at: u64) -> Crash {
    let (began, at) = (StoreMs(began), StoreMs(at));
    Crash { request, target: Incarnation(target), began, at, cause: Cause::Request }
}

/// A request that has crashed `n` targets, one after the other.
fn crash_sequentially(request: Fingerprint, n: usize) -> Quarantine {
    let mut q = Quarantine::default();
    for t in 0..n as u64 {
        assert!(q.record_crash(crash(request, t, 100 * t, 100 * t + 90), Source::Own));
    }
    q
}

fn record_all(q: &mut Quarantine, crashes: impl Iterator<Item = Crash>, source: Source) {
    for crash in crashes {
        q.record_crash(crash, source);
    }
}

fn is_quarantined(q: &Quarantine, request: Fingerprint, now: u64) -> bool {
    q.quarantined_until(request, StoreMs(now)).is_some()
}

#[test]
fn quarantine_after_sequential_crashes() {
    assert!(!is_quarantined(&crash_sequentially(CAUSE, CRASHES_TO_QUARANTINE - 1), CAUSE, 1_000));
    let q = crash_sequentially(CAUSE, CRASHES_TO_QUARANTINE);
    assert_eq!(q.quarantined_until(CAUSE, StoreMs(1_000)), Some(StoreMs(290 + QUARANTINE_MS)));
    assert!(!is_quarantined(&q, UNRELATED, 1_000));
}

#[test]
fn quarantine_of_concurrent_copies() {
    // Several callers send the same request at the same time. Its copies crash as many targets at
    // once, and one further crash shows that this was no coincidence.
    let mut q = Quarantine::default();
    record_all(&mut q, (0..4).map(|t| crash(CAUSE, t, 0, 90 + t)), Source::Other);
    assert!(!is_quarantined(&q, CAUSE, 1_000));
    q.record_crash(crash(CAUSE, 4, 500, 590), Source::Own);
    assert!(is_quarantined(&q, CAUSE, 1_000));
}

/// Crashes of a stream and of the cause, which ran on the same targets each time: the stream's as
/// observed by the router of its caller, and the third of the cause as reported by another one.
fn crash_with_companion() -> Quarantine {
    let mut q = Quarantine::default();
    let of_cause = [(2, 2_005, 2_016), (10, 2_016, 2_027), (1, 2_049, 2_060)];
    let of_companion = [(2, 2_015, 2_016), (10, 2_016, 2_027), (1, 2_044, 2_060)];
    let record = |q: &mut Quarantine, request, (target, began, at), source| {
        q.record_crash(crash(request, target, began, at), source);
    };
    of_companion.into_iter().for_each(|c| record(&mut q, UNRELATED, c, Source::Own));
    of_cause[..2].iter().for_each(|c| record(&mut q, CAUSE, *c, Source::Own));
    // The other router's report has not arrived yet.
    assert_eq!(q.retry_at(UNRELATED, StoreMs(2_061)), Some(StoreMs(5_060)));
    record(&mut q, CAUSE, of_cause[2], Source::Other);
    q
}

#[test]
fn no_quarantine_of_companion() {
    // Guards against refusing a request for an hour that ran on the same three targets as the
    // cause. The next crash shows which of the two it was.
    let mut q = crash_with_companion();
    assert!(!is_quarantined(&q, UNRELATED, 2_070));
    q.record_crash(crash(CAUSE, 4, 2_080, 2_091), Source::Own);
    assert!(!is_quarantined(&q, UNRELATED, 2_100));
    assert!(is_quarantined(&q, CAUSE, 2_100));
    assert_eq!(q.quarantined_count(), 1);
}

#[test]
fn quarantine_of_inseparable_requests() {
    // Guards against two requests that are always sent together and crash all targets, because
    // each might be the cause of the other's crashes.
    let mut q = crash_with_companion();
    for n in 0..2 {
        assert_eq!(q.quarantined_count(), 0);
        for request in [CAUSE, UNRELATED] {
            q.record_crash(crash(request, 20 + n, 3_000 + 50 * n, 3_040 + 50 * n), Source::Own);
        }
    }
    assert_eq!(q.quarantined_count(), 2);
}

#[test]
fn retry_at_after_reports_arrive() {
    // Guards against sending a caller away for an hour on the evidence of one router: the report
    // that shows another request to be the cause may be on its way.
    let q = crash_sequentially(CAUSE, CRASHES_TO_QUARANTINE);
    assert_eq!(q.retry_at(CAUSE, StoreMs(300)), Some(StoreMs(290 + 3_000)));
    assert_eq!(q.retry_at(CAUSE, StoreMs(290 + 3_000)), Some(StoreMs(290 + QUARANTINE_MS)));
    assert_eq!(q.retry_at(UNRELATED, StoreMs(300)), None);
}

#[test]
fn no_quarantine_after_rack_failure() {
    // Guards against refusing a frequent request for an hour after a rack failure: ten targets end
    // at the same moment, each while running a copy of it.
    let mut q = Quarantine::default();
    record_all(&mut q, (0..10).map(|t| crash(UNRELATED, t, 10 * t, 500 + t)), Source::Other);
    assert!(!is_quarantined(&q, UNRELATED, 1_000));
    assert!(q.record_completion(Completion { request: UNRELATED, at: StoreMs(700) }, Source::Own));
    // Other targets fail later.
    record_all(&mut q, (20..22).map(|t| crash(UNRELATED, t, 900, 1_000 + t)), Source::Other);
    assert!(!is_quarantined(&q, UNRELATED, 2_000));
}

#[test]
fn completion_clears_crashes() {
    let mut q = crash_sequentially(UNRELATED, CRASHES_TO_QUARANTINE - 1);
    let completed = Completion { request: UNRELATED, at: StoreMs(300) };
    assert!(q.record_completion(completed, Source::Other));
    // The rows of the routers that observed the crashes still contain them.
    record_all(&mut q, (0..2).map(|t| crash(UNRELATED, t, 100 * t, 100 * t + 90)), Source::Other);
    q.record_crash(crash(UNRELATED, 5, 400, 450), Source::Own);
    assert_eq!(q.crash_count(UNRELATED), 1);
    assert!(!q.record_completion(Completion { request: CAUSE, at: StoreMs(300) }, Source::Own));
}

#[test]
fn record_crash_two_observers() {
    let mut q = Quarantine::default();
    assert!(q.record_crash(crash(CAUSE, 1, 0, 90), Source::Other));
    assert!(!q.record_crash(crash(CAUSE, 1, 20, 95), Source::Own));
    assert_eq!(q.crash_count(CAUSE), 1);
    // This router reports a crash that it observed itself, even if another one was first.
    assert_eq!(q.report(StoreMs(100)).crashes.len(), 1);
}

#[rstest]
#[case(1, CRASH_RETENTION_MS)]
#[case(CRASHES_TO_QUARANTINE, QUARANTINE_MS)]
fn expire_after_retention(#[case] crashes: usize, #[case] ms: u64) {
    let mut q = crash_sequentially(CAUSE, crashes);
    let last = 100 * (crashes as u64 - 1) + 90;
    q.expire(StoreMs(last + ms - 1));
    assert_eq!(q.crash_count(CAUSE), crashes);
    q.expire(StoreMs(last + ms));
    assert!(q.is_empty());
    assert!(!is_quarantined(&q, CAUSE, last + ms));
}

#[test]
fn merge_report_of_predecessor() {
    let before = crash_sequentially(CAUSE, CRASHES_TO_QUARANTINE);
    let mut after = Quarantine::default();
    after.merge_report(&before.report(StoreMs(1_000)), Source::Own);
    assert!(is_quarantined(&after, CAUSE, 1_000));
    assert_eq!(after.report(StoreMs(1_000)), before.report(StoreMs(1_000)));
    let mut other = Quarantine::default();
    other.merge_report(&before.report(StoreMs(1_000)), Source::Other);
    assert!(is_quarantined(&other, CAUSE, 1_000));
    assert_eq!(other.report(StoreMs(1_000)), CrashReport::default());
}

#[test]
fn report_is_bounded_and_has_cause() {
    // A zone fails with hundreds of requests in flight, after a request has crashed some targets.
    let mut q = crash_sequentially(CAUSE, CRASHES_TO_QUARANTINE);
    for n in 100..5_000 {
        q.record_crash(crash(Fingerprint(n), n, 10_000, 20_000), Source::Own);
    }
    let report = q.report(StoreMs(21_000));
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).unwrap();
    assert!(bytes.len() < 600, "{} bytes", bytes.len());
    let named = report.crashes.iter().filter(|c| c.request == CAUSE).count();
    assert_eq!(named, CRASHES_TO_QUARANTINE);
    assert!(is_quarantined(&q, CAUSE, 30_000));
    // Later only requests with several crashes are reported, because hundreds of routers read them.
    let later = q.report(StoreMs(40_000));
    assert_eq!(later.crashes.len(), CRASHES_TO_QUARANTINE);
}

#[test]
fn report_has_cause_among_many() {
    // Guards against a report that omits the cause: the first target crashes with twenty streams
    // and the cause, which was sent to it just before. The report has no room for all of them, and
    // routers that rely on rows would never learn of the cause.
    let mut q = Quarantine::default();
    for n in 100..120 {
        q.record_crash(crash(Fingerprint(n), 1, 20 * n, 5_000), Source::Own);
    }
    q.record_crash(crash(CAUSE, 1, 4_900, 5_000), Source::Own);
    assert!(q.report(StoreMs(5_100)).crashes.iter().any(|c| c.request == CAUSE));
}

#[test]
fn fingerprint_differs() {
    let head = |method: &str, host: &str, target: &str| {
        let text = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: 1\r\n\r\n");
        kingcupwall::http1::parse_request(&mut text.as_bytes().into()).unwrap().unwrap()
    };
    let of = |org: &str, head: &RequestHead, body: &str| {
        Fingerprint::of(Some(org), head, body.as_bytes())
    };
    let plain = head("POST", "a.example", "/x");
    let same = of("norte", &plain, "body");
    assert_eq!(same, of("norte", &head("POST", "a.example:80", "/x"), "body"));
    let others = [
        of("sur", &plain, "body"),
        of("norte", &plain, "body2"),
        of("norte", &head("GET", "a.example", "/x"), "body"),
        of("norte", &head("POST", "b.example", "/x"), "body"),
        of("norte", &head("POST", "a.example", "/x?a=1"), "body"),
        Fingerprint::of(None, &plain, b"body"),
    ];
    others.iter().for_each(|o| assert_ne!(*o, same));
}

/// A simultaneous failure of targets, independent of requests.
#[derive(Debug)]
struct Wave {
    /// Time of the failure, in milliseconds.
    at: u64,
    /// Affected share of the targets, in eighths.
    share: u64,
}

/// Simulates a minute with requests that are retried until they complete and, optionally, a request
/// that crashes every target. Returns the most crashes recorded for an unrelated request without a
/// completion in between, and whether an unrelated request and the cause were quarantined.
fn simulate(seed: u64, waves: &[Wave], with_cause: bool) -> (usize, bool, bool) {
    const TARGETS: u64 = 18;
    const RUN_MS: u64 = 400;
    const CAUSE_RUN_MS: u64 = 60;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut q = Quarantine::default();
    let mut incarnations: Vec<u64> = (0..TARGETS).collect();
    let mut next_incarnation = TARGETS;
    // Request, target, start and end of each run.
    let mut running: Vec<(Fingerprint, usize, u64, u64)> = Vec::new();
    let (mut max_crashes, mut unrelated_quarantined, mut cause_quarantined) = (0, false, false);
    for now in (0..60_000).step_by(20) {
        for n in 0..40 {
            let request = Fingerprint(1_000 + n);
            if !running.iter().any(|r| r.0 == request) && rng.u8(..4) == 0 {
                if is_quarantined(&q, request, now) {
                    unrelated_quarantined = true;
                    continue;
                }
                running.push((request, rng.usize(..TARGETS as usize), now, now + RUN_MS));
            }
        }
        if with_cause && now > 5_000 && rng.u8(..10) == 0 {
            match is_quarantined(&q, CAUSE, now) {
                true => cause_quarantined = true,
                false => {
                    let target = rng.usize(..TARGETS as usize);
                    running.push((CAUSE, target, now, now + CAUSE_RUN_MS));
                }
            }
        }
        let mut ending: Vec<usize> = Vec::new();
        for wave in waves.iter().filter(|w| (now..now + 20).contains(&w.at)) {
            ending.extend((0..TARGETS as usize).filter(|_| rng.u64(..8) < wave.share));
        }
        let over = running.iter().filter(|r| r.3 <= now);
        ending.extend(over.filter(|r| r.0 == CAUSE).map(|r| r.1));
        for (request, target, began, _) in running.iter().filter(|r| ending.contains(&r.1)) {
            q.record_crash(crash(*request, incarnations[*target], *began, now), Source::Own);
            if *request != CAUSE {
                max_crashes = max_crashes.max(q.crash_count(*request));
            }
        }
        running.retain(|r| !ending.contains(&r.1));
        for target in ending {
            incarnations[target] = next_incarnation;
            next_incarnation += 1;
        }
        for (request, ..) in running.iter().filter(|r| r.3 <= now) {
            q.record_completion(Completion { request: *request, at: StoreMs(now) }, Source::Own);
        }
        running.retain(|r| r.3 > now);
    }
    (max_crashes, unrelated_quarantined, cause_quarantined)
}

#[rstest]
fn quarantine_only_the_cause(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    // Requests that run on the same target as the cause break off together with it and are retried
    // together with it.
    let (max_crashes, unrelated_quarantined, cause_quarantined) = simulate(seed, &[], true);
    assert!(cause_quarantined);
    assert!(
        !unrelated_quarantined,
        "{max_crashes} targets ended while running an unrelated request"
    );
}

#[rstest]
#[case("RowsAndDatagrams/Cause/6")]
#[case("RowsAndDatagrams/CauseWithoutStore/6")]
#[case("RowsAndDatagrams/Waves/6")]
fn fleet_quarantines_only_the_cause(#[case] cell: &str, #[values(1, 2, 3)] seed: u64) {
    // Only one router in six observes each crash itself, and the cause may reach any of them.
    run(seed, cell, |c| {
        assert_eq!(c.sharing, Sharing::RowsAndDatagrams);
        assert_eq!(c.others_held_back, 0);
        assert!(c.ended <= 2 * CRASHES_TO_QUARANTINE as u64, "{c:?}");
        assert!(c.trouble == Scenario::Waves || c.ended >= CRASHES_TO_QUARANTINE as u64, "{c:?}");
    });
}

proptest! {
    #[test]
    fn no_quarantine_after_failure_waves(seed: u64, times in prop::collection::vec((0_u64..60_000, 1_u64..4), 0..4)) {
        // Targets fail independently of requests while callers retry immediately.
        let waves: Vec<Wave> = times.into_iter().map(|(at, share)| Wave { at, share }).collect();
        let (max_crashes, unrelated_quarantined, _) = simulate(seed, &waves, false);
        prop_assert!(!unrelated_quarantined, "{max_crashes} targets ended while running an unrelated request");
    }

    #[test]
    fn quarantine_only_the_cause_any_seed(seed: u64) {
        // Requests on the same target as the cause break off together with it, and by chance some
        // run on the same targets as the cause three times in a row.
        let (max_crashes, unrelated_quarantined, cause_quarantined) = simulate(seed, &[], true);
        prop_assert!(cause_quarantined);
        prop_assert!(!unrelated_quarantined, "{max_crashes} targets ended while running an unrelated request");
    }

    #[test]
    fn merge_report_any_bytes(bytes: Vec<u8>) {
        // Arbitrary content of a row or a datagram must be rejected or merged without a panic.
        if let Ok(report) = ciborium::from_reader::<CrashReport, _>(bytes.as_slice()) {
            Quarantine::default().merge_report(&report, Source::Other);
        }
    }
}

/// The parts of a prompt: one that many requests share, one behind it, and a part behind both.
const SHARED: (Fingerprint, Cause) = (Fingerprint(21), Cause::Part(0));
const SPECIFIC: (Fingerprint, Cause) = (Fingerprint(22), Cause::Part(1));
const OTHER_SPECIFIC: (Fingerprint, Cause) = (Fingerprint(23), Cause::Part(1));

/// Crashes of targets that ran requests with these parts, one after the other from `first` on.
fn crash_with_parts(q: &mut Quarantine, first: u64, n: u64, parts: &[(Fingerprint, Cause)]) {
    for t in first..first + n {
        let different = (Fingerprint(1_000 + t), Cause::Request);
        for (f, cause) in parts.iter().copied().chain([different]) {
            q.record_crash(Crash { cause, ..crash(f, t, 100 * t, 100 * t + 90) }, Source::Own);
        }
    }
}

fn quarantined_parts(q: &Quarantine) -> [bool; 3] {
    [SHARED, SPECIFIC, OTHER_SPECIFIC].map(|(f, _)| is_quarantined(q, f, 1_000))
}

/// Guards against sound requests that are refused because they share another part with those that
/// crash targets.
#[rstest]
#[case::three_crashes(3)]
#[case::many_crashes(9)]
fn quarantine_most_specific_part(#[case] crashes: u64) {
    let mut q = Quarantine::default();
    crash_with_parts(&mut q, 0, crashes, &[SHARED, SPECIFIC]);
    assert_eq!(quarantined_parts(&q), [false, true, false]);
}

#[test]
fn quarantine_part_of_different_requests() {
    let mut q = Quarantine::default();
    crash_with_parts(&mut q, 0, 2, &[SHARED, SPECIFIC]);
    crash_with_parts(&mut q, 2, 2, &[SHARED, OTHER_SPECIFIC]);
    assert_eq!(quarantined_parts(&q), [true, false, false]);
}

/// Guards against a sound part that stays quarantined because the first requests with the fatal one
/// happened to contain it as well.
#[test]
fn quarantine_ends_once_another_part_explains_more() {
    let mut q = Quarantine::default();
    crash_with_parts(&mut q, 0, 3, &[SHARED, SPECIFIC]);
    crash_with_parts(&mut q, 3, 1, &[SHARED, OTHER_SPECIFIC]);
    assert_eq!(quarantined_parts(&q), [true, false, false]);
}

#[test]
fn quarantine_no_part_that_was_answered() {
    let mut q = Quarantine::default();
    crash_with_parts(&mut q, 0, 2, &[SHARED]);
    q.record_completion(Completion { request: SHARED.0, at: StoreMs(195) }, Source::Other);
    crash_with_parts(&mut q, 2, 2, &[SHARED]);
    assert_eq!(quarantined_parts(&q), [false, false, false]);
}

#[test]
fn quarantine_of_part_ends() {
    let mut q = Quarantine::default();
    crash_with_parts(&mut q, 0, 3, &[SPECIFIC]);
    let until = StoreMs(290 + PART_QUARANTINE_MS);
    assert_eq!(q.quarantined_until(SPECIFIC.0, StoreMs(1_000)), Some(until));
    q.expire(until);
    assert!(q.is_empty());
}

/// Guards against crashes of a part in many requests on one target that do not count as sequential.
#[test]
fn record_crash_of_part_keeps_latest_begin() {
    let mut q = Quarantine::default();
    for t in 0..3 {
        let of_part = |began| {
            let (f, cause) = SPECIFIC;
            Crash { cause, ..crash(f, t, began, 100 * t + 90) }
        };
        q.record_crash(of_part(0), Source::Own);
        q.record_crash(of_part(100 * t), Source::Other);
    }
    assert!(is_quarantined(&q, SPECIFIC.0, 1_000));
}

/// Reports of routers that do not know of parts.
#[test]
fn decode_crash_without_cause() {
    #[derive(serde::Serialize)]
    struct EarlierCrash {
        r: u64,
        t: u64,
        b: u64,
        a: u64,
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&EarlierCrash { r: 7, t: 1, b: 2, a: 3 }, &mut bytes).unwrap();
    let read: Crash = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, crash(CAUSE, 1, 2, 3));
}

#[test]
fn of_part_by_service() {
    assert_eq!(Fingerprint::of_part("a", 1), Fingerprint::of_part("a", 1));
    assert_ne!(Fingerprint::of_part("a", 1), Fingerprint::of_part("b", 1));
    assert_ne!(Fingerprint::of_part("a", 1), Fingerprint::of_part("a", 2));
}

/// Guards against reports that do not fit into a packet, which is lost as a whole.
#[test]
fn report_of_parts_fits_packet() {
    let f = |n: u64| Fingerprint(u64::MAX - n);
    let at = StoreMs(1_000_000_000_000);
    let crash_of_part = |n| Crash {
        request: f(n),
        target: Incarnation(u64::MAX),
        began: at,
        at,
        cause: Cause::Part(15),
    };
    let events = MAX_EVENTS_PER_DATAGRAM as u64;
    let report = CrashReport {
        crashes: (0..events).map(crash_of_part).collect(),
        ended_well: (0..events).map(|n| Completion { request: f(n), at }).collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).unwrap();
    let datagram = Topic::Crashes.frame(&bytes);
    assert!(datagram.len() <= 1_472, "{} bytes", datagram.len());
}
