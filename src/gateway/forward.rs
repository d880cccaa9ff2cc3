//! One request from its head to the answer that will be relayed: admission, placement, sends.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep, timeout_at};

use super::backend::{Backend, Planned};
use super::catalog::{Catalog, Route, RouteKind};
use super::fingerprint::Fingerprint;
use super::liveness::await_probe;
use super::outcome::{self, FinalAnswer, NextStep, SendCounts, SendOutcome};
use super::place::{Placement, PlacementGoal, place};
use super::refusal::{
    DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER, RejectedRequest, RouterResponse, backoff_refusal,
    cold_refusal,
};
use super::reply::Reply;
use super::request::{Facts, Names, host, path};
use super::state::{Gateway, Platform};
use super::stats::sent;
use super::sync::confirm_config;
use super::targets::{PlacementCandidates, PlacementRequest};
use super::zone_filter::{ExclusionReason, ZoneFilter};
use crate::allowance::{LenderSearch, Refusal, Reservation};
use crate::http1::RequestHead;
use crate::ids::Tokens;

/// Least time that a target must have left; less is spent on the way.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// When to come back if this router lacks a part of the budget: a cut from the store lasts
/// seconds, other routers may have a part.
const COME_BACK_BUDGET: Duration = Duration::from_millis(800);

/// When to come back while all zones that have targets are emptied: the operator's work lasts
/// longer than a caller may wait between two attempts.
const COME_BACK_EMPTIED: Duration = Duration::from_secs(3);
/// Each rank of urgency waits so much longer for room at a cold target than the one before it.
const RANK_PAUSE: Duration = Duration::from_millis(10);

/// Why a request has no target.
enum Unplaced {
    /// It is refused.
    Refused(RouterResponse),
    /// All targets that are left are cold; one has room in so long.
    Cold { room_in: Duration },
}

/// A request that is being served.
pub struct Job<'a, P: Platform> {
    /// The router.
    pub gw: &'a Rc<Gateway<P>>,
    /// Its head.
    pub head: &'a RequestHead,
    /// Its body.
    pub body: Bytes,
    /// What it says of itself.
    pub facts: Facts,
    /// When its first byte was read.
    pub started: Instant,
    /// When the caller or the operator wants an answer at the latest.
    pub until: Instant,
    /// The configuration that decides about it.
    pub catalog: Rc<Catalog>,
    /// Its route.
    pub route: Route,
    /// The service it goes to.
    pub service: CompactString,
    /// Whose it is.
    pub org: Option<CompactString>,
    /// Its part of the budget.
    pub hold: Option<Reservation<P>>,
    /// Sends so far.
    pub made: SendCounts,
    /// Whether some target may have run it.
    pub may_have_run: Cell<bool>,
    /// Targets it was sent to.
    pub tried: Vec<CompactString>,
    /// The last of them, and when it was sent there.
    pub(super) at: Option<Rc<Backend>>,
    /// See `at`.
    pub sent: Instant,
    /// Computed when it is first asked for; see `Job::fingerprint`.
    pub(super) fingerprint: OnceCell<Fingerprint>,
}

/// Finds route, organisation and service of a request.
///
/// # Errors
/// The answer that refuses it. 401 and 404 are given only after the configuration was read
/// anew: a key or route that is unknown here may have been added a moment ago.
async fn resolve<P: Platform>(
    gw: &Gateway<P>,
    head: &RequestHead,
    facts: &Facts,
) -> Result<(Rc<Catalog>, Route, Option<CompactString>), RouterResponse> {
    let look = || -> Result<_, RouterResponse> {
        let catalog =
            gw.config().ok_or(RouterResponse::refusal("no_configuration", DEFAULT_RETRY_AFTER))?;
        let route =
            catalog.route(host(head), path(head)).ok_or(RouterResponse::new(404, "no_route"))?;
        let route = route.clone();
        let org = owner(&catalog, &route, facts)?;
        Ok((catalog, route, org))
    };
    match look() {
        Err(own) if own.status != 503 => {
            if !confirm_config(gw).await {
                return Err(RouterResponse::refusal(
                    "configuration_not_confirmed",
                    DEFAULT_RETRY_AFTER,
                ));
            }
            look()
        }
        found => found,
    }
}

