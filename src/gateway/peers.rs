//! Datagrams from other routers: receives them and dispatches them by topic.

use std::net::IpAddr;
use std::rc::Rc;

use compact_str::CompactString;
use tokio::net::UdpSocket;

use super::cold::AdmissionLimit;
use super::datagram::{MAX_DATAGRAM_BYTES, Topic};
use super::hints;
use super::request::PromptPart;
use super::state::{Gateway, Platform};
use super::timing::PrefillWork;

/// Sends the outgoing messages of the budget manager. Never returns.
pub async fn send_budget_messages<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    loop {
        for out in gw.budget_shares.outgoing().await {
            // Not retried here: the budget manager repeats lost messages.
            if let Err(e) = socket.try_send_to(&Topic::Budgets.frame(&out.bytes), out.to) {
                gw.log.routine("peer", format_args!("to={} outcome=unsent cause={e}", out.to));
            }
        }
    }
}

/// Receives datagrams from other routers. Never returns.
pub async fn receive_datagrams<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                gw.log.routine("peer", format_args!("outcome=unreceived cause={e}"));
                continue;
            }
        };
        let topic = Topic::parse(&buf[..n]);
        if !accepts_datagram(&gw.peers.borrow(), from.ip(), topic.map(|(t, _)| t)) {
            continue;
        }
        match topic {
            Some((Topic::Hints, payload)) => apply_hints(&gw, payload),
            Some((Topic::Budgets, payload)) => gw.budget_shares.receive(from, payload),
            Some((Topic::Crashes, payload)) => {
                gw.crashes.handle_datagram(payload, gw.budget_shares.store_now())
            }
            Some((Topic::Orders, payload)) => {
                gw.zones.merge_newer(&gw.zones.parse(payload), "peer")
            }
            Some((Topic::Cold, payload)) => {
                gw.cold.handle_datagram(from, payload, |digest| cold_target(&gw, digest))
            }
            Some((Topic::Capacity, payload)) => {
                gw.capacity.handle_datagram(from, payload, &gw.targets)
            }
            Some((Topic::Origins, payload)) => gw.origins.handle_datagram(from, payload),
            None => gw.log.note("peer", format_args!("from={from} bytes={n} error=unknown_topic")),
        }
    }
}

/// Whether to accept a datagram. Datagrams of unknown senders are rejected, except for zone orders
/// while no router is known yet: if the store stops responding right after this router's start, the
/// router has the configuration but no other source of orders.
pub fn accepts_datagram(known: &[IpAddr], from: IpAddr, topic: Option<Topic>) -> bool {
    let accepts_early_order = known.is_empty() && topic == Some(Topic::Orders);
    accepts_early_order || known.binary_search(&from).is_ok()
}

/// Id, zone and admission limit of the target that another router queries.
fn cold_target<P: Platform>(
    gw: &Gateway<P>,
    digest: u64,
) -> Option<(CompactString, CompactString, AdmissionLimit)> {
    let backend = gw.targets.by_digest(digest)?;
    let info = backend.info.borrow();
    Some((info.id.clone(), info.zone.clone(), gw.admission_limit(&info.service)?))
}

/// Records the prompts that other routers sent to targets.
fn apply_hints<P: Platform>(gw: &Gateway<P>, bytes: &[u8]) {
    let config = gw.config();
    let cache_limit = |service: &str| config.as_ref().map_or(0, |c| c.cache_tokens(service));
    for hint in hints::parse(bytes) {
        let parts: Vec<PromptPart> = hint.parts().collect();
        let work = PrefillWork::of(u64::from(hint.prompt), u64::from(hint.uncached));
        gw.targets.apply_hint(hint.target, work, &parts, cache_limit);
    }
}
