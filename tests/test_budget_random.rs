//! Random schedules of several holders, their witnesses and one ledger. After every step both
//! invariants are checked.

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

/// What can happen.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this size at this holder.
    Admission(usize, u64),
    /// The oldest request of a holder ends at this share of its hold.
    End(usize, u64),
    /// The oldest request of a holder turns out not to run.
    Cancel(usize),
    /// The holder's next effect is carried out.
    Carry(usize),
    /// The holder's next write takes effect, and its answer comes only with the next carry.
    LoseAnswer(usize),
    /// Time passes for all.
    Tick(u64),
    /// More is prepaid.
    TopUp(u64),
    /// A holder dies; its witness reclaims.
    Kill(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let h = 0..HOLDERS;
    prop_oneof![
        8 => (h.clone(), 1..60_u64).prop_map(|(h, n)| Step::Admission(h, n)),
        6 => (h.clone(), 0..=100_u64).prop_map(|(h, n)| Step::End(h, n)),
        1 => h.clone().prop_map(Step::Cancel),
        12 => h.clone().prop_map(Step::Carry),
        2 => h.clone().prop_map(Step::LoseAnswer),
        4 => (1..3_000_u64).prop_map(Step::Tick),
        1 => (1..300_u64).prop_map(Step::TopUp),
        1 => h.prop_map(Step::Kill),
    ]
}

struct One {
    holder: Holder,
    effects: Vec<Effect>,
    /// An applied write whose answer is on its way.
    late: Option<(BudgetId, Version)>,
    running: Vec<(HoldId, Tokens)>,
    /// Copies at the witness: hold, amount or cost.
    copies: Vec<(HoldId, Tokens)>,
    grant: Versioned<GrantRow>,
    alive: bool,
}

struct World {
    prepaid: Tokens,
    revision: u64,
    now: Millis,
    version: u64,
    budget: Versioned<BudgetRow>,
    ones: Vec<One>,
    spent: Tokens,
    next_key: u64,
    /// Plants a mistake: writes skip their guards.
    blind: bool,
}

fn id() -> BudgetId {
    name("acme/main")
}

