//! Who else is there: gossip among routers, entry answers, authenticated links.

pub mod frame;
pub mod link;
pub mod selection;
pub mod view;
pub mod wire;
