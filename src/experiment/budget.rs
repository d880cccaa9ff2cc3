//! Compares budget policies under load and faults. An oracle that observes all requests determines
//! which refusals were correct and whether a budget was overspent.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::budget::actor::versioned;
use crate::budget::ledger::{Bill, BudgetRow, GrantRow, Versioned, budget_key};
use crate::budget::sizing::Sizing;
use crate::error::{Kind, Result};
use crate::ids::{BudgetId, Digest, OrganisationId, Tokens, ZoneId};
use crate::standin::local_fleet::{FleetSetup, LocalCaller, LocalFleet, LocalRequest};
use crate::table::memory::Faults;
use crate::table::{read_one, scan_all};

/// Number of organisations in every workload.
const ORGANISATIONS: usize = 10;
/// Maximum output tokens of a request.
const MAX_TOKENS: u64 = 24;
/// Minimum length of a prompt, in bytes.
const PROMPT_BYTES: usize = 40;
/// Time after the load until all bills are written and grants are settled.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time for which a caller retries errors other than an exhausted budget.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between kills of a router.
const KILL_INTERVAL: Duration = Duration::from_secs(4);

/// How grants are sized, and whether routers lend tokens to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetPolicy {
    /// Each request reserves its tokens by a write to the table.
    PerRequest,
    /// Each router is granted an equal part of the budget.
    EqualSplit,
    /// Each grant has the same fixed size.
    Fixed,
    /// Grants are sized by the observed rate of spending, and routers lend to each other. This is the
    /// policy of the router.
    Adaptive,
    /// As [`BudgetPolicy::Adaptive`], but this share of each grant, in per mille, may be spent
    /// without confirmation by a witness.
    AdaptiveUnwitnessed(u32),
}

impl BudgetPolicy {
    /// The policies that are compared under every workload.
    pub const ALL: [BudgetPolicy; 4] = [
        BudgetPolicy::PerRequest,
        BudgetPolicy::EqualSplit,
        BudgetPolicy::Fixed,
        BudgetPolicy::Adaptive,
    ];

    fn name(self) -> String {
        match self {
            BudgetPolicy::PerRequest => "write_per_request".into(),
            BudgetPolicy::EqualSplit => "equal_split".into(),
            BudgetPolicy::Fixed => "fixed_grants".into(),
            BudgetPolicy::Adaptive => "ours".into(),
            BudgetPolicy::AdaptiveUnwitnessed(n) => format!("ours_solo_{}", n / 10),
        }
    }

    fn sizing(self) -> Option<Sizing> {
        match self {
            BudgetPolicy::PerRequest => Some(Sizing::PerRequest),
            // The number of routers whose addresses are given to an organisation.
            BudgetPolicy::EqualSplit => Some(Sizing::EqualSplit(3)),
            BudgetPolicy::Fixed => Some(Sizing::Fixed(Tokens(2_000))),
            BudgetPolicy::Adaptive | BudgetPolicy::AdaptiveUnwitnessed(_) => None,
        }
    }

    fn lending(self) -> bool {
        self.sizing().is_none()
    }
}

/// The load of a run and the faults injected into it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Constant rate without faults.
    Steady,
    /// A short quiet phase, then three times the normal rate.
    TrafficSpike,
    /// One organisation sends 60% of all requests.
    Skew,
    /// The table is unavailable for a third of the run.
    StoreOutage,
    /// One zone is partitioned from the table and the other zones for a third of the run, and budgets
    /// are topped up during that time.
    ZonePartition,
    /// As [`Workload::ZonePartition`], and a third of the requests can reach only routers in that
    /// zone.
    ZonePartitionWithCallers,
    /// Every few seconds a router is killed and replaced.
    RouterKills,
}

impl Workload {
    /// All workloads.
    pub const ALL: [Workload; 7] = [
        Workload::Steady,
        Workload::TrafficSpike,
        Workload::Skew,
        Workload::StoreOutage,
        Workload::ZonePartition,
        Workload::ZonePartitionWithCallers,
        Workload::RouterKills,
    ];

