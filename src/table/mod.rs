//! The platform's services as this project needs them: a transactional table, an object store
//! and an instance list. Small traits; [`http`] speaks to a real one, [`memory`] is the core of
//! the stand-in.

pub mod committer;
pub mod http;
pub mod memory;

use std::future::Future;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::ids::ZoneId;

/// A row's key. Slashes separate the parts, so that a prefix can be scanned.
pub type RowKey = CompactString;

/// A row's version. Grows with every write of the row.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// Version of the last write.
    pub version: Version,
    /// JSON text.
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

/// A condition on one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Guard {
    /// The row that is compared.
    pub key: RowKey,
    /// The version it must have; `None`: it must be absent.
    pub version: Option<Version>,
}

/// A write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Put {
    /// The row that is written.
    pub key: RowKey,
    /// JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Guards and writes that belong together. Independent mutations share a transaction only to
/// save writes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Mutation {
    /// All must hold.
    pub guards: Vec<Guard>,
    /// All are written, or none.
    pub puts: Vec<Put>,
}

impl Mutation {
    /// Adds a condition that `key` has `version`.
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

/// One transaction. Repeating it with the same id yields the first outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Txn {
    /// Makes a repeat safe after a lost answer.
    pub id: CompactString,
    /// Applied together, or not at all.
    pub mutations: Vec<Mutation>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Everything is applied; every row written has this version.
    Committed(Version),
    /// Nothing is applied; the mutations at these places had a guard that failed.
    Conflict(Vec<usize>),
}

/// The transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows; absent ones are left out. In key order.
    ///
    /// # Errors
    /// `PlatformAway` or `Timeout`.
    fn read(&self, keys: Vec<RowKey>) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`. In key order.
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
    /// `PlatformAway` or `Timeout`: the outcome is unknown until the same id is sent again.
    fn write(&self, txn: Txn) -> impl Future<Output = Result<Outcome>> + Send;
}

/// The object store, for content too large for a row. Objects are never overwritten.
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
    /// Serves.
    Live,
    /// Was told to go away.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Instance {
    /// Name of the instance, or of the target that it serves.
    pub name: CompactString,
    /// `ip:port` of its main listener.
    pub addr: CompactString,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Live or leaving.
    pub state: InstanceState,
}

/// The platform's lagging list of instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// The list as the platform saw it some time ago.
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
