//! An in-memory row store with fault injection, for tests and demonstrations.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{
    ArrivingAnswers, Committed, Page, Row, RowKey, RowStore, StoreError, StoreMs, StoreResult, Tx,
    Ver,
};

/// How often a waiting feed checks whether the injected fault has changed.
const FEED_POLL: Duration = Duration::from_millis(50);

/// A fault that is injected into calls to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls are rejected with this HTTP status and have no effect.
    Reject(u16),
    /// Calls are never answered and have no effect.
    Silent,
    /// Transactions take effect and are answered after this delay.
    Slow(Duration),
    /// Transactions take effect, but their answers are lost.
    LoseAnswers,
    /// Transactions are not answered, and take effect after this delay if their conditions still
    /// hold.
    Late(Duration),
    /// Transactions are not answered, and take effect on [`MemoryRows::release_held`] if their
    /// conditions still hold.
    Held,
}

#[derive(Debug, Default)]
struct Inner {
    rows: Vec<Row>,
    change_log: Vec<Row>,
    ver: Ver,
    history_from: Ver,
}

impl Inner {
    fn find(&self, at: &RowKey) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.at.cmp(at))
    }

    fn current(&self, at: &RowKey) -> Row {
        let missing = Row { at: at.clone(), ver: Ver(0), value: None };
        self.find(at).map_or(missing, |i| self.rows[i].clone())
    }

    fn put(&mut self, at: &RowKey, value: Option<Bytes>) {
        let row = Row { at: at.clone(), ver: self.ver, value };
        self.change_log.push(row.clone());
        match (self.find(at), row.value.is_some()) {
            (Ok(i), true) => self.rows[i] = row,
            (Ok(i), false) => drop(self.rows.remove(i)),
            (Err(i), true) => self.rows.insert(i, row),
            (Err(_), false) => (),
        }
    }

    fn apply(&mut self, tx: &Tx) -> Result<Ver, Vec<Row>> {
        let is_met = |(at, ver): &(RowKey, Ver)| self.current(at).ver == *ver;
        if !tx.expect.iter().all(is_met) {
            return Err(tx.expect.iter().map(|(at, _)| self.current(at)).collect());
        }
        self.ver.0 += 1;
        for (at, value) in &tx.write {
            self.put(at, Some(value.clone()));
        }
        for at in &tx.delete {
            self.put(at, None);
        }
        Ok(self.ver)
    }
}

#[derive(Debug)]
struct Shared {
    inner: RefCell<Inner>,
    /// Partitions that do not answer, sorted.
    unresponsive: RefCell<Vec<CompactString>>,
    changed: Notify,
    start: Instant,
}

/// The link over which values reach one client, one answer after another.
#[derive(Debug)]
struct Link {
    /// Bytes a second; `None` means that values arrive at once.
    rate: Cell<Option<u64>>,
    /// When all values in transfer will have arrived.
    idle_at: Cell<Instant>,
    /// Bytes sent, including answers that no caller waited for.
    sent_bytes: Cell<u64>,
    /// Number of feed requests.
    feed_count: Cell<u64>,
}

impl Link {
    fn new() -> Link {
        Link {
            rate: Cell::default(),
            idle_at: Cell::new(Instant::now()),
            sent_bytes: Cell::new(0),
            feed_count: Cell::new(0),
        }
    }

    async fn transfer(&self, rows: &[Row]) {
        let bytes: usize = rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum();
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
        let Some(rate) = self.rate.get() else { return };
        let start = self.idle_at.get().max(Instant::now());
        let arrived = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.idle_at.set(arrived);
        tokio::time::sleep_until(arrived).await;
    }
}

/// A client's handle to the store. Clones share the rows, the fault and the link. Handles from
/// [`MemoryRows::new_client`] share only the rows, so that one client can lose the store while
/// others go on.
#[derive(Clone, Debug)]
pub struct MemoryRows {
    shared: Rc<Shared>,
    fault: Rc<RefCell<Fault>>,
    /// Transactions that [`Fault::Held`] keeps from taking effect.
    held: Rc<RefCell<Vec<Tx>>>,
    link: Rc<Link>,
}

impl Default for MemoryRows {
    fn default() -> MemoryRows {
        MemoryRows::new()
    }
}

impl MemoryRows {
    /// An empty store.
    pub fn new() -> MemoryRows {
        let shared = Shared {
            inner: RefCell::default(),
            unresponsive: RefCell::default(),
            changed: Notify::new(),
            start: Instant::now(),
        };
        MemoryRows::client_of(Rc::new(shared))
    }

    /// A handle for another client of the same rows, with its own fault and link.
    pub fn new_client(&self) -> MemoryRows {
        MemoryRows::client_of(self.shared.clone())
    }

    fn client_of(shared: Rc<Shared>) -> MemoryRows {
        let (fault, held) = (Rc::default(), Rc::default());
        MemoryRows { shared, fault, held, link: Rc::new(Link::new()) }
    }

    /// Limits the link of this client to `bytes_per_s` bytes of values a second.
    pub fn set_bytes_per_s(&self, bytes_per_s: u64) {
        self.link.rate.set(Some(bytes_per_s));
    }

    /// Bytes of values sent to this client.
    pub fn bytes_sent(&self) -> u64 {
        self.link.sent_bytes.get()
    }

