//! Binds a resumable stream to the software version that sends its first event.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout_at;

use super::backend::Backend;
use super::catalog::RouteKind;
use super::forward::{Job, OrDash};
use super::origins::{Known, Origin, StreamKey};
use super::refusal::{DEFAULT_RETRY_AFTER, RouterResponse};
use super::resumption::OriginSource;
use super::state::Platform;
use super::versions::only_version;
use crate::stats::ReasonLabel;

impl<P: Platform> Job<'_, P> {
    /// Finds the software version that began the stream that the caller resumes, if it resumes one.
    ///
    /// # Errors
    /// The response that refuses the request. It states no delay if the stream can never continue.
    pub(super) async fn find_origin(&mut self) -> Result<(), RouterResponse> {
        if self.route.kind != RouteKind::ResumableStream {
            return Ok(());
        }
        if self.meta.last_event.is_none() {
            if self.meta.resumes.is_some() {
                self.log_resumption("begins_anew", None, None);
            }
            return Ok(());
        }
        let found = match self.meta.resumes.as_deref() {
            Some(id) => {
                let key = StreamKey::of(self.org.as_deref(), self.head, id);
                timeout_at(self.answer_deadline, self.gw.origins.find(key)).await.ok().flatten()
            }
            None => None,
        };
        let (outcome, backend) = match found {
            Some((Known::Version(version), ..)) => match self.gw.targets.of_version(version) {
                Some(backend) if self.is_routed_to(&backend) => ("found", Some(backend)),
                _ => ("no_target_of_version", None),
            },
            Some((Known::Contradictory(..), ..)) => ("contradictory_origin", None),
            None => ("unknown_origin", None),
        };
        let (outcome, backend) = match outcome {
            "unknown_origin" if self.meta.resumes.is_some() => self.find_only_version().await?,
            _ => (outcome, backend),
        };
        self.log_resumption(outcome, found.map(|(_, age, source)| (age, source)), backend.as_ref());
        let Some(backend) = backend else { return Err(RouterResponse::new(503, outcome)) };
        self.version = backend.version();
        self.service = backend.info.borrow().service.clone();
        Ok(())
    }

    /// Finds a target of the only version that can have begun the stream, if there is only one.
    ///
    /// # Errors
    /// A response that states when to come back, if the store did not answer.
    async fn find_only_version(
        &self,
    ) -> Result<(&'static str, Option<Rc<Backend>>), RouterResponse> {
        let read = timeout_at(self.answer_deadline, only_version(self.gw)).await;
        let Ok(Ok(only)) = read else {
            self.log_resumption("versions_unread", None, None);
            return Err(RouterResponse::refusal("versions_unread", DEFAULT_RETRY_AFTER));
        };
        let Some(version) = only else { return Ok(("unknown_origin", None)) };
        let backend = self.gw.targets.of_version(version).filter(|b| self.is_routed_to(b));
        Ok((if backend.is_some() { "only_version" } else { "no_target_of_version" }, backend))
    }

    /// Whether the request's route sends requests to the service of a target.
    fn is_routed_to(&self, backend: &Backend) -> bool {
        self.route.shares.iter().any(|s| s.service == backend.info.borrow().service)
    }

    fn log_resumption(
        &self,
        outcome: &'static str,
        learnt: Option<(Duration, OriginSource)>,
        backend: Option<&Rc<Backend>>,
    ) {
        self.gw.stats.resumptions.get_or_create(&ReasonLabel { reason: outcome }).inc();
        let meta = &self.meta;
        self.gw.log.note(
            "resume",
            format_args!(
                "id={} resumes={} last={:?} version={} source={:?} age_ms={} outcome={outcome}",
                meta.id,
                OrDash(meta.resumes.as_ref()),
                meta.last_event,
                OrDash(backend.and_then(|b| b.version_name())),
                learnt.map(|(_, source)| source),
                OrDash(learnt.map(|(age, _)| age.as_millis())),
            ),
        );
    }

    /// Records which software version began the stream, when its first events are about to be
    /// forwarded. A run whose events the caller does not get begins nothing.
    pub(super) fn record_origin(&mut self, backend: &Backend) {
        if self.route.kind != RouteKind::ResumableStream || self.version.is_some() {
            return;
        }
        // Without a version the stream has no origin, and nothing may continue it.
        let Some(version) = backend.version() else { return };
        self.version = Some(version);
        let key = StreamKey::of(self.org.as_deref(), self.head, &self.meta.id);
        self.gw.origins.record(Origin(key, version));
    }
}
