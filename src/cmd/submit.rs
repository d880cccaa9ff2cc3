//! `kingcupwall submit`: hands in a configuration, whole or as edits.

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

/// Hand in a configuration; prints revision=N
///
/// Exit code 13 means that another submission came first: the difference is printed, nothing was
/// taken.
///
/// Example: kingcupwall submit fleet.ini --base 41 --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("submit"))]
pub struct Args {
    /// A router's address
    #[bpaf(argument("ADDR"))]
    router: String,
    /// The operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// The revision that the file was edited from; the first configuration has base 0
    #[bpaf(argument("REVISION"))]
    base: Revision,
    /// The file holds only changed sections; one whose only line is "remove" is removed
    edits: bool,
    /// Accept a newer head when it changed none of the same sections
    merge: bool,
    /// Id of this submission, for repeating it safely; made up from the content when absent
    #[bpaf(argument("ID"))]
    id: Option<CompactString>,
    /// Print nothing but errors
    #[bpaf(short, long)]
    quiet: bool,
    /// The configuration
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
            let changed = self.changes_since(operator).await?;
            let message =
                format!("the head is {revision}, not {}; changed since:\n{changed}", self.base);
            return Err(Error::new(Kind::Conflict, message));
        }
        let old = Document::parse(head["text"].as_str().unwrap_or_default());
        Ok(old.diff(&new))
    }

    async fn changes_since(&self, operator: &OperatorClient) -> Result<String> {
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
/// `BadConfig` with findings, `Conflict`, or `Io`.
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
