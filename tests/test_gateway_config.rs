//! What a large configuration costs a router with a narrow link.

use std::time::Duration;

use futures_util::future::join_all;
use kingcupwall::rows::Fault;
use kingcupwall::standin::gateway::{catalog_parts, route};
use rstest::rstest;
use tokio::time::sleep;

use crate::gatedir::{Call, Fleet, eventually, local};

/// A configuration with some thousand routes, in bytes.
const LARGE: usize = 800_000;

/// A pause after which an earlier reading of the configuration no longer counts as fresh.
const NO_LONGER_FRESH: Duration = Duration::from_millis(120);

/// A router that says it is ready takes none of 7 new connections in 5.5 s, and callers give up.
/// Each request for a route or with a key that it does not know made it read the whole
/// configuration again, changed or not. Its log showed `event=store_read cause=confirm
/// bytes=827824` at a link of 10 Mbit/s, which such a reading fills for 0.9 s; refusals took
/// 26 ms with 49 routes, 663 ms with 2,849, and beyond that had no answer.
#[rstest]
#[case::route("/nowhere/a", "key-norte", 404)]
#[case::key("/safe/a", "key-of-nobody", 401)]
fn refusal_unchanged_configuration(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    local(async move {
        let fleet = Fleet::start(1, 1_000_000).await;
        fleet.platform.configure_large(catalog_parts(2, 1_000_000), LARGE);
        eventually("version 2", || fleet.version() == 2).await;
        let before = fleet.router.platform.rows.bytes_sent();
        for n in 0..6 {
            let got = Call::get(path).key(key).id(&format!("q{n}")).send(fleet.router.front).await;
            assert_eq!(got.status(), status);
            sleep(NO_LONGER_FRESH).await;
        }
        let read = fleet.router.platform.rows.bytes_sent() - before;
        assert!(read < LARGE as u64, "read {read} bytes for six refusals");
    });
}

/// A new configuration of 1.1 MB takes a router's link of 10 Mbit/s for 0.9 s. Requests for routes
/// unknown so far came meanwhile, and each asked for the same configuration once more: none of
/// the readings was over within the time that a call may take, `event=store state=away
/// cause=no_answer:timeout call=confirm ms=901` alternated with `state=answers`, and the link was
/// full for 6.5 s.
#[test]
fn refusal_during_transfer() {
    local(async {
        let fleet = Fleet::start(1, 1_000_000).await;
        let rows = &fleet.router.platform.rows;
        let before = rows.bytes_sent();
        rows.set_bytes_per_s(LARGE as u64);
        fleet.platform.configure_large(catalog_parts(2, 1_000_000), LARGE);
        eventually("transfer", || rows.bytes_sent() > before).await;
        for n in 0..6 {
            let id = format!("q{n}");
            let got = Call::get("/nowhere/a").id(&id).send(fleet.router.front).await;
            assert!([404, 503].contains(&got.status()), "{}", got.status());
            sleep(NO_LONGER_FRESH).await;
        }
        eventually("version 2", || fleet.version() == 2).await;
        let read = rows.bytes_sent() - before;
        assert!(read < 2 * LARGE as u64, "read {read} bytes of one new configuration");
    });
}

/// A route or key that was added a moment ago is not refused, though the router has not heard of it
/// by itself yet: its feed is held up.
#[test]
fn refusal_confirmed_against_change() {
    local(async {
        let fleet = Fleet::start(1, 1_000_000).await;
        fleet.router.stop_config_feed();
        let mut next = catalog_parts(2, 1_000_000);
        next.routes.push(route("/added/", kingcupwall::gateway::RouteKind::Idempotent, 1));
        fleet.platform.configure(next);
        let got = Call::get("/added/a").send(fleet.router.front).await;
        assert_eq!(got.status(), 200);
        let got = Call::get("/added/b").id("q2").send(fleet.router.front).await;
        assert_eq!(got.status(), 200);
    });
}

/// During an outage of the store callers with keys that are unknown here are refused one after
/// another, the tenth of them after ten timeouts. Each waited for the attempt before it to fail and
/// then made one of its own.
#[test]
fn refusal_shares_outcome() {
    local(async {
        let fleet = Fleet::start(1, 1_000_000).await;
        fleet.router.stop_config_feed();
        let rows = &fleet.router.platform.rows;
        rows.set_fault(Fault::Silent);
        let before = rows.feed_requests();
        let front = fleet.router.front;
        let calls = (0..10).map(|n| async move {
            Call::get("/safe/a").key("key-new").id(&format!("q{n}")).send(front).await.status()
        });
        let statuses = join_all(calls).await;
        assert_eq!(statuses, [503; 10]);
        // One that the others wait for; the feed of targets may ask once a second besides.
        let asked = rows.feed_requests() - before;
        assert!(asked < 6, "{asked} feeds asked for");
    });
}
