//! Copies of other routers' holds, kept until the table has the bills.
//!
//! A transient buffer in front of the platform, not a store: nothing is read from it while its
//! holder lives, nothing is lost with it (a grant whose holder and witness both die stays counted
//! as spent), and everything leaves it as soon as the table has it.

use serde::{Deserialize, Serialize};

use super::holder::HoldId;
use super::ledger::Bill;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, OrganisationId, RequestKey, TargetId, Tokens};

/// Copies kept for one holder, at most.
pub const MAX_COPIES_PER_HOLDER: usize = 20_000;

/// What a witness knows of one hold.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HoldCopy {
    /// Number of the hold at its holder.
    pub hold: HoldId,
    /// The largest cost.
    pub amount: Tokens,
    /// The bill as it would be; its cost is final only when `ended`.
    pub bill: Bill,
    /// Where the request runs.
    pub target: TargetId,
    /// Whether the run ended with that cost.
    pub ended: bool,
}

impl HoldCopy {
    /// What the copy stands for in the grant.
    pub fn outstanding(&self) -> Tokens {
        if self.ended { self.bill.cost } else { self.amount }
    }
}

#[derive(Debug)]
struct WitnessedHolder {
    holder: Incarnation,
    sealed: bool,
    copies: Vec<HoldCopy>,
}

/// All copies kept here.
#[derive(Debug, Default)]
pub struct Witness {
    entries: Vec<WitnessedHolder>,
}

impl Witness {
    fn witnessed(&mut self, holder: &Incarnation) -> &mut WitnessedHolder {
        let index =
            self.entries.binary_search_by(|w| w.holder.cmp(holder)).unwrap_or_else(|index| {
                let witnessed =
                    WitnessedHolder { holder: holder.clone(), sealed: false, copies: Vec::new() };
                self.entries.insert(index, witnessed);
                index
            });
        &mut self.entries[index]
    }

    /// Refuses a sealed holder.
    ///
    /// # Errors
    /// `Fenced` once the holder is sealed.
    pub fn check(&mut self, holder: &Incarnation) -> Result<()> {
        match self.witnessed(holder).sealed {
            true => Err(Error::new(Kind::Fenced, format!("{holder} is sealed"))),
            false => Ok(()),
        }
    }

    /// Keeps a copy, or replaces the one of that number.
    ///
    /// # Errors
    /// `Fenced` once the holder is sealed. This is what stops a holder that was paused while its
    /// grants were reclaimed: it cannot dispatch without this answer.
    /// `PlatformAway` when too many copies wait for the table.
    pub fn keep(&mut self, holder: &Incarnation, copy: HoldCopy) -> Result<()> {
        self.check(holder)?;
        let witnessed = self.witnessed(holder);
        match witnessed.copies.binary_search_by(|c| c.hold.cmp(&copy.hold)) {
            Ok(index) => witnessed.copies[index] = copy,
            Err(_) if witnessed.copies.len() >= MAX_COPIES_PER_HOLDER => {
                return Err(Error::new(Kind::PlatformAway, "the witness keeps too many copies"));
            }
            Err(index) => witnessed.copies.insert(index, copy),
        }
        Ok(())
    }

    /// Forgets holds that the table has, or that ended without a run.
    pub fn forget(&mut self, holder: &Incarnation, holds: &[HoldId]) {
        self.witnessed(holder).copies.retain(|c| !holds.contains(&c.hold));
    }

    /// Refuses all later copies of `holder`, and tells what is known.
    pub fn seal(&mut self, holder: &Incarnation) -> Vec<HoldCopy> {
        let witnessed = self.witnessed(holder);
        witnessed.sealed = true;
        witnessed.copies.clone()
    }

    /// Adds what a backup knows of a sealed holder. An ended copy tells more than a running one.
    pub fn merge(&mut self, holder: &Incarnation, copies: Vec<HoldCopy>) {
        let witnessed = self.witnessed(holder);
        for copy in copies {
            match witnessed.copies.binary_search_by(|c| c.hold.cmp(&copy.hold)) {
                Ok(index) if copy.ended => witnessed.copies[index] = copy,
                Ok(_) => {}
                Err(index) => witnessed.copies.insert(index, copy),
            }
        }
    }

    /// Forgets a holder that has other witnesses by now, unless it is sealed.
    ///
    /// Guards against a backup that opens again for a holder which the witness has reclaimed: a
    /// cut-off holder then found cover for new requests, and the budget was spent twice.
    pub fn drop_unsealed(&mut self, holder: &Incarnation) {
        self.entries.retain(|w| w.sealed || w.holder != *holder);
    }

    /// Takes back a seal that the table did not accept: the holder has another witness by now.
    pub fn unseal(&mut self, holder: &Incarnation) {
        self.entries.retain(|w| w.holder != *holder);
    }

    /// Holders with copies here.
    pub fn holders(&self) -> Vec<Incarnation> {
        self.entries.iter().map(|w| w.holder.clone()).collect()
    }

    /// Copies of a holder.
    pub fn copies(&self, holder: &Incarnation) -> &[HoldCopy] {
        let found = self.entries.binary_search_by(|w| w.holder.cmp(holder));
        found.map_or(&[], |index| &self.entries[index].copies)
    }

    /// The copy for a caller's key.
    pub fn find(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<&HoldCopy> {
        let same = |c: &&HoldCopy| c.bill.organisation == *organisation && c.bill.key == *key;
        self.entries.iter().flat_map(|w| &w.copies).find(same)
    }

    /// Outstanding tokens of a holder's grant of `budget`, those of `except` left out.
    pub fn outstanding(
        &self,
        holder: &Incarnation,
        budget: &BudgetId,
        except: &[HoldId],
    ) -> Tokens {
        let is_counted = |c: &&HoldCopy| c.bill.budget == *budget && !except.contains(&c.hold);
        let own = self.copies(holder).iter().filter(is_counted);
        own.fold(Tokens::ZERO, |sum, c| sum.plus(c.outstanding()))
    }
}