    /// Sets the fault for later calls.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.borrow_mut() = fault;
    }

    /// Number of held transactions that write to a table.
    pub fn held_writes(&self, table: &str) -> usize {
        let writes = |tx: &&Tx| tx.write.iter().any(|(at, _)| at.table == table);
        self.held.borrow().iter().filter(writes).count()
    }

    /// Lets the held transactions take effect in the order in which they arrived.
    pub fn release_held(&self) {
        for tx in self.held.take() {
            // The conditions of a late write usually no longer hold.
            drop(self.apply(&tx));
        }
    }

    /// Sets the partitions that do not answer, in all tables.
    pub fn set_unresponsive(&self, partitions: &[&str]) {
        let mut unresponsive: Vec<CompactString> = partitions.iter().map(|p| (*p).into()).collect();
        unresponsive.sort();
        *self.shared.unresponsive.borrow_mut() = unresponsive;
    }

    /// Number of feed requests by this client, answered or not.
    pub fn feed_requests(&self) -> u64 {
        self.link.feed_count.get()
    }

    fn is_unresponsive(&self, part: &str) -> bool {
        self.shared.unresponsive.borrow().binary_search_by(|p| p.as_str().cmp(part)).is_ok()
    }

    /// Drops the history of changes. Feeds from an earlier version fail with `HistoryGone`.
    pub fn compact(&self) {
        let mut inner = self.shared.inner.borrow_mut();
        inner.change_log.clear();
        inner.ver.0 += 1;
        inner.history_from = inner.ver;
    }

    /// Writes a row unconditionally, as an operator or target would.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> Ver {
        let at = RowKey::new(table, key);
        let tx = Tx { write: vec![(at, Bytes::copy_from_slice(value))], ..Tx::default() };
        self.apply(&tx).unwrap_or_default()
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let tx = Tx { delete: vec![RowKey::new(table, key)], ..Tx::default() };
        // There are no conditions, so no conflict is possible.
        drop(self.apply(&tx));
    }

    /// The current value of a row, regardless of faults.
    pub fn peek(&self, at: &RowKey) -> Option<Bytes> {
        self.shared.inner.borrow().current(at).value
    }

    /// The store's clock.
    pub fn now(&self) -> StoreMs {
        let ms = self.shared.start.elapsed().as_millis();
        StoreMs(1_000 + u64::try_from(ms).unwrap_or(u64::MAX - 1_000))
    }

    fn apply(&self, tx: &Tx) -> Result<Ver, Vec<Row>> {
        let done = self.shared.inner.borrow_mut().apply(tx);
        self.shared.changed.notify_waiters();
        done
    }

    fn fault(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Applies faults that make every call fail. Faults of transactions are applied in `commit`.
    async fn fail_if_faulty(&self) -> StoreResult<()> {
        match self.fault() {
            Fault::Reject(status) => Err(StoreError::Rejected(status)),
            Fault::Silent => time_out().await,
            _ => Ok(()),
        }
    }

    /// Builds the answer with these rows and returns it once it has arrived.
    async fn send_page(&self, rows: Vec<Row>) -> Page {
        let page = Page { rows, ver: self.shared.inner.borrow().ver, now: self.now() };
        self.link.transfer(&page.rows).await;
        page
    }
}

/// A call without an answer, which ends with the client's timeout.
async fn time_out<T>() -> StoreResult<T> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    Err(StoreError::Unknown(CompactString::const_new("timeout")))
}

impl RowStore for MemoryRows {
    async fn scan(&self, table: &str, part: &str) -> StoreResult<Page> {
        self.fail_if_faulty().await?;
        if self.is_unresponsive(part) {
            return time_out().await;
        }
        let rows: Vec<Row> = {
            let inner = self.shared.inner.borrow();
            let in_partition = |r: &&Row| r.at.table == table && r.at.part == part;
            inner.rows.iter().filter(in_partition).cloned().collect()
        };
        Ok(self.send_page(rows).await)
    }

    async fn feed(
        &self,
        table: &str,
        after: Ver,
        wait: Duration,
        arriving: &ArrivingAnswers,
    ) -> StoreResult<Page> {
        self.link.feed_count.set(self.link.feed_count.get() + 1);
        let until = Instant::now() + wait;
        loop {
            self.fail_if_faulty().await?;
            if after < self.shared.inner.borrow().history_from {
                return Err(StoreError::HistoryGone);
            }
            let rows: Vec<Row> = {
                let inner = self.shared.inner.borrow();
                let newer = |r: &&Row| r.ver > after && r.at.table == table;
                inner.change_log.iter().filter(newer).cloned().collect()
            };
            if !rows.is_empty() || Instant::now() >= until {
                let _arrival = arriving.start_answer();
                return Ok(self.send_page(rows).await);
            }
            let change = self.shared.changed.notified();
            let _ = tokio::time::timeout(FEED_POLL, change).await;
        }
    }

    async fn commit(&self, tx: &Tx) -> StoreResult<Committed> {
        self.fail_if_faulty().await?;
        if tx.write.iter().any(|(at, _)| self.is_unresponsive(&at.part)) {
            return time_out().await;
        }
        if let Fault::Late(delay) = self.fault() {
            let (late, tx) = (self.clone(), tx.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                // The conditions of a late write usually no longer hold.
                drop(late.apply(&tx));
            });
            return time_out().await;
        }
        if self.fault() == Fault::Held {
            self.held.borrow_mut().push(tx.clone());
            return time_out().await;
        }
        if let Fault::Slow(delay) = self.fault() {
            tokio::time::sleep(delay).await;
        }
        let done = self.apply(tx);
        if self.fault() == Fault::LoseAnswers {
            return time_out().await;
        }
        let ver = done.map_err(StoreError::Conflict)?;
        Ok(Committed { ver, now: self.now() })
    }
}
