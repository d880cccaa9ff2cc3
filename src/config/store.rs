//! Stores the configuration in the platform as submissions, revisions and snapshots, and keeps a
//! local copy up to date.

use std::collections::VecDeque;
use std::sync::RwLock;

use compact_str::{CompactString, format_compact};

use super::Config;
use super::revision::{Document, Edit, Head, LedgerCheck, RevisionRow};
use crate::budget::actor::versioned;
use crate::budget::ledger::{BudgetRow, Versioned, budget_key};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Revision};
use crate::table::{Mutation, Outcome, Platform, Row, RowKey, Table, Txn, Version, read_one};

/// Key of the row that names the newest revision.
const HEAD_KEY: &str = "config/head";
/// Key of the row that names the newest snapshot.
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Number of revisions from one snapshot to the next.
const REVISIONS_PER_SNAPSHOT: u64 = 64;
/// The most bytes of edits stored in a row; larger edits are stored in an object.
const MAX_ROW_BYTES: usize = 64 * 1024;
/// The most rows in one scan or read.
const MAX_ROWS_PER_READ: usize = 200;

fn revision_key(revision: Revision) -> RowKey {
    format_compact!("config/rev/{:020}", revision.0)
}

fn submission_key(id: &str) -> RowKey {
    format_compact!("config/sub/{id}")
}

/// The table row that names a snapshot object.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct SnapshotRow {
    revision: Revision,
    object: CompactString,
}

/// A set of edits submitted by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Submission {
    /// Idempotency key, chosen by the submitter. Retrying a submission under the same id returns
    /// the first outcome.
    pub id: CompactString,
    /// The revision that the edits are based on.
    pub base: Revision,
    /// Changed and removed sections.
    pub edits: Vec<Edit>,
    /// Whether to accept the edits although there are newer revisions, if these changed none of the
    /// same sections.
    pub merge: bool,
}

/// Reads the row that names the newest revision.
///
/// # Errors
/// `PlatformAway`, or `BadFormat` for a row that cannot be decoded.
pub async fn read_head<T: Table>(table: &T) -> Result<Versioned<Head>> {
    versioned(read_one(table, HEAD_KEY).await?.as_ref())
}

/// Reads revisions after `from`, one page at most, with edits that are stored in objects.
///
/// # Errors
/// `PlatformAway`, or `BadFormat` for a row that cannot be decoded.
pub async fn read_revisions<P: Platform>(platform: &P, from: Revision) -> Result<Vec<RevisionRow>> {
    let rows = platform.scan("config/rev/".into(), revision_key(from), MAX_ROWS_PER_READ).await?;
    let mut out = Vec::with_capacity(rows.len());
    for row in &rows {
        let mut r: RevisionRow = row.decode()?;
        if let Some(object) = r.object.take() {
            let data = platform.get(object).await?;
            r.edits = serde_json::from_slice(&data)?;
        }
        out.push(r);
    }
    Ok(out)
}

/// The most recent revisions kept in memory for routers that cannot reach the platform.
const MAX_RECENT_REVISIONS: usize = 256;
/// The most bytes of edits in a revision that is kept in memory. Other routers must read a larger
/// one from the platform.
const MAX_RECENT_EDIT_BYTES: usize = 256 * 1024;

/// A local copy of the configuration that is updated revision by revision.
#[derive(Debug, Default)]
pub struct ConfigFollower {
    doc: Document,
    head: Head,
    recent: VecDeque<RevisionRow>,
}

impl ConfigFollower {
    /// The revision of the local copy, with its digest.
    pub fn head(&self) -> Head {
        self.head
    }

    /// The text of the local copy.
    pub fn document(&self) -> &Document {
        &self.doc
    }

