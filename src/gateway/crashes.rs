//! Targets that end while they have a request: found out here, told to all routers.
//!
//! Each router tells the others twice: at once by datagram, which may be lost, and in its row of
//! the table of routers, which outlives it. So a request that has ended targets is known to each
//! router within a second or two, wherever it ran, and to one that starts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use super::fingerprint::Fingerprint;
use super::forward::{Job, Own};
use super::liveness::find_ended;
use super::peers::Topic;
use super::quarantine::{Crash, EndedWell, Quarantine, Report, Source};
use super::state::{Gateway, Platform};
use super::targets::Backend;
use crate::rows::StoreMs;

/// Crashes and good ends of so long go into one datagram: all requests of a target break off
/// together.
const GATHER: Duration = Duration::from_millis(5);
/// Least pause between two writings of this router's row because of crashes.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Crashes, and good ends, in one datagram, at most; 70 bytes for one of each keep it under a usual
/// packet.
const MAX_TOLD: usize = 20;
/// How long after its caller left a request still counts as one that its target had: the target
/// hears of it late, and may have begun to run it.
const LEFT: Duration = Duration::from_millis(500);
/// How long a request that broke off waits for the answer whether its target has ended, before it
/// goes to the next one. Connecting takes a few ms; a lost packet is not waited for.
const EVIDENCE: Duration = Duration::from_millis(100);

/// What this router knows of crashes, and what it has not told yet.
#[derive(Debug, Default)]
pub struct Crashes {
    known: RefCell<Quarantine>,
    untold: RefCell<Report>,
    some_untold: Notify,
    unwritten: Notify,
    /// All routers that are known to live: the request may come to any of them.
    peers: RefCell<Vec<SocketAddr>>,
}

impl Crashes {
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
    }

    /// Waits until the row should be written because of crashes.
    pub async fn to_write(&self) {
        self.unwritten.notified().await;
        sleep(WRITE_PAUSE).await;
    }

    fn note(&self, crash: Crash) {
        if self.known.borrow_mut().note(crash, Source::Own) {
            self.untold.borrow_mut().crashes.push(crash);
            self.some_untold.notify_one();
            self.unwritten.notify_one();
        }
    }

    fn end_well(&self, well: EndedWell) {
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
}

/// Tells the others, for ever.
pub async fn tell<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    loop {
        if *gw.crashes.untold.borrow() == Report::default() {
            gw.crashes.some_untold.notified().await;
        }
        sleep(GATHER).await;
        let mut bytes = Vec::new();
        let report = gw.crashes.take_untold();
        ciborium::into_writer(&report, &mut bytes).expect("writing to memory cannot fail");
        let datagram = Topic::Crashes.frame(&bytes);
        let peers = gw.crashes.peers.borrow().clone();
        for peer in peers {
            // The row says it again.
            if let Err(e) = socket.try_send_to(&datagram, peer) {
                gw.log.routine("peer", format_args!("to={peer} outcome=unsent cause={e}"));
            }
        }
    }
}

/// Takes in what another router tells.
pub fn heard<P: Platform>(gw: &Gateway<P>, bytes: &[u8]) {
    match ciborium::from_reader::<Report, _>(bytes) {
        Ok(report) => take(gw, &[(&report, Source::Other)], gw.keeper.store_now()),
        Err(e) => gw.log.note("peer", format_args!("topic=crashes error={e}")),
    }
}

/// Takes in reports, and says how many requests are held back if that changed.
pub fn take<P: Platform>(gw: &Gateway<P>, reports: &[(&Report, Source)], now: StoreMs) {
    gw.crashes.take(reports.iter().copied(), now);
    note_held_back(gw);
}

fn note_held_back<P: Platform>(gw: &Gateway<P>) {
    let n = i64::try_from(gw.crashes.known.borrow().held_back()).unwrap_or(i64::MAX);
    let before = gw.stats.held_back.set(n);
    if before != n {
        gw.log.note("quarantine", format_args!("held_back={n} before={before}"));
    }
}

