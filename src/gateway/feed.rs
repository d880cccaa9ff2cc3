//! Readings of the store: a table whole, then its changes, and what each reading says of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use crate::allowance::Keeper;
use crate::oplog::Log;
use crate::rows::{Arriving, Page, RowStore, StoreError, StoreResult, Ver};
use crate::stats::{Reason, Stats};

/// How long a feed waits for a change. Short, because a connection that has gone silent shows
/// only when this is over, and a configuration must be in force 2 s after its acknowledgement.
const CHANGE_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a request waits for changes that are arriving. A refusal names the same time to come
/// back.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);
/// Readings of at least this many bytes are logged: they take a link of 10 Mbit/s for 50 ms.
const LARGE_READ_BYTES: usize = 64 * 1024;

/// When the store answered last, and since when it has again.
#[derive(Clone, Copy, Debug)]
pub struct StoreStatus {
    /// The newest answer.
    pub last_answer: Option<Instant>,
    /// The end of the last time without answers.
    pub recovered_at: Option<Instant>,
    /// Whether the last call failed.
    pub unavailable: bool,
}

/// An attempt to make sure that the configuration in force is the newest.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the store was asked.
    pub sent: Instant,
    /// Whether it last_answer.
    pub store_answered: bool,
}

/// Reads tables, and notes what each reading says of the store.
pub struct StoreReader<P: RowStore> {
    rows: P,
    keeper: Rc<Keeper<P>>,
    log: Log,
    stats: Stats,
    store_status: Cell<StoreStatus>,
}

/// How far a table's changes were read.
#[derive(Debug, Default)]
pub struct Feed {
    /// All changes up to this version are known; `None` until the table was read whole.
    position: Cell<Option<Ver>>,
    /// Whether changes are arriving.
    arriving: Arriving,
}

impl Feed {
    /// What changed up to now; nothing if the store does not say. Waits for changes that are
    /// arriving instead of asking for them a second time.
    pub async fn catch_up<P: RowStore>(
        &self,
        reader: &StoreReader<P>,
        table: &str,
    ) -> Option<Page> {
        timeout(CATCH_UP_TIMEOUT, self.arriving.over()).await.ok()?;
        let at = self.position.get()?;
        // Without its history the table must be read whole, which its follower does.
        self.changes(reader, table, at, Duration::ZERO, StoreRead::start("confirm")).await.ok()
    }

    /// All changes up to `ver` are known from now on.
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
        let _arrival = self.arriving.begin();
        let outcome = reader.rows.scan(table, "").await;
        reader.record_outcome(read, &outcome);
        outcome
    }
}

/// A reading of the store: what for, and when it was asked for.
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
    pub fn new(rows: P, keeper: Rc<Keeper<P>>, log: Log, stats: Stats) -> StoreReader<P> {
        let store_status =
            Cell::new(StoreStatus { last_answer: None, recovered_at: None, unavailable: true });
        StoreReader { rows, keeper, log, stats, store_status }
    }

    /// State of the store.
    pub fn store_status(&self) -> StoreStatus {
        self.store_status.get()
    }

    /// Reads a table, then its changes, for ever; all of it again whenever its history is gone.
    /// `take` gets each page, and whether it is the whole table.
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

    /// Notes how a call to the store went.
    fn record_outcome(&self, read: StoreRead, outcome: &StoreResult<Page>) {
        let now = Instant::now();
        let before = self.store_status.get();
        match outcome {
            Ok(page) => {
                self.record_read(read, page);
                self.keeper.saw(page.now);
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
            // A history that is gone is an answer all the same.
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

    /// Counts what a reading brought. Whoever looks for the reason of a full link finds it here.
    fn record_read(&self, read: StoreRead, page: &Page) {
        let bytes: usize = page.rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum();
        let reason = Reason { reason: read.cause };
        self.stats.store_bytes.get_or_create(&reason).inc_by(bytes as u64);
        if bytes >= LARGE_READ_BYTES {
            let (cause, ms) = (read.cause, read.ms());
            self.log.routine(
                "store_read",
                format_args!("cause={cause} bytes={bytes} ms={ms} ver={}", page.ver),
            );
        }
    }
}
