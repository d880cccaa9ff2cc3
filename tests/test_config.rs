//! Tests of configuration parsing, submissions and the configuration follower.

use std::sync::RwLock;

use kingcupwall::config::Config;
use kingcupwall::config::parse::parse;
use kingcupwall::config::revision::{Document, Edit, parse_edits};
use kingcupwall::config::settings::parse_settings;
use kingcupwall::config::store::{ConfigFollower, Submission, read_revisions, submit};
use kingcupwall::error::Kind;
use kingcupwall::ids::{Digest, Revision};
use kingcupwall::table::memory::{Faults, MemoryPlatform};
use proptest::prelude::*;
use rstest::rstest;

const KEY: &str = "00000000000000000000000000000000";

fn text(prepaid: u64) -> String {
    format!(
        "[service s]\nmodel = m\n[organisation o]\nkey = {KEY}\n[budget o/b]\nprepaid = {prepaid}\n"
    )
}

#[derive(Default)]
struct Operator {
    follower: ConfigFollower,
    cfg: RwLock<Config>,
}

impl Operator {
    async fn submit(
        &mut self,
        memory: &MemoryPlatform,
        id: &str,
        base: u64,
        edits: &str,
    ) -> kingcupwall::error::Result<u64> {
        let s = Submission {
            id: id.into(),
            base: Revision(base),
            edits: parse_edits(edits),
            merge: false,
        };
        submit(memory, &mut self.follower, &self.cfg, &s).await.map(|r| r.0)
    }

    fn prepaid(&self) -> u64 {
        self.cfg.read().unwrap().budgets[0].prepaid.0
    }
}

#[test]
fn parse_reports_all_findings() {
    let bad = "stray = 1\n[service s]\nkind = model\nmodle = x\n[organisation o]\nkey = short\n\
               [budget o/b]\nprepaid = -3\nservices = nope\n[budget x/y]\nprepaid = 1\n[zone q]\nnonsense\n";
    let findings = parse(bad).unwrap_err();
    let lines: Vec<u32> = findings.iter().map(|f| f.line).collect();
    assert_eq!(lines, vec![1, 2, 4, 6, 8, 9, 10, 12, 13], "{findings:#?}");
}

#[rstest]
#[case::cycle("[service a]\nmodel = m\ndepends = b\n[service b]\nmodel = m\ndepends = a\n")]
#[case::twice("[service a]\nmodel = m\n[service a]\nmodel = m\n")]
#[case::overflow(
    "[organisation o]\nkey = 00000000000000000000000000000000\n[budget o/b]\nprepaid = 99999999999G\n"
)]
#[case::bad_name("[organisation a b c]\nkey = 00000000000000000000000000000000\n")]
fn parse_rejects(#[case] bad: &str) {
    assert!(parse(bad).is_err());
}

#[test]
fn parse_settings_names_file_and_line() {
    let e =
        parse_settings("r.ini", "[router]\ninstance = a\nzone = z z\nplatfrom = 1\n").unwrap_err();
    assert!(e.message.contains("r.ini:3: zone"), "{}", e.message);
    assert!(e.message.contains("r.ini:4: unknown key"), "{}", e.message);
}

#[tokio::test]
async fn submit_concurrently() {
    // Guards against an accepted submission whose edits are lost: ten operators submit edits of the
    // same revision concurrently. One is accepted, and nine get a conflict with the accepted edits.
    let memory = MemoryPlatform::default();
    Operator::default().submit(&memory, "first", 0, &text(5)).await.unwrap();
    let racers = (0..10).map(|n| {
        let memory = memory.clone();
        async move {
            let edit = format!("[budget o/b]\nprepaid = {}\n", 100 + n);
            Operator::default().submit(&memory, &format!("racer-{n}"), 1, &edit).await
        }
    });
    let results = futures_util::future::join_all(racers).await;
    let won = results.iter().filter(|r| r.is_ok()).count();
    assert_eq!(won, 1);
    for lost in results.iter().filter_map(|r| r.as_ref().err()) {
        assert_eq!(lost.kind, Kind::Conflict);
        assert!(lost.message.contains("revision 2: [budget o/b]"), "{}", lost.message);
    }
    let mut o = Operator::default();
    o.follower.catch_up(&memory, &o.cfg).await.unwrap();
    assert!(o.prepaid() >= 100);
}

#[tokio::test]
async fn submit_lost_answer() {
    // Guards against a change that is applied twice: an operator retries a submission whose
    // response was lost. The retry under the same id must return the first outcome.
    let memory = MemoryPlatform::default();
    memory.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let mut o = Operator::default();
    assert!(o.submit(&memory, "s1", 0, &text(5)).await.is_err());
    assert_eq!(o.submit(&memory, "s1", 0, &text(5)).await.unwrap(), 1);
    assert_eq!(o.submit(&memory, "s1", 0, &text(5)).await.unwrap(), 1);
    assert_eq!(read_revisions(&memory, Revision(0)).await.unwrap().len(), 1);
}

