//! Random schedules of several holders, their witnesses and one ledger. Both budget invariants are
//! checked after every step.

use kingcupwall::budget::holder::{
    Admission, Effect, HoldId, Holder, Limit, LoadedRows, Protection,
};
use kingcupwall::budget::ledger::{Bill, BudgetRow, GrantChange, GrantRow, Versioned};
use kingcupwall::budget::sizing::Sizing;
use kingcupwall::ids::{BudgetId, Digest, Millis, Revision, Tokens};
use kingcupwall::table::Version;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::workdir::name;

const HOLDERS: usize = 3;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this size arrives at this holder.
    Admit(usize, u64),
    /// The oldest request of a holder ends with this percentage of its hold as its cost.
    End(usize, u64),
    /// The oldest request of a holder is cancelled without having run.
    Cancel(usize),
    /// The next effect of a holder is performed.
    RunEffect(usize),
    /// The next write of a holder is applied, but its answer arrives only with the next effect.
    DelayAnswer(usize),
    /// This many milliseconds pass for all holders.
    Tick(u64),
    /// The prepaid amount is raised.
    TopUp(u64),
    /// A holder crashes and its witness reclaims its grant.
    Kill(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let h = 0..HOLDERS;
    prop_oneof![
        8 => (h.clone(), 1..60_u64).prop_map(|(h, n)| Step::Admit(h, n)),
        6 => (h.clone(), 0..=100_u64).prop_map(|(h, n)| Step::End(h, n)),
        1 => h.clone().prop_map(Step::Cancel),
        12 => h.clone().prop_map(Step::RunEffect),
        2 => h.clone().prop_map(Step::DelayAnswer),
        4 => (1..3_000_u64).prop_map(Step::Tick),
        1 => (1..300_u64).prop_map(Step::TopUp),
        1 => h.prop_map(Step::Kill),
    ]
}

struct SimHolder {
    holder: Holder,
    effects: Vec<Effect>,
    /// An applied write whose answer has not arrived yet.
    delayed_answer: Option<(BudgetId, Version)>,
    running: Vec<(HoldId, Tokens)>,
    /// Copies at the witness: the hold, and its amount or final cost.
    copies: Vec<(HoldId, Tokens)>,
    grant: Versioned<GrantRow>,
    alive: bool,
}

struct Simulation {
    prepaid: Tokens,
    revision: u64,
    now: Millis,
    version: u64,
    budget: Versioned<BudgetRow>,
    holders: Vec<SimHolder>,
    spent: Tokens,
    next_key: u64,
    /// Makes the ledger skip its guards, to test that the checks find such a fault.
    skip_guards: bool,
}

fn id() -> BudgetId {
    name("acme/main")
}

impl Simulation {
    fn new(prepaid: u64, skip_guards: bool) -> Simulation {
        let sim_holder = |_| SimHolder {
            holder: Holder::new(Sizing::ByRate { horizon: Millis(2_000) }),
            effects: Vec::new(),
            delayed_answer: None,
            running: Vec::new(),
            copies: Vec::new(),
            grant: Versioned::default(),
            alive: true,
        };
        Simulation {
            prepaid: Tokens(prepaid),
            revision: 1,
            now: Millis(1_000_000),
            version: 0,
            budget: Versioned::default(),
            holders: (0..HOLDERS).map(sim_holder).collect(),
            spent: Tokens::ZERO,
            next_key: 0,
            skip_guards,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Admit(h, n) => self.admit(h, Tokens(n)),
            Step::End(h, share) => self.end(h, share),
            Step::Cancel(h) => self.cancel(h),
            Step::RunEffect(h) => self.run_effect(h, false),
            Step::DelayAnswer(h) => self.run_effect(h, true),
            Step::Tick(ms) => self.tick(ms),
            Step::TopUp(n) => {
                self.prepaid = self.prepaid.plus(Tokens(n));
                self.revision += 1;
            }
            Step::Kill(h) => self.kill(h),
        }
    }

