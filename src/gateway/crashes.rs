//! Targets that ended while they had a request, as this router and the others saw it.
//!
//! Each router tells the others twice: at once by datagram, which may be lost, and in its row of
//! the table of routers, which outlives it. So a request that has ended targets is known to each
//! router within a second or two, wherever it ran, and to one that starts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::datagram::Topic;
use super::fingerprint::Fingerprint;
use super::quarantine::{Crash, EndedWell, Quarantine, Report, Source};
use crate::oplog::Log;
use crate::rows::StoreMs;
use crate::stats::Stats;

/// Crashes and good ends of so long go into one datagram: all requests of a target break off
/// together.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Least pause between two writings of this router's row because of crashes.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Crashes, and good ends, in one datagram, at most; 70 bytes for one of each keep it under a usual
/// packet.
const MAX_TOLD: usize = 20;

/// What this router knows of crashes, and what it has not told yet.
#[derive(Debug)]
pub struct Crashes {
    log: Log,
    stats: Stats,
    known: RefCell<Quarantine>,
    untold: RefCell<Report>,
    some_untold: Notify,
    unwritten: Notify,
    /// All routers that are known to live: the request may come to any of them.
    peers: RefCell<Vec<SocketAddr>>,
}

impl Crashes {
    /// Nothing known yet.
    pub fn new(log: Log, stats: Stats) -> Crashes {
        Crashes {
            log,
            stats,
            known: RefCell::default(),
            untold: RefCell::default(),
            some_untold: Notify::new(),
            unwritten: Notify::new(),
            peers: RefCell::default(),
        }
    }

    /// Sets whom to tell.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Targets that ended under a request, as far as is known.
    pub fn count(&self, request: Fingerprint) -> usize {
        self.known.borrow().crashes(request)
    }

    /// What this router's row says.
    pub fn report(&self, now: StoreMs) -> Report {
        self.known.borrow().report(now)
    }

    /// Takes in what rows say: of this router's predecessor, or of others.
    pub fn take<'a>(&self, reports: impl Iterator<Item = (&'a Report, Source)>, now: StoreMs) {
        let mut known = self.known.borrow_mut();
        for (report, source) in reports {
            known.take(report, source);
        }
        known.expire(now);
        drop(known);
        self.note_held_back();
    }

    /// Whether no crash is known, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.borrow().is_empty()
    }

    /// Until when a request is held back, if it is.
    pub fn held_back_until(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        self.known.borrow().held_back_until(request, now)
    }

    /// Waits until the row should be written because of crashes.
    pub async fn to_write(&self) {
        self.unwritten.notified().await;
        sleep(WRITE_PAUSE).await;
    }

    /// A target ended under a request of this router.
    pub fn note(&self, crash: Crash) {
        if self.known.borrow_mut().note(crash, Source::Own) {
            self.untold.borrow_mut().crashes.push(crash);
            self.some_untold.notify_one();
            self.unwritten.notify_one();
        }
        self.note_held_back();
    }

    /// A request of this router was answered whole.
    pub fn end_well(&self, well: EndedWell) {
        if self.known.borrow_mut().end_well(well, Source::Own) {
            self.untold.borrow_mut().ended_well.push(well);
            self.some_untold.notify_one();
        }
    }

    fn take_untold(&self) -> Report {
        let mut untold = self.untold.borrow_mut();
        let (crashes, well) = (untold.crashes.len(), untold.ended_well.len());
        Report {
            crashes: untold.crashes.drain(..crashes.min(MAX_TOLD)).collect(),
            ended_well: untold.ended_well.drain(..well.min(MAX_TOLD)).collect(),
        }
    }

    /// Tells the others, for ever.
    pub async fn tell(&self, socket: &UdpSocket) {
        loop {
            if *self.untold.borrow() == Report::default() {
                self.some_untold.notified().await;
            }
            sleep(GATHER_TIME).await;
            let mut bytes = Vec::new();
            let report = self.take_untold();
            ciborium::into_writer(&report, &mut bytes).expect("writing to memory cannot fail");
            let datagram = Topic::Crashes.frame(&bytes);
            let peers = self.peers.borrow().clone();
            for peer in peers {
                // The row says it again.
                if let Err(e) = socket.try_send_to(&datagram, peer) {
                    self.log.routine("peer", format_args!("to={peer} outcome=unsent cause={e}"));
                }
            }
        }
    }

    /// Takes in what another router tells.
    pub fn heard(&self, bytes: &[u8], now: StoreMs) {
        match ciborium::from_reader::<Report, _>(bytes) {
            Ok(report) => self.take([(&report, Source::Other)].into_iter(), now),
            Err(e) => self.log.note("peer", format_args!("topic=crashes error={e}")),
        }
    }

    fn note_held_back(&self) {
        let n = i64::try_from(self.known.borrow().held_back()).unwrap_or(i64::MAX);
        let before = self.stats.held_back.set(n);
        if before != n {
            self.log.note("quarantine", format_args!("held_back={n} before={before}"));
        }
    }
}
