//! Notices in the answers of targets: that they are leaving, and when they accept the next request.

use std::time::Duration;

use futures_util::future::join_all;
use kingcupwall::gateway::cold::{OwnerCandidate, WarmUp};
use kingcupwall::gateway::datagram::Topic;
use kingcupwall::gateway::fingerprint::Fingerprint;
use kingcupwall::gateway::notice::{Notice, RejectionLimit, RetryAfter};
use kingcupwall::gateway::quarantine::{CRASHES_TO_QUARANTINE, Cause, Crash, Incarnation};
use kingcupwall::gateway::warmup::AdmissionMessage;
use kingcupwall::gateway::{Gateway, Platform};
use kingcupwall::http1::ResponseHead;
use kingcupwall::rows::StoreMs;
use kingcupwall::standin::gateway::{LEAVING, LocalPlatform, REJECTION_LIMIT, catalog_parts};
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, Fleet, eventually, run_local};

const DATE: &str = "Sun, 06 Nov 1994 08:49:37 GMT";
const DATE_3_S_LATER: &str = "Sun, 06 Nov 1994 08:49:40 GMT";
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

fn head(status: u16, headers: &[(&str, &str)]) -> ResponseHead {
    let text: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let mut buf = format!("HTTP/1.1 {status} Any\r\n{text}\r\n").as_bytes().into();
    kingcupwall::http1::parse_response(&mut buf).unwrap().unwrap()
}

fn read(status: u16, headers: &[(&str, &str)]) -> Notice {
    Notice::read(LocalPlatform::new().header_names(), &head(status, headers))
}

fn delay(ms: u64) -> Option<RetryAfter> {
    Some(RetryAfter::Delay(Duration::from_millis(ms)))
}

#[rstest]
#[case::success(200, true)]
#[case::failure(500, true)]
#[case::refusal(503, true)]
#[case::of_another_target(421, false)]
fn notice_leaving(#[case] status: u16, #[case] expected: bool) {
    assert_eq!(read(status, &[(LEAVING, "1")]).leaving, expected);
    assert!(!read(status, &[]).leaving);
}

#[rstest]
#[case::seconds(503, "3", delay(3_000))]
#[case::fraction(503, "0.25", delay(250))]
#[case::spaces(503, " 2 ", delay(2_000))]
#[case::none(503, "0", delay(0))]
#[case::too_many_requests(429, "3", None)]
#[case::year(503, "31536000", Some(RetryAfter::Delay(DAY)))]
#[case::beyond_any_clock(503, "1e300", Some(RetryAfter::Delay(DAY)))]
#[case::infinite(503, "inf", Some(RetryAfter::Delay(DAY)))]
#[case::negative(503, "-1", Some(RetryAfter::Unreadable))]
#[case::not_a_number(503, "NaN", Some(RetryAfter::Unreadable))]
#[case::words(503, "soon", Some(RetryAfter::Unreadable))]
#[case::empty(503, "", Some(RetryAfter::Unreadable))]
#[case::date_without_date(503, DATE_3_S_LATER, Some(RetryAfter::Unreadable))]
#[case::of_a_failure(500, "3", None)]
#[case::of_a_success(200, "3", None)]
#[case::of_another_target(421, "3", None)]
fn notice_retry_after(
    #[case] status: u16,
    #[case] value: &str,
    #[case] expected: Option<RetryAfter>,
) {
    assert_eq!(read(status, &[("Retry-After", value)]).retry_after, expected);
}

#[rstest]
#[case::later(DATE_3_S_LATER, DATE, delay(3_000))]
#[case::over(DATE, DATE_3_S_LATER, delay(0))]
#[case::unreadable(DATE_3_S_LATER, "today", Some(RetryAfter::Unreadable))]
fn notice_retry_after_date(
    #[case] until: &str,
    #[case] date: &str,
    #[case] expected: Option<RetryAfter>,
) {
    let headers = [("Retry-After", until), ("Date", date)];
    assert_eq!(read(503, &headers).retry_after, expected);
}

