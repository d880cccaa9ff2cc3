//! Tests of the API for callers over real sockets: bad input, refusals and streams.

use std::time::Duration;

use kingcupwall::api::{IDEMPOTENCY_KEY, LAST_EVENT_ID};
use kingcupwall::client::{Caller, ChatCall};
use kingcupwall::error::Kind;
use kingcupwall::ids::{Digest, ZoneId};
use kingcupwall::standin::fleet::{
    PlatformHost, RouterHost, TargetHost, router_settings, submit_first,
};
use kingcupwall::standin::platform::PlatformLimits;
use kingcupwall::standin::target::{TargetFaults, TargetSetup};
use kingcupwall::table::{Instance, InstanceState};
use rstest::rstest;
use serde_json::{Value, json};

use crate::workdir::name;

struct TestFleet {
    platform: PlatformHost,
    target: TargetHost,
    router: RouterHost,
}

async fn start_fleet() -> TestFleet {
    let platform = PlatformHost::start(PlatformLimits::default()).await.unwrap();
    let zone: ZoneId = name("a");
    let serves = vec!["m".into(), "filing".into()];
    let setup =
        TargetSetup { serves, step_time: Duration::from_millis(2), ..TargetSetup::default() };
    let target = TargetHost::start(&platform.memory, "t0", &zone, setup).await.unwrap();
    let settings = router_settings(platform.server.addr, "r0", &zone);
    let router = RouterHost::start(settings).await.unwrap();
    let text = format!(
        "[fleet]\nentry_lifetime = 1s\n[service chat]\nmodel = m\nbytes_per_token = 4\nmax_tokens = 500\n\
         [service filing]\nkind = plain\nrepeatable = status\n\
         [organisation acme]\nkey = {}\n[budget acme/main]\nprepaid = 100k\n",
        Digest::of(b"key")
    );
    submit_first(router.api, &text).await.unwrap();
    router.ready().await;
    TestFleet { platform, target, router }
}

fn http() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

fn chat() -> Value {
    json!({ "model": "chat", "messages": [{ "role": "user", "content": "hi" }], "max_tokens": 20 })
}

