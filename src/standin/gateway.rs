//! A platform for gateways on top of the in-memory row store.

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

/// Prefix of the keys of orders to empty a zone. The rest of the key is the zone.
const EMPTY_ZONE_PREFIX: &str = "empty/";

/// Name of the stand-ins' header with the request's id, see [`Names::request_id`].
pub const REQUEST_ID: &str = "Request-Id";
/// Name of the header with which a target marks its answer: its own id and the request's id.
pub const SEAL: &str = "Seal";
/// Name of the header with the organisation, see [`Names::organisation`].
pub const ORGANISATION: &str = "Organisation";
/// Name of the header with the intended target's id, see [`Names::expect_target`].
pub const EXPECT_TARGET: &str = "Expect-Target";
/// Name of the header of a request that was not run, see [`Names::not_run`].
pub const NOT_RUN: &str = "Not-Run";
/// Name of the header of a target that is about to stop, see [`Names::leaving`].
pub const LEAVING: &str = "Leaving";
/// Name of the header with the rejections that a target can bear, see
/// [`HeaderNames::rejection_limit`].
pub const REJECTION_LIMIT: &str = "Rejection-Limit";
/// Name of the header with the token counts, see [`Names::token_counts`].
pub const TOKEN_COUNTS: &str = "Tokens";
/// Name of the header with the last event received, see [`Names::last_event_id`].
pub const LAST_EVENT: &str = "Last-Event-Id";
/// Name of the header with the request that a stream began under, see [`HeaderNames::resumes`].
pub const RESUMES: &str = "Resumes";

pub(super) fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: REQUEST_ID.into(),
        time_left: "Time-Left-Ms".into(),
        prompt_parts: "Prompt-Parts".into(),
        token_counts: TOKEN_COUNTS.into(),
        output_estimate: "Output-Estimate".into(),
        last_event_id: LAST_EVENT.into(),
        resumes: RESUMES.into(),
        organisation: ORGANISATION.into(),
        expect_target: EXPECT_TARGET.into(),
        not_run: NOT_RUN.into(),
        receipt: SEAL.into(),
        leaving: LEAVING.into(),
        rejection_limit: REJECTION_LIMIT.into(),
        reserved: vec![ORGANISATION.into(), EXPECT_TARGET.into(), NOT_RUN.into(), SEAL.into()],
    }
}

/// A route of `shop.example`, the only host, to the service `model`.
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

