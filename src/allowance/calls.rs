//! The keeper's calls to the store: which are due, and what becomes of them.
//!
//! Each ledger row has a partition of its own, so that trouble with one organisation's row holds
//! up no other. Calls for different rows run side by side; a row has one call at a time.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep};

use super::account::{Plan, Sizing};
use super::keeper::{Keeper, Slot};
use super::ledger::{Closing, Ledger};
use crate::rows::{Committed, Row, RowKey, RowStore, StoreError, Tx, Ver};

/// The table of ledgers, one row an organisation.
const TABLE: &str = "budgets";
/// How long after its start a router that spends nothing closes what its predecessors left open,
/// at the latest, for each router of the fleet. All routers start at once after a death of all;
/// spread over this time, those that serve requests do not race with those that do not. One row
/// is then written some 30 times a second, which a write of 10 ms allows.
const IDLE_CLOSE: Duration = Duration::from_millis(30);
/// Routers that are reckoned with until it is known how many there are.
const ROUTERS_UNKNOWN: u64 = 64;
/// Pause between two readings of a ledger while a request waits in vain. Shorter ones cost more
/// store calls than all writes together once many organisations are nearly spent.
const REREAD: Duration = Duration::from_millis(750);
/// Pause for a ledger after a call for it that the store turned away or did not answer.
pub(super) const BACKOFF: Duration = Duration::from_millis(150);
/// Calls to the store at once. Each takes some 10 ms, so this is over a thousand a second, more
/// than a router's part of what the store takes; partitions that are silent hold up some.
const CALLS_AT_ONCE: usize = 12;
/// Ledgers in one transaction, at first and at most. The store takes 100 entries, a condition and
/// a write for each ledger. Fewer calls cost less, but one ledger that another router has just
/// written turns the whole transaction away: halved at each conflict or failure, one more after
/// each success. Measured with 60 routers and 24 organisations, all in one: ten conflicts a write.
pub(super) const BATCH: (usize, usize) = (4, 40);
/// Writes of a ledger in a row that lost the race for it before a pause is made.
const RACES: u32 = 4;
/// The pause after lost races, ms.
const RACE_PAUSE_MS: std::ops::Range<u64> = 2..12;

/// A call for the rows of one or more organisations.
pub(super) enum Call {
    Read(CompactString),
    Write(Vec<(CompactString, Plan)>),
}

/// A line that should be written.
struct Due {
    /// Whether a request waits for it.
    starved: bool,
    /// Whether the latest call for its row failed.
    failing: bool,
    org: CompactString,
    plan: Plan,
}

impl Call {
    fn orgs(&self) -> impl Iterator<Item = &CompactString> {
        let (read, written) = match self {
            Call::Read(org) => (Some(org), &[][..]),
            Call::Write(plans) => (None, &plans[..]),
        };
        read.into_iter().chain(written.iter().map(|(org, _)| org))
    }
}

impl<S: RowStore> Keeper<S> {
    /// The calls to make now; their rows count as under way from here on. Those that requests
    /// wait for come first.
    pub(super) fn due_calls(&self) -> Vec<Call> {
        let room = CALLS_AT_ONCE.saturating_sub(self.under_way.get());
        let plans = self.plans();
        let mut calls = self.reads(&plans);
        let (starved, others): (Vec<_>, Vec<_>) = plans.into_iter().partition(|d| d.starved);
        for due in [starved, others] {
            // A row whose partition is down would hold up all that go with it, for as long as it
            // is down: nothing spent of those budgets is proved then. What failed goes alone until
            // it has succeeded.
            let (alone, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.failing);
            let write = |due: Vec<Due>| due.into_iter().map(|d| (d.org, d.plan)).collect();
            calls.extend(alone.into_iter().map(|d| Call::Write(write(vec![d]))));
            let rest: Vec<_> = write(rest);
            calls.extend(rest.chunks(self.batch.get()).map(|c| Call::Write(c.to_vec())));
        }
        calls.truncate(room);
        let now = Instant::now();
        for org in calls.iter().flat_map(Call::orgs) {
            self.with_slot(org, |s| s.sent = Some(now));
        }
        calls
    }

