//! A planned stop: first callers stop coming, then the work ends, then the budget goes back.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::members;
use super::state::{Gateway, Phase, Platform};

/// Callers may keep an entry answer this many times its lifetime.
const STALE_ANSWERS_X: u32 = 3;
/// Time for the last transaction and the exit, before the platform ends the process by force.
const LAST_WRITES: Duration = Duration::from_millis(600);

/// Stops this router; returns when the process may exit.
pub async fn stop<P: Platform>(gw: &Rc<Gateway<P>>) {
    let ordered = Instant::now();
    let end = ordered + gw.settings.grace.saturating_sub(LAST_WRITES);
    gw.log.note("stop", format_args!("phase=leaving active={}", gw.active_requests.get()));
    gw.phase.send_replace(Phase::Leaving);
    members::leave(gw);
    gw.budget_shares.leave();
    sleep(gw.settings.entry_ttl * STALE_ANSWERS_X).await;
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
            ordered.elapsed().as_millis()
        ),
    );
    // What is still lent when this router goes counts as spent at the most.
    if timeout_at(end, gw.budget_shares.loans_over()).await.is_err() {
        gw.log.note("stop", format_args!("outcome=loans_left"));
    }
    gw.budget_shares.stop().await;
}
