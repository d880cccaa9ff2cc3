//! Admission to the targets: at most so many requests in flight, the rest in a bounded queue that
//! is fair among organisations.

use crate::error::Kind;
use crate::ids::{Millis, OrganisationId};

/// Waiting requests of one organisation, in multiples of its allowance in flight.
const QUEUE_SLOTS_PER_IN_FLIGHT: usize = 4;
/// Cost of one request in virtual time, divided by the organisation's weight.
const REQUEST_VIRTUAL_COST: u64 = 1_000_000;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The gate's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// Go on.
    Pass,
    /// Wait for this number to be called.
    Wait(Ticket),
    /// Too much waits already.
    Refused(Kind),
}

#[derive(Debug)]
struct Queued {
    ticket: Ticket,
    priority: u8,
    /// Virtual time at which the request would end if every organisation got its weight.
    finish: u64,
    since: Millis,
}

#[derive(Debug)]
struct OrganisationQueue {
    id: OrganisationId,
    weight: u32,
    in_flight: u32,
    limit: u32,
    last_finish: u64,
    queue: Vec<Queued>,
}

/// The gate of one service at one router.
#[derive(Debug)]
pub struct Gate {
    capacity: u32,
    in_flight: u32,
    virtual_time: u64,
    next: u64,
    max_wait: Millis,
    queues: Vec<OrganisationQueue>,
    /// Service time of recent requests, in milliseconds, as a moving average.
    service_ms: u64,
}

impl Gate {
    /// A gate of `capacity` requests at a time, that queues none longer than `max_wait`.
    pub fn new(capacity: u32, max_wait: Millis) -> Gate {
        Gate {
            capacity,
            in_flight: 0,
            virtual_time: 0,
            next: 0,
            max_wait,
            queues: Vec::new(),
            service_ms: 0,
        }
    }

    /// Changes the capacity; whatever is in flight stays.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Requests in flight and waiting.
    pub fn load(&self) -> (u32, usize) {
        (self.in_flight, self.queues.iter().map(|org| org.queue.len()).sum())
    }

    fn queue_index(&mut self, id: &OrganisationId, weight: u32, limit: u32) -> usize {
        let index = self.queues.binary_search_by(|org| org.id.cmp(id)).unwrap_or_else(|index| {
            let last_finish = self.virtual_time;
            let queue = Vec::new();
            let id = id.clone();
            self.queues.insert(
                index,
                OrganisationQueue { id, weight, in_flight: 0, limit, last_finish, queue },
            );
            index
        });
        self.queues[index].weight = weight.max(1);
        self.queues[index].limit = limit;
        index
    }

    /// A request arrives.
    ///
    /// One that would wait past the bound is refused now: holding it back would cost the caller
    /// the time and the queue the room.
    pub fn enter(
        &mut self,
        now: Millis,
        id: &OrganisationId,
        weight: u32,
        limit: u32,
        priority: u8,
    ) -> GateDecision {
        let index = self.queue_index(id, weight, limit);
        let org = &self.queues[index];
        let below_limit = org.in_flight < org.limit;
        if below_limit && org.queue.is_empty() && self.in_flight < self.capacity {
            self.start(index);
            return GateDecision::Pass;
        }
        if org.queue.len() >= org.limit as usize * QUEUE_SLOTS_PER_IN_FLIGHT {
            return GateDecision::Refused(Kind::OrganisationLimit);
        }
        if self.expected_wait(index) > self.max_wait {
            return GateDecision::Refused(Kind::Shed);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let virtual_time = self.virtual_time;
        let org = &mut self.queues[index];
        let finish =
            org.last_finish.max(virtual_time) + REQUEST_VIRTUAL_COST / u64::from(org.weight);
        org.last_finish = finish;
        let at = org.queue.partition_point(|q| q.priority >= priority);
        org.queue.insert(at, Queued { ticket, priority, finish, since: now });
        GateDecision::Wait(ticket)
    }

    /// How long a new request of this organisation would wait: its own queue ahead of it, served
    /// at its share of the gate.
    fn expected_wait(&self, index: usize) -> Millis {
        let waiting = |org: &&OrganisationQueue| !org.queue.is_empty();
        let weights: u64 =
            self.queues.iter().filter(waiting).map(|org| u64::from(org.weight)).sum();
        let org = &self.queues[index];
        let own = u64::from(org.weight);
        let total = if org.queue.is_empty() { weights + own } else { weights };
        let ahead = org.queue.len() as u64 + 1;
        let share = u64::from(self.capacity.max(1)) * own;
        Millis(ahead * self.service_ms * total / share)
    }

    fn start(&mut self, index: usize) {
        self.queues[index].in_flight += 1;
        self.in_flight += 1;
    }

    /// A request that passed is over, after `service` in flight. Those called now.
    pub fn leave(&mut self, now: Millis, id: &OrganisationId, service: Millis) -> Vec<Ticket> {
        self.service_ms =
            if self.service_ms == 0 { service.0 } else { (self.service_ms * 15 + service.0) / 16 };
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Ok(index) = self.queues.binary_search_by(|org| org.id.cmp(id)) {
            let org = &mut self.queues[index];
            org.in_flight = org.in_flight.saturating_sub(1);
        }
        let started = self.start_waiting(now);
        self.queues.retain(|org| org.in_flight > 0 || !org.queue.is_empty());
        started
    }

    /// Starts whatever may start: the highest priority first, then the earliest virtual finish.
    pub fn start_waiting(&mut self, now: Millis) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.in_flight < self.capacity {
            let eligible =
                self.queues.iter().enumerate().filter(|(_, org)| org.in_flight < org.limit);
            let heads = eligible.filter_map(|(i, org)| {
                org.queue.first().map(|q| (u8::MAX - q.priority, q.finish, i))
            });
            let Some((_, finish, index)) = heads.min() else { break };
            let q = self.queues[index].queue.remove(0);
            self.virtual_time = self.virtual_time.max(finish.saturating_sub(REQUEST_VIRTUAL_COST));
            log::debug!("gate=call ticket={} waited={}", q.ticket.0, now.since(q.since));
            self.start(index);
            started.push(q.ticket);
        }
        started
    }

    /// A waiting request gave up.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queues.iter_mut().for_each(|org| org.queue.retain(|q| q.ticket != ticket));
        self.queues.retain(|org| org.in_flight > 0 || !org.queue.is_empty());
    }
}
