//! Admission control of a router: one gate per service, and the requests waiting at each.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::error::{Error, Kind, Result};
use crate::ids::{Millis, OrganisationId, ServiceId};
use crate::route::gate::{Gate, GateDecision, Ticket};

/// Maximum time that a request waits in a queue.
pub const MAX_QUEUE_WAIT: Millis = Millis(10_000);
/// Maximum number of requests in flight until the targets of a service are known.
const INITIAL_CAPACITY: u32 = 8;

/// Gate of one service and its waiting requests, sorted by ticket.
#[derive(Debug)]
struct ServiceGate {
    service: ServiceId,
    gate: Gate,
    waiting: Vec<(Ticket, oneshot::Sender<()>)>,
}

/// The gates of all services.
#[derive(Debug, Default)]
pub struct Gates(Mutex<Vec<ServiceGate>>);

/// Parameters for admitting a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service to call.
    pub service: ServiceId,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Weight of the organisation in fair queueing.
    pub weight: u32,
    /// Maximum number of requests that the organisation may have in flight.
    pub limit: u32,
    /// Priority of the request; a larger number is more urgent.
    pub priority: u8,
}

impl Gates {
    fn lock(&self) -> MutexGuard<'_, Vec<ServiceGate>> {
        self.0.lock().expect("the gates lock is never poisoned")
    }

    fn service_gate<'a>(
        service_gates: &'a mut Vec<ServiceGate>,
        service: &ServiceId,
    ) -> &'a mut ServiceGate {
        let index =
            service_gates.binary_search_by(|g| g.service.cmp(service)).unwrap_or_else(|index| {
                let gate = Gate::new(INITIAL_CAPACITY, MAX_QUEUE_WAIT);
                service_gates.insert(
                    index,
                    ServiceGate { service: service.clone(), gate, waiting: Vec::new() },
                );
                index
            });
        &mut service_gates[index]
    }

    /// Sets the maximum number of requests of a service in flight, and admits waiting requests if
    /// there is room.
    pub fn set_capacity(&self, now: Millis, service: &ServiceId, capacity: u32) {
        let mut service_gates = self.lock();
        let service_gate = Self::service_gate(&mut service_gates, service);
        service_gate.gate.set_capacity(capacity);
        let admitted = service_gate.gate.start_waiting(now);
        wake_admitted(&mut service_gate.waiting, admitted);
    }

    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// Returns `OrganisationLimit` if the organisation has too many requests in flight or waiting,
    /// or `Shed` if the service is overloaded or the wait takes too long.
    pub async fn enter(&self, now: Millis, request: &AdmissionRequest) -> Result<()> {
        let (ticket, rx) = {
            let mut service_gates = self.lock();
            let service_gate = Self::service_gate(&mut service_gates, &request.service);
            match service_gate.gate.enter(
                now,
                &request.organisation,
                request.weight,
                request.limit,
                request.priority,
            ) {
                GateDecision::Pass => return Ok(()),
                GateDecision::Refused(kind) => return Err(refusal_error(kind)),
                GateDecision::Wait(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    service_gate.waiting.push((ticket, tx));
                    (ticket, rx)
                }
            }
        };
        if tokio::time::timeout(MAX_QUEUE_WAIT.duration(), rx)
            .await
            .is_ok_and(|admitted| admitted.is_ok())
        {
            return Ok(());
        }
        let mut service_gates = self.lock();
        let service_gate = Self::service_gate(&mut service_gates, &request.service);
        match service_gate.waiting.iter().position(|(t, _)| *t == ticket) {
            Some(index) => {
                service_gate.waiting.remove(index);
                service_gate.gate.cancel(ticket);
                Err(refusal_error(Kind::Shed))
            }
            // The request was admitted at the moment of the timeout.
            None => Ok(()),
        }
    }

    /// Ends an admitted request and admits waiting ones in its place.
    pub fn leave(&self, now: Millis, request: &AdmissionRequest, service_time: Millis) {
        let mut service_gates = self.lock();
        let service_gate = Self::service_gate(&mut service_gates, &request.service);
        let admitted = service_gate.gate.leave(now, &request.organisation, service_time);
        wake_admitted(&mut service_gate.waiting, admitted);
    }

    /// Returns the number of requests in flight and waiting, over all services.
    pub fn load(&self) -> (u32, usize) {
        let service_gates = self.lock();
        service_gates.iter().map(|g| g.gate.load()).fold((0, 0), |a, l| (a.0 + l.0, a.1 + l.1))
    }
}

fn wake_admitted(waiting: &mut Vec<(Ticket, oneshot::Sender<()>)>, admitted: Vec<Ticket>) {
    for ticket in admitted {
        if let Ok(index) = waiting.binary_search_by(|(t, _)| t.cmp(&ticket)) {
            let (_, tx) = waiting.remove(index);
            // If the receiver is gone, the request timed out at this moment. It finds its ticket
            // removed and counts as admitted.
            let _ = tx.send(());
        }
    }
}

fn refusal_error(kind: Kind) -> Error {
    let message = match kind {
        Kind::OrganisationLimit => "this organisation has too many requests in flight or waiting",
        _ => "the service is loaded beyond what can be served in time",
    };
    Error::new(kind, message)
}
