//! Exchanges the origins of resumable streams with other routers, by datagram.
//!
//! The router that forwards a stream's first event tells [`KEEPERS`] other routers which version
//! began it. A router at which a caller resumes a stream asks these routers. Both are repeatable and
//! lose nothing but time or the chance to continue if a datagram is lost: an origin is a fact that
//! never changes, so late and repeated messages are harmless.

use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::datagram::Topic;
use super::origins::{KeeperRing, Known, Origin, OriginTable, StreamKey};
use crate::oplog::Log;
use crate::stats::Stats;

/// Number of routers that keep the origin of a stream, beside the one that began it. All of them
/// must end at once for it to be lost. Fleets of up to six routers tell it to every router.
pub const KEEPERS: usize = 5;
/// Number of routers that are asked for an origin. More than [`KEEPERS`], because the lists of two
/// routers differ by those that have just started or ended, and by themselves.
pub const ASKED_ROUTERS: usize = KEEPERS + 3;
/// Time over which origins are collected into one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of origins in one datagram. At 19 bytes each, it fits into a usual packet.
const MAX_ORIGINS_PER_DATAGRAM: usize = 48;
/// Maximum number of origins that wait to be sent.
const MAX_UNSENT: usize = 4_096;
/// How long to wait for the answer to each query. A query or its answer may be lost, and an origin
/// may still be on its way to those that are asked.
const QUERY_WAITS: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(80), Duration::from_millis(160)];

/// A message between routers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum OriginMessage {
    /// Origins of streams, sent when they begin and in answer to a query.
    Origins(Vec<Origin>),
    /// Asks for the origin of a stream. A router that does not know it does not answer.
    Query(StreamKey),
}

/// How a router learnt the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// The router began the stream, or had been told before the caller resumed it.
    Kept,
    /// Another router answered a query.
    Asked,
}

/// The origins that this router knows, and those not yet told to others.
#[derive(Debug)]
pub struct StreamOrigins {
    log: Log,
    stats: Stats,
    table: RefCell<OriginTable>,
    ring: RefCell<KeeperRing>,
    unsent: RefCell<Vec<Origin>>,
    unsent_added: Notify,
    learnt: Notify,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl StreamOrigins {
    /// No origins and no other routers.
    pub fn new(log: Log, stats: Stats) -> StreamOrigins {
        StreamOrigins {
            log,
            stats,
            table: RefCell::default(),
            ring: RefCell::default(),
            unsent: RefCell::default(),
            unsent_added: Notify::new(),
            learnt: Notify::new(),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket for queries and answers.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // Tasks are started only once, so the cell is still empty.
        drop(self.socket.set(socket));
    }

    /// Sets the other live routers.
    pub fn set_peers(&self, ring: KeeperRing) {
        *self.ring.borrow_mut() = ring;
    }

    /// Records the origin of a stream whose first event this router forwards now, and tells other
    /// routers.
    pub fn record(&self, origin: Origin) {
        self.insert(&[origin]);
        let mut unsent = self.unsent.borrow_mut();
        if unsent.len() < MAX_UNSENT {
            unsent.push(origin);
            self.unsent_added.notify_one();
        } else {
            self.stats.stream_origins_dropped.inc();
        }
    }

    /// Finds the origin of a stream, here or at other routers. `None` if no router answers.
    pub async fn find(&self, key: StreamKey) -> Option<(Known, Duration, OriginSource)> {
        let known = || self.table.borrow().get(key, Instant::now());
        if let Some((known, age)) = known() {
            return Some((known, age, OriginSource::Kept));
        }
        for wait in QUERY_WAITS {
            self.send_query(key);
            let answered = async {
                loop {
                    let learnt = self.learnt.notified();
                    if let Some((known, age)) = known() {
                        return (known, age, OriginSource::Asked);
                    }
                    learnt.await;
                }
            };
            if let Ok(found) = timeout(wait, answered).await {
                return Some(found);
            }
        }
        None
    }

    fn send_query(&self, key: StreamKey) {
        let query = encode(&OriginMessage::Query(key));
        for to in self.ring.borrow().keepers(key, ASKED_ROUTERS) {
            self.send(&query, to);
        }
    }

    /// Handles a message from another router.
    pub fn handle_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        match ciborium::from_reader::<OriginMessage, _>(bytes) {
            Ok(OriginMessage::Origins(origins)) => {
                self.insert(&origins);
                self.learnt.notify_waiters();
            }
            Ok(OriginMessage::Query(key)) => {
                let known = self.table.borrow().get(key, Instant::now());
                if let Some((known, _)) = known {
                    self.send(&encode(&OriginMessage::Origins(known.to_origins(key))), from);
                }
            }
            Err(e) => self.log.note("peer", format_args!("topic=origins error={e}")),
        }
    }

    fn insert(&self, origins: &[Origin]) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let dropped: usize = origins.iter().map(|o| table.insert(*o, now)).sum();
        self.stats.stream_origins_dropped.inc_by(u64::try_from(dropped).unwrap_or(u64::MAX));
    }

    /// Tells other routers the origins of this router's streams. Never returns.
    pub async fn run_sender(&self) {
        loop {
            if self.unsent.borrow().is_empty() {
                self.unsent_added.notified().await;
            }
            sleep(BATCH_DELAY).await;
            let origins = std::mem::take(&mut *self.unsent.borrow_mut());
            for (to, origins) in group_by_keeper(&self.ring.borrow(), &origins) {
                for chunk in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
                    self.send(&encode(&OriginMessage::Origins(chunk.to_vec())), to);
                }
            }
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        // Not retried here: other routers keep the same origin, and queries are repeated.
        if let Err(e) = socket.try_send_to(datagram, to) {
            self.log.routine("peer", format_args!("to={to} outcome=unsent cause={e}"));
        }
    }
}

/// The origins that each router keeps, sorted by the router's address.
fn group_by_keeper(ring: &KeeperRing, origins: &[Origin]) -> Vec<(SocketAddr, Vec<Origin>)> {
    let mut groups: Vec<(SocketAddr, Vec<Origin>)> = Vec::new();
    for origin in origins {
        for to in ring.keepers(origin.0, KEEPERS) {
            let i = groups.binary_search_by_key(&to, |(addr, _)| *addr).unwrap_or_else(|i| {
                groups.insert(i, (to, Vec::new()));
                i
            });
            groups[i].1.push(*origin);
        }
    }
    groups
}

fn encode(message: &OriginMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to memory cannot fail");
    Topic::Origins.frame(&bytes)
}
