//! Parsing of request and response heads, including how their bodies are framed.

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;

use super::body::BodyDecoder;

/// The maximum number of header lines in a head.
const MAX_HEADER_LINES: usize = 96;

/// Status codes of interim and final responses; see RFC 9110, section 15.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Status of a peer that switches to another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Length of a status line up to its status code.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

/// One header line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name as sent.
    pub name: CompactString,
    /// Value without surrounding white space.
    pub value: Bytes,
}

impl Header {
    /// Creates a header from text.
    pub fn new(name: &str, value: &str) -> Header {
        Header { name: name.into(), value: Bytes::copy_from_slice(value.as_bytes()) }
    }

    /// Whether the header has this name, ignoring case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }

    /// The value as text; `None` if it is not UTF-8.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.value).ok()
    }
}

/// The value of the first header with this name; `None` if it is absent or not UTF-8.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers.iter().find(|h| h.is(name)).and_then(Header::text)
}

/// The comma-separated tokens of all headers with this name.
pub fn tokens<'a>(headers: &'a [Header], name: &'a str) -> impl Iterator<Item = &'a str> {
    let values = headers.iter().filter(move |h| h.is(name)).filter_map(Header::text);
    values.flat_map(|v| v.split(',')).map(str::trim).filter(|t| !t.is_empty())
}

/// The idle timeout that a peer states in `Keep-Alive`, in seconds.
pub fn keep_alive_seconds(headers: &[Header]) -> Option<u64> {
    let params = header(headers, "keep-alive")?;
    let timeout = params.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidHead {
    /// The head is not valid HTTP, or its framing is ambiguous.
    Malformed,
    /// The transfer coding is not `chunked`.
    UnknownCoding,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as sent.
    pub method: CompactString,
    /// Path and query as sent.
    pub target: CompactString,
    /// All header lines in their original order.
    pub headers: Vec<Header>,
    /// Decoder for the body's framing.
    pub body: BodyDecoder,
    /// Whether the connection can be reused after this request.
    pub keep_alive: bool,
    /// Whether the request is HTTP/1.1, so that its sender accepts chunked answers.
    pub http11: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code from 200 to 599.
    pub status: u16,
    /// Reason phrase as sent.
    pub reason: CompactString,
    /// All header lines in their original order.
    pub headers: Vec<Header>,
    /// Decoder for the body's framing.
    pub body: BodyDecoder,
    /// Whether the connection can be reused after this response.
    pub keep_alive: bool,
}

fn copy_headers(lines: &[httparse::Header<'_>]) -> Vec<Header> {
    let copy = |h: &httparse::Header<'_>| Header {
        name: h.name.into(),
        value: Bytes::copy_from_slice(h.value.trim_ascii()),
    };
    lines.iter().map(copy).collect()
}

/// Reads `Content-Length`. Several lines must state the same length.
fn content_length(headers: &[Header]) -> Result<Option<u64>, InvalidHead> {
    let mut length = None;
    for h in headers.iter().filter(|h| h.is("content-length")) {
        let digits = h.text().ok_or(InvalidHead::Malformed)?;
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(InvalidHead::Malformed);
        }
        let n: u64 = digits.parse().map_err(|_| InvalidHead::Malformed)?;
        if length.is_some_and(|l| l != n) {
            return Err(InvalidHead::Malformed);
        }
        length = Some(n);
    }
    Ok(length)
}

/// Whether the body is chunked; any other transfer coding is an error.
fn is_chunked(headers: &[Header]) -> Result<bool, InvalidHead> {
    let mut codings = tokens(headers, "transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) if headers.iter().any(|h| h.is("transfer-encoding")) => {
            Err(InvalidHead::Malformed)
        }
        (None, _) => Ok(false),
        (Some(c), None) if c.eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(InvalidHead::UnknownCoding),
    }
}

fn is_keep_alive(headers: &[Header], http11: bool) -> bool {
    let has = |t: &str| tokens(headers, "connection").any(|c| c.eq_ignore_ascii_case(t));
    if http11 { !has("close") } else { has("keep-alive") }
}

