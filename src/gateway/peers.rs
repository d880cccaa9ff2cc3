//! What routers tell one another: received here, and handed to the part that it is for.

use std::net::IpAddr;
use std::rc::Rc;

use compact_str::CompactString;
use tokio::net::UdpSocket;

use super::cold::Pace;
use super::datagram::{MAX_DATAGRAM, Topic};
use super::hints;
use super::request::PromptPart;
use super::state::{Gateway, Platform};
use super::timing::Reading;

/// Sends what the keeper of budgets has to say, for ever.
pub async fn tell_budgets<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    loop {
        for out in gw.budget_shares.outgoing().await {
            // Whatever is lost is said again by its sender.
            if let Err(e) = socket.try_send_to(&Topic::Budgets.frame(&out.bytes), out.to) {
                gw.log.routine("peer", format_args!("to={} outcome=unsent cause={e}", out.to));
            }
        }
    }
}

/// Listens to the others, for ever.
pub async fn listen<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                gw.log.routine("peer", format_args!("outcome=unreceived cause={e}"));
                continue;
            }
        };
        let topic = Topic::parse(&buf[..n]);
        if !may_hear(&gw.peers.borrow(), from.ip(), topic.map(|(t, _)| t)) {
            continue;
        }
        match topic {
            Some((Topic::Hints, payload)) => take_hints(&gw, payload),
            Some((Topic::Budgets, payload)) => gw.budget_shares.heard(from, payload),
            Some((Topic::Crashes, payload)) => {
                gw.crashes.heard(payload, gw.budget_shares.store_now())
            }
            Some((Topic::Orders, payload)) => gw.zones.take(&gw.zones.parse(payload), "peer"),
            Some((Topic::Cold, payload)) => gw.cold.heard(from, payload, |w| cold_target(&gw, w)),
            None => gw.log.note("peer", format_args!("from={from} bytes={n} error=unknown_topic")),
        }
    }
}

/// Whether to take in a datagram. Those of unknown senders are not read, but for orders while no
/// router is known yet: one whose store falls silent right after its start has the configuration
/// and nobody else to hear an order from.
pub fn may_hear(known: &[IpAddr], from: IpAddr, topic: Option<Topic>) -> bool {
    let none_known = known.is_empty() && topic == Some(Topic::Orders);
    none_known || known.binary_search(&from).is_ok()
}

/// The id, zone and pace of a target that another router asks about.
fn cold_target<P: Platform>(
    gw: &Gateway<P>,
    word: u64,
) -> Option<(CompactString, CompactString, Pace)> {
    let backend = gw.targets.by_word(word)?;
    let info = backend.info.borrow();
    Some((info.id.clone(), info.zone.clone(), gw.cold_pace(&info.service)?))
}

/// Other routers sent prompts to targets.
fn take_hints<P: Platform>(gw: &Gateway<P>, bytes: &[u8]) {
    let config = gw.config();
    let kept = |service: &str| config.as_ref().map_or(0, |c| c.cache_tokens(service));
    for hint in hints::parse(bytes) {
        let parts: Vec<PromptPart> = hint.parts().collect();
        let reading = Reading::of(u64::from(hint.prompt), u64::from(hint.uncached));
        gw.targets.hinted(hint.target, reading, &parts, kept);
    }
}