impl World {
    fn new(prepaid: u64, blind: bool) -> World {
        let one = |_| One {
            holder: Holder::new(Sizing::ByRate { horizon: Millis(2_000) }),
            effects: Vec::new(),
            late: None,
            running: Vec::new(),
            copies: Vec::new(),
            grant: Versioned::default(),
            alive: true,
        };
        World {
            prepaid: Tokens(prepaid),
            revision: 1,
            now: Millis(1_000_000),
            version: 0,
            budget: Versioned::default(),
            ones: (0..HOLDERS).map(one).collect(),
            spent: Tokens::ZERO,
            next_key: 0,
            blind,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Admission(h, n) => self.admit(h, Tokens(n)),
            Step::End(h, share) => self.end(h, share),
            Step::Cancel(h) => self.cancel(h),
            Step::Carry(h) => self.carry(h, false),
            Step::LoseAnswer(h) => self.carry(h, true),
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
        let one = &mut self.ones[h];
        if !one.alive {
            return;
        }
        let (admit, effects) =
            one.holder.admit(now, &id(), limit, amount, Protection::Witness, true);
        one.effects.extend(effects);
        match admit {
            Admission::Held(hold) => one.start(hold, amount),
            Admission::Wait(ticket) => one.copies.push((ticket, amount)),
            Admission::Refused(_) => {}
        }
    }

    fn end(&mut self, h: usize, share: u64) {
        let one = &mut self.ones[h];
        if !one.alive || one.running.is_empty() {
            return;
        }
        let (hold, amount) = one.running.remove(0);
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
        let index =
            one.copies.iter().position(|(c, _)| *c == hold).expect("a running hold has a copy");
        one.copies[index].1 = cost;
        let (_, effects) = one.holder.settle(self.now, hold, bill);
        one.effects.extend(effects);
    }

    fn cancel(&mut self, h: usize) {
        let one = &mut self.ones[h];
        if one.alive && !one.running.is_empty() {
            let (hold, _) = one.running.remove(0);
            one.holder.cancel(hold);
            one.copies.retain(|(c, _)| *c != hold);
        }
    }

    fn carry(&mut self, h: usize, lose_answer: bool) {
        let now = self.now;
        if !self.ones[h].alive {
            return;
        }
        if let Some((id, version)) = self.ones[h].late.take() {
            let effects = self.ones[h].holder.changed(now, &id, Some(version));
            self.ones[h].effects.extend(effects);
            return;
        }
        if self.ones[h].effects.is_empty() {
            return;
        }
        match self.ones[h].effects.remove(0) {
            Effect::Load(id) => {
                let loaded = LoadedRows {
                    budget: self.budget,
                    grant: self.ones[h].grant,
                    billed: Vec::new(),
                };
                let effects = self.ones[h].holder.loaded(now, &id, loaded);
                self.ones[h].effects.extend(effects);
            }
            Effect::Write(id, change, budget, grant) => {
                let version = self.write(h, &change, budget, grant);
                if let (true, Some(v)) = (lose_answer, version) {
                    self.ones[h].late = Some((id, v));
                    return;
                }
                let effects = self.ones[h].holder.changed(now, &id, version);
                self.ones[h].effects.extend(effects);
            }
            Effect::Notify(v) => self.ones[h].told(v.ticket, v.refused.is_none()),
            Effect::Recorded(holds) => self.ones[h].copies.retain(|(c, _)| !holds.contains(c)),
        }
    }

    /// The ledger: guards, then rows, as the table does it.
    fn write(
        &mut self,
        h: usize,
        change: &GrantChange,
        budget: Versioned<BudgetRow>,
        grant: Versioned<GrantRow>,
    ) -> Option<Version> {
        let stale = change.changes_budget_row() && budget.version != self.budget.version;
        if (stale || grant.version != self.ones[h].grant.version) && !self.blind {
            return None;
        }
        self.version += 1;
        let version = Version(self.version);
        let (b, g) = change.after(budget.row, grant.row);
        if change.changes_budget_row() {
            self.budget = Versioned { version: Some(version), row: b };
        }
        self.ones[h].grant = if change.close {
            Versioned::default()
        } else {
            Versioned { version: Some(version), row: g }
        };
        Some(version)
    }

    fn tick(&mut self, ms: u64) {
        self.now = Millis(self.now.0 + ms);
        for one in self.ones.iter_mut().filter(|o| o.alive) {
            one.effects.extend(one.holder.tick(self.now));
        }
    }

    /// The holder stops where it is; the witness seals it, gives back what no copy stands for,
    /// and a new incarnation starts with nothing.
    fn kill(&mut self, h: usize) {
        let one = &mut self.ones[h];
        let row = one.grant.row;
        // What runs at its death ends there, at its full cost.
        let running = one.running.iter().fold(Tokens::ZERO, |sum, (_, n)| sum.plus(*n));
        self.spent = self.spent.plus(running);
        let alive_copies = one.copies.iter().filter(|(c, _)| !one.is_waiting(*c));
        let outstanding = alive_copies.fold(Tokens::ZERO, |sum, (_, n)| sum.plus(*n));
        let needed = Tokens(row.settled.plus(outstanding).0.min(row.granted.0));
        self.version += 1;
        let b = self.budget.row;
        let back = row.granted.minus(needed);
        let after =
            BudgetRow { committed: b.committed.minus(back), closed: b.closed.plus(needed), ..b };
        if one.grant.version.is_some() {
            self.budget = Versioned { version: Some(Version(self.version)), row: after };
        }
        *one = One {
            holder: Holder::new(Sizing::ByRate { horizon: Millis(2_000) }),
            effects: Vec::new(),
            late: None,
            running: Vec::new(),
            copies: Vec::new(),
            grant: Versioned::default(),
            alive: true,
        };
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let granted = self.ones.iter().fold(Tokens::ZERO, |sum, o| sum.plus(o.grant.row.granted));
        let b = self.budget.row;
        prop_assert!(b.committed <= self.prepaid, "committed {} of {}", b.committed, self.prepaid);
        prop_assert_eq!(b.closed.plus(granted), b.committed, "the ledger adds up");
        prop_assert!(self.spent <= self.prepaid, "spent {} of {}", self.spent, self.prepaid);
        // Whatever runs may yet cost its whole hold.
        let running =
            self.ones.iter().flat_map(|o| &o.running).fold(self.spent, |sum, (_, n)| sum.plus(*n));
        prop_assert!(running <= self.prepaid, "{} may be spent of {}", running, self.prepaid);
        for o in &self.ones {
            let u = o.holder.usage(&id());
            let out = u.settled.plus(u.unrecorded).plus(u.held);
            prop_assert!(out <= u.granted, "{u:?}");
        }
        Ok(())
    }
}

impl One {
    fn start(&mut self, hold: HoldId, amount: Tokens) {
        self.running.push((hold, amount));
        self.copies.push((hold, amount));
    }

    fn is_waiting(&self, hold: HoldId) -> bool {
        !self.running.iter().any(|(r, _)| *r == hold) && self.effects.iter().any(|e| tells(e, hold))
    }

    fn told(&mut self, ticket: HoldId, held: bool) {
        let Some(index) = self.copies.iter().position(|(c, _)| *c == ticket) else { return };
        let (_, amount) = self.copies.remove(index);
        if held {
            self.start(ticket, amount);
        }
    }
}

fn tells(e: &Effect, hold: HoldId) -> bool {
    matches!(e, Effect::Notify(v) if v.ticket == hold)
}

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn run(cases: u32, blind: bool) -> Result<(), proptest::test_runner::TestError<(u64, Vec<Step>)>> {
    let schedule = (0..2_000_u64, prop::collection::vec(step(), 1..250));
    runner(cases).run(&schedule, |(prepaid, steps)| {
        let mut world = World::new(prepaid, blind);
        for s in &steps {
            world.step(s);
            world.check()?;
        }
        Ok(())
    })
}

/// Schedules tried; set `KINGCUPWALL_SCHEDULES` for a longer run.
fn schedules() -> u32 {
    std::env::var("KINGCUPWALL_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

#[test]
fn invariants_random_schedules() {
    // An organisation spends past what it prepaid, by some order of grants, ends, lost answers,
    // top-ups, deaths and reclaims that nobody thought of.
    if let Err(e) = run(schedules(), false) {
        panic!("{e}");
    }
}

#[test]
fn invariants_planted_mistake() {
    // The check itself: a ledger that ignores its guards must be caught.
    assert!(run(schedules(), true).is_err());
}
