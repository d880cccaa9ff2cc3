//! Immutable snapshot of the operator's configuration, sorted for look-up on the request path.

use std::time::Duration;

use compact_str::CompactString;

use super::cold::WarmUp;
use crate::ids::Tokens;

/// Percentage of an engine's memory that cached prompt parts and running prompts fill. The rest is
/// for generated tokens, which are a tenth of the prompt tokens in known deployments.
const PROMPT_CACHE_PERCENT: u64 = 90;

/// How often a route's requests may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// An event stream that may run at most once.
    Stream,
    /// An event stream that another target can resume after any event.
    ResumableStream,
}

impl RouteKind {
    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may run again after it may have run.
    pub fn allows_repeats(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// The share of a route's requests that a service gets.
#[derive(Clone, Debug)]
pub struct Share {
    /// Name of the service.
    pub service: CompactString,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// The destination of requests to one host and path prefix, and the rules for them.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in logs.
    pub name: CompactString,
    /// Host that the route belongs to.
    pub host: CompactString,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: CompactString,
    /// How often the requests may run.
    pub kind: RouteKind,
    /// Maximum time until the end of an answer.
    pub timeout: Duration,
    /// The operator's target for the time to the answer, or to the first event of a stream.
    pub aim: Duration,
    /// The operator's target for the pause between two events.
    pub gap_aim: Duration,
    /// Priority rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that handle the requests; the sum of the weights is greater than 0.
    pub shares: Vec<Share>,
    /// Regions whose targets may handle the requests; empty for all regions.
    pub homes: Vec<CompactString>,
}

impl Route {
    /// Selects the service for a request. `draw` is a random number from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&CompactString> {
        let total: u32 = self.shares.iter().map(|s| s.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|s| &s.service)
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into an engine's memory.
    pub kv_capacity: u64,
    /// Maximum number of tokens in one event of a stream; 0 if unknown.
    pub tokens_per_event: u64,
}

/// A service, that is, a group of equivalent targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Number of connections that one target accepts from all routers.
    pub max_connections: u32,
    /// Engine properties; `None` for services without model engines.
    pub engine: Option<Engine>,
    /// Warm-up of the targets; `None` if they need none.
    pub warm_up: Option<WarmUp>,
}

/// Limits on what callers send and how long they take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration was read. They are generous, so that no valid
    /// request is refused.
    fn default() -> Limits {
        Limits {
            head_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
        }
    }
}

/// An organisation and its limits.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Name, as sent to targets.
    pub name: CompactString,
    /// API keys of the organisation.
    pub keys: Vec<CompactString>,
    /// Priority rank; overrides the route's priority.
    pub priority: Option<u8>,
    /// Total number of tokens that the organisation may use; `None` for no limit.
    pub prepaid: Option<Tokens>,
    /// Regions whose targets may handle its requests; empty for all regions.
    pub homes: Vec<CompactString>,
}

/// The parts of a configuration, in any order.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version number set by the operator.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// All organisations; `None` if requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// A configuration, sorted for look-up.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Version number set by the operator; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    organisations: Vec<Organisation>,
    keys: Vec<(CompactString, usize)>,
    needs_keys: bool,
}

impl Catalog {
    /// Builds a configuration and sorts its parts for look-up.
    pub fn build(parts: CatalogParts) -> Catalog {
        let CatalogParts { version, mut routes, mut services, limits, organisations } = parts;
        // Longest prefix first within a host, so that the first match is the most specific one.
        routes.sort_by(|a, b| {
            a.host
                .cmp(&b.host)
                .then(b.prefix.len().cmp(&a.prefix.len()))
                .then(a.prefix.cmp(&b.prefix))
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let needs_keys = organisations.is_some();
        let mut organisations = organisations.unwrap_or_default();
        organisations.sort_by(|a, b| a.name.cmp(&b.name));
        let of = |(i, o): (usize, &Organisation)| {
            o.keys.iter().map(|k| (k.clone(), i)).collect::<Vec<_>>()
        };
        let mut keys: Vec<(CompactString, usize)> =
            organisations.iter().enumerate().flat_map(of).collect();
        keys.sort();
        Catalog { version, limits, routes, services, organisations, keys, needs_keys }
    }

    /// Finds the route for a host (without port, in any case) and a path (without query).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let from = self.routes.partition_point(|r| r.host.as_str() < host.as_str());
        let of_host = self.routes[from..].iter().take_while(|r| r.host == host);
        of_host.into_iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        Some(&self.services[i])
    }

    /// Number of prompt tokens that an engine of the service caches; 0 if the service has no
    /// engines.
    pub fn cache_tokens(&self, service: &str) -> u64 {
        let engine = self.service(service).and_then(|s| s.engine);
        engine.map_or(0, |e| e.kv_capacity * PROMPT_CACHE_PERCENT / 100)
    }

    /// Warm-up of a service's targets; `None` if they need none.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.service(service).and_then(|s| s.warm_up)
    }

    /// Priority rank of an organisation, which overrides that of routes; `None` if it has none.
    pub fn priority_of(&self, org: &str) -> Option<u8> {
        let found = self.organisations.binary_search_by(|o| o.name.as_str().cmp(org)).ok()?;
        self.organisations[found].priority
    }

    /// Regions that an organisation is restricted to; empty if it is not restricted.
    pub fn homes_of(&self, org: &str) -> &[CompactString] {
        let found = self.organisations.binary_search_by(|o| o.name.as_str().cmp(org));
        found.map_or(&[], |i| &self.organisations[i].homes)
    }

    /// Regions that the routes of each host are restricted to, sorted by host. Hosts without
    /// restrictions are left out.
    pub fn host_homes(&self) -> Vec<(CompactString, Vec<CompactString>)> {
        let mut found: Vec<(CompactString, Vec<CompactString>)> = Vec::new();
        for r in self.routes.iter().filter(|r| !r.homes.is_empty()) {
            match found.last_mut().filter(|(host, _)| *host == r.host) {
                Some((_, homes)) => homes.extend(r.homes.iter().cloned()),
                None => found.push((r.host.clone(), r.homes.clone())),
            }
        }
        for (_, homes) in &mut found {
            homes.sort();
            homes.dedup();
        }
        found
    }

    /// All routes, sorted by host and descending prefix length.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether requests need a key, unless their route is public.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Finds the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let i = self.keys.binary_search_by(|(k, _)| k.as_str().cmp(key)).ok()?;
        Some(&self.organisations[self.keys[i].1])
    }

    /// Organisations with a prepaid amount, sorted by name.
    pub fn prepaid(&self) -> impl Iterator<Item = (CompactString, Tokens)> {
        self.organisations.iter().filter_map(|o| o.prepaid.map(|p| (o.name.clone(), p)))
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
