//! Admission of requests to cold targets. The router that owns a target admits requests locally;
//! every other router queries the owner by datagram.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::backend::target_digest;
use super::cold::{ADMISSION_TTL, AdmissionLimit, Admitter, OwnerCandidate, pick_owner};
use super::datagram::Topic;
use crate::oplog::Log;
use crate::stats::{ReasonLabel, Stats};

/// How long a cold target is not tried again if its owner does not answer or is unknown.
const OWNER_SILENT_BACKOFF: Duration = Duration::from_millis(200);
/// How long a cold target is not tried again after an admission arrived too late to be used.
const LATE_ADMISSION_BACKOFF: Duration = Duration::from_millis(20);

/// A message between a router that has a request and the owner of a cold target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum AdmissionMessage {
    /// Query whether one request may be sent to a target.
    Ask {
        /// Number of the query.
        number: u64,
        /// Digest of the target's id.
        target: u64,
    },
    /// Admits the request, or states when the next one can be admitted.
    Answer {
        /// Number of the query.
        number: u64,
        /// Absent if the request may be sent now, otherwise the time until the next one can be
        /// admitted, in milliseconds.
        room_in_ms: Option<u32>,
    },
}

/// Admits requests to cold targets, locally or by a query to the owner.
#[derive(Debug)]
pub struct Admissions {
    local_instance: CompactString,
    log: Log,
    stats: Stats,
    owners: RefCell<Vec<OwnerCandidate>>,
    local_admitter: RefCell<Admitter>,
    open_queries: RefCell<Vec<(u64, oneshot::Sender<Option<Duration>>)>>,
    next_number: Cell<u64>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl Admissions {
    /// Admissions of the router `local_instance`, without any known owners.
    pub fn new(local_instance: CompactString, log: Log, stats: Stats) -> Admissions {
        Admissions {
            local_instance,
            log,
            stats,
            owners: RefCell::default(),
            local_admitter: RefCell::new(Admitter::new(Instant::now())),
            open_queries: RefCell::default(),
            next_number: Cell::new(fastrand::u64(..)),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket for queries and answers.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // Tasks are started only once, so the cell is still empty.
        drop(self.socket.set(socket));
    }

    /// Sets the routers that may own targets. This router is included if it may own targets itself.
    pub fn set_owners(&self, owners: Vec<OwnerCandidate>) {
        *self.owners.borrow_mut() = owners;
    }

    /// Name of the router that admits requests to a target while it is cold.
    pub fn owner_of(&self, target: &str, zone: &str) -> Option<CompactString> {
        pick_owner(&self.owners.borrow(), target, zone).map(|o| o.instance)
    }

    /// Admits one request of this router to a cold target. The request must be sent within
    /// [`ADMISSION_TTL`].
    ///
    /// # Errors
    /// The time after which to try again.
    pub async fn admit(
        &self,
        target: &str,
        zone: &str,
        limit: AdmissionLimit,
    ) -> Result<(), Duration> {
        let owner = pick_owner(&self.owners.borrow(), target, zone);
        let outcome = match &owner {
            Some(o) if o.instance == self.local_instance => {
                self.admit_locally(target_digest(target), limit)
            }
            Some(o) => self.query_owner(o.addr, target_digest(target)).await,
            None => Err(OWNER_SILENT_BACKOFF),
        };
        let reason = if outcome.is_ok() { "admitted" } else { "held_off" };
        self.stats.cold_admissions.get_or_create(&ReasonLabel { reason }).inc();
        outcome
    }

    fn admit_locally(&self, target_digest: u64, limit: AdmissionLimit) -> Result<(), Duration> {
        self.local_admitter.borrow_mut().admit(target_digest, Instant::now(), limit)
    }

    async fn query_owner(&self, owner: SocketAddr, target: u64) -> Result<(), Duration> {
        let socket = self.socket.get().ok_or(OWNER_SILENT_BACKOFF)?;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (tx, rx) = oneshot::channel();
        self.open_queries.borrow_mut().push((number, tx));
        let sent = Instant::now();
        let answer = match send_message(socket, &AdmissionMessage::Ask { number, target }, owner) {
            Ok(()) => timeout(ADMISSION_TTL, rx).await.ok().and_then(Result::ok),
            Err(e) => {
                self.log.routine("peer", format_args!("to={owner} outcome=unsent cause={e}"));
                None
            }
        };
        self.open_queries.borrow_mut().retain(|(n, _)| *n != number);
        match answer {
            Some(None) if sent.elapsed() < ADMISSION_TTL => Ok(()),
            Some(None) => Err(LATE_ADMISSION_BACKOFF),
            Some(Some(room_in)) => Err(room_in),
            None => Err(OWNER_SILENT_BACKOFF),
        }
    }

    /// Handles a message from another router. `target_of` maps the digest of a target that this
    /// router knows to its id, zone and admission limit.
    pub fn handle_datagram(
        &self,
        from: SocketAddr,
        bytes: &[u8],
        target_of: impl Fn(u64) -> Option<(CompactString, CompactString, AdmissionLimit)>,
    ) {
        match ciborium::from_reader::<AdmissionMessage, _>(bytes) {
            Ok(AdmissionMessage::Ask { number, target }) => {
                let outcome = self.answer_query(target, target_of(target));
                let room_in_ms =
                    outcome.err().map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX).max(1));
                let Some(socket) = self.socket.get() else { return };
                if let Err(e) =
                    send_message(socket, &AdmissionMessage::Answer { number, room_in_ms }, from)
                {
                    self.log.routine("peer", format_args!("to={from} outcome=unsent cause={e}"));
                }
            }
            Ok(AdmissionMessage::Answer { number, room_in_ms }) => {
                let mut open_queries = self.open_queries.borrow_mut();
                // The query has timed out if it is no longer open.
                let Some(i) = open_queries.iter().position(|(n, _)| *n == number) else { return };
                let room_in = room_in_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                // The receiver is gone if the request was cancelled.
                let _ = open_queries.swap_remove(i).1.send(room_in);
            }
            Err(e) => self.log.note("peer", format_args!("topic=cold error={e}")),
        }
    }

    /// Admits a request to a target only if this router owns it by its own list of routers. The
    /// list of the querying router may differ.
    fn answer_query(
        &self,
        target_digest: u64,
        target: Option<(CompactString, CompactString, AdmissionLimit)>,
    ) -> Result<(), Duration> {
        let (target, zone, limit) = target.ok_or(OWNER_SILENT_BACKOFF)?;
        let owners = self.owners.borrow();
        if pick_owner(&owners, &target, &zone).is_none_or(|o| o.instance != self.local_instance) {
            return Err(OWNER_SILENT_BACKOFF);
        }
        self.admit_locally(target_digest, limit)
    }
}

fn send_message(
    socket: &UdpSocket,
    message: &AdmissionMessage,
    to: SocketAddr,
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to memory cannot fail");
    socket.try_send_to(&Topic::Cold.frame(&bytes), to).map(drop)
}
