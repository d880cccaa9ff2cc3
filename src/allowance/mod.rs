//! Prepaid budgets on the row store: who may spend how much, and until when that is known.
//!
//! Each organisation has one row, its [`Ledger`], with a [`Grant`] for each router that draws on
//! it; the sum of all grants' ceilings and of what is spent never exceeds the prepaid amount, so
//! that no clock is needed for safety between routers. Each router has one row too, its
//! [`Spending`], with a [`Line`] for each organisation: the most it may have spent, as a function
//! of the store's clock. A router's successor reads there how little the dead process can have
//! spent, and the rest of its grants goes back to the organisations.
//!
//! Few routers draw on the rows; the others borrow from them, request by request.

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

pub use account::{Account, Cause, Denied, GrantChange, MissingCover, Sizing};
pub use ledger::{ClosedGrant, Grant, Ledger, ProcessId};
pub use lenders::{Lender, Lenders, Source};
pub use limit::{AnchoredLimit, SpendingLimit};
pub use manager::{BudgetManager, BudgetSettings, LenderSearch, Refusal, Reservation};
pub use peers::Outgoing;
pub use spending::{OrgSpending, PredecessorSpending, Spending};
