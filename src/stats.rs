//! Prometheus metrics of a gateway router, rendered as text for the metrics page.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::Arc;

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Kind of the route, or `unplaced` for a request that was refused before a route was chosen.
    pub kind: &'static str,
    /// Outcome, or the reason of a refusal.
    pub outcome: &'static str,
}

/// The only label of a counter by reason.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabel {
    /// Reason for the counted event.
    pub reason: &'static str,
}

/// All metrics of a router. Clones share the same counters.
#[derive(Clone, Debug)]
pub struct Stats {
    registry: Arc<Registry>,
    /// Finished requests by kind of route and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Attempts to send a request to a target that failed, by outcome.
    pub sends: Family<ReasonLabel, Counter>,
    /// Attempts to connect to a target, by outcome.
    pub target_connects: Family<ReasonLabel, Counter>,
    /// Tunnels that this router requested from others, by outcome.
    pub tunnels_requested: Family<ReasonLabel, Counter>,
    /// Tunnels that other routers requested from this one, by outcome.
    pub tunnels_served: Family<ReasonLabel, Counter>,
    /// 1 while this router is partitioned from the targets.
    pub partitioned: Gauge,
    /// Requests whose target crashed while it executed them.
    pub target_crashes: Counter,
    /// Requests in quarantine because targets crashed while they executed them.
    pub quarantined_requests: Gauge,
    /// Requests whose caller disconnected before the answer began.
    pub caller_disconnects: Counter,
    /// Accepted connections from callers.
    pub accepted_connections: Counter,
    /// Bytes of rows read from the store, by the reason of the read.
    pub store_read_bytes: Family<ReasonLabel, Counter>,
    /// Admission decisions for requests to cold targets: `admitted` or `held_off`.
    pub cold_admissions: Family<ReasonLabel, Counter>,
    /// Admission decisions for requests to targets that rejections endanger: `admitted` or
    /// `held_off` by the owner; `share` or `share_used` without one.
    pub capacity_admissions: Family<ReasonLabel, Counter>,
    /// Notices that targets sent in response headers, by kind.
    pub target_notices: Family<ReasonLabel, Counter>,
    /// Streams that callers resumed, by what became known of their origin.
    pub resumptions: Family<ReasonLabel, Counter>,
    /// Origins of streams that were dropped because there are too many.
    pub stream_origins_dropped: Counter,
    /// Targets that have announced that they are leaving.
    pub targets_leaving: Gauge,
    /// Targets that refused a request and get no more until their backoff ends.
    pub targets_backing_off: Gauge,
    /// Targets that are in their warm-up.
    pub targets_cold: Gauge,
    /// Services whose targets crash when they reject too many requests.
    pub services_with_rejection_limit: Gauge,
    /// Availability zones that get no new requests, by order of the operator.
    pub zones_emptied: Gauge,
    /// Time from a request's arrival to the first event of its stream, in seconds.
    pub first_event_seconds: Histogram,
    /// Time from a request's arrival to the end of its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Tokens charged to organisations.
    pub tokens_charged: Counter,
    /// Version of the configuration that is in use.
    pub config_version: Gauge,
    /// Configurations that were rejected because they could not be parsed.
    pub config_rejected: Counter,
    /// Target entries in the store that could not be parsed.
    pub target_entries_rejected: Counter,
    /// Requests in flight.
    pub active_requests: Gauge,
    /// Log lines that were dropped because of the log's limits.
    pub log_lines_dropped: Gauge,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats::new()
    }
}

