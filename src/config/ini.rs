//! INI text to sections, every line number kept.

use std::fmt;
use std::str::FromStr;

use ini_core::{Item, Parser};

use crate::error::{Error, Kind, Result};

/// One thing that is wrong in a file, and what would be right.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Line, counted from 1.
    pub line: u32,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

/// Turns findings into one error, a `file:line: message` line each.
pub fn findings_error(file: &str, findings: &[Finding]) -> Error {
    let lines: Vec<String> = findings.iter().map(|x| format!("{file}:{x}")).collect();
    Error::new(Kind::BadConfig, lines.join("\n"))
}

/// A `key = value` line.
#[derive(Clone, Debug)]
pub struct KeyValue<'a> {
    /// Left of the equals sign.
    pub key: &'a str,
    /// Right of it.
    pub value: &'a str,
    /// Where it stands.
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
    /// In the order of the file.
    pub entries: Vec<KeyValue<'a>>,
}

/// Splits `text` into sections.
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
                    message: format!("{key:?} stands before any [section]"),
                }),
            },
            Item::Property(text, None) if text.starts_with('#') || text.is_empty() => {}
            Item::Property(text, None) | Item::Error(text) => {
                let message = format!("{text:?} is neither [section], key = value nor a ; comment");
                findings.push(Finding { line, message });
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    out
}

/// Reads typed values out of a section, and finds keys that nobody asked for.
pub struct SectionReader<'a, 'f> {
    section: &'a Section<'a>,
    read_keys: Vec<&'static str>,
    findings: &'f mut Vec<Finding>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    /// A reader of `section` that reports to `findings`.
    pub fn new(section: &'a Section<'a>, findings: &'f mut Vec<Finding>) -> SectionReader<'a, 'f> {
        SectionReader { section, read_keys: Vec::new(), findings }
    }

    /// Reports a mistake at `line`.
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
                format!("{key} stands twice in [{} {}]", section.kind, section.name),
            );
        }
        first
    }

    /// The value of `key`, if there is one.
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

    /// The value of `key`, or `default`.
    pub fn value_or<T: FromStr<Err = Error>>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// The value of `key`; its absence is a mistake.
    pub fn required<T: FromStr<Err = Error>>(&mut self, key: &'static str) -> Option<T> {
        if !self.section.entries.iter().any(|e| e.key == key) {
            let message =
                format!("[{} {}] needs {key} = ...", self.section.kind, self.section.name);
            self.report(self.section.line, message);
        }
        self.optional(key)
    }

    /// A comma-separated list; empty when the key is absent.
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

    /// The line of `key`, or of the section's header.
    pub fn line(&self, key: &str) -> u32 {
        self.section.entries.iter().find(|e| e.key == key).map_or(self.section.line, |e| e.line)
    }

    /// Reports keys that were not read.
    pub fn finish(self) {
        for e in &self.section.entries {
            if !self.read_keys.contains(&e.key) {
                let known = self.read_keys.join(", ");
                let message =
                    format!("unknown key {:?} in [{}]; known: {known}", e.key, self.section.kind);
                self.findings.push(Finding { line: e.line, message });
            }
        }
    }
}

/// A whole number that parses with our errors.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Count(pub u64);

impl FromStr for Count {
    type Err = Error;

    fn from_str(s: &str) -> Result<Count> {
        s.parse()
            .map(Count)
            .map_err(|_| Error::new(Kind::BadRequest, format!("{s:?} is no whole number")))
    }
}

/// A share of a whole, written `12%`, kept in per mille.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct PerMille(pub u32);

impl FromStr for PerMille {
    type Err = Error;

    fn from_str(s: &str) -> Result<PerMille> {
        let bad = || Error::new(Kind::BadRequest, format!("{s:?} is no share like 12% or 0.5%"));
        let n: f64 = s.strip_suffix('%').ok_or_else(bad)?.trim().parse().map_err(|_| bad())?;
        if !(0.0..=100.0).contains(&n) {
            return Err(bad());
        }
        Ok(PerMille((n * 10.0).round() as u32))
    }
}

/// Text without further rules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Text(pub compact_str::CompactString);

impl FromStr for Text {
    type Err = Error;

    fn from_str(s: &str) -> Result<Text> {
        Ok(Text(s.into()))
    }
}
