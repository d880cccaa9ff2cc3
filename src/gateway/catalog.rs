//! The operator's configuration as the request path reads it: immutable, sorted, shared.

use std::time::Duration;

use compact_str::CompactString;

use super::cold::WarmUp;
use crate::ids::Tokens;

/// Part of an engine's memory that its cached parts and running prompts fill, in per cent; the
/// rest is for what it generates, a tenth of what it reads in the deployments known.
const PROMPT_CACHE_PERCENT: u64 = 90;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once for each request of a caller.
    NonIdempotent,
    /// A stream of events, run once.
    Stream,
    /// A stream of events that another target can go on with after any event.
    ResumableStream,
}

impl RouteKind {
    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may run again after it may have run.
    pub fn allows_repeats(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct Share {
    /// The service.
    pub service: CompactString,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// The host it belongs to.
    pub host: CompactString,
    /// The path prefix it takes; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the end of an answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that the operator aims at.
    pub aim: Duration,
    /// Longest pause between events that the operator aims at.
    pub gap_aim: Duration,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// Targets that one request may run on, at the most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that take its requests; weights sum up to more than 0.
    pub shares: Vec<Share>,
    /// Regions whose targets may take its requests; all if there are none.
    pub homes: Vec<CompactString>,
}

impl Route {
    /// The service for a request, by a draw from 0 to 1.
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

/// What is known of the model engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub kv_capacity: u64,
    /// Tokens in one event of a stream, at the most; 0 if not known.
    pub tokens_per_event: u64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Connections that one target accepts from all routers.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// How its targets warm up, if they do.
    pub warm_up: Option<WarmUp>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: u64,
    /// Time for a request head to arrive.
    pub head_time: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Until a configuration says otherwise: generous, so that nothing proper is refused.
    fn default() -> Limits {
        Limits {
            head_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
        }
    }
}

/// An organisation and what it may use.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Name, as targets get it.
    pub name: CompactString,
    /// Its API keys.
    pub keys: Vec<CompactString>,
    /// Rank that goes before that of routes, if it has one.
    pub priority: Option<u8>,
    /// Tokens that it may use in all; no limit if absent.
    pub prepaid: Option<Tokens>,
    /// Regions whose targets may take its requests; all if there are none.
    pub homes: Vec<CompactString>,
}

/// The parts of a configuration, in any order.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// The operator's version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits.
    pub limits: Limits,
    /// Organisations; absent: requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The operator's version; a higher one replaces a lower one.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    organisations: Vec<Organisation>,
    keys: Vec<(CompactString, usize)>,
    needs_keys: bool,
}

impl Catalog {
    /// Sorts the parts for look-up.
    pub fn build(parts: CatalogParts) -> Catalog {
        let CatalogParts { version, mut routes, mut services, limits, organisations } = parts;
        // Longest prefix first within a host, so that the first match is the one that counts.
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

    /// The route of a request, by host (without port, any case) and path (without query).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let from = self.routes.partition_point(|r| r.host.as_str() < host.as_str());
        let of_host = self.routes[from..].iter().take_while(|r| r.host == host);
        of_host.into_iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        Some(&self.services[i])
    }

    /// Tokens of prompts that an engine of a service keeps; 0 if it has no engines.
    pub fn cache_tokens(&self, service: &str) -> u64 {
        let engine = self.service(service).and_then(|s| s.engine);
        engine.map_or(0, |e| e.kv_capacity * PROMPT_CACHE_PERCENT / 100)
    }

    /// How a service's targets warm up, if they do.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.service(service).and_then(|s| s.warm_up)
    }

    /// An organisation's rank, which goes before that of routes, if it has one.
    pub fn priority_of(&self, org: &str) -> Option<u8> {
        let found = self.organisations.binary_search_by(|o| o.name.as_str().cmp(org)).ok()?;
        self.organisations[found].priority
    }

    /// Regions that an organisation is bound to.
    pub fn homes_of(&self, org: &str) -> &[CompactString] {
        let found = self.organisations.binary_search_by(|o| o.name.as_str().cmp(org));
        found.map_or(&[], |i| &self.organisations[i].homes)
    }

    /// Regions that the routes of each host are bound to, by host; only hosts that have some.
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

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether requests need a key, unless their route is public.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let i = self.keys.binary_search_by(|(k, _)| k.as_str().cmp(key)).ok()?;
        Some(&self.organisations[self.keys[i].1])
    }

    /// Organisations with a prepaid amount, by name.
    pub fn prepaid(&self) -> impl Iterator<Item = (CompactString, Tokens)> {
        self.organisations.iter().filter_map(|o| o.prepaid.map(|p| (o.name.clone(), p)))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
