//! Configuration revisions as sets of edited sections.
//!
//! The cost of an edit does not depend on the size of the configuration: a revision contains only
//! the sections that changed, and the digest of the whole is the sum of the digests of its
//! sections, so that it can be updated from the edited sections alone.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ini::{Finding, findings_error, parse_sections};
use super::parse::{check_references, read_section};
use super::{Config, budget_sort_key};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Revision, Tokens};

/// First word of a snapshot, before its format version.
const SNAPSHOT_MAGIC: &str = "kingcupwall-snapshot";
/// The snapshot format version that this program writes, and the newest that it reads.
const SNAPSHOT_FORMAT: u32 = 1;

/// An edit of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    /// Text between the brackets of the header, such as `budget acme/main`.
    pub header: CompactString,
    /// The lines below the header; `None` removes the section.
    pub body: Option<String>,
}

/// The table row of one accepted revision.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionRow {
    /// The revision after the edits.
    pub revision: Revision,
    /// Id of the submission, so that its outcome can be found after a lost response.
    pub submission: CompactString,
    /// Digest of the configuration before the edits.
    pub before: Digest,
    /// Digest of the configuration after the edits.
    pub after: Digest,
    /// The edits; empty when they are stored in [`RevisionRow::object`].
    pub edits: Vec<Edit>,
    /// Name of the object with the edits, when they are too large for a row.
    pub object: Option<CompactString>,
}

/// The table row that names the current revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Head {
    /// The newest accepted revision.
    pub revision: Revision,
    /// Digest of the configuration.
    pub digest: Digest,
}

impl Default for Head {
    fn default() -> Head {
        Head { revision: Revision(0), digest: Digest::from_u128(0) }
    }
}

/// A configuration text by section, with its digest kept up to date.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Headers and bodies, sorted by header.
    sections: Vec<(CompactString, Box<str>)>,
    digest_sum: u128,
}

fn section_digest(header: &str, body: &str) -> u128 {
    Digest::of(format!("[{header}]\n{body}").as_bytes()).to_u128()
}

impl Document {
    /// Splits a text into sections. Comments belong to the section above them; text before the
    /// first section is dropped.
    pub fn parse(text: &str) -> Document {
        let mut doc = Document::default();
        let edits = split_sections(text)
            .into_iter()
            .map(|(header, body)| Edit { header, body: Some(body) });
        doc.apply(&edits.collect::<Vec<_>>());
        doc
    }

    /// Digest of the whole text, which does not depend on the order of the sections.
    pub fn digest(&self) -> Digest {
        Digest::from_u128(self.digest_sum)
    }

    /// The body of the section with this header.
    pub fn section(&self, header: &str) -> Option<&str> {
        let index = self.sections.binary_search_by(|(h, _)| h.as_str().cmp(header)).ok()?;
        Some(&self.sections[index].1)
    }

    /// Applies edits and updates the digest.
    pub fn apply(&mut self, edits: &[Edit]) {
        if edits.len() > 1_000 && edits.len() > self.sections.len() / 8 {
            return self.apply_many(edits);
        }
        edits.iter().for_each(|e| self.apply_one(e));
    }

    fn apply_one(&mut self, edit: &Edit) {
        let position = self.sections.binary_search_by(|(h, _)| h.cmp(&edit.header));
        if let Ok(index) = position {
            let (header, body) = &self.sections[index];
            self.digest_sum = self.digest_sum.wrapping_sub(section_digest(header, body));
        }
        if let Some(body) = &edit.body {
            self.digest_sum = self.digest_sum.wrapping_add(section_digest(&edit.header, body));
        }
        match (position, &edit.body) {
            (Ok(index), Some(body)) => self.sections[index].1 = body.as_str().into(),
            (Ok(index), None) => drop(self.sections.remove(index)),
            (Err(index), Some(body)) => {
                self.sections.insert(index, (edit.header.clone(), body.as_str().into()));
            }
            (Err(_), None) => {}
        }
    }

    fn apply_many(&mut self, edits: &[Edit]) {
        let mut all: std::collections::BTreeMap<CompactString, Box<str>> =
            std::mem::take(&mut self.sections).into_iter().collect();
        for e in edits {
            match &e.body {
                Some(body) => drop(all.insert(e.header.clone(), body.as_str().into())),
                None => drop(all.remove(&e.header)),
            }
        }
        self.sections = all.into_iter().collect();
        let numbers = self.sections.iter().map(|(h, b)| section_digest(h, b));
        self.digest_sum = numbers.fold(0, u128::wrapping_add);
    }