#[tokio::test]
async fn catch_up_stale_read() {
    // Guards against a router that falls back to an older revision because of a stale read.
    let memory = MemoryPlatform::default();
    let mut o = Operator::default();
    o.submit(&memory, "s1", 0, &text(5)).await.unwrap();
    o.submit(&memory, "s2", 1, "[budget o/b]\nprepaid = 9\n").await.unwrap();
    memory.set_faults(Faults { stale_writes: 20, ..Faults::default() });
    o.follower.catch_up(&memory, &o.cfg).await.unwrap();
    assert_eq!((o.prepaid(), o.follower.head().revision), (9, Revision(2)));
}

#[tokio::test]
async fn apply_old_and_altered_revisions() {
    // Guards against revisions from peers that are old, damaged, or skip others.
    let memory = MemoryPlatform::default();
    let mut o = Operator::default();
    o.submit(&memory, "s1", 0, &text(5)).await.unwrap();
    o.submit(&memory, "s2", 1, "[budget o/b]\nprepaid = 9\n").await.unwrap();
    let rows = read_revisions(&memory, Revision(0)).await.unwrap();
    assert_eq!(o.follower.apply(&rows[0], &o.cfg), Ok(false));
    let mut altered = rows[1].clone();
    altered.revision = Revision(3);
    altered.before = altered.after;
    altered.edits[0].body = Some("prepaid = 77\n".into());
    assert_eq!(o.follower.apply(&altered, &o.cfg).unwrap_err().kind, Kind::BadFormat);
    altered.revision = Revision(7);
    assert_eq!(o.follower.apply(&altered, &o.cfg).unwrap_err().kind, Kind::Conflict);
    assert_eq!((o.prepaid(), o.follower.head().revision), (9, Revision(2)));
}

#[rstest]
#[case::torn(|s: &mut Vec<u8>| s.truncate(s.len() - 3), "damaged")]
#[case::newer(|s: &mut Vec<u8>| s[21] = b'9', "newer")]
#[case::no_header(|s: &mut Vec<u8>| { s.remove(0); }, "header")]
#[case::binary(|s: &mut Vec<u8>| s[40] = 0xff, "UTF-8")]
fn from_snapshot_damaged(#[case] damage: fn(&mut Vec<u8>), #[case] expected: &str) {
    let mut data = Document::parse(&text(5)).snapshot(Revision(7));
    assert!(Document::from_snapshot(&data).is_ok());
    damage(&mut data);
    let e = Document::from_snapshot(&data).unwrap_err();
    assert_eq!(e.kind, Kind::BadFormat);
    assert!(e.message.contains(expected), "{}", e.message);
}

#[tokio::test]
async fn submit_removed_organisation_in_use() {
    let memory = MemoryPlatform::default();
    let mut o = Operator::default();
    o.submit(&memory, "s1", 0, &text(5)).await.unwrap();
    let e = o.submit(&memory, "s2", 1, "[organisation o]\nremove\n").await.unwrap_err();
    assert_eq!(e.kind, Kind::BadConfig);
    let both = "[organisation o]\nremove\n[budget o/b]\nremove\n";
    assert_eq!(o.submit(&memory, "s3", 1, both).await.unwrap(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn parse_any_text(text in "(\\[|\\]|=|;|\n|[a-z/0-9 ]|é){0,200}") {
        // No text causes a panic, and every rejection has at least one finding.
        if let Err(findings) = parse(&text) {
            prop_assert!(!findings.is_empty());
        }
        let _ = Document::from_snapshot(text.as_bytes());
    }

    #[test]
    fn diff_and_apply(a in prop::collection::vec((0..30_u8, "[a-z]{0,6}"), 0..30), b in prop::collection::vec((0..30_u8, "[a-z]{0,6}"), 0..30)) {
        let doc = |parts: &[(u8, String)]| {
            let mut d = Document::default();
            let edits: Vec<Edit> = parts.iter().map(|(n, body)| Edit { header: format!("s {n}").into(), body: Some(body.clone()) }).collect();
            d.apply(&edits);
            d
        };
        let (mut from, to) = (doc(&a), doc(&b));
        from.apply(&from.diff(&to));
        prop_assert_eq!(from.digest(), to.digest());
        prop_assert_eq!(from.text(), to.text());
    }
}

#[test]
fn digest_edges() {
    assert!("zz".parse::<Digest>().is_err());
    assert_eq!(KEY.parse::<Digest>().unwrap(), Digest::from_u128(0));
}
