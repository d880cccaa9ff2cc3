//! Revisions of the configuration as sets of edited sections.
//!
//! A small edit stays small whatever the size of the whole: a revision carries only the sections
//! that changed, and the digest of the whole is a sum over its sections, so that it can be kept
//! up to date in the time of the edit.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ini::{Finding, findings_error, sections};
use super::parse::{check_references, read_section};
use super::{Config, order_key};
use crate::error::{Error, Kind, Result};
use crate::ids::{BudgetId, Digest, Revision, Tokens};

/// First word of a snapshot, followed by its format version.
const SNAPSHOT_MAGIC: &str = "kingcupwall-snapshot";
/// The snapshot format that this program writes, and the newest that it reads.
const SNAPSHOT_FORMAT: u32 = 1;

/// A change of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    /// What stands between the brackets, such as `budget acme/main`.
    pub header: CompactString,
    /// The lines below it; `None` removes the section.
    pub body: Option<String>,
}

/// The row of one accepted revision.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionRow {
    /// The revision that the edits lead to.
    pub revision: Revision,
    /// Id of the submission, for finding a lost answer.
    pub submission: CompactString,
    /// Digest of the whole before the edits.
    pub before: Digest,
    /// Digest of the whole after the edits.
    pub after: Digest,
    /// The edits, or none when they are in [`RevisionRow::object`].
    pub edits: Vec<Edit>,
    /// Object with the edits, when they are too large for a row.
    pub object: Option<CompactString>,
}

/// The row that names the revision in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Head {
    /// The newest accepted revision.
    pub revision: Revision,
    /// Digest of the whole.
    pub digest: Digest,
}

impl Default for Head {
    fn default() -> Head {
        Head { revision: Revision(0), digest: Digest::from_u128(0) }
    }
}

/// A whole configuration text by section, with its running digest.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Sections in header order.
    sections: Vec<(CompactString, Box<str>)>,
    sum: u128,
}

fn section_number(header: &str, body: &str) -> u128 {
    Digest::of(format!("[{header}]\n{body}").as_bytes()).to_u128()
}

impl Document {
    /// Splits a text. Comments stay with the section above them; what stands before the first
    /// section is dropped.
    pub fn parse(text: &str) -> Document {
        let mut doc = Document::default();
        let edits = split(text).into_iter().map(|(header, body)| Edit { header, body: Some(body) });
        doc.apply(&edits.collect::<Vec<_>>());
        doc
    }

    /// The digest of the whole.
    pub fn digest(&self) -> Digest {
        Digest::from_u128(self.sum)
    }

    /// The body of a section.
    pub fn section(&self, header: &str) -> Option<&str> {
        let place = self.sections.binary_search_by(|(h, _)| h.as_str().cmp(header)).ok()?;
        Some(&self.sections[place].1)
    }

    /// Applies edits; the digest follows.
    pub fn apply(&mut self, edits: &[Edit]) {
        if edits.len() > 1_000 && edits.len() > self.sections.len() / 8 {
            return self.apply_many(edits);
        }
        edits.iter().for_each(|e| self.apply_one(e));
    }

