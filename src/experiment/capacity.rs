//! What one router's work and state cost, over sizes, so that the cost at a larger size can be
//! worked out as a slope. Real time on one core; no network.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use kameo::actor::Spawn;
use serde::Serialize;

use crate::budget::actor::{CancelHold, GrantActor, GrantActorArgs, GrantListener, RequestHold};
use crate::budget::holder::HoldId;
use crate::budget::ledger::{HolderRow, HolderState, holder_key};
use crate::clock::Clock;
use crate::config::Config;
use crate::config::parse::parse;
use crate::config::revision::{Document, Edit};
use crate::engine::LoadReport;
use crate::error::Result;
use crate::ids::{Digest, Incarnation, Millis, Revision, Tokens, ZoneId};
use crate::membership::frame::encode;
use crate::membership::view::{RouterInfo, View};
use crate::membership::wire::PeerRequest;
use crate::route::picker::{ListedTarget, Picker, Policy};
use crate::table::committer::Committer;
use crate::table::memory::MemoryPlatform;
use crate::table::{Mutation, Table, Txn};

/// One measured point.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Point {
    /// What was measured.
    pub what: &'static str,
    /// The size it was measured at.
    pub size: u64,
    /// The result.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

fn point(what: &'static str, size: u64, value: f64, unit: &'static str) -> Point {
    Point { what, size, value, unit }
}

/// Measures everything.
///
/// # Errors
/// `BadConfig` for the experiment's own configuration.
pub async fn run<F: FnMut(&Point)>(mut show: F) -> Result<()> {
    for n in [20, 200, 1_000, 2_000, 3_800] {
        show(&point("target_choice", n, pick_nanos(n), "ns"));
    }
    for n in [6, 60, 235, 470] {
        let (bytes, nanos) = gossip(n);
        show(&point("heartbeat_bytes", n, bytes, "B"));
        show(&point("heartbeat_merge", n, nanos, "ns"));
    }
    for n in [10_000, 50_000, 100_000, 290_000] {
        for p in configuration(n)? {
            show(&p);
        }
    }
    for n in [1, 100, 1_000, 10_000] {
        let (p50, p99) = admission(n).await?;
        show(&point("admission_p50", n, p50, "us"));
        show(&point("admission_p99", n, p99, "us"));
    }
    Ok(())
}

fn zone(n: u64) -> ZoneId {
    format!("zone-{n}").parse().expect("a valid name")
}

/// One choice among `n` targets.
fn pick_nanos(n: u64) -> f64 {
    const PICKS: u32 = 20_000;
    let now = Millis(1_000_000);
    let mut picker = Picker::new(Policy::Sampled, zone(0), 7);
    let listed = |i: u64| ListedTarget {
        id: format!("t{i}").parse().expect("a valid name"),
        addr: "127.0.0.1:1".into(),
        zone: zone(i % 22),
        leaving: false,
    };
    let list: Vec<ListedTarget> = (0..n).map(listed).collect();
    picker.set_list(list.clone());
    for l in &list {
        let report = LoadReport { slots: 16, serves: vec!["m".into()], ..LoadReport::default() };
        picker.reported(now, &l.id, report);
    }
    let began = Instant::now();
    for i in 0..PICKS {
        std::hint::black_box(picker.pick(now, "m", u64::from(i) + 1, &[]));
    }
    began.elapsed().as_nanos() as f64 / f64::from(PICKS)
}

/// Bytes of one heartbeat among `n` routers, and the time to take one.
fn gossip(n: u64) -> (f64, f64) {
    const BEATS: u32 = 2_000;
    let entry = |i: u64| RouterInfo {
        incarnation: format!("entry-{i}@0123456789abcdef").parse().expect("a valid name"),
        zone: zone(i % 22),
        api: format!("10.0.{}.{}:8080", i / 250, i % 250).into(),
        peer: format!("10.0.{}.{}:8180", i / 250, i % 250).into(),
        beat: 1,
        leaving: false,
        revision: Revision(14_000),
        load: 30,
    };
    let now = Millis(1_000_000);
    let mut view = View::new(entry(0), Millis(2_000));
    view.merge(now, (1..n).map(entry).collect());
    let mut other = View::new(entry(n), Millis(2_000));
    let mut bytes = 0;
    let began = Instant::now();
    for _ in 0..BEATS {
        let entries = view.next_heartbeat(now);
        bytes = encode(&PeerRequest::Beat(entries.clone())).len();
        other.merge(now, entries);
    }
    (bytes as f64, began.elapsed().as_nanos() as f64 / f64::from(BEATS))
}

fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// A configuration of `n` budgets: text, memory, the time of a whole parse and of one edit.
fn configuration(n: u64) -> Result<Vec<Point>> {
    const EDITS: u32 = 50;
    let mut text = String::from("[service m]\nmodel = m\n");
    let organisations = (n / 12).max(1);
    for i in 0..organisations {
        text += &format!("[organisation org{i}]\nkey = {}\n", Digest::of(&i.to_le_bytes()));
    }
    for i in 0..n {
        text += &format!("[budget org{}/b{i}]\nprepaid = {}\n", i % organisations, 1_000_000 + i);
    }
    let before = resident();
    let began = Instant::now();
    let bad = |f: Vec<_>| crate::config::ini::findings_error("capacity", &f);
    let mut cfg: Config = parse(&text).map_err(bad)?;
    let parsed = began.elapsed();
    let mut doc = Document::parse(&text);
    let memory = resident() - before;
    let mut edit_bytes = 0;
    let began = Instant::now();
    for i in 0..EDITS {
        let header = format!("budget org{}/b{i}", u64::from(i) % organisations).into();
        let edits = [Edit { header, body: Some(format!("prepaid = {}\n", 5_000_000 + i)) }];
        edit_bytes = serde_json::to_vec(&edits)?.len();
        doc.apply(&edits);
        cfg.apply(&edits)?;
    }
    let edit = began.elapsed() / EDITS;
    std::hint::black_box((&cfg, &doc));
    Ok(vec![
        point("config_text", n, text.len() as f64, "B"),
        point("config_memory", n, memory, "B"),
        point("config_parse", n, parsed.as_secs_f64() * 1_000.0, "ms"),
        point("config_edit_apply", n, edit.as_secs_f64() * 1_000.0, "ms"),
        point("config_edit_bytes", n, edit_bytes as f64, "B"),
    ])
}

#[derive(Clone, Copy, Debug)]
struct Nowhere;

impl GrantListener for Nowhere {
    fn recorded(&self, _: Vec<HoldId>) {}
    fn fenced(&self) {}
}

/// Time of a hold out of a grant that is there, through the keeper, with `n` budgets in use.
async fn admission(n: u64) -> Result<(f64, f64)> {
    const HOLDS: u64 = 20_000;
    let memory = MemoryPlatform::default();
    let incarnation: Incarnation = "r@1".parse()?;
    let row = HolderRow {
        zone: zone(0),
        api: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        witness: None,
        backup: None,
        state: HolderState::Live,
    };
    let m = Mutation::default().put(holder_key(&incarnation), &row);
    memory.write(Txn { id: "row".into(), mutations: vec![m] }).await?;
    let mut text = String::from(
        "[service m]\nmodel = m\n[organisation o]\nkey = 00000000000000000000000000000000\n",
    );
    for i in 0..n {
        text += &format!("[budget o/b{i}]\nprepaid = 1G\n");
    }
    let bad = |f: Vec<_>| crate::config::ini::findings_error("capacity", &f);
    let cfg = Arc::new(RwLock::new(parse(&text).map_err(bad)?));
    let keeper = GrantActor::spawn(GrantActorArgs {
        table: memory.clone(),
        committer: Committer::start(memory, &incarnation, Duration::from_millis(5)),
        incarnation,
        version: crate::table::Version(1),
        cfg,
        clock: Clock::start(),
        grant_listener: Nowhere,
        sizing: Some(crate::budget::sizing::Sizing::Fixed(Tokens(1_000_000))),
        holders: 1,
    });
    let mut h: Histogram<u64> = Histogram::new(3).expect("three digits are in range");
    for round in 0..2 {
        for i in 0..HOLDS.max(n) {
            let budget = format!("o/b{}", i % n).parse()?;
            let began = Instant::now();
            let held =
                keeper.ask(RequestHold { budget, amount: Tokens(10), wait_for_grant: true }).await;
            if round == 1 {
                // Histograms resize by themselves; a record cannot fail.
                let _ = h.record(began.elapsed().as_nanos() as u64);
            }
            if let Ok(hold) = held {
                // A keeper that is gone would show in the next answer.
                let _ = keeper.tell(CancelHold(hold)).await;
            }
        }
    }
    let us = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    Ok((us(0.5), us(0.99)))
}
