//! Membership of the router fleet: gossip among routers, selection of routers for callers, and
//! authenticated links between routers.

pub mod frame;
pub mod link;
pub mod selection;
pub mod view;
pub mod wire;
