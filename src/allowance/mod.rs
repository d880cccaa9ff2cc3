//! Prepaid budgets on the row store: who may spend how much, and until when that is known.
//!
//! Each organisation has one row, its [`Ledger`]. A router that spends has an entry there with
//! a [`Line`]: the most it may have spent, as a function of the store's clock. The sum of all
//! lines' ends never exceeds the prepaid amount, so that no clock is needed for safety between
//! routers. The slope tells a router's own successor how little the dead process can have
//! spent, and what lies above the line goes back to the organisation.

mod account;
mod calls;
mod keeper;
mod ledger;
mod line;
mod slack;

pub use account::{Account, Denied, Plan, Sizing};
pub use keeper::{Hold, Keeper, KeeperSettings};
pub use ledger::{Closing, Holder, HolderName, Ledger};
pub use line::{Anchored, Line};
