//! Admission of requests to targets that crash when they reject too many. While a service has such
//! targets, each request is admitted by the router that owns its target, see
//! [`super::concurrency`]; the other routers query the owner by datagram.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

use super::backend::Backend;
use super::cold::{OwnerCandidate, rank_owners};
use super::concurrency::{REPORT_INTERVAL, RequestReport, TargetLimiter, pause_after_rejection};
use super::datagram::Topic;
use super::notice::RejectionLimit;
use super::targets::Targets;
use crate::oplog::Log;
use crate::stats::{ReasonLabel, Stats};

/// How long an owner's answer is waited for. An admission that comes later is not used.
const OWNER_TIMEOUT: Duration = Duration::from_millis(30);
/// How long an owner that did not answer is not queried.
const OWNER_SILENT_TIME: Duration = Duration::from_secs(1);
/// Number of routers that may own a target, in order of preference.
const MAX_OWNERS: usize = 2;
/// How long a target is not tried again if no owner answers and this router's share is used up.
const SHARE_USED_BACKOFF: Duration = Duration::from_millis(100);
/// Time after the latest announcement at which a service no longer has targets in danger.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Interval at which an announcement heard in answers is repeated to other routers.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of routers to which an announcement is sent, drawn anew each time.
const FANOUT: usize = 6;
/// Maximum number of open queries stated in a report. Further ones make the owner count too few
/// requests for one round trip.
const MAX_OPEN_QUERIES: usize = 16;

/// A message between routers about targets in danger.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CapacityMessage {
    /// Asks an owner whether a request may be sent.
    Ask {
        /// Number of the query.
        query: u64,
        /// Digest of the target's id.
        target: u64,
        /// The sender's requests at the target, without this one.
        report: RequestReport,
    },
    /// Admits a request, or states when to ask again.
    Answer {
        /// Number of the query.
        query: u64,
        /// Absent if the request may be sent now, otherwise the time until the query should be
        /// repeated, in milliseconds.
        room_in_ms: Option<u32>,
    },
    /// Tells an owner of requests that ended.
    Report {
        /// Digest of the target's id.
        target: u64,
        /// The sender's requests at the target.
        report: RequestReport,
        /// Whether the target rejected a request of the sender.
        rejected: bool,
    },
    /// Tells a router that waits that a target has room now.
    Room {
        /// Digest of the target's id.
        target: u64,
    },
    /// The targets of a service state how many requests they can reject.
    Announcement {
        /// Name of the service.
        service: CompactString,
        /// The lowest number stated, per second.
        per_second: u32,
        /// Time since the first announcement, in milliseconds.
        age_ms: u64,
    },
}

/// A service whose targets are in danger.
#[derive(Debug)]
struct Episode {
    service: CompactString,
    limit: RejectionLimit,
    began: Instant,
    until: Instant,
    /// When this router heard the announcement in an answer.
    heard_at: Option<Instant>,
    /// When this router last passed it on.
    sent_at: Option<Instant>,
}

#[derive(Debug)]
struct OpenQuery {
    number: u64,
    target: u64,
    /// Taken when the answer comes. The query stays open until its request goes on, so that each
    /// report states either the query or the request.
    answer: Option<oneshot::Sender<Option<Duration>>>,
}

/// A request that waits for room at any target of its service.
#[derive(Debug)]
struct Waiter {
    number: u64,
    service: CompactString,
    /// The most urgent request has the lowest rank.
    rank: u8,
    wakeup: oneshot::Sender<()>,
}

/// Closes a query when its request goes on or is cancelled.
struct QueryGuard<'a> {
    open_queries: &'a RefCell<Vec<OpenQuery>>,
    number: u64,
}

/// Removes a waiter once it has been woken or cancelled.
struct WaiterGuard<'a> {
    waiters: &'a RefCell<Vec<Waiter>>,
    number: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.waiters.borrow_mut().retain(|w| w.number != self.number);
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.open_queries.borrow_mut().retain(|q| q.number != self.number);
    }
}

/// The targets at which requests of this router have ended since the last report. Nothing is
/// collected while no target is in danger.
#[derive(Debug, Default)]
pub struct EndedRequests {
    is_active: Cell<bool>,
    backends: RefCell<Vec<Rc<Backend>>>,
    added: Notify,
}

impl EndedRequests {
    /// Records that a request at the target has ended.
    pub fn record(&self, backend: &Rc<Backend>) {
        let mut backends = self.backends.borrow_mut();
        if self.is_active.get() && !backends.iter().any(|b| Rc::ptr_eq(b, backend)) {
            backends.push(backend.clone());
            self.added.notify_one();
        }
    }
}

