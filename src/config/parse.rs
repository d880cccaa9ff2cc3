//! Checks configuration text, every mistake in one run.

use compact_str::CompactString;

use super::ini::{Count, Finding, PerMille, Reader, Section, Text, sections};
use super::{Budget, Config, Fleet, Organisation, Service, ServiceKind};
use crate::ids::{Digest, Millis, Tokens};

/// Time for a whole answer unless the service says otherwise.
const DEFAULT_DEADLINE: Millis = Millis(120_000);
/// Answer tokens unless the service says otherwise.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Requests in flight per organisation and router unless it says otherwise.
const DEFAULT_IN_FLIGHT: u64 = 512;

/// Parses and checks `text`.
///
/// # Errors
/// Every finding, in line order.
pub fn parse(text: &str) -> std::result::Result<Config, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut cfg = Config::default();
    let parts = sections(text, &mut findings);
    for s in &parts {
        read_section(s, &mut cfg, &mut findings);
    }
    find_doubles(&parts, &mut findings);
    cfg.index();
    check_references(&parts, &cfg, &mut findings);
    findings.sort();
    if findings.is_empty() { Ok(cfg) } else { Err(findings) }
}

pub(super) fn read_section(s: &Section<'_>, cfg: &mut Config, findings: &mut Vec<Finding>) {
    match s.kind {
        "service" => cfg.services.extend(read_service(s, findings)),
        "organisation" => cfg.organisations.extend(read_organisation(s, findings)),
        "budget" => cfg.budgets.extend(read_budget(s, findings)),
        "fleet" => cfg.fleet = read_fleet(s, findings),
        other => findings.push(Finding {
            line: s.line,
            message: format!(
                "unknown section [{other}]; known: service, organisation, budget, fleet"
            ),
        }),
    }
}

fn read_name<T: std::str::FromStr<Err = crate::error::Error>>(
    s: &Section<'_>,
    r: &mut Reader<'_, '_>,
) -> Option<T> {
    match s.name.parse() {
        Ok(id) => Some(id),
        Err(e) => {
            r.report(s.line, format!("[{} NAME]: {}", s.kind, e.message));
            None
        }
    }
}

fn read_service(s: &Section<'_>, findings: &mut Vec<Finding>) -> Option<Service> {
    let mut r = Reader::new(s, findings);
    let id = read_name(s, &mut r);
    let kind = match r.or("kind", Text(CompactString::const_new("model"))).0.as_str() {
        "model" => read_model(&mut r),
        "plain" => read_plain(&mut r),
        other => {
            let line = r.line("kind");
            r.report(line, format!("kind: {other:?} is neither model nor plain"));
            None
        }
    };
    let depends = r.list("depends");
    let min_copies = r.or("min_copies", Count(1)).0.min(u64::from(u32::MAX)) as u32;
    let deadline = r.or("deadline", DEFAULT_DEADLINE);
    r.finish();
    Some(Service { id: id?, kind: kind?, depends, min_copies, deadline })
}

fn read_model(r: &mut Reader<'_, '_>) -> Option<ServiceKind> {
    let model = r.required::<Text>("model");
    let bytes_per_token = r.or("bytes_per_token", Count(1)).0;
    let max_tokens = r.or("max_tokens", Count(DEFAULT_MAX_TOKENS)).0;
    if bytes_per_token == 0 || max_tokens == 0 {
        let line = r.line(if max_tokens == 0 { "max_tokens" } else { "bytes_per_token" });
        r.report(line, "bytes_per_token and max_tokens must be at least 1".into());
    }
    Some(ServiceKind::Model { model: model?.0, bytes_per_token, max_tokens })
}

fn read_plain(r: &mut Reader<'_, '_>) -> Option<ServiceKind> {
    let cost = r.or("cost", Tokens(1));
    let repeatable = r.list::<Text>("repeatable").into_iter().map(|t| t.0).collect();
    Some(ServiceKind::Plain { cost, repeatable })
}

fn read_organisation(s: &Section<'_>, findings: &mut Vec<Finding>) -> Option<Organisation> {
    let mut r = Reader::new(s, findings);
    let id = read_name(s, &mut r);
    let key = r.required::<Digest>("key");
    let weight = r.or("weight", Count(1)).0.clamp(1, 1_000) as u32;
    let max_in_flight =
        r.or("max_in_flight", Count(DEFAULT_IN_FLIGHT)).0.min(u64::from(u32::MAX)) as u32;
    r.finish();
    Some(Organisation { id: id?, key: key?, weight, max_in_flight })
}

