//! Tests of head and body parsing, also with input that arrives in small pieces.

use bytes::BytesMut;
use kingcupwall::http1::{
    BodyDecoder, InvalidHead, Step, keep_alive_seconds, parse_request, parse_response,
};
use rstest::rstest;

fn request(text: &str) -> Result<Option<kingcupwall::http1::RequestHead>, InvalidHead> {
    parse_request(&mut BytesMut::from(text))
}

#[rstest]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n folded\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nX: 1\r\n\r\n")]
#[case("GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n\r\n")]
fn parse_request_ambiguous(#[case] text: &str) {
    assert!(matches!(request(text), Err(InvalidHead::Malformed)), "{text}");
}

#[test]
fn parse_request_unknown_coding() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert!(matches!(request(text), Err(InvalidHead::UnknownCoding)));
}

#[test]
fn parse_request_in_pieces() {
    let text = "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok";
    for n in 0..text.len() - 2 {
        assert!(request(&text[..n]).unwrap().is_none(), "{n}");
    }
    let mut buf = BytesMut::from(text);
    let head = parse_request(&mut buf).unwrap().unwrap();
    assert_eq!(
        (head.method.as_str(), head.target.as_str(), head.keep_alive),
        ("POST", "/a?b", true)
    );
    assert_eq!(head.body.known_length(), Some(2));
    assert_eq!(&buf[..], b"ok");
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true)]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n", false)]
#[case("HTTP/1.1 200 OK\r\n\r\n", false)]
#[case("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", false)]
#[case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", true)]
fn parse_response_keep(#[case] text: &str, #[case] keep_alive: bool) {
    let head = parse_response(&mut BytesMut::from(text)).unwrap().unwrap();
    assert_eq!(head.keep_alive, keep_alive);
}

/// Guards against two responses that are taken for one, because the first one broke off within its
/// head.
#[rstest]
#[case::final_response("HTTP/1.1 503 Service Unavailable")]
#[case::interim_response("HTTP/1.1 103 Early Hints")]
fn parse_response_after_cut_head(#[case] status_line: &str) {
    let cut =
        format!("{status_line}\r\nNot-Run: 1\r\nServer: \u{e9} x\r\nContent-Length: 0\r\n\r\n");
    // Without a body, so that nothing after a head that is skipped is unreadable.
    let next = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for len in 1..cut.len() {
        let mut buf = BytesMut::from(&cut.as_bytes()[..len]);
        buf.extend_from_slice(next);
        let parsed = parse_response(&mut buf);
        assert!(parsed.is_err(), "{len}: {parsed:?}");
    }
}

/// Guards against bytes that are taken for a response although their status code is none.
#[rstest]
#[case::after_no_response("")]
#[case::after_interim_response("HTTP/1.1 103 Early Hints\r\n\r\n")]
fn parse_response_status_out_of_range(#[case] before: &str) {
    for status in 0..1_000 {
        let text = format!("{before}HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(&mut BytesMut::from(text.as_str()));
        match status {
            100 | 102..200 => assert!(matches!(parsed, Ok(None)), "{status}: {parsed:?}"),
            200..600 => assert_eq!(parsed.unwrap().map(|h| h.status), Some(status)),
            // After 101 the bytes belong to a protocol that no request asks for.
            _ => assert!(matches!(parsed, Err(InvalidHead::Malformed)), "{status}: {parsed:?}"),
        }
    }
}

/// Bytes that no name of a field may hold; a line feed ends the line.
fn bytes_outside_names() -> impl Iterator<Item = u8> {
    let allowed = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~:".contains(b);
    (0..=255).filter(move |b| !allowed(b))
}

/// Guards against a response with a line that is no field, which would be passed on, or would hide
/// how the body is framed.
#[rstest]
#[case::final_response("HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok")]
#[case::first_field("HTTP/1.1 200 OK\r\nX: 1\r\n", "\r\nok")]
#[case::interim_response("HTTP/1.1 103 Early Hints\r\n", "\r\nHTTP/1.1 204 None\r\n\r\n")]
fn parse_response_invalid_field_name(#[case] before: &str, #[case] after: &str) {
    for byte in bytes_outside_names() {
        for at in 0..="Content-Length".len() {
            let mut name = b"Content-Length".to_vec();
            name.insert(at, byte);
            let text = [before.as_bytes(), &name, b": 1\r\n", after.as_bytes()].concat();
            let parsed = parse_response(&mut BytesMut::from(&text[..]));
            assert!(
                matches!(parsed, Err(InvalidHead::Malformed)),
                "{:?}: {parsed:?}",
                name.escape_ascii().to_string()
            );
        }
    }
}

/// Guards against the same for a field's value and for the reason phrase.
#[rstest]
#[case::value("HTTP/1.1 200 OK\r\nX: a", "b\r\n\r\n")]
#[case::reason("HTTP/1.1 200 O", "K\r\n\r\n")]
#[case::field_in_reason("HTTP/1.1 200 OK", "X: 1\r\n\r\n")]
fn parse_response_control_byte(#[case] before: &str, #[case] after: &str) {
    for byte in (0..=31).chain([127]).filter(|b| *b != b'\t') {
        let text = [before.as_bytes(), &[byte], after.as_bytes()].concat();
        let parsed = parse_response(&mut BytesMut::from(&text[..]));
        assert!(matches!(parsed, Err(InvalidHead::Malformed)), "{byte}: {parsed:?}");
    }
}

#[test]
fn keep_alive_timeout() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: max=5, timeout=7\r\n\r\n";
    let head = parse_response(&mut BytesMut::from(text)).unwrap().unwrap();
    assert_eq!(keep_alive_seconds(&head.headers), Some(7));
}

