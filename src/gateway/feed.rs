//! Readings of the store: a table whole, then its changes, and what each reading says of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout};

use crate::allowance::BudgetManager;
use crate::oplog::Log;
use crate::rows::{ArrivingAnswers, Page, RowStore, StoreError, StoreResult, Ver};
use crate::stats::{Reason, Stats};

/// How long a feed waits for a change. Short, because a connection that has gone silent shows
/// only when this is over, and a configuration must be in force 2 s after its acknowledgement.
const FEED_WAIT: Duration = Duration::from_millis(1_200);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(200);
/// How long a request waits for changes that are arriving. A refusal names the same time to come
/// back.
const ARRIVAL_WAIT: Duration = Duration::from_millis(400);
/// Readings of at least this many bytes are logged: they take a link of 10 Mbit/s for 50 ms.
const LARGE: usize = 64 * 1024;

/// When the store answered last, and since when it has again.
#[derive(Clone, Copy, Debug)]
pub struct StoreLink {
    /// The newest answer.
    pub answered: Option<Instant>,
    /// The end of the last time without answers.
    pub back: Option<Instant>,
    /// Whether the last call failed.
    pub away: bool,
}

/// An attempt to make sure that the configuration in force is the newest.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the store was asked.
    pub sent: Instant,
    /// Whether it answered.
    pub done: bool,
}

/// Reads tables, and notes what each reading says of the store.
pub struct Reader<P: RowStore> {
    rows: P,
    keeper: Rc<BudgetManager<P>>,
    log: Log,
    stats: Stats,
    link: Cell<StoreLink>,
}

/// How far a table's changes were read.
#[derive(Debug, Default)]
pub struct Feed {
    /// All changes up to this version are known; `None` until the table was read whole.
    at: Cell<Option<Ver>>,
    /// Whether changes are arriving.
    arriving: ArrivingAnswers,
}

impl Feed {
    /// What changed up to now; nothing if the store does not say. Waits for changes that are
    /// arriving instead of asking for them a second time.
    pub async fn catch_up<P: RowStore>(&self, reader: &Reader<P>, table: &str) -> Option<Page> {
        timeout(ARRIVAL_WAIT, self.arriving.wait_until_none()).await.ok()?;
        let at = self.at.get()?;
        // Without its history the table must be read whole, which its follower does.
        self.changes(reader, table, at, Duration::ZERO, Reading::start("confirm")).await.ok()
    }

    /// All changes up to `ver` are known from now on.
    pub fn advance(&self, ver: Ver) {
        self.at.set(self.at.get().max(Some(ver)));
    }

    async fn changes<P: RowStore>(
        &self,
        reader: &Reader<P>,
        table: &str,
        after: Ver,
        wait: Duration,
        reading: Reading,
    ) -> StoreResult<Page> {
        let outcome = reader.rows.feed(table, after, wait, &self.arriving).await;
        reader.note(reading, &outcome);
        outcome
    }

    async fn whole<P: RowStore>(&self, reader: &Reader<P>, table: &str) -> StoreResult<Page> {
        let reading = Reading::start("whole");
        let _arrival = self.arriving.start_answer();
        let outcome = reader.rows.scan(table, "").await;
        reader.note(reading, &outcome);
        outcome
    }
}

/// A reading of the store: what for, and when it was asked for.
#[derive(Clone, Copy)]
struct Reading {
    cause: &'static str,
    sent: Instant,
}

impl Reading {
    fn start(cause: &'static str) -> Reading {
        Reading { cause, sent: Instant::now() }
    }

    fn ms(self) -> u128 {
        self.sent.elapsed().as_millis()
    }
}

impl<P: RowStore> Reader<P> {
    /// A reader of a store that has not answered yet.
    pub fn new(rows: P, keeper: Rc<BudgetManager<P>>, log: Log, stats: Stats) -> Reader<P> {
        let link = Cell::new(StoreLink { answered: None, back: None, away: true });
        Reader { rows, keeper, log, stats, link }
    }

    /// State of the store.
    pub fn link(&self) -> StoreLink {
        self.link.get()
    }

    /// Reads a table, then its changes, for ever; all of it again whenever its history is gone.
    /// `take` gets each page, and whether it is the whole table.
    pub async fn follow(&self, table: &str, feed: &Feed, take: impl Fn(&Page, bool)) {
        loop {
            let at = feed.at.get();
            let outcome = match at {
                None => feed.whole(self, table).await,
                Some(at) => feed.changes(self, table, at, FEED_WAIT, Reading::start("feed")).await,
            };
            match outcome {
                Ok(page) => {
                    take(&page, at.is_none());
                    feed.advance(page.ver);
                }
                Err(StoreError::HistoryGone) => {
                    self.log.note("feed", format_args!("table={table} outcome=history_gone"));
                    feed.at.set(None);
                }
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Notes how a call to the store went.
    fn note(&self, reading: Reading, outcome: &StoreResult<Page>) {
        let now = Instant::now();
        let before = self.link.get();
        match outcome {
            Ok(page) => {
                self.note_read(reading, page);
                self.keeper.observe_store_time(page.now);
                if before.away {
                    let ms = before.answered.map(|t| (now - t).as_millis());
                    self.log.note(
                        "store",
                        format_args!("state=answers silent_ms={ms:?} ver={}", page.ver),
                    );
                }
                let back = if before.away { Some(now) } else { before.back };
                self.link.set(StoreLink { answered: Some(now), back, away: false });
            }
            // A history that is gone is an answer all the same.
            Err(StoreError::HistoryGone | StoreError::Conflict(_)) => (),
            Err(e) => {
                if !before.away {
                    let (call, ms) = (reading.cause, reading.ms());
                    self.log
                        .note("store", format_args!("state=away cause={e} call={call} ms={ms}"));
                }
                self.link.set(StoreLink { away: true, ..before });
            }
        }
    }

    /// Counts what a reading brought. Whoever looks for the reason of a full link finds it here.
    fn note_read(&self, reading: Reading, page: &Page) {
        let bytes: usize = page.rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum();
        let reason = Reason { reason: reading.cause };
        self.stats.store_bytes.get_or_create(&reason).inc_by(bytes as u64);
        if bytes >= LARGE {
            let (cause, ms) = (reading.cause, reading.ms());
            self.log.routine(
                "store_read",
                format_args!("cause={cause} bytes={bytes} ms={ms} ver={}", page.ver),
            );
        }
    }
}
