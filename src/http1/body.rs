//! Body framing as a pure decoder: bytes in, payload out.

use bytes::{Buf, Bytes, BytesMut};

/// The longest chunk-size or trailer line that is accepted, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// Hexadecimal digits of the largest chunk size that is accepted.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// Where a decoder stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// So many bytes of payload are left.
    Length(u64),
    /// A chunk-size line comes next.
    ChunkSize,
    /// So many bytes of this chunk are left.
    Chunk(u64),
    /// The line end behind a chunk comes next.
    ChunkEnd,
    /// Trailer lines up to an empty one come next.
    Trailer,
    /// Everything up to the end of the connection.
    UntilClose,
    /// The body is whole.
    Done,
}

/// What the buffered bytes hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Payload.
    Piece(Bytes),
    /// More bytes are needed.
    More,
    /// The body is whole; what follows in the buffer is not part of it.
    Done,
    /// The bytes are no body.
    Bad,
}

/// Takes a body's payload out of a connection's bytes.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder(State);

impl BodyDecoder {
    /// A body of `n` bytes.
    pub fn length(n: u64) -> BodyDecoder {
        BodyDecoder(if n == 0 { State::Done } else { State::Length(n) })
    }

    /// A body in chunks.
    pub fn chunked() -> BodyDecoder {
        BodyDecoder(State::ChunkSize)
    }

    /// A body that ends with its connection.
    pub fn until_close() -> BodyDecoder {
        BodyDecoder(State::UntilClose)
    }

    /// Whether only the end of the connection ends this body.
    pub fn ends_with_connection(&self) -> bool {
        self.0 == State::UntilClose
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// The bytes that are left of a body of known length.
    pub fn known_length(&self) -> Option<u64> {
        match self.0 {
            State::Length(n) => Some(n),
            State::Done => Some(0),
            _ => None,
        }
    }

    /// Takes the next piece of payload from the front of `buf`.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Step {
        loop {
            match self.0 {
                State::Done => return Step::Done,
                _ if buf.is_empty() => return Step::More,
                State::UntilClose => return Step::Piece(buf.split().freeze()),
                State::Length(left) => {
                    let (piece, left) = take_up_to(buf, left);
                    self.0 = if left == 0 { State::Done } else { State::Length(left) };
                    return Step::Piece(piece);
                }
                State::Chunk(left) => {
                    let (piece, left) = take_up_to(buf, left);
                    self.0 = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Step::Piece(piece);
                }
                State::ChunkEnd if buf.len() < 2 => return Step::More,
                State::ChunkEnd if buf.starts_with(b"\r\n") => {
                    buf.advance(2);
                    self.0 = State::ChunkSize;
                }
                State::ChunkEnd => return Step::Bad,
                State::ChunkSize => match take_line(buf) {
                    Line::More => return Step::More,
                    Line::Bad => return Step::Bad,
                    Line::Whole(l) => match parse_chunk_size(&l) {
                        None => return Step::Bad,
                        Some(0) => self.0 = State::Trailer,
                        Some(n) => self.0 = State::Chunk(n),
                    },
                },
                State::Trailer => match take_line(buf) {
                    Line::More => return Step::More,
                    Line::Bad => return Step::Bad,
                    Line::Whole(l) if l.is_empty() => self.0 = State::Done,
                    Line::Whole(_) => (),
                },
            }
        }
    }
}

/// Takes up to `left` bytes; returns them and how many are still missing.
fn take_up_to(buf: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let n = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
    (buf.split_to(n).freeze(), left - n as u64)
}

enum Line {
    Whole(Bytes),
    More,
    Bad,
}

/// Takes a line that ends with CR LF; a lone LF is no line end, or readers would differ.
fn take_line(buf: &mut BytesMut) -> Line {
    match buf.iter().position(|b| *b == b'\n') {
        Some(0) => Line::Bad,
        Some(n) if n > MAX_LINE_BYTES || buf[n - 1] != b'\r' => Line::Bad,
        Some(n) => {
            let mut l = buf.split_to(n + 1);
            l.truncate(n - 1);
            Line::Whole(l.freeze())
        }
        None if buf.len() > MAX_LINE_BYTES => Line::Bad,
        None => Line::More,
    }
}

fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|b| *b == b';').next()?.trim_ascii_end();
    let hex = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    if !hex {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