    /// Applies the next revision, and returns whether the configuration changed. A revision that is
    /// not newer, from a stale read or a peer that lags behind, is ignored. One that skips a
    /// revision is rejected until those in between are applied.
    ///
    /// # Errors
    /// `Conflict` when revisions in between are missing, `BadFormat` when a digest does not match,
    /// `BadConfig` when the edits are invalid; the configuration is then unchanged.
    pub fn apply(&mut self, row: &RevisionRow, cfg: &RwLock<Config>) -> Result<bool> {
        if row.revision <= self.head.revision {
            return Ok(false);
        }
        if row.revision.0 != self.head.revision.0 + 1 {
            let message = format!(
                "revision {} does not directly follow revision {}",
                row.revision, self.head.revision
            );
            return Err(Error::new(Kind::Conflict, message));
        }
        if row.before != self.head.digest {
            let message =
                format!("revision {} is based on content with another digest", row.revision);
            return Err(Error::new(Kind::BadFormat, message));
        }
        let inverse = self.inverse(&row.edits);
        self.doc.apply(&row.edits);
        if self.doc.digest() != row.after {
            self.doc.apply(&inverse);
            let message =
                format!("content after revision {} does not match its digest", row.revision);
            return Err(Error::new(Kind::BadFormat, message));
        }
        let mut cfg = cfg.write().expect("the configuration lock is never poisoned");
        if let Err(e) = cfg.apply(&row.edits) {
            self.doc.apply(&inverse);
            return Err(e);
        }
        cfg.revision = row.revision;
        self.head = Head { revision: row.revision, digest: row.after };
        self.keep_recent(row);
        Ok(true)
    }

    fn keep_recent(&mut self, row: &RevisionRow) {
        let bytes: usize = row.edits.iter().map(|e| e.body.as_ref().map_or(0, String::len)).sum();
        if bytes > MAX_RECENT_EDIT_BYTES {
            return self.recent.clear();
        }
        self.recent.push_back(row.clone());
        if self.recent.len() > MAX_RECENT_REVISIONS {
            self.recent.pop_front();
        }
    }

    /// Recent revisions after `from` without gaps, or none when the first of them is no longer in
    /// memory.
    pub fn revisions_after(&self, from: Revision) -> Vec<RevisionRow> {
        let first = self.recent.front().map_or(u64::MAX, |r| r.revision.0);
        if first > from.0 + 1 {
            return Vec::new();
        }
        self.recent.iter().filter(|r| r.revision > from).cloned().collect()
    }

    fn inverse(&self, edits: &[Edit]) -> Vec<Edit> {
        let previous = |e: &Edit| Edit {
            header: e.header.clone(),
            body: self.doc.section(&e.header).map(String::from),
        };
        edits.iter().map(previous).collect()
    }

    /// Reads and applies all newer revisions from the platform. Returns the revision then in force.
    ///
    /// # Errors
    /// `PlatformAway`; `BadFormat` for content that cannot be decoded. What was applied before
    /// stays in force.
    pub async fn catch_up<P: Platform>(
        &mut self,
        platform: &P,
        cfg: &RwLock<Config>,
    ) -> Result<Revision> {
        if self.head.revision == Revision(0) {
            self.load_snapshot(platform, cfg).await?;
        }
        loop {
            let page = read_revisions(platform, self.head.revision).await?;
            for row in &page {
                self.apply(row, cfg)?;
            }
            if page.len() < MAX_ROWS_PER_READ {
                return Ok(self.head.revision);
            }
        }
    }

    /// Loads the newest snapshot. A damaged snapshot is logged and skipped, since all revisions are
    /// still stored.
    async fn load_snapshot<P: Platform>(
        &mut self,
        platform: &P,
        cfg: &RwLock<Config>,
    ) -> Result<()> {
        let Some(row) = read_one(platform, SNAPSHOT_KEY).await? else { return Ok(()) };
        let row: SnapshotRow = row.decode()?;
        let data = platform.get(row.object.clone()).await?;
        match read_snapshot(&data) {
            Ok((revision, doc, parsed)) => {
                self.head = Head { revision, digest: doc.digest() };
                self.doc = doc;
                *cfg.write().expect("the configuration lock is never poisoned") = parsed;
                Ok(())
            }
            Err(e) => {
                log::error!("config=bad_snapshot object={} error={:?}", row.object, e.message);
                Ok(())
            }
        }
    }
}