fn owner(
    catalog: &Catalog,
    route: &Route,
    facts: &Facts,
) -> Result<Option<CompactString>, RouterResponse> {
    if !catalog.needs_keys() || route.public {
        return Ok(None);
    }
    let key = facts.key.as_deref().ok_or(RouterResponse::new(401, "no_key"))?;
    let org = catalog.organisation(key).ok_or(RouterResponse::new(401, "unknown_key"))?;
    Ok(Some(org.name.clone()))
}

impl<'a, P: Platform> Job<'a, P> {
    /// Admits a request whose body was read.
    ///
    /// # Errors
    /// The answer that refuses it.
    pub async fn admit(
        gw: &'a Rc<Gateway<P>>,
        head: &'a RequestHead,
        body: Bytes,
        facts: Facts,
        started: Instant,
    ) -> Result<Job<'a, P>, RejectedRequest> {
        let unknown = |response| RejectedRequest { response, route: None, org: None };
        let (catalog, route, org) = resolve(gw, head, &facts).await.map_err(unknown)?;
        let known = (route.name.clone(), org.clone());
        let refused = |response| RejectedRequest {
            response,
            route: Some(known.0.clone()),
            org: known.1.clone(),
        };
        let wait = facts.time_left.map_or(route.timeout, |t| t.min(route.timeout));
        let until = started + wait;
        let draw = fastrand::f64();
        let service = route.service(draw).cloned();
        let service = service
            .ok_or_else(|| refused(RouterResponse::refusal("no_service", DEFAULT_RETRY_AFTER)))?;
        gw.retries.borrow_mut().earn(&service);
        let mut job = Job {
            gw,
            head,
            body,
            facts,
            started,
            until,
            catalog,
            route,
            service,
            org,
            hold: None,
            made: SendCounts { runs: 0, sends: 0 },
            may_have_run: Cell::new(false),
            tried: Vec::new(),
            at: None,
            sent: started,
            fingerprint: OnceCell::new(),
        };
        // First, so that it takes no part of the budget and waits for none.
        job.check_quarantine().map_err(&refused)?;
        job.take_budget().await.map_err(&refused)?;
        Ok(job)
    }

    /// Takes the most that the request can cost out of its organisation's budget.
    async fn take_budget(&mut self) -> Result<(), RouterResponse> {
        let most = Tokens(self.facts.most());
        let Some(org) = self.org.as_deref().filter(|_| most.0 > 0) else { return Ok(()) };
        let prepaid = self.catalog.organisation(self.facts.key.as_deref().unwrap_or_default());
        if prepaid.and_then(|o| o.prepaid).is_none() {
            return Ok(());
        }
        let keeper = &self.gw.keeper;
        let mut taken = keeper.reserve_by(org, most, self.until).await;
        // The amount may have been raised a moment ago.
        if matches!(taken, Err(Refusal::Spent)) && confirm_config(self.gw).await {
            taken = keeper.reserve_by(org, most, self.until).await;
            if matches!(taken, Err(Refusal::Spent)) {
                let own = RouterResponse::new(402, "budget_spent");
                return Err(self.no_budget(org, LenderSearch::default(), own));
            }
        }
        match taken {
            Ok(hold) => {
                self.hold = Some(hold);
                Ok(())
            }
            Err(refusal) => {
                let asked = match refusal {
                    Refusal::NoneHere(asked) => asked,
                    Refusal::Spent => LenderSearch::default(),
                };
                let after = asked.available_in.unwrap_or(COME_BACK_BUDGET);
                let after = after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER);
                Err(self.no_budget(org, asked, RouterResponse::refusal("budget_not_here", after)))
            }
        }
    }

    fn no_budget(&self, org: &str, asked: LenderSearch, own: RouterResponse) -> RouterResponse {
        let state = self.gw.keeper.describe(org);
        let (id, most) = (&self.facts.id, self.facts.most());
        self.gw.log.note(
            "budget",
            format_args!(
                "id={id} route={} org={org} most={most} short={} silent={} {state} config={} outcome={}",
                self.route.name, asked.insufficient, asked.unresponsive, self.catalog.version, own.reason
            ),
        );
        own
    }

    pub(super) fn names(&self) -> &Names {
        self.gw.platform.names()
    }

    fn is_engine(&self) -> bool {
        self.catalog.service(&self.service).is_some_and(|s| s.engine.is_some())
    }

    /// Tokens of `events` events, at the most.
    fn tokens_of(&self, events: u64) -> u64 {
        let engine = self.catalog.service(&self.service).and_then(|s| s.engine);
        match engine.map_or(0, |e| e.tokens_per_event) {
            0 if events > 0 => self.facts.most_output,
            n => (events * n).min(self.facts.most_output),
        }
    }

    /// Notes what the request has cost once `events` events were handed to the caller.
    pub fn charge(&mut self, events: u64) {
        let cost = self.facts.prompt + self.tokens_of(events);
        if let Some(hold) = &mut self.hold {
            hold.set_cost(Tokens(cost));
            if events > 0 {
                hold.confirm_delivered();
            }
        }
    }

    /// Gets an answer, from as many targets as the rules allow. `resume_after` names the last
    /// event that the caller has, when a broken stream goes on.
    ///
    /// # Errors
    /// The router's own answer.
    pub async fn obtain(
        &mut self,
        resume_after: Option<CompactString>,
    ) -> Result<Reply, RouterResponse> {
        let until = self.until;
        match timeout_at(until, self.obtain_untimed(resume_after)).await {
            Ok(reply) => reply,
            Err(_) if self.may_have_run.get() => Err(RouterResponse::new(504, "timeout")),
            Err(_) => Err(RouterResponse::refusal("timeout_before_send", DEFAULT_RETRY_AFTER)),
        }
    }

    async fn obtain_untimed(
        &mut self,
        resume_after: Option<CompactString>,
    ) -> Result<Reply, RouterResponse> {
        let mut own_failure: Option<Reply> = None;
        loop {
            // Before each send, not only the first: the one before may have ended a target, and
            // retries that are allowed by id and by service would end the next.
            if let Err(own) = self.check_quarantine() {
                return own_failure.ok_or(self.after_runs(own));
            }
            let (backend, plan) = match self.choose() {
                Ok(chosen) => chosen,
                Err(Unplaced::Cold { room_in }) if self.may_wait(room_in) => {
                    sleep(self.wait_for_room(room_in)).await;
                    continue;
                }
                Err(Unplaced::Cold { room_in }) => {
                    return own_failure.ok_or(self.after_runs(cold_refusal(room_in)));
                }
                Err(Unplaced::Refused(own)) => return own_failure.ok_or(self.after_runs(own)),
            };
            if self.until - Instant::now() < LEAST_TIME {
                return own_failure.ok_or(
                    self.after_runs(RouterResponse::refusal("no_time_left", DEFAULT_RETRY_AFTER)),
                );
            }
            let ran_before = self.made.runs;
            let ended = match self.send(&backend, &plan, resume_after.as_deref()).await {
                Ok(reply) if reply.head.status < 500 => return Ok(reply),
                Ok(reply) => {
                    own_failure = Some(reply);
                    SendOutcome::Failed
                }
                Err(ended) => ended,
            };
            if ended == SendOutcome::HeldOff {
                // Nothing has happened to it: it may go there later.
                self.tried.pop();
                continue;
            }
            self.note_ended(&backend, ended, ran_before);
            if ended.is_broken() {
                await_probe(self.spawn_crash_check(&backend)).await;
            }
            let final_answer = match outcome::next_step(
                self.route.kind,
                ended,
                self.made,
                self.route.max_attempts,
            ) {
                NextStep::SendAgain => continue,
                NextStep::Retry(or_else) => {
                    if self.gw.retries.borrow_mut().take(&self.service) {
                        continue;
                    }
                    or_else
                }
                NextStep::Answer(answer) => answer,
            };
            return match (final_answer, own_failure) {
                (FinalAnswer::TargetAnswer, Some(reply)) => Ok(reply),
                (FinalAnswer::NotRun, _) => Err(self.turned_away()),
                (_, Some(reply)) => Ok(reply),
                _ => Err(RouterResponse::new(502, "target_failed")),
            };
        }
    }

    /// The answer to a request that targets turned away and that may go to no other, with the time
    /// at which one is worth a try.
    fn turned_away(&self) -> RouterResponse {
        match self.choose() {
            Err(Unplaced::Refused(own)) => RouterResponse { reason: "target_refused", ..own },
            Err(Unplaced::Cold { room_in }) => cold_refusal(room_in),
            Ok(_) => RouterResponse::refusal("target_refused", DEFAULT_RETRY_AFTER),
        }
    }

    /// A refusal must not promise "not run" once a target may have run the request.
    fn after_runs(&self, own: RouterResponse) -> RouterResponse {
        if self.may_have_run.get() && own.status == 503 {
            RouterResponse::new(502, own.reason)
        } else {
            own
        }
    }

    /// Whether a request waits here for room at a cold target: while it can still be in time.
    fn may_wait(&self, room_in: Duration) -> bool {
        let now = Instant::now();
        let left = self.route.aim.min(self.until - self.started).saturating_sub(now - self.started);
        self.wait_for_room(room_in) < left
    }

    fn wait_for_room(&self, room_in: Duration) -> Duration {
        let rank = self.org.as_deref().and_then(|o| self.catalog.priority_of(o));
        room_in + RANK_PAUSE * u32::from(rank.unwrap_or(self.route.priority))
    }

    fn choose(&self) -> Result<(Rc<Backend>, Planned), Unplaced> {
        let engine = self.is_engine();
        let emptied = self.gw.zones.emptied();
        let org_homes = self.org.as_deref().map_or(&[][..], |o| self.catalog.homes_of(o));
        let req = PlacementRequest {
            service: &self.service,
            zone: &self.gw.settings.zone,
            parts: &self.facts.parts,
            prompt: self.facts.prompt,
            engine,
            tried: &self.tried,
            zone_filter: ZoneFilter {
                emptied: &emptied,
                homes: [&self.route.homes, org_homes],
                regions: &self.gw.settings.regions,
            },
        };
        let PlacementCandidates { candidates: found, exclusion } = self.gw.targets.candidates(&req);
        let facts: Vec<_> = found.iter().map(|(_, c)| *c).collect();
        let now = Instant::now();
        let goal = PlacementGoal {
            aim: self.route.aim.saturating_sub(now - self.started),
            remaining: self.until.saturating_duration_since(now),
            engine,
        };
        match place(&facts, &goal, &self.gw.settings.weights) {
            Placement::Send { index, predicted_ms } => {
                let chosen = &facts[index];
                let plan = Planned {
                    engine,
                    prompt: self.facts.prompt,
                    uncached: chosen.uncached,
                    wait_ms: chosen.wait_ms,
                    prefill_ms: chosen.prefill_ms,
                    predicted_ms,
                    cache_tokens: self.catalog.cache_tokens(&self.service),
                };
                Ok((found[index].0.clone(), plan))
            }
            Placement::NoTarget => Err(Unplaced::Refused(match exclusion {
                None => RouterResponse::refusal("no_target", DEFAULT_RETRY_AFTER),
                Some(ExclusionReason::Emptied) => {
                    RouterResponse::refusal("zones_emptied", COME_BACK_EMPTIED)
                }
                Some(ExclusionReason::OutsideAllowedRegions) => {
                    RouterResponse::refusal("no_target_at_home", DEFAULT_RETRY_AFTER)
                }
            })),
            Placement::Cold { room_in } => Err(Unplaced::Cold { room_in }),
            Placement::BackingOff { retry_after } => {
                Err(Unplaced::Refused(backoff_refusal(retry_after)))
            }
            Placement::Busy { room_in_ms } => {
                let after = Duration::from_secs_f64(room_in_ms / 1_000.0);
                Err(Unplaced::Refused(RouterResponse::refusal("busy", after)))
            }
        }
    }

    fn note_ended(&mut self, backend: &Backend, ended: SendOutcome, runs_before: u32) {
        match ended {
            SendOutcome::NotSent => backend.unreachable(),
            SendOutcome::NotRun => backend.turned_away(),
            SendOutcome::OtherTarget => backend.unreachable(),
            SendOutcome::NoAnswer | SendOutcome::Silent | SendOutcome::Truncated => {
                backend.failed()
            }
            SendOutcome::Failed | SendOutcome::HeldOff => (),
        }
        sent(&self.gw.stats, ended);
        let (id, target) = (&self.facts.id, backend.id());
        let ms = self.started.elapsed().as_millis();
        self.gw.log.note(
            "send",
            format_args!(
                "id={id} target={target} ended={ended:?} runs={runs_before} sends={} at_ms={ms}",
                self.made.sends
            ),
        );
    }
}

/// The name of a kind of route in figures.
pub fn label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream => "stream",
        RouteKind::ResumableStream => "resumable_stream",
    }
}
