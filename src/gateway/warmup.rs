//! Requests to cold targets: admitted here if this router owns the target, else by its owner, who
//! is asked by datagram.

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
use super::cold::{ADMISSION_LIFE, Admitter, Owner, Pace, owner};
use super::datagram::Topic;
use crate::oplog::Log;
use crate::stats::{Reason, Stats};

/// How long a target is left alone whose owner does not answer, or is not known.
const OWNER_SILENT: Duration = Duration::from_millis(200);
/// How long it is left alone when an admission came too late to be used.
const TOO_LATE: Duration = Duration::from_millis(20);

/// A word between a router that has a request and the owner of a cold target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Word {
    /// May one request go to the target of this digest?
    Ask {
        /// Number of the question.
        number: u64,
        /// Digest of the target's id.
        target: u64,
    },
    /// It may; or there is room in so many ms.
    Answer {
        /// Number of the question.
        number: u64,
        /// Absent: the request may go now.
        room_in_ms: Option<u32>,
    },
}

/// Admission of requests to cold targets.
#[derive(Debug)]
pub struct Admissions {
    me: CompactString,
    log: Log,
    stats: Stats,
    owners: RefCell<Vec<Owner>>,
    own: RefCell<Admitter>,
    asked: RefCell<Vec<(u64, oneshot::Sender<Option<Duration>>)>>,
    next_number: Cell<u64>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl Admissions {
    /// For the router `me`, which knows no others yet.
    pub fn new(me: CompactString, log: Log, stats: Stats) -> Admissions {
        Admissions {
            me,
            log,
            stats,
            owners: RefCell::default(),
            own: RefCell::new(Admitter::new(Instant::now())),
            asked: RefCell::default(),
            next_number: Cell::new(fastrand::u64(..)),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket for questions and answers.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A router starts its tasks once.
        drop(self.socket.set(socket));
    }

    /// Sets the routers that may own targets; this one is among them if it may.
    pub fn set_owners(&self, owners: Vec<Owner>) {
        *self.owners.borrow_mut() = owners;
    }

    /// The router that admits requests to a target while it is cold.
    pub fn owner_of(&self, target: &str, zone: &str) -> Option<CompactString> {
        owner(&self.owners.borrow(), target, zone).map(|o| o.instance.clone())
    }

    /// Admits one request of this router to a cold target. It must leave within
    /// [`ADMISSION_LIFE`].
    ///
    /// # Errors
    /// The time until it makes sense to ask again.
    pub async fn admit(&self, target: &str, zone: &str, pace: Pace) -> Result<(), Duration> {
        let owner = owner(&self.owners.borrow(), target, zone).cloned();
        let outcome = match &owner {
            Some(o) if o.instance == self.me => self.admit_own(target_digest(target), pace),
            Some(o) => self.ask(o.addr, target_digest(target)).await,
            None => Err(OWNER_SILENT),
        };
        let reason = if outcome.is_ok() { "admitted" } else { "held_off" };
        self.stats.cold.get_or_create(&Reason { reason }).inc();
        outcome
    }

    fn admit_own(&self, word: u64, pace: Pace) -> Result<(), Duration> {
        self.own.borrow_mut().admit(word, Instant::now(), pace)
    }

    async fn ask(&self, owner: SocketAddr, target: u64) -> Result<(), Duration> {
        let socket = self.socket.get().ok_or(OWNER_SILENT)?;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (tx, rx) = oneshot::channel();
        self.asked.borrow_mut().push((number, tx));
        let sent = Instant::now();
        let answer = match say(socket, &Word::Ask { number, target }, owner) {
            Ok(()) => timeout(ADMISSION_LIFE, rx).await.ok().and_then(Result::ok),
            Err(e) => {
                self.log.routine("peer", format_args!("to={owner} outcome=unsent cause={e}"));
                None
            }
        };
        self.asked.borrow_mut().retain(|(n, _)| *n != number);
        match answer {
            Some(None) if sent.elapsed() < ADMISSION_LIFE => Ok(()),
            Some(None) => Err(TOO_LATE),
            Some(Some(room_in)) => Err(room_in),
            None => Err(OWNER_SILENT),
        }
    }

    /// Takes in a word of another router. `target_of` names the target of a digest that this
    /// router knows, its zone and pace.
    pub fn heard(
        &self,
        from: SocketAddr,
        bytes: &[u8],
        target_of: impl Fn(u64) -> Option<(CompactString, CompactString, Pace)>,
    ) {
        match ciborium::from_reader::<Word, _>(bytes) {
            Ok(Word::Ask { number, target }) => {
                let outcome = self.answer(target, target_of(target));
                let room_in_ms =
                    outcome.err().map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX).max(1));
                let Some(socket) = self.socket.get() else { return };
                if let Err(e) = say(socket, &Word::Answer { number, room_in_ms }, from) {
                    self.log.routine("peer", format_args!("to={from} outcome=unsent cause={e}"));
                }
            }
            Ok(Word::Answer { number, room_in_ms }) => {
                let mut asked = self.asked.borrow_mut();
                // One that is not known any more came too late.
                let Some(i) = asked.iter().position(|(n, _)| *n == number) else { return };
                let room_in = room_in_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                // Its request may have been given up.
                let _ = asked.swap_remove(i).1.send(room_in);
            }
            Err(e) => self.log.note("peer", format_args!("topic=cold error={e}")),
        }
    }

    /// Admits only to targets that this router owns by its own list: who asks may have another.
    fn answer(
        &self,
        word: u64,
        target: Option<(CompactString, CompactString, Pace)>,
    ) -> Result<(), Duration> {
        let (target, zone, pace) = target.ok_or(OWNER_SILENT)?;
        let owners = self.owners.borrow();
        if owner(&owners, &target, &zone).is_none_or(|o| o.instance != self.me) {
            return Err(OWNER_SILENT);
        }
        self.admit_own(word, pace)
    }
}

fn say(socket: &UdpSocket, word: &Word, to: SocketAddr) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(word, &mut bytes).expect("writing to memory cannot fail");
    socket.try_send_to(&Topic::Cold.frame(&bytes), to).map(drop)
}
