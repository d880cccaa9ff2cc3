//! Frames of a link: numbered CBOR messages, each with a keyed digest (MAC).
//!
//! Both ends exchange fresh nonces, and every frame is signed under a key that is derived from a
//! shared secret and both nonces. A frame from a peer without the secret, and one that was
//! replayed, reordered or altered, is rejected.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// The newest protocol version that this program supports.
pub const VERSION: u32 = 1;
/// The oldest protocol version that this program supports.
pub const MIN_VERSION: u32 = 1;
/// Length of the MAC at the start of each frame, in bytes.
const MAC_BYTES: usize = 16;
/// Context string of the BLAKE3 key derivation.
const KEY_DERIVATION_CONTEXT: &str = "kingcupwall link v1";

/// The handshake frame, the first one in each direction. It is not signed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// The newest protocol version that the sender supports.
    pub version: u32,
    /// Random bytes that are new for each link.
    pub nonce: [u8; 16],
}

/// The end of a link that sends the frames signed under a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The router that opened the connection.
    Initiator,
    /// The router that accepted the connection.
    Responder,
}

/// Signs or verifies the frames of one direction of a link.
#[derive(Clone, Debug)]
pub struct Signer {
    key: [u8; 32],
    next_frame: u64,
}

impl Signer {
    /// Derives the key of one direction from the shared secret and both handshake frames.
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

    /// Encodes a message as CBOR and puts its MAC in front.
    pub fn sign_frame<T: Serialize>(&mut self, message: &T) -> Vec<u8> {
        let data = encode(message);
        let mut out = self.mac(&data).to_vec();
        out.extend_from_slice(&data);
        self.next_frame += 1;
        out
    }

    /// Verifies the MAC of a frame and decodes its message.
    ///
    /// # Errors
    /// `Unauthorized` for a wrong MAC, `BadFormat` for a frame that is too short or whose message
    /// cannot be decoded.
    pub fn verify_frame<T: DeserializeOwned>(&mut self, frame: &[u8]) -> Result<T> {
        let too_short = || Error::new(Kind::BadFormat, "frame is shorter than its signature");
        let (mac, data) = frame.split_at_checked(MAC_BYTES).ok_or_else(too_short)?;
        let received_mac = blake3::Hash::from_bytes(pad_mac(mac));
        // `blake3::Hash` compares in constant time, so the time taken does not reveal how many
        // bytes match.
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

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out)
        .expect("messages serialize, and writing to a vector does not fail");
    out
}

/// Decodes a CBOR message.
///
/// # Errors
/// `BadFormat` for invalid CBOR, for a frame over [`MAX_FRAME_BYTES`] and for trailing bytes.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T> {
    if data.len() > MAX_FRAME_BYTES {
        return Err(Error::new(
            Kind::BadFormat,
            format!("frame of {} bytes exceeds the size limit", data.len()),
        ));
    }
    let mut rest = data;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, 32).map_err(|e| {
        Error::new(Kind::BadFormat, format!("frame is not a valid CBOR message: {e}"))
    })?;
    match rest.is_empty() {
        true => Ok(value),
        false => Err(Error::new(Kind::BadFormat, "frame has trailing bytes")),
    }
}
