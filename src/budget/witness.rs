//! Copies of the holds of other routers, kept until their bills are recorded in the table.
//!
//! This is a transient buffer in front of the table rather than a store. Grants are settled from it
//! only after their holder has crashed, and copies are dropped as soon as the bills are recorded.
//! Losing it is safe: if holder and witness both crash, the grant stays counted as spent.

use serde::{Deserialize, Serialize};

use super::holder::HoldId;
use super::ledger::Bill;
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Incarnation, OrganisationId, RequestKey, TargetId, Tokens};

/// Maximum number of copies kept for one holder.
pub const MAX_COPIES_PER_HOLDER: usize = 20_000;

/// Copy of one hold.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HoldCopy {
    /// Id of the hold at its holder.
    pub hold: HoldId,
    /// Reserved amount, the largest possible cost.
    pub amount: Tokens,
    /// Bill of the request. Its cost is final only if `ended` is set.
    pub bill: Bill,
    /// Target that runs the request.
    pub target: TargetId,
    /// Whether the run has ended and the cost in `bill` is final.
    pub ended: bool,
}

impl HoldCopy {
    /// Returns the tokens of the grant that this copy accounts for.
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

/// Copies of the holds of all holders that this router is a witness or backup for.
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

    /// Checks that a holder is not sealed.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` if the holder is sealed.
    pub fn check(&mut self, holder: &Incarnation) -> Result<()> {
        match self.witnessed(holder).sealed {
            true => Err(Error::new(Kind::Fenced, format!("{holder} is sealed"))),
            false => Ok(()),
        }
    }

    /// Stores a copy, replacing an earlier copy of the same hold.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` if the holder is sealed. A holder may dispatch a request only after its
    /// copy was accepted, so this stops a holder that was paused while its grants were reclaimed.
    ///
    /// Returns `PlatformAway` if too many copies of this holder are waiting for their bills to be
    /// recorded.
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

    /// Drops the copies of holds that are recorded in the table or whose requests did not run.
    pub fn forget(&mut self, holder: &Incarnation, holds: &[HoldId]) {
        self.witnessed(holder).copies.retain(|c| !holds.contains(&c.hold));
    }

    /// Refuses all further copies of `holder` and returns the existing ones.
    pub fn seal(&mut self, holder: &Incarnation) -> Vec<HoldCopy> {
        let witnessed = self.witnessed(holder);
        witnessed.sealed = true;
        witnessed.copies.clone()
    }

    /// Adds the copies that a backup has of a sealed holder. A copy of an ended run takes
    /// precedence over one of a running request.
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

    /// Drops all state of a holder that has other witnesses now, unless it is sealed.
    ///
    /// A seal has to stay: a backup that accepted copies again for a holder already reclaimed by
    /// the witness would let a cut-off holder dispatch new requests, and the budget would be spent
    /// twice.
    pub fn drop_unsealed(&mut self, holder: &Incarnation) {
        self.entries.retain(|w| w.sealed || w.holder != *holder);
    }

    /// Reverts a seal that was not confirmed by the table because the holder has another witness
    /// now.
    pub fn unseal(&mut self, holder: &Incarnation) {
        self.entries.retain(|w| w.holder != *holder);
    }

    /// Returns the holders known to this witness.
    pub fn holders(&self) -> Vec<Incarnation> {
        self.entries.iter().map(|w| w.holder.clone()).collect()
    }

    /// Returns the copies of a holder.
    pub fn copies(&self, holder: &Incarnation) -> &[HoldCopy] {
        let found = self.entries.binary_search_by(|w| w.holder.cmp(holder));
        found.map_or(&[], |index| &self.entries[index].copies)
    }

    /// Returns the copy for an idempotency key of an organisation.
    pub fn find(&self, organisation: &OrganisationId, key: &RequestKey) -> Option<&HoldCopy> {
        let same = |c: &&HoldCopy| c.bill.organisation == *organisation && c.bill.key == *key;
        self.entries.iter().flat_map(|w| &w.copies).find(same)
    }

    /// Returns the outstanding tokens of a holder's grant of `budget`, without those of the holds
    /// in `except`.
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
