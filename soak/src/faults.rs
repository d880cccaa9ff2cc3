//! Draws random faults from a seed, so that a seed always gives the same sequence. Each fault has
//! its own duration, and faults may overlap.

use std::time::Duration;

use fastrand::Rng;
use kingcupwall::rows::Fault as StoreFault;
use kingcupwall::standin::gateway_target::TargetFault;
use kingcupwall::standin::proxy::LinkMode;

/// A fault, or an operation that operators perform while faults occur. Routers, targets and
/// organisations are given by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A router's calls to the store fail for a time.
    Store(usize, StoreFault, Duration),
    /// The store drops its history of changes.
    Compact,
    /// An organisation's partition of the store does not answer for a time.
    Partition(usize, Duration),
    /// A router's link to the store is in this mode for a time.
    StoreLink(usize, LinkMode, Duration),
    /// All routers' links to the store are in this mode for a time.
    AllStoreLinks(LinkMode, Duration),
    /// A router's connections to the store are reset.
    StoreReset(usize),
    /// The link to a target is in this mode for a time.
    TargetLink(usize, LinkMode, Duration),
    /// A target's connections are reset.
    TargetReset(usize),
    /// The next request of a target fails.
    Target(usize, TargetFault),
    /// A target is replaced by a new one.
    Replace(usize),
    /// A router's process is paused for a time.
    Pause(usize, Duration),
    /// A router is killed and restarted after this time.
    Kill(usize, Duration),
    /// All routers are killed at once and restarted after this time.
    KillAll(Duration),
    /// A router is stopped gracefully and restarted once it has ended.
    Stop(usize),
    /// A router reloads its settings.
    Reload(usize),
    /// An organisation's prepaid tokens are topped up.
    TopUp(usize),
    /// A new version of the configuration is written that changes nothing for callers.
    Configure,
}

/// The numbers of parts that faults can be applied to.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of routers.
    pub routers: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of organisations.
    pub orgs: usize,
}

fn random_millis(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn random_store_fault(rng: &mut Rng) -> StoreFault {
    match rng.u8(..6) {
        0 => StoreFault::Reject(503),
        1 => StoreFault::Reject(429),
        2 => StoreFault::Silent,
        3 => StoreFault::Slow(random_millis(rng, 20, 800)),
        4 => StoreFault::LoseAnswers,
        _ => StoreFault::Late(random_millis(rng, 500, 6_000)),
    }
}

fn random_mode(rng: &mut Rng) -> LinkMode {
    match rng.u8(..4) {
        0 => LinkMode::Delay(random_millis(rng, 5, 300)),
        1 => LinkMode::StallForward,
        2 => LinkMode::StallBackward,
        _ => LinkMode::StallBoth,
    }
}

fn random_target_fault(rng: &mut Rng) -> TargetFault {
    match rng.u8(..8) {
        0 => TargetFault::Full,
        1 => TargetFault::OtherTarget,
        2 => TargetFault::Fails,
        3 => TargetFault::LosesAnswer,
        4 => TargetFault::Garbage,
        5 => TargetFault::CutsBody,
        6 => TargetFault::AnswersTwice,
        _ => TargetFault::CutsStream(rng.u64(..20)),
    }
}

/// Draws the next fault and the pause before it.
pub fn random_fault(rng: &mut Rng, fleet: FleetSize) -> (Duration, Fault) {
    let pause = random_millis(rng, 50, 600);
    let router = rng.usize(..fleet.routers);
    let target = rng.usize(..fleet.targets);
    let duration = random_millis(rng, 300, 5_000);
    let fault = match rng.u8(..40) {
        0..=4 => Fault::Store(router, random_store_fault(rng), duration),
        5 => Fault::Compact,
        6 | 7 => Fault::Partition(rng.usize(..fleet.orgs), duration),
        8..=10 => Fault::StoreLink(router, random_mode(rng), duration),
        11 => Fault::AllStoreLinks(random_mode(rng), duration),
        12 => Fault::StoreReset(router),
        13..=15 => Fault::TargetLink(target, random_mode(rng), duration),
        16 | 17 => Fault::TargetReset(target),
        18..=27 => Fault::Target(target, random_target_fault(rng)),
        28 => Fault::Replace(target),
        29 | 30 => Fault::Pause(router, random_millis(rng, 100, 3_000)),
        31..=33 => Fault::Kill(router, random_millis(rng, 10, 1_500)),
        34 => Fault::KillAll(random_millis(rng, 10, 1_500)),
        35 | 36 => Fault::Stop(router),
        37 => Fault::Reload(router),
        38 => Fault::TopUp(rng.usize(..fleet.orgs)),
        _ => Fault::Configure,
    };
    (pause, fault)
}
