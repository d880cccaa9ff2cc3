//! Reads tables from the store, first completely and then by their changes, and tracks whether the
//! store is available.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use crate::allowance::BudgetManager;
use crate::oplog::Log;
use crate::rows::{ArrivingAnswers, Page, RowStore, StoreError, StoreResult, Ver};
use crate::stats::{ReasonLabel, Stats};

/// Timeout of a long poll for changes. It is short because a dead connection is detected only when
/// it expires, and a configuration must be in force 2 s after its acknowledgement.
const CHANGE_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a request waits for changes that are being received. A refusal states the same time in
/// its `Retry-After`.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);
/// Reads of at least this size are logged. They occupy a link of 10 Mbit/s for 50 ms.
const LARGE_READ_BYTES: usize = 64 * 1024;

/// Availability of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreStatus {
    /// When the latest answer arrived.
    pub last_answer: Option<Instant>,
    /// When the latest outage ended.
    pub recovered_at: Option<Instant>,
    /// Whether the latest call failed.
    pub unavailable: bool,
}

/// An attempt to confirm that the configuration in force is the latest one.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the query was sent to the store.
    pub sent: Instant,
    /// Whether the store answered.
    pub store_answered: bool,
}

/// Reads tables and tracks the availability of the store.
pub struct StoreReader<P: RowStore> {
    rows: P,
    budget_shares: Rc<BudgetManager<P>>,
    log: Log,
    stats: Stats,
    store_status: Cell<StoreStatus>,
}

/// Progress in reading the changes of a table.
#[derive(Debug, Default)]
pub struct Feed {
    /// All changes up to this version are known. `None` until the whole table was read.
    position: Cell<Option<Ver>>,
    /// Whether an answer with changes is being received.
    arriving: ArrivingAnswers,
}

impl Feed {
    /// The changes up to now, or `None` if the store does not answer. If changes are already being
    /// received, it waits for them instead of requesting them again.
    pub async fn catch_up<P: RowStore>(
        &self,
        reader: &StoreReader<P>,
        table: &str,
    ) -> Option<Page> {
        timeout(CATCH_UP_TIMEOUT, self.arriving.wait_until_none()).await.ok()?;
        let at = self.position.get()?;
        // If the store no longer has the history, the whole table must be read, which is left to
        // `follow`.
        self.changes(reader, table, at, Duration::ZERO, StoreRead::start("confirm")).await.ok()
    }

    /// Records that all changes up to `ver` are known.
    pub fn advance(&self, ver: Ver) {
        self.position.set(self.position.get().max(Some(ver)));
    }

    async fn changes<P: RowStore>(
        &self,
        reader: &StoreReader<P>,
        table: &str,
        after: Ver,
        wait: Duration,
        read: StoreRead,
    ) -> StoreResult<Page> {
        let outcome = reader.rows.feed(table, after, wait, &self.arriving).await;
        reader.record_outcome(read, &outcome);
        outcome
    }

    async fn read_all<P: RowStore>(
        &self,
        reader: &StoreReader<P>,
        table: &str,
    ) -> StoreResult<Page> {
        let read = StoreRead::start("whole");
        let _arrival = self.arriving.start_answer();
        let outcome = reader.rows.scan(table, "").await;
        reader.record_outcome(read, &outcome);
        outcome
    }
}

/// A read from the store: its purpose, and when it was sent.
#[derive(Clone, Copy)]
struct StoreRead {
    cause: &'static str,
    sent: Instant,
}

impl StoreRead {
    fn start(cause: &'static str) -> StoreRead {
        StoreRead { cause, sent: Instant::now() }
    }

    fn ms(self) -> u128 {
        self.sent.elapsed().as_millis()
    }
}

impl<P: RowStore> StoreReader<P> {
    /// A reader of a store that has not answered yet.
    pub fn new(
        rows: P,
        budget_shares: Rc<BudgetManager<P>>,
        log: Log,
        stats: Stats,
    ) -> StoreReader<P> {
        let store_status =
            Cell::new(StoreStatus { last_answer: None, recovered_at: None, unavailable: true });
        StoreReader { rows, budget_shares, log, stats, store_status }
    }

    /// Availability of the store.
    pub fn store_status(&self) -> StoreStatus {
        self.store_status.get()
    }

    /// Reads a table and then its changes; the whole table again whenever the store no longer has
    /// the history. Calls `apply_page` with each page and whether it holds the whole table. Runs
    /// until cancelled.
    pub async fn follow(&self, table: &str, feed: &Feed, apply_page: impl Fn(&Page, bool)) {
        loop {
            let at = feed.position.get();
            let outcome = match at {
                None => feed.read_all(self, table).await,
                Some(at) => {
                    feed.changes(self, table, at, CHANGE_POLL_TIMEOUT, StoreRead::start("feed"))
                        .await
                }
            };
            match outcome {
                Ok(page) => {
                    apply_page(&page, at.is_none());
                    feed.advance(page.ver);
                }
                Err(StoreError::HistoryGone) => {
                    self.log.note("feed", format_args!("table={table} outcome=history_gone"));
                    feed.position.set(None);
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Updates the availability of the store from the outcome of a call.
    fn record_outcome(&self, read: StoreRead, outcome: &StoreResult<Page>) {
        let now = Instant::now();
        let before = self.store_status.get();
        match outcome {
            Ok(page) => {
                self.record_read(read, page);
                self.budget_shares.observe_store_time(page.now);
                if before.unavailable {
                    let ms = before.last_answer.map(|t| (now - t).as_millis());
                    self.log.note(
                        "store",
                        format_args!("state=answers silent_ms={ms:?} ver={}", page.ver),
                    );
                }
                let recovered_at = if before.unavailable { Some(now) } else { before.recovered_at };
                self.store_status.set(StoreStatus {
                    last_answer: Some(now),
                    recovered_at,
                    unavailable: false,
                });
            }
            // These are answers too, so they do not count as an outage.
            Err(StoreError::HistoryGone | StoreError::Conflict(_)) => (),
            Err(e) => {
                if !before.unavailable {
                    let (call, ms) = (read.cause, read.ms());
                    self.log
                        .note("store", format_args!("state=away cause={e} call={call} ms={ms}"));
                }
                self.store_status.set(StoreStatus { unavailable: true, ..before });
            }
        }
    }

    /// Counts the bytes of a read and logs large ones, so that a saturated link can be traced to
    /// its cause.
    fn record_read(&self, read: StoreRead, page: &Page) {
        let bytes: usize = page.rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum();
        let reason = ReasonLabel { reason: read.cause };
        self.stats.store_read_bytes.get_or_create(&reason).inc_by(bytes as u64);
        if bytes >= LARGE_READ_BYTES {
            let (cause, ms) = (read.cause, read.ms());
            self.log.routine(
                "store_read",
                format_args!("cause={cause} bytes={bytes} ms={ms} ver={}", page.ver),
            );
        }
    }
}
