//! One send to one target: writes the request and reads the part of the answer that is buffered
//! before anything is forwarded.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::backend::{Backend, InFlight, PlacementPlan};
use super::catalog::RouteKind;
use super::cold::AdmissionLimit;
use super::connect::{ConnectError, connect};
use super::forward::{Job, OrDash};
use super::notice::{Notice, RetryAfter};
use super::outcome::SendOutcome;
use super::pool::TargetConn;
use super::reply::{RemainingBody, Reply, StreamProgress};
use super::request::{AddedHeaders, HeaderNames, encode_request};
use super::state::Platform;
use super::stats::count_notice;
use crate::http1::{BodyDecoder, HeadError, Header, ResponseHead, header};
use crate::ids::Tokens;

/// The longest accepted response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Plain answers up to this size are read completely before any byte is forwarded, so that after a
/// broken answer the request can be retried without the caller noticing.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;
/// The maximum number of answers to earlier requests that are skipped on a connection.
const MAX_STRAY_ANSWERS: usize = 2;
/// The maximum size of the body of an answer that is skipped.
const MAX_STRAY_BYTES: u64 = 256 * 1024;
/// How long a target is passed over whose software version could not be listed. The store is away.
const UNLISTED_VERSION_PAUSE: Duration = Duration::from_millis(500);
/// How long a repeatable request waits for an answer before it is sent to another target, as a
/// multiple of the route's latency aim; the predicted time to the first token is added. A target
/// that hangs stalls everything sent to it although its health check may still pass.
const ANSWER_TIMEOUT_FACTOR: f64 = 2.0;

/// A send after which no answer can be forwarded.
struct Unanswered {
    ended: SendOutcome,
    /// Head of the answer that proves that the request did not run.
    rejection: Option<ResponseHead>,
}

impl From<SendOutcome> for Unanswered {
    fn from(ended: SendOutcome) -> Unanswered {
        Unanswered { ended, rejection: None }
    }
}