    fn name(self) -> &'static str {
        match self {
            Workload::Steady => "steady",
            Workload::TrafficSpike => "crowd",
            Workload::Skew => "skew",
            Workload::StoreOutage => "store_away",
            Workload::ZonePartition => "zone_cut_top_ups",
            Workload::ZonePartitionWithCallers => "zone_cut_callers_inside",
            Workload::RouterKills => "kills",
        }
    }
}

/// Result of one policy under one workload.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// Name of the budget policy.
    pub policy: String,
    /// Name of the workload.
    pub workload: &'static str,
    /// Number of requests sent.
    pub requests: usize,
    /// Requests with a complete answer.
    pub answered: usize,
    /// Tokens billed or spent beyond the prepaid amounts.
    pub overspend: u64,
    /// Requests refused although the budget had room for them besides the tokens spent and the
    /// largest cost of the requests in flight. This includes errors other than an exhausted budget.
    pub false_refusals: usize,
    /// False refusals in percent of all requests.
    pub false_percent: f64,
    /// Requests refused because the budget had no room for them.
    pub true_refusals: usize,
    /// Tokens that are granted but neither billed nor returned at the end of the load.
    pub stranded: u64,
    /// Table transactions per 1,000 requests.
    pub table_writes_per_1000: f64,
    /// 99th percentile of the time from arrival to the first token, less the minimum of that time,
    /// in microseconds of virtual time.
    pub admission_p99_us: u64,
    /// Surplus bills of requests that were billed more than once.
    pub duplicate_bills: usize,
}

/// The oracle's record of one budget.
#[derive(Clone, Copy, Debug, Default)]
struct OracleBudget {
    prepaid: Tokens,
    spent: Tokens,
    /// Sum of the largest costs of the requests in flight that fitted into the budget.
    in_flight_cost: Tokens,
}

/// Tracks all requests and their true cost.
#[derive(Debug, Default)]
struct Oracle {
    budgets: BTreeMap<BudgetId, OracleBudget>,
    answered: usize,
    false_refusals: usize,
    true_refusals: usize,
}

/// Parameters of one run.
struct Trial {
    policy: BudgetPolicy,
    workload: Workload,
    requests: usize,
    rate: f64,
    seed: u64,
}

/// Runs all policies under all workloads, as far as their name `policy/workload` contains `only`.
/// `on_cell` is called with each result.
///
/// # Errors
/// `BadConfig` if the configuration of the experiment is invalid.
pub async fn run<F: FnMut(&Cell)>(
    requests: usize,
    seed: u64,
    only: &str,
    mut on_cell: F,
) -> Result<Vec<Cell>> {
    let mut out = Vec::new();
    for workload in Workload::ALL {
        let mut policies = BudgetPolicy::ALL.to_vec();
        if matches!(workload, Workload::ZonePartitionWithCallers | Workload::RouterKills) {
            policies.extend([
                BudgetPolicy::AdaptiveUnwitnessed(100),
                BudgetPolicy::AdaptiveUnwitnessed(300),
            ]);
        }
        policies.retain(|p| format!("{}/{}", p.name(), workload.name()).contains(only));
        for policy in policies {
            let trial = Trial { policy, workload, requests, rate: 150.0, seed };
            let cell = trial.run().await?;
            on_cell(&cell);
            out.push(cell);
        }
    }
    Ok(out)
}

impl Trial {
    fn organisation(n: usize) -> OrganisationId {
        format!("org{n}").parse().expect("a valid name")
    }

    /// Returns the prepaid tokens of an organisation. Every third budget is exhausted before the end
    /// of the run.
    fn prepaid(&self, n: usize) -> u64 {
        let share = match self.workload {
            Workload::Skew if n == 0 => 0.6,
            Workload::Skew => 0.4 / (ORGANISATIONS - 1) as f64,
            _ => 1.0 / ORGANISATIONS as f64,
        };
        // A prompt has ten tokens, and an answer has on average half of its maximum.
        let expected_use = self.requests as f64 * share * (14.0 + MAX_TOKENS as f64 / 2.0);
        (expected_use * if n.is_multiple_of(3) { 0.7 } else { 2.0 }) as u64
    }

