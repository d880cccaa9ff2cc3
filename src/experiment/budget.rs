//! Budget policies under load and faults, judged by an oracle that sees everything.

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

/// Organisations in every workload.
const ORGANISATIONS: usize = 10;
/// Answer tokens asked for.
const MAX_TOKENS: u64 = 24;
/// Bytes of each prompt.
const PROMPT: usize = 40;
/// Time for the ledger to settle at the end.
const SETTLE: Duration = Duration::from_secs(12);
/// How long a caller goes on after refusals other than for its budget.
const PATIENCE: Duration = Duration::from_secs(3);
/// Pause between kills.
const KILL_EVERY: Duration = Duration::from_secs(4);

/// A way to size grants, and whether routers lend to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetPolicy {
    /// A table write for each request.
    PerRequest,
    /// Every router gets an equal part at once.
    EqualSplit,
    /// Grants of a fixed size.
    Fixed,
    /// By observed rate, with lending.
    Ours,
    /// Ours, with this share of each grant spendable without a witness, in per mille.
    Solo(u32),
}

impl BudgetPolicy {
    /// All that are compared.
    pub const ALL: [BudgetPolicy; 4] = [
        BudgetPolicy::PerRequest,
        BudgetPolicy::EqualSplit,
        BudgetPolicy::Fixed,
        BudgetPolicy::Ours,
    ];

    fn name(self) -> String {
        match self {
            BudgetPolicy::PerRequest => "write_per_request".into(),
            BudgetPolicy::EqualSplit => "equal_split".into(),
            BudgetPolicy::Fixed => "fixed_grants".into(),
            BudgetPolicy::Ours => "ours".into(),
            BudgetPolicy::Solo(n) => format!("ours_solo_{}", n / 10),
        }
    }

    fn sizing(self) -> Option<Sizing> {
        match self {
            BudgetPolicy::PerRequest => Some(Sizing::PerRequest),
            // Among the routers that are named to an organisation.
            BudgetPolicy::EqualSplit => Some(Sizing::EqualSplit(3)),
            BudgetPolicy::Fixed => Some(Sizing::Fixed(Tokens(2_000))),
            BudgetPolicy::Ours | BudgetPolicy::Solo(_) => None,
        }
    }

    fn lending(self) -> bool {
        self.sizing().is_none()
    }
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Nothing.
    Steady,
    /// The whole crowd in a short time.
    Crowd,
    /// One organisation sends 60% of everything.
    Skew,
    /// The table is away for a third of the run.
    StoreAway,
    /// One zone is cut off from the table and the other zones, while budgets are topped up.
    ZoneCut,
    /// The same, and a third of the callers is cut off with the zone.
    ZoneCutInside,
    /// A router is killed every few seconds, and replaced.
    Kills,
}

impl Workload {
    /// All that are measured.
    pub const ALL: [Workload; 7] = [
        Workload::Steady,
        Workload::Crowd,
        Workload::Skew,
        Workload::StoreAway,
        Workload::ZoneCut,
        Workload::ZoneCutInside,
        Workload::Kills,
    ];

    fn name(self) -> &'static str {
        match self {
            Workload::Steady => "steady",
            Workload::Crowd => "crowd",
            Workload::Skew => "skew",
            Workload::StoreAway => "store_away",
            Workload::ZoneCut => "zone_cut_top_ups",
            Workload::ZoneCutInside => "zone_cut_callers_inside",
            Workload::Kills => "kills",
        }
    }
}

/// One cell of the result.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How grants were sized.
    pub policy: String,
    /// What happened.
    pub workload: &'static str,
    /// Requests sent.
    pub requests: usize,
    /// Whole answers.
    pub answered: usize,
    /// Tokens billed past what was prepaid.
    pub overspend: u64,
    /// Refusals although what was settled and honestly held left room.
    pub false_refusals: usize,
    /// The same, as a share of all requests in percent.
    pub false_percent: f64,
    /// Refusals because there was no room.
    pub true_refusals: usize,
    /// Tokens granted and neither billed nor given back at the end of the load.
    pub stranded: u64,
    /// Table transactions per 1,000 requests.
    pub table_writes_per_1000: f64,
    /// Time from arrival to the first token at the 99th percentile, less the fastest's, in
    /// virtual microseconds.
    pub admission_p99_us: u64,
    /// Requests billed more than once.
    pub duplicate_bills: usize,
}

/// What the oracle knows of one budget.
#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    prepaid: Tokens,
    spent: Tokens,
    held: Tokens,
}

#[derive(Debug, Default)]
struct Oracle {
    budgets: BTreeMap<BudgetId, Truth>,
    answered: usize,
    false_refusals: usize,
    true_refusals: usize,
}

/// One run.
struct Trial {
    policy: BudgetPolicy,
    workload: Workload,
    requests: usize,
    rate: f64,
    seed: u64,
}

