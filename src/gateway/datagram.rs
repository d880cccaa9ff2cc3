//! The datagrams that routers send one another: one codec, told apart by topic.

/// The largest datagram that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What a datagram is about; its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Placements at targets.
    Hints = 1,
    /// Parts of budgets.
    Budgets = 2,
    /// Targets that ended under requests.
    Crashes = 3,
    /// Orders of the operator.
    Orders = 4,
    /// Requests to cold targets.
    Cold = 5,
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
        let topics = [Topic::Hints, Topic::Budgets, Topic::Crashes, Topic::Orders, Topic::Cold];
        let topic = topics.into_iter().find(|t| *t as u8 == *first)?;
        Some((topic, payload))
    }
}
