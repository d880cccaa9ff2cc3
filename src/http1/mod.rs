//! HTTP/1.1 connections with full control over the bytes on the wire.
//!
//! Forwarding depends on facts that general-purpose servers and clients hide: whether any byte of a
//! request was sent, whether an idle connection holds bytes that belong to no request, and whether
//! a request is framed in two ways at once. Heads are parsed by `httparse`; this module adds the
//! framing of bodies and a buffered connection.

mod body;
mod conn;
mod head;

pub use body::{BodyDecoder, LAST_CHUNK, Step, append_chunk};
pub use conn::{Conn, HeadError, RelayFraming, failure_of_write};
pub use head::{
    Header, InvalidHead, RequestHead, ResponseHead, header, keep_alive_seconds, parse_request,
    parse_response, tokens,
};
