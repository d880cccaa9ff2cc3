//! Decoding of HTTP/1.1 body framing, without I/O.

use bytes::{Buf, Bytes, BytesMut};

/// The longest accepted chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 512;
/// The maximum number of hexadecimal digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;
/// The maximum number of bytes of chunk extensions and trailer lines in one body. They are dropped,
/// so that no limit on the payload covers them.
const MAX_DROPPED_BYTES: usize = 16 * 1024;

/// State of a decoder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// In a body of known length, with this many bytes of payload left.
    Length(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// In a chunk, with this many bytes left.
    Chunk(u64),
    /// Before the line end that follows a chunk.
    ChunkEnd,
    /// Before a trailer line; an empty line ends the body.
    Trailer,
    /// In a body that ends when the connection closes.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Result of decoding buffered bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// A piece of the payload.
    Piece(Bytes),
    /// More bytes are needed.
    NeedMore,
    /// The body is complete. The remaining buffered bytes are not part of it.
    Done,
    /// The framing is invalid.
    Invalid,
}

/// Extracts the payload of one body from the bytes of a connection.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
    /// Bytes of chunk extensions and trailer lines so far.
    dropped: usize,
}

impl BodyDecoder {
    fn new(state: State) -> BodyDecoder {
        BodyDecoder { state, dropped: 0 }
    }

    /// Decodes a body of `n` bytes.
    pub fn length(n: u64) -> BodyDecoder {
        BodyDecoder::new(if n == 0 { State::Done } else { State::Length(n) })
    }

    /// Decodes a body with chunked transfer coding.
    pub fn chunked() -> BodyDecoder {
        BodyDecoder::new(State::ChunkSize)
    }

    /// Decodes a body that ends when the connection closes.
    pub fn until_close() -> BodyDecoder {
        BodyDecoder::new(State::UntilClose)
    }

    /// Whether the body ends only when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The number of remaining bytes; `None` if the length is not known in advance.
    pub fn known_length(&self) -> Option<u64> {
        match self.state {
            State::Length(n) => Some(n),
            State::Done => Some(0),
            _ => None,
        }
    }

    /// Takes the next piece of payload from the front of `buf`.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Step {
        loop {
            match self.state {
                State::Done => return Step::Done,
                _ if buf.is_empty() => return Step::NeedMore,
                State::UntilClose => return Step::Piece(buf.split().freeze()),
                State::Length(left) => {
                    let (piece, left) = take_up_to(buf, left);
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Step::Piece(piece);
                }
                State::Chunk(left) => {
                    let (piece, left) = take_up_to(buf, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Step::Piece(piece);
                }
                State::ChunkEnd if buf.len() < 2 => return Step::NeedMore,
                State::ChunkEnd if buf.starts_with(b"\r\n") => {
                    buf.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkEnd => return Step::Invalid,
                State::ChunkSize => match take_crlf_line(buf) {
                    Line::NeedMore => return Step::NeedMore,
                    Line::Invalid => return Step::Invalid,
                    Line::Whole(l) => match parse_chunk_size(&l) {
                        Some((_, extension)) if !self.may_drop(extension) => return Step::Invalid,
                        None => return Step::Invalid,
                        Some((0, _)) => self.state = State::Trailer,
                        Some((n, _)) => self.state = State::Chunk(n),
                    },
                },
                State::Trailer => match take_crlf_line(buf) {
                    Line::NeedMore => return Step::NeedMore,
                    Line::Invalid => return Step::Invalid,
                    Line::Whole(l) if l.is_empty() => self.state = State::Done,
                    Line::Whole(l) if !self.may_drop(l.len()) => return Step::Invalid,
                    Line::Whole(_) => (),
                },
            }
        }
    }

    fn may_drop(&mut self, n: usize) -> bool {
        self.dropped += n;
        self.dropped <= MAX_DROPPED_BYTES
    }
}

/// The chunk that ends a body with chunked transfer coding.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Appends `piece` as one chunk; nothing if it is empty, because an empty chunk ends the body.
pub fn append_chunk(out: &mut Vec<u8>, piece: &[u8]) {
    use std::io::Write;
    if piece.is_empty() {
        return;
    }
    // Writing into a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", piece.len());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}

/// Takes up to `left` bytes; returns them and the number of bytes still missing.
fn take_up_to(buf: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let n = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
    (buf.split_to(n).freeze(), left - n as u64)
}

enum Line {
    Whole(Bytes),
    NeedMore,
    Invalid,
}

/// Takes a line that ends with CR LF. A lone LF is rejected, because implementations differ on
/// whether it ends a line.
fn take_crlf_line(buf: &mut BytesMut) -> Line {
    match buf.iter().position(|b| *b == b'\n') {
        Some(0) => Line::Invalid,
        Some(n) if n > MAX_LINE_BYTES || buf[n - 1] != b'\r' => Line::Invalid,
        Some(n) => {
            let mut l = buf.split_to(n + 1);
            l.truncate(n - 1);
            Line::Whole(l.freeze())
        }
        None if buf.len() > MAX_LINE_BYTES => Line::Invalid,
        None => Line::NeedMore,
    }
}

/// The chunk's size, and the length of its extensions.
fn parse_chunk_size(line: &[u8]) -> Option<(u64, usize)> {
    let digits = line.split(|b| *b == b';').next()?.trim_ascii_end();
    let hex = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    if !hex {
        return None;
    }
    let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    Some((size, line.len() - digits.len()))
}
