//! Partitions routers from all targets while other faults are injected, and checks that their
//! callers are served like those of other routers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use fastrand::Rng;
use kingcupwall::standin::proxy::{Partition, Proxy};
use tokio::time::{Instant, sleep};

use crate::callers::Exchange;
use crate::notices::{Disturbance, is_disturbed};
use crate::testbed::Testbed;

/// Combined with the seed by XOR for the random sequence of cuts, so that the sequence of faults
/// does not depend on it. The bytes spell "cuts".
const CUT_SEED_MASK: u64 = 0x6375_7473;
/// Range of the pause before a cut, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Range of the duration of a cut, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 5_000..8_000;
/// Time from the start of a cut after which its routers must serve like the others.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// How long requests are counted in the cut without other faults.
const CALM_WINDOW: Duration = Duration::from_secs(3);
/// Failed requests that are allowed in any case, and one more for each of this number of requests.
pub const ALLOWED_FAILURES: usize = 10;
/// The same without other faults. Callers that wait for their time limit send few requests.
pub(crate) const ALLOWED_FAILURES_IN_CALM: usize = 2;
const REQUESTS_PER_ALLOWED_FAILURE: usize = 50;

/// The links of one router to all targets.
#[derive(Default)]
pub(crate) struct RouterLinks {
    /// By id of the target.
    links: Vec<(CompactString, Proxy)>,
    cut: Option<Partition>,
}

impl RouterLinks {
    /// Adds the link to a new target. It is cut if the router is.
    pub(crate) fn add(&mut self, target: &str, link: Proxy) {
        if let Some(how) = self.cut {
            link.partition(how);
        }
        self.links.push((target.into(), link));
    }

    /// The address at which the router reaches a target.
    pub(crate) fn addr(&self, target: &str) -> Option<SocketAddr> {
        self.links.iter().find(|(id, _)| id == target).map(|(_, link)| link.addr)
    }

    /// Ends the link to a target that has ended.
    pub(crate) fn close(&self, target: &str) {
        self.links.iter().filter(|(id, _)| id == target).for_each(|(_, link)| link.close());
    }

    fn set_cut(&mut self, cut: Option<Partition>) {
        let stalled = self.cut == Some(Partition::Silent);
        self.cut = cut;
        for (_, link) in &self.links {
            match cut {
                Some(how) => link.partition(how),
                None => {
                    // Bytes that a partition held back are lost: their sender has given up.
                    if stalled {
                        link.reset();
                    }
                    link.heal();
                }
            }
        }
    }
}

/// A period in which some routers were cut off from all targets.
#[derive(Clone, Debug)]
pub struct Cut {
    /// The routers, by the address that callers connect to.
    pub routers: Vec<SocketAddr>,
    /// When the period began.
    pub from: Instant,
    /// When the period ended.
    pub to: Instant,
}

impl Testbed {
    /// Cuts off one router after the other, or several at once but never all, until `until`.
    pub(crate) async fn cut_routers(self: Rc<Testbed>, until: Instant, seed: u64) -> Vec<Cut> {
        let mut rng = Rng::with_seed(seed ^ CUT_SEED_MASK);
        let mut cuts = Vec::new();
        let all = self.routers.len();
        loop {
            let (cut, how) = random_cut(&mut rng, all);
            let pause = Duration::from_millis(rng.u64(PAUSE_MS));
            let duration = Duration::from_millis(rng.u64(CUT_MS));
            if all < 2 || Instant::now() + pause + duration > until {
                return cuts;
            }
            sleep(pause).await;
            let cut = self.cut(&cut, how, duration).await;
            let (from, to) = (cut.from, cut.to);
            let disturbed = cut.routers.iter().map(|r| Disturbance { subject: *r, from, to });
            self.router_disturbances.borrow_mut().extend(disturbed);
            cuts.push(cut);
        }
    }

    /// Cuts off all routers but one while there are no other faults.
    pub(crate) async fn cut_in_calm(&self, seed: u64) -> Cut {
        let mut rng = Rng::with_seed(!seed);
        let (spared, how) = (rng.usize(..self.routers.len()), random_cut(&mut rng, 1).1);
        let cut: Vec<usize> = (0..self.routers.len()).filter(|r| *r != spared).collect();
        self.cut(&cut, how, DETECTION_TIME + CALM_WINDOW).await
    }

    async fn cut(&self, cut: &[usize], how: Partition, duration: Duration) -> Cut {
        let from = Instant::now();
        cut.iter().for_each(|r| self.target_links[*r].borrow_mut().set_cut(Some(how)));
        sleep(duration).await;
        let to = Instant::now();
        cut.iter().for_each(|r| self.target_links[*r].borrow_mut().set_cut(None));
        Cut { routers: cut.iter().map(|r| self.fronts[*r]).collect(), from, to }
    }
}

/// Draws the routers to cut off, some but not all of `all`, and how.
fn random_cut(rng: &mut Rng, all: usize) -> (Vec<usize>, Partition) {
    let (first, count) = (rng.usize(..all), rng.usize(1..all.max(2)));
    let hows = [Partition::Silent, Partition::Reset, Partition::RefuseNew];
    let how = rng.choice(hows).expect("there is at least one kind of partition");
    ((0..count).map(|i| (first + i) % all).collect(), how)
}

/// Returns the cuts in which requests at routers that were cut off were served less than two thirds
/// as often as at the others, and too many failed. A request counts if its router had no other
/// disturbance, of itself or of its calls to the store, in the time before it was sent in which a
/// router detects a cut. `disturbances` contains those of the cuts themselves.
pub fn check(
    exchanges: &[&Exchange],
    cuts: &[Cut],
    disturbances: &[Disturbance<SocketAddr>],
    allowed_failures: usize,
) -> Vec<String> {
    let check_one = |cut| check_cut(exchanges, cut, disturbances, allowed_failures);
    cuts.iter().filter_map(check_one).collect()
}

fn check_cut(
    exchanges: &[&Exchange],
    cut: &Cut,
    disturbances: &[Disturbance<SocketAddr>],
    allowed_failures: usize,
) -> Option<String> {
    let of_cut = |d: &Disturbance<SocketAddr>| {
        cut.routers.contains(&d.subject) && (d.from, d.to) == (cut.from, cut.to)
    };
    let others: Vec<_> = disturbances.iter().filter(|d| !of_cut(d)).cloned().collect();
    let was_sound = |e: &Exchange| {
        let since = e.sent_at.checked_sub(DETECTION_TIME).unwrap_or(cut.from);
        !is_disturbed(&others, &e.router, since, e.sent_at)
    };
    let counted = |is_cut: bool| -> (usize, usize) {
        let in_time = |e: &&&Exchange| e.sent_at >= cut.from + DETECTION_TIME && e.sent_at < cut.to;
        let sent: Vec<_> = exchanges
            .iter()
            .filter(in_time)
            .filter(|e| cut.routers.contains(&e.router) == is_cut && was_sound(e))
            .collect();
        let served = sent.iter().filter(|e| e.status == Some(200) && e.is_complete).count();
        (served, sent.len())
    };
    let ((served, sent), (served_elsewhere, sent_elsewhere)) = (counted(true), counted(false));
    let is_rare = served * 3 * sent_elsewhere < served_elsewhere * 2 * sent;
    let too_many =
        sent - served > allowed_failures + (sent + sent_elsewhere) / REQUESTS_PER_ALLOWED_FAILURE;
    (is_rare && too_many).then(|| {
        format!(
            "cut of {} routers: {served} of {sent} requests served, {served_elsewhere} of {sent_elsewhere} at others",
            cut.routers.len()
        )
    })
}
