//! Counters and histograms, as the metrics page shows them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::Arc;

/// A request's end: what answered, and why.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct EndLabels {
    /// Kind of route.
    pub kind: &'static str,
    /// How it ended.
    pub outcome: &'static str,
}

/// One label.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct Reason {
    /// Why.
    pub reason: &'static str,
}

/// All figures of a router. Clones share them.
#[derive(Clone, Debug)]
pub struct Stats {
    registry: Arc<Registry>,
    /// Requests by kind of route and outcome.
    pub requests: Family<EndLabels, Counter>,
    /// Sends to targets by how they ended.
    pub sends: Family<Reason, Counter>,
    /// Requests under which a target ended.
    pub targets_ended: Counter,
    /// Requests that are held back because targets ended under them.
    pub held_back: Gauge,
    /// Requests that a caller left before their end.
    pub left: Counter,
    /// Connections of callers that were accepted.
    pub accepted: Counter,
    /// Bytes of rows read from the store, by what was read and for which reason.
    pub store_bytes: Family<Reason, Counter>,
    /// Requests to cold targets, by whether there was room.
    pub cold: Family<Reason, Counter>,
    /// What targets said of themselves in answers.
    pub notices: Family<Reason, Counter>,
    /// Targets that have said that they leave.
    pub targets_leaving: Gauge,
    /// Targets that turned a request away and want none for a while.
    pub targets_resting: Gauge,
    /// Targets that are cold.
    pub targets_cold: Gauge,
    /// Zones that the operator has emptied.
    pub zones_emptied: Gauge,
    /// Time to a stream's first event, s.
    pub first_event: Histogram,
    /// Time to a whole plain answer, s.
    pub answer: Histogram,
    /// Tokens charged.
    pub tokens: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Configurations that could not be read.
    pub config_rejected: Counter,
    /// Targets' entries that could not be read.
    pub entries_rejected: Counter,
    /// Requests being served.
    pub active: Gauge,
    /// Lines that the log dropped.
    pub log_dropped: Gauge,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats::new()
    }
}

impl Stats {
    /// Figures that all stand at zero.
    pub fn new() -> Stats {
        let times = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let mut registry = Registry::with_prefix("kingcupwall");
        let requests = Family::default();
        registry.register("requests", "Requests by kind of route and outcome", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to targets by how they ended", sends.clone());
        let targets_ended = Counter::default();
        registry.register(
            "targets_ended",
            "Requests under which a target ended",
            targets_ended.clone(),
        );
        let held_back = Gauge::default();
        registry.register(
            "requests_held_back",
            "Requests held back because targets ended under them",
            held_back.clone(),
        );
        let left = Counter::default();
        registry.register("callers_left", "Requests whose caller left early", left.clone());
        let accepted = Counter::default();
        registry.register("connections_accepted", "Connections of callers", accepted.clone());
        let store_bytes = Family::default();
        registry.register(
            "store_read_bytes",
            "Bytes of rows read from the store",
            store_bytes.clone(),
        );
        let cold = Family::default();
        registry.register("cold_admissions", "Requests to cold targets", cold.clone());
        let notices = Family::default();
        registry.register("target_notices", "What targets say of themselves", notices.clone());
        let targets_leaving = Gauge::default();
        registry.register(
            "targets_leaving",
            "Targets that say they leave",
            targets_leaving.clone(),
        );
        let targets_resting = Gauge::default();
        registry.register(
            "targets_resting",
            "Targets that want no request",
            targets_resting.clone(),
        );
        let targets_cold = Gauge::default();
        registry.register("targets_cold", "Targets that are cold", targets_cold.clone());
        let zones_emptied = Gauge::default();
        registry.register("zones_emptied", "Zones that get nothing new", zones_emptied.clone());
        let first_event = times();
        registry.register("first_event_seconds", "Time to the first event", first_event.clone());
        let answer = times();
        registry.register("answer_seconds", "Time to a plain answer", answer.clone());
        let tokens = Counter::default();
        registry.register("tokens_charged", "Tokens charged to organisations", tokens.clone());
        let config_version = Gauge::default();
        registry.register("config_version", "Version in force", config_version.clone());
        let config_rejected = Counter::default();
        registry.register("config_rejected", "Unreadable configurations", config_rejected.clone());
        let entries_rejected = Counter::default();
        registry.register(
            "target_entries_rejected",
            "Unreadable entries of targets",
            entries_rejected.clone(),
        );
        let active = Gauge::default();
        registry.register("active", "Requests being served", active.clone());
        let log_dropped = Gauge::default();
        registry.register("log_lines_dropped", "Lines over the log's bounds", log_dropped.clone());
        Stats {
            registry: Arc::new(registry),
            requests,
            sends,
            targets_ended,
            held_back,
            left,
            accepted,
            store_bytes,
            cold,
            notices,
            targets_leaving,
            targets_resting,
            targets_cold,
            zones_emptied,
            first_event,
            answer,
            tokens,
            config_version,
            config_rejected,
            entries_rejected,
            active,
            log_dropped,
        }
    }

    /// The metrics page.
    pub fn page(&self) -> String {
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
