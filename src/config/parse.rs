//! Parses and validates configuration text, and reports all errors in one run.

use compact_str::CompactString;

use super::ini::{Count, Finding, PerMille, Section, SectionReader, Text, parse_sections};
use super::{Budget, Config, FleetPolicy, Organisation, Service, ServiceKind};
use crate::ids::{Digest, Millis, Tokens};

/// Deadline for a complete response when the service sets none.
const DEFAULT_DEADLINE: Millis = Millis(120_000);
/// The most answer tokens when the service sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// The most requests in flight per organisation and router when the organisation sets no limit.
const DEFAULT_MAX_IN_FLIGHT: u64 = 512;

/// Parses and validates a complete configuration.
///
/// # Errors
/// All findings, in line order.
pub fn parse(text: &str) -> std::result::Result<Config, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut cfg = Config::default();
    let parsed_sections = parse_sections(text, &mut findings);
    for s in &parsed_sections {
        read_section(s, &mut cfg, &mut findings);
    }
    check_duplicates(&parsed_sections, &mut findings);
    cfg.index();
    check_references(&parsed_sections, &cfg, &mut findings);
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
                "unknown section [{other}]; known sections: service, organisation, budget, fleet"
            ),
        }),
    }
}

fn read_name<T: std::str::FromStr<Err = crate::error::Error>>(
    s: &Section<'_>,
    r: &mut SectionReader<'_, '_>,
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
    let mut r = SectionReader::new(s, findings);
    let id = read_name(s, &mut r);
    let kind = match r.value_or("kind", Text(CompactString::const_new("model"))).0.as_str() {
        "model" => read_model(&mut r),
        "plain" => read_plain(&mut r),
        other => {
            let line = r.line("kind");
            r.report(line, format!("kind: {other:?} is neither model nor plain"));
            None
        }
    };
    let depends = r.list("depends");
    let min_copies = r.value_or("min_copies", Count(1)).0.min(u64::from(u32::MAX)) as u32;
    let deadline = r.value_or("deadline", DEFAULT_DEADLINE);
    r.finish();
    Some(Service { id: id?, kind: kind?, depends, min_copies, deadline })
}

fn read_model(r: &mut SectionReader<'_, '_>) -> Option<ServiceKind> {
    let model = r.required::<Text>("model");
    let bytes_per_token = r.value_or("bytes_per_token", Count(1)).0;
    let max_tokens = r.value_or("max_tokens", Count(DEFAULT_MAX_TOKENS)).0;
    if bytes_per_token == 0 || max_tokens == 0 {
        let line = r.line(if max_tokens == 0 { "max_tokens" } else { "bytes_per_token" });
        r.report(line, "bytes_per_token and max_tokens must be at least 1".into());
    }
    Some(ServiceKind::Model { model: model?.0, bytes_per_token, max_tokens })
}

fn read_plain(r: &mut SectionReader<'_, '_>) -> Option<ServiceKind> {
    let cost = r.value_or("cost", Tokens(1));
    let repeatable = r.list::<Text>("repeatable").into_iter().map(|t| t.0).collect();
    Some(ServiceKind::Plain { cost, repeatable })
}

fn read_organisation(s: &Section<'_>, findings: &mut Vec<Finding>) -> Option<Organisation> {
    let mut r = SectionReader::new(s, findings);
    let id = read_name(s, &mut r);
    let key = r.required::<Digest>("key");
    let weight = r.value_or("weight", Count(1)).0.clamp(1, 1_000) as u32;
    let max_in_flight =
        r.value_or("max_in_flight", Count(DEFAULT_MAX_IN_FLIGHT)).0.min(u64::from(u32::MAX)) as u32;
    r.finish();
    Some(Organisation { id: id?, key: key?, weight, max_in_flight })
}

fn read_budget(s: &Section<'_>, findings: &mut Vec<Finding>) -> Option<Budget> {
    let mut r = SectionReader::new(s, findings);
    let id = read_name(s, &mut r);
    let prepaid = r.required("prepaid");
    let services = r.list("services");
    r.finish();
    Some(Budget { id: id?, prepaid: prepaid?, services })
}

