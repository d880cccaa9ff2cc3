//! Links requests to crashes of targets: refuses quarantined requests, and records a crash for each
//! request that was running on a target that ended.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

use super::backend::Backend;
use super::connect::{connect, is_reached_by_others};
use super::fingerprint::Fingerprint;
use super::forward::Job;
use super::quarantine::{Cause, Completion, Crash};
use super::refusal::RouterResponse;
use super::state::{Gateway, Platform};
use super::targets::shareable_parts;
use crate::rows::StoreMs;

/// How long a request still counts as running on its target after its caller has disconnected. The
/// target learns of the disconnection late and may have started the request.
const DISCONNECTED_RUN_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of prompt parts by which a request is recognised: the most specific ones.
const MAX_PARTS: usize = 16;

impl<P: Platform> Job<'_, P> {
    /// The fingerprint by which identical requests are recognised.
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(self.org.as_deref(), self.head, &self.body))
    }

    /// What identifies this request among the causes of crashes: its content, and each part of its
    /// prompt that other requests may share.
    fn causes(&self) -> impl Iterator<Item = (Fingerprint, Cause)> {
        let parts = shareable_parts(&self.meta.parts);
        let skipped = parts.len().saturating_sub(MAX_PARTS);
        let parts = parts.iter().enumerate().skip(skipped).map(|(i, part)| {
            let position = u16::try_from(i).unwrap_or(u16::MAX);
            (Fingerprint::of_part(&self.service, part.id), Cause::Part(position))
        });
        parts.chain([(self.fingerprint(), Cause::Request)])
    }

    /// Whether this request, or a part of its prompt, is quarantined.
    pub(super) fn is_quarantined(&self) -> bool {
        let known = &self.gw.crashes;
        let now = self.gw.budget_shares.store_now();
        !known.is_empty() && self.causes().any(|(cause, _)| known.retry_at(cause, now).is_some())
    }

    /// Refuses a quarantined request. Each further attempt would crash another target, and break
    /// off dozens of other requests' answers.
    pub(super) fn check_quarantine(&self) -> Result<(), RouterResponse> {
        let known = &self.gw.crashes;
        if known.is_empty() {
            return Ok(());
        }
        let now = self.gw.budget_shares.store_now();
        let quarantined =
            self.causes().filter_map(|(f, cause)| Some((f, cause, known.retry_at(f, now)?)));
        let Some((request, cause, retry_at)) = quarantined.max_by_key(|(_, _, at)| *at) else {
            return Ok(());
        };
        let (id, ended) = (&self.meta.id, known.crash_count(request));
        let org = self.org.as_deref().unwrap_or("-");
        self.gw.log.note(
            "held_back",
            format_args!("id={id} request={request} cause={cause} org={org} ended={ended}"),
        );
        let after = Duration::from_millis(retry_at.0 - now.0);
        Err(RouterResponse::refusal("ends_targets", after))
    }

    /// An answer of `backend` to this request broke off: checks in a separate task whether the
    /// target has ended, so that the check continues if the caller disconnects meanwhile. Targets
    /// that were expected to stop are not checked, because no request caused their end.
    pub(super) fn spawn_crash_check(&self, backend: &Rc<Backend>) -> Option<JoinHandle<()>> {
        if !backend.is_expected_to_stay() {
            return None;
        }
        let (interrupted, gw, backend) = (self.interrupted(), self.gw.clone(), backend.clone());
        Some(spawn_local(async move {
            let connecting = connect(&gw, &backend, |_| true);
            let refused = backend.process_state.probe_ended(connecting, &backend.pool).await;
            // The network may refuse only the connections of this router.
            if refused && !is_reached_by_others(&gw, &backend).await {
                interrupted.record_crash(&gw, &backend);
            }
        }))
    }

    /// The caller disconnected while a target was running the request. The target may still crash
    /// because of it, which shows only when the next request fails to connect.
    pub(super) fn caller_disconnected(&self) {
        let may_be_running = |b: &&Rc<Backend>| self.may_have_run.get() && b.is_expected_to_stay();
        let Some(backend) = self.current_target.as_ref().filter(may_be_running) else { return };
        let (interrupted, gw, backend) = (self.interrupted(), self.gw.clone(), backend.clone());
        spawn_local(async move {
            sleep(DISCONNECTED_RUN_GRACE).await;
            if backend.process_state.has_ended() {
                interrupted.record_crash(&gw, &backend);
            }
        });
    }

    fn interrupted(&self) -> InterruptedRequest {
        InterruptedRequest {
            id: self.meta.id.clone(),
            org: self.org.clone(),
            request: self.fingerprint(),
            causes: self
                .causes()
                .filter(|(_, c)| !self.answer_began || *c == Cause::Request)
                .collect(),
            parts: shareable_parts(&self.meta.parts).iter().map(|p| p.id).collect(),
            sent: self.sent_at,
        }
    }

    /// Records the beginning of an answer: no part of the prompt is fatal.
    pub(super) fn record_answer_began(&mut self) {
        self.answer_began = true;
        if self.gw.crashes.is_empty() {
            return;
        }
        let at = self.gw.budget_shares.store_now();
        for (request, _) in self.causes().filter(|(_, cause)| *cause != Cause::Request) {
            self.gw.crashes.record_completion(Completion { request, at });
        }
    }

    /// Records a complete answer: if targets ended while running this request, it was not the
    /// cause.
    pub fn record_completion(&self) {
        if self.gw.crashes.is_empty() {
            return;
        }
        let completed =
            Completion { request: self.fingerprint(), at: self.gw.budget_shares.store_now() };
        self.gw.crashes.record_completion(completed);
    }
}

/// A request whose answer broke off, or whose caller disconnected.
struct InterruptedRequest {
    id: CompactString,
    org: Option<CompactString>,
    request: Fingerprint,
    /// What may have crashed the target. Without the parts of the prompt if the answer had begun:
    /// these are fatal at its beginning.
    causes: Vec<(Fingerprint, Cause)>,
    /// Ids of the prompt parts that other requests may share.
    parts: Vec<u64>,
    sent: Instant,
}

impl InterruptedRequest {
    /// Records that the request's target has ended.
    fn record_crash<P: Platform>(&self, gw: &Gateway<P>, backend: &Backend) {
        gw.stats.target_crashes.inc();
        let at = gw.budget_shares.store_now();
        let ran_ms = u64::try_from(self.sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let began = StoreMs(at.0.saturating_sub(ran_ms));
        let target = backend.incarnation();
        for (request, cause) in &self.causes {
            gw.crashes.record_crash(Crash { request: *request, target, began, at, cause: *cause });
        }
        let (id, org) = (&self.id, self.org.as_deref().unwrap_or("-"));
        let (request, ended) = (self.request, gw.crashes.crash_count(self.request));
        gw.log.note(
            "target_ended",
            format_args!(
                "id={id} request={request} org={org} target={} parts={:x?} ran_ms={ran_ms} ended={ended}",
                backend.id(),
                self.parts
            ),
        );
    }
}
