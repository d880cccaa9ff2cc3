//! Fingerprints that identify requests with the same content, independent of their ids.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::http1::RequestHead;
use crate::ids::Digest;

use super::request::host;

/// Digest of what a request asks of a target: organisation, method, host, path with query, and
/// body. The organisation is included so that nobody can craft a request with the fingerprint of
/// another organisation's request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request of `org`.
    pub fn of(org: Option<&str>, head: &RequestHead, body: &[u8]) -> Fingerprint {
        let parts = [org.unwrap_or_default(), &head.method, host(head), &head.target];
        let len = parts.iter().map(|p| p.len() + 1).sum::<usize>() + body.len();
        let mut bytes = Vec::with_capacity(len);
        for part in parts {
            bytes.extend_from_slice(part.as_bytes());
            // No part can contain a zero byte, so two different requests never yield the same
            // bytes.
            bytes.push(0);
        }
        bytes.extend_from_slice(body);
        Fingerprint(Digest::of(&bytes).first_u64())
    }

    /// Computes the fingerprint of a prompt part at targets of `service`. It is the same for all
    /// organisations, because the part crashes targets whoever sends it.
    pub fn of_part(service: &str, part: u64) -> Fingerprint {
        let bytes = [b"part\0", service.as_bytes(), b"\0", &part.to_le_bytes()].concat();
        Fingerprint(Digest::of(&bytes).first_u64())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
