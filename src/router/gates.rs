//! The gates of all services at one router, with those who wait before them.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::error::{Error, Kind, Result};
use crate::ids::{Millis, OrganisationId, ServiceId};
use crate::route::gate::{Gate, GateDecision, Ticket};

/// Longest time in a queue.
pub const MAX_WAIT: Millis = Millis(10_000);
/// Requests in flight before a service's targets are known.
const FIRST_CAPACITY: u32 = 8;

#[derive(Debug)]
struct Door {
    service: ServiceId,
    gate: Gate,
    waiting: Vec<(Ticket, oneshot::Sender<()>)>,
}

/// All gates.
#[derive(Debug, Default)]
pub struct Gates(Mutex<Vec<Door>>);

/// Who wants in.
#[derive(Clone, Debug)]
pub struct Visitor {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its weight.
    pub weight: u32,
    /// Its limit in flight.
    pub limit: u32,
    /// Larger is more urgent.
    pub priority: u8,
}

impl Gates {
    fn lock(&self) -> MutexGuard<'_, Vec<Door>> {
        self.0.lock().expect("no code panics while it holds the gates")
    }

    fn door<'a>(doors: &'a mut Vec<Door>, service: &ServiceId) -> &'a mut Door {
        let place = doors.binary_search_by(|d| d.service.cmp(service)).unwrap_or_else(|place| {
            let gate = Gate::new(FIRST_CAPACITY, MAX_WAIT);
            doors.insert(place, Door { service: service.clone(), gate, waiting: Vec::new() });
            place
        });
        &mut doors[place]
    }

    /// Sets how many requests of a service may be in flight.
    pub fn set_capacity(&self, now: Millis, service: &ServiceId, capacity: u32) {
        let mut doors = self.lock();
        let door = Self::door(&mut doors, service);
        door.gate.set_capacity(capacity);
        let called = door.gate.start_waiting(now);
        wake(&mut door.waiting, called);
    }

    /// Passes, waits, or is refused.
    ///
    /// # Errors
    /// `OrganisationLimit` or `Shed`.
    pub async fn enter(&self, now: Millis, v: &Visitor) -> Result<()> {
        let (ticket, rx) = {
            let mut doors = self.lock();
            let door = Self::door(&mut doors, &v.service);
            match door.gate.enter(now, &v.organisation, v.weight, v.limit, v.priority) {
                GateDecision::Pass => return Ok(()),
                GateDecision::Refused(kind) => return Err(refused(kind)),
                GateDecision::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    door.waiting.push((ticket, tx));
                    (ticket, rx)
                }
            }
        };
        if tokio::time::timeout(MAX_WAIT.duration(), rx).await.is_ok_and(|called| called.is_ok()) {
            return Ok(());
        }
        let mut doors = self.lock();
        let door = Self::door(&mut doors, &v.service);
        match door.waiting.iter().position(|(t, _)| *t == ticket) {
            Some(place) => {
                door.waiting.remove(place);
                door.gate.cancel(ticket);
                Err(refused(Kind::Shed))
            }
            // Called in the same moment: it is in.
            None => Ok(()),
        }
    }

    /// A request that passed is over.
    pub fn leave(&self, now: Millis, v: &Visitor, service_time: Millis) {
        let mut doors = self.lock();
        let door = Self::door(&mut doors, &v.service);
        let called = door.gate.leave(now, &v.organisation, service_time);
        wake(&mut door.waiting, called);
    }

    /// Requests in flight and waiting, over all services.
    pub fn load(&self) -> (u32, usize) {
        let doors = self.lock();
        doors.iter().map(|d| d.gate.load()).fold((0, 0), |a, l| (a.0 + l.0, a.1 + l.1))
    }
}

fn wake(waiting: &mut Vec<(Ticket, oneshot::Sender<()>)>, called: Vec<Ticket>) {
    for ticket in called {
        if let Ok(place) = waiting.binary_search_by(|(t, _)| t.cmp(&ticket)) {
            let (_, tx) = waiting.remove(place);
            // Whoever stopped waiting finds its ticket gone, and counts as in.
            let _ = tx.send(());
        }
    }
}

fn refused(kind: Kind) -> Error {
    let message = match kind {
        Kind::OrganisationLimit => "this organisation has too many requests in flight or waiting",
        _ => "the service is loaded beyond what can be served in time",
    };
    Error::new(kind, message)
}
