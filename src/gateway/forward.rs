//! Processing of one request up to the target's reply: admission, target selection, sends and
//! retries.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep, timeout_at};

use super::backend::{Backend, PlacementPlan};
use super::catalog::{Catalog, Route, RouteKind};
use super::fingerprint::Fingerprint;
use super::liveness::await_evidence;
use super::outcome::{self, Ended, Final, Made, Next};
use super::place::{Demand, Placement, place};
use super::reach::{Barred, Reach};
use super::refusal::{COME_BACK, MOST_COME_BACK, Own, Unadmitted, cold_refusal, resting_refusal};
use super::reply::Reply;
use super::request::{HeaderNames, RequestMeta, host, path};
use super::state::{Gateway, Platform};
use super::stats::count_failed_send;
use super::sync::confirm_config;
use super::targets::{Found, PlaceRequest};
use crate::allowance::{Asked, Hold, Refusal};
use crate::http1::RequestHead;
use crate::ids::Tokens;

/// Minimum time left before the deadline for a send to be worthwhile; less would be used up in
/// transit.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// `Retry-After` when this router holds no sufficient share of the organisation's budget. A loss of
/// contact with the store lasts seconds, but another router may still hold a share.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(800);

/// `Retry-After` while every zone that has targets is emptied by the operator. Such maintenance
/// lasts longer than a caller may wait between two attempts.
const ZONES_EMPTIED_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Extra delay before a request retries a cold target, for each step of its priority rank, so that
/// more urgent requests get the capacity first.
const COLD_WAIT_PER_RANK: Duration = Duration::from_millis(10);

/// Why no target was selected for a request.
enum Unplaced {
    /// The router refuses the request.
    Refused(Own),
    /// All remaining targets are cold; one has capacity after `room_in`.
    Cold { room_in: Duration },
}

/// The state of one request while it is served.
pub struct Job<'a, P: Platform> {
    /// The router that serves the request.
    pub gw: &'a Rc<Gateway<P>>,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Values read from the request's headers.
    pub meta: RequestMeta,
    /// When the head of the request was read.
    pub started: Instant,
    /// The earlier of the caller's and the route's time limit.
    pub answer_deadline: Instant,
    /// The configuration snapshot that applies to the request.
    pub catalog: Rc<Catalog>,
    /// The matched route.
    pub route: Route,
    /// The service that was drawn from the route's shares.
    pub service: CompactString,
    /// The organisation that the API key belongs to; `None` if the route needs no key.
    pub org: Option<CompactString>,
    /// The budget reservation; `None` if the request costs no prepaid tokens.
    pub reservation: Option<Hold<P>>,
    /// Number of sends so far.
    pub send_counts: Made,
    /// Whether some target may have run the request.
    pub may_have_run: Cell<bool>,
    /// Ids of the targets that the request was sent to.
    pub tried: Vec<CompactString>,
    /// The target of the latest send.
    pub(super) current_target: Option<Rc<Backend>>,
    /// When the latest send began.
    pub sent_at: Instant,
    /// Computed on first use by `Job::fingerprint`.
    pub(super) fingerprint: OnceCell<Fingerprint>,
}

/// Finds the route and the organisation of a request.
///
/// # Errors
/// The response that refuses the request. 401 and 404 are final for the caller, so they are
/// returned only after the configuration was read again: an unknown key or route may have been
/// added a moment ago.
async fn resolve<P: Platform>(
    gw: &Gateway<P>,
    head: &RequestHead,
    meta: &RequestMeta,
) -> Result<(Rc<Catalog>, Route, Option<CompactString>), Own> {
    let lookup = || -> Result<_, Own> {
        let catalog = gw.config().ok_or(Own::refusal("no_configuration", COME_BACK))?;
        let route = catalog.route(host(head), path(head)).ok_or(Own::new(404, "no_route"))?;
        let route = route.clone();
        let org = authenticate(&catalog, &route, meta)?;
        Ok((catalog, route, org))
    };
    match lookup() {
        Err(own) if own.status != 503 => {
            if !confirm_config(gw).await {
                return Err(Own::refusal("configuration_not_confirmed", COME_BACK));
            }
            lookup()
        }
        found => found,
    }
}