#[rstest]
#[case::success(200, "3", Some(RejectionLimit::PerSecond(3)))]
#[case::failure(500, "1", Some(RejectionLimit::PerSecond(1)))]
#[case::refusal(503, " 30 ", Some(RejectionLimit::PerSecond(30)))]
#[case::none_allowed(200, "0", Some(RejectionLimit::PerSecond(0)))]
#[case::beyond_any_rate(200, "4294967296", Some(RejectionLimit::PerSecond(u32::MAX)))]
#[case::negative(200, "-1", Some(RejectionLimit::Unreadable))]
#[case::fraction(200, "1.5", Some(RejectionLimit::Unreadable))]
#[case::words(200, "few", Some(RejectionLimit::Unreadable))]
#[case::empty(200, "", Some(RejectionLimit::Unreadable))]
#[case::of_another_target(421, "3", None)]
fn notice_rejection_limit(
    #[case] status: u16,
    #[case] value: &str,
    #[case] expected: Option<RejectionLimit>,
) {
    assert_eq!(read(status, &[(REJECTION_LIMIT, value)]).rejection_limit, expected);
    assert_eq!(read(status, &[]).rejection_limit, None);
}

#[test]
fn log_has_notices() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].fail(&[TargetFault::FullRetryAfter("0.1")]);
        Call::get("/once/a").send(fleet.router.front).await;
        sleep(REFUSAL_BACKOFF).await;
        fleet.targets[0].set_leaving(true);
        Call::get("/once/a").id("q2").send(fleet.router.front).await;
        let log = fleet.router.log.take();
        let expected = "event=notice target=t1 id=q1 status=503 leaving=false retry_after=Some(Delay(100ms)) rejection_limit=-";
        assert!(log.contains(expected), "{log}");
        let expected = "event=notice target=t1 id=q2 status=200 leaving=true retry_after=None rejection_limit=-";
        assert!(log.contains(expected), "{log}");
        let page = fleet.router.gw.stats.to_openmetrics();
        assert!(page.contains(r#"kingcupwall_target_notices_total{reason="leaving"} 1"#), "{page}");
    });
}

/// Interval between batches of requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Number of requests sent after a notice, enough to reach every available target.
const FURTHER_REQUESTS: usize = 24;
/// How long a target gets no requests after it refused one without a `Retry-After`.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);

/// A fleet whose only target has sent a notice in its answer to `call`, and which then gets a
/// second target.
async fn start_after_notice(call: Call, faults: &[TargetFault], says_leaving: bool) -> Fleet {
    let mut fleet = Fleet::start(1, 1_000_000).await;
    fleet.fill_retry_budget().await;
    fleet.targets[0].set_leaving(says_leaving);
    fleet.targets[0].fail(faults);
    call.send(fleet.router.front).await;
    let other = StandinTarget::start("t2", "model", "zone-1").await.unwrap();
    fleet.platform.register(&other, "ready");
    fleet.targets.push(other);
    let gw = fleet.router.gw.clone();
    eventually("discovery of the second target", move || gw.targets.count().0 == 2).await;
    fleet
}

async fn send_further_requests(fleet: &Fleet) {
    sleep(REFUSAL_BACKOFF).await;
    for n in 0..FURTHER_REQUESTS {
        let got = Call::get("/once/a").id(&format!("n{n}")).send(fleet.router.front).await;
        assert_eq!(got.header("Seal"), Some(&*format!("t2.n{n}")));
    }
}

/// Guards against requests to a leaving target whose entry in the store still shows it as ready.
#[rstest]
#[case::in_an_answer("/once/q", &[])]
#[case::in_a_stream("/stream/q", &[])]
#[case::in_a_failure("/once/q", &[TargetFault::Fails])]
#[case::in_a_refusal("/once/q", &[TargetFault::Full])]
#[case::in_an_answer_that_breaks_off("/once/q", &[TargetFault::CutsBody])]
fn leaving_target_gets_no_requests(
    #[case] path: &'static str,
    #[case] faults: &'static [TargetFault],
) {
    run_local(async {
        let fleet = start_after_notice(Call::get(path).tokens(10, 10), faults, true).await;
        let before = fleet.targets[0].arrivals().len();
        send_further_requests(&fleet).await;
        assert_eq!(fleet.targets[0].arrivals().len(), before);
    });
}

