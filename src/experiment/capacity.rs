//! Measures time and memory of one router's operations at several sizes, from which the cost at
//! larger sizes can be extrapolated. Runs in real time on one core, without network.

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

/// One measured value.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measurement {
    /// Name of the measured quantity.
    pub what: &'static str,
    /// Size at which it was measured, such as the number of targets.
    pub size: u64,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

fn measurement(what: &'static str, size: u64, value: f64, unit: &'static str) -> Measurement {
    Measurement { what, size, value, unit }
}

/// Takes all measurements and calls `on_measurement` with each of them.
///
/// # Errors
/// `BadConfig` if the configuration of the experiment is invalid.
pub async fn run<F: FnMut(&Measurement)>(mut on_measurement: F) -> Result<()> {
    for n in [20, 200, 1_000, 2_000, 3_800] {
        on_measurement(&measurement("target_choice", n, pick_ns(n), "ns"));
    }
    for n in [6, 60, 235, 470] {
        let (bytes, merge_ns) = heartbeat_cost(n);
        on_measurement(&measurement("heartbeat_bytes", n, bytes, "B"));
        on_measurement(&measurement("heartbeat_merge", n, merge_ns, "ns"));
    }
    for n in [10_000, 50_000, 100_000, 290_000] {
        for p in configuration(n)? {
            on_measurement(&p);
        }
    }
    for n in [1, 100, 1_000, 10_000] {
        let (p50, p99) = admission(n).await?;
        on_measurement(&measurement("admission_p50", n, p50, "us"));
        on_measurement(&measurement("admission_p99", n, p99, "us"));
    }
    Ok(())
}

fn zone(n: u64) -> ZoneId {
    format!("zone-{n}").parse().expect("a valid name")
}

/// Measures the mean time of one choice among `n` targets, in nanoseconds.
fn pick_ns(n: u64) -> f64 {
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
    let started_at = Instant::now();
    for i in 0..PICKS {
        std::hint::black_box(picker.pick(now, "m", u64::from(i) + 1, &[]));
    }
    started_at.elapsed().as_nanos() as f64 / f64::from(PICKS)
}

/// Measures a heartbeat in a fleet of `n` routers: its size in bytes, and the mean time to create,
/// encode and merge it in nanoseconds.
fn heartbeat_cost(n: u64) -> (f64, f64) {
    const HEARTBEATS: u32 = 2_000;
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
    let started_at = Instant::now();
    for _ in 0..HEARTBEATS {
        let entries = view.next_heartbeat(now);
        bytes = encode(&PeerRequest::Beat(entries.clone())).len();
        other.merge(now, entries);
    }
    (bytes as f64, started_at.elapsed().as_nanos() as f64 / f64::from(HEARTBEATS))
}

/// Returns the resident memory of this process.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// Measures a configuration of `n` budgets: size of its text and in memory, and the times to parse
/// it and to apply one edit.
fn configuration(n: u64) -> Result<Vec<Measurement>> {
    const EDITS: u32 = 50;
    let mut text = String::from("[service m]\nmodel = m\n");
    let organisations = (n / 12).max(1);
    for i in 0..organisations {
        text += &format!("[organisation org{i}]\nkey = {}\n", Digest::of(&i.to_le_bytes()));
    }
    for i in 0..n {
        text += &format!("[budget org{}/b{i}]\nprepaid = {}\n", i % organisations, 1_000_000 + i);
    }
    let before = resident_bytes();
    let started_at = Instant::now();
    let to_error = |f: Vec<_>| crate::config::ini::findings_error("capacity", &f);
    let mut cfg: Config = parse(&text).map_err(to_error)?;
    let parsed = started_at.elapsed();
    let mut doc = Document::parse(&text);
    let memory = resident_bytes() - before;
    let mut edit_bytes = 0;
    let started_at = Instant::now();
    for i in 0..EDITS {
        let header = format!("budget org{}/b{i}", u64::from(i) % organisations).into();
        let edits = [Edit { header, body: Some(format!("prepaid = {}\n", 5_000_000 + i)) }];
        edit_bytes = serde_json::to_vec(&edits)?.len();
        doc.apply(&edits);
        cfg.apply(&edits)?;
    }
    let edit = started_at.elapsed() / EDITS;
    std::hint::black_box((&cfg, &doc));
    Ok(vec![
        measurement("config_text", n, text.len() as f64, "B"),
        measurement("config_memory", n, memory, "B"),
        measurement("config_parse", n, parsed.as_secs_f64() * 1_000.0, "ms"),
        measurement("config_edit_apply", n, edit.as_secs_f64() * 1_000.0, "ms"),
        measurement("config_edit_bytes", n, edit_bytes as f64, "B"),
    ])
}

/// Ignores all events.
#[derive(Clone, Copy, Debug)]
struct NullListener;

impl GrantListener for NullListener {
    fn recorded(&self, _: Vec<HoldId>) {}
    fn fenced(&self) {}
}

/// Measures the time to hold tokens of an existing grant through the grant actor, with `n` budgets
/// in use. Returns the 50th and 99th percentile in microseconds.
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
    let to_error = |f: Vec<_>| crate::config::ini::findings_error("capacity", &f);
    let cfg = Arc::new(RwLock::new(parse(&text).map_err(to_error)?));
    let grant_actor = GrantActor::spawn(GrantActorArgs {
        table: memory.clone(),
        committer: Committer::start(memory, &incarnation, Duration::from_millis(5)),
        incarnation,
        version: crate::table::Version(1),
        cfg,
        clock: Clock::start(),
        grant_listener: NullListener,
        sizing: Some(crate::budget::sizing::Sizing::Fixed(Tokens(1_000_000))),
        holders: 1,
    });
    let mut latencies: Histogram<u64> =
        Histogram::new(3).expect("three significant digits are in range");
    for round in 0..2 {
        for i in 0..HOLDS.max(n) {
            let budget = format!("o/b{}", i % n).parse()?;
            let started_at = Instant::now();
            let result = grant_actor
                .ask(RequestHold { budget, amount: Tokens(10), wait_for_grant: true })
                .await;
            if round == 1 {
                // The histogram resizes automatically, so recording cannot fail.
                let _ = latencies.record(started_at.elapsed().as_nanos() as u64);
            }
            if let Ok(hold) = result {
                // If the actor has stopped, the next request fails.
                let _ = grant_actor.tell(CancelHold(hold)).await;
            }
        }
    }
    let us = |q: f64| latencies.value_at_quantile(q) as f64 / 1_000.0;
    Ok((us(0.5), us(0.99)))
}