fn authenticate(
    catalog: &Catalog,
    route: &Route,
    meta: &RequestMeta,
) -> Result<Option<CompactString>, Own> {
    if !catalog.needs_keys() || route.public {
        return Ok(None);
    }
    let key = meta.key.as_deref().ok_or(Own::new(401, "no_key"))?;
    let org = catalog.organisation(key).ok_or(Own::new(401, "unknown_key"))?;
    Ok(Some(org.name.clone()))
}

impl<'a, P: Platform> Job<'a, P> {
    /// Admits a request whose body was read: resolves its route and reserves its budget.
    ///
    /// # Errors
    /// The response that refuses the request.
    pub async fn admit(
        gw: &'a Rc<Gateway<P>>,
        head: &'a RequestHead,
        body: Bytes,
        meta: RequestMeta,
        started: Instant,
    ) -> Result<Job<'a, P>, Unadmitted> {
        let unknown = |own| Unadmitted { own, route: None, org: None };
        let (catalog, route, org) = resolve(gw, head, &meta).await.map_err(unknown)?;
        let known = (route.name.clone(), org.clone());
        let refused = |own| Unadmitted { own, route: Some(known.0.clone()), org: known.1.clone() };
        let wait = meta.time_left.map_or(route.timeout, |t| t.min(route.timeout));
        let answer_deadline = started + wait;
        let draw = fastrand::f64();
        let service = route.service(draw).cloned();
        let service = service.ok_or_else(|| refused(Own::refusal("no_service", COME_BACK)))?;
        gw.retries.borrow_mut().earn(&service);
        let mut job = Job {
            gw,
            head,
            body,
            meta,
            started,
            answer_deadline,
            catalog,
            route,
            service,
            org,
            reservation: None,
            send_counts: Made { runs: 0, sends: 0 },
            may_have_run: Cell::new(false),
            tried: Vec::new(),
            current_target: None,
            sent_at: started,
            fingerprint: OnceCell::new(),
        };
        // The quarantine check comes first, so that a quarantined request neither reserves budget
        // nor waits for it.
        job.check_quarantine().map_err(&refused)?;
        job.reserve_budget().await.map_err(&refused)?;
        Ok(job)
    }

    /// Reserves the maximum cost of the request in its organisation's budget.
    async fn reserve_budget(&mut self) -> Result<(), Own> {
        let max_cost = Tokens(self.meta.max_cost());
        let Some(org) = self.org.as_deref().filter(|_| max_cost.0 > 0) else { return Ok(()) };
        let prepaid = self.catalog.organisation(self.meta.key.as_deref().unwrap_or_default());
        if prepaid.and_then(|o| o.prepaid).is_none() {
            return Ok(());
        }
        let budget_shares = &self.gw.budget_shares;
        let mut taken = budget_shares.hold_by(org, max_cost, self.answer_deadline).await;
        // The prepaid amount may have been raised a moment ago.
        if matches!(taken, Err(Refusal::Spent)) && confirm_config(self.gw).await {
            taken = budget_shares.hold_by(org, max_cost, self.answer_deadline).await;
            if matches!(taken, Err(Refusal::Spent)) {
                let own = Own::new(402, "budget_spent");
                return Err(self.log_budget_refusal(org, Asked::default(), own));
            }
        }
        match taken {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Ok(())
            }
            Err(refusal) => {
                let asked = match refusal {
                    Refusal::NoneHere(asked) => asked,
                    Refusal::Spent => Asked::default(),
                };
                let after = asked.room.unwrap_or(BUDGET_RETRY_AFTER);
                let after = after.clamp(COME_BACK, MOST_COME_BACK);
                Err(self.log_budget_refusal(org, asked, Own::refusal("budget_not_here", after)))
            }
        }
    }

    fn log_budget_refusal(&self, org: &str, asked: Asked, own: Own) -> Own {
        let state = self.gw.budget_shares.describe(org);
        let (id, max_cost) = (&self.meta.id, self.meta.max_cost());
        self.gw.log.note(
            "budget",
            format_args!(
                "id={id} route={} org={org} most={max_cost} short={} silent={} {state} config={} outcome={}",
                self.route.name, asked.short, asked.silent, self.catalog.version, own.reason
            ),
        );
        own
    }

    pub(super) fn header_names(&self) -> &HeaderNames {
        self.gw.platform.header_names()
    }

    fn is_engine(&self) -> bool {
        self.catalog.service(&self.service).is_some_and(|s| s.engine.is_some())
    }

    /// The maximum number of tokens in `events` events.
    fn max_tokens_of(&self, events: u64) -> u64 {
        let engine = self.catalog.service(&self.service).and_then(|s| s.engine);
        match engine.map_or(0, |e| e.tokens_per_event) {
            0 if events > 0 => self.meta.max_output,
            n => (events * n).min(self.meta.max_output),
        }
    }

    /// Records the cost of the request after `events` events were passed to the caller.
    pub fn charge(&mut self, events: u64) {
        let cost = self.meta.prompt + self.max_tokens_of(events);
        if let Some(reservation) = &mut self.reservation {
            reservation.cost(Tokens(cost));
            if events > 0 {
                reservation.prove();
            }
        }
    }

    /// Gets a reply, from as many targets as the retry rules allow. `resume_after` is the id of the
    /// last event that the caller received when a broken stream is resumed.
    ///
    /// # Errors
    /// The response of the router itself, if no target's reply can be relayed.
    pub async fn fetch_reply(&mut self, resume_after: Option<CompactString>) -> Result<Reply, Own> {
        let answer_deadline = self.answer_deadline;
        match timeout_at(answer_deadline, self.fetch_reply_untimed(resume_after)).await {
            Ok(reply) => reply,
            Err(_) if self.may_have_run.get() => Err(Own::new(504, "timeout")),
            Err(_) => Err(Own::refusal("timeout_before_send", COME_BACK)),
        }
    }

    async fn fetch_reply_untimed(
        &mut self,
        resume_after: Option<CompactString>,
    ) -> Result<Reply, Own> {
        let mut failure_reply: Option<Reply> = None;
        loop {
            // Checked before every send, not only the first: the previous send may have crashed a
            // target, and retries that the id and the service would allow could crash the next one.
            if let Err(own) = self.check_quarantine() {
                return failure_reply.ok_or(self.map_refusal(own));
            }
            let (backend, plan) = match self.choose_target() {
                Ok(chosen) => chosen,
                Err(Unplaced::Cold { room_in }) if self.can_wait_for_room(room_in) => {
                    sleep(self.room_wait(room_in)).await;
                    continue;
                }
                Err(Unplaced::Cold { room_in }) => {
                    return failure_reply.ok_or(self.map_refusal(cold_refusal(room_in)));
                }
                Err(Unplaced::Refused(own)) => return failure_reply.ok_or(self.map_refusal(own)),
            };
            if self.answer_deadline - Instant::now() < MIN_TIME_LEFT {
                return failure_reply
                    .ok_or(self.map_refusal(Own::refusal("no_time_left", COME_BACK)));
            }
            let ran_before = self.send_counts.runs;
            let ended = match self.send(&backend, &plan, resume_after.as_deref()).await {
                Ok(reply) if reply.head.status < 500 => return Ok(reply),
                Ok(reply) => {
                    failure_reply = Some(reply);
                    Ended::Failed
                }
                Err(ended) => ended,
            };
            if ended == Ended::HeldOff {
                // Nothing was sent, so the request may go to this target later.
                self.tried.pop();
                continue;
            }
            self.record_failed_send(&backend, ended, ran_before);
            if ended.is_broken() {
                await_evidence(self.broke_off(&backend)).await;
            }
            let final_answer = match outcome::next(
                self.route.kind,
                ended,
                self.send_counts,
                self.route.max_attempts,
            ) {
                Next::SendAgain => continue,
                Next::Retry(or_else) => {
                    if self.gw.retries.borrow_mut().take(&self.service) {
                        continue;
                    }
                    or_else
                }
                Next::Answer(answer) => answer,
            };
            return match (final_answer, failure_reply) {
                (Final::TargetsOwn, Some(reply)) => Ok(reply),
                (Final::NotRun, _) => Err(self.rejected_by_targets()),
                (_, Some(reply)) => Ok(reply),
                _ => Err(Own::new(502, "target_failed")),
            };
        }
    }

    /// The response to a request that targets rejected without running it and that may not be sent
    /// to another one. Its `Retry-After` says when a target is expected to accept requests again.
    fn rejected_by_targets(&self) -> Own {
        match self.choose_target() {
            Err(Unplaced::Refused(own)) => Own { reason: "target_refused", ..own },
            Err(Unplaced::Cold { room_in }) => cold_refusal(room_in),
            Ok(_) => Own::refusal("target_refused", COME_BACK),
        }
    }

    /// Turns 503 into 502 once a target may have run the request, because 503 promises that it did
    /// not run.
    fn map_refusal(&self, own: Own) -> Own {
        if self.may_have_run.get() && own.status == 503 { Own::new(502, own.reason) } else { own }
    }

    /// Whether the request can wait for capacity at a cold target and still meet the route's
    /// latency aim.
    fn can_wait_for_room(&self, room_in: Duration) -> bool {
        let now = Instant::now();
        let left = self
            .route
            .aim
            .min(self.answer_deadline - self.started)
            .saturating_sub(now - self.started);
        self.room_wait(room_in) < left
    }

    fn room_wait(&self, room_in: Duration) -> Duration {
        let rank = self.org.as_deref().and_then(|o| self.catalog.priority_of(o));
        room_in + COLD_WAIT_PER_RANK * u32::from(rank.unwrap_or(self.route.priority))
    }

    fn choose_target(&self) -> Result<(Rc<Backend>, PlacementPlan), Unplaced> {
        let engine = self.is_engine();
        let emptied = self.gw.zones.emptied();
        let org_homes = self.org.as_deref().map_or(&[][..], |o| self.catalog.homes_of(o));
        let req = PlaceRequest {
            service: &self.service,
            zone: &self.gw.settings.zone,
            parts: &self.meta.parts,
            prompt: self.meta.prompt,
            engine,
            tried: &self.tried,
            reach: Reach {
                emptied: &emptied,
                homes: [&self.route.homes, org_homes],
                regions: &self.gw.settings.regions,
            },
        };
        let Found { candidates: found, barred } = self.gw.targets.candidates(&req);
        let inputs: Vec<_> = found.iter().map(|(_, c)| *c).collect();
        let now = Instant::now();
        let demand = Demand {
            aim: self.route.aim.saturating_sub(now - self.started),
            left: self.answer_deadline.saturating_duration_since(now),
            engine,
        };
        match place(&inputs, &demand, &self.gw.settings.weights) {
            Placement::Send { index, predicted_ms } => {
                let chosen = &inputs[index];
                let plan = PlacementPlan {
                    engine,
                    prompt: self.meta.prompt,
                    uncached: chosen.uncached,
                    wait_ms: chosen.wait_ms,
                    prefill_ms: chosen.prefill_ms,
                    predicted_ms,
                    cache_tokens: self.catalog.cache_tokens(&self.service),
                };
                Ok((found[index].0.clone(), plan))
            }
            Placement::NoTarget => Err(Unplaced::Refused(match barred {
                None => Own::refusal("no_target", COME_BACK),
                Some(Barred::Emptied) => Own::refusal("zones_emptied", ZONES_EMPTIED_RETRY_AFTER),
                Some(Barred::Abroad) => Own::refusal("no_target_at_home", COME_BACK),
            })),
            Placement::Cold { room_in } => Err(Unplaced::Cold { room_in }),
            Placement::Resting { wants_in } => Err(Unplaced::Refused(resting_refusal(wants_in))),
            Placement::Busy { room_in_ms } => {
                let after = Duration::from_secs_f64(room_in_ms / 1_000.0);
                Err(Unplaced::Refused(Own::refusal("busy", after)))
            }
        }
    }

    fn record_failed_send(&mut self, backend: &Backend, ended: Ended, runs_before: u32) {
        match ended {
            Ended::NotSent => backend.record_unreachable(),
            Ended::NotRun => backend.record_rejection(),
            Ended::OtherTarget => backend.record_unreachable(),
            Ended::NoAnswer | Ended::Silent | Ended::Truncated => backend.record_failure(),
            Ended::Failed | Ended::HeldOff => (),
        }
        count_failed_send(&self.gw.stats, ended);
        let (id, target) = (&self.meta.id, backend.id());
        let ms = self.started.elapsed().as_millis();
        self.gw.log.note(
            "send",
            format_args!(
                "id={id} target={target} ended={ended:?} runs={runs_before} sends={} at_ms={ms}",
                self.send_counts.sends
            ),
        );
    }
}

/// The metric label of a route kind.
pub fn route_kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream => "stream",
        RouteKind::ResumableStream => "resumable_stream",
    }
}
