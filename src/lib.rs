//! kingcupwall: a router fleet for prepaid token budgets.
//!
//! The router executes model requests and service calls at targets that implement its protocol:
//!
//! - [`error`] and [`ids`] define the basic types.
//! - [`table`] and [`engine`] are the clients of the platform and of the targets.
//! - [`config`] is the operators' configuration and a router's settings.
//! - [`budget`] decides which requests may spend tokens.
//! - [`request`] tracks the state of each request, [`route`] chooses its target.
//! - [`membership`] detects which other routers are alive.
//! - [`router`] runs all of these as one process, and [`api`] is its HTTP interface.
//!
//! The gateway forwards HTTP requests of any content to targets that know nothing of kingcupwall:
//!
//! - [`rows`] is the interface of the durable store.
//! - [`allowance`] decides which requests may spend tokens.
//! - [`http1`] implements HTTP/1.1 connections.
//! - [`gateway`] processes the requests.
//! - [`oplog`] and [`stats`] provide logs and metrics for operators.

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
