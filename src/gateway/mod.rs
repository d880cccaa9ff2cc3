//! Forwarding of callers' requests to targets: admission, target selection, retries, and the
//! connections on both sides.
//!
//! Decisions are pure functions in modules of their own: [`catalog`] (route and organisation),
//! [`place`] (which target, if any), [`outcome`] (what may follow a failed send), [`retries`]
//! (whether the retry budget allows another send), [`timing`] (how fast engines are) and [`entry`]
//! (which routers callers should use). [`forward`], [`relay`], [`front`] and the private module
//! `send` perform the I/O.

pub mod backend;
pub mod capacity;
pub mod catalog;
pub mod cold;
pub mod concurrency;
pub mod connect;
mod continuation;
mod crash_attribution;
pub mod crashes;
pub mod datagram;
pub mod drain;
pub mod entry;
mod feed;
pub mod fingerprint;
pub mod forward;
pub mod front;
pub mod hints;
pub mod liveness;
mod load;
pub mod members;
pub mod notice;
pub mod origins;
pub mod outcome;
pub mod path;
pub mod peers;
pub mod place;
pub mod pool;
pub mod quarantine;
pub mod refusal;
pub mod relay;
pub mod reply;
pub mod request;
pub mod resumption;
pub mod retries;
mod send;
pub mod sse;
mod start;
pub mod state;
mod stats;
pub mod sync;
pub mod targets;
pub mod timing;
pub mod tunnel;
pub mod versions;
pub mod warmup;
pub mod zone_filter;
pub mod zone_orders;
pub mod zones;

pub use backend::{SoftwareVersion, StartedMs, TargetInfo, TargetState};
pub use catalog::{Catalog, CatalogParts, Limits, Organisation, Route, RouteKind, Service};
pub use entry::EntryView;
pub use request::HeaderNames;
pub use start::start;
pub use state::{Gateway, Platform, Settings};
