//! The row store that outlives every instance: tables of versioned rows, conditional atomic
//! transactions, and a feed of changes. Values are small and always replaced as a whole.

mod memory;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::watch;

pub use memory::{Fault, MemoryRows};

/// The store's version counter. It grows with each transaction, and each row carries the version of
/// the transaction that wrote it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Ver(pub u64);

impl std::fmt::Display for Ver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Milliseconds of the store's monotonic clock. Comparable only with times of the same store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct StoreMs(pub u64);

impl std::fmt::Display for StoreMs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowKey {
    /// Table.
    pub table: CompactString,
    /// Partition within the table. Transactions within one partition are the cheap ones.
    pub part: CompactString,
    /// Key within the partition.
    pub key: CompactString,
}

impl RowKey {
    /// A row in a table's unnamed partition.
    pub fn new(table: &str, key: &str) -> RowKey {
        RowKey { table: table.into(), part: CompactString::default(), key: key.into() }
    }

    /// A row that has a partition to itself.
    pub fn own_partition(table: &str, key: &str) -> RowKey {
        RowKey { table: table.into(), part: key.into(), key: key.into() }
    }
}

/// The current state of a row. A row without a value does not exist (any more).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub at: RowKey,
    /// Version of the transaction that wrote the row; 0 if the row does not exist.
    pub ver: Ver,
    /// Value of the row; `None` if it was deleted.
    pub value: Option<Bytes>,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows, sorted by key, or in the order of their changes if they come from a feed.
    pub rows: Vec<Row>,
    /// Version of the newest transaction that this answer includes.
    pub ver: Ver,
    /// The store's clock when it answered.
    pub now: StoreMs,
}

/// A conditional transaction.
#[derive(Clone, Debug, Default)]
pub struct Tx {
    /// Rows with the version that each must have; 0 if the row must not exist.
    pub expect: Vec<(RowKey, Ver)>,
    /// Rows to write.
    pub write: Vec<(RowKey, Bytes)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

impl Tx {
    /// Whether the rows are in more than one partition.
    pub fn spans_partitions(&self) -> bool {
        let expected = self.expect.iter().map(|(at, _)| at);
        let writes = self.write.iter().map(|(at, _)| at);
        let mut partitions = expected.chain(writes).chain(&self.delete).map(|at| &at.part);
        let Some(first) = partitions.next() else { return false };
        partitions.any(|part| part != first)
    }
}

/// A transaction that took effect.
#[derive(Clone, Copy, Debug)]
pub struct Committed {
    /// Version of the transaction, which all rows that it wrote carry.
    pub ver: Ver,
    /// The store's clock when it answered.
    pub now: StoreMs,
}

/// Why a call to the store failed.
#[derive(Clone, Debug)]
pub enum StoreError {
    /// A condition did not hold and nothing was changed. Contains the current rows.
    Conflict(Vec<Row>),
    /// The requested history was compacted away. Everything has to be read again.
    HistoryGone,
    /// The store rejected the call with this HTTP status; nothing was changed.
    Rejected(u16),
    /// There was no answer. A transaction may have taken effect or may still do so seconds later.
    Unknown(CompactString),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Conflict(_) => f.write_str("conflict"),
            StoreError::HistoryGone => f.write_str("history_gone"),
            StoreError::Rejected(status) => write!(f, "rejected_{status}"),
            StoreError::Unknown(why) => write!(f, "no_answer:{why}"),
        }
    }
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// Counts the answers that are being received, from their first to their last byte. A large answer
/// takes seconds over a slow link. A second reader of the same rows waits for it, because another
/// read would take just as long and would slow down the first.
#[derive(Debug, Default)]
pub struct ArrivingAnswers(watch::Sender<usize>);

impl ArrivingAnswers {
    /// Counts an answer as being received until the guard is dropped.
    pub fn start_answer(&self) -> ArrivingAnswer<'_> {
        self.0.send_modify(|n| *n += 1);
        ArrivingAnswer(self)
    }

    /// Waits until no answer is being received.
    pub async fn wait_until_none(&self) {
        // The sender lives as long as `self`, so the channel cannot be closed.
        let _ = self.0.subscribe().wait_for(|n| *n == 0).await;
    }
}

/// Guard of [`ArrivingAnswers::start_answer`].
#[derive(Debug)]
pub struct ArrivingAnswer<'a>(&'a ArrivingAnswers);

impl Drop for ArrivingAnswer<'_> {
    fn drop(&mut self) {
        self.0.0.send_modify(|n| *n -= 1);
    }
}

/// A client of the row store.
pub trait RowStore: Clone + 'static {
    /// Reads all rows of a partition as of one moment.
    fn scan(&self, table: &str, part: &str) -> impl Future<Output = StoreResult<Page>>;

    /// Waits up to `wait` for changes of a table after version `after`. An answer without rows
    /// means no changes; continue from its `ver`. `arriving` counts the answer while it is being
    /// received.
    fn feed(
        &self,
        table: &str,
        after: Ver,
        wait: Duration,
        arriving: &ArrivingAnswers,
    ) -> impl Future<Output = StoreResult<Page>>;

    /// Applies a transaction atomically.
    fn commit(&self, tx: &Tx) -> impl Future<Output = StoreResult<Committed>>;
}
