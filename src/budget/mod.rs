//! Who may spend: the ledger in the table, grants held by routers, holds, bills, witnesses.
//!
//! Two invariants give "never past what was prepaid" without any clock:
//! - in the table, per budget: `closed + sum of granted <= prepaid`;
//! - in a holder, per grant: `sum of bills + sum of holds <= granted`.

pub mod actor;
mod budget_state;
pub mod holder;
pub mod ledger;
pub mod reclaim;
pub mod sizing;
pub mod witness;