    fn config(&self) -> String {
        let unwitnessed_percent = match self.policy {
            BudgetPolicy::AdaptiveUnwitnessed(n) => n / 10,
            _ => 0,
        };
        let mut text = format!(
            "[fleet]\nsolo_share = {unwitnessed_percent}%\nentry_lifetime = 1s\n[service chat]\nmodel = m\nbytes_per_token = 4\n"
        );
        for n in 0..ORGANISATIONS {
            let key = Digest::of(format!("key{n}").as_bytes());
            text += &format!(
                "[organisation org{n}]\nkey = {key}\n[budget org{n}/main]\nprepaid = {}\n",
                self.prepaid(n)
            );
        }
        text
    }

    async fn run(&self) -> Result<Cell> {
        let setup = FleetSetup {
            sizing: self.policy.sizing(),
            lending: self.policy.lending(),
            config: self.config(),
            targets: 3,
            ..FleetSetup::default()
        };
        let mut fleet = LocalFleet::start(setup).await?;
        let oracle = self.oracle(&fleet);
        let before = fleet.net.memory.counts();
        let started_at = Instant::now();
        let first_token_times = self.load(&mut fleet, &oracle, started_at).await?;
        let stranded = self.stranded(&fleet).await?;
        let writes = fleet.net.memory.counts().txns - before.txns;
        fleet.net.reconnect();
        fleet.net.memory.set_faults(Faults::default());
        sleep(SETTLE_TIME).await;
        let cell = self.cell(&fleet, &oracle, &first_token_times, stranded, writes).await?;
        fleet.close();
        Ok(cell)
    }

    fn oracle(&self, fleet: &LocalFleet) -> Arc<Mutex<Oracle>> {
        let cfg = fleet.config();
        let oracle_budget = |b: &crate::config::Budget| {
            (b.id.clone(), OracleBudget { prepaid: b.prepaid, ..OracleBudget::default() })
        };
        let budgets = cfg.budgets.iter().map(oracle_budget).collect();
        Arc::new(Mutex::new(Oracle { budgets, ..Oracle::default() }))
    }