/// Runs every policy under every workload whose `policy/workload` contains `only`.
///
/// # Errors
/// `BadConfig` for the experiment's own configuration.
pub async fn run<F: FnMut(&Cell)>(
    requests: usize,
    seed: u64,
    only: &str,
    mut show: F,
) -> Result<Vec<Cell>> {
    let mut out = Vec::new();
    for workload in Workload::ALL {
        let mut policies = BudgetPolicy::ALL.to_vec();
        if matches!(workload, Workload::ZoneCutInside | Workload::Kills) {
            policies.extend([BudgetPolicy::Solo(100), BudgetPolicy::Solo(300)]);
        }
        policies.retain(|p| format!("{}/{}", p.name(), workload.name()).contains(only));
        for policy in policies {
            let trial = Trial { policy, workload, requests, rate: 150.0, seed };
            let cell = trial.run().await?;
            show(&cell);
            out.push(cell);
        }
    }
    Ok(out)
}

impl Trial {
    fn organisation(n: usize) -> OrganisationId {
        format!("org{n}").parse().expect("a valid name")
    }

    /// Every third budget runs out before the end.
    fn prepaid(&self, n: usize) -> u64 {
        let share = match self.workload {
            Workload::Skew if n == 0 => 0.6,
            Workload::Skew => 0.4 / (ORGANISATIONS - 1) as f64,
            _ => 1.0 / ORGANISATIONS as f64,
        };
        // A prompt of ten tokens and half of the answer tokens that are asked for.
        let use_up = self.requests as f64 * share * (14.0 + MAX_TOKENS as f64 / 2.0);
        (use_up * if n.is_multiple_of(3) { 0.7 } else { 2.0 }) as u64
    }