impl<P: Platform> Job<'_, P> {
    /// What makes this request the same as others.
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(self.org.as_deref(), self.head, &self.body))
    }

    /// Refuses a request that has ended targets: each further send ends one more, and with it
    /// dozens of others' answers.
    pub(super) fn check_quarantine(&self) -> Result<(), Own> {
        let known = self.gw.crashes.known.borrow();
        if known.is_empty() {
            return Ok(());
        }
        let now = self.gw.keeper.store_now();
        match known.held_back_until(self.fingerprint(), now) {
            None => Ok(()),
            Some(until) => {
                let (id, request) = (&self.facts.id, self.fingerprint());
                let org = self.org.as_deref().unwrap_or("-");
                let ended = known.crashes(request);
                self.gw.log.note(
                    "held_back",
                    format_args!("id={id} request={request} org={org} ended={ended}"),
                );
                let after = Duration::from_millis(until.0 - now.0);
                Err(Own::refusal("ends_targets", after))
            }
        }
    }

    /// An answer of `backend` to this request broke off: finds out whether the target has ended,
    /// also when the caller leaves meanwhile. One that was to leave was not ended by a request.
    pub(super) fn broke_off(&self, backend: &Rc<Backend>) -> Option<JoinHandle<()>> {
        if !backend.is_expected_to_stay() {
            return None;
        }
        let (broken, gw, backend) = (self.broken(), self.gw.clone(), backend.clone());
        Some(spawn_local(async move {
            if find_ended(&backend).await {
                broken.note(&gw, &backend);
            }
        }))
    }

    /// The caller left while a target had the request. The target may end under it all the same,
    /// which then shows to the next one that connects.
    pub(super) fn left(&self) {
        let may_run = |b: &&Rc<Backend>| self.may_have_run.get() && b.is_expected_to_stay();
        let Some(backend) = self.at.as_ref().filter(may_run) else { return };
        let (broken, gw, backend) = (self.broken(), self.gw.clone(), backend.clone());
        spawn_local(async move {
            sleep(LEFT).await;
            if backend.life.has_ended() {
                broken.note(&gw, &backend);
            }
        });
    }

    fn broken(&self) -> Broken {
        Broken {
            id: self.facts.id.clone(),
            org: self.org.clone(),
            request: self.fingerprint(),
            sent: self.sent,
        }
    }

    /// The request was answered whole: if targets ended under it, it was not the cause.
    pub fn ended_well(&self) {
        if self.gw.crashes.known.borrow().is_empty() {
            return;
        }
        let well = EndedWell { request: self.fingerprint(), at: self.gw.keeper.store_now() };
        self.gw.crashes.end_well(well);
    }
}

/// Waits a moment for what [`Job::broke_off`] finds out: the next target must not get a request
/// that has ended enough of them.
pub(super) async fn await_evidence(found: Option<JoinHandle<()>>) {
    if let Some(found) = found {
        // Without an answer in time the target counts as living, and is noted later if it has ended.
        let _ = timeout(EVIDENCE, found).await;
    }
}

/// A request whose answer broke off, or that was given up.
struct Broken {
    id: CompactString,
    org: Option<CompactString>,
    request: Fingerprint,
    sent: Instant,
}

impl Broken {
    /// Notes that its target has ended.
    fn note<P: Platform>(&self, gw: &Gateway<P>, backend: &Backend) {
        gw.stats.targets_ended.inc();
        let at = gw.keeper.store_now();
        let ran_ms = u64::try_from(self.sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let began = StoreMs(at.0.saturating_sub(ran_ms));
        let target = backend.incarnation();
        gw.crashes.note(Crash { request: self.request, target, began, at });
        let (id, org) = (&self.id, self.org.as_deref().unwrap_or("-"));
        let (request, ended) = (self.request, gw.crashes.count(self.request));
        gw.log.note(
            "target_ended",
            format_args!(
                "id={id} request={request} org={org} target={} ran_ms={ran_ms} ended={ended}",
                backend.id()
            ),
        );
        note_held_back(gw);
    }
}
