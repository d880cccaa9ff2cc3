//! Tests of the cost of a large configuration for a router with a slow link to the store.

use std::time::Duration;

use futures_util::future::join_all;
use kingcupwall::rows::Fault;
use kingcupwall::standin::gateway::{catalog_parts, route};
use rstest::rstest;
use tokio::time::sleep;

use crate::gateway_fleet::{Call, Fleet, eventually, run_local};

/// Size of a configuration with some thousand routes, in bytes.
const LARGE_CONFIG_BYTES: usize = 800_000;

/// Longer than a confirmation of the configuration is valid.
const CONFIRMATION_EXPIRY: Duration = Duration::from_millis(120);

/// Guards against reading the whole unchanged configuration again (827,824 bytes, 0.9 s at 10
/// Mbit/s) for each request with an unknown route or key. Refusals then took 26 ms with 49 routes,
/// 663 ms with 2,849 and got no answer beyond that; a ready router took none of 7 new connections
/// in 5.5 s.
#[rstest]
#[case::route("/nowhere/a", "key-norte", 404)]
#[case::key("/safe/a", "key-of-nobody", 401)]
fn refusal_unchanged_configuration(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    run_local(async move {
        let fleet = Fleet::start(1, 1_000_000).await;
        fleet.platform.configure_large(catalog_parts(2, 1_000_000), LARGE_CONFIG_BYTES);
        eventually("version 2", || fleet.version() == 2).await;
        let before = fleet.router.platform.rows.bytes_sent();
        for n in 0..6 {
            let got = Call::get(path).key(key).id(&format!("q{n}")).send(fleet.router.front).await;
            assert_eq!(got.status(), status);
            sleep(CONFIRMATION_EXPIRY).await;
        }
        let read = fleet.router.platform.rows.bytes_sent() - before;
        assert!(read < LARGE_CONFIG_BYTES as u64, "read {read} bytes for six refusals");
    });
}

/// Guards against reading a new configuration again while it is arriving. While 1.1 MB occupied a
/// link of 10 Mbit/s for 0.9 s, each request with an unknown route read it once more; no read
/// finished within the call timeout (`event=store state=away cause=no_answer:timeout call=confirm
/// ms=901`), and the link was full for 6.5 s.
#[test]
fn refusal_during_transfer() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000_000).await;
        let rows = &fleet.router.platform.rows;
        let before = rows.bytes_sent();
        rows.set_bytes_per_s(LARGE_CONFIG_BYTES as u64);
        fleet.platform.configure_large(catalog_parts(2, 1_000_000), LARGE_CONFIG_BYTES);
        eventually("transfer", || rows.bytes_sent() > before).await;
        for n in 0..6 {
            let id = format!("q{n}");
            let got = Call::get("/nowhere/a").id(&id).send(fleet.router.front).await;
            assert!([404, 503].contains(&got.status()), "{}", got.status());
            sleep(CONFIRMATION_EXPIRY).await;
        }
        eventually("version 2", || fleet.version() == 2).await;
        let read = rows.bytes_sent() - before;
        assert!(read < 2 * LARGE_CONFIG_BYTES as u64, "read {read} bytes of one new configuration");
    });
}

/// A route that was added a moment ago must not be refused although the router's feed is stalled
/// and has not delivered it yet.
#[test]
fn refusal_confirmed_against_change() {
    run_local(async {
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

/// During an outage of the store, concurrent requests with unknown keys must share one attempt to
/// read the configuration. Otherwise each waits for the previous attempt to fail and then makes its
/// own, so that the tenth is refused after ten timeouts.
#[test]
fn refusal_shares_outcome() {
    run_local(async {
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
        // One attempt that the requests share; the feed of targets may add one per second.
        let asked = rows.feed_requests() - before;
        assert!(asked < 6, "{asked} feeds asked for");
    });
}
