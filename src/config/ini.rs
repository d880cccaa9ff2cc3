//! Splits INI text into sections and reads typed values from them, with a line number for every
//! error.

use std::fmt;
use std::str::FromStr;

use ini_core::{Item, Parser};

use crate::error::{Error, Kind, Result};

/// An error in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Line number, counted from 1; 0 when the error belongs to no line.
    pub line: u32,
    /// What is wrong with the line.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

/// Combines findings into one `BadConfig` error with a line `file:line: message` for each.
pub fn findings_error(file: &str, findings: &[Finding]) -> Error {
    let lines: Vec<String> = findings.iter().map(|x| format!("{file}:{x}")).collect();
    Error::new(Kind::BadConfig, lines.join("\n"))
}

/// A `key = value` line.
#[derive(Clone, Debug)]
pub struct KeyValue<'a> {
    /// The text before the equals sign.
    pub key: &'a str,
    /// The text after the equals sign.
    pub value: &'a str,
    /// Line number.
    pub line: u32,
}

/// A section: `[kind name]` and its entries.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    /// The first word of the header.
    pub kind: &'a str,
    /// The rest of the header; empty for a section without a name.
    pub name: &'a str,
    /// Line of the header.
    pub line: u32,
    /// The entries, in file order.
    pub entries: Vec<KeyValue<'a>>,
}

/// Splits `text` into sections, and adds a finding for each line that cannot be parsed.
pub fn parse_sections<'a>(text: &'a str, findings: &mut Vec<Finding>) -> Vec<Section<'a>> {
    let mut out: Vec<Section<'a>> = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    while let Some(item) = parser.next() {
        let line = parser.line();
        match item {
            Item::Section(header) => {
                let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
                out.push(Section { kind, name: name.trim(), line, entries: Vec::new() });
            }
            Item::Property(key, Some(value)) => match out.last_mut() {
                Some(s) => s.entries.push(KeyValue { key, value, line }),
                None => findings.push(Finding {
                    line,
                    message: format!("{key:?} appears before the first [section]"),
                }),
            },
            Item::Property(text, None) if text.starts_with('#') || text.is_empty() => {}
            Item::Property(text, None) | Item::Error(text) => {
                let message = format!("{text:?} is not a [section], key = value or ; comment line");
                findings.push(Finding { line, message });
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    out
}

/// Reads typed values from a section, and reports keys that were not read as unknown.
pub struct SectionReader<'a, 'f> {
    section: &'a Section<'a>,
    read_keys: Vec<&'static str>,
    findings: &'f mut Vec<Finding>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    /// A reader of `section` that adds its findings to `findings`.
    pub fn new(section: &'a Section<'a>, findings: &'f mut Vec<Finding>) -> SectionReader<'a, 'f> {
        SectionReader { section, read_keys: Vec::new(), findings }
    }

    /// Adds a finding for `line`.
    pub fn report(&mut self, line: u32, message: String) {
        self.findings.push(Finding { line, message });
    }

    fn entry(&mut self, key: &'static str) -> Option<&'a KeyValue<'a>> {
        self.read_keys.push(key);
        let section = self.section;
        let mut all = section.entries.iter().filter(|e| e.key == key);
        let first = all.next();
        if let Some(duplicate) = all.next() {
            self.report(
                duplicate.line,
                format!("{key} is set more than once in [{} {}]", section.kind, section.name),
            );
        }
        first
    }

    /// The value of `key`, or `None` when it is absent or, with a finding, invalid.
    pub fn optional<T: FromStr<Err = Error>>(&mut self, key: &'static str) -> Option<T> {
        let e = self.entry(key)?;
        match e.value.parse() {
            Ok(v) => Some(v),
            Err(error) => {
                self.report(e.line, format!("{key}: {}", error.message));
                None
            }
        }
    }

    /// The value of `key`, or `default` when it is absent or, with a finding, invalid.
    pub fn value_or<T: FromStr<Err = Error>>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// The value of `key`; adds a finding when it is absent or invalid.
    pub fn required<T: FromStr<Err = Error>>(&mut self, key: &'static str) -> Option<T> {
        if !self.section.entries.iter().any(|e| e.key == key) {
            let message =
                format!("[{} {}] is missing the key {key}", self.section.kind, self.section.name);
            self.report(self.section.line, message);
        }
        self.optional(key)
    }

    /// The comma-separated values of `key`; empty when the key is absent. Adds a finding for each
    /// invalid value.
    pub fn list<T: FromStr<Err = Error>>(&mut self, key: &'static str) -> Vec<T> {
        let Some(e) = self.entry(key) else { return Vec::new() };
        let mut out = Vec::new();
        for part in e.value.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.parse() {
                Ok(v) => out.push(v),
                Err(error) => {
                    let error: Error = error;
                    self.report(e.line, format!("{key}: {}", error.message));
                }
            }
        }
        out
    }

    /// The line number of `key`, or of the section's header when the key is absent.
    pub fn line(&self, key: &str) -> u32 {
        self.section.entries.iter().find(|e| e.key == key).map_or(self.section.line, |e| e.line)
    }

    /// Adds a finding for each key that was not read.
    pub fn finish(self) {
        for e in &self.section.entries {
            if !self.read_keys.contains(&e.key) {
                let known = self.read_keys.join(", ");
                let message = format!(
                    "unknown key {:?} in [{}]; known keys: {known}",
                    e.key, self.section.kind
                );
                self.findings.push(Finding { line: e.line, message });
            }
        }
    }
}

/// An unsigned integer that parses with this crate's error type.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Count(pub u64);

impl FromStr for Count {
    type Err = Error;

    fn from_str(s: &str) -> Result<Count> {
        s.parse()
            .map(Count)
            .map_err(|_| Error::new(Kind::BadRequest, format!("{s:?} is not a whole number")))
    }
}

/// A fraction, written as a percentage such as `12%` and stored in per mille.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct PerMille(pub u32);

impl FromStr for PerMille {
    type Err = Error;

    fn from_str(s: &str) -> Result<PerMille> {
        let bad = || {
            Error::new(
                Kind::BadRequest,
                format!("{s:?} is not a percentage from 0% to 100%, such as 12% or 0.5%"),
            )
        };
        let n: f64 = s.strip_suffix('%').ok_or_else(bad)?.trim().parse().map_err(|_| bad())?;
        if !(0.0..=100.0).contains(&n) {
            return Err(bad());
        }
        Ok(PerMille((n * 10.0).round() as u32))
    }
}

/// Any text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Text(pub compact_str::CompactString);

impl FromStr for Text {
    type Err = Error;

    fn from_str(s: &str) -> Result<Text> {
        Ok(Text(s.into()))
    }
}
