//! Framing of the datagrams between routers. The first byte identifies the topic.

/// Size of the receive buffer, and thereby of the largest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The subject of a datagram, sent as its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Placements of requests at targets.
    Hints = 1,
    /// Parts of budgets.
    Budgets = 2,
    /// Crashes of targets, and completions of the requests involved.
    Crashes = 3,
    /// Orders of the operator.
    Orders = 4,
    /// Admission of requests to cold targets.
    Cold = 5,
    /// Software versions that began resumable streams.
    Origins = 6,
    /// Admission of requests to targets that crash when they reject too many.
    Capacity = 7,
}

impl Topic {
    /// A datagram on this topic with the given payload.
    pub fn frame(self, payload: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(1 + payload.len());
        out.push(self as u8);
        out.extend_from_slice(payload);
        out
    }

    /// Splits a datagram into topic and payload. `None` if it is empty or its topic is unknown.
    pub fn parse(datagram: &[u8]) -> Option<(Topic, &[u8])> {
        let (first, payload) = datagram.split_first()?;
        let topics = [
            Topic::Hints,
            Topic::Budgets,
            Topic::Crashes,
            Topic::Orders,
            Topic::Cold,
            Topic::Origins,
            Topic::Capacity,
        ];
        let topic = topics.into_iter().find(|t| *t as u8 == *first)?;
        Some((topic, payload))
    }
}
