//! Which software version began a resumable stream, and which routers keep that knowledge. No I/O.
//!
//! What two versions write does not fit together, and targets do not check it. A stream may
//! therefore continue only at the version that sent its first event. Callers mostly resume a stream
//! because its router ended, so other routers have to know that version. What nobody knows is not
//! guessed: the stream does not continue.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::request::{host, path};
use crate::http1::RequestHead;
use crate::ids::Digest;

/// How long the origin of a stream is kept. A stream and all attempts to resume it take less.
const ORIGIN_TTL: Duration = Duration::from_secs(120);
/// Maximum number of origins that a router keeps; the oldest are dropped first.
const MAX_ORIGINS: usize = 65_536;

/// Identifies a stream: the request that brought its first event, bound to its organisation and
/// path, so that no organisation finds the streams of another one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that began under the request `id`.
    pub fn of(org: Option<&str>, head: &RequestHead, id: &str) -> StreamKey {
        StreamKey(digest(&[org.unwrap_or_default(), host(head), path(head), id]))
    }
}

/// Digest of a software version together with its service: versions of two services have nothing in
/// common, even if they have the same name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct VersionDigest(pub u64);

impl VersionDigest {
    /// The digest of a version of a service.
    pub fn of(service: &str, version: &str) -> VersionDigest {
        VersionDigest(digest(&[service, version]))
    }
}

fn digest(parts: &[&str]) -> u64 {
    let mut bytes = Vec::with_capacity(parts.iter().map(|p| p.len() + 1).sum());
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
        // No part can contain a zero byte.
        bytes.push(0);
    }
    Digest::of(&bytes).first_u64()
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Origin(pub StreamKey, pub VersionDigest);

/// What a router knows about the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Known {
    /// The stream began at this version.
    Version(VersionDigest),
    /// Two versions began a stream under the same request, so neither may continue it.
    Contradictory(VersionDigest, VersionDigest),
}

impl Known {
    fn add(self, version: VersionDigest) -> Known {
        match self {
            Known::Version(first) if first != version => Known::Contradictory(first, version),
            known => known,
        }
    }

    /// The origins that tell another router the same.
    pub fn to_origins(self, key: StreamKey) -> Vec<Origin> {
        match self {
            Known::Version(v) => vec![Origin(key, v)],
            Known::Contradictory(a, b) => vec![Origin(key, a), Origin(key, b)],
        }
    }
}

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct OriginTable {
    known: HashMap<StreamKey, (Known, Instant)>,
    /// In order of arrival.
    order: VecDeque<(StreamKey, Instant)>,
}

impl OriginTable {
    /// Adds an origin. Returns the number of origins that were dropped, before their time, because
    /// the table is full.
    pub fn insert(&mut self, origin: Origin, now: Instant) -> usize {
        let Origin(key, version) = origin;
        if let Some((known, _)) = self.known.get_mut(&key) {
            *known = known.add(version);
            return 0;
        }
        self.expire(now);
        let mut dropped = 0;
        while self.order.len() >= MAX_ORIGINS {
            self.drop_oldest();
            dropped += 1;
        }
        self.known.insert(key, (Known::Version(version), now));
        self.order.push_back((key, now));
        dropped
    }

    /// What is known about a stream, and for how long.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<(Known, Duration)> {
        let (known, since) = *self.known.get(&key)?;
        let age = now.saturating_duration_since(since);
        (age < ORIGIN_TTL).then_some((known, age))
    }

    /// Number of origins.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the table has no origins.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(_, since)| now - *since >= ORIGIN_TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((key, _)) = self.order.pop_front() {
            self.known.remove(&key);
        }
    }
}

/// The other live routers, ordered by the digests of their instances' names. The routers that
/// follow a stream's key keep its origin. When a router joins or leaves, only the streams next to it
/// change their routers.
#[derive(Debug, Default)]
pub struct KeeperRing(Vec<(u64, SocketAddr)>);

impl KeeperRing {
    /// The ring of these routers, given by instance and address.
    pub fn new<'a>(routers: impl Iterator<Item = (&'a str, SocketAddr)>) -> KeeperRing {
        let mut ring: Vec<_> = routers.map(|(name, addr)| (digest(&[name]), addr)).collect();
        ring.sort_unstable();
        KeeperRing(ring)
    }

    /// The first `n` routers that follow a key.
    pub fn keepers(&self, key: StreamKey, n: usize) -> impl Iterator<Item = SocketAddr> {
        let start = self.0.partition_point(|(digest, _)| *digest < key.0);
        let from_start = self.0[start..].iter().chain(&self.0[..start]);
        from_start.take(n).map(|(_, addr)| *addr)
    }
}