    /// Ledgers to read: those not known yet, and those of which a request waits for a part that
    /// does not seem to be there. Other routers give back what they do not need, and this one
    /// would not hear of it.
    fn reads(&self, plans: &[Due]) -> Vec<Call> {
        let now = Instant::now();
        let slots = self.slots.borrow();
        let is_planned = |s: &Slot| plans.binary_search_by(|d| d.org.cmp(&s.org)).is_ok();
        let stale = |s: &Slot| s.account.is_starved(now) && now - s.read > REREAD && !is_planned(s);
        let due = slots.iter().filter(|s| s.is_free(now) && (!s.account.is_known() || stale(s)));
        let mut due: Vec<&Slot> = due.collect();
        due.sort_by_key(|s| !s.account.is_starved(now));
        due.into_iter().map(|s| Call::Read(s.org.clone())).collect()
    }

    /// Lines to write, by organisation.
    fn plans(&self) -> Vec<Due> {
        let Some(seen) = self.seen.get() else { return Vec::new() };
        let now = Instant::now();
        let routers = self.routers.get().unwrap_or(ROUTERS_UNKNOWN);
        let turn = self.started + IDLE_CLOSE.mul_f64(self.turn * routers as f64);
        let sizing =
            Sizing { horizon_ms: self.settings.horizon_ms, routers, close_idle: now >= turn };
        let began = self.began.get().unwrap_or(seen.at);
        let slots = self.slots.borrow();
        let plan = |s: &Slot| {
            let plan = s.account.plan(began, seen.at, now, sizing)?;
            let starved = s.account.is_starved(now);
            Some(Due { starved, failing: s.failing, org: s.org.clone(), plan })
        };
        slots.iter().filter(|s| s.is_free(now)).filter_map(plan).collect()
    }

    pub(super) async fn perform(&self, call: Call) {
        self.under_way.set(self.under_way.get() + 1);
        let went = match &call {
            Call::Read(org) => self.read(org).await,
            Call::Write(plans) => self.write(plans).await,
        };
        if went == Went::Lost && call.orgs().any(|org| self.lost_often(org)) {
            sleep(Duration::from_millis(fastrand::u64(RACE_PAUSE_MS))).await;
        }
        let now = Instant::now();
        for org in call.orgs() {
            self.with_slot(org, |s| {
                s.sent = None;
                s.failing = went == Went::Failed;
                s.not_before = if s.failing { now + BACKOFF } else { now };
            });
        }
        self.under_way.set(self.under_way.get() - 1);
        self.changed.notify_waiters();
    }

    fn lost_often(&self, org: &str) -> bool {
        self.with_slot(org, |s| s.races >= RACES).unwrap_or(false)
    }

    /// Reads a ledger; a missing row is an untouched budget.
    async fn read(&self, org: &str) -> Went {
        let page = match self.store.scan(TABLE, org).await {
            Ok(page) => page,
            Err(e) => {
                self.log.note("budget_read", format_args!("org={org} outcome=failed cause={e}"));
                return Went::Failed;
            }
        };
        self.saw(page.now);
        let row = page.rows.iter().find(|r| r.at.key == org);
        let value = row.and_then(|r| r.value.clone()).unwrap_or_default();
        let ver = row.map_or(Ver(0), |r| r.ver);
        self.with_slot(org, |slot| {
            slot.read = Instant::now();
            self.take_in(slot, &value, ver);
        });
        Went::Well
    }

    /// Only a row without a version is an untouched budget. One that has a version and no
    /// readable value is an error, and nothing is spent from it.
    fn take_in(&self, slot: &mut Slot, value: &[u8], ver: Ver) {
        let ledger = if ver.0 == 0 { Ok(Ledger::default()) } else { Ledger::decode(value) };
        match ledger {
            Ok(ledger) => slot.account.observe(ledger, ver),
            Err(e) => self.log.note("budget_row", format_args!("org={} error={e}", slot.org)),
        }
    }

    fn take_in_row(&self, row: &Row) {
        let value = row.value.clone().unwrap_or_default();
        self.with_slot(&row.at.key, |slot| self.take_in(slot, &value, row.ver));
    }

