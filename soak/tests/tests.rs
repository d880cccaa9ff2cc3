//! The soak itself: its checks find what they are for, and a short run holds.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use kingcupwall::http1::Header;
use kingcupwall::standin::gateway_target::{Arrival, Seen as Ran};
use kingcupwall_soak::callers::{Exchange, RequestKind};
use kingcupwall_soak::checks::check;
use kingcupwall_soak::faults::{FleetSize, random_fault};
use kingcupwall_soak::notices::{Disturbance, Observations, check_backoff, check_leaving};
use kingcupwall_soak::run::{Setup, run};
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time::Instant;

const ROUTER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn exchange(request_kind: RequestKind, status: u16, body: &str) -> Exchange {
    Exchange {
        id: "a".into(),
        request_kind,
        org: 0,
        tokens: (10, 6),
        router: ROUTER,
        sent_at: Instant::now(),
        leaving_at: None,
        status: Some(status),
        seal: Some("t1.a".into()),
        body: body.into(),
        is_complete: true,
    }
}

fn ran(id: &str) -> Ran {
    let headers: Vec<Header> = Vec::new();
    Ran { id: id.into(), target: "/x".into(), headers, body: Vec::new().into(), at: Instant::now() }
}

fn event(n: u64) -> String {
    format!("id: {n}\ndata: token {n}\n\n")
}

#[test]
fn check_holds() {
    let stream: String = (1..=3).map(event).collect();
    let seen = [
        exchange(RequestKind::NonIdempotent, 200, "answer of t1 to a"),
        exchange(RequestKind::Stream, 200, &stream),
        exchange(RequestKind::Idempotent, 503, ""),
    ];
    assert_eq!(check(&seen, &[ran("a")], &[1_000]), Vec::<String>::new());
}

#[test]
fn check_answer_of_another() {
    let mut wrong = exchange(RequestKind::Idempotent, 200, "answer of t1 to b");
    assert_eq!(check(&[wrong.clone()], &[], &[1_000]).len(), 1);
    wrong.body = "answer of t1 to a".into();
    wrong.seal = Some("t1.b".into());
    assert_eq!(check(&[wrong], &[], &[1_000]).len(), 1);
}

#[test]
fn check_stream_gap_and_short() {
    let gap = [event(1), event(3)].concat();
    assert_eq!(check(&[exchange(RequestKind::Stream, 200, &gap)], &[], &[1_000]).len(), 1);
    let short = [event(1), event(2)].concat();
    assert_eq!(check(&[exchange(RequestKind::Stream, 200, &short)], &[], &[1_000]).len(), 1);
    let mut cut = exchange(RequestKind::Stream, 200, &short);
    cut.is_complete = false;
    assert_eq!(check(&[cut], &[], &[1_000]).len(), 0);
}

#[test]
fn check_ran_twice_or_after_refusal() {
    let once = exchange(RequestKind::NonIdempotent, 200, "answer of t1 to a");
    assert_eq!(check(&[once], &[ran("a"), ran("a")], &[1_000]).len(), 1);
    assert_eq!(
        check(&[exchange(RequestKind::NonIdempotent, 503, "")], &[ran("a")], &[1_000]).len(),
        1
    );
}

#[test]
fn check_overspent() {
    let stream: String = (1..=3).map(event).collect();
    let seen = [exchange(RequestKind::Stream, 200, &stream)];
    assert_eq!(check(&seen, &[ran("a")], &[15]), ["organisation 0: used 16 of 15"]);
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

#[rstest]
#[case::soon_after(1.9, None, 0)]
#[case::late(2.1, None, 1)]
#[case::router_started_again(2.1, Some(1.0), 0)]
#[case::router_started_again_before(2.1, Some(-1.0), 1)]
fn check_leaving_counts(
    #[case] sent_s: f64,
    #[case] killed_s: Option<f64>,
    #[case] expected: usize,
) {
    let start = Instant::now() + seconds(10.0);
    let notified =
        Exchange { leaving_at: Some(start), ..exchange(RequestKind::NonIdempotent, 200, "") };
    let sent_at = start + seconds(sent_s);
    let late =
        Exchange { id: "b".into(), sent_at, ..exchange(RequestKind::NonIdempotent, 200, "") };
    let arrival = Arrival { id: "b".into(), at: sent_at, retry_after: None };
    let begin = start.checked_sub(seconds(10.0)).unwrap();
    let killed = |s: f64| begin + seconds(10.0 + s);
    let disturbances: Vec<_> = killed_s
        .map(|s| Disturbance { subject: ROUTER, from: killed(s), to: killed(s) })
        .into_iter()
        .collect();
    let exchanges = [notified, late];
    let seen = Observations { exchanges: &exchanges, routers: &disturbances, links: &[] };
    assert_eq!(check_leaving("t1", &[(&exchanges[1], &arrival)], &seen).len(), expected);
}

#[rstest]
#[case::on_their_way(&[0.0, 0.1, 0.2, 0.4], false, 0)]
#[case::two(&[0.0, 0.6, 2.9], false, 0)]
#[case::three(&[0.0, 0.6, 0.7, 2.9], false, 1)]
#[case::after_it(&[0.0, 3.1, 3.2, 3.3], false, 0)]
#[case::link_harmed(&[0.0, 0.6, 0.7, 2.9], true, 0)]
fn check_rest_counts(#[case] at_s: &[f64], #[case] disturbed: bool, #[case] expected: usize) {
    let start = Instant::now();
    let one = exchange(RequestKind::NonIdempotent, 503, "");
    let arrival = |(i, s): (usize, &f64)| Arrival {
        id: "a".into(),
        at: start + seconds(*s),
        retry_after: (i == 0).then_some("3"),
    };
    let arrivals: Vec<Arrival> = at_s.iter().enumerate().map(arrival).collect();
    let arrivals: Vec<(&Exchange, &Arrival)> = arrivals.iter().map(|a| (&one, a)).collect();
    let at = start + seconds(1.0);
    let links: Vec<_> = disturbed
        .then(|| Disturbance { subject: "t1".into(), from: at, to: at })
        .into_iter()
        .collect();
    let seen = Observations { exchanges: &[], routers: &[], links: &links };
    assert_eq!(check_backoff("t1", &arrivals, &seen).len(), expected);
}

#[test]
fn random_fault_same_seed() {
    let fleet = FleetSize { routers: 4, targets: 4, orgs: 3 };
    let series = |seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..200).map(|_| random_fault(&mut rng, fleet)).collect::<Vec<_>>()
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