    fn apply_one(&mut self, edit: &Edit) {
        let found = self.sections.binary_search_by(|(h, _)| h.cmp(&edit.header));
        if let Ok(place) = found {
            let (header, body) = &self.sections[place];
            self.sum = self.sum.wrapping_sub(section_number(header, body));
        }
        if let Some(body) = &edit.body {
            self.sum = self.sum.wrapping_add(section_number(&edit.header, body));
        }
        match (found, &edit.body) {
            (Ok(place), Some(body)) => self.sections[place].1 = body.as_str().into(),
            (Ok(place), None) => drop(self.sections.remove(place)),
            (Err(place), Some(body)) => {
                self.sections.insert(place, (edit.header.clone(), body.as_str().into()));
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
        let numbers = self.sections.iter().map(|(h, b)| section_number(h, b));
        self.sum = numbers.fold(0, u128::wrapping_add);
    }

    /// The edits that lead from this document to `other`.
    pub fn diff(&self, other: &Document) -> Vec<Edit> {
        let gone = self.sections.iter().filter(|(h, _)| other.section(h).is_none());
        let gone = gone.map(|(h, _)| Edit { header: h.clone(), body: None });
        let new = other.sections.iter().filter(|(h, b)| self.section(h) != Some(b));
        let new = new.map(|(h, b)| Edit { header: h.clone(), body: Some(b.to_string()) });
        gone.chain(new).collect()
    }

    /// The whole as text, sections in header order.
    pub fn text(&self) -> String {
        let part = |(h, b): &(CompactString, Box<str>)| format!("[{h}]\n{b}");
        self.sections.iter().map(part).collect()
    }

    /// The whole as a snapshot: a line with format, revision and digest, then the text.
    pub fn snapshot(&self, revision: Revision) -> Vec<u8> {
        let first = format!("{SNAPSHOT_MAGIC} {SNAPSHOT_FORMAT} {revision} {}\n", self.digest());
        (first + &self.text()).into_bytes()
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    /// `BadFormat` for one that is damaged, cut short, or of a newer format.
    pub fn from_snapshot(data: &[u8]) -> Result<(Revision, Document)> {
        let bad = |what: &str| Error::new(Kind::BadFormat, format!("snapshot: {what}"));
        let text = std::str::from_utf8(data).map_err(|_| bad("not UTF-8"))?;
        let (first, rest) =
            text.split_once('\n').ok_or_else(|| bad("cut short in its first line"))?;
        let words: Vec<&str> = first.split(' ').collect();
        let [SNAPSHOT_MAGIC, format, revision, digest] = words[..] else {
            return Err(bad("first line is no snapshot header"));
        };
        let format: u32 = format.parse().map_err(|_| bad("format is no number"))?;
        if format > SNAPSHOT_FORMAT {
            return Err(bad(&format!(
                "format {format} is newer than {SNAPSHOT_FORMAT}, update this program"
            )));
        }
        let doc = Document::parse(rest);
        if doc.digest() != digest.parse()? {
            return Err(bad("content does not match its digest; it is damaged or cut short"));
        }
        Ok((revision.parse()?, doc))
    }
}

/// Splits a text into `(header, body)` pairs.
fn split(text: &str) -> Vec<(CompactString, String)> {
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

/// The edits in a file that holds only changed sections. A section whose only line is `remove`
/// is removed.
pub fn parse_edits(text: &str) -> Vec<Edit> {
    let edit = |(header, body): (CompactString, String)| match body.trim() {
        "remove" => Edit { header, body: None },
        _ => Edit { header, body: Some(body) },
    };
    split(text).into_iter().map(edit).collect()
}

/// A budget whose ledger row has to be looked at before an edit is accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerCheck {
    /// The budget.
    pub budget: BudgetId,
    /// The new prepaid amount; `None`: the budget is removed.
    pub prepaid: Option<Tokens>,
    /// Whether routers may know a larger amount.
    pub lowers: bool,
}

impl Config {
    /// Applies edits to a configuration.
    ///
    /// # Errors
    /// `BadConfig` with every finding; the configuration is then unchanged.
    pub fn apply(&mut self, edits: &[Edit]) -> Result<()> {
        let parsed = self.check(edits)?;
        for e in edits {
            self.remove(&e.header);
        }
        let many = parsed.budgets.len() > 1_000;
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
        if many {
            self.budgets.extend(parsed.budgets);
            self.budgets.sort_by(super::budget_order);
            return Ok(());
        }
        for b in parsed.budgets {
            let place = self.budgets.partition_point(|x| order_key(&x.id) < order_key(&b.id));
            self.budgets.insert(place, b);
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
                    && let Ok(place) =
                        self.budgets.binary_search_by(|b| order_key(&b.id).cmp(&order_key(&id)))
                {
                    self.budgets.remove(place);
                }
            }
            _ => {}
        }
    }

    /// Parses edits and checks that the configuration holds together after them.
    ///
    /// # Errors
    /// `BadConfig` with every finding.
    pub fn check(&self, edits: &[Edit]) -> Result<Config> {
        let text: String = edits
            .iter()
            .filter_map(|e| e.body.as_ref().map(|b| format!("[{}]\n{b}", e.header)))
            .collect();
        let mut findings = Vec::new();
        let parts = sections(&text, &mut findings);
        let mut parsed = Config::default();
        parts.iter().for_each(|s| read_section(s, &mut parsed, &mut findings));
        parsed.index();
        let mut known = Config {
            services: self.services.clone(),
            organisations: self.organisations.clone(),
            ..Config::default()
        };
        for e in edits.iter().filter(|e| !e.header.starts_with("budget ")) {
            known.remove(&e.header);
        }
        known.services.extend(parsed.services.iter().cloned());
        known.organisations.extend(parsed.organisations.iter().cloned());
        known.index();
        check_references(&parts, &known, &mut findings);
        self.check_removed(edits, &known, &mut findings);
        if findings.is_empty() { Ok(parsed) } else { Err(findings_error("edit", &findings)) }
    }

    /// A removed organisation or service must not be named by what stays.
    fn check_removed(&self, edits: &[Edit], known: &Config, findings: &mut Vec<Finding>) {
        let edited = |b: &BudgetId| {
            edits.iter().any(|e| e.header.strip_prefix("budget ") == Some(b.as_str()))
        };
        for e in edits.iter().filter(|e| e.body.is_none()) {
            let (kind, name) = e.header.split_once(' ').unwrap_or((&e.header, ""));
            let users: Vec<&BudgetId> = match kind {
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
                known.services.iter().filter(|s| s.depends.iter().any(|d| d.as_str() == name));
            let message = |who: String| format!("{} cannot go: {who} needs it", e.header);
            findings.extend(
                users.first().map(|b| Finding { line: 0, message: message(format!("budget {b}")) }),
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

    /// The budgets that edits lower, remove, or bring back after a removal.
    pub fn ledger_checks(&self, edits: &[Edit], parsed: &Config) -> Vec<LedgerCheck> {
        let check = |e: &Edit| {
            let budget: BudgetId = e.header.strip_prefix("budget ")?.parse().ok()?;
            let was = self.budget(&budget).map(|b| b.prepaid);
            let prepaid = parsed.budget(&budget).map(|b| b.prepaid);
            let lowers = was.is_some() && prepaid < was;
            (lowers || was.is_none()).then_some(LedgerCheck { budget, prepaid, lowers })
        };
        edits.iter().filter_map(check).collect()
    }
}
