//! Connections to targets on which a request was not written whole, or was answered early.

use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use rstest::rstest;

use crate::gateway_fleet::{Call, Fleet, run_local};

/// Bytes that a target's connection buffers.
const WINDOW: u32 = 4_096;
/// Length of a body that does not fit into the buffers of a connection.
const LONG_BODY: usize = 512 * 1024;

/// A fleet of one target that buffers little of what it has not read.
async fn fleet_with_small_window() -> Fleet {
    let platform = LocalPlatform::new();
    platform.configure(catalog_parts(1, 1_000));
    let target = StandinTarget::start_with_window("t1", "model", "zone-1", WINDOW).await.unwrap();
    platform.register(&target, "ready");
    let router = GatewayHost::start(&platform, "r1", "zone-1", 1).await.unwrap();
    Fleet { platform, targets: vec![target], router }
}

/// Guards against a request that is sent into the unfinished body of another one, where the target
/// may run what the body contains for another organisation.
#[rstest]
#[case::rejected(TargetFault::RejectsEarly, 503)]
#[case::answered(TargetFault::AnswersEarly, 200)]
fn connection_not_reused_within_body(#[case] fault: TargetFault, #[case] status: u16) {
    run_local(async move {
        let fleet = fleet_with_small_window().await;
        let target = &fleet.targets[0];
        let (first, second) = ("1".repeat(LONG_BODY), "2".repeat(LONG_BODY));
        target.fail(&[fault]);
        let got = Call::get("/once/a").id("first").body(&first).send(fleet.router.front).await;
        assert_eq!(got.status(), status);
        target.read_on();
        let call = Call::get("/once/a").id("second").body(&second);
        let mut got = call.send(fleet.router.front).await;
        // A target that has rejected a request is left alone for a moment.
        while got.status() == 503 {
            got = call.send(fleet.router.front).await;
        }
        assert_eq!((got.status(), got.body.as_str()), (200, "answer of t1 to second"));
        assert_eq!(target.runs()[0].body, second);
        assert!(target.late_bodies().iter().all(|body| *body == first));
    });
}

/// Guards against a request of which only a part is sent, because an answer to an earlier request
/// arrives meanwhile.
#[test]
fn forward_stray_answer_within_body() {
    run_local(async {
        let fleet = fleet_with_small_window().await;
        let target = &fleet.targets[0];
        let body = "1".repeat(LONG_BODY);
        target.fail(&[TargetFault::StrayAnswerBeforeBody]);
        let got = Call::get("/once/a").body(&body).send(fleet.router.front).await;
        assert_eq!((got.status(), got.body.as_str()), (200, "answer of t1 to q1"));
        assert_eq!(target.runs()[0].body, body);
    });
}