/// What became of a request's query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Admitted,
    NoRoom(Duration),
    Silent,
}

/// Admits requests to targets in danger, locally or by a query to the owner.
#[derive(Debug)]
pub struct CapacityAdmissions {
    local_instance: CompactString,
    local_addr: SocketAddr,
    log: Log,
    stats: Stats,
    episodes: RefCell<Vec<Episode>>,
    routers: RefCell<Vec<OwnerCandidate>>,
    peers: RefCell<Vec<SocketAddr>>,
    /// Owners that did not answer, and when.
    silent_owners: RefCell<Vec<(SocketAddr, Instant)>>,
    limiters: RefCell<Vec<(u64, TargetLimiter)>>,
    open_queries: RefCell<Vec<OpenQuery>>,
    waiters: RefCell<Vec<Waiter>>,
    next_number: Cell<u64>,
    /// Requests of this router that have ended.
    pub ended: Rc<EndedRequests>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl CapacityAdmissions {
    /// Admissions of the router `local_instance`, which gets datagrams at `local_addr`.
    pub fn new(
        local_instance: CompactString,
        local_addr: SocketAddr,
        log: Log,
        stats: Stats,
    ) -> CapacityAdmissions {
        // Reports of a process must have larger numbers than those of its predecessor.
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        CapacityAdmissions {
            local_instance,
            local_addr,
            log,
            stats,
            episodes: RefCell::default(),
            routers: RefCell::default(),
            peers: RefCell::default(),
            silent_owners: RefCell::default(),
            limiters: RefCell::default(),
            open_queries: RefCell::default(),
            waiters: RefCell::default(),
            next_number: Cell::new(u64::try_from(started.as_micros()).unwrap_or_default()),
            ended: Rc::default(),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket for messages.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // Tasks are started only once, so the cell is still empty.
        drop(self.socket.set(socket));
    }

    /// Sets the routers that may own targets, and those to which announcements are sent.
    pub fn set_routers(&self, owners: Vec<OwnerCandidate>, peers: Vec<SocketAddr>) {
        *self.routers.borrow_mut() = owners;
        *self.peers.borrow_mut() = peers;
    }

    /// The rejections that the targets of a service can bear; `None` if they are not in danger.
    pub fn rejection_limit(&self, service: &str) -> Option<RejectionLimit> {
        let episodes = self.episodes.borrow();
        let now = Instant::now();
        episodes.iter().find(|e| e.service == service && e.until > now).map(|e| e.limit)
    }

    /// Records what a target of a service states in an answer.
    pub fn record_answer(&self, service: &str, stated: Option<RejectionLimit>) {
        let Some(limit) = stated else { return };
        let now = Instant::now();
        self.extend_episode(service, limit, now, "answer");
        let mut episodes = self.episodes.borrow_mut();
        if let Some(e) = episodes.iter_mut().find(|e| e.service == service) {
            e.heard_at = Some(now);
        }
    }

    /// Extends the episode of a service, or begins one.
    fn extend_episode(
        &self,
        service: &str,
        limit: RejectionLimit,
        began: Instant,
        source: &'static str,
    ) {
        let now = Instant::now();
        let until = now + ANNOUNCEMENT_TTL;
        let mut episodes = self.episodes.borrow_mut();
        if let Some(e) = episodes.iter_mut().find(|e| e.service == service) {
            // Targets of one service may state different numbers: the lowest one applies.
            let lower = limit.per_second() < e.limit.per_second();
            e.limit = if lower { limit } else { e.limit };
            e.began = e.began.min(began);
            e.until = until;
            return;
        }
        let service = CompactString::from(service);
        self.log.note(
            "rejection_limit",
            format_args!("service={service} state=stated limit={limit} source={source}"),
        );
        let (heard_at, sent_at) = (None, None);
        episodes.push(Episode { service, limit, began, until, heard_at, sent_at });
        self.ended.is_active.set(true);
        self.ended.added.notify_one();
    }

    fn end_episodes(&self, now: Instant) {
        let mut episodes = self.episodes.borrow_mut();
        let is_over = |e: &&Episode| e.until <= now;
        for e in episodes.iter().filter(is_over) {
            let (service, ms) = (&e.service, (now - e.began).as_millis());
            self.log.note(
                "rejection_limit",
                format_args!("service={service} state=over after_ms={ms}"),
            );
        }
        episodes.retain(|e| e.until > now);
        self.ended.is_active.set(!episodes.is_empty());
        self.limiters.borrow_mut().retain(|(_, l)| !l.is_idle(now));
        self.silent_owners.borrow_mut().retain(|(_, t)| *t + OWNER_SILENT_TIME > now);
        let n = i64::try_from(episodes.len()).unwrap_or(i64::MAX);
        self.stats.services_with_rejection_limit.set(n);
    }

    /// Admits one request to a target. It must be sent without a further wait.
    ///
    /// # Errors
    /// The time after which to try again.
    pub async fn admit(&self, backend: &Rc<Backend>, targets: &Targets) -> Result<(), Duration> {
        let (id, zone, service) = {
            let info = backend.info.borrow();
            (info.id.clone(), info.zone.clone(), info.service.clone())
        };
        let owners = rank_owners(&self.routers.borrow(), &id, &zone, MAX_OWNERS);
        let mut verdict = Verdict::Silent;
        for owner in owners.iter().filter(|o| !self.is_silent(o.addr)) {
            verdict = self.ask(owner, backend).await;
            if verdict != Verdict::Silent {
                break;
            }
            self.silent_owners.borrow_mut().push((owner.addr, Instant::now()));
            self.log.routine(
                "capacity",
                format_args!("target={id} owner={} outcome=silent", owner.instance),
            );
        }
        let (outcome, reason) = match verdict {
            Verdict::Admitted => (Ok(()), "admitted"),
            Verdict::NoRoom(room_in) => (Err(room_in), "held_off"),
            Verdict::Silent if self.has_share_left(backend, &service, targets) => (Ok(()), "share"),
            Verdict::Silent => (Err(SHARE_USED_BACKOFF), "share_used"),
        };
        self.stats.capacity_admissions.get_or_create(&ReasonLabel { reason }).inc();
        outcome
    }

    /// Whether this router may send a request without an owner: it has none at the target, and
    /// fewer at all targets of the service than its share of their slots.
    fn has_share_left(&self, backend: &Backend, service: &str, targets: &Targets) -> bool {
        let routers = self.routers.borrow().len().max(1);
        let of_service = targets.of_service(service);
        let slots: usize = of_service.iter().map(|b| b.info.borrow().slots as usize).sum();
        let sent: usize = of_service.iter().map(|b| b.sent_requests() as usize).sum();
        backend.sent_requests() == 0 && sent < (slots / routers).max(1)
    }

    fn is_silent(&self, owner: SocketAddr) -> bool {
        let now = Instant::now();
        let silent = self.silent_owners.borrow();
        silent.iter().any(|(addr, t)| *addr == owner && *t + OWNER_SILENT_TIME > now)
    }

    fn number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        number
    }

    /// This router's requests at a target.
    fn report(&self, backend: &Backend) -> RequestReport {
        let open_queries = self.open_queries.borrow();
        let open = open_queries.iter().filter(|q| q.target == backend.id_digest);
        let open = open.map(|q| q.number).take(MAX_OPEN_QUERIES).collect();
        let service = &backend.info.borrow().service;
        let waiting = self.waiters.borrow().iter().filter(|w| w.service == service).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        RequestReport { number: self.number(), sent: backend.sent_requests(), open, waiting }
    }

    /// Waits until a target of the service may have room, but not longer than `longest`. The most
    /// urgent request, by `rank`, is woken first.
    pub async fn wait_for_room(&self, service: &str, rank: u8, longest: Duration) {
        let number = self.number();
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { number, service: service.into(), rank, wakeup: tx };
        self.waiters.borrow_mut().push(waiter);
        let _guard = WaiterGuard { waiters: &self.waiters, number };
        // Without news the request tries again.
        let _ = timeout(longest, rx).await;
    }

    fn wake_waiter(&self, backend: &Backend) {
        backend.set_no_room(Duration::ZERO);
        let service = backend.info.borrow().service.clone();
        let mut waiters = self.waiters.borrow_mut();
        let of_service = waiters.iter().enumerate().filter(|(_, w)| w.service == service);
        let Some((i, _)) = of_service.min_by_key(|(_, w)| (w.rank, w.number)) else { return };
        // The receiver is gone if the request has just been cancelled.
        let _ = waiters.remove(i).wakeup.send(());
    }

    /// Tells routers that wait of the room at a target.
    fn tell_routers(&self, backend: &Backend) {
        let now = Instant::now();
        let told = self.with_limiter(backend, |limiter| limiter.routers_to_tell(now));
        for router in told {
            if router == self.local_addr {
                self.wake_waiter(backend);
            } else {
                self.send(&CapacityMessage::Room { target: backend.id_digest }, router);
            }
        }
    }

    async fn ask(&self, owner: &OwnerCandidate, backend: &Rc<Backend>) -> Verdict {
        let (query, target) = (self.number(), backend.id_digest);
        if owner.instance == self.local_instance {
            let report = self.report(backend);
            let outcome = self.admit_locally(self.local_addr, query, backend, &report);
            return outcome.map_or_else(Verdict::NoRoom, |()| Verdict::Admitted);
        }
        let (tx, rx) = oneshot::channel();
        let report = self.report(backend);
        let open = OpenQuery { number: query, target, answer: Some(tx) };
        self.open_queries.borrow_mut().push(open);
        let _guard = QueryGuard { open_queries: &self.open_queries, number: query };
        let asked = Instant::now();
        self.send(&CapacityMessage::Ask { query, target, report }, owner.addr);
        let answer = timeout(OWNER_TIMEOUT, rx).await.ok().and_then(Result::ok);
        match answer {
            // The process may have been paused after the answer came.
            Some(None) if asked.elapsed() >= OWNER_TIMEOUT => Verdict::NoRoom(SHARE_USED_BACKOFF),
            Some(None) => Verdict::Admitted,
            Some(Some(room_in)) => Verdict::NoRoom(room_in),
            None => Verdict::Silent,
        }
    }

    fn admit_locally(
        &self,
        router: SocketAddr,
        query: u64,
        backend: &Backend,
        report: &RequestReport,
    ) -> Result<(), Duration> {
        let now = Instant::now();
        self.with_limiter(backend, |limiter| {
            limiter.report(router, report, now);
            limiter.admit(router, query, now)
        })
    }

    fn with_limiter<T>(&self, backend: &Backend, f: impl FnOnce(&mut TargetLimiter) -> T) -> T {
        let now = Instant::now();
        let mut limiters = self.limiters.borrow_mut();
        let i = match limiters.binary_search_by_key(&backend.id_digest, |(t, _)| *t) {
            Ok(i) => i,
            Err(i) => {
                let (slots, service) = {
                    let info = backend.info.borrow();
                    (info.slots, info.service.clone())
                };
                let episodes = self.episodes.borrow();
                let episode = episodes.iter().find(|e| e.service == service);
                let takes_over = episode.is_some_and(|e| now - e.began > ANNOUNCEMENT_TTL);
                limiters.insert(i, (backend.id_digest, TargetLimiter::new(slots, takes_over, now)));
                i
            }
        };
        f(&mut limiters[i].1)
    }

    /// A target rejected a request of this router. Returns how long it gets no further ones, if it
    /// is in danger.
    pub fn record_rejection(&self, backend: &Rc<Backend>) -> Option<Duration> {
        let service = backend.info.borrow().service.clone();
        let limit = self.rejection_limit(&service)?;
        self.report_to_owner(backend, true);
        Some(pause_after_rejection(limit))
    }

    fn report_to_owner(&self, backend: &Rc<Backend>, rejected: bool) {
        let (id, zone) = {
            let info = backend.info.borrow();
            (info.id.clone(), info.zone.clone())
        };
        let owners = rank_owners(&self.routers.borrow(), &id, &zone, MAX_OWNERS);
        let Some(owner) = owners.iter().find(|o| !self.is_silent(o.addr)) else { return };
        let report = self.report(backend);
        if owner.instance == self.local_instance {
            return self.apply_report(self.local_addr, backend, &report, rejected);
        }
        let target = backend.id_digest;
        self.send(&CapacityMessage::Report { target, report, rejected }, owner.addr);
    }

    fn apply_report(
        &self,
        router: SocketAddr,
        backend: &Backend,
        report: &RequestReport,
        rejected: bool,
    ) {
        let now = Instant::now();
        let service = backend.info.borrow().service.clone();
        let limit = self.rejection_limit(&service);
        self.with_limiter(backend, |limiter| {
            limiter.report(router, report, now);
            let Some(limit) = limit.filter(|_| rejected) else { return };
            let pause = limiter.record_rejection(limit, now);
            let (n, allowed) = (limiter.requests(), limiter.current_limit(now));
            self.log.note(
                "capacity",
                format_args!(
                    "target={} outcome=rejected rejection_limit={limit} requests={n} limit={allowed} pause_ms={}",
                    backend.id(),
                    pause.as_millis()
                ),
            );
        });
        self.tell_routers(backend);
    }

    /// Reports ended requests and passes announcements on. Runs until cancelled.
    pub async fn run_sender(&self, targets: &Targets) {
        let mut repeat_at = Instant::now();
        loop {
            // While no target is in danger, there is nothing to repeat.
            if self.ended.is_active.get() {
                let left = repeat_at.saturating_duration_since(Instant::now());
                // Reports are repeated if no request ends until then.
                let _ = timeout(left, self.ended.added.notified()).await;
            } else {
                self.ended.added.notified().await;
            }
            // Requests that end together are reported together.
            yield_now().await;
            let now = Instant::now();
            self.end_episodes(now);
            let ended = std::mem::take(&mut *self.ended.backends.borrow_mut());
            ended.iter().for_each(|b| self.report_to_owner(b, false));
            self.send_announcements(now);
            if now >= repeat_at {
                self.repeat_reports(targets, &ended);
                repeat_at = now + REPORT_INTERVAL;
            }
        }
    }

    /// Reports the requests at all targets in danger that were not reported in this round.
    fn repeat_reports(&self, targets: &Targets, reported: &[Rc<Backend>]) {
        let services: Vec<_> = self.episodes.borrow().iter().map(|e| e.service.clone()).collect();
        for backend in services.iter().flat_map(|s| targets.of_service(s)) {
            let is_reported = reported.iter().any(|b| Rc::ptr_eq(b, &backend));
            if backend.sent_requests() > 0 && !is_reported {
                self.report_to_owner(&backend, false);
            }
        }
    }

    fn send_announcements(&self, now: Instant) {
        let mut messages = Vec::new();
        for e in self.episodes.borrow_mut().iter_mut() {
            let is_new = e.sent_at.is_none();
            let heard = e.heard_at.is_some_and(|t| t + ANNOUNCEMENT_INTERVAL > now);
            let is_due = e.sent_at.is_none_or(|t| t + ANNOUNCEMENT_INTERVAL <= now);
            if is_new || heard && is_due {
                e.sent_at = Some(now);
                messages.push(CapacityMessage::Announcement {
                    service: e.service.clone(),
                    per_second: e.limit.per_second(),
                    age_ms: u64::try_from((now - e.began).as_millis()).unwrap_or(u64::MAX),
                });
            }
        }
        for message in messages {
            let peers = fastrand::choose_multiple(self.peers.borrow().iter().copied(), FANOUT);
            peers.into_iter().for_each(|peer| self.send(&message, peer));
        }
    }

    fn send(&self, message: &CapacityMessage, to: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("writing to memory cannot fail");
        if let Err(e) = socket.try_send_to(&Topic::Capacity.frame(&bytes), to) {
            self.log.routine("peer", format_args!("to={to} outcome=unsent cause={e}"));
        }
    }

    /// Handles a message from another router.
    pub fn handle_datagram(&self, from: SocketAddr, bytes: &[u8], targets: &Targets) {
        match ciborium::from_reader::<CapacityMessage, _>(bytes) {
            Ok(CapacityMessage::Ask { query, target, report }) => {
                // A router that does not know the target yet cannot count its requests.
                let Some(backend) = targets.by_digest(target) else { return };
                let outcome = self.admit_locally(from, query, &backend, &report);
                let room_in_ms =
                    outcome.err().map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX).max(1));
                self.send(&CapacityMessage::Answer { query, room_in_ms }, from);
            }
            Ok(CapacityMessage::Answer { query, room_in_ms }) => {
                let mut open_queries = self.open_queries.borrow_mut();
                // The query has timed out if it is no longer open.
                let Some(i) = open_queries.iter().position(|q| q.number == query) else { return };
                let room_in = room_in_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                if let Some(answer) = open_queries[i].answer.take() {
                    // The receiver is gone if the request was cancelled.
                    let _ = answer.send(room_in);
                }
            }
            Ok(CapacityMessage::Report { target, report, rejected }) => {
                let Some(backend) = targets.by_digest(target) else { return };
                self.apply_report(from, &backend, &report, rejected);
            }
            Ok(CapacityMessage::Room { target }) => {
                if let Some(backend) = targets.by_digest(target) {
                    self.wake_waiter(&backend);
                }
            }
            Ok(CapacityMessage::Announcement { service, per_second, age_ms }) => {
                let limit = RejectionLimit::PerSecond(per_second);
                let now = Instant::now();
                let began = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
                self.extend_episode(&service, limit, began, "peer");
            }
            Err(e) => self.log.note("peer", format_args!("topic=capacity error={e}")),
        }
    }
}
