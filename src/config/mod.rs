//! The operators' configuration: services, organisations, budgets, fleet-wide policy.

pub mod ini;
pub mod parse;
pub mod revision;
pub mod settings;
pub mod store;

use compact_str::CompactString;

use crate::ids::{BudgetId, Digest, Millis, OrganisationId, Revision, ServiceId, Tokens};
use ini::PerMille;

/// What a service is behind its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// A model served by engines.
    Model {
        /// The model that targets must have loaded.
        model: CompactString,
        /// The fewest bytes of prompt that make up one token.
        bytes_per_token: u64,
        /// The most answer tokens a request may ask for, and the default.
        max_tokens: u64,
    },
    /// A plain HTTP service.
    Plain {
        /// Cost of one call.
        cost: Tokens,
        /// Paths whose calls may be repeated; all others run at most once.
        repeatable: Vec<CompactString>,
    },
}

/// A service that callers can ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Model or plain.
    pub kind: ServiceKind,
    /// Services that must be servable for this one to be.
    pub depends: Vec<ServiceId>,
    /// Copies that placement keeps loaded, at least.
    pub min_copies: u32,
    /// Time for one whole answer.
    pub deadline: Millis,
}

/// An organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Digest of its API key.
    pub key: Digest,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Requests in flight at one router, at most.
    pub max_in_flight: u32,
}

/// A prepaid budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Who holds it, and its name.
    pub id: BudgetId,
    /// Everything ever prepaid, in tokens.
    pub prepaid: Tokens,
    /// Services that may draw on it; empty: all.
    pub services: Vec<ServiceId>,
}

/// Policy for the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetPolicy {
    /// Part of each grant that may be spent without a witness and stays in doubt when its holder
    /// dies. 0% strands least, more refuses less while a router is cut off.
    pub solo_share: PerMille,
    /// How much time's worth of tokens a grant should last, and with it how long a router can do
    /// without the table. The end of a budget is shared out in small parts whatever it says.
    pub grant_horizon: Millis,
    /// How long callers may keep an entry answer.
    pub entry_lifetime: Millis,
    /// Routers named to one organisation, at least.
    pub entry_width: u32,
    /// Retries allowed per hundred requests.
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

/// A whole checked configuration. Every vector is sorted by id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// The revision it is; 0 before any was accepted.
    pub revision: Revision,
    /// By id.
    pub services: Vec<Service>,
    /// By id.
    pub organisations: Vec<Organisation>,
    /// By organisation, then by id.
    pub budgets: Vec<Budget>,
    /// Organisations by the digest of their key, in digest order.
    pub keys: Vec<(Digest, OrganisationId)>,
    /// Fleet-wide policy.
    pub fleet: FleetPolicy,
}

impl Config {
    /// The service of that name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.binary_search_by(|s| s.id.cmp(id)).ok().map(|i| &self.services[i])
    }

    /// The budget of that name.
    pub fn budget(&self, id: &BudgetId) -> Option<&Budget> {
        self.budgets
            .binary_search_by(|b| budget_sort_key(&b.id).cmp(&budget_sort_key(id)))
            .ok()
            .map(|i| &self.budgets[i])
    }

    /// The organisation of that name.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.binary_search_by(|o| o.id.cmp(id)).ok().map(|i| &self.organisations[i])
    }

    /// The organisation that owns an API key.
    pub fn organisation_by_key(&self, key: &[u8]) -> Option<&Organisation> {
        let digest = Digest::of(key);
        let index = self.keys.binary_search_by(|(d, _)| d.cmp(&digest)).ok()?;
        self.organisation(&self.keys[index].1)
    }

    /// Budgets of an organisation, in order of their ids.
    pub fn budgets_of(&self, id: &str) -> impl Iterator<Item = &Budget> {
        let from = self.budgets.partition_point(|b| b.id.organisation() < id);
        let belongs = move |b: &&Budget| b.id.organisation() == id;
        self.budgets[from..].iter().take_while(belongs)
    }

    /// The first budget of an organisation that `service` may draw on.
    pub fn budget_for(&self, id: &OrganisationId, service: &ServiceId) -> Option<&Budget> {
        let covers = |b: &&Budget| b.services.is_empty() || b.services.contains(service);
        self.budgets_of(id.as_str()).find(covers)
    }

    /// Sorts everything and rebuilds the lookup by key.
    pub fn index(&mut self) {
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.organisations.sort_by(|a, b| a.id.cmp(&b.id));
        self.budgets.sort_by(compare_budgets);
        self.keys = self.organisations.iter().map(|o| (o.key, o.id.clone())).collect();
        self.keys.sort();
    }
}

/// Organisation first: plain id order would put `a-b/x` between `a/x` and `a/y`'s neighbours.
fn compare_budgets(a: &Budget, b: &Budget) -> std::cmp::Ordering {
    budget_sort_key(&a.id).cmp(&budget_sort_key(&b.id))
}

fn budget_sort_key(id: &BudgetId) -> (&str, &str) {
    (id.organisation(), id.as_str())
}
