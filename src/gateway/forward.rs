//! Processing of one request up to the target's reply: admission, target selection, sends and
//! retries.

use std::cell::{Cell, OnceCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use super::backend::{Backend, PlacementPlan};
use super::catalog::{Catalog, Route, RouteKind};
use super::connect::{RETURN_PROBE_INTERVAL, check_path};
use super::fingerprint::Fingerprint;
use super::liveness::await_probe;
use super::origins::VersionDigest;
use super::outcome::{self, FinalAnswer, NextStep, SendCounts, SendOutcome};
use super::place::{Placement, PlacementGoal, place};
use super::refusal::{
    DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER, RejectedRequest, RouterResponse, backoff_refusal,
    no_room_refusal,
};
use super::reply::Reply;
use super::request::{HeaderNames, RequestMeta, host, path};
use super::state::{Gateway, Platform};
use super::stats::count_failed_send;
use super::sync::confirm_config;
use super::targets::{PlacementCandidates, PlacementRequest};
use super::zone_filter::{ExclusionReason, ZoneFilter};
use crate::allowance::{LenderSearch, Refusal, Reservation};
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
/// Extra delay before a request retries a cold or full target, for each step of its priority rank,
/// so that more urgent requests get the capacity first.
const ROOM_WAIT_PER_RANK: Duration = Duration::from_millis(10);
/// Number of targets without room after which a request waits before it tries others. Each try asks
/// another router.
const MAX_HELD_OFF_SENDS: u32 = 4;

/// Why no target was selected for a request.
enum Unplaced {
    /// The router refuses the request.
    Refused(RouterResponse),
    /// All remaining targets are cold or full; one has capacity after `room_in`.
    NoRoom { room_in: Duration },
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
    pub reservation: Option<Reservation<P>>,
    /// Number of sends so far.
    pub send_counts: SendCounts,
    /// Whether some target may have run the request.
    pub may_have_run: Cell<bool>,
    /// Ids of the targets that the request was sent to.
    pub tried: Vec<CompactString>,
    /// The target of the latest send.
    pub(super) current_target: Option<Rc<Backend>>,
    /// The router that relays the latest send; `None` if it is direct.
    pub(super) via: Option<SocketAddr>,
    /// When the latest send began.
    pub sent_at: Instant,
    /// The software version that began the stream, once the caller has an event of it.
    pub(super) version: Option<VersionDigest>,
    /// Whether the caller's stream has had an event, or a target has answered.
    pub(super) answer_began: bool,
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
) -> Result<(Rc<Catalog>, Route, Option<CompactString>), RouterResponse> {
    let lookup = || -> Result<_, RouterResponse> {
        let catalog =
            gw.config().ok_or(RouterResponse::refusal("no_configuration", DEFAULT_RETRY_AFTER))?;
        let route =
            catalog.route(host(head), path(head)).ok_or(RouterResponse::new(404, "no_route"))?;
        let route = route.clone();
        let org = authenticate(&catalog, &route, meta)?;
        Ok((catalog, route, org))
    };
    match lookup() {
        Err(response) if response.status != 503 => {
            if !confirm_config(gw).await {
                return Err(RouterResponse::refusal(
                    "configuration_not_confirmed",
                    DEFAULT_RETRY_AFTER,
                ));
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
) -> Result<Option<CompactString>, RouterResponse> {
    if !catalog.needs_keys() || route.public {
        return Ok(None);
    }
    let key = meta.key.as_deref().ok_or(RouterResponse::new(401, "no_key"))?;
    let org = catalog.organisation(key).ok_or(RouterResponse::new(401, "unknown_key"))?;
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
    ) -> Result<Job<'a, P>, RejectedRequest> {
        let unknown = |response| RejectedRequest { response, route: None, org: None };
        let (catalog, route, org) = resolve(gw, head, &meta).await.map_err(unknown)?;
        let known = (route.name.clone(), org.clone());
        let refused = |response| RejectedRequest {
            response,
            route: Some(known.0.clone()),
            org: known.1.clone(),
        };
        let wait = meta.time_left.map_or(route.timeout, |t| t.min(route.timeout));
        let answer_deadline = started + wait;
        if gw.stops_before(answer_deadline) {
            return Err(refused(RouterResponse::refusal("stopping", DEFAULT_RETRY_AFTER)));
        }
        let draw = fastrand::f64();
        let service = route.service(draw).cloned();
        let service = service
            .ok_or_else(|| refused(RouterResponse::refusal("no_service", DEFAULT_RETRY_AFTER)))?;
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
            send_counts: SendCounts { runs: 0, sends: 0 },
            may_have_run: Cell::new(false),
            tried: Vec::new(),
            current_target: None,
            via: None,
            sent_at: started,
            version: None,
            answer_began: false,
            fingerprint: OnceCell::new(),
        };
        // The quarantine check comes first, so that a quarantined request neither reserves budget
        // nor waits for it.
        job.check_quarantine().map_err(&refused)?;
        job.find_origin().await.map_err(&refused)?;
        job.reserve_budget().await.map_err(&refused)?;
        Ok(job)
    }

    /// Reserves the maximum cost of the request in its organisation's budget.
    async fn reserve_budget(&mut self) -> Result<(), RouterResponse> {
        let max_cost = Tokens(self.meta.max_cost());
        let Some(org) = self.org.as_deref().filter(|_| max_cost.0 > 0) else { return Ok(()) };
        let prepaid = self.catalog.organisation(self.meta.key.as_deref().unwrap_or_default());
        if prepaid.and_then(|o| o.prepaid).is_none() {
            return Ok(());
        }
        let budget_shares = &self.gw.budget_shares;
        let mut taken = budget_shares.reserve_by(org, max_cost, self.answer_deadline).await;
        // The prepaid amount may have been raised a moment ago.
        if matches!(taken, Err(Refusal::Spent)) && confirm_config(self.gw).await {
            taken = budget_shares.reserve_by(org, max_cost, self.answer_deadline).await;
            if matches!(taken, Err(Refusal::Spent)) {
                let response = RouterResponse::new(402, "budget_spent");
                return Err(self.log_budget_refusal(org, LenderSearch::default(), response));
            }
        }
        match taken {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Ok(())
            }
            Err(refusal) => {
                let search = match refusal {
                    Refusal::NoneHere(search) => search,
                    Refusal::Spent => LenderSearch::default(),
                };
                let after = search.available_in.unwrap_or(BUDGET_RETRY_AFTER);
                let after = after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER);
                Err(self.log_budget_refusal(
                    org,
                    search,
                    RouterResponse::refusal("budget_not_here", after),
                ))
            }
        }
    }

    fn log_budget_refusal(
        &self,
        org: &str,
        search: LenderSearch,
        response: RouterResponse,
    ) -> RouterResponse {
        let state = self.gw.budget_shares.describe(org);
        let (id, max_cost) = (&self.meta.id, self.meta.max_cost());
        self.gw.log.note(
            "budget",
            format_args!(
                "id={id} route={} org={org} most={max_cost} short={} silent={} {state} config={} outcome={}",
                self.route.name, search.insufficient, search.unresponsive, self.catalog.version, response.reason
            ),
        );
        response
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
            reservation.set_cost(Tokens(cost));
            if events > 0 {
                reservation.confirm_delivered();
            }
        }
    }

    /// Gets a reply, from as many targets as the retry rules allow. `resume_after` is the id of the
    /// last event that the caller received when a broken stream is resumed.
    ///
    /// # Errors
    /// The response of the router itself, if no target's reply can be relayed.
    pub async fn fetch_reply(
        &mut self,
        resume_after: Option<CompactString>,
    ) -> Result<Reply, RouterResponse> {
        let (gw, answer_deadline) = (self.gw, self.answer_deadline);
        let reply = tokio::select! {
            biased;
            reply = timeout_at(answer_deadline, self.fetch_reply_untimed(resume_after)) => reply,
            () = gw.stop_reached() => {
                let resp = RouterResponse::refusal("stopping", DEFAULT_RETRY_AFTER);
                return Err(self.map_refusal(resp));
            }
        };
        match reply {
            Ok(reply) => reply,
            Err(_) if self.may_have_run.get() => Err(RouterResponse::new(504, "timeout")),
            Err(_) => Err(RouterResponse::refusal("timeout_before_send", DEFAULT_RETRY_AFTER)),
        }
    }

    async fn fetch_reply_untimed(
        &mut self,
        resume_after: Option<CompactString>,
    ) -> Result<Reply, RouterResponse> {
        let mut failure_reply: Option<Reply> = None;
        let mut held_off = 0;
        loop {
            // Checked before every send, not only the first: the previous send may have crashed a
            // target, and retries that the id and the service would allow could crash the next one.
            if let Err(resp) = self.check_quarantine() {
                return failure_reply.ok_or(self.map_refusal(resp));
            }
            if self.stop_forbids_send() {
                let resp = RouterResponse::refusal("stopping", DEFAULT_RETRY_AFTER);
                return failure_reply.ok_or(self.map_refusal(resp));
            }
            let (backend, plan) = match self.choose_target() {
                Ok(chosen) => chosen,
                Err(Unplaced::NoRoom { room_in }) if self.can_wait_for_room(room_in) => {
                    self.wait_for_room(room_in).await;
                    continue;
                }
                Err(Unplaced::NoRoom { room_in }) => {
                    let resp = no_room_refusal(self.no_room_reason(), room_in);
                    return failure_reply.ok_or(self.map_refusal(resp));
                }
                Err(Unplaced::Refused(resp)) => return failure_reply.ok_or(self.map_refusal(resp)),
            };
            if self.answer_deadline - Instant::now() < MIN_TIME_LEFT {
                return failure_reply.ok_or(
                    self.map_refusal(RouterResponse::refusal("no_time_left", DEFAULT_RETRY_AFTER)),
                );
            }
            let ran_before = self.send_counts.runs;
            let ended = match self.send(&backend, &plan, resume_after.as_deref()).await {
                Ok(reply) if reply.head.status < 500 => return Ok(reply),
                Ok(reply) => {
                    failure_reply = Some(reply);
                    SendOutcome::Failed
                }
                Err(ended) => ended,
            };
            if ended == SendOutcome::HeldOff {
                // Nothing was sent, so the request may go to this target later.
                self.tried.pop();
                held_off += 1;
                let room_in = backend.room_in(Instant::now()).unwrap_or_default();
                if held_off % MAX_HELD_OFF_SENDS != 0 {
                    continue;
                }
                if self.can_wait_for_room(room_in) {
                    self.wait_for_room(room_in).await;
                    continue;
                }
                let resp = no_room_refusal(self.no_room_reason(), room_in);
                return failure_reply.ok_or(self.map_refusal(resp));
            }
            self.record_failed_send(&backend, ended, ran_before);
            if ended == SendOutcome::NoPath {
                let resp = RouterResponse::refusal("targets_unreachable", RETURN_PROBE_INTERVAL);
                return failure_reply.ok_or(self.map_refusal(resp));
            }
            if ended.is_broken() {
                await_probe(self.spawn_crash_check(&backend)).await;
            }
            let final_answer = match outcome::next_step(
                self.route.kind,
                ended,
                self.send_counts,
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
            return match (final_answer, failure_reply) {
                (FinalAnswer::TargetAnswer, Some(reply)) => Ok(reply),
                (FinalAnswer::NotRun, _) => Err(self.rejected_by_targets()),
                (_, Some(reply)) => Ok(reply),
                _ => Err(RouterResponse::new(502, "target_failed")),
            };
        }
    }

    /// The response to a request that targets rejected without running it and that may not be sent
    /// to another one. Its `Retry-After` says when a target is expected to accept requests again.
    fn rejected_by_targets(&self) -> RouterResponse {
        match self.choose_target() {
            Err(Unplaced::Refused(response)) => {
                RouterResponse { reason: "target_refused", ..response }
            }
            Err(Unplaced::NoRoom { room_in }) => no_room_refusal(self.no_room_reason(), room_in),
            Ok(_) => RouterResponse::refusal("target_refused", DEFAULT_RETRY_AFTER),
        }
    }

    /// Whether a planned stop forbids a send. A request that no target may have run is refused if the
    /// stop may end it, because it may still be sent to another router.
    pub(super) fn stop_forbids_send(&self) -> bool {
        let needed_until =
            if self.may_have_run.get() { Instant::now() } else { self.answer_deadline };
        self.gw.stops_before(needed_until)
    }

    /// Turns 503 into 502 once a target may have run the request, because 503 promises that it did
    /// not run.
    fn map_refusal(&self, response: RouterResponse) -> RouterResponse {
        if self.may_have_run.get() && response.status == 503 {
            RouterResponse::new(502, response.reason)
        } else {
            response
        }
    }

    /// Whether the request can wait for capacity at a target and still meet the route's
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

    fn no_room_reason(&self) -> &'static str {
        let is_full = self.gw.capacity.rejection_limit(&self.service).is_some();
        if is_full { "targets_full" } else { "cold" }
    }

    fn priority(&self) -> u8 {
        let of_org = self.org.as_deref().and_then(|o| self.catalog.priority_of(o));
        of_org.unwrap_or(self.route.priority)
    }

    fn room_wait(&self, room_in: Duration) -> Duration {
        room_in + ROOM_WAIT_PER_RANK * u32::from(self.priority())
    }

    async fn wait_for_room(&self, room_in: Duration) {
        let longest = self.room_wait(room_in);
        self.gw.capacity.wait_for_room(&self.service, self.priority(), longest).await;
    }

    /// Whether a target of the version that began the stream may continue it, perhaps after a
    /// wait.
    pub(super) fn can_continue(&self) -> bool {
        self.version.is_some() && !matches!(self.choose_target(), Err(Unplaced::Refused(_)))
    }

    fn choose_target(&self) -> Result<(Rc<Backend>, PlacementPlan), Unplaced> {
        let engine = self.is_engine();
        let emptied = self.gw.zones.emptied();
        let org_homes = self.org.as_deref().map_or(&[][..], |o| self.catalog.homes_of(o));
        let req = PlacementRequest {
            service: &self.service,
            zone: &self.gw.settings.zone,
            parts: &self.meta.parts,
            prompt: self.meta.prompt,
            engine,
            tried: &self.tried,
            zone_filter: ZoneFilter {
                emptied: &emptied,
                homes: [&self.route.homes, org_homes],
                regions: &self.gw.settings.regions,
            },
            version: self.version,
        };
        let PlacementCandidates { candidates: found, exclusion } = self.gw.targets.candidates(&req);
        let inputs: Vec<_> = found.iter().map(|(_, c)| *c).collect();
        let now = Instant::now();
        let goal = PlacementGoal {
            aim: self.route.aim.saturating_sub(now - self.started),
            remaining: self.answer_deadline.saturating_duration_since(now),
            engine,
        };
        match place(&inputs, &goal, &self.gw.settings.weights) {
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
            Placement::NoTarget => Err(Unplaced::Refused(match exclusion {
                // Targets of an earlier version do not come back.
                None if self.version.is_some() && found.is_empty() => {
                    RouterResponse::new(503, "no_target_of_version")
                }
                None => RouterResponse::refusal("no_target", DEFAULT_RETRY_AFTER),
                Some(ExclusionReason::Emptied) => {
                    RouterResponse::refusal("zones_emptied", ZONES_EMPTIED_RETRY_AFTER)
                }
                Some(ExclusionReason::OutsideAllowedRegions) => {
                    RouterResponse::refusal("no_target_at_home", DEFAULT_RETRY_AFTER)
                }
            })),
            Placement::NoRoom { room_in } => Err(Unplaced::NoRoom { room_in }),
            Placement::BackingOff { retry_after } => {
                Err(Unplaced::Refused(backoff_refusal(retry_after)))
            }
            Placement::Busy { room_in_ms } => {
                let after = Duration::from_secs_f64(room_in_ms / 1_000.0);
                Err(Unplaced::Refused(RouterResponse::refusal("busy", after)))
            }
        }
    }

    fn record_failed_send(&mut self, backend: &Rc<Backend>, ended: SendOutcome, runs_before: u32) {
        match ended {
            SendOutcome::NotSent => backend.record_unreachable(),
            SendOutcome::NotRun => {
                backend.record_rejection(self.gw.capacity.record_rejection(backend));
            }
            SendOutcome::OtherTarget => backend.record_unreachable(),
            SendOutcome::NoAnswer | SendOutcome::Silent | SendOutcome::Truncated => {
                self.record_failure(backend)
            }
            SendOutcome::Failed | SendOutcome::HeldOff | SendOutcome::NoPath => (),
        }
        count_failed_send(&self.gw.stats, ended);
        let (id, target) = (&self.meta.id, backend.id());
        let ms = self.started.elapsed().as_millis();
        self.gw.log.note(
            "send",
            format_args!(
                "id={id} target={target} version={} via={} ended={ended:?} rejection_limit={} runs={runs_before} sends={} at_ms={ms}",
                OrDash(backend.version_name()),
                OrDash(self.via),
                OrDash(backend.self_reported.rejection_limit()),
                self.send_counts.sends
            ),
        );
    }

    /// Records that a request to a target failed after it was sent. The failure is not the target's
    /// if this router has lost its path to the targets; that is checked in the background.
    pub(super) fn record_failure(&self, backend: &Backend) {
        if self.via.is_some() {
            return backend.record_failure();
        }
        if self.gw.path.is_partitioned() {
            return;
        }
        backend.record_failure();
        let (gw, began) = (self.gw.clone(), self.sent_at);
        spawn_local(async move { check_path(&gw, began).await });
    }

    /// Whether a router in this zone may relay the request: its body may be sent to the regions
    /// only to which the route and the organisation are restricted.
    pub(super) fn allows_relay_zone(&self, zone: &str) -> bool {
        let org_homes = self.org.as_deref().map_or(&[][..], |o| self.catalog.homes_of(o));
        let filter = ZoneFilter {
            emptied: &[],
            homes: [&self.route.homes, org_homes],
            regions: &self.gw.settings.regions,
        };
        filter.exclusion_reason(zone).is_none()
    }
}

/// Shows a value, or a dash if there is none.
pub(super) struct OrDash<T>(pub Option<T>);

impl<T: fmt::Display> fmt::Display for OrDash<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
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
