//! One send to one target: the request out, and as much of the answer in as is held back.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout};

use super::backend::{Backend, Flight, Planned};
use super::cold::AdmissionLimit;
use super::forward::Job;
use super::notice::{Notice, RetryAfter};
use super::outcome::SendOutcome;
use super::pool::{Link, dial};
use super::reply::{Reply, Rest, StreamState};
use super::request::{Additions, Names, encode};
use super::state::Platform;
use super::stats::noticed;
use crate::http1::{Conn, Decoder, HeadError, ResponseHead, header};
use crate::ids::Tokens;

/// The longest response head that is accepted, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Plain answers up to this size are read whole before any byte is forwarded, so that a broken
/// one can be asked for again and is never seen by the caller.
const WHOLE_ANSWER: usize = 256 * 1024;
/// Answers to earlier requests that are skipped on a connection, at most.
const MAX_STRAY: usize = 2;
/// Time after which a request that may be repeated goes to another target, against its aim: a
/// target that hangs holds up everything sent to it, and its health answer may still be good.
const PATIENCE_X: f64 = 2.0;

impl<P: Platform> Job<'_, P> {
    /// Sends the request to one target and reads the answer, as much of it as is held back.
    pub(super) async fn send(
        &mut self,
        backend: &Rc<Backend>,
        plan: &Planned,
        resume_after: Option<&str>,
    ) -> Result<Reply, SendOutcome> {
        self.tried.push(backend.id());
        self.at = Some(backend.clone());
        self.sent = Instant::now();
        let flight = Flight::begin(backend, plan, self.sent);
        let kept = backend.pool.borrow_mut().take();
        let mut link = match kept {
            Some(link) => link,
            None => match dial(backend.addr()).await {
                Ok(link) => {
                    backend.life.mark_alive();
                    link
                }
                Err(e) => {
                    backend.life.connect_failed(&e);
                    return Err(SendOutcome::NotSent);
                }
            },
        };
        if let Err(held_off) = self.admit_to(backend).await {
            link.put_back(&mut backend.pool.borrow_mut());
            return Err(held_off);
        }
        flight.leaves(&self.facts.parts);
        let target = backend.id();
        let add = Additions {
            target: &target,
            organisation: self.org.as_deref(),
            time_left: self.until.saturating_duration_since(Instant::now()),
            resume_after,
        };
        let bytes = encode(self.names(), self.head, &self.body, &add);
        self.made.sends += 1;
        self.made.runs += 1;
        let ran_before = self.may_have_run.replace(true);
        if self.made.runs == 1 {
            self.charge(0);
        }
        if plan.engine {
            self.gw.hints.record_placement(&target, plan, &self.facts.parts);
        }
        let outcome = self.answer(&mut link, &bytes, plan).await;
        match outcome {
            Ok(head) => self.read_start(link.conn, head, flight).await,
            Err(ended) => {
                if !ended.may_have_run() {
                    self.made.runs -= 1;
                    self.may_have_run.set(ran_before);
                    if let Some(hold) = self.hold.as_mut().filter(|_| self.made.runs == 0) {
                        hold.set_cost(Tokens(0));
                    }
                    link.put_back(&mut backend.pool.borrow_mut());
                }
                Err(ended)
            }
        }
    }

    /// The last look before a request leaves: every send passes here, and what was known when its
    /// target was chosen may be out of date since.
    ///
    /// # Errors
    /// `HeldOff`.
    async fn admit_to(&self, backend: &Backend) -> Result<(), SendOutcome> {
        let (service, zone, id) = {
            let info = backend.info.borrow();
            (info.service.clone(), info.zone.clone(), info.id.clone())
        };
        if let Some(warm_up) = self.catalog.warm_up(&service) {
            if backend.life.connected() {
                backend.cool(warm_up.cold_duration);
                let ms = warm_up.cold_duration.as_millis();
                self.gw
                    .log
                    .note("target", format_args!("target={id} cold_ms={ms} cause=reached_again"));
            }
            // Targets may have become cold while their zone was emptied, and their entries say so
            // only later. Looked up here, not when the order is heard: by then neither the target
            // nor the configuration need be known.
            let now = Instant::now();
            if let Some(since) = self.gw.zones.taken_back_for(&zone, now) {
                backend.cool(warm_up.cold_duration.saturating_sub(since));
            }
            if backend.is_cold(now) {
                let pace = AdmissionLimit::for_warm_up(warm_up, self.gw.settings.cold);
                if let Err(room_in) = self.gw.cold.admit(&id, &zone, pace).await {
                    backend.has_no_room(room_in);
                    return Err(SendOutcome::HeldOff);
                }
            }
        }
        let holds_off = backend.standing.is_unavailable(Instant::now());
        if self.gw.zones.is_emptied(&zone) || !backend.is_expected_to_stay() || holds_off {
            return Err(SendOutcome::HeldOff);
        }
        Ok(())
    }

    /// Writes the request and reads the head of the answer to it.
    async fn answer(
        &self,
        link: &mut Link,
        bytes: &[u8],
        plan: &Planned,
    ) -> Result<ResponseHead, SendOutcome> {
        let exchange = async {
            link.conn.write_until_answered(bytes).await.map_err(|_| SendOutcome::NoAnswer)?;
            self.read_own_head(link).await
        };
        match self.patience(plan) {
            Some(patience) => timeout(patience, exchange).await.map_err(|_| SendOutcome::Silent)?,
            None => exchange.await,
        }
    }

    /// How long to wait for an answer before another target is asked; none if there may be no
    /// other.
    fn patience(&self, plan: &Planned) -> Option<Duration> {
        let may = self.route.kind.repeats() && self.made.runs < self.route.max_attempts;
        let predicted = Duration::from_secs_f64(plan.predicted_ms / 1_000.0);
        may.then(|| self.route.aim.mul_f64(PATIENCE_X) + predicted)
    }

    /// Reads response heads up to the one that echoes this request's id. Others belong to
    /// requests before it on the same connection, and are skipped with their bodies: taken for
    /// ours, they would hand one caller's answer to another.
    async fn read_own_head(&self, link: &mut Link) -> Result<ResponseHead, SendOutcome> {
        let names = self.names();
        for _ in 0..=MAX_STRAY {
            let head = link.conn.read_response(MAX_RESPONSE_HEAD).await.map_err(|e| {
                let id = &self.facts.id;
                let used = link.used;
                let cause = match e {
                    HeadError::Closed => "closed",
                    HeadError::Broken(_) => "broken",
                    HeadError::Bad(_) => "not_http",
                    HeadError::TooLong => "head_too_long",
                };
                self.gw.log.note(
                    "answer",
                    format_args!("id={id} outcome=unreadable cause={cause} kept={used}"),
                );
                SendOutcome::NoAnswer
            })?;
            self.hear(&head);
            let echoed = header(&head.headers, &names.request_id);
            let is_ours = echoed == Some(self.facts.id.as_str());
            let fresh = !link.used && echoed.is_none();
            if is_ours || fresh {
                if let Some(ended) = not_run(names, &head) {
                    link.skip(head).await;
                    return Err(ended);
                }
                return if is_ours { Ok(head) } else { Err(SendOutcome::NoAnswer) };
            }
            let id = &self.facts.id;
            self.gw.log.note(
                "answer",
                format_args!("id={id} outcome=stray_answer_skipped stray_id={echoed:?}"),
            );
            let mut body = head.body;
            if body.ends_with_connection() {
                return Err(SendOutcome::NoAnswer);
            }
            while link
                .conn
                .read_piece(&mut body)
                .await
                .map_err(|_| SendOutcome::NoAnswer)?
                .is_some()
            {}
        }
        Err(SendOutcome::NoAnswer)
    }

    /// Takes in what an answer says of the target that gave it, whichever request it belongs to.
    fn hear(&self, head: &ResponseHead) {
        let notice = Notice::read(self.names(), head);
        let Some(backend) = self.at.as_ref().filter(|_| notice != Notice::default()) else {
            return;
        };
        noticed(&self.gw.stats, notice);
        let is_new = backend.standing.apply_notice(notice, Instant::now());
        if !is_new && notice.retry_after != Some(RetryAfter::Unreadable) {
            return;
        }
        let (id, target, status) = (&self.facts.id, backend.id(), head.status);
        let Notice { leaving, retry_after } = notice;
        self.gw.log.note(
            "notice",
            format_args!(
                "target={target} id={id} status={status} leaving={leaving} retry_after={retry_after:?}"
            ),
        );
    }

    async fn read_start(
        &mut self,
        conn: Conn,
        mut head: ResponseHead,
        mut flight: Flight,
    ) -> Result<Reply, SendOutcome> {
        if self.head.method == "HEAD" {
            head.body = Decoder::length(0);
        }
        let is_stream = self.route.kind.is_stream() && (200..300).contains(&head.status);
        let body = head.body;
        let mut rest = Rest { conn, body, stream: is_stream.then(StreamState::default) };
        let start = if is_stream {
            self.first_events(&mut rest, &mut flight).await?
        } else {
            whole_or_start(&mut rest).await?
        };
        flight.backend().answered();
        let rest = if rest.body.is_done() && !is_stream {
            flight.backend().pool.borrow_mut().put(rest.conn, &head);
            None
        } else {
            Some(rest)
        };
        Ok(Reply { head, start, rest, flight })
    }

    /// Waits for a stream's first whole event: until then the caller has nothing, and another
    /// target can take over if this one breaks off.
    async fn first_events(
        &self,
        rest: &mut Rest,
        flight: &mut Flight,
    ) -> Result<Bytes, SendOutcome> {
        let stream = rest.stream.as_mut().expect("a stream has its state");
        loop {
            let piece =
                rest.conn.read_piece(&mut rest.body).await.map_err(|_| SendOutcome::Truncated)?;
            let Some(piece) = piece else { return Ok(Bytes::new()) };
            if let Some(events) = stream.push(&piece)? {
                let took = flight.first_event();
                self.gw
                    .stats
                    .first_event_seconds
                    .observe((Instant::now() - self.started).as_secs_f64());
                let (id, backend) = (&self.facts.id, flight.backend());
                self.gw.log.routine(
                    "placed",
                    format_args!(
                        "id={id} route={} target={} wait_ms={:.0} predicted_ms={:.0} first_ms={} uncached={} prompt={} most_output={} estimate={:?}",
                        self.route.name,
                        backend.id(),
                        flight.plan().wait_ms,
                        flight.plan().predicted_ms,
                        took.as_millis(),
                        flight.plan().uncached,
                        self.facts.prompt,
                        self.facts.most_output,
                        self.facts.estimate,
                    ),
                );
                return Ok(events);
            }
        }
    }
}

/// Reads a plain answer, whole if it is not too large.
async fn whole_or_start(rest: &mut Rest) -> Result<Bytes, SendOutcome> {
    let mut start = BytesMut::new();
    while start.len() < WHOLE_ANSWER {
        match rest.conn.read_piece(&mut rest.body).await.map_err(|_| SendOutcome::Truncated)? {
            Some(piece) => start.extend_from_slice(&piece),
            None => {
                // A body that ended with its connection is whole now.
                rest.body = Decoder::length(0);
                break;
            }
        }
    }
    Ok(start.freeze())
}

/// Whether a response proves that its target did not run the request.
fn not_run(names: &Names, head: &ResponseHead) -> Option<SendOutcome> {
    if head.status == 421 {
        return Some(SendOutcome::OtherTarget);
    }
    header(&head.headers, &names.not_run).map(|_| SendOutcome::NotRun)
}
