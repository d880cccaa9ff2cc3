//! A platform around the gateway, over the row store in memory.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};

use super::gateway_target::{StandinTarget, TOKENS_PER_EVENT};
use crate::error::{Error, Kind, Result};
use crate::gateway::catalog::{Engine, Share};
use crate::gateway::cold::ColdRateLimit;
use crate::gateway::place::PlacementWeights;
use crate::gateway::retries::RetryAllowance;
use crate::gateway::zone_filter::ZoneRegions;
use crate::gateway::{
    Catalog, CatalogParts, HeaderNames, Limits, Organisation, Platform, Route, RouteKind, Service,
    StartedMs, TargetInfo, TargetState,
};
use crate::ids::Tokens;
use crate::rows::{ArrivingAnswers, Committed, MemoryRows, Page, RowStore, StoreResult, Tx, Ver};

/// Keys of orders to empty a zone begin with this.
const EMPTY: &str = "empty/";

/// Names of headers at the stand-ins.
pub const REQUEST_ID: &str = "Request-Id";
/// See [`REQUEST_ID`].
pub const SEAL: &str = "Seal";
/// See [`REQUEST_ID`].
pub const ORGANISATION: &str = "Organisation";
/// See [`REQUEST_ID`].
pub const EXPECT_TARGET: &str = "Expect-Target";
/// See [`REQUEST_ID`].
pub const NOT_RUN: &str = "Not-Run";
/// See [`REQUEST_ID`].
pub const LEAVING: &str = "Leaving";
/// See [`REQUEST_ID`].
pub const TOKEN_COUNTS: &str = "Tokens";
/// See [`REQUEST_ID`].
pub const LAST_EVENT: &str = "Last-Event-Id";

pub(super) fn names() -> HeaderNames {
    HeaderNames {
        request_id: REQUEST_ID.into(),
        time_left: "Time-Left-Ms".into(),
        prompt_parts: "Prompt-Parts".into(),
        token_counts: TOKEN_COUNTS.into(),
        output_estimate: "Output-Estimate".into(),
        last_event_id: LAST_EVENT.into(),
        organisation: ORGANISATION.into(),
        expect_target: EXPECT_TARGET.into(),
        not_run: NOT_RUN.into(),
        leaving: LEAVING.into(),
        reserved: vec![ORGANISATION.into(), EXPECT_TARGET.into(), NOT_RUN.into(), SEAL.into()],
    }
}

/// A route of the only host.
pub fn route(prefix: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(5),
        aim: Duration::from_millis(400),
        gap_aim: Duration::from_millis(200),
        priority: 1,
        max_attempts,
        public: false,
        shares: vec![Share { service: "model".into(), weight: 1 }],
        homes: Vec::new(),
    }
}

/// The usual configuration: four kinds of routes, one organisation with `prepaid` tokens.
pub fn parts(version: u64, prepaid: u64) -> CatalogParts {
    CatalogParts {
        version,
        routes: vec![
            route("/safe/", RouteKind::Idempotent, 2),
            route("/once/", RouteKind::NonIdempotent, 1),
            route("/stream/", RouteKind::Stream, 1),
            route("/resumable/", RouteKind::ResumableStream, 2),
        ],
        services: vec![Service {
            name: "model".into(),
            max_connections: 100,
            engine: Some(Engine {
                slots: 8,
                kv_capacity: 100_000,
                tokens_per_event: TOKENS_PER_EVENT,
            }),
            warm_up: None,
        }],
        limits: Limits::default(),
        organisations: Some(vec![Organisation {
            name: "norte".into(),
            keys: vec!["key-norte".into()],
            priority: None,
            prepaid: Some(Tokens(prepaid)),
            homes: Vec::new(),
        }]),
    }
}

/// A platform over the row store in memory. Configurations are kept beside the store, and
/// their row holds a number; a target's row is `service address zone slots state`, and after it
/// when the target started and for how many ms it stays cold, as far as that is known.
#[derive(Clone)]
pub struct LocalPlatform {
    /// The store; its fault is this handle's own.
    pub rows: MemoryRows,
    configs: Rc<RefCell<Vec<CatalogParts>>>,
    names: Rc<HeaderNames>,
}

impl Default for LocalPlatform {
    fn default() -> LocalPlatform {
        LocalPlatform::new()
    }
}

impl LocalPlatform {
    /// An empty platform.
    pub fn new() -> LocalPlatform {
        LocalPlatform { rows: MemoryRows::new(), configs: Rc::default(), names: Rc::new(names()) }
    }

    /// The same platform for another router, with a fault of its own.
    pub fn another(&self) -> LocalPlatform {
        LocalPlatform { rows: self.rows.new_client(), ..self.clone() }
    }

    /// Acknowledges a configuration.
    pub fn configure(&self, parts: CatalogParts) {
        self.configure_large(parts, 0);
    }

