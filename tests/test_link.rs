//! Tests of frames and links between routers, and of the membership view.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use kingcupwall::error::Kind;
use kingcupwall::ids::{Millis, Revision};
use kingcupwall::membership::frame::{Hello, Side, Signer, decode};
use kingcupwall::membership::link::{LinkCounts, LinkPool, PeerHandler, Secrets, listen};
use kingcupwall::membership::view::{MAX_GOSSIP_ENTRIES, RouterInfo, View};
use kingcupwall::membership::wire::{PeerClient, PeerReply, PeerRequest};
use proptest::prelude::*;
use rstest::rstest;

use crate::workdir::name;

fn hello(n: u8) -> Hello {
    Hello { version: 1, nonce: [n; 16] }
}

fn pair() -> (Signer, Signer) {
    let signer = || Signer::new("secret", &hello(1), &hello(2), Side::Initiator);
    (signer(), signer())
}

#[test]
fn verify_frame_replayed() {
    // Guards against tokens that are returned twice because a recorded frame is replayed.
    let (mut a, mut b) = pair();
    let frame = a.sign_frame(&PeerRequest::Revisions(Revision(1)));
    assert!(b.verify_frame::<PeerRequest>(&frame).is_ok());
    assert_eq!(b.verify_frame::<PeerRequest>(&frame).unwrap_err().kind, Kind::Unauthorized);
}

#[test]
fn verify_frame_altered() {
    let (mut a, mut b) = pair();
    let mut frame = a.sign_frame(&PeerRequest::Revisions(Revision(1)));
    *frame.last_mut().unwrap() ^= 1;
    assert_eq!(b.verify_frame::<PeerRequest>(&frame).unwrap_err().kind, Kind::Unauthorized);
    assert_eq!(b.verify_frame::<PeerRequest>(&[1, 2, 3]).unwrap_err().kind, Kind::BadFormat);
}

#[test]
fn verify_frame_reflected() {
    let mut caller = Signer::new("secret", &hello(1), &hello(2), Side::Initiator);
    let mut listener = Signer::new("secret", &hello(1), &hello(2), Side::Responder);
    let frame = caller.sign_frame(&PeerReply::Done);
    assert!(listener.verify_frame::<PeerReply>(&frame).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn decode_any_bytes(data in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<PeerRequest>(&data);
        let _ = decode::<PeerReply>(&data);
        let _ = decode::<Hello>(&data);
    }
}

#[derive(Clone)]
struct DoneHandler;

impl PeerHandler for DoneHandler {
    async fn handle_request(&self, _: PeerRequest) -> PeerReply {
        PeerReply::Done
    }
}

fn secrets(all: &[&str]) -> Secrets {
    Arc::new(Mutex::new(all.iter().map(|s| CompactString::from(*s)).collect()))
}

fn entry(n: u64, beat: u64) -> RouterInfo {
    RouterInfo {
        incarnation: name(&format!("r{n}@1")),
        zone: name("a"),
        api: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        beat,
        leaving: false,
        revision: Revision(1),
        load: 0,
    }
}

#[rstest]
#[case::same(&["one"], &["one"], true)]
#[case::rotated_listener_first(&["old"], &["new", "old"], true)]
#[case::rotated_caller_first(&["new", "old"], &["old", "new"], true)]
#[case::stranger(&["guess"], &["one"], false)]
#[tokio::test]
async fn rpc_with_secrets(#[case] mine: &[&str], #[case] theirs: &[&str], #[case] accepted: bool) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let counts: Arc<LinkCounts> = Arc::default();
    let task = listen(listener, secrets(theirs), counts.clone(), DoneHandler).unwrap();
    let pool = LinkPool::new(secrets(mine), Arc::default());
    let to = RouterInfo { peer: addr.to_string().into(), ..entry(1, 1) };
    let reply = pool.rpc(&to, PeerRequest::Beat(Vec::new())).await;
    assert_eq!(reply.is_ok(), accepted);
    assert_eq!(counts.unauthorized.load(Ordering::Relaxed), u64::from(!accepted));
    task.abort();
}

#[test]
fn merge_late_heartbeat() {
    // Guards against a dead router that is named to callers again because its last heartbeat
    // arrives late or twice.
    let mut view = View::new(entry(0, 0), Millis(1_000));
    view.merge(Millis(10_000), vec![entry(1, 5)]);
    assert!(view.is_router_alive(Millis(10_500), &name("r1@1")));
    view.merge(Millis(11_500), vec![entry(1, 5), entry(1, 4)]);
    assert!(!view.is_router_alive(Millis(11_500), &name("r1@1")));
    view.merge(Millis(11_600), vec![entry(1, 6)]);
    assert!(view.is_router_alive(Millis(11_600), &name("r1@1")));
}

#[test]
fn next_heartbeat_bounded() {
    let mut view = View::new(entry(0, 0), Millis(1_000));
    view.merge(Millis(10_000), (1..500).map(|n| entry(n, 1)).collect());
    assert!(view.next_heartbeat(Millis(10_000)).len() <= MAX_GOSSIP_ENTRIES);
}
