//! Prepaid budgets: the shared ledger, the grants of each router, holds, bills and witnesses.
//!
//! A router gets a grant, a part of a budget, from the ledger and spends it locally. Before a
//! request is dispatched, its largest possible cost is reserved as a hold; afterwards the hold is
//! replaced by a bill. Another router, the witness, keeps copies of the holds and settles them if
//! the router crashes.
//!
//! Two invariants ensure that no budget is overspent. Neither depends on a clock:
//! - in the table, per budget: `closed + sum of granted <= prepaid`;
//! - in a holder, per grant: `sum of bills + sum of holds <= granted`.

pub mod actor;
mod budget_state;
pub mod holder;
pub mod ledger;
pub mod reclaim;
pub mod sizing;
pub mod witness;