    /// Acknowledges a configuration whose row has at least `bytes` bytes.
    pub fn configure_large(&self, parts: CatalogParts, bytes: usize) {
        let mut configs = self.configs.borrow_mut();
        configs.push(parts);
        let mut row = (configs.len() - 1).to_string().into_bytes();
        row.resize(bytes.max(row.len()), b' ');
        self.rows.put("operator", "config", &row);
    }

    /// Writes a target's entry.
    pub fn register(&self, target: &StandinTarget, state: &str) {
        self.register_cold(target, state, Duration::ZERO);
    }

    /// Writes the entry of a target that stays cold for so long.
    pub fn register_cold(&self, target: &StandinTarget, state: &str, warm_up: Duration) {
        let StandinTarget { service, addr, zone, .. } = target;
        let mut row = format!("{service} {addr} {zone} 8 {state}");
        if !warm_up.is_zero() {
            row += &format!(" 0 {}", warm_up.as_millis());
        }
        self.rows.put("targets", &target.id, row.as_bytes());
    }

    /// Orders a zone to be emptied.
    pub fn empty_zone(&self, zone: &str) {
        self.rows.put("operator", &format!("{EMPTY}{zone}"), b"");
    }

    /// Takes a zone back.
    pub fn take_zone_back(&self, zone: &str) {
        self.rows.remove("operator", &format!("{EMPTY}{zone}"));
    }
}

impl RowStore for LocalPlatform {
    async fn scan(&self, table: &str, part: &str) -> StoreResult<Page> {
        self.rows.scan(table, part).await
    }

    async fn feed(
        &self,
        table: &str,
        after: Ver,
        wait: Duration,
        arriving: &ArrivingAnswers,
    ) -> StoreResult<Page> {
        self.rows.feed(table, after, wait, arriving).await
    }

    async fn commit(&self, tx: &Tx) -> StoreResult<Committed> {
        self.rows.commit(tx).await
    }
}

fn bad_row(what: &str) -> Error {
    Error::new(Kind::BadFormat, what)
}

impl Platform for LocalPlatform {
    fn header_names(&self) -> &HeaderNames {
        &self.names
    }

    fn config_row(&self) -> (&'static str, &'static str) {
        ("operator", "config")
    }

    fn emptied_zone(&self, key: &str) -> Option<CompactString> {
        key.strip_prefix(EMPTY).map(CompactString::from)
    }

    fn targets_table(&self) -> &'static str {
        "targets"
    }

    fn catalog(&self, value: &[u8]) -> Result<Catalog> {
        let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse::<usize>().ok());
        let configs = self.configs.borrow();
        let parts = number.and_then(|n| configs.get(n)).ok_or_else(|| bad_row("config"))?;
        Ok(Catalog::build(parts.clone()))
    }

    fn target(&self, id: &str, value: &[u8]) -> Result<TargetInfo> {
        let text = std::str::from_utf8(value).map_err(|_| bad_row("target"))?;
        let fields: Vec<&str> = text.split(' ').collect();
        let [service, addr, zone, slots, state, ref more @ ..] = fields[..] else {
            return Err(bad_row("target"));
        };
        let number = |i: usize| -> Result<Option<u64>> {
            let parse = |v: &&str| v.parse().map_err(|_| bad_row("number"));
            more.get(i).map(parse).transpose()
        };
        Ok(TargetInfo {
            id: id.into(),
            service: service.into(),
            addr: addr.parse().map_err(|_| bad_row("address"))?,
            zone: zone.into(),
            slots: slots.parse().map_err(|_| bad_row("slots"))?,
            state: if state == "ready" { TargetState::Ready } else { TargetState::Draining },
            warm_up: Duration::from_millis(number(1)?.unwrap_or(0)),
            started_at: number(0)?.map(StartedMs),
        })
    }
}

/// Settings of a gateway for the stand-ins: everything on loopback, a short stop.
pub fn settings(instance: &str, zone: &str, front: SocketAddr) -> crate::gateway::Settings {
    crate::gateway::Settings {
        instance: instance.to_compact_string(),
        zone: zone.to_compact_string(),
        regions: ZoneRegions::new(vec![
            ("zone-1".into(), "south".into()),
            ("zone-2".into(), "south".into()),
            ("zone-3".into(), "north".into()),
        ]),
        cold: ColdRateLimit { rate_factor: 1.5, slack: 5.0 },
        unlisted_after: Duration::from_millis(4_500),
        front,
        peer: front,
        retries: RetryAllowance { ratio: 0.5, slack: 60.0 },
        budgets: crate::allowance::BudgetSettings {
            horizon_ms: 10_000,
            patience: Duration::from_millis(500),
        },
        weights: PlacementWeights::default(),
        capacity: 100,
        entry_ttl: Duration::from_millis(100),
        grace: Duration::from_secs(5),
        body_memory: 64 * 1024 * 1024,
        max_connections: 1_000,
    }
}

/// The name of a process at an instance.
pub fn process(instance: &str, incarnation: u64) -> crate::allowance::ProcessId {
    crate::allowance::ProcessId { endpoint: format_compact!("{instance}/127.0.0.1"), incarnation }
}
