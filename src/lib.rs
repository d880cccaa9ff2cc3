//! kingcupwall: a router fleet for prepaid token budgets.
//!
//! Reading order: [`error`] and [`ids`] are the vocabulary, [`table`] and [`engine`] the
//! systems around it, [`config`] what operators want, [`budget`] who may spend, [`request`] what
//! becomes of one request, [`route`] where it goes, [`membership`] who else is there, [`router`]
//! the daemon of all these, [`api`] what callers see of it.
//!
//! The gateway stands beside them: it forwards requests of any content to targets that know
//! nothing of kingcupwall. [`rows`] is the store that outlives it, [`allowance`] who may spend,
//! [`http1`] its connections, [`gateway`] the way of a request, [`oplog`] and [`stats`] what
//! operators see.

pub mod allowance;
pub mod api;
pub mod audit;
pub mod budget;
pub mod client;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod engine;
pub mod error;
pub mod experiment;
pub mod explain;
pub mod gateway;
pub mod http1;
pub mod ids;
pub mod load;
pub mod membership;
pub mod operator;
pub mod oplog;
pub mod request;
pub mod route;
pub mod router;
pub mod rows;
pub mod standin;
pub mod stats;
pub mod table;
