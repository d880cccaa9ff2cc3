//! The datagrams that routers send one another: which part of a router each is for.

use std::rc::Rc;

use tokio::net::UdpSocket;

use super::state::{Gateway, Platform};
use super::{crashes, hints};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// What a datagram is about; its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Placements at targets.
    Hints = 1,
    /// Parts of budgets.
    Budgets = 2,
    /// Targets that ended under requests.
    Crashes = 3,
}

impl Topic {
    /// A datagram on this topic.
    pub fn frame(self, payload: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(1 + payload.len());
        out.push(self as u8);
        out.extend_from_slice(payload);
        out
    }

    /// The topic of a datagram and what it says; none if it is of no topic.
    pub fn parse(datagram: &[u8]) -> Option<(Topic, &[u8])> {
        let (first, payload) = datagram.split_first()?;
        let topics = [Topic::Hints, Topic::Budgets, Topic::Crashes];
        let topic = topics.into_iter().find(|t| *t as u8 == *first)?;
        Some((topic, payload))
    }
}

/// Sends what the keeper of budgets has to say, for ever.
pub async fn tell_budgets<P: Platform>(gw: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    loop {
        for out in gw.keeper.outgoing().await {
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
        if gw.peers.borrow().binary_search(&from.ip()).is_err() {
            continue;
        }
        match Topic::parse(&buf[..n]) {
            Some((Topic::Hints, payload)) => hints::heard(&gw, payload),
            Some((Topic::Budgets, payload)) => gw.keeper.heard(from, payload),
            Some((Topic::Crashes, payload)) => crashes::heard(&gw, payload),
            None => gw.log.note("peer", format_args!("from={from} bytes={n} error=unknown_topic")),
        }
    }
}
