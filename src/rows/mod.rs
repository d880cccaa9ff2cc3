//! The row store that outlives every instance: tables of versioned rows, atomic transactions
//! under conditions, and a feed of changes. Values are small and replaced as a whole.

mod memory;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::watch;

pub use memory::{Fault, MemoryRows};

/// The store's counter: it grows with each transaction, and each row bears the one that wrote it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Ver(pub u64);

impl std::fmt::Display for Ver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Milliseconds of the store's steady clock. Comparable only with others of the same store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct StoreMs(pub u64);

impl std::fmt::Display for StoreMs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Where a row lies.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowKey {
    /// Table.
    pub table: CompactString,
    /// Partition within the table; transactions over one partition are the cheap ones.
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

/// A row as it stands, or, with no value, that it does not exist (any more).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Where it lies.
    pub at: RowKey,
    /// The transaction that wrote it; 0 if it does not exist.
    pub ver: Ver,
    /// Its value; `None` once it is deleted.
    pub value: Option<Bytes>,
}

/// Rows and the moment they belong to.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows, by key; of a feed, in the order of their changes.
    pub rows: Vec<Row>,
    /// The newest transaction that this answer takes into account.
    pub ver: Ver,
    /// The store's clock when it answered.
    pub now: StoreMs,
}

/// What a transaction must find, and what it then does.
#[derive(Clone, Debug, Default)]
pub struct Tx {
    /// Rows with the version that each must have; 0: it must not exist.
    pub expect: Vec<(RowKey, Ver)>,
    /// Rows to write.
    pub write: Vec<(RowKey, Bytes)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

impl Tx {
    /// Whether the rows lie in more than one partition.
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
    /// Its number, borne by every row it wrote.
    pub ver: Ver,
    /// The store's clock when it answered.
    pub now: StoreMs,
}

/// Why a call to the store did not succeed.
#[derive(Clone, Debug)]
pub enum StoreError {
    /// A condition did not hold. Carries the rows as they stand; nothing was done.
    Conflict(Vec<Row>),
    /// The history asked for is gone: read everything again.
    HistoryGone,
    /// The store turned the call away; nothing was done.
    Rejected(u16),
    /// No answer. A transaction may have taken effect, or may do so seconds later.
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

/// Outcome of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// Whether an answer is on its way: its first byte has come and its last one has not. A large one
/// takes seconds over a narrow link; whoever wants the same rows waits for it, as a second reading
/// would take just as long again and slow down the first.
#[derive(Debug, Default)]
pub struct ArrivingAnswers(watch::Sender<usize>);

impl ArrivingAnswers {
    /// An answer has begun to come; it counts as on its way until the guard is dropped.
    pub fn start_answer(&self) -> ArrivingAnswer<'_> {
        self.0.send_modify(|n| *n += 1);
        ArrivingAnswer(self)
    }

    /// Waits until no answer is on its way.
    pub async fn wait_until_none(&self) {
        // The sender lives as long as `self`: the channel cannot be closed.
        let _ = self.0.subscribe().wait_for(|n| *n == 0).await;
    }
}

/// See [`Arriving::begin`].
#[derive(Debug)]
pub struct ArrivingAnswer<'a>(&'a ArrivingAnswers);

impl Drop for ArrivingAnswer<'_> {
    fn drop(&mut self) {
        self.0.0.send_modify(|n| *n -= 1);
    }
}

/// A row store.
pub trait RowStore: Clone + 'static {
    /// Reads all rows of one of a table's partitions, as of one moment.
    fn scan(&self, table: &str, part: &str) -> impl Future<Output = StoreResult<Page>>;

    /// Waits up to `wait` for changes of a table after `after`. No rows: nothing changed; go on
    /// from the answer's `ver`. `arriving` tells others that the answer has begun to come.
    fn feed(
        &self,
        table: &str,
        after: Ver,
        wait: Duration,
        arriving: &ArrivingAnswers,
    ) -> impl Future<Output = StoreResult<Page>>;

    /// Applies a transaction, all of it or nothing.
    fn commit(&self, tx: &Tx) -> impl Future<Output = StoreResult<Committed>>;
}
