//! Admission to the targets: at most so many requests in flight, the rest in a bounded queue that
//! is fair among organisations.

use crate::error::Kind;
use crate::ids::{Millis, OrganisationId};

/// Waiting requests of one organisation, in multiples of its allowance in flight.
const QUEUE_FACTOR: usize = 4;
/// Cost of one request in virtual time, divided by the organisation's weight.
const UNIT: u64 = 1_000_000;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The gate's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
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
struct Member {
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
    members: Vec<Member>,
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
            members: Vec::new(),
            service_ms: 0,
        }
    }

    /// Changes the capacity; whatever is in flight stays.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Requests in flight and waiting.
    pub fn load(&self) -> (u32, usize) {
        (self.in_flight, self.members.iter().map(|m| m.queue.len()).sum())
    }

    fn member(&mut self, id: &OrganisationId, weight: u32, limit: u32) -> usize {
        let place = self.members.binary_search_by(|m| m.id.cmp(id)).unwrap_or_else(|place| {
            let last_finish = self.virtual_time;
            let queue = Vec::new();
            let id = id.clone();
            self.members
                .insert(place, Member { id, weight, in_flight: 0, limit, last_finish, queue });
            place
        });
        self.members[place].weight = weight.max(1);
        self.members[place].limit = limit;
        place
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
    ) -> Entry {
        let place = self.member(id, weight, limit);
        let m = &self.members[place];
        let own_room = m.in_flight < m.limit;
        if own_room && m.queue.is_empty() && self.in_flight < self.capacity {
            self.start(place);
            return Entry::Pass;
        }
        if m.queue.len() >= m.limit as usize * QUEUE_FACTOR {
            return Entry::Refused(Kind::OrganisationLimit);
        }
        if self.expected_wait(place) > self.max_wait {
            return Entry::Refused(Kind::Shed);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let virtual_time = self.virtual_time;
        let m = &mut self.members[place];
        let finish = m.last_finish.max(virtual_time) + UNIT / u64::from(m.weight);
        m.last_finish = finish;
        let at = m.queue.partition_point(|q| q.priority >= priority);
        m.queue.insert(at, Queued { ticket, priority, finish, since: now });
        Entry::Wait(ticket)
    }

    /// How long a new request of this organisation would wait: its own queue ahead of it, served
    /// at its share of the gate.
    fn expected_wait(&self, place: usize) -> Millis {
        let waiting = |m: &&Member| !m.queue.is_empty();
        let weights: u64 = self.members.iter().filter(waiting).map(|m| u64::from(m.weight)).sum();
        let m = &self.members[place];
        let own = u64::from(m.weight);
        let total = if m.queue.is_empty() { weights + own } else { weights };
        let ahead = m.queue.len() as u64 + 1;
        let share = u64::from(self.capacity.max(1)) * own;
        Millis(ahead * self.service_ms * total / share)
    }

    fn start(&mut self, place: usize) {
        self.members[place].in_flight += 1;
        self.in_flight += 1;
    }

    /// A request that passed is over, after `service` in flight. Those called now.
    pub fn leave(&mut self, now: Millis, id: &OrganisationId, service: Millis) -> Vec<Ticket> {
        self.service_ms =
            if self.service_ms == 0 { service.0 } else { (self.service_ms * 15 + service.0) / 16 };
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Ok(place) = self.members.binary_search_by(|m| m.id.cmp(id)) {
            let m = &mut self.members[place];
            m.in_flight = m.in_flight.saturating_sub(1);
        }
        let called = self.call(now);
        self.members.retain(|m| m.in_flight > 0 || !m.queue.is_empty());
        called
    }

    /// Starts whatever may start: the highest priority first, then the earliest virtual finish.
    pub fn call(&mut self, now: Millis) -> Vec<Ticket> {
        let mut called = Vec::new();
        while self.in_flight < self.capacity {
            let open = self.members.iter().enumerate().filter(|(_, m)| m.in_flight < m.limit);
            let heads = open
                .filter_map(|(i, m)| m.queue.first().map(|q| (u8::MAX - q.priority, q.finish, i)));
            let Some((_, finish, place)) = heads.min() else { break };
            let q = self.members[place].queue.remove(0);
            self.virtual_time = self.virtual_time.max(finish.saturating_sub(UNIT));
            log::debug!("gate=call ticket={} waited={}", q.ticket.0, now.since(q.since));
            self.start(place);
            called.push(q.ticket);
        }
        called
    }

    /// A waiting request gave up.
    pub fn give_up(&mut self, ticket: Ticket) {
        self.members.iter_mut().for_each(|m| m.queue.retain(|q| q.ticket != ticket));
        self.members.retain(|m| m.in_flight > 0 || !m.queue.is_empty());
    }
}
