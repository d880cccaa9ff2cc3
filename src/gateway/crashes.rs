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
use super::quarantine::{Completion, Crash, CrashReport, Quarantine, Source};
use crate::oplog::Log;
use crate::rows::StoreMs;
use crate::stats::Stats;

/// Crashes and good ends of so long go into one datagram: all requests of a target break off
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Least pause between two writings of this router's row because of crashes.
const MIN_ROW_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Crashes, and good ends, in one datagram, at most; 70 bytes for one of each keep it under a usual
/// packet.
const MAX_EVENTS_PER_DATAGRAM: usize = 20;

/// What this router knows of crashes, and what it has not told yet.
#[derive(Debug)]
pub struct CrashTracker {
    log: Log,
    stats: Stats,
    known: RefCell<Quarantine>,
    unsent: RefCell<CrashReport>,
    unsent_added: Notify,
    row_outdated: Notify,
    /// All routers that are known to live: the request may come to any of them.
    peers: RefCell<Vec<SocketAddr>>,
}

impl CrashTracker {
    /// Nothing known yet.
    pub fn new(log: Log, stats: Stats) -> CrashTracker {
        CrashTracker {
            log,
            stats,
            known: RefCell::default(),
            unsent: RefCell::default(),
            unsent_added: Notify::new(),
            row_outdated: Notify::new(),
            peers: RefCell::default(),
        }
    }

    /// Sets whom to tell.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Targets that ended under a request, as far as is known.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.known.borrow().crash_count(request)
    }

    /// What this router's row says.
    pub fn report(&self, now: StoreMs) -> CrashReport {
        self.known.borrow().report(now)
    }

    /// Takes in what rows say: of this router's predecessor, or of others.
    pub fn merge_reports<'a>(
        &self,
        reports: impl Iterator<Item = (&'a CrashReport, Source)>,
        now: StoreMs,
    ) {
        let mut known = self.known.borrow_mut();
        for (report, source) in reports {
            known.merge_report(report, source);
        }
        known.expire(now);
        drop(known);
        self.update_quarantine_gauge();
    }

    /// Whether no crash is known, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.borrow().is_empty()
    }

    /// Until when a request is held back, if it is.
    pub fn quarantined_until(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        self.known.borrow().quarantined_until(request, now)
    }

    /// Waits until the row should be written because of crashes.
    pub async fn row_write_due(&self) {
        self.row_outdated.notified().await;
        sleep(MIN_ROW_WRITE_INTERVAL).await;
    }

    /// A target ended under a request of this router.
    pub fn record_crash(&self, crash: Crash) {
        if self.known.borrow_mut().record_crash(crash, Source::Own) {
            self.unsent.borrow_mut().crashes.push(crash);
            self.unsent_added.notify_one();
            self.row_outdated.notify_one();
        }
        self.update_quarantine_gauge();
    }

    /// A request of this router was answered whole.
    pub fn record_completion(&self, well: Completion) {
        if self.known.borrow_mut().record_completion(well, Source::Own) {
            self.unsent.borrow_mut().ended_well.push(well);
            self.unsent_added.notify_one();
        }
    }

    fn take_unsent(&self) -> CrashReport {
        let mut unsent = self.unsent.borrow_mut();
        let (crashes, well) = (unsent.crashes.len(), unsent.ended_well.len());
        CrashReport {
            crashes: unsent.crashes.drain(..crashes.min(MAX_EVENTS_PER_DATAGRAM)).collect(),
            ended_well: unsent.ended_well.drain(..well.min(MAX_EVENTS_PER_DATAGRAM)).collect(),
        }
    }

    /// Tells the others, for ever.
    pub async fn broadcast(&self, socket: &UdpSocket) {
        loop {
            if *self.unsent.borrow() == CrashReport::default() {
                self.unsent_added.notified().await;
            }
            sleep(BATCH_DELAY).await;
            let mut bytes = Vec::new();
            let report = self.take_unsent();
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
    pub fn handle_datagram(&self, bytes: &[u8], now: StoreMs) {
        match ciborium::from_reader::<CrashReport, _>(bytes) {
            Ok(report) => self.merge_reports([(&report, Source::Other)].into_iter(), now),
            Err(e) => self.log.note("peer", format_args!("topic=crashes error={e}")),
        }
    }

    fn update_quarantine_gauge(&self) {
        let n = i64::try_from(self.known.borrow().quarantined_count()).unwrap_or(i64::MAX);
        let before = self.stats.held_back.set(n);
        if before != n {
            self.log.note("quarantine", format_args!("held_back={n} before={before}"));
        }
    }
}
