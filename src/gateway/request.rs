//! Metadata of a request, parsed from its head, and the encoding of the request for a target.

use std::time::Duration;

use compact_str::CompactString;

use crate::http1::{Header, RequestHead, header, tokens};

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Maximum length of the id of a resumed request, in bytes.
const MAX_ID_BYTES: usize = 256;

/// The platform's names of the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id that the caller gave the request; targets echo it.
    pub request_id: CompactString,
    /// Milliseconds that the sender will wait.
    pub time_left: CompactString,
    /// The parts of the prompt, as `id:tokens` with a hexadecimal id, separated by commas.
    pub prompt_parts: CompactString,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub token_counts: CompactString,
    /// Estimated number of output tokens.
    pub output_estimate: CompactString,
    /// Id of the last event that the caller received.
    pub last_event_id: CompactString,
    /// Id of the request that brought the first event of a stream that the caller resumes.
    pub resumes: CompactString,
    /// Name of the organisation, set for targets.
    pub organisation: CompactString,
    /// Id of the target that the request is meant for.
    pub expect_target: CompactString,
    /// A target's proof that it did not run the request.
    pub not_run: CompactString,
    /// A target's receipt. Each success has one, so that a success without it is not whole.
    pub receipt: CompactString,
    /// A target's announcement that it is about to stop.
    pub leaving: CompactString,
    /// How many requests a target can reject within one second without a crash.
    pub rejection_limit: CompactString,
    /// Headers that only routers and targets may set; dropped when a caller sends them.
    pub reserved: Vec<CompactString>,
}

/// A part of a prompt that an engine can cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Values that the router reads from the headers of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta {
    /// Id that the caller gave the request; empty if absent.
    pub id: CompactString,
    /// How long the caller waits, counted from when the head was read.
    pub time_left: Option<Duration>,
    /// Prompt tokens; 0 for requests that use no model.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
    /// Expected output tokens, if the caller states them.
    pub estimate: Option<u64>,
    /// Parts of the prompt. The last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// The API key.
    pub key: Option<CompactString>,
    /// Id of the last event that the caller received; `None` if it received none.
    pub last_event: Option<CompactString>,
    /// Id of the request that brought the first event of the stream that the caller resumes; `None`
    /// if it is not stated, stated more than once, or cannot be an id.
    pub resumes: Option<CompactString>,
}

impl RequestMeta {
    /// Reads the metadata from a request's headers. Values that cannot be parsed count as absent;
    /// the target gets them unchanged and decides about them.
    pub fn read(names: &HeaderNames, headers: &[Header]) -> RequestMeta {
        let text = |name: &str| header(headers, name);
        let (prompt, max_output) = text(&names.token_counts)
            .and_then(|v| v.split_once(','))
            .and_then(|(p, o)| Some((p.trim().parse().ok()?, o.trim().parse().ok()?)))
            .unwrap_or((0, 0));
        let key = text("authorization").and_then(|v| v.split_once(' '));
        let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
        RequestMeta {
            id: text(&names.request_id).unwrap_or_default().into(),
            time_left: text(&names.time_left)
                .and_then(|v| v.parse().ok())
                .map(Duration::from_millis),
            prompt,
            max_output,
            estimate: text(&names.output_estimate).and_then(|v| v.parse().ok()),
            parts: text(&names.prompt_parts).map(parse_prompt_parts).unwrap_or_default(),
            key: key.map(|(_, k)| k.trim().into()),
            last_event: text(&names.last_event_id)
                .filter(|v| !v.is_empty())
                .map(CompactString::from),
            resumes: resumed_request(names, headers),
        }
    }

    /// Maximum cost of the request in tokens: prompt and output.
    pub fn max_cost(&self) -> u64 {
        self.prompt + self.max_output
    }
}

/// The request that a resumed stream began under; `None` if it is not stated, or not clearly.
fn resumed_request(names: &HeaderNames, headers: &[Header]) -> Option<CompactString> {
    let mut stated = headers.iter().filter(|h| h.is(&names.resumes));
    let (first, None) = (stated.next()?, stated.next()) else { return None };
    let id = std::str::from_utf8(&first.value).ok()?.trim();
    let is_valid =
        (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    is_valid.then(|| id.into())
}

fn parse_prompt_parts(list: &str) -> Vec<PromptPart> {
    let parse_part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    list.split(',').map_while(parse_part).collect()
}

/// The host of a request without its port.
pub fn host(head: &RequestHead) -> &str {
    let host = header(&head.headers, "host").unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(h, _)| h)
}

/// The path of a request without its query.
pub fn path(head: &RequestHead) -> &str {
    head.target.split(['?', '#']).next().unwrap_or_default()
}

/// Whether a request header is forwarded to a target unchanged.
fn is_forwarded(names: &HeaderNames, listed: &[&str], h: &Header) -> bool {
    let dropped = HOP_BY_HOP.iter().any(|n| h.is(n))
        || listed.iter().any(|n| h.is(n))
        || names.reserved.iter().any(|n| h.is(n))
        || h.is("authorization")
        || h.is("content-length")
        || h.is("expect")
        || h.is(&names.time_left);
    !dropped
}

/// Headers that the router adds to a request.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// Id of the target that must run the request.
    pub target: &'a str,
    /// Name of the organisation, if the request has a key.
    pub organisation: Option<&'a str>,
    /// Time that is left for the target.
    pub time_left: Duration,
    /// Id of the event after which to resume; replaces the one that the caller sent.
    pub resume_after: Option<&'a str>,
}

/// Encodes the request for a target: head and body in one buffer.
pub fn encode_request(
    names: &HeaderNames,
    head: &RequestHead,
    body: &[u8],
    add: &AddedHeaders<'_>,
) -> Vec<u8> {
    use std::io::Write;
    let listed: Vec<&str> = tokens(&head.headers, "connection").collect();
    let mut out = Vec::with_capacity(512 + 64 * head.headers.len() + body.len());
    // Writing into a vector cannot fail.
    let _ = write!(out, "{} {} HTTP/1.1\r\n", head.method, head.target);
    for h in head.headers.iter().filter(|h| is_forwarded(names, &listed, h)) {
        if add.resume_after.is_some() && h.is(&names.last_event_id) {
            continue;
        }
        write_header_line(&mut out, &h.name, &h.value);
    }
    let has_body = !body.is_empty() || head.headers.iter().any(|h| h.is("content-length"));
    if has_body || head.headers.iter().any(|h| h.is("transfer-encoding")) {
        let _ = write!(out, "Content-Length: {}\r\n", body.len());
    }
    let _ = write!(out, "{}: {}\r\n", names.time_left, add.time_left.as_millis());
    write_header_line(&mut out, &names.expect_target, add.target.as_bytes());
    if let Some(org) = add.organisation {
        write_header_line(&mut out, &names.organisation, org.as_bytes());
    }
    if let Some(event) = add.resume_after {
        write_header_line(&mut out, &names.last_event_id, event.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Writes one header line.
pub fn write_header_line(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Whether a header applies only to a single connection.
pub fn is_hop_by_hop(h: &Header) -> bool {
    HOP_BY_HOP.iter().any(|n| h.is(n))
}