    /// The edits that turn this document into `other`.
    pub fn diff(&self, other: &Document) -> Vec<Edit> {
        let removed = self.sections.iter().filter(|(h, _)| other.section(h).is_none());
        let removed = removed.map(|(h, _)| Edit { header: h.clone(), body: None });
        let changed = other.sections.iter().filter(|(h, b)| self.section(h) != Some(b));
        let changed = changed.map(|(h, b)| Edit { header: h.clone(), body: Some(b.to_string()) });
        removed.chain(changed).collect()
    }

    /// The whole text, with sections in header order.
    pub fn text(&self) -> String {
        let part = |(h, b): &(CompactString, Box<str>)| format!("[{h}]\n{b}");
        self.sections.iter().map(part).collect()
    }

    /// Encodes a snapshot: a header line with format version, revision and digest, then the text.
    pub fn snapshot(&self, revision: Revision) -> Vec<u8> {
        let header_line =
            format!("{SNAPSHOT_MAGIC} {SNAPSHOT_FORMAT} {revision} {}\n", self.digest());
        (header_line + &self.text()).into_bytes()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// `BadFormat` when the snapshot is damaged, truncated or of a newer format version.
    pub fn from_snapshot(data: &[u8]) -> Result<(Revision, Document)> {
        let format_error = |what: &str| Error::new(Kind::BadFormat, format!("snapshot: {what}"));
        let text = std::str::from_utf8(data).map_err(|_| format_error("not UTF-8"))?;
        let (header_line, body) =
            text.split_once('\n').ok_or_else(|| format_error("truncated in its first line"))?;
        let words: Vec<&str> = header_line.split(' ').collect();
        let [SNAPSHOT_MAGIC, format, revision, digest] = words[..] else {
            return Err(format_error("first line is not a snapshot header"));
        };
        let format: u32 =
            format.parse().map_err(|_| format_error("format version is not a number"))?;
        if format > SNAPSHOT_FORMAT {
            return Err(format_error(&format!(
                "format version {format} is newer than {SNAPSHOT_FORMAT}; update this program"
            )));
        }
        let doc = Document::parse(body);
        if doc.digest() != digest.parse()? {
            return Err(format_error(
                "content does not match its digest; it is damaged or truncated",
            ));
        }
        Ok((revision.parse()?, doc))
    }
}

/// Splits a text into `(header, body)` pairs.
fn split_sections(text: &str) -> Vec<(CompactString, String)> {
    let mut out: Vec<(CompactString, String)> = Vec::new();
    for line in text.lines() {
        let trimmed = line.trim();
        if let Some(header) = trimmed.strip_prefix('[').and_then(|t| t.strip_suffix(']')) {
            let words: Vec<&str> = header.split_whitespace().collect();
            out.push((CompactString::from(words.join(" ")), String::new()));
        } else if let Some((_, body)) = out.last_mut() {
            body.push_str(line.trim_end());
            body.push('\n');
        }
    }
    out
}

/// Parses a file that contains only the changed sections. A section whose only line is `remove` is
/// removed.
pub fn parse_edits(text: &str) -> Vec<Edit> {
    let edit = |(header, body): (CompactString, String)| match body.trim() {
        "remove" => Edit { header, body: None },
        _ => Edit { header, body: Some(body) },
    };
    split_sections(text).into_iter().map(edit).collect()
}

/// A budget whose ledger row must be checked before an edit is accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerCheck {
    /// Id of the budget.
    pub budget: BudgetId,
    /// The new prepaid amount; `None` when the budget is removed.
    pub prepaid: Option<Tokens>,
    /// Whether the amount is reduced or the budget removed, so that some routers may still have a
    /// larger amount configured.
    pub is_reduction: bool,
}

