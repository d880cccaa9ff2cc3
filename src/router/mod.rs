//! The router daemon: sessions, request drivers, background tasks, startup and shutdown.

pub mod boot;
pub mod drive;
pub mod drive_call;
pub mod gates;
pub mod node;
pub mod peers;
pub mod session;
pub mod start;
pub mod tasks;