    fn admit(&mut self, h: usize, amount: Tokens) {
        let limit = Limit { prepaid: self.prepaid, revision: Revision(self.revision) };
        let now = self.now;
        let sim_holder = &mut self.holders[h];
        if !sim_holder.alive {
            return;
        }
        let (admission, effects) =
            sim_holder.holder.admit(now, &id(), limit, amount, Protection::Witness, true);
        sim_holder.effects.extend(effects);
        match admission {
            Admission::Held(hold) => sim_holder.start(hold, amount),
            Admission::Wait(ticket) => sim_holder.copies.push((ticket, amount)),
            Admission::Refused(_) => {}
        }
    }

    fn end(&mut self, h: usize, share: u64) {
        let sim_holder = &mut self.holders[h];
        if !sim_holder.alive || sim_holder.running.is_empty() {
            return;
        }
        let (hold, amount) = sim_holder.running.remove(0);
        let cost = amount.scaled(share, 100);
        self.next_key += 1;
        self.spent = self.spent.plus(cost);
        let bill = Bill {
            organisation: name("acme"),
            key: name(&format!("k{}", self.next_key)),
            content: Digest::of(b""),
            budget: id(),
            run: name("r"),
            cost,
        };
        let index = sim_holder
            .copies
            .iter()
            .position(|(c, _)| *c == hold)
            .expect("a running hold has a copy");
        sim_holder.copies[index].1 = cost;
        let (_, effects) = sim_holder.holder.settle(self.now, hold, bill);
        sim_holder.effects.extend(effects);
    }

    fn cancel(&mut self, h: usize) {
        let sim_holder = &mut self.holders[h];
        if sim_holder.alive && !sim_holder.running.is_empty() {
            let (hold, _) = sim_holder.running.remove(0);
            sim_holder.holder.cancel(hold);
            sim_holder.copies.retain(|(c, _)| *c != hold);
        }
    }

    fn run_effect(&mut self, h: usize, delay_answer: bool) {
        let now = self.now;
        if !self.holders[h].alive {
            return;
        }
        if let Some((id, version)) = self.holders[h].delayed_answer.take() {
            let effects = self.holders[h].holder.changed(now, &id, Some(version));
            self.holders[h].effects.extend(effects);
            return;
        }
        if self.holders[h].effects.is_empty() {
            return;
        }
        match self.holders[h].effects.remove(0) {
            Effect::Load(id) => {
                let loaded = LoadedRows {
                    budget: self.budget,
                    grant: self.holders[h].grant,
                    billed: Vec::new(),
                };
                let effects = self.holders[h].holder.loaded(now, &id, loaded);
                self.holders[h].effects.extend(effects);
            }
            Effect::Write(id, change, budget, grant) => {
                let version = self.write(h, &change, budget, grant);
                if let (true, Some(v)) = (delay_answer, version) {
                    self.holders[h].delayed_answer = Some((id, v));
                    return;
                }
                let effects = self.holders[h].holder.changed(now, &id, version);
                self.holders[h].effects.extend(effects);
            }
            Effect::Notify(v) => self.holders[h].on_wait_result(v.ticket, v.refused.is_none()),
            Effect::Recorded(holds) => self.holders[h].copies.retain(|(c, _)| !holds.contains(c)),
        }
    }

    /// Applies a change to the ledger as the table does: guards first, then rows.
    fn write(
        &mut self,
        h: usize,
        change: &GrantChange,
        budget: Versioned<BudgetRow>,
        grant: Versioned<GrantRow>,
    ) -> Option<Version> {
        let stale = change.changes_budget_row() && budget.version != self.budget.version;
        if (stale || grant.version != self.holders[h].grant.version) && !self.skip_guards {
            return None;
        }
        self.version += 1;
        let version = Version(self.version);
        let (b, g) = change.after(budget.row, grant.row);
        if change.changes_budget_row() {
            self.budget = Versioned { version: Some(version), row: b };
        }
        self.holders[h].grant = if change.close {
            Versioned::default()
        } else {
            Versioned { version: Some(version), row: g }
        };
        Some(version)
    }

    fn tick(&mut self, ms: u64) {
        self.now = Millis(self.now.0 + ms);
        for sim_holder in self.holders.iter_mut().filter(|o| o.alive) {
            sim_holder.effects.extend(sim_holder.holder.tick(self.now));
        }
    }

