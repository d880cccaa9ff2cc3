//! Which requests count as the cause of targets' ends, without sockets.

use kingcupwall::experiment::quarantine::{Sharing, Trouble, run};
use kingcupwall::gateway::fingerprint::Fingerprint;
use kingcupwall::gateway::quarantine::{
    CRASH_RETENTION_MS, CRASHES_TO_QUARANTINE, Completion, Crash, CrashReport, Incarnation,
    QUARANTINE_MS, Quarantine, Source,
};
use kingcupwall::http1::RequestHead;
use kingcupwall::rows::StoreMs;
use proptest::prelude::*;
use rstest::rstest;

const CAUSE: Fingerprint = Fingerprint(7);
const INNOCENT: Fingerprint = Fingerprint(8);

fn crash(request: Fingerprint, target: u64, began: u64, at: u64) -> Crash {
    let (began, at) = (StoreMs(began), StoreMs(at));
    Crash { request, target: Incarnation(target), began, at }
}

/// A request that has ended `n` targets, one after the other.
fn ended_in_turn(request: Fingerprint, n: usize) -> Quarantine {
    let mut q = Quarantine::default();
    for t in 0..n as u64 {
        assert!(q.record_crash(crash(request, t, 100 * t, 100 * t + 90), Source::Own));
    }
    q
}

fn note_all(q: &mut Quarantine, crashes: impl Iterator<Item = Crash>, source: Source) {
    for crash in crashes {
        q.record_crash(crash, source);
    }
}

fn is_held_back(q: &Quarantine, request: Fingerprint, now: u64) -> bool {
    q.quarantined_until(request, StoreMs(now)).is_some()
}

#[test]
fn held_back_after_targets_in_turn() {
    assert!(!is_held_back(&ended_in_turn(CAUSE, CRASHES_TO_QUARANTINE - 1), CAUSE, 1_000));
    let q = ended_in_turn(CAUSE, CRASHES_TO_QUARANTINE);
    assert_eq!(q.quarantined_until(CAUSE, StoreMs(1_000)), Some(StoreMs(290 + QUARANTINE_MS)));
    assert!(!is_held_back(&q, INNOCENT, 1_000));
}

#[test]
fn held_back_when_copies_run_at_once() {
    // Several callers send the same request at the same moment: their copies end as many targets
    // together, and the next one shows that it is not an accident.
    let mut q = Quarantine::default();
    note_all(&mut q, (0..4).map(|t| crash(CAUSE, t, 0, 90 + t)), Source::Other);
    assert!(!is_held_back(&q, CAUSE, 1_000));
    q.record_crash(crash(CAUSE, 4, 500, 590), Source::Own);
    assert!(is_held_back(&q, CAUSE, 1_000));
}

#[test]
fn rack_fails_under_request_sent_by_many() {
    // A request that is sent alike all the time is refused for an hour after a rack has failed.
    // Ten targets end in the same moment, and each of them has a copy of it.
    let mut q = Quarantine::default();
    note_all(&mut q, (0..10).map(|t| crash(INNOCENT, t, 10 * t, 500 + t)), Source::Other);
    assert!(!is_held_back(&q, INNOCENT, 1_000));
    assert!(q.record_completion(Completion { request: INNOCENT, at: StoreMs(700) }, Source::Own));
    // Another one fails later.
    note_all(&mut q, (20..22).map(|t| crash(INNOCENT, t, 900, 1_000 + t)), Source::Other);
    assert!(!is_held_back(&q, INNOCENT, 2_000));
}

#[test]
fn ended_well_clears() {
    let mut q = ended_in_turn(INNOCENT, CRASHES_TO_QUARANTINE - 1);
    let completed = Completion { request: INNOCENT, at: StoreMs(300) };
    assert!(q.record_completion(completed, Source::Other));
    // The rows of those who saw the crashes still name them.
    note_all(&mut q, (0..2).map(|t| crash(INNOCENT, t, 100 * t, 100 * t + 90)), Source::Other);
    q.record_crash(crash(INNOCENT, 5, 400, 450), Source::Own);
    assert_eq!(q.crash_count(INNOCENT), 1);
    assert!(!q.record_completion(Completion { request: CAUSE, at: StoreMs(300) }, Source::Own));
}

#[test]
fn note_two_observers_of_one_crash() {
    let mut q = Quarantine::default();
    assert!(q.record_crash(crash(CAUSE, 1, 0, 90), Source::Other));
    assert!(!q.record_crash(crash(CAUSE, 1, 20, 95), Source::Own));
    assert_eq!(q.crash_count(CAUSE), 1);
    // What this router saw as well it reports, although another one was first.
    assert_eq!(q.report(StoreMs(100)).crashes.len(), 1);
}

#[rstest]
#[case(1, CRASH_RETENTION_MS)]
#[case(CRASHES_TO_QUARANTINE, QUARANTINE_MS)]
fn expire_after(#[case] crashes: usize, #[case] ms: u64) {
    let mut q = ended_in_turn(CAUSE, crashes);
    let last = 100 * (crashes as u64 - 1) + 90;
    q.expire(StoreMs(last + ms - 1));
    assert_eq!(q.crash_count(CAUSE), crashes);
    q.expire(StoreMs(last + ms));
    assert!(q.is_empty());
    assert!(!is_held_back(&q, CAUSE, last + ms));
}