fn read_snapshot(data: &[u8]) -> Result<(Revision, Document, Config)> {
    let (revision, doc) = Document::from_snapshot(data)?;
    let bad = |findings: Vec<_>| super::ini::findings_error("snapshot", &findings);
    let mut cfg = super::parse::parse(&doc.text()).map_err(bad)?;
    cfg.revision = revision;
    Ok((revision, doc, cfg))
}

/// Validates a submission against `follower` after catching up, and writes it in one transaction.
/// Returns the accepted revision.
///
/// # Errors
/// `BadConfig` with findings; `Conflict` when there are newer revisions than the base, with the
/// sections they changed, or when a prepaid amount would fall below the tokens already committed;
/// `PlatformAway` when it is unknown whether the submission was accepted, in which case it can be
/// retried under the same id.
pub async fn submit<P: Platform>(
    platform: &P,
    follower: &mut ConfigFollower,
    cfg: &RwLock<Config>,
    submission: &Submission,
) -> Result<Revision> {
    loop {
        if let Some(accepted) = find_submission(platform, &submission.id).await? {
            follower.catch_up(platform, cfg).await?;
            return Ok(accepted);
        }
        follower.catch_up(platform, cfg).await?;
        let head = read_head(platform).await?;
        if head.row != follower.head() {
            continue;
        }
        check_base(platform, submission, head.row.revision).await?;
        let txn = build_txn(platform, follower, cfg, submission, &head).await?;
        // The head's version is part of the transaction id: retrying the same attempt returns its
        // outcome, while a new attempt after a conflict is a new transaction.
        match platform.write(txn).await? {
            Outcome::Committed(_) => {
                follower.catch_up(platform, cfg).await?;
                write_snapshot(platform, follower).await;
                return Ok(Revision(head.row.revision.0 + 1));
            }
            Outcome::Conflict(_) => {}
        }
    }
}

async fn find_submission<T: Table>(table: &T, id: &str) -> Result<Option<Revision>> {
    let row = read_one(table, submission_key(id)).await?;
    row.map(|r: Row| r.decode()).transpose()
}

/// Accepts a submission based on the head. For one based on an older revision, the error contains
/// what changed since, unless the submission allows a merge and no section was changed by both.
async fn check_base<P: Platform>(
    platform: &P,
    submission: &Submission,
    head: Revision,
) -> Result<()> {
    if submission.base == head {
        return Ok(());
    }
    if submission.base > head {
        return Err(Error::new(
            Kind::Conflict,
            format!("base revision {} is newer than the head revision {head}", submission.base),
        ));
    }
    let since = read_revisions(platform, submission.base).await?;
    let concurrent = since.iter().flat_map(|r| r.edits.iter().map(move |e| (r.revision, e)));
    let overlapping: Vec<_> = concurrent
        .clone()
        .filter(|(_, e)| submission.edits.iter().any(|m| m.header == e.header))
        .collect();
    if submission.merge && overlapping.is_empty() {
        return Ok(());
    }
    let shown: Vec<String> = if overlapping.is_empty() {
        concurrent.take(50).map(describe_edit).collect()
    } else {
        overlapping.into_iter().map(describe_edit).collect()
    };
    let message = format!(
        "the head revision is {head}, not {}; changed since:\n{}",
        submission.base,
        shown.join("\n")
    );
    Err(Error::new(Kind::Conflict, message))
}

fn describe_edit((revision, e): (Revision, &Edit)) -> String {
    match &e.body {
        Some(body) => format!("revision {revision}: [{}]\n{}", e.header, body.trim_end()),
        None => format!("revision {revision}: [{}] removed", e.header),
    }
}

