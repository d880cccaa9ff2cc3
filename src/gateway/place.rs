//! Chooses the target of a request, or refuses the request. No clock, no I/O.

use std::time::Duration;

use crate::error::{Error, Kind, Result};

/// What is known about one target when a request is placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether the target is in this router's availability zone.
    pub same_zone: bool,
    /// Prompt tokens that the target has not cached.
    pub uncached: u64,
    /// Predicted time until the target starts the request, ms.
    pub wait_ms: f64,
    /// Predicted time to the first token, apart from waiting and prefill, ms.
    pub base_ms: f64,
    /// Predicted prefill time for the uncached part of the prompt, ms.
    pub prefill_ms: f64,
    /// Requests of this router that the target is running.
    pub in_flight_requests: u32,
    /// Maximum number of requests, from all routers, that the target runs at once.
    pub slots: u32,
    /// Position of the target in the request's order of preference, 0 first. All routers compute
    /// the same order, so that they send prompts with the same parts to the targets that have them
    /// cached.
    pub rank: usize,
    /// The target failed recently or its store entry has lapsed. It is used only if no healthy
    /// target is left.
    pub unhealthy: bool,
    /// Remaining time during which the target accepts no requests, because it rejected one.
    pub backoff: Option<Duration>,
    /// Whether the request was already sent to this target.
    pub tried: bool,
    /// For a target to which requests are limited: the expected time until it has room for one, as
    /// far as is known. `None` if it may have room now.
    pub room_in: Option<Duration>,
}

impl Candidate {
    fn has_room(&self) -> bool {
        self.room_in.is_none_or(|t| t.is_zero())
    }

    /// Whether the target may get this request, now or once it has room.
    fn is_eligible(&self) -> bool {
        !self.tried && self.backoff.is_none()
    }
}

/// Latency limits of a request, and the kind of service that it uses.
#[derive(Clone, Copy, Debug)]
pub struct PlacementGoal {
    /// Remaining time to the operator's objective for the answer. The time spent so far is
    /// subtracted.
    pub aim: Duration,
    /// Remaining time until the request times out.
    pub remaining: Duration,
    /// Whether the service is a model engine.
    pub engine: bool,
}

/// Weights of the placement cost function.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWeights {
    /// Cost of a target in another zone, ms: it must start the request this much earlier to be
    /// chosen. Traffic between zones is billed; with prompts of 18 kB it is the largest cost of a
    /// request after late answers.
    pub far_ms: f64,
    /// Factor on the prefill time relative to waiting time. Prefill also delays all other requests
    /// of the target.
    pub prefill: f64,
    /// Cost of each request of this router that the target is already running, ms. Each one makes
    /// the steps of the engine longer.
    pub running_ms: f64,
    /// Cost of each position in the order of preference, ms. Only the first four positions count.
    pub rank_ms: f64,
    /// Latest useful answer, as a multiple of the objective. A request that is predicted to take
    /// longer is refused.
    pub late_x: f64,
}

impl Default for PlacementWeights {
    fn default() -> PlacementWeights {
        PlacementWeights { far_ms: 12.0, prefill: 1.5, running_ms: 2.0, rank_ms: 6.0, late_x: 2.0 }
    }
}

impl PlacementWeights {
    /// Sets one weight by its name.
    ///
    /// # Errors
    /// `BadConfig` for an unknown name, or for a value that is negative or not finite.
    pub fn set(&mut self, name: &str, value: f64) -> Result<()> {
        if !value.is_finite() || value < 0.0 {
            return Err(Error::new(
                Kind::BadConfig,
                format!("weight {name} is {value}; it must be finite and not negative"),
            ));
        }
        let weight = match name {
            "far_ms" => &mut self.far_ms,
            "prefill" => &mut self.prefill,
            "running_ms" => &mut self.running_ms,
            "rank_ms" => &mut self.rank_ms,
            "late_x" => &mut self.late_x,
            _ => {
                return Err(Error::new(
                    Kind::BadConfig,
                    format!(
                        "unknown weight {name:?}; known weights are far_ms, prefill, running_ms, rank_ms, late_x"
                    ),
                ));
            }
        };
        *weight = value;
        Ok(())
    }
}

