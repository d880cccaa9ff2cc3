//! Settings of one router process, from an INI file.

use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;

use super::ini::{Finding, SectionReader, Text, findings_error, parse_sections};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Millis, ZoneId};

/// A socket address that parses with this crate's error type.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addr(pub SocketAddr);

impl FromStr for Addr {
    type Err = Error;

    fn from_str(s: &str) -> Result<Addr> {
        let bad = |_| {
            Error::new(
                Kind::BadRequest,
                format!("{s:?} is not a socket address such as 127.0.0.1:8080"),
            )
        };
        s.parse().map(Addr).map_err(bad)
    }
}

/// Settings that a router process needs before it can contact the platform or another router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: CompactString,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Listen address for callers; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Listen address for other routers; port 0 selects any free port.
    pub peer_listen: SocketAddr,
    /// The platform's address, `ip:port`.
    pub platform: CompactString,
    /// Shared secrets for links between routers: the first one signs, all are accepted.
    pub link_keys: Vec<CompactString>,
    /// Digest of the operators' API key; `None` disables the operator API.
    pub operator_key: Option<Digest>,
    /// Interval between group commits.
    pub commit_interval: Millis,
    /// Interval between heartbeats.
    pub heartbeat: Millis,
    /// Time without a heartbeat after which another router counts as dead.
    pub dead_after: Millis,
    /// Interval between polls of the configuration.
    pub config_poll: Millis,
    /// Interval between polls of a target's load report.
    pub report_poll: Millis,
    /// Address of a statsd server; `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
}

/// Parses a settings file.
///
/// # Errors
/// `BadConfig` with all findings as `file:line: message`.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings> {
    let mut findings = Vec::new();
    let parsed_sections = parse_sections(text, &mut findings);
    let mut out = None;
    for s in &parsed_sections {
        if s.kind != "router" {
            let message = format!("unknown section [{}]; known sections: router", s.kind);
            findings.push(Finding { line: s.line, message });
            continue;
        }
        let mut r = SectionReader::new(s, &mut findings);
        let parsed = read_router(&mut r);
        r.finish();
        out = out.or(parsed);
    }
    if parsed_sections.is_empty() {
        findings.push(Finding { line: 1, message: "the [router] section is missing".into() });
    }
    findings.sort();
    match out {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings_error(file, &findings)),
    }
}

fn read_router(r: &mut SectionReader<'_, '_>) -> Option<Settings> {
    let loopback_any_port = Addr(SocketAddr::from(([127, 0, 0, 1], 0)));
    let instance = r.required::<Text>("instance");
    let zone = r.required("zone");
    let platform = r.required::<Addr>("platform");
    let link_keys: Vec<Text> = r.list("link_keys");
    if link_keys.is_empty() {
        let line = r.line("link_keys");
        r.report(line, "link_keys needs at least one secret, the same on every router".into());
    }
    let settings = Settings {
        listen: r.value_or("listen", loopback_any_port).0,
        peer_listen: r.value_or("peer_listen", loopback_any_port).0,
        link_keys: link_keys.into_iter().map(|t| t.0).collect(),
        operator_key: r.optional("operator_key"),
        commit_interval: r.value_or("commit_interval", Millis(50)),
        heartbeat: r.value_or("heartbeat", Millis(250)),
        dead_after: r.value_or("dead_after", Millis(2_000)),
        config_poll: r.value_or("config_poll", Millis(1_000)),
        report_poll: r.value_or("report_poll", Millis(250)),
        statsd: r.optional::<Addr>("statsd").map(|a| a.0),
        instance: instance?.0,
        zone: zone?,
        platform: CompactString::from(platform?.0.to_string()),
    };
    Some(settings)
}
