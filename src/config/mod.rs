//! The configuration that operators submit: services, organisations, budgets and fleet-wide policy.

pub mod ini;
pub mod parse;
pub mod revision;
pub mod settings;
pub mod store;

use compact_str::CompactString;

use crate::ids::{BudgetId, Digest, Millis, OrganisationId, Revision, ServiceId, Tokens};
use ini::PerMille;

/// The kind of a service, with the settings of that kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// A model served by engines.
    Model {
        /// The model that a target must have loaded to serve it.
        model: CompactString,
        /// The minimum number of prompt bytes per token, for an upper bound on the prompt's tokens.
        bytes_per_token: u64,
        /// The most answer tokens that a request may ask for; also the default.
        max_tokens: u64,
    },
    /// A plain HTTP service.
    Plain {
        /// Cost of one call, in tokens.
        cost: Tokens,
        /// Paths whose calls are idempotent and may be retried; calls of all other paths are
        /// executed at most once.
        repeatable: Vec<CompactString>,
    },
}

/// A service that callers can request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Whether it is a model or a plain HTTP service.
    pub kind: ServiceKind,
    /// Services that must be available for this one to be available.
    pub depends: Vec<ServiceId>,
    /// The minimum number of copies that placement keeps loaded.
    pub min_copies: u32,
    /// Deadline for a complete response.
    pub deadline: Millis,
}

/// A customer organisation with its limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Digest of its API key.
    pub key: Digest,
    /// Weight in fair queueing, from 1 to 1000.
    pub weight: u32,
    /// The most requests in flight at one router.
    pub max_in_flight: u32,
}

/// A prepaid budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Organisation and name of the budget.
    pub id: BudgetId,
    /// Total of all tokens ever prepaid.
    pub prepaid: Tokens,
    /// Services that may use the budget; empty means all.
    pub services: Vec<ServiceId>,
}

/// Policy for the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetPolicy {
    /// Share of each grant that may be spent without a witness. When the holder dies, it is not
    /// known how much of this share was spent, so all of it stays reserved. 0% strands the fewest
    /// tokens; a larger share rejects fewer requests while a router is cut off.
    pub solo_share: PerMille,
    /// How long a grant should last at the current rate of use, and so how long a router can work
    /// without the table. Near the end of a budget, grants are small whatever this value is.
    pub grant_horizon: Millis,
    /// How long callers may cache the list of routers to call.
    pub entry_lifetime: Millis,
    /// The number of routers named to one organisation; fewer only when fewer are live.
    pub entry_width: u32,
    /// Retry budget: the share of requests that may be retried.
    pub retry_share: PerMille,
}

impl Default for FleetPolicy {
    fn default() -> FleetPolicy {
        FleetPolicy {
            solo_share: PerMille(0),
            grant_horizon: Millis(600_000),
            entry_lifetime: Millis(10_000),
            entry_width: 3,
            retry_share: PerMille(100),
        }
    }
}

/// A complete, validated configuration. All vectors are sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// The revision; 0 before the first one was accepted.
    pub revision: Revision,
    /// Services, sorted by id.
    pub services: Vec<Service>,
    /// Organisations, sorted by id.
    pub organisations: Vec<Organisation>,
    /// Budgets, sorted by organisation, then by id.
    pub budgets: Vec<Budget>,
    /// Organisations by the digest of their API key, sorted by digest.
    pub keys: Vec<(Digest, OrganisationId)>,
    /// Fleet-wide policy.
    pub fleet: FleetPolicy,
}

impl Config {
    /// The service with this id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.binary_search_by(|s| s.id.cmp(id)).ok().map(|i| &self.services[i])
    }

    /// The budget with this id.
    pub fn budget(&self, id: &BudgetId) -> Option<&Budget> {
        self.budgets
            .binary_search_by(|b| budget_sort_key(&b.id).cmp(&budget_sort_key(id)))
            .ok()
            .map(|i| &self.budgets[i])
    }

    /// The organisation with this id.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.binary_search_by(|o| o.id.cmp(id)).ok().map(|i| &self.organisations[i])
    }

    /// The organisation that owns an API key.
    pub fn organisation_by_key(&self, key: &[u8]) -> Option<&Organisation> {
        let digest = Digest::of(key);
        let index = self.keys.binary_search_by(|(d, _)| d.cmp(&digest)).ok()?;
        self.organisation(&self.keys[index].1)
    }

    /// Budgets of an organisation, sorted by id.
    pub fn budgets_of(&self, id: &str) -> impl Iterator<Item = &Budget> {
        let from = self.budgets.partition_point(|b| b.id.organisation() < id);
        let belongs = move |b: &&Budget| b.id.organisation() == id;
        self.budgets[from..].iter().take_while(belongs)
    }

    /// The first budget of an organisation that `service` may use.
    pub fn budget_for(&self, id: &OrganisationId, service: &ServiceId) -> Option<&Budget> {
        let covers = |b: &&Budget| b.services.is_empty() || b.services.contains(service);
        self.budgets_of(id.as_str()).find(covers)
    }

    /// Sorts all vectors and rebuilds the lookup by API key.
    pub fn index(&mut self) {
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.organisations.sort_by(|a, b| a.id.cmp(&b.id));
        self.budgets.sort_by(compare_budgets);
        self.keys = self.organisations.iter().map(|o| (o.key, o.id.clone())).collect();
        self.keys.sort();
    }
}

/// Compares by organisation first, because lookups search for an organisation's budgets by binary
/// search. In plain id order, `a-b/x` sorts before `a/x`, although organisation `a` sorts before
/// `a-b`.
fn compare_budgets(a: &Budget, b: &Budget) -> std::cmp::Ordering {
    budget_sort_key(&a.id).cmp(&budget_sort_key(&b.id))
}

fn budget_sort_key(id: &BudgetId) -> (&str, &str) {
    (id.organisation(), id.as_str())
}