fn read_budget(s: &Section<'_>, findings: &mut Vec<Finding>) -> Option<Budget> {
    let mut r = Reader::new(s, findings);
    let id = read_name(s, &mut r);
    let prepaid = r.required("prepaid");
    let services = r.list("services");
    r.finish();
    Some(Budget { id: id?, prepaid: prepaid?, services })
}

fn read_fleet(s: &Section<'_>, findings: &mut Vec<Finding>) -> Fleet {
    let d = Fleet::default();
    let mut r = Reader::new(s, findings);
    let fleet = Fleet {
        solo_share: r.or("solo_share", d.solo_share),
        grant_horizon: r.or("grant_horizon", d.grant_horizon),
        entry_lifetime: r.or("entry_lifetime", d.entry_lifetime),
        entry_width: r.or("entry_width", Count(u64::from(d.entry_width))).0.clamp(1, 16) as u32,
        retry_share: r.or::<PerMille>("retry_share", d.retry_share),
    };
    r.finish();
    fleet
}

fn find_doubles(parts: &[Section<'_>], findings: &mut Vec<Finding>) {
    let mut named: Vec<(&str, &str, u32)> =
        parts.iter().map(|s| (s.kind, s.name, s.line)).collect();
    named.sort();
    for pair in named.windows(2).filter(|w| (w[0].0, w[0].1) == (w[1].0, w[1].1)) {
        let message = format!("[{} {}] stands already at line {}", pair[1].0, pair[1].1, pair[0].2);
        findings.push(Finding { line: pair[1].2, message });
    }
}

pub(super) fn check_references(parts: &[Section<'_>], cfg: &Config, findings: &mut Vec<Finding>) {
    let mut standing: Vec<(&str, &str)> = parts.iter().map(|p| (p.kind, p.name)).collect();
    standing.sort();
    let missing = |name: &str| {
        let stands = standing.binary_search(&("service", name)).is_ok();
        !stands && !cfg.services.iter().any(|s| s.id.as_str() == name)
    };
    for s in parts {
        for e in &s.entries {
            let names = e.value.split(',').map(str::trim).filter(|n| !n.is_empty());
            let unknown: Vec<&str> = match (s.kind, e.key) {
                ("service", "depends") | ("budget", "services") => {
                    names.filter(|n| missing(n)).collect()
                }
                _ => continue,
            };
            let report =
                |n: &str| Finding { line: e.line, message: format!("{}: no [service {n}]", e.key) };
            findings.extend(unknown.into_iter().map(report));
        }
        if s.kind == "budget" {
            check_owner(s, &standing, cfg, findings);
        }
    }
    check_cycles(parts, cfg, findings);
}

fn check_owner(
    s: &Section<'_>,
    standing: &[(&str, &str)],
    cfg: &Config,
    findings: &mut Vec<Finding>,
) {
    let owner = s.name.split_once('/').map_or("", |(o, _)| o);
    // One with mistakes of its own counts: it is reported where it stands.
    let stands = standing.binary_search(&("organisation", owner)).is_ok();
    if let Ok(id) = owner.parse()
        && !stands
        && cfg.organisation(&id).is_none()
    {
        findings.push(Finding { line: s.line, message: format!("no [organisation {id}]") });
    }
}

/// Services that wait for each other could never be served.
fn check_cycles(parts: &[Section<'_>], cfg: &Config, findings: &mut Vec<Finding>) {
    for service in &cfg.services {
        let mut seen = vec![];
        let mut next: Vec<_> = service.depends.iter().collect();
        while let Some(id) = next.pop() {
            if seen.contains(&id) {
                continue;
            }
            seen.push(id);
            next.extend(cfg.service(id).iter().flat_map(|s| &s.depends));
        }
        if seen.contains(&&service.id) {
            let header =
                parts.iter().find(|s| s.kind == "service" && s.name == service.id.as_str());
            let message = format!("service {} depends on itself", service.id);
            findings.push(Finding { line: header.map_or(0, |s| s.line), message });
        }
    }
}