/// Guards against an outdated entry that overwrites the target's own notice that it is leaving.
#[rstest]
#[case::renewed(false)]
#[case::gone_and_back(true)]
fn leaving_target_gets_no_requests_after_entry(#[case] gone: bool) {
    run_local(async {
        let fleet = start_after_notice(Call::get("/once/q"), &[], true).await;
        let (gw, target) = (fleet.router.gw.clone(), &fleet.targets[0]);
        if gone {
            fleet.platform.rows.remove("targets", "t1");
            let seen = gw.clone();
            eventually("removal of the entry", move || seen.targets.count().0 == 1).await;
        }
        fleet.platform.register_cold(target, "ready", Duration::from_millis(1));
        eventually("reading the renewed entry", move || gw.targets.count().0 == 2).await;
        let before = target.arrivals().len();
        send_further_requests(&fleet).await;
        assert_eq!(target.arrivals().len(), before);
    });
}

/// Guards against callers that wait although all remaining targets are leaving.
#[test]
fn refused_at_once_when_all_targets_leave() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].set_leaving(true);
        Call::get("/once/a").send(fleet.router.front).await;
        let got = Call::get("/once/a").id("q2").send(fleet.router.front).await;
        assert_eq!((got.status(), fleet.targets[0].arrivals().len()), (503, 1));
        assert!(got.header("Retry-After").is_some());
    });
}

/// Guards against requests to a target before the end of the `Retry-After` that it has sent.
#[rstest]
#[case::once(&["0.6"], 0.6)]
#[case::shorter_afterwards(&["0.6", "0.2"], 0.6)]
#[case::none_afterwards(&["0.6", "0"], 0.6)]
fn backed_off_target_gets_no_requests(
    #[case] after: &'static [&'static str],
    #[case] backoff_s: f64,
) {
    run_local(async {
        let faults: Vec<_> = after.iter().map(|s| TargetFault::FullRetryAfter(s)).collect();
        let fleet = Fleet::start(2, 1_000_000).await;
        fleet.fill_retry_budget().await;
        let before = fleet.targets[0].arrivals().len();
        fleet.targets[0].fail(&faults);
        let backoff = Duration::from_secs_f64(backoff_s);
        // Requests of one batch may all be in flight when the first of the refusals arrives.
        let mut sent = 0;
        let arrivals = || {
            let all = fleet.targets[0].arrivals();
            all[before..].iter().map(|a| a.at).collect::<Vec<_>>()
        };
        while arrivals().last().is_none_or(|last| *last < arrivals()[0] + backoff) {
            let send = |n| {
                let call = Call::get("/once/a").id(&format!("r{n}"));
                async move { call.send(fleet.router.front).await.status() }
            };
            let got = join_all((sent..sent + after.len()).map(send)).await;
            assert!(got.iter().all(|status| [200, 503].contains(status)), "{got:?}");
            sent += after.len();
            sleep(REQUEST_INTERVAL).await;
        }
        let first = arrivals()[0];
        let within = arrivals().iter().filter(|at| **at < first + backoff).count();
        assert!(within <= after.len(), "{within} of {sent} within {backoff_s} s");
    });
}

/// Guards against a `Retry-After` that ends before any target accepts requests again.
#[test]
fn refusal_has_retry_after_of_target() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].fail(&[TargetFault::FullRetryAfter("3")]);
        for n in 0..3 {
            let got = Call::get("/once/a").id(&format!("r{n}")).send(fleet.router.front).await;
            let after: f64 = got.header("Retry-After").unwrap().parse().unwrap();
            assert_eq!(got.status(), 503);
            assert!(after > 1.0, "{after}");
        }
        assert_eq!(fleet.targets[0].arrivals().len(), 1);
    });
}

/// Guards against reuse of a connection that the target closes with its refusal.
#[test]
fn connection_not_reused_after_closing_refusal() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].fail(&[TargetFault::FullAndCloses]);
        let got = Call::get("/once/a").send(fleet.router.front).await;
        assert_eq!(got.status(), 503);
        sleep(REFUSAL_BACKOFF).await;
        let got = Call::get("/once/a").id("q2").send(fleet.router.front).await;
        assert_eq!(got.status(), 200);
    });
}