impl Config {
    /// Validates and applies edits.
    ///
    /// # Errors
    /// `BadConfig` with all findings; the configuration is then unchanged.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<()> {
        let parsed = self.check(edits)?;
        for e in edits {
            self.remove(&e.header);
        }
        let is_bulk = parsed.budgets.len() > 1_000;
        parsed.services.into_iter().for_each(|s| self.services.push(s));
        if !parsed.organisations.is_empty() {
            self.organisations.extend(parsed.organisations);
            self.organisations.sort_by(|a, b| a.id.cmp(&b.id));
            self.keys = self.organisations.iter().map(|o| (o.key, o.id.clone())).collect();
            self.keys.sort();
        }
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        if edits.iter().any(|e| e.header == "fleet") {
            self.fleet = parsed.fleet;
        }
        if is_bulk {
            self.budgets.extend(parsed.budgets);
            self.budgets.sort_by(super::compare_budgets);
            return Ok(());
        }
        for b in parsed.budgets {
            let index =
                self.budgets.partition_point(|x| budget_sort_key(&x.id) < budget_sort_key(&b.id));
            self.budgets.insert(index, b);
        }
        Ok(())
    }

    fn remove(&mut self, header: &str) {
        match header.split_once(' ').unwrap_or((header, "")) {
            ("service", name) => self.services.retain(|s| s.id.as_str() != name),
            ("organisation", name) => {
                self.organisations.retain(|o| o.id.as_str() != name);
                self.keys.retain(|(_, o)| o.as_str() != name);
            }
            ("budget", name) => {
                if let Ok(id) = name.parse::<BudgetId>()
                    && let Ok(index) = self
                        .budgets
                        .binary_search_by(|b| budget_sort_key(&b.id).cmp(&budget_sort_key(&id)))
                {
                    self.budgets.remove(index);
                }
            }
            _ => {}
        }
    }

    /// Parses edits and checks that all references are valid after them. Returns only what the
    /// edits define.
    ///
    /// # Errors
    /// `BadConfig` with all findings.
    pub fn check(&self, edits: &[Edit]) -> Result<Config> {
        let text: String = edits
            .iter()
            .filter_map(|e| e.body.as_ref().map(|b| format!("[{}]\n{b}", e.header)))
            .collect();
        let mut findings = Vec::new();
        let parsed_sections = parse_sections(&text, &mut findings);
        let mut parsed = Config::default();
        parsed_sections.iter().for_each(|s| read_section(s, &mut parsed, &mut findings));
        parsed.index();
        let mut merged = Config {
            services: self.services.clone(),
            organisations: self.organisations.clone(),
            ..Config::default()
        };
        for e in edits.iter().filter(|e| !e.header.starts_with("budget ")) {
            merged.remove(&e.header);
        }
        merged.services.extend(parsed.services.iter().cloned());
        merged.organisations.extend(parsed.organisations.iter().cloned());
        merged.index();
        check_references(&parsed_sections, &merged, &mut findings);
        self.check_removed(edits, &merged, &mut findings);
        if findings.is_empty() { Ok(parsed) } else { Err(findings_error("edit", &findings)) }
    }

    /// Reports removed organisations and services that remaining sections still refer to.
    fn check_removed(&self, edits: &[Edit], merged: &Config, findings: &mut Vec<Finding>) {
        let edited = |b: &BudgetId| {
            edits.iter().any(|e| e.header.strip_prefix("budget ") == Some(b.as_str()))
        };
        for e in edits.iter().filter(|e| e.body.is_none()) {
            let (kind, name) = e.header.split_once(' ').unwrap_or((&e.header, ""));
            let dependent_budgets: Vec<&BudgetId> = match kind {
                "organisation" => {
                    self.budgets_of(name).map(|b| &b.id).filter(|b| !edited(b)).collect()
                }
                "service" => {
                    let names = |b: &&super::Budget| b.services.iter().any(|s| s.as_str() == name);
                    self.budgets
                        .iter()
                        .filter(names)
                        .map(|b| &b.id)
                        .filter(|b| !edited(b))
                        .collect()
                }
                _ => continue,
            };
            let depends =
                merged.services.iter().filter(|s| s.depends.iter().any(|d| d.as_str() == name));
            let message = |dependent: String| {
                format!("{} cannot be removed: {dependent} refers to it", e.header)
            };
            findings.extend(
                dependent_budgets
                    .first()
                    .map(|b| Finding { line: 0, message: message(format!("budget {b}")) }),
            );
            if kind == "service" {
                findings.extend(
                    depends.map(|s| Finding {
                        line: 0,
                        message: message(format!("service {}", s.id)),
                    }),
                );
            }
        }
    }

    /// The budgets whose prepaid amount the edits reduce, and those that they remove or add.
    pub fn ledger_checks(&self, edits: &[Edit], parsed: &Config) -> Vec<LedgerCheck> {
        let check = |e: &Edit| {
            let budget: BudgetId = e.header.strip_prefix("budget ")?.parse().ok()?;
            let previous = self.budget(&budget).map(|b| b.prepaid);
            let prepaid = parsed.budget(&budget).map(|b| b.prepaid);
            let is_reduction = previous.is_some() && prepaid < previous;
            (is_reduction || previous.is_none()).then_some(LedgerCheck {
                budget,
                prepaid,
                is_reduction,
            })
        };
        edits.iter().filter_map(check).collect()
    }
}