/// Decodes `text` in pieces of `n` bytes; returns the payload and the last step.
fn decode(mut body: BodyDecoder, text: &[u8], n: usize) -> (Vec<u8>, Step) {
    let (mut buf, mut out) = (BytesMut::new(), Vec::new());
    for piece in text.chunks(n) {
        buf.extend_from_slice(piece);
        loop {
            match body.decode(&mut buf) {
                Step::Piece(p) => out.extend_from_slice(&p),
                Step::NeedMore => break,
                end => return (out, end),
            }
        }
    }
    (out, Step::NeedMore)
}

#[test]
fn decode_chunked_in_pieces() {
    let text = b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\nnext";
    for n in 1..text.len() {
        let (out, end) = decode(BodyDecoder::chunked(), text, n);
        assert_eq!((out.as_slice(), end), (&b"abc0123456789"[..], Step::Done), "{n}");
    }
}

#[rstest]
#[case(b"3\nabc\r\n0\r\n\r\n")]
#[case(b"3\r\nabcd\r\n0\r\n\r\n")]
#[case(b"-3\r\nabc\r\n0\r\n\r\n")]
#[case(b"0x3\r\nabc\r\n0\r\n\r\n")]
#[case(b"fffffffff\r\nabc")]
fn decode_chunked_bad(#[case] text: &[u8]) {
    let (_, end) = decode(BodyDecoder::chunked(), text, text.len());
    assert_eq!(end, Step::Invalid);
}

/// Guards against a body that is read without end because its chunks carry extensions, or its
/// trailer has lines, that nobody gets.
#[rstest]
#[case::extensions("1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\na\r\n")]
#[case::trailer("X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n")]
fn decode_chunked_dropped_bytes_are_bounded(#[case] endless: &str) {
    let begin = if endless.starts_with('1') { "" } else { "0\r\n" };
    let text = |bytes: usize| begin.to_owned() + &endless.repeat(bytes / endless.len());
    let whole = |bytes| text(bytes) + if begin.is_empty() { "0\r\n\r\n" } else { "\r\n" };
    assert_eq!(decode(BodyDecoder::chunked(), whole(8 * 1024).as_bytes(), 7).1, Step::Done);
    assert_eq!(decode(BodyDecoder::chunked(), text(64 * 1024).as_bytes(), 7).1, Step::Invalid);
}

#[test]
fn decode_cut_is_not_whole() {
    assert_eq!(decode(BodyDecoder::length(5), b"1234", 2).1, Step::NeedMore);
    assert_eq!(decode(BodyDecoder::chunked(), b"4\r\n1234\r\n", 3).1, Step::NeedMore);
}