impl Stats {
    /// Creates and registers all metrics, with value zero.
    pub fn new() -> Stats {
        let latency_histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let mut registry = Registry::with_prefix("kingcupwall");
        let requests = Family::default();
        registry.register("requests", "Requests by kind of route and outcome", requests.clone());
        let sends = Family::default();
        registry.register(
            "sends",
            "Failed attempts to send a request to a target, by outcome",
            sends.clone(),
        );
        let target_connects = Family::default();
        registry.register(
            "target_connects",
            "Attempts to connect to a target, by outcome",
            target_connects.clone(),
        );
        let tunnels_requested = Family::default();
        registry.register(
            "tunnels_requested",
            "Tunnels to targets requested from other routers, by outcome",
            tunnels_requested.clone(),
        );
        let tunnels_served = Family::default();
        registry.register(
            "tunnels_served",
            "Tunnels to targets requested by other routers, by outcome",
            tunnels_served.clone(),
        );
        let partitioned = Gauge::default();
        registry.register(
            "partitioned",
            "1 while this router is partitioned from the targets",
            partitioned.clone(),
        );
        let target_crashes = Counter::default();
        registry.register(
            "targets_ended",
            "Requests whose target crashed while it executed them",
            target_crashes.clone(),
        );
        let quarantined_requests = Gauge::default();
        registry.register(
            "requests_held_back",
            "Requests in quarantine because targets crashed while they executed them",
            quarantined_requests.clone(),
        );
        let caller_disconnects = Counter::default();
        registry.register(
            "callers_left",
            "Requests whose caller disconnected before the answer began",
            caller_disconnects.clone(),
        );
        let accepted_connections = Counter::default();
        registry.register(
            "connections_accepted",
            "Accepted connections from callers",
            accepted_connections.clone(),
        );
        let store_read_bytes = Family::default();
        registry.register(
            "store_read_bytes",
            "Bytes of rows read from the store, by reason",
            store_read_bytes.clone(),
        );
        let cold_admissions = Family::default();
        registry.register(
            "cold_admissions",
            "Admission decisions for requests to cold targets",
            cold_admissions.clone(),
        );
        let target_notices = Family::default();
        registry.register(
            "target_notices",
            "Notices that targets sent in response headers",
            target_notices.clone(),
        );
        let resumptions = Family::default();
        registry.register(
            "resumptions",
            "Streams that callers resumed, by what became known of their origin",
            resumptions.clone(),
        );
        let stream_origins_dropped = Counter::default();
        registry.register(
            "stream_origins_dropped",
            "Origins of streams that were dropped because there are too many",
            stream_origins_dropped.clone(),
        );
        let targets_leaving = Gauge::default();
        registry.register(
            "targets_leaving",
            "Targets that have announced that they are leaving",
            targets_leaving.clone(),
        );
        let targets_backing_off = Gauge::default();
        registry.register(
            "targets_resting",
            "Targets that refused a request and are in their backoff",
            targets_backing_off.clone(),
        );
        let capacity_admissions = Family::default();
        registry.register(
            "capacity_admissions",
            "Admission decisions for requests to targets that rejections endanger",
            capacity_admissions.clone(),
        );
        let services_with_rejection_limit = Gauge::default();
        registry.register(
            "services_with_rejection_limit",
            "Services whose targets crash when they reject too many requests",
            services_with_rejection_limit.clone(),
        );
        let targets_cold = Gauge::default();
        registry.register("targets_cold", "Targets in their warm-up", targets_cold.clone());
        let zones_emptied = Gauge::default();
        registry.register(
            "zones_emptied",
            "Zones that get no new requests by order of the operator",
            zones_emptied.clone(),
        );
        let first_event_seconds = latency_histogram();
        registry.register(
            "first_event_seconds",
            "Time from arrival to the first event of a stream",
            first_event_seconds.clone(),
        );
        let answer_seconds = latency_histogram();
        registry.register(
            "answer_seconds",
            "Time from arrival to the end of the answer",
            answer_seconds.clone(),
        );
        let tokens_charged = Counter::default();
        registry.register(
            "tokens_charged",
            "Tokens charged to organisations",
            tokens_charged.clone(),
        );
        let config_version = Gauge::default();
        registry.register(
            "config_version",
            "Version of the configuration in use",
            config_version.clone(),
        );
        let config_rejected = Counter::default();
        registry.register(
            "config_rejected",
            "Configurations that could not be parsed",
            config_rejected.clone(),
        );
        let target_entries_rejected = Counter::default();
        registry.register(
            "target_entries_rejected",
            "Target entries that could not be parsed",
            target_entries_rejected.clone(),
        );
        let active_requests = Gauge::default();
        registry.register("active", "Requests in flight", active_requests.clone());
        let log_lines_dropped = Gauge::default();
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because of the log's limits",
            log_lines_dropped.clone(),
        );
        Stats {
            registry: Arc::new(registry),
            requests,
            sends,
            target_connects,
            tunnels_requested,
            tunnels_served,
            partitioned,
            target_crashes,
            quarantined_requests,
            caller_disconnects,
            accepted_connections,
            store_read_bytes,
            cold_admissions,
            capacity_admissions,
            services_with_rejection_limit,
            target_notices,
            resumptions,
            stream_origins_dropped,
            targets_leaving,
            targets_backing_off,
            targets_cold,
            zones_emptied,
            first_event_seconds,
            answer_seconds,
            tokens_charged,
            config_version,
            config_rejected,
            target_entries_rejected,
            active_requests,
            log_lines_dropped,
        }
    }

    /// Encodes all metrics in the OpenMetrics text format, for the metrics page.
    pub fn to_openmetrics(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