    /// Sends one transaction.
    async fn write(&self, plans: &[(CompactString, Plan)]) -> Went {
        let Some(seen) = self.seen.get() else { return Went::Failed };
        // Once this process has left the ledgers, a new line would count its spending twice.
        if self.stopped.get() {
            return Went::Failed;
        }
        let mut tx = Tx::default();
        for (org, plan) in plans {
            let at = RowKey::alone(TABLE, org);
            tx.expect.push((at.clone(), plan.expect));
            tx.write.push((at, Bytes::from(plan.ledger.encode())));
            self.with(org, |a| a.sending(plan, seen.learnt));
        }
        let sent = Instant::now();
        let outcome = self.store.commit(&tx).await;
        let went = self.conclude(plans, outcome, sent);
        self.sized(went);
        for (org, _) in plans {
            self.with_slot(org, |s| s.races = if went == Went::Lost { s.races + 1 } else { 0 });
        }
        went
    }

    fn conclude(
        &self,
        plans: &[(CompactString, Plan)],
        outcome: Result<Committed, StoreError>,
        sent: Instant,
    ) -> Went {
        let ms = sent.elapsed().as_millis();
        let n = plans.len();
        match outcome {
            Ok(done) => {
                self.saw(done.now);
                let now = Instant::now();
                for (org, plan) in plans {
                    self.with(org, |a| a.committed(plan, done.ver, now));
                    plan.closes.iter().for_each(|c| self.note_closing(org, c));
                }
                self.log.routine(
                    "grant",
                    format_args!(
                        "orgs={n} ver={} store_ms={} took_ms={ms} outcome=written",
                        done.ver, done.now
                    ),
                );
                Went::Well
            }
            Err(StoreError::Conflict(rows)) => {
                for (org, plan) in plans {
                    self.with(org, |a| a.rejected(plan));
                }
                rows.iter().for_each(|row| self.take_in_row(row));
                self.log.routine("grant", format_args!("orgs={n} took_ms={ms} outcome=conflict"));
                Went::Lost
            }
            Err(e @ StoreError::Rejected(_)) => {
                for (org, plan) in plans {
                    self.with(org, |a| a.rejected(plan));
                }
                self.log.note("grant", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                Went::Failed
            }
            Err(e) => {
                self.log.note("grant", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                Went::Failed
            }
        }
    }

    /// What a dead process may have spent: the first line to read when an organisation disputes
    /// a refusal after a death.
    fn note_closing(&self, org: &str, c: &Closing) {
        self.log.note(
            "closed",
            format_args!(
                "org={org} process={} settled={} floor={} spent={} doubt={} back={} age_ms={}",
                c.name,
                c.settled,
                c.floor,
                c.spent,
                c.doubt(),
                c.back,
                c.age_ms
            ),
        );
    }

    pub(super) fn farewells(&self) -> Vec<(CompactString, Ledger, Ver)> {
        let leaving = |s: &Slot| s.account.farewell().map(|(l, v)| (s.org.clone(), l, v));
        self.slots.borrow().iter().filter_map(leaving).collect()
    }

    pub(super) async fn take_leave(&self, farewells: &[(CompactString, Ledger, Ver)]) -> Went {
        let mut tx = Tx::default();
        for (org, ledger, ver) in farewells {
            let at = RowKey::alone(TABLE, org);
            tx.expect.push((at.clone(), *ver));
            tx.write.push((at, Bytes::from(ledger.encode())));
        }
        let went = match self.store.commit(&tx).await {
            Ok(done) => {
                for (org, ledger, _) in farewells {
                    self.with(org, |a| a.observe(ledger.clone(), done.ver));
                }
                Went::Well
            }
            Err(StoreError::Conflict(rows)) => {
                rows.iter().for_each(|r| self.take_in_row(r));
                Went::Lost
            }
            Err(e) => {
                self.log.note("grant", format_args!("outcome=farewell_failed cause={e}"));
                Went::Failed
            }
        };
        self.sized(went);
        went
    }

    /// Sizes the next transaction by how the latest went.
    fn sized(&self, went: Went) {
        let batch = self.batch.get();
        self.batch.set(match went {
            Went::Well => (batch + 1).min(BATCH.1),
            Went::Lost | Went::Failed => (batch / 2).max(1),
        });
    }
}

/// How a call went.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Went {
    /// It did what it was for.
    Well,
    /// Another router's write came first; the rows as they stand were in the answer.
    Lost,
    /// It was turned away or not answered.
    Failed,
}