    fn config(&self) -> String {
        let solo = match self.policy {
            BudgetPolicy::Solo(n) => n / 10,
            _ => 0,
        };
        let mut text = format!(
            "[fleet]\nsolo_share = {solo}%\nentry_lifetime = 1s\n[service chat]\nmodel = m\nbytes_per_token = 4\n"
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
        let began = Instant::now();
        let firsts = self.load(&mut fleet, &oracle, began).await?;
        let stranded = self.stranded(&fleet).await?;
        let writes = fleet.net.memory.counts().txns - before.txns;
        fleet.net.reconnect();
        fleet.net.memory.set_faults(Faults::default());
        sleep(SETTLE).await;
        let cell = self.cell(&fleet, &oracle, &firsts, stranded, writes).await?;
        fleet.close();
        Ok(cell)
    }

    fn oracle(&self, fleet: &LocalFleet) -> Arc<Mutex<Oracle>> {
        let cfg = fleet.config();
        let truth = |b: &crate::config::Budget| {
            (b.id.clone(), Truth { prepaid: b.prepaid, ..Truth::default() })
        };
        let budgets = cfg.budgets.iter().map(truth).collect();
        Arc::new(Mutex::new(Oracle { budgets, ..Oracle::default() }))
    }

    async fn load(
        &self,
        fleet: &mut LocalFleet,
        oracle: &Arc<Mutex<Oracle>>,
        began: Instant,
    ) -> Result<Vec<Duration>> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        fastrand::seed(self.seed);
        let mut caller = fleet.caller();
        let mut sent = JoinSet::new();
        let mut due = began;
        let mut next_kill = began + KILL_EVERY;
        for n in 0..self.requests {
            let part = n as f64 / self.requests as f64;
            due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate_at(part));
            sleep_until(due).await;
            self.happen(fleet, n).await?;
            if self.is_zone_cut() && n == self.requests / 2 {
                top_up(fleet, oracle).await?;
            }
            if self.workload == Workload::Kills && Instant::now() > next_kill {
                next_kill += KILL_EVERY;
                self.replace_one(fleet, &mut rng).await;
                caller = fleet.caller();
            }
            let org = self.choose(&mut rng);
            let mut caller = caller.clone();
            // A third of the callers stands in the zone that is cut off, and cannot leave it.
            let inside = self.workload == Workload::ZoneCutInside && n.is_multiple_of(3);
            caller.reachable_zone =
                if inside && n > self.requests / 3 { Some("c".parse()?) } else { None };
            sent.spawn(send(caller, oracle.clone(), org, n));
        }
        let mut firsts = Vec::new();
        while let Some(first) = sent.join_next().await {
            firsts.extend(first.ok().flatten());
        }
        Ok(firsts)
    }

    fn is_zone_cut(&self) -> bool {
        matches!(self.workload, Workload::ZoneCut | Workload::ZoneCutInside)
    }

    fn rate_at(&self, part: f64) -> f64 {
        match self.workload {
            // A quiet time, then the crowd.
            Workload::Crowd if part < 0.05 => self.rate / 5.0,
            Workload::Crowd => self.rate * 3.0,
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

    async fn happen(&self, fleet: &mut LocalFleet, n: usize) -> Result<()> {
        let (third, two_thirds) = (self.requests / 3, self.requests * 2 / 3);
        let zone = |z: &str| z.parse::<ZoneId>();
        match self.workload {
            Workload::StoreAway if n == third => {
                fleet.net.memory.set_faults(Faults { away: true, ..Faults::default() });
            }
            Workload::StoreAway if n == two_thirds => {
                fleet.net.memory.set_faults(Faults::default())
            }
            Workload::ZoneCut | Workload::ZoneCutInside if n == third => {
                fleet.net.cut_platform(&zone("c")?);
                fleet.net.cut(&zone("c")?, &zone("a")?);
                fleet.net.cut(&zone("c")?, &zone("b")?);
            }
            Workload::ZoneCut | Workload::ZoneCutInside if n == two_thirds => fleet.net.reconnect(),
            _ => {}
        }
        Ok(())
    }

    async fn replace_one(&self, fleet: &mut LocalFleet, rng: &mut fastrand::Rng) {
        let up = fleet.up();
        let victim = up[rng.usize(..up.len())];
        let zone = fleet.members[victim].zone.clone();
        fleet.kill(victim);
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
        firsts: &[Duration],
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
        for (id, truth) in &o.budgets {
            let billed = bills.iter().filter(|b| b.budget == *id);
            let billed = billed.fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
            let over = billed.0.max(truth.spent.0).saturating_sub(truth.prepaid.0);
            if over > 0 {
                let (spent, prepaid) = (truth.spent, truth.prepaid);
                log::error!(
                    "experiment=overspend budget={id} billed={billed} spent={spent} prepaid={prepaid}"
                );
            }
            overspend += over;
        }
        let mut h: Histogram<u64> = Histogram::new(3).expect("three digits are in range");
        let fastest = firsts.iter().min().copied().unwrap_or_default();
        for f in firsts {
            // Histograms resize by themselves; a record cannot fail.
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

/// Every budget gets a fifth more.
async fn top_up(fleet: &LocalFleet, oracle: &Arc<Mutex<Oracle>>) -> Result<()> {
    let cfg = fleet.config();
    let mut text = String::new();
    for b in &cfg.budgets {
        let more = Tokens(b.prepaid.0 + b.prepaid.0 / 5);
        text += &format!("[budget {}]\nprepaid = {more}\n", b.id);
    }
    fleet.submit_text(&text).await?;
    let mut o = oracle.lock().expect("never poisoned");
    for (_, truth) in o.budgets.iter_mut() {
        truth.prepaid = Tokens(truth.prepaid.0 + truth.prepaid.0 / 5);
    }
    Ok(())
}

/// One request, with the oracle looking on. Time to the first token, if there was one.
async fn send(
    caller: LocalCaller,
    oracle: Arc<Mutex<Oracle>>,
    org: usize,
    n: usize,
) -> Option<Duration> {
    let organisation = Trial::organisation(org);
    let mut prompt = format!("request {n} ");
    prompt.extend(std::iter::repeat_n('x', PROMPT.saturating_sub(prompt.len())));
    let id: BudgetId = format!("{organisation}/main").parse().expect("a valid name");
    let amount = Tokens((prompt.len() as u64).div_ceil(4) + MAX_TOKENS);
    let key = format!("k{n}").parse().expect("a valid name");
    let req = LocalRequest { organisation, key, prompt, max_tokens: MAX_TOKENS };
    // From here on the request may hold its largest cost, and the oracle allows it that.
    let had_room = {
        let mut o = oracle.lock().expect("never poisoned");
        let t = o.budgets.get_mut(&id)?;
        let room = t.spent.plus(t.held).plus(amount) <= t.prepaid;
        t.held = t.held.plus(if room { amount } else { Tokens::ZERO });
        room
    };
    let result = caller.send("chat", &req, PATIENCE).await;
    let mut o = oracle.lock().expect("never poisoned");
    let t = o.budgets.get_mut(&id)?;
    t.held = t.held.minus(if had_room { amount } else { Tokens::ZERO });
    match result {
        Ok(a) => {
            t.spent = t.spent.plus(Tokens(a.usage.prompt_tokens + a.usage.tokens));
            o.answered += 1;
            Some(a.first)
        }
        Err(e) => {
            let has_room = t.spent.plus(t.held).plus(amount) <= t.prepaid;
            let is_false = had_room && (has_room || e.kind != Kind::BudgetExhausted);
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

/// Checks that a ledger adds up: committed is closed plus all grants.
///
/// # Errors
/// `BadFormat` for a row that cannot be read.
pub async fn ledger_adds_up(fleet: &LocalFleet) -> Result<bool> {
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

/// Runs one cell, for tests.
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
