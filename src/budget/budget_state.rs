//! One budget as a router holds it: what is granted, held, billed and waited for.

use std::collections::VecDeque;

use super::holder::{HoldId, Limit};
use super::ledger::{Bill, BudgetRow, GrantChange, GrantRow, Versioned};
use super::sizing::Rate;
use crate::ids::{BudgetId, Millis, Tokens};

/// Who covers a hold if this router dies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protection {
    /// A witness keeps a copy.
    Witness,
    /// Nobody: the tokens come out of the grant's solo part.
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

/// One budget as this router holds it.
#[derive(Debug)]
pub(super) struct BudgetState {
    pub(super) id: BudgetId,
    pub(super) budget: Versioned<BudgetRow>,
    pub(super) grant: Versioned<GrantRow>,
    /// Whether `budget` and `grant` were read from the table at all.
    pub(super) rows_known: bool,
    pub(super) limit: Limit,
    pub(super) held: Tokens,
    /// Bills made but not recorded.
    pub(super) unrecorded: Tokens,
    /// Held or billed without a witness, and not recorded.
    pub(super) solo_used: Tokens,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) pending: VecDeque<PendingBill>,
    pub(super) in_flight: Option<GrantChange>,
    /// The last change lost a race: it is made again at once, not with the next record.
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

    /// What may still be held. Tokens that a change in flight gives back are already gone, and
    /// those that it adds are not there yet: either way the smaller amount counts until the
    /// table has answered.
    pub(super) fn free(&self) -> Tokens {
        let releasing = self.in_flight.as_ref().map_or(Tokens::ZERO, |c| c.release);
        let out = self.grant.row.settled.plus(self.unrecorded).plus(self.held);
        self.grant.row.granted.minus(releasing).minus(out)
    }

    /// Guards against an older revision's larger amount after a lowering: overspend would show as
    /// `committed` past the prepaid amount. The row names the revision of the last lowering, and
    /// nothing is granted under an older one.
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
