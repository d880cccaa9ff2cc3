//! State of one budget at a router: its grant, holds, pending bills and waiting requests.

use std::collections::VecDeque;

use super::holder::{HoldId, Limit};
use super::ledger::{Bill, BudgetRow, GrantChange, GrantRow, Versioned};
use super::sizing::Rate;
use crate::ids::{BudgetId, Millis, Tokens};

/// How a hold survives a crash of this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protection {
    /// A witness keeps a copy of the hold.
    Witness,
    /// There is no copy; the tokens are taken from the solo part of the grant, which is never
    /// reclaimed.
    Solo,
}

#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) id: HoldId,
    pub(super) budget: BudgetId,
    pub(super) amount: Tokens,
    pub(super) protection: Protection,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: HoldId,
    pub(super) amount: Tokens,
    pub(super) protection: Protection,
}

#[derive(Clone, Debug)]
pub(super) struct PendingBill {
    pub(super) hold: HoldId,
    pub(super) protection: Protection,
    pub(super) bill: Bill,
}

/// State of one budget at this router.
#[derive(Debug)]
pub(super) struct BudgetState {
    pub(super) id: BudgetId,
    pub(super) budget: Versioned<BudgetRow>,
    pub(super) grant: Versioned<GrantRow>,
    /// Whether `budget` and `grant` reflect the table and need not be read again.
    pub(super) rows_known: bool,
    pub(super) limit: Limit,
    pub(super) held: Tokens,
    /// Total cost of bills that are not yet recorded.
    pub(super) unrecorded: Tokens,
    /// Part of the solo part that is held or billed but not yet recorded.
    pub(super) solo_used: Tokens,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) pending: VecDeque<PendingBill>,
    pub(super) in_flight: Option<GrantChange>,
    /// The last change failed on a guard. It is retried at once rather than at the next flush.
    pub(super) retry: bool,
    pub(super) rate: Rate,
    pub(super) last_used: Millis,
}

impl BudgetState {
    pub(super) fn new(id: BudgetId, now: Millis) -> BudgetState {
        BudgetState {
            id,
            budget: Versioned::default(),
            grant: Versioned::default(),
            rows_known: false,
            limit: Limit::default(),
            held: Tokens::ZERO,
            unrecorded: Tokens::ZERO,
            solo_used: Tokens::ZERO,
            waiting: VecDeque::new(),
            pending: VecDeque::new(),
            in_flight: None,
            retry: false,
            rate: Rate::default(),
            last_used: now,
        }
    }

    /// Returns the tokens available for new holds.
    ///
    /// While a change is in flight, the lower amount applies: tokens that it releases are already
    /// subtracted and tokens that it adds are not yet counted.
    pub(super) fn free(&self) -> Tokens {
        let releasing = self.in_flight.as_ref().map_or(Tokens::ZERO, |c| c.release);
        let out = self.grant.row.settled.plus(self.unrecorded).plus(self.held);
        self.grant.row.granted.minus(releasing).minus(out)
    }

    /// Returns the total amount that may be granted to all holders.
    ///
    /// After the prepaid amount was lowered, a router on an older revision would grant up to the
    /// old, larger amount and `committed` would exceed the prepaid amount. The budget's row
    /// therefore names the revision of the last lowering, and nothing is granted under an older
    /// one.
    pub(super) fn grantable(&self) -> Tokens {
        if self.budget.row.floor > self.limit.revision { Tokens::ZERO } else { self.limit.prepaid }
    }

    pub(super) fn can_hold(&self, amount: Tokens, protection: Protection) -> bool {
        let solo_left = self.grant.row.solo.minus(self.solo_used);
        amount <= self.free() && (protection == Protection::Witness || amount <= solo_left)
    }

    pub(super) fn reserve_tokens(&mut self, amount: Tokens, protection: Protection) {
        self.held = self.held.plus(amount);
        if protection == Protection::Solo {
            self.solo_used = self.solo_used.plus(amount);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.held == Tokens::ZERO
            && self.pending.is_empty()
            && self.waiting.is_empty()
            && self.in_flight.is_none()
    }
}
