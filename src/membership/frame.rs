//! Frames of a link: CBOR, numbered, with a keyed digest.
//!
//! Both ends prove that they know a shared secret over fresh nonces, and every frame is signed
//! under a key derived from them. A stranger, a replayed, reordered or altered frame is refused.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// Bytes of one frame at most.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// The newest version of the protocol that this program speaks.
pub const VERSION: u32 = 1;
/// The oldest version that it still understands.
pub const MIN_VERSION: u32 = 1;
/// Bytes of signature before each frame.
const MAC_BYTES: usize = 16;
/// Context of the key derivation.
const KEY_DERIVATION_CONTEXT: &str = "kingcupwall link v1";

/// The first frame in each direction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// Newest version spoken.
    pub version: u32,
    /// Fresh random bytes.
    pub nonce: [u8; 16],
}

/// Who sends under a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The router that connected.
    Initiator,
    /// The router that accepted.
    Responder,
}

/// One direction of a link.
#[derive(Clone, Debug)]
pub struct Signer {
    key: [u8; 32],
    next_frame: u64,
}

impl Signer {
    /// The signer of one direction under a secret and both hellos.
    pub fn new(secret: &str, initiator: &Hello, responder: &Hello, side: Side) -> Signer {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_DERIVATION_CONTEXT);
        hasher.update(&(secret.len() as u64).to_le_bytes());
        hasher.update(secret.as_bytes());
        hasher.update(&initiator.nonce).update(&responder.nonce);
        hasher.update(&initiator.version.to_le_bytes()).update(&responder.version.to_le_bytes());
        hasher.update(if side == Side::Initiator { b"c" } else { b"l" });
        Signer { key: *hasher.finalize().as_bytes(), next_frame: 0 }
    }

    fn mac(&self, data: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.next_frame.to_le_bytes()).update(data);
        let mut out = [0; MAC_BYTES];
        hasher.finalize_xof().fill(&mut out);
        out
    }

    /// Signs a message.
    pub fn sign_frame<T: Serialize>(&mut self, message: &T) -> Vec<u8> {
        let data = encode(message);
        let mut out = self.mac(&data).to_vec();
        out.extend_from_slice(&data);
        self.next_frame += 1;
        out
    }

    /// Checks and reads a message.
    ///
    /// # Errors
    /// `Unauthorized` for a wrong signature, `BadFormat` for what is signed and unreadable.
    pub fn verify_frame<T: DeserializeOwned>(&mut self, frame: &[u8]) -> Result<T> {
        let too_short = || Error::new(Kind::BadFormat, "frame is shorter than its signature");
        let (mac, data) = frame.split_at_checked(MAC_BYTES).ok_or_else(too_short)?;
        let received_mac = blake3::Hash::from_bytes(pad_mac(mac));
        // Comparison of hashes takes the same time wherever they differ.
        if received_mac != blake3::Hash::from_bytes(pad_mac(&self.mac(data))) {
            return Err(Error::new(Kind::Unauthorized, "frame has a wrong signature"));
        }
        self.next_frame += 1;
        decode(data)
    }
}

fn pad_mac(mac: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out[..mac.len()].copy_from_slice(mac);
    out
}

/// CBOR of a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out)
        .expect("messages serialize, and a vector takes all bytes");
    out
}

/// Reads CBOR.
///
/// # Errors
/// `BadFormat` for anything else, for an overlong frame and for bytes left over.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T> {
    if data.len() > MAX_FRAME_BYTES {
        return Err(Error::new(
            Kind::BadFormat,
            format!("frame of {} bytes is too long", data.len()),
        ));
    }
    let mut rest = data;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, 32)
        .map_err(|e| Error::new(Kind::BadFormat, format!("frame: {e}")))?;
    match rest.is_empty() {
        true => Ok(value),
        false => Err(Error::new(Kind::BadFormat, "frame has bytes left over")),
    }
}
