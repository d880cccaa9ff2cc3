//! Targets that end while they have a request.

use std::rc::Rc;

use tokio::task::{JoinHandle, spawn_local};

use super::fingerprint::Fingerprint;
use super::forward::Job;
use super::liveness::find_ended;
use super::state::Platform;
use super::targets::Backend;

impl<P: Platform> Job<'_, P> {
    /// What makes this request the same as others.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.org.as_deref(), self.head, &self.body)
    }

    /// An answer of `backend` to this request broke off: finds out whether the target has ended,
    /// also when the caller leaves meanwhile. One that was to leave was not ended by a request.
    pub(super) fn broke_off(&self, backend: &Rc<Backend>) -> Option<JoinHandle<()>> {
        if !backend.is_expected_to_stay() {
            return None;
        }
        let (gw, backend) = (self.gw.clone(), backend.clone());
        let (id, org, request) = (self.facts.id.clone(), self.org.clone(), self.fingerprint());
        Some(spawn_local(async move {
            if !find_ended(&backend).await {
                return;
            }
            gw.stats.targets_ended.inc();
            let (target, org) = (backend.id(), org.as_deref().unwrap_or("-"));
            gw.log.note(
                "target_ended",
                format_args!("id={id} request={request} org={org} target={target}"),
            );
        }))
    }
}