/// The default configuration: one route of each kind, one service, and one organisation with
/// `prepaid` tokens.
pub fn catalog_parts(version: u64, prepaid: u64) -> CatalogParts {
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

/// A platform on top of the in-memory row store.
///
/// Configurations are kept outside the store, and the configuration row holds an index into them. A
/// target's row is `service address zone slots state version`, optionally followed by the target's
/// start time in Unix ms and by the remaining time for which it stays cold, in ms. The version may
/// be empty.
#[derive(Clone)]
pub struct LocalPlatform {
    /// Client of the store. An injected fault affects this client only.
    pub rows: MemoryRows,
    configs: Rc<RefCell<Vec<CatalogParts>>>,
    names: Rc<HeaderNames>,
    /// Targets that this client reaches at other addresses than their entries state.
    links: Rc<Vec<(CompactString, SocketAddr)>>,
}

impl Default for LocalPlatform {
    fn default() -> LocalPlatform {
        LocalPlatform::new()
    }
}

impl LocalPlatform {
    /// Creates a platform with an empty store.
    pub fn new() -> LocalPlatform {
        LocalPlatform {
            rows: MemoryRows::new(),
            configs: Rc::default(),
            names: Rc::new(header_names()),
            links: Rc::default(),
        }
    }

    /// The same platform for another router, with separately injected faults.
    pub fn new_client(&self) -> LocalPlatform {
        LocalPlatform { rows: self.rows.new_client(), ..self.clone() }
    }

    /// The same platform for a router that reaches some targets, given by their ids, at other
    /// addresses than their entries state.
    pub fn with_links(&self, links: Vec<(CompactString, SocketAddr)>) -> LocalPlatform {
        LocalPlatform { links: Rc::new(links), ..self.clone() }
    }

    /// Publishes a configuration.
    pub fn configure(&self, parts: CatalogParts) {
        self.configure_large(parts, 0);
    }

    /// Publishes a configuration whose row is padded to at least `bytes` bytes.
    pub fn configure_large(&self, parts: CatalogParts, bytes: usize) {
        let mut configs = self.configs.borrow_mut();
        configs.push(parts);
        let mut row = (configs.len() - 1).to_string().into_bytes();
        row.resize(bytes.max(row.len()), b' ');
        self.rows.put("operator", "config", &row);
    }

    /// Writes the entry of a warm target; `state` is `ready` or `draining`.
    pub fn register(&self, target: &StandinTarget, state: &str) {
        self.register_cold(target, state, Duration::ZERO);
    }

    /// Writes the entry of a target that stays cold for the time `warm_up`.
    pub fn register_cold(&self, target: &StandinTarget, state: &str, warm_up: Duration) {
        let StandinTarget { service, addr, zone, .. } = target;
        let mut row = format!("{service} {addr} {zone} 8 {state} {}", target.version());
        if !warm_up.is_zero() {
            row += &format!(" 0 {}", warm_up.as_millis());
        }
        self.rows.put("targets", &target.id, row.as_bytes());
    }

    /// Orders a zone to be emptied.
    pub fn empty_zone(&self, zone: &str) {
        self.rows.put("operator", &format!("{EMPTY_ZONE_PREFIX}{zone}"), b"");
    }

    /// Revokes the order to empty a zone.
    pub fn restore_zone(&self, zone: &str) {
        self.rows.remove("operator", &format!("{EMPTY_ZONE_PREFIX}{zone}"));
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

fn bad_format(what: &str) -> Error {
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
        key.strip_prefix(EMPTY_ZONE_PREFIX).map(CompactString::from)
    }

    fn targets_table(&self) -> &'static str {
        "targets"
    }

    fn catalog(&self, value: &[u8]) -> Result<Catalog> {
        let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse::<usize>().ok());
        let configs = self.configs.borrow();
        let parts = number
            .and_then(|n| configs.get(n))
            .ok_or_else(|| bad_format("configuration row: no known number"))?;
        Ok(Catalog::build(parts.clone()))
    }

    fn target(&self, id: &str, value: &[u8]) -> Result<TargetInfo> {
        let text = std::str::from_utf8(value).map_err(|_| bad_format("target row: not UTF-8"))?;
        let fields: Vec<&str> = text.split(' ').collect();
        let [service, addr, zone, slots, state, version, ref optional @ ..] = fields[..] else {
            return Err(bad_format("target row: fewer than six fields"));
        };
        let number = |i: usize| -> Result<Option<u64>> {
            let parse = |v: &&str| v.parse().map_err(|_| bad_format("target row: invalid number"));
            optional.get(i).map(parse).transpose()
        };
        let stated = addr.parse().map_err(|_| bad_format("target row: invalid address"))?;
        let link = self.links.iter().find(|(target, _)| target == id);
        Ok(TargetInfo {
            id: id.into(),
            service: service.into(),
            addr: link.map_or(stated, |(_, addr)| *addr),
            zone: zone.into(),
            slots: slots.parse().map_err(|_| bad_format("target row: invalid slots"))?,
            state: if state == "ready" { TargetState::Ready } else { TargetState::Draining },
            warm_up: Duration::from_millis(number(1)?.unwrap_or(0)),
            started_at: number(0)?.map(StartedMs),
            version: version.parse().ok(),
        })
    }
}

/// Settings of a gateway for the stand-ins: all addresses on loopback, a short grace period.
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

/// Id of a process on an instance.
pub fn process_id(instance: &str, incarnation: u64) -> crate::allowance::ProcessId {
    crate::allowance::ProcessId { endpoint: format_compact!("{instance}/127.0.0.1"), incarnation }
}