/// The result of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send the request to a candidate.
    Send {
        /// Index into the candidates.
        index: usize,
        /// Predicted time to the first token, ms; 0 for services without a model engine.
        predicted_ms: f64,
    },
    /// No target is available.
    NoTarget,
    /// All remaining targets are cold or full and have no room yet.
    NoRoom {
        /// Time until the first of them has room.
        room_in: Duration,
    },
    /// All remaining targets rejected a request recently and accept none for now.
    BackingOff {
        /// Time until the first of them accepts requests again.
        retry_after: Duration,
    },
    /// All targets are too busy to answer in time.
    Busy {
        /// Time until room is expected, ms.
        room_in_ms: f64,
    },
}

fn cost(c: &Candidate, engine: bool, w: &PlacementWeights) -> f64 {
    let zone_cost = if c.same_zone { 0.0 } else { w.far_ms };
    let load_cost = f64::from(c.in_flight_requests) * w.running_ms;
    if !engine {
        let utilization = f64::from(c.in_flight_requests) / f64::from(c.slots.max(1));
        return zone_cost / 20.0 + utilization * 100.0 + c.rank as f64 * 0.01;
    }
    let rank = c.rank.min(4) as f64 * w.rank_ms;
    c.wait_ms + c.base_ms + c.prefill_ms * w.prefill + zone_cost + load_cost + rank
}

/// Chooses among `candidates`.
///
/// A request that has to wait, and whose first token is predicted later than `late_x` times its
/// objective, is refused immediately with the time at which room is expected. Admitting it would
/// delay all requests that wait behind it. If callers send more than the engines can prefill, every
/// request would then be late.
pub fn place(candidates: &[Candidate], goal: &PlacementGoal, w: &PlacementWeights) -> Placement {
    let usable = |c: &Candidate| c.is_eligible() && !c.unhealthy && c.has_room();
    let last_resort = |c: &Candidate| c.is_eligible() && c.has_room();
    let best = best(candidates, goal.engine, w, usable)
        .or_else(|| best(candidates, goal.engine, w, last_resort));
    let Some(index) = best else {
        let full = candidates.iter().filter(|c| c.is_eligible() && !c.has_room());
        if let Some(room_in) = full.filter_map(|c| c.room_in).min() {
            return Placement::NoRoom { room_in };
        }
        let backoff = candidates.iter().filter_map(|c| c.backoff);
        let backoff = backoff.min().map(|retry_after| Placement::BackingOff { retry_after });
        return backoff.unwrap_or(Placement::NoTarget);
    };
    if !goal.engine {
        return Placement::Send { index, predicted_ms: 0.0 };
    }
    let c = &candidates[index];
    let predicted_ms = c.wait_ms + c.base_ms + c.prefill_ms;
    let limit_ms = (goal.aim.as_secs_f64() * w.late_x).min(goal.remaining.as_secs_f64()) * 1_000.0;
    if predicted_ms > limit_ms && c.wait_ms > 0.0 {
        let aim_ms = goal.aim.as_secs_f64() * 1_000.0;
        return Placement::Busy { room_in_ms: (predicted_ms - aim_ms * 0.8).max(50.0) };
    }
    Placement::Send { index, predicted_ms }
}

fn best(
    candidates: &[Candidate],
    engine: bool,
    w: &PlacementWeights,
    usable: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let eligible = candidates.iter().enumerate().filter(|(_, c)| usable(c));
    let cheapest =
        eligible.min_by(|(_, a), (_, b)| cost(a, engine, w).total_cmp(&cost(b, engine, w)));
    cheapest.map(|(i, _)| i)
}