async fn build_txn<P: Platform>(
    platform: &P,
    follower: &ConfigFollower,
    cfg: &RwLock<Config>,
    submission: &Submission,
    head: &Versioned<Head>,
) -> Result<Txn> {
    let checks = {
        let cfg = cfg.read().expect("the configuration lock is never poisoned");
        let parsed = cfg.check(&submission.edits)?;
        cfg.ledger_checks(&submission.edits, &parsed)
    };
    let revision = Revision(head.row.revision.0 + 1);
    let mut after = follower.document().clone();
    after.apply(&submission.edits);
    let row = revision_row(platform, submission, revision, head.row.digest, after.digest()).await?;
    let new_head = Head { revision, digest: after.digest() };
    let mut mutation = Mutation::default()
        .guard(HEAD_KEY, head.version)
        .guard(submission_key(&submission.id), None);
    mutation = mutation
        .put(HEAD_KEY, &new_head)
        .put(revision_key(revision), &row)
        .put(submission_key(&submission.id), &revision);
    for page in checks.chunks(MAX_ROWS_PER_READ) {
        mutation = check_ledger(platform, page, revision, mutation).await?;
    }
    let version = head.version.unwrap_or(Version(0));
    Ok(Txn {
        id: format_compact!("submit/{}/{}", submission.id, version.0),
        mutations: vec![mutation],
    })
}

/// Rejects a prepaid amount below the tokens already committed. Writes the new revision to the
/// ledger rows of the budgets, so that a router which still runs an older revision grants nothing
/// under the larger amount. A budget may be removed although it has committed tokens, because these
/// were prepaid when they were granted.
async fn check_ledger<T: Table>(
    table: &T,
    page: &[LedgerCheck],
    revision: Revision,
    mutation: Mutation,
) -> Result<Mutation> {
    let rows = table.read(page.iter().map(|check| budget_key(&check.budget)).collect()).await?;
    let mut mutation = mutation;
    for check in page {
        let key = budget_key(&check.budget);
        let previous: Versioned<BudgetRow> = versioned(rows.iter().find(|r| r.key == key))?;
        if let Some(prepaid) = check.prepaid
            && previous.row.committed > prepaid
        {
            let message = format!(
                "budget {}: {} tokens are settled or granted, so {} is the lowest prepaid amount possible now",
                check.budget, previous.row.committed, previous.row.committed
            );
            return Err(Error::new(Kind::Conflict, message));
        }
        if check.is_reduction || previous.version.is_some() {
            mutation = mutation
                .guard(key.clone(), previous.version)
                .put(key, &BudgetRow { floor: revision, ..previous.row });
        }
    }
    Ok(mutation)
}

async fn revision_row<P: Platform>(
    platform: &P,
    submitted: &Submission,
    revision: Revision,
    before: Digest,
    after: Digest,
) -> Result<RevisionRow> {
    let row = RevisionRow {
        revision,
        submission: submitted.id.clone(),
        before,
        after,
        edits: submitted.edits.clone(),
        object: None,
    };
    let data = serde_json::to_vec(&submitted.edits)?;
    if data.len() <= MAX_ROW_BYTES {
        return Ok(row);
    }
    let object = format_compact!("config/edits/{}", Digest::of(&data));
    platform.put(object.clone(), data).await?;
    Ok(RevisionRow { edits: Vec::new(), object: Some(object), ..row })
}

/// Writes a snapshot every [`REVISIONS_PER_SNAPSHOT`] revisions. A failure is harmless, because all
/// revisions are stored and a later snapshot follows.
async fn write_snapshot<P: Platform>(platform: &P, follower: &ConfigFollower) {
    let revision = follower.head().revision;
    if !revision.0.is_multiple_of(REVISIONS_PER_SNAPSHOT) {
        return;
    }
    if let Err(e) = try_snapshot(platform, follower, revision).await {
        log::warn!("config=no_snapshot revision={revision} error={:?}", e.message);
    }
}

async fn try_snapshot<P: Platform>(
    platform: &P,
    follower: &ConfigFollower,
    revision: Revision,
) -> Result<()> {
    let object = format_compact!("config/snap/{revision}");
    platform.put(object.clone(), follower.document().snapshot(revision)).await?;
    let row = read_one(platform, SNAPSHOT_KEY).await?;
    let mutation = Mutation::default().guard(SNAPSHOT_KEY, row.map(|r| r.version));
    let mutation = mutation.put(SNAPSHOT_KEY, &SnapshotRow { revision, object });
    let id = format_compact!("snapshot/{revision}");
    platform.write(Txn { id, mutations: vec![mutation] }).await.map(drop)
}