    async fn load(
        &self,
        fleet: &mut LocalFleet,
        oracle: &Arc<Mutex<Oracle>>,
        started_at: Instant,
    ) -> Result<Vec<Duration>> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        fastrand::seed(self.seed);
        let mut caller = fleet.caller();
        let mut sent = JoinSet::new();
        let mut next_arrival = started_at;
        let mut next_kill = started_at + KILL_INTERVAL;
        for n in 0..self.requests {
            let progress = n as f64 / self.requests as f64;
            next_arrival +=
                Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate_at(progress));
            sleep_until(next_arrival).await;
            self.inject_faults(fleet, n).await?;
            if self.has_zone_partition() && n == self.requests / 2 {
                top_up(fleet, oracle).await?;
            }
            if self.workload == Workload::RouterKills && Instant::now() > next_kill {
                next_kill += KILL_INTERVAL;
                self.replace_router(fleet, &mut rng).await;
                caller = fleet.caller();
            }
            let organisation_index = self.choose(&mut rng);
            let mut caller = caller.clone();
            // A third of the requests comes from the partitioned zone and cannot leave it.
            let is_in_cut_zone =
                self.workload == Workload::ZonePartitionWithCallers && n.is_multiple_of(3);
            caller.reachable_zone =
                if is_in_cut_zone && n > self.requests / 3 { Some("c".parse()?) } else { None };
            sent.spawn(send(caller, oracle.clone(), organisation_index, n));
        }
        let mut first_token_times = Vec::new();
        while let Some(first) = sent.join_next().await {
            first_token_times.extend(first.ok().flatten());
        }
        Ok(first_token_times)
    }

    fn has_zone_partition(&self) -> bool {
        matches!(self.workload, Workload::ZonePartition | Workload::ZonePartitionWithCallers)
    }

    fn rate_at(&self, progress: f64) -> f64 {
        match self.workload {
            // A quiet phase, then the spike.
            Workload::TrafficSpike if progress < 0.05 => self.rate / 5.0,
            Workload::TrafficSpike => self.rate * 3.0,
            _ => self.rate,
        }
    }

    fn choose(&self, rng: &mut fastrand::Rng) -> usize {
        match self.workload {
            Workload::Skew if rng.f64() < 0.6 => 0,
            Workload::Skew => rng.usize(1..ORGANISATIONS),
            _ => rng.usize(..ORGANISATIONS),
        }
    }

    async fn inject_faults(&self, fleet: &mut LocalFleet, n: usize) -> Result<()> {
        let (third, two_thirds) = (self.requests / 3, self.requests * 2 / 3);
        let zone = |z: &str| z.parse::<ZoneId>();
        match self.workload {
            Workload::StoreOutage if n == third => {
                fleet.net.memory.set_faults(Faults { away: true, ..Faults::default() });
            }
            Workload::StoreOutage if n == two_thirds => {
                fleet.net.memory.set_faults(Faults::default())
            }
            Workload::ZonePartition | Workload::ZonePartitionWithCallers if n == third => {
                fleet.net.cut_platform(&zone("c")?);
                fleet.net.cut(&zone("c")?, &zone("a")?);
                fleet.net.cut(&zone("c")?, &zone("b")?);
            }
            Workload::ZonePartition | Workload::ZonePartitionWithCallers if n == two_thirds => {
                fleet.net.reconnect()
            }
            _ => {}
        }
        Ok(())
    }

    async fn replace_router(&self, fleet: &mut LocalFleet, rng: &mut fastrand::Rng) {
        let up = fleet.up();
        let killed_router = up[rng.usize(..up.len())];
        let zone = fleet.members[killed_router].zone.clone();
        fleet.kill(killed_router);
        fleet.add_router(&zone).await;
    }

    async fn stranded(&self, fleet: &LocalFleet) -> Result<u64> {
        fleet.net.memory.set_faults(Faults::default());
        let rows = scan_all(&fleet.net.memory, "grant/").await?;
        let mut out = Tokens::ZERO;
        for r in &rows {
            let g: GrantRow = r.decode()?;
            out = out.plus(g.granted.minus(g.settled));
        }
        Ok(out.0)
    }

    async fn cell(
        &self,
        fleet: &LocalFleet,
        oracle: &Arc<Mutex<Oracle>>,
        first_token_times: &[Duration],
        stranded: u64,
        writes: u64,
    ) -> Result<Cell> {
        let memory = &fleet.net.memory;
        let rows = scan_all(memory, "bill/").await?;
        let bills: Vec<Bill> = rows.iter().map(|r| r.decode()).collect::<Result<_>>()?;
        bills.iter().for_each(|b| {
            log::info!("experiment=billed key={} run={} cost={}", b.key, b.run, b.cost)
        });
        let mut keys: Vec<_> = bills.iter().map(|b| (&b.organisation, &b.key)).collect();
        keys.sort();
        let duplicate_bills = keys.windows(2).filter(|w| w[0] == w[1]).count();
        let mut overspend = 0;
        let o = oracle.lock().expect("never poisoned");
        for (id, oracle_budget) in &o.budgets {
            let billed = bills.iter().filter(|b| b.budget == *id);
            let billed = billed.fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
            let over = billed.0.max(oracle_budget.spent.0).saturating_sub(oracle_budget.prepaid.0);
            if over > 0 {
                let (spent, prepaid) = (oracle_budget.spent, oracle_budget.prepaid);
                log::error!(
                    "experiment=overspend budget={id} billed={billed} spent={spent} prepaid={prepaid}"
                );
            }
            overspend += over;
        }
        let mut h: Histogram<u64> =
            Histogram::new(3).expect("three significant digits are in range");
        let fastest = first_token_times.iter().min().copied().unwrap_or_default();
        for f in first_token_times {
            // The histogram resizes automatically, so recording cannot fail.
            let _ = h.record((*f - fastest).as_micros() as u64);
        }
        Ok(Cell {
            policy: self.policy.name(),
            workload: self.workload.name(),
            requests: self.requests,
            answered: o.answered,
            overspend,
            false_refusals: o.false_refusals,
            false_percent: o.false_refusals as f64 * 100.0 / self.requests as f64,
            true_refusals: o.true_refusals,
            stranded,
            table_writes_per_1000: writes as f64 * 1_000.0 / self.requests as f64,
            admission_p99_us: h.value_at_quantile(0.99),
            duplicate_bills,
        })
    }
}

