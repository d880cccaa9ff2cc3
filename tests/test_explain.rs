//! Selection of the log lines that explain the outcome of a request.

use kingcupwall::explain::explain;

const LOG: &str = "\
t_ms=1 event=start instance=r1 zone=a process=r1@1
t_ms=9 event=store state=answers silent_ms=None ver=1
t_ms=10 event=config version=4 from=0 row_ver=7 routes=17 outcome=in_force
t_ms=11 event=target target=t1 service=x state=Ready zone=a ver=8
t_ms=12 event=target target=t2 service=x state=Ready zone=a ver=9
t_ms=900 event=store state=away cause=no_answer:timeout
t_ms=950 event=send id=q1 target=t1 ended=NoAnswer runs=0 sends=1 at_ms=12
t_ms=951 event=refused id=q1 route=r status=502 reason=target_failed retry_after_ms=None at_ms=13
t_ms=952 event=refused id=q11 route=r status=503 reason=busy retry_after_ms=Some(90) at_ms=1
t_ms=953 event=store state=answers silent_ms=Some(800) ver=9";

#[test]
fn explain_request() {
    // Lines of a request whose id merely starts with the same text, and state lines after the first
    // line of the request, must not be shown.
    let found = explain("q1", LOG);
    let times: Vec<&str> =
        found.iter().map(|l| l.split(' ').find(|f| f.starts_with("t_ms")).unwrap()).collect();
    assert_eq!(times, ["t_ms=1", "t_ms=10", "t_ms=11", "t_ms=900", "t_ms=950", "t_ms=951"]);
    assert!(found[4].starts_with("> ") && found[0].starts_with("  "));
}

#[test]
fn explain_unknown() {
    assert!(explain("q2", LOG).is_empty());
}

#[test]
fn explain_resumed_stream() {
    // The request that began the stream explains at which version it may continue.
    let log = "\
t_ms=1 event=placed id=s1 route=r target=t1 version=v1
t_ms=2 event=placed id=s2 route=r target=t2 version=v2
t_ms=3 event=resume id=s3 resumes=s1 last=Some(\"4\") version=v1 source=Some(Asked) outcome=found
t_ms=4 event=done id=s3 route=r target=t1";
    let found = explain("s3", log);
    assert_eq!(found.len(), 3);
    assert!(found[0].contains("id=s1") && found.iter().all(|l| l.starts_with("> ")));
    assert_eq!(explain("s1", log).len(), 1);
}
