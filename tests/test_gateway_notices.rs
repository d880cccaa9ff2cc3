//! What targets say of themselves in their answers: that they leave, and when they want the next
//! request.

use std::time::Duration;

use kingcupwall::gateway::Platform;
use kingcupwall::gateway::notice::{Notice, RetryAfter};
use kingcupwall::http1::ResponseHead;
use kingcupwall::standin::gateway::{LEAVING, LocalPlatform};
use kingcupwall::standin::gateway_target::TargetFault;
use rstest::rstest;

use crate::gatedir::{Call, Fleet, local};

const DATE: &str = "Sun, 06 Nov 1994 08:49:37 GMT";
const DATE_3_S_LATER: &str = "Sun, 06 Nov 1994 08:49:40 GMT";
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

fn head(status: u16, headers: &[(&str, &str)]) -> ResponseHead {
    let text: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let mut buf = format!("HTTP/1.1 {status} Any\r\n{text}\r\n").as_bytes().into();
    kingcupwall::http1::parse_response(&mut buf).unwrap().unwrap()
}

fn read(status: u16, headers: &[(&str, &str)]) -> Notice {
    Notice::read(LocalPlatform::new().names(), &head(status, headers))
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
#[case::too_many_requests(429, "3", delay(3_000))]
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

#[test]
fn log_tells_what_targets_say() {
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.targets[0].set_says_leaving(true);
        Call::get("/once/a").send(fleet.router.front).await;
        fleet.targets[0].set_says_leaving(false);
        fleet.targets[0].fail(&[TargetFault::FullUntil("3")]);
        Call::get("/once/a").id("q2").send(fleet.router.front).await;
        let log = fleet.router.log.take();
        let said = "event=notice target=t1 id=q1 status=200 leaving=true retry_after=None";
        assert!(log.contains(said), "{log}");
        let said =
            "event=notice target=t1 id=q2 status=503 leaving=false retry_after=Some(Delay(3s))";
        assert!(log.contains(said), "{log}");
        let page = fleet.router.gw.stats.page();
        assert!(page.contains(r#"kingcupwall_target_notices_total{reason="leaving"} 1"#), "{page}");
    });
}
