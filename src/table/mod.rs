//! Interfaces to the platform's services: a transactional table, an object store and an instance
//! list. [`http`] is the client of a real platform, [`memory`] the core of the stand-in platform.

pub mod committer;
pub mod http;
pub mod memory;

use std::future::Future;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::ids::ZoneId;

/// A row's key. Slashes separate its parts, so that rows can be scanned by prefix.
pub type RowKey = CompactString;

/// A row's version, which grows with every write of the row.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A row as read from the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// Version after the row's last write.
    pub version: Version,
    /// The row's content as JSON text.
    pub value: String,
}

impl Row {
    /// Decodes the value.
    ///
    /// # Errors
    /// `BadFormat` when the value is not the JSON of a `T`.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Result<T> {
        serde_json::from_str(&self.value)
            .map_err(|e| Error::new(Kind::BadFormat, format!("row {}: {e}", self.key)))
    }
}

/// A precondition on the version of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Guard {
    /// Key of the row to check.
    pub key: RowKey,
    /// The version that the row must have; `None` means that the row must not exist.
    pub version: Option<Version>,
}

/// A write or deletion of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Put {
    /// Key of the row to write.
    pub key: RowKey,
    /// The new content as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// A set of writes that is applied only if all its guards hold. Independent mutations share a
/// transaction only to save writes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Mutation {
    /// Preconditions, which must all hold.
    pub guards: Vec<Guard>,
    /// Writes, which are applied together or not at all.
    pub puts: Vec<Put>,
}

impl Mutation {
    /// Adds the precondition that `key` has `version`, or does not exist (`None`).
    pub fn guard(mut self, key: impl Into<RowKey>, version: Option<Version>) -> Mutation {
        self.guards.push(Guard { key: key.into(), version });
        self
    }

    /// Adds a write of `value` to `key`.
    pub fn put<T: Serialize>(mut self, key: impl Into<RowKey>, value: &T) -> Mutation {
        let value = serde_json::to_string(value).expect("row types serialize");
        self.puts.push(Put { key: key.into(), value: Some(value) });
        self
    }

    /// Adds a deletion of `key`.
    pub fn delete(mut self, key: impl Into<RowKey>) -> Mutation {
        self.puts.push(Put { key: key.into(), value: None });
        self
    }
}

/// A transaction. Sending it again under the same id is idempotent and returns the first outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Txn {
    /// Idempotency key, so that a write whose response was lost can be retried.
    pub id: CompactString,
    /// Mutations, which are applied together or not at all.
    pub mutations: Vec<Mutation>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All mutations were applied; every row written has this version.
    Committed(Version),
    /// Nothing was applied; the mutations at these indices have a guard that failed.
    Conflict(Vec<usize>),
}

/// The transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows in key order; rows that do not exist are left out.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`.
    fn read(&self, keys: Vec<RowKey>) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Reads up to `limit` rows, in key order, whose keys start with `prefix` and are greater than
    /// `after`.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`.
    fn scan(
        &self,
        prefix: RowKey,
        after: RowKey,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Applies a transaction.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`: the outcome is unknown until the transaction is retried under
    /// the same id.
    fn write(&self, txn: Txn) -> impl Future<Output = Result<Outcome>> + Send;
}

/// The object store, for content too large for a row. Objects are immutable.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Stores an object.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`.
    fn put(&self, name: RowKey, data: Vec<u8>) -> impl Future<Output = Result<()>> + Send;

    /// Fetches an object.
    ///
    /// # Errors
    /// `NotFound`, `PlatformAway` or `Timeout`.
    fn get(&self, name: RowKey) -> impl Future<Output = Result<Vec<u8>>> + Send;
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance was asked to shut down.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Name of the instance, or of the target that it serves.
    pub name: CompactString,
    /// `ip:port` of its main listener.
    pub addr: CompactString,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

/// The platform's list of instances, which may be out of date.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Returns the list as the platform knew it some time ago.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`.
    fn list(&self) -> impl Future<Output = Result<Vec<Instance>>> + Send;
}

/// All three services behind one handle.
pub trait Platform: Table + ObjectStore + InstanceList {}

impl<T: Table + ObjectStore + InstanceList> Platform for T {}

/// Reads one row.
///
/// # Errors
/// As [`Table::read`].
pub async fn read_one<T: Table>(table: &T, key: impl Into<RowKey>) -> Result<Option<Row>> {
    Ok(table.read(vec![key.into()]).await?.pop())
}

/// Reads every row below `prefix`, page by page.
///
/// # Errors
/// As [`Table::scan`].
pub async fn scan_all<T: Table>(table: &T, prefix: impl Into<RowKey>) -> Result<Vec<Row>> {
    const PAGE_ROWS: usize = 1_000;
    let prefix = prefix.into();
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|r| r.key.clone()).unwrap_or_default();
        let page = table.scan(prefix.clone(), after, PAGE_ROWS).await?;
        let is_last_page = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last_page {
            return Ok(rows);
        }
    }
}
