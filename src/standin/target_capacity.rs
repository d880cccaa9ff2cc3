//! Capacity of a target stand-in: how many requests it runs and queues, and the crash of one that
//! rejects too many.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

/// The period over which rejections count towards the limit.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How much work a target takes at once.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of requests that it runs at once.
    pub slots: usize,
    /// Number of further requests that wait for a slot.
    pub queue: usize,
    /// Time for which a request occupies a slot before it is answered.
    pub work: Duration,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The target rejects the request and goes on.
    Tolerated,
    /// The target has rejected too many requests and crashes.
    Fatal,
}

#[derive(Debug, Default)]
struct State {
    capacity: Cell<Option<Capacity>>,
    slots: RefCell<Option<Rc<Slots>>>,
    rejection_limit: Cell<Option<u32>>,
    occupied: Cell<usize>,
    recent_rejections: RefCell<VecDeque<Instant>>,
    rejections: Cell<usize>,
}

#[derive(Debug)]
struct Slots(std::sync::Arc<Semaphore>);

/// The places of one target. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Places(Rc<State>);

impl Places {
    /// Limits the number of requests; no limit with `None`. Requests in progress keep their slots.
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        let slots_before = self.0.capacity.replace(capacity).map(|c| c.slots);
        if slots_before != capacity.map(|c| c.slots) {
            let slots = capacity.map(|c| Rc::new(Slots(Semaphore::new(c.slots).into())));
            *self.0.slots.borrow_mut() = slots;
        }
    }

    /// Sets how many requests the target can reject within one second; any number with `None`.
    pub fn set_rejection_limit(&self, limit: Option<u32>) {
        self.0.rejection_limit.set(limit);
    }

    /// The rejections that the target can bear.
    pub fn rejection_limit(&self) -> Option<u32> {
        self.0.rejection_limit.get()
    }

    /// Number of requests rejected so far.
    pub fn rejections(&self) -> usize {
        self.0.rejections.get()
    }

    /// Takes a place in a slot or in the queue. It is free again once the returned value is
    /// dropped.
    ///
    /// # Errors
    /// If all are taken.
    pub fn take(&self, now: Instant) -> Result<Place, Rejection> {
        let state = &self.0;
        let max = state.capacity.get().map_or(usize::MAX, |c| c.slots + c.queue);
        if state.occupied.get() < max {
            state.occupied.set(state.occupied.get() + 1);
            return Ok(Place { places: self.clone() });
        }
        state.rejections.set(state.rejections.get() + 1);
        let mut recent = state.recent_rejections.borrow_mut();
        while recent.front().is_some_and(|t| *t + REJECTION_WINDOW <= now) {
            recent.pop_front();
        }
        recent.push_back(now);
        match state.rejection_limit.get() {
            Some(limit) if recent.len() > limit as usize => Err(Rejection::Fatal),
            _ => Err(Rejection::Tolerated),
        }
    }
}

/// A place of one request, from its arrival to the end of its answer.
#[derive(Debug)]
pub struct Place {
    places: Places,
}

impl Place {
    /// Waits for a slot and does the work. The slot is free again once the returned value is
    /// dropped.
    pub async fn run(&self) -> Option<OwnedSemaphorePermit> {
        let capacity = self.places.0.capacity.get()?;
        let slots = self.places.0.slots.borrow().clone()?;
        let permit = slots.0.clone().acquire_owned().await.ok()?;
        sleep(capacity.work).await;
        Some(permit)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let occupied = &self.places.0.occupied;
        occupied.set(occupied.get() - 1);
    }
}