#[test]
fn take_report_of_predecessor() {
    let before = ended_in_turn(CAUSE, CRASHES_TO_QUARANTINE);
    let mut after = Quarantine::default();
    after.merge_report(&before.report(StoreMs(1_000)), Source::Own);
    assert!(is_held_back(&after, CAUSE, 1_000));
    assert_eq!(after.report(StoreMs(1_000)), before.report(StoreMs(1_000)));
    let mut other = Quarantine::default();
    other.merge_report(&before.report(StoreMs(1_000)), Source::Other);
    assert!(is_held_back(&other, CAUSE, 1_000));
    assert_eq!(other.report(StoreMs(1_000)), CrashReport::default());
}

#[test]
fn report_is_bounded_and_names_the_cause() {
    // A zone fails with hundreds of requests in flight, beside a request that has ended targets.
    let mut q = ended_in_turn(CAUSE, CRASHES_TO_QUARANTINE);
    for n in 100..5_000 {
        q.record_crash(crash(Fingerprint(n), n, 10_000, 20_000), Source::Own);
    }
    let report = q.report(StoreMs(21_000));
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).unwrap();
    assert!(bytes.len() < 600, "{} bytes", bytes.len());
    let named = report.crashes.iter().filter(|c| c.request == CAUSE).count();
    assert_eq!(named, CRASHES_TO_QUARANTINE);
    assert!(is_held_back(&q, CAUSE, 30_000));
    // A while later only what several targets ended under is left: hundreds of routers read it.
    let later = q.report(StoreMs(40_000));
    assert_eq!(later.crashes.len(), CRASHES_TO_QUARANTINE);
}

#[test]
fn report_names_the_cause_among_many() {
    // The first target ends with twenty streams and the cause, which had just been sent there.
    // The report has no room for all of them; by rows alone the others never hear of the cause.
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

/// A service whose targets end by themselves, in waves, beside one request that ends each.
#[derive(Debug)]
struct Wave {
    /// When, and which part of the targets, out of 8.
    at: u64,
    share: u64,
}

/// Plays a minute: `innocents` requests that come again until they end well, and the cause.
/// Returns the most targets that ended under an innocent one without a good end in between, and
/// whether an innocent one and the cause were held back.
fn play(seed: u64, waves: &[Wave], with_cause: bool) -> (usize, bool, bool) {
    const TARGETS: u64 = 18;
    const RUN_MS: u64 = 400;
    const CAUSE_RUN_MS: u64 = 60;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut q = Quarantine::default();
    let mut incarnations: Vec<u64> = (0..TARGETS).collect();
    let mut next_incarnation = TARGETS;
    // Each request: where it runs, since when, and until when.
    let mut running: Vec<(Fingerprint, usize, u64, u64)> = Vec::new();
    let (mut most, mut innocent_held, mut cause_held) = (0, false, false);
    for now in (0..60_000).step_by(20) {
        for n in 0..40 {
            let request = Fingerprint(1_000 + n);
            if !running.iter().any(|r| r.0 == request) && rng.u8(..4) == 0 {
                if is_held_back(&q, request, now) {
                    innocent_held = true;
                    continue;
                }
                running.push((request, rng.usize(..TARGETS as usize), now, now + RUN_MS));
            }
        }
        if with_cause && now > 5_000 && rng.u8(..10) == 0 {
            match is_held_back(&q, CAUSE, now) {
                true => cause_held = true,
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
                most = most.max(q.crash_count(*request));
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
    (most, innocent_held, cause_held)
}

#[rstest]
fn innocent_beside_the_cause(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    // Requests that run beside the cause break off with it each time, and come again with it.
    let (most, innocent_held, cause_held) = play(seed, &[], true);
    assert!(cause_held);
    assert!(!innocent_held, "{most} targets ended under an innocent request");
}

#[rstest]
#[case("RowsAndDatagrams/Cause/6")]
#[case("RowsAndDatagrams/CauseWithoutStore/6")]
#[case("RowsAndDatagrams/Waves/6")]
fn fleet_holds_back_the_cause_alone(#[case] cell: &str, #[values(1, 2, 3)] seed: u64) {
    // One router in six learns of each end by itself; the cause comes to any of them.
    run(seed, cell, |c| {
        assert_eq!(c.sharing, Sharing::RowsAndDatagrams);
        assert_eq!(c.others_held_back, 0);
        assert!(c.ended <= 2 * CRASHES_TO_QUARANTINE as u64, "{c:?}");
        assert!(c.trouble == Trouble::Waves || c.ended >= CRASHES_TO_QUARANTINE as u64, "{c:?}");
    });
}

proptest! {
    #[test]
    fn innocent_in_waves(seed: u64, times in prop::collection::vec((0_u64..60_000, 1_u64..4), 0..4)) {
        // Targets end for reasons of their own while callers come back at once.
        let waves: Vec<Wave> = times.into_iter().map(|(at, share)| Wave { at, share }).collect();
        let (most, innocent_held, _) = play(seed, &waves, false);
        prop_assert!(!innocent_held, "{most} targets ended under an innocent request");
    }

    #[test]
    fn report_any_bytes(bytes: Vec<u8>) {
        // Whatever another process writes into a row or a datagram, it is read or turned away.
        if let Ok(report) = ciborium::from_reader::<CrashReport, _>(bytes.as_slice()) {
            Quarantine::default().merge_report(&report, Source::Other);
        }
    }
}