/// Increases the prepaid tokens of every budget by a fifth.
async fn top_up(fleet: &LocalFleet, oracle: &Arc<Mutex<Oracle>>) -> Result<()> {
    let cfg = fleet.config();
    let mut text = String::new();
    for b in &cfg.budgets {
        let more = Tokens(b.prepaid.0 + b.prepaid.0 / 5);
        text += &format!("[budget {}]\nprepaid = {more}\n", b.id);
    }
    fleet.submit_text(&text).await?;
    let mut o = oracle.lock().expect("never poisoned");
    for (_, oracle_budget) in o.budgets.iter_mut() {
        oracle_budget.prepaid = Tokens(oracle_budget.prepaid.0 + oracle_budget.prepaid.0 / 5);
    }
    Ok(())
}

/// Sends one request and records it with the oracle. Returns the time to the first token, or `None`
/// if the request was refused.
async fn send(
    caller: LocalCaller,
    oracle: Arc<Mutex<Oracle>>,
    organisation_index: usize,
    n: usize,
) -> Option<Duration> {
    let organisation = Trial::organisation(organisation_index);
    let mut prompt = format!("request {n} ");
    prompt.extend(std::iter::repeat_n('x', PROMPT_BYTES.saturating_sub(prompt.len())));
    let id: BudgetId = format!("{organisation}/main").parse().expect("a valid name");
    let amount = Tokens((prompt.len() as u64).div_ceil(4) + MAX_TOKENS);
    let key = format!("k{n}").parse().expect("a valid name");
    let req = LocalRequest { organisation, key, prompt, max_tokens: MAX_TOKENS };
    // From here on the request may reserve its largest possible cost, so the oracle counts that cost
    // as in flight.
    let had_budget = {
        let mut o = oracle.lock().expect("never poisoned");
        let t = o.budgets.get_mut(&id)?;
        let fits = t.spent.plus(t.in_flight_cost).plus(amount) <= t.prepaid;
        t.in_flight_cost = t.in_flight_cost.plus(if fits { amount } else { Tokens::ZERO });
        fits
    };
    let result = caller.send("chat", &req, RETRY_TIMEOUT).await;
    let mut o = oracle.lock().expect("never poisoned");
    let t = o.budgets.get_mut(&id)?;
    t.in_flight_cost = t.in_flight_cost.minus(if had_budget { amount } else { Tokens::ZERO });
    match result {
        Ok(a) => {
            t.spent = t.spent.plus(Tokens(a.usage.prompt_tokens + a.usage.tokens));
            o.answered += 1;
            Some(a.first)
        }
        Err(e) => {
            let has_budget = t.spent.plus(t.in_flight_cost).plus(amount) <= t.prepaid;
            let is_false = had_budget && (has_budget || e.kind != Kind::BudgetExhausted);
            log::info!(
                "experiment=refused n={n} kind={} false={is_false} error={:?}",
                e.kind,
                e.message
            );
            if is_false {
                o.false_refusals += 1;
            } else {
                o.true_refusals += 1;
            }
            None
        }
    }
}

/// Returns whether the ledger of every budget is consistent: the committed tokens equal the closed
/// ones plus all grants, and do not exceed the prepaid ones.
///
/// # Errors
/// `BadFormat` if a row cannot be decoded.
pub async fn is_ledger_consistent(fleet: &LocalFleet) -> Result<bool> {
    let memory = &fleet.net.memory;
    let grants = scan_all(memory, "grant/").await?;
    for b in &fleet.config().budgets {
        let row: Versioned<BudgetRow> =
            versioned(read_one(memory, budget_key(&b.id)).await?.as_ref())?;
        let mut sum = row.row.closed;
        for g in grants.iter().filter(|g| g.key.ends_with(&format!("/{}", b.id))) {
            sum = sum.plus(g.decode::<GrantRow>()?.granted);
        }
        if sum != row.row.committed || row.row.committed > b.prepaid {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Runs one policy under one workload, for tests.
///
/// # Errors
/// As [`run`].
pub async fn run_one(
    policy: BudgetPolicy,
    workload: Workload,
    requests: usize,
    seed: u64,
) -> Result<Cell> {
    Trial { policy, workload, requests, rate: 150.0, seed }.run().await
}
