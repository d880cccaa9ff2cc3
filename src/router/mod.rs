//! The router daemon: everything of one entry instance, put together.

pub mod boot;
pub mod drive;
pub mod drive_call;
pub mod gates;
pub mod node;
pub mod peers;
pub mod session;
pub mod start;
pub mod tasks;