impl<P: Platform> Job<'_, P> {
    /// Sends the request to one target and reads the answer as far as it is buffered.
    pub(super) async fn send(
        &mut self,
        backend: &Rc<Backend>,
        plan: &PlacementPlan,
        resume_after: Option<&str>,
    ) -> Result<Reply, SendOutcome> {
        self.tried.push(backend.id());
        self.current_target = Some(backend.clone());
        self.sent_at = Instant::now();
        let mut in_flight = InFlight::begin(backend, plan, self.sent_at);
        let is_usable = |via, idle_since| {
            self.gw.path.is_usable(via, idle_since, |zone| self.allows_relay_zone(zone))
        };
        let pooled = backend.pool.borrow_mut().take(is_usable);
        let mut target_conn = match pooled {
            Some(target_conn) => target_conn,
            None => match connect(self.gw, backend, |z| self.allows_relay_zone(z)).await {
                Ok(target_conn) => target_conn,
                Err(ConnectError::Target(_)) => return Err(SendOutcome::NotSent),
                // A second target that nobody reaches shows that the others are not worth a try.
                Err(ConnectError::Nowhere(_)) if self.tried.len() == 1 => {
                    return Err(SendOutcome::NotSent);
                }
                Err(ConnectError::Nowhere(_) | ConnectError::NoPath) => {
                    return Err(SendOutcome::NoPath);
                }
            },
        };
        self.via = target_conn.via;
        if let Err(held_off) = self.check_before_send(backend).await {
            target_conn.return_to(&mut backend.pool.borrow_mut());
            return Err(held_off);
        }
        in_flight.record_sent(&self.meta.parts, self.gw.capacity.ended.clone());
        let target = backend.id();
        let added = AddedHeaders {
            target: &target,
            organisation: self.org.as_deref(),
            time_left: self.answer_deadline.saturating_duration_since(Instant::now()),
            resume_after,
        };
        let bytes = encode_request(self.header_names(), self.head, &self.body, &added);
        self.send_counts.sends += 1;
        self.send_counts.runs += 1;
        let ran_before = self.may_have_run.replace(true);
        if self.send_counts.runs == 1 {
            self.charge(0);
        }
        if plan.engine {
            self.gw.hints.record_placement(&target, plan, &self.meta.parts);
        }
        let outcome = self.send_and_read_head(&mut target_conn, bytes.into(), plan).await;
        match outcome {
            Ok(head) => self.read_reply(target_conn, head, in_flight).await,
            Err(Unanswered { ended, rejection }) => {
                if !ended.may_have_run() {
                    self.send_counts.runs -= 1;
                    self.may_have_run.set(ran_before);
                    if let Some(reservation) =
                        self.reservation.as_mut().filter(|_| self.send_counts.runs == 0)
                    {
                        reservation.set_cost(Tokens(0));
                    }
                }
                if let Some(rejection) = rejection {
                    let backend = backend.clone();
                    target_conn.conn.end_request();
                    // The caller does not wait for the rest of a rejection.
                    spawn_local(async move {
                        target_conn.discard_body(&rejection).await;
                        target_conn.return_to(&mut backend.pool.borrow_mut());
                    });
                }
                Err(ended)
            }
        }
    }

    /// Checks the target again right before a send, since its state may have changed after it was
    /// selected. Every send passes this check.
    ///
    /// # Errors
    /// `HeldOff`.
    async fn check_before_send(&self, backend: &Rc<Backend>) -> Result<(), SendOutcome> {
        let (service, zone, id) = {
            let info = backend.info.borrow();
            (info.service.clone(), info.zone.clone(), info.id.clone())
        };
        if let Some(warm_up) = self.catalog.warm_up(&service) {
            if backend.process_state.connected() {
                backend.extend_cold(warm_up.cold_duration);
                let ms = warm_up.cold_duration.as_millis();
                self.gw
                    .log
                    .note("target", format_args!("target={id} cold_ms={ms} cause=reached_again"));
            }
            // Targets may have become cold while their zone was emptied, and their entries report
            // that only later. This is checked here and not when the order arrives, because neither
            // the target nor the configuration need be known then.
            let now = Instant::now();
            if let Some(since) = self.gw.zones.in_service_for(&zone, now) {
                backend.extend_cold(warm_up.cold_duration.saturating_sub(since));
            }
            if backend.is_cold(now) {
                let limit = AdmissionLimit::for_warm_up(warm_up, self.gw.settings.cold);
                if let Err(room_in) = self.gw.cold.admit(&id, &zone, limit).await {
                    backend.set_no_room(room_in);
                    return Err(SendOutcome::HeldOff);
                }
            }
        }
        // After the death of all routers only the list tells where a stream can have begun.
        if self.route.kind == RouteKind::ResumableStream
            && !self.gw.versions.listed(backend.stream_version()).await
        {
            backend.set_no_room(UNLISTED_VERSION_PAUSE);
            return Err(SendOutcome::HeldOff);
        }
        // The last check that may wait: an admission is used at once.
        if self.gw.capacity.rejection_limit(&service).is_some()
            && let Err(room_in) = self.gw.capacity.admit(backend, &self.gw.targets).await
        {
            backend.set_no_room(room_in);
            return Err(SendOutcome::HeldOff);
        }
        let holds_off = backend.self_reported.is_unavailable(Instant::now());
        // Either may have begun during the waits above.
        if self.is_quarantined() || self.stop_forbids_send() {
            return Err(SendOutcome::HeldOff);
        }
        if self.gw.zones.is_emptied(&zone) || !backend.is_expected_to_stay() || holds_off {
            return Err(SendOutcome::HeldOff);
        }
        Ok(())
    }

    /// Writes the request and reads the head of its answer.
    async fn send_and_read_head(
        &self,
        target_conn: &mut TargetConn,
        bytes: Bytes,
        plan: &PlacementPlan,
    ) -> Result<ResponseHead, Unanswered> {
        let outcome = async {
            target_conn.conn.start_request(bytes).map_err(|_| SendOutcome::NoAnswer)?;
            self.read_matching_head(target_conn).await
        };
        match self.answer_timeout(plan) {
            Some(answer_timeout) => {
                timeout(answer_timeout, outcome).await.map_err(|_| SendOutcome::Silent)?
            }
            None => outcome.await,
        }
    }

    /// How long to wait for an answer before the request is sent to another target; `None` if it
    /// may not be sent again.
    fn answer_timeout(&self, plan: &PlacementPlan) -> Option<Duration> {
        let may =
            self.route.kind.allows_repeats() && self.send_counts.runs < self.route.max_attempts;
        let predicted = Duration::from_secs_f64(plan.predicted_ms / 1_000.0);
        may.then(|| self.route.aim.mul_f64(ANSWER_TIMEOUT_FACTOR) + predicted)
    }

    /// Reads response heads until one echoes this request's id. Other answers belong to earlier
    /// requests on the same connection and are skipped with their bodies; otherwise one caller's
    /// answer would reach another caller.
    async fn read_matching_head(
        &self,
        target_conn: &mut TargetConn,
    ) -> Result<ResponseHead, Unanswered> {
        let header_names = self.header_names();
        for skipped in 0..=MAX_STRAY_ANSWERS {
            let mut head =
                target_conn.conn.read_response(MAX_RESPONSE_HEAD_BYTES).await.map_err(|e| {
                    let cause = match e {
                        HeadError::Closed => "closed",
                        HeadError::Broken(_) => "broken",
                        HeadError::Invalid(_) => "not_http",
                        HeadError::TooLong => "head_too_long",
                    };
                    self.log_unreadable(cause, target_conn.used);
                    SendOutcome::NoAnswer
                })?;
            let mut echoes = head.headers.iter().filter(|h| h.is(&header_names.request_id));
            let echoed = echoes.next().and_then(Header::text);
            if echoes.any(|h| h.text() != echoed) {
                self.log_unreadable("several_ids", target_conn.used);
                return Err(SendOutcome::NoAnswer.into());
            }
            self.apply_notice(&head);
            let is_ours = echoed == Some(self.meta.id.as_str());
            let fresh = !target_conn.used && echoed.is_none();
            if is_ours || fresh {
                // Behind this answer, parts of others may follow as well.
                head.keep_alive &= skipped == 0;
                if let Some(ended) = not_run_proof(header_names, &head) {
                    return Err(Unanswered { ended, rejection: Some(head) });
                }
                let is_success = (200..300).contains(&head.status);
                if is_success && header(&head.headers, &header_names.receipt).is_none() {
                    self.log_unreadable("no_receipt", target_conn.used);
                    return Err(SendOutcome::NoAnswer.into());
                }
                return if is_ours { Ok(head) } else { Err(SendOutcome::NoAnswer.into()) };
            }
            let id = &self.meta.id;
            self.gw.log.note(
                "answer",
                format_args!("id={id} outcome=stray_answer_skipped stray_id={echoed:?}"),
            );
            if head.body.ends_with_connection() {
                return Err(SendOutcome::NoAnswer.into());
            }
            let discarded = target_conn.conn.discard_body(head.body, MAX_STRAY_BYTES).await;
            discarded.map_err(|e| {
                self.gw.log.note("answer", format_args!("id={id} outcome=stray_answer error={e}"));
                SendOutcome::NoAnswer
            })?;
        }
        Err(SendOutcome::NoAnswer.into())
    }

    fn log_unreadable(&self, cause: &str, used: bool) {
        let id = &self.meta.id;
        self.gw
            .log
            .note("answer", format_args!("id={id} outcome=unreadable cause={cause} kept={used}"));
    }

    /// Applies what the head says about the target itself. This is valid even if the head answers
    /// another request.
    fn apply_notice(&self, head: &ResponseHead) {
        let notice = Notice::read(self.header_names(), head);
        let Some(backend) = self.current_target.as_ref().filter(|_| head.status != 421) else {
            return;
        };
        count_notice(&self.gw.stats, notice);
        let service = backend.info.borrow().service.clone();
        self.gw.capacity.record_answer(&service, notice.rejection_limit);
        let is_new = backend.self_reported.apply_notice(notice, Instant::now());
        if !is_new && notice.retry_after != Some(RetryAfter::Unreadable) {
            return;
        }
        let (id, target, status) = (&self.meta.id, backend.id(), head.status);
        let Notice { leaving, retry_after, rejection_limit } = notice;
        self.gw.log.note(
            "notice",
            format_args!(
                "target={target} id={id} status={status} leaving={leaving} retry_after={retry_after:?} rejection_limit={}",
                OrDash(rejection_limit)
            ),
        );
    }

    async fn read_reply(
        &mut self,
        target_conn: TargetConn,
        mut head: ResponseHead,
        mut in_flight: InFlight,
    ) -> Result<Reply, SendOutcome> {
        if self.head.method == "HEAD" {
            head.body = BodyDecoder::length(0);
        }
        let is_stream = self.route.kind.is_stream() && (200..300).contains(&head.status);
        let body = head.body;
        let TargetConn { conn, via, .. } = target_conn;
        let mut remaining =
            RemainingBody { conn, via, body, stream: is_stream.then(StreamProgress::default) };
        let first_bytes = if is_stream {
            self.read_first_events(&mut remaining, &mut in_flight).await?
        } else {
            buffer_answer(&mut remaining).await?
        };
        in_flight.backend().record_answer();
        // A failure shows nothing about the prompt: it may not have been read.
        if (200..300).contains(&head.status) && (!is_stream || has_events(&remaining)) {
            self.record_answer_began();
        }
        let remaining = if remaining.body.is_done() && !is_stream {
            in_flight.backend().pool.borrow_mut().put(remaining.conn, via, &head);
            None
        } else {
            Some(remaining)
        };
        Ok(Reply { head, first_bytes, remaining, in_flight })
    }

    /// Waits for the first complete event of a stream. Until then nothing was sent to the caller,
    /// and another target can take over if this one fails.
    async fn read_first_events(
        &self,
        remaining: &mut RemainingBody,
        in_flight: &mut InFlight,
    ) -> Result<Bytes, SendOutcome> {
        let ends_with_connection = remaining.body.ends_with_connection();
        let stream =
            remaining.stream.as_mut().expect("a reply to a stream request has its progress set");
        loop {
            let piece = remaining
                .conn
                .read_piece(&mut remaining.body)
                .await
                .map_err(|_| SendOutcome::Truncated)?;
            let Some(piece) = piece else {
                // Without a length, the end of the connection is the only sign of the end. A stream
                // that ends before its first event has broken off.
                let broke_off = ends_with_connection || stream.splitter.is_within_event();
                return if broke_off { Err(SendOutcome::Truncated) } else { Ok(Bytes::new()) };
            };
            if let Some(events) = stream.push(&piece)? {
                let took = in_flight.record_first_event();
                self.gw
                    .stats
                    .first_event_seconds
                    .observe((Instant::now() - self.started).as_secs_f64());
                let (id, backend) = (&self.meta.id, in_flight.backend());
                self.gw.log.routine(
                    "placed",
                    format_args!(
                        "id={id} route={} target={} version={} wait_ms={:.0} predicted_ms={:.0} first_ms={} uncached={} prompt={} most_output={} estimate={:?}",
                        self.route.name,
                        backend.id(),
                        OrDash(backend.version_name()),
                        in_flight.plan().wait_ms,
                        in_flight.plan().predicted_ms,
                        took.as_millis(),
                        in_flight.plan().uncached,
                        self.meta.prompt,
                        self.meta.max_output,
                        self.meta.estimate,
                    ),
                );
                return Ok(events);
            }
        }
    }
}

fn has_events(body: &RemainingBody) -> bool {
    body.stream.as_ref().is_some_and(|s| s.events > 0)
}

/// Reads a plain answer up to [`MAX_BUFFERED_ANSWER_BYTES`], completely if it is shorter.
async fn buffer_answer(remaining: &mut RemainingBody) -> Result<Bytes, SendOutcome> {
    let mut first_bytes = BytesMut::new();
    while first_bytes.len() < MAX_BUFFERED_ANSWER_BYTES {
        match remaining
            .conn
            .read_piece(&mut remaining.body)
            .await
            .map_err(|_| SendOutcome::Truncated)?
        {
            Some(piece) => first_bytes.extend_from_slice(&piece),
            None => {
                // A body that is delimited by the end of its connection is complete now.
                remaining.body = BodyDecoder::length(0);
                break;
            }
        }
    }
    Ok(first_bytes.freeze())
}

/// The proof that the target did not run the request, if the response contains one.
fn not_run_proof(header_names: &HeaderNames, head: &ResponseHead) -> Option<SendOutcome> {
    if head.status == 421 {
        return Some(SendOutcome::OtherTarget);
    }
    header(&head.headers, &header_names.not_run).map(|_| SendOutcome::NotRun)
}
