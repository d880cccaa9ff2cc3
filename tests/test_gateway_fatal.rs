//! Requests that end each target which runs them.

use std::time::Duration;

use kingcupwall::standin::gateway::{LocalPlatform, StandinTarget, parts};
use kingcupwall::standin::gateway_host::GatewayHost;

use crate::gatedir::{Call, Got, eventually, local};

/// Targets that a request may end before it counts as the cause, and sends of it after that.
const ENDED_AT_MOST: usize = 3 + 3;

/// Two routers before more targets than one request may end.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start() -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(parts(1, 1_000_000));
        let mut targets = Vec::new();
        for n in 0..2 * ENDED_AT_MOST {
            let target = StandinTarget::start(&format!("t{n}"), "model", "zone-1").await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let mut fleet = Fleet { platform, targets, routers: Vec::new() };
        fleet.start_routers(1).await;
        fleet
    }

    async fn start_routers(&mut self, incarnation: u64) {
        for name in ["r1", "r2"] {
            let host = GatewayHost::start(&self.platform, name, "zone-1", incarnation);
            self.routers.push(host.await.unwrap());
        }
        let all = self.targets.len();
        for r in &self.routers {
            eventually("all targets are known", || r.gw.targets.count().0 == all).await;
            eventually("the other router is known", || !r.gw.peers.borrow().is_empty()).await;
        }
    }

    fn ended(&self) -> usize {
        self.targets.iter().filter(|t| t.has_ended()).count()
    }

    /// One more attempt of the same request, at the router whose turn it is.
    async fn send_fatal(&self, n: usize) -> Got {
        let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
        let got = call.send(self.routers[n % self.routers.len()].front).await;
        // Callers come back later than datagrams between routers take.
        tokio::time::sleep(Duration::from_millis(20)).await;
        got
    }
}

#[test]
fn fatal_request_comes_again() {
    // All streams of a target break off at once, again and again, until the service is empty.
    // A request ends the process of the target that runs it; its caller sends it again under a
    // new id, to any router. Limits on retries hold for one id and for a service, and failures
    // are remembered of targets only, so each attempt begins at nought with a healthy target.
    local(async {
        let fleet = Fleet::start().await;
        let mut last = None;
        for n in 0..2 * ENDED_AT_MOST {
            last = Some(fleet.send_fatal(n).await);
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
        let last = last.unwrap();
        assert_eq!(last.status(), 503);
        assert!(last.header("Retry-After").is_some());
        for router in &fleet.routers {
            let got = Call::get("/safe/a").body("other").send(router.front).await;
            assert_eq!(got.status(), 200);
        }
    });
}

#[test]
fn fatal_request_after_death_of_all() {
    // The same, and in between all routers lose power: their successors know of no request that
    // ended a target, and hand it to the targets that are left.
    local(async {
        let mut fleet = Fleet::start().await;
        for n in 0..ENDED_AT_MOST {
            fleet.send_fatal(n).await;
        }
        // Longer than a router takes to renew its row.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        fleet.routers.drain(..).for_each(GatewayHost::kill);
        fleet.start_routers(2).await;
        for n in 0..ENDED_AT_MOST {
            fleet.send_fatal(n).await;
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
    });
}
