//! Spreads the operator's orders to empty availability zones among the routers by gossip.
//!
//! Each router forwards an order that is new to it to some other routers, chosen at random. Orders
//! thus also reach routers that the store rejects, and the number of datagrams per router does not
//! grow with the number of routers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::datagram::Topic;
use super::zone_orders::{ZoneOrder, ZoneOrders};
use crate::oplog::Log;
use crate::rows::Ver;
use crate::stats::Stats;

/// Number of routers to which each round is sent, drawn anew for each round.
const FANOUT: usize = 6;
/// Delays before each round in which an order is sent. It is sent several times because datagrams
/// can be lost and a router may be partitioned for a while.
const RESEND_DELAYS: [Duration; 6] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// How long a router's row keeps orders that returned a zone to service. Targets of the zone may be
/// cold for as long as they warm up.
const ORDER_KEEP_TIME: Duration = Duration::from_secs(60);
/// Maximum number of orders in one datagram.
const MAX_ORDERS_PER_DATAGRAM: usize = 16;

/// The zone orders that this router knows, and the peers to which it forwards them.
#[derive(Debug)]
pub struct ZoneGossip {
    log: Log,
    stats: Stats,
    orders: RefCell<ZoneOrders>,
    emptied: RefCell<Vec<CompactString>>,
    peers: RefCell<Vec<SocketAddr>>,
    changed_signal: Notify,
}

impl ZoneGossip {
    /// Creates the state without any emptied zone.
    pub fn new(log: Log, stats: Stats) -> ZoneGossip {
        ZoneGossip {
            log,
            stats,
            orders: RefCell::default(),
            emptied: RefCell::default(),
            peers: RefCell::default(),
            changed_signal: Notify::new(),
        }
    }

    /// Sets the routers to which orders are forwarded.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// The zones that are emptied, sorted.
    pub fn emptied(&self) -> Vec<CompactString> {
        self.emptied.borrow().clone()
    }

    /// Whether a zone is emptied.
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.orders.borrow().is_emptied(zone)
    }

    /// Time since this router received the order that returned a zone to service (`taken_back` in
    /// the log). `None` if no order for the zone is known or the zone is emptied.
    pub fn in_service_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        self.orders.borrow().in_service_for(zone, now)
    }

    /// Merges the orders of a snapshot of the whole table. Emptied zones that the snapshot does not
    /// list are returned to service.
    pub fn apply_snapshot(&self, orders: &[ZoneOrder], ver: Ver) {
        let listed: Vec<CompactString> = orders.iter().map(|o| o.zone.clone()).collect();
        let gone = self.orders.borrow().missing_from(&listed, ver);
        let all: Vec<ZoneOrder> = orders.iter().cloned().chain(gone).collect();
        self.merge_newer(&all, "store");
        self.orders.borrow_mut().record_snapshot(ver);
    }

    /// The orders that this router's row keeps for its successor.
    pub fn lasting_orders(&self) -> Vec<ZoneOrder> {
        self.orders.borrow().lasting(Instant::now(), ORDER_KEEP_TIME)
    }

    /// Merges the orders that are newer than the known ones, and schedules them for forwarding.
    /// `via` is the source of the orders, for the log: the store or a peer.
    pub fn merge_newer(&self, orders: &[ZoneOrder], via: &'static str) {
        let now = Instant::now();
        let mut known = self.orders.borrow_mut();
        let changed: Vec<ZoneOrder> =
            orders.iter().filter(|o| known.merge_newer(o, now)).cloned().collect();
        for o in &changed {
            let state = if o.emptied { "emptied" } else { "taken_back" };
            self.log.note(
                "order",
                format_args!("zone={} state={state} ver={} via={via}", o.zone, o.ver),
            );
        }
        if !changed.is_empty() {
            *self.emptied.borrow_mut() = known.emptied();
            self.stats.zones_emptied.set(i64::try_from(known.emptied().len()).unwrap_or(i64::MAX));
            self.changed_signal.notify_one();
        }
    }

    /// Decodes the orders in a datagram. Returns none if it is malformed.
    pub fn parse(&self, bytes: &[u8]) -> Vec<ZoneOrder> {
        ciborium::from_reader::<Vec<ZoneOrder>, _>(bytes).unwrap_or_else(|e| {
            self.log.note("peer", format_args!("topic=orders error={e}"));
            Vec::new()
        })
    }

    /// Forwards changed orders to other routers. Never returns.
    pub async fn run_sender(&self, socket: &UdpSocket) {
        loop {
            self.changed_signal.notified().await;
            let mut delays = RESEND_DELAYS.iter();
            while let Some(delay) = delays.next() {
                tokio::select! {
                    () = sleep(*delay) => self.send_to_random_peers(socket),
                    // An order changed: send all recent orders again, from the first round.
                    () = self.changed_signal.notified() => delays = RESEND_DELAYS.iter(),
                }
            }
        }
    }

    fn send_to_random_peers(&self, socket: &UdpSocket) {
        let resend_span: Duration = RESEND_DELAYS.iter().sum();
        let Some(since) = Instant::now().checked_sub(resend_span * 2) else { return };
        let mut orders = self.orders.borrow().received_after(since);
        orders.truncate(MAX_ORDERS_PER_DATAGRAM);
        let mut bytes = Vec::new();
        ciborium::into_writer(&orders, &mut bytes).expect("writing to memory cannot fail");
        let datagram = Topic::Orders.frame(&bytes);
        for peer in fastrand::choose_multiple(self.peers.borrow().iter(), FANOUT) {
            // Not retried here: a later round sends the order again.
            if let Err(e) = socket.try_send_to(&datagram, *peer) {
                self.log.routine("peer", format_args!("to={peer} outcome=unsent cause={e}"));
            }
        }
    }
}
