//! A request's part in the end of targets: refused if it is held back, noted if its target ended.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

use super::backend::Backend;
use super::fingerprint::Fingerprint;
use super::forward::Job;
use super::quarantine::{Crash, EndedWell};
use super::refusal::Own;
use super::state::{Gateway, Platform};
use crate::rows::StoreMs;

/// How long after its caller left a request still counts as one that its target had: the target
/// hears of it late, and may have begun to run it.
const RUNS_AFTER_LEAVING: Duration = Duration::from_millis(500);

impl<P: Platform> Job<'_, P> {
    /// What makes this request the same as others.
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(self.org.as_deref(), self.head, &self.body))
    }

    /// Refuses a request that has ended targets: each further send ends one more, and with it
    /// dozens of others' answers.
    pub(super) fn check_quarantine(&self) -> Result<(), Own> {
        let known = &self.gw.crashes;
        if known.is_empty() {
            return Ok(());
        }
        let now = self.gw.budget_shares.store_now();
        match known.held_back_until(self.fingerprint(), now) {
            None => Ok(()),
            Some(until) => {
                let (id, request) = (&self.meta.id, self.fingerprint());
                let org = self.org.as_deref().unwrap_or("-");
                let ended = known.count(request);
                self.gw.log.note(
                    "held_back",
                    format_args!("id={id} request={request} org={org} ended={ended}"),
                );
                let after = Duration::from_millis(until.0 - now.0);
                Err(Own::refusal("ends_targets", after))
            }
        }
    }

    /// An answer of `backend` to this request broke off: finds out whether the target has ended,
    /// also when the caller leaves meanwhile. One that was to leave was not ended by a request.
    pub(super) fn broke_off(&self, backend: &Rc<Backend>) -> Option<JoinHandle<()>> {
        if !backend.is_expected_to_stay() {
            return None;
        }
        let (broken, gw, backend) = (self.broken(), self.gw.clone(), backend.clone());
        Some(spawn_local(async move {
            if backend.find_ended().await {
                broken.note(&gw, &backend);
            }
        }))
    }

    /// The caller left while a target had the request. The target may end under it all the same,
    /// which then shows to the next one that connects.
    pub(super) fn left(&self) {
        let may_run = |b: &&Rc<Backend>| self.may_have_run.get() && b.is_expected_to_stay();
        let Some(backend) = self.current_target.as_ref().filter(may_run) else { return };
        let (broken, gw, backend) = (self.broken(), self.gw.clone(), backend.clone());
        spawn_local(async move {
            sleep(RUNS_AFTER_LEAVING).await;
            if backend.process_state.has_ended() {
                broken.note(&gw, &backend);
            }
        });
    }

    fn broken(&self) -> Broken {
        Broken {
            id: self.meta.id.clone(),
            org: self.org.clone(),
            request: self.fingerprint(),
            sent: self.sent_at,
        }
    }

    /// The request was answered whole: if targets ended under it, it was not the cause.
    pub fn ended_well(&self) {
        if self.gw.crashes.is_empty() {
            return;
        }
        let well = EndedWell { request: self.fingerprint(), at: self.gw.budget_shares.store_now() };
        self.gw.crashes.end_well(well);
    }
}

/// A request whose answer broke off, or that was given up.
struct Broken {
    id: CompactString,
    org: Option<CompactString>,
    request: Fingerprint,
    sent: Instant,
}

impl Broken {
    /// Notes that its target has ended.
    fn note<P: Platform>(&self, gw: &Gateway<P>, backend: &Backend) {
        gw.stats.targets_ended.inc();
        let at = gw.budget_shares.store_now();
        let ran_ms = u64::try_from(self.sent.elapsed().as_millis()).unwrap_or(u64::MAX);
        let began = StoreMs(at.0.saturating_sub(ran_ms));
        let target = backend.incarnation();
        gw.crashes.note(Crash { request: self.request, target, began, at });
        let (id, org) = (&self.id, self.org.as_deref().unwrap_or("-"));
        let (request, ended) = (self.request, gw.crashes.count(self.request));
        gw.log.note(
            "target_ended",
            format_args!(
                "id={id} request={request} org={org} target={} ran_ms={ran_ms} ended={ended}",
                backend.id()
            ),
        );
    }
}
