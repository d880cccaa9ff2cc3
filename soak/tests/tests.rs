//! Tests of the soak itself: its checks report violations and only those, and a short run passes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use kingcupwall::http1::Header;
use kingcupwall::standin::gateway_target::{Arrival, ReceivedRequest as TargetRun};
use kingcupwall_soak::callers::{Exchange, RequestKind, Resumed};
use kingcupwall_soak::checks::check;
use kingcupwall_soak::cuts::{self, ALLOWED_FAILURES, Cut};
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
        resumes: None,
    }
}

fn run_of(id: &str) -> TargetRun {
    let headers: Vec<Header> = Vec::new();
    TargetRun {
        id: id.into(),
        target: "/x".into(),
        headers,
        body: Vec::new().into(),
        at: Instant::now(),
    }
}

fn event(n: u64) -> String {
    event_of(n, "v1")
}

fn event_of(n: u64, version: &str) -> String {
    format!("id: {n}\ndata: token {n} of {version}\n\n")
}

// A stream that another software version continued, in one response or in a second attempt.
#[test]
fn check_reports_streams_of_several_versions() {
    let one = exchange(RequestKind::ResumableStream, 200, &(event(1) + &event_of(2, "v2")));
    assert_eq!(check(&[Exchange { is_complete: false, ..one }], &[], &[1_000]).len(), 1);
    let first = exchange(RequestKind::ResumableStream, 200, &event(1));
    let first = Exchange { is_complete: false, ..first };
    let resumed = |version| Exchange {
        id: "b".into(),
        seal: Some("t1.b".into()),
        resumes: Some(Resumed { root: "a".into(), events: 1 }),
        ..exchange(
            RequestKind::ResumableStream,
            200,
            &(event_of(2, version) + &event_of(3, version)),
        )
    };
    assert_eq!(check(&[first.clone(), resumed("v1")], &[], &[1_000]), Vec::<String>::new());
    assert_eq!(check(&[first, resumed("v2")], &[], &[1_000]).len(), 1);
}

// Guards against false alarms: valid responses, complete streams and refusals of requests that did
// not run are no violations.
#[test]
fn check_accepts_valid_exchanges() {
    let stream: String = (1..=3).map(event).collect();
    let exchanges = [
        exchange(RequestKind::NonIdempotent, 200, "answer of t1 to a"),
        exchange(RequestKind::Stream, 200, &stream),
        exchange(RequestKind::Idempotent, 503, ""),
    ];
    assert_eq!(check(&exchanges, &[run_of("a")], &[1_000]), Vec::<String>::new());
}

// A router that mixes up connections returns the response to another request, which shows in the
// body or in the seal.
#[test]
fn check_reports_response_to_another_request() {
    let mut wrong = exchange(RequestKind::Idempotent, 200, "answer of t1 to b");
    assert_eq!(check(&[wrong.clone()], &[], &[1_000]).len(), 1);
    wrong.body = "answer of t1 to a".into();
    wrong.seal = Some("t1.b".into());
    assert_eq!(check(&[wrong], &[], &[1_000]).len(), 1);
}

// A resumed stream may skip events, and a router may end a truncated stream as if it were complete.
// A stream whose connection visibly breaks off is no violation.
#[test]
fn check_reports_stream_gap_and_truncation() {
    let gap = [event(1), event(3)].concat();
    assert_eq!(check(&[exchange(RequestKind::Stream, 200, &gap)], &[], &[1_000]).len(), 1);
    let short = [event(1), event(2)].concat();
    assert_eq!(check(&[exchange(RequestKind::Stream, 200, &short)], &[], &[1_000]).len(), 1);
    let mut cut = exchange(RequestKind::Stream, 200, &short);
    cut.is_complete = false;
    assert_eq!(check(&[cut], &[], &[1_000]).len(), 0);
}

