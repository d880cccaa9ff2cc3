//! What a request says of itself, read once from its head.

use std::time::Duration;

use compact_str::CompactString;

use crate::http1::{Header, RequestHead, header, tokens};

/// Headers that concern one connection only and are never forwarded.
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

/// The platform's names of the headers that this library reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one request of a caller; targets echo it.
    pub request_id: CompactString,
    /// Milliseconds that the sender will wait.
    pub time_left: CompactString,
    /// The parts of the prompt.
    pub prompt_parts: CompactString,
    /// Prompt tokens and most output tokens.
    pub token_counts: CompactString,
    /// Estimated output tokens.
    pub output_estimate: CompactString,
    /// The last event that a caller has.
    pub last_event_id: CompactString,
    /// The organisation's name, for targets.
    pub organisation: CompactString,
    /// The id of the target that a request is meant for.
    pub expect_target: CompactString,
    /// A target's proof that it did not run the request.
    pub not_run: CompactString,
    /// A target's word that it is about to stop.
    pub leaving: CompactString,
    /// Headers that only routers and targets set; dropped when a caller sends them.
    pub reserved: Vec<CompactString>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// A request's facts.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta {
    /// The caller's id of this request.
    pub id: CompactString,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Prompt tokens; 0 for requests that use no model.
    pub prompt: u64,
    /// Most output tokens.
    pub max_output: u64,
    /// Expected output tokens, if the caller knows.
    pub estimate: Option<u64>,
    /// Parts of the prompt; the last one is the request's own or its session's.
    pub parts: Vec<PromptPart>,
    /// The API key.
    pub key: Option<CompactString>,
    /// The last event that the caller already has.
    pub last_event: Option<CompactString>,
}

impl RequestMeta {
    /// Reads the facts out of a head. Values that cannot be read count as absent: the target
    /// judges them, and gets them as they were sent.
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
            last_event: text(&names.last_event_id).map(CompactString::from),
        }
    }

    /// The most that the request can cost, in tokens.
    pub fn max_cost(&self) -> u64 {
        self.prompt + self.max_output
    }
}

fn parse_prompt_parts(list: &str) -> Vec<PromptPart> {
    let parse_part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    list.split(',').map_while(parse_part).collect()
}

/// The host without its port.
pub fn host(head: &RequestHead) -> &str {
    let host = header(&head.headers, "host").unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(h, _)| h)
}

/// The path without its query.
pub fn path(head: &RequestHead) -> &str {
    head.target.split(['?', '#']).next().unwrap_or_default()
}

/// Whether a request header may reach a target as the caller sent it.
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

/// What is added to a request for a target.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// The target that must run it.
    pub target: &'a str,
    /// The organisation, if the request has a key.
    pub organisation: Option<&'a str>,
    /// Time left for the target.
    pub time_left: Duration,
    /// Go on after this event instead of the one the caller named.
    pub resume_after: Option<&'a str>,
}

/// The request as a target gets it: head and body in one piece.
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

/// Whether a response header concerns only the connection to the target.
pub fn is_hop_by_hop(h: &Header) -> bool {
    HOP_BY_HOP.iter().any(|n| h.is(n))
}
