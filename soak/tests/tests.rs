//! The soak itself: its checks find what they are for, and a short run holds.

use std::path::PathBuf;
use std::time::Duration;

use kingcupwall::http1::Header;
use kingcupwall::standin::gateway_target::Seen;
use kingcupwall_soak::callers::{Asked, Exchange};
use kingcupwall_soak::checks::check;
use kingcupwall_soak::faults::{Parts, next};
use kingcupwall_soak::run::{Setup, run};
use tokio::task::LocalSet;
use tokio::time::Instant;

fn exchange(asked: Asked, status: u16, body: &str) -> Exchange {
    Exchange {
        id: "a".into(),
        asked,
        org: 0,
        tokens: (10, 6),
        status: Some(status),
        seal: Some("t1.a".into()),
        body: body.into(),
        whole: true,
    }
}

fn ran(id: &str) -> Seen {
    let headers: Vec<Header> = Vec::new();
    Seen {
        id: id.into(),
        target: "/x".into(),
        headers,
        body: Vec::new().into(),
        at: Instant::now(),
    }
}

fn event(n: u64) -> String {
    format!("id: {n}\ndata: token {n}\n\n")
}

#[test]
fn check_holds() {
    let stream: String = (1..=3).map(event).collect();
    let seen = [
        exchange(Asked::Once, 200, "answer of t1 to a"),
        exchange(Asked::Stream, 200, &stream),
        exchange(Asked::Safe, 503, ""),
    ];
    assert_eq!(check(&seen, &[ran("a")], &[1_000]), Vec::<String>::new());
}

#[test]
fn check_answer_of_another() {
    let mut wrong = exchange(Asked::Safe, 200, "answer of t1 to b");
    assert_eq!(check(&[wrong.clone()], &[], &[1_000]).len(), 1);
    wrong.body = "answer of t1 to a".into();
    wrong.seal = Some("t1.b".into());
    assert_eq!(check(&[wrong], &[], &[1_000]).len(), 1);
}

#[test]
fn check_stream_gap_and_short() {
    let gap = [event(1), event(3)].concat();
    assert_eq!(check(&[exchange(Asked::Stream, 200, &gap)], &[], &[1_000]).len(), 1);
    let short = [event(1), event(2)].concat();
    assert_eq!(check(&[exchange(Asked::Stream, 200, &short)], &[], &[1_000]).len(), 1);
    let mut cut = exchange(Asked::Stream, 200, &short);
    cut.whole = false;
    assert_eq!(check(&[cut], &[], &[1_000]).len(), 0);
}

#[test]
fn check_ran_twice_or_after_refusal() {
    let once = exchange(Asked::Once, 200, "answer of t1 to a");
    assert_eq!(check(&[once], &[ran("a"), ran("a")], &[1_000]).len(), 1);
    assert_eq!(check(&[exchange(Asked::Once, 503, "")], &[ran("a")], &[1_000]).len(), 1);
}

#[test]
fn check_overspent() {
    let stream: String = (1..=3).map(event).collect();
    let seen = [exchange(Asked::Stream, 200, &stream)];
    assert_eq!(check(&seen, &[ran("a")], &[15]), ["organisation 0: used 16 of 15"]);
}

#[test]
fn next_same_seed_same_faults() {
    let parts = Parts { routers: 4, targets: 4, orgs: 3 };
    let series = |seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..200).map(|_| next(&mut rng, parts)).collect::<Vec<_>>()
    };
    assert_eq!(series(7), series(7));
    assert_ne!(series(7), series(8));
}

#[test]
fn run_short() {
    let setup = Setup {
        seed: 1,
        faults_for: Duration::from_secs(4),
        routers: 3,
        callers: 6,
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_kingcupwall-soak"))
            .with_file_name("kingcupwall-platform"),
    };
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let report = LocalSet::new().block_on(&rt, run(&setup)).unwrap();
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.counts.0 > 0, "{report}");
}