fn read_fleet(s: &Section<'_>, findings: &mut Vec<Finding>) -> FleetPolicy {
    let defaults = FleetPolicy::default();
    let mut r = SectionReader::new(s, findings);
    let fleet = FleetPolicy {
        solo_share: r.value_or("solo_share", defaults.solo_share),
        grant_horizon: r.value_or("grant_horizon", defaults.grant_horizon),
        entry_lifetime: r.value_or("entry_lifetime", defaults.entry_lifetime),
        entry_width: r
            .value_or("entry_width", Count(u64::from(defaults.entry_width)))
            .0
            .clamp(1, 16) as u32,
        retry_share: r.value_or::<PerMille>("retry_share", defaults.retry_share),
    };
    r.finish();
    fleet
}

fn check_duplicates(parsed_sections: &[Section<'_>], findings: &mut Vec<Finding>) {
    let mut named: Vec<(&str, &str, u32)> =
        parsed_sections.iter().map(|s| (s.kind, s.name, s.line)).collect();
    named.sort();
    for duplicate in named.windows(2).filter(|w| (w[0].0, w[0].1) == (w[1].0, w[1].1)) {
        let message = format!(
            "[{} {}] is already defined at line {}",
            duplicate[1].0, duplicate[1].1, duplicate[0].2
        );
        findings.push(Finding { line: duplicate[1].2, message });
    }
}

pub(super) fn check_references(
    parsed_sections: &[Section<'_>],
    cfg: &Config,
    findings: &mut Vec<Finding>,
) {
    let mut declared: Vec<(&str, &str)> =
        parsed_sections.iter().map(|p| (p.kind, p.name)).collect();
    declared.sort();
    let missing = |name: &str| {
        let is_declared = declared.binary_search(&("service", name)).is_ok();
        !is_declared && !cfg.services.iter().any(|s| s.id.as_str() == name)
    };
    for s in parsed_sections {
        for e in &s.entries {
            let names = e.value.split(',').map(str::trim).filter(|n| !n.is_empty());
            let unknown: Vec<&str> = match (s.kind, e.key) {
                ("service", "depends") | ("budget", "services") => {
                    names.filter(|n| missing(n)).collect()
                }
                _ => continue,
            };
            let report = |n: &str| Finding {
                line: e.line,
                message: format!("{}: section [service {n}] does not exist", e.key),
            };
            findings.extend(unknown.into_iter().map(report));
        }
        if s.kind == "budget" {
            check_owner(s, &declared, cfg, findings);
        }
    }
    check_cycles(parsed_sections, cfg, findings);
}

fn check_owner(
    s: &Section<'_>,
    declared: &[(&str, &str)],
    cfg: &Config,
    findings: &mut Vec<Finding>,
) {
    let owner = s.name.split_once('/').map_or("", |(o, _)| o);
    // An organisation whose section has errors of its own is declared too; those errors are
    // reported at that section.
    let is_declared = declared.binary_search(&("organisation", owner)).is_ok();
    if let Ok(id) = owner.parse()
        && !is_declared
        && cfg.organisation(&id).is_none()
    {
        findings.push(Finding {
            line: s.line,
            message: format!("section [organisation {id}] does not exist"),
        });
    }
}

/// Reports services that depend on each other in a cycle, since none of them could ever become
/// available.
fn check_cycles(parsed_sections: &[Section<'_>], cfg: &Config, findings: &mut Vec<Finding>) {
    for service in &cfg.services {
        let mut visited = vec![];
        let mut pending: Vec<_> = service.depends.iter().collect();
        while let Some(id) = pending.pop() {
            if visited.contains(&id) {
                continue;
            }
            visited.push(id);
            pending.extend(cfg.service(id).iter().flat_map(|s| &s.depends));
        }
        if visited.contains(&&service.id) {
            let header = parsed_sections
                .iter()
                .find(|s| s.kind == "service" && s.name == service.id.as_str());
            let message =
                format!("service {} depends on itself, directly or through others", service.id);
            findings.push(Finding { line: header.map_or(0, |s| s.line), message });
        }
    }
}
