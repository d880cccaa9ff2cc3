//! Which target a request goes to, and whether it is admitted at all. Pure: no clock, no I/O.

use std::time::Duration;

use crate::error::{Error, Kind, Result};

/// What a choice rests on for one target.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// In this router's availability zone.
    pub same_zone: bool,
    /// Tokens of its prompt that the target has not cached.
    pub uncached: u64,
    /// Predicted time until the target begins with this request, ms.
    pub wait_ms: f64,
    /// Time to a first token beside waiting and reading, ms.
    pub base_ms: f64,
    /// Predicted time for the part of its prompt that the target has not cached, ms.
    pub prefill_ms: f64,
    /// Requests of this router that run there.
    pub in_flight_requests: u32,
    /// Requests that run there at once, by all routers.
    pub slots: u32,
    /// Place of the target in the request's order of preference, 0 first. The same at every
    /// router, so that all send a prompt's parts to where they are cached.
    pub rank: usize,
    /// It failed lately, or its entry lapsed: used only if nothing else is there.
    pub unhealthy: bool,
    /// Set if it turned a request away: how long it still wants none.
    pub backoff: Option<Duration>,
    /// Already tried for this request.
    pub tried: bool,
    /// Set for a cold target: when it has room for a request, as far as is known.
    pub room_in: Option<Duration>,
}

impl Candidate {
    fn has_room(&self) -> bool {
        self.room_in.is_none_or(|t| t.is_zero())
    }

    /// Whether it may get this request, now or once it has room.
    fn is_eligible(&self) -> bool {
        !self.tried && self.backoff.is_none()
    }
}

/// What a request asks of a placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementGoal {
    /// Time to the answer that the operator aims at, what has passed already taken off.
    pub aim: Duration,
    /// Time that is remaining at all.
    pub remaining: Duration,
    /// Whether it uses a model engine.
    pub engine: bool,
}

/// PlacementWeights of a choice.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWeights {
    /// How much earlier a target in another zone must begin to be chosen, ms. Traffic between
    /// zones is paid for; 18 kB prompts make this the dearest part of a request after lateness.
    pub far_ms: f64,
    /// Weight of the prefill time a placement costs, against waiting: it delays all others too.
    pub prefill: f64,
    /// Cost of each request of ours already running there, ms: its steps get longer.
    pub running_ms: f64,
    /// Cost of each place down in the order of preference, ms; the first few only.
    pub rank_ms: f64,
    /// Answers later than this many times the aim are worth too little to be waited for.
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
    /// `BadConfig` for an unknown name, or a value that is no weight.
    pub fn set(&mut self, name: &str, value: f64) -> Result<()> {
        if !value.is_finite() || value < 0.0 {
            return Err(Error::new(Kind::BadConfig, format!("weight {name} = {value}")));
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
                        "no weight {name:?}; there are: far_ms, prefill, running_ms, rank_ms, late_x"
                    ),
                ));
            }
        };
        *weight = value;
        Ok(())
    }
}

/// A decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send it to the candidate of this index.
    Send {
        /// Index into the candidates.
        index: usize,
        /// Predicted time to the first token, ms; 0 for plain services.
        predicted_ms: f64,
    },
    /// No target is there at all.
    NoTarget,
    /// What is remaining is cold, and has room in so long.
    Cold {
        /// When one of them has.
        room_in: Duration,
    },
    /// What is remaining has turned requests away, and wants the next one in so long.
    BackingOff {
        /// When the first of them does.
        retry_after: Duration,
    },
    /// All targets are too busy for it; room is expected in so many ms.
    Busy {
        /// When to come back, ms.
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
/// A request whose first token is expected later than `late_x` times its aim is refused at once
/// with the time at which room is expected. Admitting it would delay all that wait behind it
/// and make those late as well: with callers that come faster than the engines read, every
/// request would end up late.
pub fn place(candidates: &[Candidate], goal: &PlacementGoal, w: &PlacementWeights) -> Placement {
    let usable = |c: &Candidate| c.is_eligible() && !c.unhealthy && c.has_room();
    let last_resort = |c: &Candidate| c.is_eligible() && c.has_room();
    let best = best(candidates, goal.engine, w, usable)
        .or_else(|| best(candidates, goal.engine, w, last_resort));
    let Some(index) = best else {
        let cold = candidates.iter().filter(|c| c.is_eligible() && !c.has_room());
        if let Some(room_in) = cold.filter_map(|c| c.room_in).min() {
            return Placement::Cold { room_in };
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