// A retry of a request that may run once can run it twice, and a refusal can be returned for a
// request that a target has run.
#[test]
fn check_reports_second_run_and_run_after_refusal() {
    let once = exchange(RequestKind::NonIdempotent, 200, "answer of t1 to a");
    assert_eq!(check(&[once], &[run_of("a"), run_of("a")], &[1_000]).len(), 1);
    assert_eq!(
        check(&[exchange(RequestKind::NonIdempotent, 503, "")], &[run_of("a")], &[1_000]).len(),
        1
    );
}

// Routers that grant more than an organisation has prepaid let it use more tokens.
#[test]
fn check_reports_overspending() {
    let stream: String = (1..=3).map(event).collect();
    let exchanges = [exchange(RequestKind::Stream, 200, &stream)];
    assert_eq!(check(&exchanges, &[run_of("a")], &[15]), ["organisation 0: used 16 of 15"]);
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

// A router that ignores a leaving announcement sends later requests to that target. Requests within
// the 2 s grace period, or through a router that lost the notice in a restart, are no violation.
#[rstest]
#[case::within_grace(1.9, None, 0)]
#[case::after_grace(2.1, None, 1)]
#[case::restart_after_notice(2.1, Some(1.0), 0)]
#[case::restart_before_notice(2.1, Some(-1.0), 1)]
fn check_leaving_cases(
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
    let observed = Observations { exchanges: &exchanges, routers: &disturbances, links: &[] };
    assert_eq!(check_leaving("t1", &[(&exchanges[1], &arrival)], &observed).len(), expected);
}

// A router that ignores `Retry-After` keeps sending requests to the target. Two requests after the
// first 0.5 s, or any number while the link is disturbed, are no violation.
#[rstest]
#[case::within_grace(&[0.0, 0.1, 0.2, 0.4], false, 0)]
#[case::two_in_backoff(&[0.0, 0.6, 2.9], false, 0)]
#[case::three_in_backoff(&[0.0, 0.6, 0.7, 2.9], false, 1)]
#[case::after_backoff(&[0.0, 3.1, 3.2, 3.3], false, 0)]
#[case::link_disturbed(&[0.0, 0.6, 0.7, 2.9], true, 0)]
fn check_backoff_cases(#[case] at_s: &[f64], #[case] disturbed: bool, #[case] expected: usize) {
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
    let observed = Observations { exchanges: &[], routers: &[], links: &links };
    assert_eq!(check_backoff("t1", &arrivals, &observed).len(), expected);
}

// A router that reaches no target refuses its callers while another one serves. A few failures, the
// first 3 s, and routers that were disturbed otherwise are no violation.
#[rstest]
#[case::refused(3.5, 0, 40, false, 1)]
#[case::within_detection_time(2.5, 0, 40, false, 0)]
#[case::few_failures(3.5, 0, 10, false, 0)]
#[case::two_thirds_served(3.5, 30, 14, false, 0)]
#[case::killed_meanwhile(3.5, 0, 40, true, 0)]
fn check_cuts_cases(
    #[case] sent_s: f64,
    #[case] served: usize,
    #[case] refused: usize,
    #[case] killed: bool,
    #[case] expected: usize,
) {
    let (from, other) = (Instant::now(), SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2));
    let sent = |router, status| Exchange {
        router,
        sent_at: from + seconds(sent_s),
        ..exchange(RequestKind::NonIdempotent, status, "")
    };
    let at_cut = (0..served + refused).map(|n| sent(ROUTER, if n < served { 200 } else { 503 }));
    let all: Vec<_> = at_cut.chain((0..20).map(|_| sent(other, 200))).collect();
    let cut = Cut { routers: vec![ROUTER], from, to: from + seconds(4.5) };
    let mut disturbances = vec![Disturbance { subject: ROUTER, from, to: cut.to }];
    if killed {
        let at = from + seconds(1.0);
        disturbances.push(Disturbance { subject: ROUTER, from: at, to: at });
    }
    let all: Vec<&Exchange> = all.iter().collect();
    assert_eq!(cuts::check(&all, &[cut], &disturbances, ALLOWED_FAILURES).len(), expected);
}

// A seed can only reproduce a failure if it always gives the same faults.
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

// Guards the fleet and the soak together: a short run with faults must serve requests and report no
// violation.
#[test]
fn run_short_without_violations() {
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