/// Takes a request head from the front of `buf`; `None` while it is incomplete.
///
/// A request with both `Content-Length` and `Transfer-Encoding` is malformed, which prevents
/// request smuggling: if two servers delimit the body differently, the bytes in between would be
/// run as a request of their own.
///
/// # Errors
/// `Malformed` or `UnknownCoding`. The connection cannot be used any further.
pub fn parse_request(buf: &mut BytesMut) -> Result<Option<RequestHead>, InvalidHead> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut req = httparse::Request::new(&mut lines);
    let len = match req.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(InvalidHead::Malformed),
    };
    let headers = copy_headers(req.headers);
    let method = CompactString::from(req.method.unwrap_or_default());
    let target = CompactString::from(req.path.unwrap_or_default());
    let http11 = req.version == Some(1);
    let length = content_length(&headers)?;
    let body = match (is_chunked(&headers)?, length) {
        (true, Some(_)) => return Err(InvalidHead::Malformed),
        (true, None) if !http11 => return Err(InvalidHead::Malformed),
        (true, None) => BodyDecoder::chunked(),
        (false, n) => BodyDecoder::length(n.unwrap_or(0)),
    };
    if http11 && headers.iter().filter(|h| h.is("host")).count() != 1 {
        return Err(InvalidHead::Malformed);
    }
    let keep_alive = is_keep_alive(&headers, http11);
    let expects_continue =
        header(&headers, "expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    buf.advance(len);
    Ok(Some(RequestHead { method, target, headers, body, keep_alive, http11, expects_continue }))
}

/// Whether a response head contains the status line of another response. Then the first one broke
/// off in a line of its head, and the parser takes the status line for the rest of that line.
fn contains_second_status_line(head: &[u8]) -> bool {
    let is_status_line = |w: &[u8]| {
        w.starts_with(b"HTTP/1.")
            && w[7].is_ascii_digit()
            && w[8] == b' '
            && w[9..].iter().all(u8::is_ascii_digit)
    };
    head.windows(STATUS_LINE_BYTES).skip(1).any(is_status_line)
}

/// Whether a line of a head ends without a carriage return. The parser takes such a line feed for a
/// line end, so that one within a field would split it, or end the head.
fn contains_lone_line_feed(head: &[u8]) -> bool {
    head.starts_with(b"\n") || head.windows(2).any(|w| w[1] == b'\n' && w[0] != b'\r')
}

/// Takes a response head from the front of `buf`; `None` while it is incomplete. Interim responses
/// (1xx) are skipped, except 101.
///
/// # Errors
/// `Malformed` or `UnknownCoding` if the bytes are not a valid response.
pub fn parse_response(buf: &mut BytesMut) -> Result<Option<ResponseHead>, InvalidHead> {
    loop {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut res = httparse::Response::new(&mut lines);
        let len = match res.parse(buf) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(InvalidHead::Malformed),
        };
        let status = res.code.unwrap_or(0);
        let headers = copy_headers(res.headers);
        let reason = CompactString::from(res.reason.unwrap_or_default());
        let http11 = res.version == Some(1);
        let head = &buf[..len];
        // The parser accepts any three digits.
        if !STATUS_CODES.contains(&status)
            || status == SWITCHING_PROTOCOLS
            || contains_second_status_line(head)
            || contains_lone_line_feed(head)
        {
            return Err(InvalidHead::Malformed);
        }
        buf.advance(len);
        if (100..200).contains(&status) {
            continue;
        }
        let length = content_length(&headers)?;
        let body = match (is_chunked(&headers)?, length) {
            (true, Some(_)) => return Err(InvalidHead::Malformed),
            _ if status == 204 || status == 304 => BodyDecoder::length(0),
            (true, None) => BodyDecoder::chunked(),
            (false, Some(n)) => BodyDecoder::length(n),
            (false, None) => BodyDecoder::until_close(),
        };
        let keep_alive = is_keep_alive(&headers, http11) && !body.ends_with_connection();
        return Ok(Some(ResponseHead { status, reason, headers, body, keep_alive }));
    }
}
