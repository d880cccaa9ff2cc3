//! Prepaid budgets kept in the row store: how much each router may spend of each organisation's
//! budget.
//!
//! Each organisation has one row, its [`Ledger`], with a [`Grant`] for each router that draws on
//! it. The sum of all grants' ceilings and of what is already spent never exceeds the prepaid
//! amount, so safety between routers needs no clock. Each router has one row too, its [`Spending`],
//! with a [`SpendingLimit`] for each organisation: an upper bound on what the router has spent, as
//! a function of the store's clock. After a crash the router's successor reads that bound and
//! returns the rest of the dead process's grants to the organisations.
//!
//! Only a few routers draw on the rows. The others borrow tokens from them, request by request.

mod account;
mod calls;
mod demand;
mod headroom;
mod ledger;
mod lenders;
mod lending;
mod limit;
mod loans;
mod manager;
mod peers;
mod spending;
mod spending_row;
mod wire;

pub use account::{Account, Cause, Denied, GrantChange, GrantWrite, MissingCover, Sizing};
pub use ledger::{ClosedGrant, Grant, Ledger, ProcessId};
pub use lenders::{Lender, Lenders, Source};
pub use limit::{AnchoredLimit, SpendingLimit};
pub use manager::{BudgetManager, BudgetSettings, LenderSearch, Refusal, Reservation};
pub use peers::Outgoing;
pub use spending::{OrgSpending, PredecessorSpending, Spending};