async fn kind_of(resp: reqwest::Response) -> (u16, String, Value) {
    let status = resp.status().as_u16();
    let body: Value = resp.json().await.unwrap();
    (status, body["error"]["kind"].as_str().unwrap_or("").into(), body["error"]["not_run"].clone())
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_bad_input() {
    // Bad input must get an error of the right kind, and the router must keep serving.
    let t = start_fleet().await;
    let url = format!("http://{}/v1/chat/completions", t.router.api);
    let post = |body: Vec<u8>| http().post(&url).bearer_auth("key").body(body);
    let json = |v: Value| post(v.to_string().into_bytes());
    let with = |key: &str, v: Value| {
        let mut body = chat();
        body[key] = v;
        json(body)
    };
    let cases = [
        ("broken json", post(b"{\"model\":".to_vec()), 400, "bad_request"),
        ("not utf-8", post(vec![0xff, 0xfe]), 400, "bad_request"),
        ("large body", post(vec![b' '; 50 << 20]), 413, "too_large"),
        ("unknown model", with("model", json!("nope")), 404, "not_found"),
        ("crlf in model", with("model", json!("a\r\nb")), 404, "not_found"),
        ("plain service as model", with("model", json!("filing")), 404, "not_found"),
        ("no messages", with("messages", json!([])), 400, "bad_request"),
        ("too many tokens", with("max_tokens", json!(u64::MAX)), 400, "bad_request"),
        ("negative tokens", with("max_tokens", json!(-1)), 400, "bad_request"),
        ("bad key", json(chat()).header(IDEMPOTENCY_KEY, "a b"), 400, "bad_request"),
        ("bad event id", json(chat()).header(LAST_EVENT_ID, "x"), 400, "bad_request"),
        (
            "wrong api key",
            http().post(&url).bearer_auth("wrong").body(chat().to_string()),
            401,
            "unauthorized",
        ),
        ("no api key", http().post(&url).body(chat().to_string()), 401, "unauthorized"),
        ("unknown budget", json(chat()).header("x-budget", "nope"), 404, "not_found"),
    ];
    for (case, req, status, kind) in cases {
        // The router may refuse a large body and close the connection before the body is sent.
        let Ok(resp) = req.send().await else {
            assert_eq!(case, "large body");
            continue;
        };
        let (got, got_kind, not_run) = kind_of(resp).await;
        assert_eq!((got, got_kind.as_str(), not_run), (status, kind, json!(true)), "{case}");
    }
    let resp = json(chat()).send().await.unwrap();
    assert_eq!(resp.status(), 200);
    t.router.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_key_reused_and_replayed() {
    let t = start_fleet().await;
    let url = format!("http://{}/v1/chat/completions", t.router.api);
    let send = |body: Value| {
        http().post(&url).bearer_auth("key").header(IDEMPOTENCY_KEY, "k1").json(&body).send()
    };
    let first: Value = send(chat()).await.unwrap().json().await.unwrap();
    let again: Value = send(chat()).await.unwrap().json().await.unwrap();
    assert_eq!(first, again);
    assert_eq!(t.target.target.started(), 1);
    let mut other = chat();
    other["messages"][0]["content"] = json!("something else");
    let (status, kind, _) = kind_of(send(other).await.unwrap()).await;
    assert_eq!((status, kind.as_str()), (422, "key_reused"));
    t.router.kill();
}

#[rstest]
#[case::cut(TargetFaults { cut_after: Some(7), ..TargetFaults::default() }, false)]
#[case::repeated(TargetFaults { repeat_tokens: true, ..TargetFaults::default() }, true)]
#[case::crossed(TargetFaults { cross_runs: true, ..TargetFaults::default() }, true)]
#[tokio::test(flavor = "multi_thread")]
async fn chat_faulty_target(#[case] faults: TargetFaults, #[case] complete: bool) {
    // Guards against passing on a truncated answer as complete, repeated tokens, or tokens of
    // another run, when a target is faulty.
    let t = start_fleet().await;
    t.target.target.set_faults(faults);
    let caller = Caller::new(vec![t.router.api.to_string()], "key", None).unwrap();
    let call = ChatCall {
        model: "chat".into(),
        content: "a prompt with a long answer 3".into(),
        max_tokens: 400,
        key: name("k1"),
        priority: 5,
        retry_timeout: Duration::from_secs(3),
    };
    let got = caller.chat(&call, |_| {}).await;
    assert_eq!(got.is_ok(), complete, "{got:?}");
    t.router.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn service_without_key() {
    let t = start_fleet().await;
    let post = |path: &str| {
        http().post(format!("http://{}/v1/services/filing/{path}", t.router.api)).bearer_auth("key")
    };
    let (status, kind, _) = kind_of(post("file").body("x").send().await.unwrap()).await;
    assert_eq!((status, kind.as_str()), (400, "bad_request"));
    let got = post("status").body("x").send().await.unwrap();
    assert_eq!(got.status(), 200, "{}", got.text().await.unwrap());
    let filed = post("file").header(IDEMPOTENCY_KEY, "c1").body("x").send().await.unwrap();
    assert_eq!(filed.status(), 200, "{}", filed.text().await.unwrap());
    let calls = t.target.target.calls();
    assert_eq!(calls.iter().find(|(k, _)| k.as_str() == "c1").map(|(_, n)| *n), Some(1));
    t.router.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_before_a_target_reported() {
    // Guards against a router that refuses its first requests: it knows the list of targets, but
    // not yet from any target what it serves.
    let platform = PlatformHost::start(PlatformLimits::default()).await.unwrap();
    let zone: ZoneId = name("a");
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    platform.memory.put_instance(Instance {
        name: "t0".into(),
        addr: closed.to_string().into(),
        zone: zone.clone(),
        state: InstanceState::Live,
    });
    let router =
        RouterHost::start(router_settings(platform.server.addr, "r0", &zone)).await.unwrap();
    submit_first(router.api, "[fleet]\nentry_lifetime = 1s\n").await.unwrap();
    // The router asks the target for its report meanwhile, several times.
    tokio::time::timeout(Duration::from_secs(2), router.ready()).await.unwrap_err();
    router.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_drains_open_stream() {
    // Guards against a graceful stop that truncates an answer or leaves a grant behind. The router
    // is stopped while a stream is open and must finish it.
    let t = start_fleet().await;
    let caller = Caller::new(vec![t.router.api.to_string()], "key", None).unwrap();
    let call = ChatCall {
        model: "chat".into(),
        content: "a prompt with a long answer 3".into(),
        max_tokens: 500,
        key: name("k1"),
        priority: 5,
        retry_timeout: Duration::from_secs(20),
    };
    let sent = tokio::spawn(async move { caller.chat(&call, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    t.router.stop().await;
    let got = sent.await.unwrap().unwrap();
    assert_eq!(got.attempts, 1);
    let grants = kingcupwall::table::scan_all(&t.platform.memory, "grant/").await.unwrap();
    assert!(grants.is_empty(), "{grants:?}");
    let bills = kingcupwall::table::scan_all(&t.platform.memory, "bill/").await.unwrap();
    assert_eq!(bills.len(), 1);
}

#[test]
fn answer_kinds_distinct() {
    // Every error kind must have a distinct name and a status in the error range.
    let mut names: Vec<&str> = Kind::ALL.iter().map(|k| k.attrs().name).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), Kind::ALL.len());
    assert!(Kind::ALL.iter().all(|k| (400..600).contains(&k.attrs().status)));
}
