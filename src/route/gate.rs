//! Admission control for targets: limits the requests in flight and queues the rest in a bounded
//! queue that is fair among organisations (weighted fair queueing).

use crate::error::Kind;
use crate::ids::{Millis, OrganisationId};

/// Maximum number of queued requests of an organisation, per request that it may have in flight.
const QUEUE_SLOTS_PER_IN_FLIGHT: usize = 4;
/// Virtual time that one request costs an organisation of weight 1.
const REQUEST_VIRTUAL_COST: u64 = 1_000_000;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Decision about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request may proceed.
    Pass,
    /// The request is queued and proceeds when its ticket is returned by [`Gate::leave`] or
    /// [`Gate::start_waiting`].
    Wait(Ticket),
    /// The request is refused because too many others are waiting: `OrganisationLimit` or `Shed`.
    Refused(Kind),
}

#[derive(Debug)]
struct Queued {
    ticket: Ticket,
    priority: u8,
    /// Virtual time at which the request would finish if every organisation got a share of the
    /// capacity proportional to its weight.
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

/// Admission control for one service at one router.
#[derive(Debug)]
pub struct Gate {
    capacity: u32,
    in_flight: u32,
    virtual_time: u64,
    next: u64,
    max_wait: Millis,
    queues: Vec<OrganisationQueue>,
    /// Moving average of the service times of recent requests, in milliseconds.
    service_ms: u64,
}

impl Gate {
    /// Creates a gate that admits up to `capacity` requests at a time and refuses those that would
    /// wait longer than `max_wait`.
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

    /// Changes the capacity. Requests in flight are not affected.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Returns the numbers of requests in flight and queued.
    pub fn load(&self) -> (u32, usize) {
        (self.in_flight, self.queues.iter().map(|org| org.queue.len()).sum())
    }

    fn upsert_queue(&mut self, id: &OrganisationId, weight: u32, limit: u32) -> usize {
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

    /// Admits, queues or refuses a new request.
    ///
    /// A request that would wait longer than `max_wait` is refused at once. Queueing it would only
    /// cost the caller time and take up room in the queue.
    pub fn enter(
        &mut self,
        now: Millis,
        id: &OrganisationId,
        weight: u32,
        limit: u32,
        priority: u8,
    ) -> GateDecision {
        let index = self.upsert_queue(id, weight, limit);
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

    /// Estimates how long a new request of this organisation would wait behind its own queue, which
    /// is served at the organisation's share of the capacity.
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

    /// Completes an admitted request that was in flight for `service`. Returns the tickets of the
    /// queued requests that may proceed now.
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

    /// Admits queued requests while there is capacity, by highest priority and then by earliest
    /// virtual finish time. Returns their tickets.
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

    /// Removes a queued request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queues.iter_mut().for_each(|org| org.queue.retain(|q| q.ticket != ticket));
        self.queues.retain(|org| org.in_flight > 0 || !org.queue.is_empty());
    }
}
