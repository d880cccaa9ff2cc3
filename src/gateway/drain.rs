//! Graceful shutdown: stops new requests, drains those in flight, then returns the remaining
//! budget.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::members;
use super::state::{Gateway, Phase, Platform};

/// Callers may keep using an entry answer for this many times its TTL.
const MAX_ENTRY_AGE_TTLS: u32 = 3;
/// Time reserved for the last transaction and the exit, before the platform kills the process.
const FINAL_WRITES_TIME: Duration = Duration::from_millis(600);
/// Time before that for answering the requests that no target has answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Drains this router. Returns when the process may exit.
pub async fn stop<P: Platform>(gw: &Rc<Gateway<P>>) {
    let requested_at = Instant::now();
    let end = requested_at + gw.settings.grace.saturating_sub(FINAL_WRITES_TIME);
    let last_answers = gw.settings.grace.saturating_sub(FINAL_WRITES_TIME + LAST_ANSWERS_TIME);
    gw.log.note("stop", format_args!("phase=leaving active={}", gw.active_requests.get()));
    gw.stop_by.set(Some(requested_at + last_answers));
    gw.phase.send_replace(Phase::Leaving);
    members::mark_leaving(gw);
    gw.budget_shares.stop_lending();
    sleep(gw.settings.entry_ttl * MAX_ENTRY_AGE_TTLS).await;
    gw.log.note("stop", format_args!("phase=finishing active={}", gw.active_requests.get()));
    gw.phase.send_replace(Phase::Finishing);
    while gw.active_requests.get() > 0 {
        let idle = gw.no_active_requests.notified();
        if gw.active_requests.get() > 0 && timeout_at(end, idle).await.is_err() {
            break;
        }
    }
    gw.log.note(
        "stop",
        format_args!(
            "phase=last_writes active={} ms={}",
            gw.active_requests.get(),
            requested_at.elapsed().as_millis()
        ),
    );
    // Budget that is still lent to other routers when this one exits is charged at its maximum.
    if timeout_at(end, gw.budget_shares.wait_for_loans()).await.is_err() {
        gw.log.note("stop", format_args!("outcome=loans_left"));
    }
    gw.budget_shares.stop().await;
}