/// Guards against a log line for each answer that repeats a known notice.
#[test]
fn log_has_leaving_notice_once() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].set_leaving(true);
        let calls = ["a", "b", "c"].map(|id| Call::get("/once/a").id(id));
        join_all(calls.iter().map(|c| c.send(fleet.router.front))).await;
        assert_eq!(fleet.router.log.take().matches("event=notice").count(), 1);
    });
}

/// Guards against recording a crash for a request that was running when its target stopped as
/// announced.
#[test]
fn leaving_target_end_is_no_crash() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let target = &fleet.targets[0];
        target.set_event_gap(Duration::from_millis(20));
        target.set_leaving(true);
        let call = Call::get("/stream/a").tokens(10, 20);
        let ends = async {
            sleep(Duration::from_millis(60)).await;
            target.crash();
        };
        let (got, ()) = tokio::join!(call.send(fleet.router.front), ends);
        assert!(!got.is_complete);
        sleep(Duration::from_millis(50)).await;
        assert!(!fleet.router.log.take().contains("event=target_ended"));
    });
}

/// Guards against sending a request to a target that became unavailable after the request had
/// selected it.
#[rstest]
#[case::announces_leaving(Notice { leaving: true, ..Notice::default() })]
#[case::announces_backoff(Notice { retry_after: delay(3_000), ..Notice::default() })]
fn request_not_sent_after_notice(#[case] notice: Notice) {
    assert_not_sent_after(&Call::get("/once/a"), |gw| {
        gw.targets.all()[0].self_reported.apply_notice(notice, Instant::now());
    });
}

/// Guards against a request that crashes another target because its prompt part became known as
/// fatal while it waited.
#[test]
fn request_not_sent_after_quarantine() {
    let call = Call::get("/once/a").with_header("Prompt-Parts: bad:10,1:10").tokens(20, 10);
    assert_not_sent_after(&call, |gw| {
        let now = gw.budget_shares.store_now();
        for n in 0..CRASHES_TO_QUARANTINE as u64 {
            gw.crashes.record_crash(Crash {
                request: Fingerprint::of_part("model", 0xbad),
                target: Incarnation(n),
                began: StoreMs(now.0 + 2 * n),
                at: StoreMs(now.0 + 2 * n + 1),
                cause: Cause::Part(0),
            });
        }
    });
}

/// Sends a request that waits for the admission to a cold target, and does `meanwhile` before it is
/// admitted. It must not reach the target.
fn assert_not_sent_after(call: &Call, meanwhile: impl Fn(&Gateway<LocalPlatform>)) {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let (gw, target) = (&fleet.router.gw, &fleet.targets[0]);
        let mut warming = catalog_parts(2, 1_000);
        let warm_up = WarmUp { cold_duration: Duration::from_secs(60), requests_per_s: 4.0 };
        warming.services[0].warm_up = Some(warm_up);
        fleet.platform.configure(warming);
        fleet.platform.register_cold(target, "ready", warm_up.cold_duration);
        eventually("the warm-up of the target", || {
            gw.targets.count_cold() == 1 && fleet.version() == 2
        })
        .await;
        // Another router owns the target, and the request waits for its admission.
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let addr = other.local_addr().unwrap();
        gw.set_peers(vec![addr.ip()]);
        gw.cold.set_owners(vec![OwnerCandidate {
            instance: "r2".into(),
            zone: "zone-1".into(),
            addr,
            capacity: 1,
        }]);
        let admission = async {
            let mut buf = [0; 256];
            let (n, from) = other.recv_from(&mut buf).await.unwrap();
            let (_, payload) = Topic::parse(&buf[..n]).unwrap();
            let AdmissionMessage::Ask { number, .. } = ciborium::from_reader(payload).unwrap()
            else {
                panic!()
            };
            meanwhile(gw);
            let mut payload = Vec::new();
            let answer = AdmissionMessage::Answer { number, room_in_ms: None };
            ciborium::into_writer(&answer, &mut payload).unwrap();
            other.send_to(&Topic::Cold.frame(&payload), from).await.unwrap();
        };
        let (got, ()) = tokio::join!(call.send(fleet.router.front), admission);
        assert_eq!((got.status(), target.arrivals().len()), (503, 0));
    });
}