    /// Crashes a holder. Its witness seals it and releases whatever no copy accounts for, and a new
    /// incarnation starts without grants.
    fn kill(&mut self, h: usize) {
        let sim_holder = &mut self.holders[h];
        let row = sim_holder.grant.row;
        // Requests that run during the crash end at their full cost.
        let running = sim_holder.running.iter().fold(Tokens::ZERO, |sum, (_, n)| sum.plus(*n));
        self.spent = self.spent.plus(running);
        let alive_copies = sim_holder.copies.iter().filter(|(c, _)| !sim_holder.is_waiting(*c));
        let outstanding = alive_copies.fold(Tokens::ZERO, |sum, (_, n)| sum.plus(*n));
        let needed = Tokens(row.settled.plus(outstanding).0.min(row.granted.0));
        self.version += 1;
        let b = self.budget.row;
        let back = row.granted.minus(needed);
        let after =
            BudgetRow { committed: b.committed.minus(back), closed: b.closed.plus(needed), ..b };
        if sim_holder.grant.version.is_some() {
            self.budget = Versioned { version: Some(Version(self.version)), row: after };
        }
        *sim_holder = SimHolder {
            holder: Holder::new(Sizing::ByRate { horizon: Millis(2_000) }),
            effects: Vec::new(),
            delayed_answer: None,
            running: Vec::new(),
            copies: Vec::new(),
            grant: Versioned::default(),
            alive: true,
        };
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let granted =
            self.holders.iter().fold(Tokens::ZERO, |sum, o| sum.plus(o.grant.row.granted));
        let b = self.budget.row;
        prop_assert!(b.committed <= self.prepaid, "committed {} of {}", b.committed, self.prepaid);
        prop_assert_eq!(b.closed.plus(granted), b.committed, "the ledger adds up");
        prop_assert!(self.spent <= self.prepaid, "spent {} of {}", self.spent, self.prepaid);
        // A running request may still cost its whole hold.
        let running = self
            .holders
            .iter()
            .flat_map(|o| &o.running)
            .fold(self.spent, |sum, (_, n)| sum.plus(*n));
        prop_assert!(running <= self.prepaid, "{} may be spent of {}", running, self.prepaid);
        for o in &self.holders {
            let u = o.holder.usage(&id());
            let out = u.settled.plus(u.unrecorded).plus(u.held);
            prop_assert!(out <= u.granted, "{u:?}");
        }
        Ok(())
    }
}

impl SimHolder {
    fn start(&mut self, hold: HoldId, amount: Tokens) {
        self.running.push((hold, amount));
        self.copies.push((hold, amount));
    }

    fn is_waiting(&self, hold: HoldId) -> bool {
        !self.running.iter().any(|(r, _)| *r == hold)
            && self.effects.iter().any(|e| is_result_for(e, hold))
    }

    fn on_wait_result(&mut self, ticket: HoldId, held: bool) {
        let Some(index) = self.copies.iter().position(|(c, _)| *c == ticket) else { return };
        let (_, amount) = self.copies.remove(index);
        if held {
            self.start(ticket, amount);
        }
    }
}

fn is_result_for(e: &Effect, hold: HoldId) -> bool {
    matches!(e, Effect::Notify(v) if v.ticket == hold)
}

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn run(
    cases: u32,
    skip_guards: bool,
) -> Result<(), proptest::test_runner::TestError<(u64, Vec<Step>)>> {
    let schedule = (0..2_000_u64, prop::collection::vec(step(), 1..250));
    runner(cases).run(&schedule, |(prepaid, steps)| {
        let mut simulation = Simulation::new(prepaid, skip_guards);
        for s in &steps {
            simulation.step(s);
            simulation.check()?;
        }
        Ok(())
    })
}

/// Number of schedules to try. `KINGCUPWALL_SCHEDULES` overrides it for a longer run.
fn schedules() -> u32 {
    std::env::var("KINGCUPWALL_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

#[test]
fn invariants_random_schedules() {
    // Guards against overspending in some unforeseen order of grants, ends, delayed answers,
    // top-ups, crashes and reclaims.
    if let Err(e) = run(schedules(), false) {
        panic!("{e}");
    }
}

#[test]
fn invariants_planted_mistake() {
    // Guards against checks that find nothing: a ledger that ignores its guards must fail them.
    assert!(run(schedules(), true).is_err());
}
