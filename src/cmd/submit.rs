//! `kingcupwall submit`: submits a configuration, either the whole file or only changed sections.

use bpaf::Bpaf;
use compact_str::CompactString;
use serde_json::Value;

use super::{block_on, read_text};
use crate::config::ini::findings_error;
use crate::config::parse::parse;
use crate::config::revision::{Document, parse_edits};
use crate::config::store::Submission;
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Revision};
use crate::operator::OperatorClient;

/// Submit a configuration; prints revision=N
///
/// Exit code 13 means that there is a newer revision than the base. Nothing was changed, and the
/// sections that changed since the base are printed.
///
/// Example: kingcupwall submit fleet.ini --base 41 --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("submit"))]
pub struct Args {
    /// Address of a router, as IP:PORT
    #[bpaf(argument("ADDR"))]
    router: String,
    /// Operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// Revision that the file is based on; 0 for the first configuration
    #[bpaf(argument("REVISION"))]
    base: Revision,
    /// The file contains only changed sections; a section whose only line is "remove" is removed
    edits: bool,
    /// Accept that there is a newer revision if it changed none of the same sections
    merge: bool,
    /// Id of this submission, which makes retries idempotent; derived from the content if absent
    #[bpaf(argument("ID"))]
    id: Option<CompactString>,
    /// Print only errors
    #[bpaf(short, long)]
    quiet: bool,
    /// Configuration file, or with --edits the file with changed sections
    #[bpaf(positional("FILE"))]
    file: String,
}

impl Args {
    async fn submission(&self, operator: &OperatorClient) -> Result<Submission> {
        let text = read_text(&self.file)?;
        let edits =
            if self.edits { parse_edits(&text) } else { self.diff(operator, &text).await? };
        let content = format!("{} {}", self.base, serde_json::to_string(&edits)?);
        let id = self
            .id
            .clone()
            .unwrap_or_else(|| CompactString::from(Digest::of(content.as_bytes()).to_string()));
        Ok(Submission { id, base: self.base, edits, merge: self.merge })
    }

    /// Returns the edits from the base to `text`. The base must be the current revision.
    async fn diff(
        &self,
        operator: &OperatorClient,
        text: &str,
    ) -> Result<Vec<crate::config::revision::Edit>> {
        parse(text).map_err(|f| findings_error(&self.file, &f))?;
        let new = Document::parse(text);
        if self.base == Revision(0) {
            return Ok(Document::default().diff(&new));
        }
        let head: Value = operator.get("config").await?;
        let revision = Revision(head["revision"].as_u64().unwrap_or(0));
        if revision != self.base {
            let changed = self.changes_since_base(operator).await?;
            let message = format!(
                "the current revision is {revision}, not the base {}; changed since:\n{changed}",
                self.base
            );
            return Err(Error::new(Kind::Conflict, message));
        }
        let old = Document::parse(head["text"].as_str().unwrap_or_default());
        Ok(old.diff(&new))
    }

    /// Formats the sections that were changed after the base.
    async fn changes_since_base(&self, operator: &OperatorClient) -> Result<String> {
        let rows: Vec<Value> = operator.get(&format!("revisions?after={}", self.base)).await?;
        let lines = rows.iter().flat_map(|r| {
            let edits = r["edits"].as_array().cloned().unwrap_or_default();
            edits.into_iter().map(move |e| {
                let body = e["body"].as_str().map_or("removed".into(), str::to_string);
                format!(
                    "revision {}: [{}]\n{}",
                    r["revision"],
                    e["header"].as_str().unwrap_or(""),
                    body.trim_end()
                )
            })
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }
}

/// Runs the command.
///
/// # Errors
/// `BadConfig` with all errors in the file, `Conflict` if there is a newer revision, or `Io`.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let operator = OperatorClient::new(&args.router, &args.key)?;
        let submission = args.submission(&operator).await?;
        let revision = operator.submit(&submission).await?;
        if !args.quiet {
            println!("revision={revision}");
        }
        Ok(())
    })
}
