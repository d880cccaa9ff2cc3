//! Shares crashes of targets, and the requests that were running at the time, among the routers.
//!
//! Each router publishes its crashes twice: immediately by datagram, which may be lost, and in its
//! row of the table of routers, which is durable. A request that crashes targets is therefore known
//! within a second or two to every router, whichever router handled it, and also to a router that
//! starts later.

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

/// How long crashes and completions are collected for one datagram. All requests on a target fail
/// at the same time.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Minimum interval between two writes of this router's row because of crashes.
const MIN_ROW_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of crashes, and of completions, in one datagram. A crash and a completion take up
/// to 75 bytes together, so that the datagram fits into a usual packet.
pub const MAX_EVENTS_PER_DATAGRAM: usize = 18;

/// The crashes known to this router, and those not yet sent to the others.
#[derive(Debug)]
pub struct CrashTracker {
    log: Log,
    stats: Stats,
    known: RefCell<Quarantine>,
    unsent: RefCell<CrashReport>,
    unsent_added: Notify,
    row_outdated: Notify,
    /// All live routers. A retry of the request may reach any of them.
    peers: RefCell<Vec<SocketAddr>>,
}

impl CrashTracker {
    /// A tracker without any crashes.
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

    /// Sets the routers to which crashes are sent.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Number of targets known to have ended while running a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.known.borrow().crash_count(request)
    }

    /// The report for this router's row.
    pub fn report(&self, now: StoreMs) -> CrashReport {
        self.known.borrow().report(now)
    }

    /// Merges reports from rows: those of this router's predecessor and those of other routers.
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

    /// The store time at which the caller of a quarantined request should retry, or `None` if it is
    /// not quarantined.
    pub fn retry_at(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        self.known.borrow().retry_at(request, now)
    }

    /// Waits until this router's row should be written because of new crashes.
    pub async fn row_write_due(&self) {
        self.row_outdated.notified().await;
        sleep(MIN_ROW_WRITE_INTERVAL).await;
    }

    /// Records that a target ended while running a request of this router.
    pub fn record_crash(&self, crash: Crash) {
        if self.known.borrow_mut().record_crash(crash, Source::Own) {
            self.unsent.borrow_mut().crashes.push(crash);
            self.unsent_added.notify_one();
            self.row_outdated.notify_one();
        }
        self.update_quarantine_gauge();
    }

    /// Records that a request of this router was answered completely.
    pub fn record_completion(&self, completed: Completion) {
        if self.known.borrow_mut().record_completion(completed, Source::Own) {
            self.unsent.borrow_mut().ended_well.push(completed);
            self.unsent_added.notify_one();
        }
    }

    fn take_unsent(&self) -> CrashReport {
        let mut unsent = self.unsent.borrow_mut();
        let (crashes, completed) = (unsent.crashes.len(), unsent.ended_well.len());
        CrashReport {
            crashes: unsent.crashes.drain(..crashes.min(MAX_EVENTS_PER_DATAGRAM)).collect(),
            ended_well: unsent.ended_well.drain(..completed.min(MAX_EVENTS_PER_DATAGRAM)).collect(),
        }
    }

    /// Sends new crashes and completions to the other routers. Runs until cancelled.
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
                // A lost datagram is not retried: the row carries the same events.
                if let Err(e) = socket.try_send_to(&datagram, peer) {
                    self.log.routine("peer", format_args!("to={peer} outcome=unsent cause={e}"));
                }
            }
        }
    }

    /// Merges a report received from another router.
    pub fn handle_datagram(&self, bytes: &[u8], now: StoreMs) {
        match ciborium::from_reader::<CrashReport, _>(bytes) {
            Ok(report) => self.merge_reports([(&report, Source::Other)].into_iter(), now),
            Err(e) => self.log.note("peer", format_args!("topic=crashes error={e}")),
        }
    }

    fn update_quarantine_gauge(&self) {
        let n = i64::try_from(self.known.borrow().quarantined_count()).unwrap_or(i64::MAX);
        let before = self.stats.quarantined_requests.set(n);
        if before != n {
            self.log.note("quarantine", format_args!("held_back={n} before={before}"));
        }
    }
}
