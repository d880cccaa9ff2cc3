//! The software versions that may have begun resumable streams, in a row of the store.
//!
//! Origins of streams are lost when all routers that keep them end. The row bounds what such a
//! stream can have begun at: a version is listed before a router sends it a request whose answer is
//! a resumable stream. If a read that began after the caller's attempt lists one version only, the
//! stream began there. With several versions, or without an answer of the store, nothing is known.

use std::cell::RefCell;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout};

use super::catalog::RouteKind;
use super::origins::VersionDigest;
use super::state::{Gateway, Platform};
use crate::error::{Error, Kind, Result};
use crate::rows::{Row, RowKey, StoreError, StoreMs, Tx, Ver};

/// Table and key of the row.
const TABLE: &str = "versions";
const KEY: &str = "streams";
/// Format of the row. Rows of another format are not modified, and nothing is concluded from them.
const FORMAT: u8 = 1;
/// Interval at which the targets' versions are compared with the row as last read.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval after which the row is read again, and each version that has targets is listed anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);
/// For this time after a read of the row its versions count as listed. Together with the time for
/// which streams are resumed, well below [`EXPIRES_AFTER_MS`].
const LISTED_FOR: Duration = Duration::from_secs(3_600);
/// Age in ms, by the store's clock, at which a version that no router lists anew is removed.
const EXPIRES_AFTER_MS: u64 = 2 * 3_600 * 1_000;
/// How long a request waits for the version of its target to be listed.
const LISTING_WAIT: Duration = Duration::from_millis(300);
/// Random delay in ms before the row is read again after a write without an answer.
const RETRY_MS: std::ops::Range<u64> = 20..200;
/// Random delay in ms before a new version is listed: if requests wait for it, and otherwise.
const AWAITED_SPREAD_MS: std::ops::Range<u64> = 0..20;
const SPREAD_MS: std::ops::Range<u64> = 0..400;

/// A version, and the store time at which a router listed it last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Listing(pub VersionDigest, pub StoreMs);

/// The row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StreamVersions {
    format: u8,
    /// Sorted by version.
    versions: Vec<Listing>,
}

impl StreamVersions {
    /// Decodes a row; a row that was never written lists nothing.
    ///
    /// # Errors
    /// `BadFormat` if the row is damaged or has another format.
    pub fn decode(row: &Row) -> Result<StreamVersions> {
        if row.ver == Ver(0) {
            return Ok(StreamVersions::default());
        }
        let value = row.value.clone().unwrap_or_default();
        let unreadable = |_| Error::new(Kind::BadFormat, "row of versions is not CBOR");
        let versions: StreamVersions = ciborium::from_reader(&value[..]).map_err(unreadable)?;
        if versions.format != FORMAT {
            return Err(Error::new(Kind::BadFormat, "row of versions has an unsupported format"));
        }
        Ok(versions)
    }

    /// The encoded row.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let row = StreamVersions { format: FORMAT, ..self.clone() };
        ciborium::into_writer(&row, &mut bytes).expect("writing to memory cannot fail");
        bytes
    }

    fn position(&self, version: VersionDigest) -> std::result::Result<usize, usize> {
        self.versions.binary_search_by_key(&version.0, |l| l.0.0)
    }

    /// Whether a version is listed.
    pub fn contains(&self, version: VersionDigest) -> bool {
        self.position(version).is_ok()
    }

    /// The version, if there is exactly one.
    pub fn only(&self) -> Option<VersionDigest> {
        match self.versions[..] {
            [Listing(version, _)] => Some(version),
            _ => None,
        }
    }

    /// The row with these versions listed at `now`, and without those that have expired. `None` if
    /// all of them were listed less than [`REFRESH_INTERVAL`] ago.
    pub fn with(&self, versions: &[VersionDigest], now: StoreMs) -> Option<StreamVersions> {
        let refresh_ms = u64::try_from(REFRESH_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        let age_ms = |l: &Listing| now.0.saturating_sub(l.1.0);
        let is_current = |v: &VersionDigest| {
            self.position(*v).is_ok_and(|i| age_ms(&self.versions[i]) < refresh_ms)
        };
        if versions.iter().all(is_current) {
            return None;
        }
        let mut next = self.clone();
        for version in versions {
            match next.position(*version) {
                Ok(i) => next.versions[i].1 = next.versions[i].1.max(now),
                Err(i) => next.versions.insert(i, Listing(*version, now)),
            }
        }
        next.versions.retain(|l| age_ms(l) < EXPIRES_AFTER_MS);
        Some(next)
    }
}

/// A read or write of the row that was answered.
#[derive(Clone, Debug)]
struct Known {
    sent_at: Instant,
    ver: Ver,
    now: StoreMs,
    row: StreamVersions,
}

/// What this router knows of the row.
#[derive(Debug, Default)]
pub struct VersionList {
    known: RefCell<Option<Known>>,
    changed: Notify,
    wanted: Notify,
    /// The latest read for a stream of unknown origin; locked while one is in progress.
    read: Mutex<Option<Instant>>,
}

impl VersionList {
    fn is_listed(&self, version: VersionDigest) -> bool {
        let known = self.known.borrow();
        known.as_ref().is_some_and(|k| k.sent_at.elapsed() < LISTED_FOR && k.row.contains(version))
    }

    /// Waits until a version is listed. Returns `false` if that takes too long.
    pub async fn listed(&self, version: VersionDigest) -> bool {
        let listed = async {
            loop {
                let changed = self.changed.notified();
                if self.is_listed(version) {
                    return;
                }
                self.wanted.notify_one();
                changed.await;
            }
        };
        self.is_listed(version) || timeout(LISTING_WAIT, listed).await.is_ok()
    }

    fn learn(&self, known: Known) {
        let mut current = self.known.borrow_mut();
        if current.as_ref().is_none_or(|k| k.ver <= known.ver) {
            *current = Some(known);
        }
        drop(current);
        self.changed.notify_waiters();
    }
}

/// The only version that may have begun resumable streams before now; `None` if there are several
/// or none.
///
/// # Errors
/// `PlatformAway` if the store does not answer. Requests that wait for the same read share it.
pub async fn only_version<P: Platform>(gw: &Gateway<P>) -> Result<Option<VersionDigest>> {
    let requested_at = Instant::now();
    let mut read = gw.versions.read.lock().await;
    if read.is_none_or(|sent_at| sent_at < requested_at) {
        let sent_at = Instant::now();
        read_row(gw).await?;
        *read = Some(sent_at);
    }
    Ok(gw.versions.known.borrow().as_ref().and_then(|k| k.row.only()))
}

fn row_key() -> RowKey {
    RowKey::own_partition(TABLE, KEY)
}

async fn read_row<P: Platform>(gw: &Gateway<P>) -> Result<()> {
    let at = row_key();
    let sent_at = Instant::now();
    let away = |e: StoreError| {
        gw.log.note("versions", format_args!("outcome=unread cause={e}"));
        Error::new(Kind::PlatformAway, "the row of versions was not read")
    };
    let page = gw.platform.scan(&at.table, &at.part).await.map_err(away)?;
    gw.budget_shares.observe_store_time(page.now);
    let row = page.rows.into_iter().find(|r| r.at.key == at.key);
    let row = row.unwrap_or(Row { at, ver: Ver(0), value: None });
    learn_row(gw, &row, sent_at, page.now)
}

fn learn_row<P: Platform>(
    gw: &Gateway<P>,
    row: &Row,
    sent_at: Instant,
    now: StoreMs,
) -> Result<()> {
    let decoded = StreamVersions::decode(row).inspect_err(|e| {
        gw.log.note("versions", format_args!("row_ver={} error={e}", row.ver));
    })?;
    gw.versions.learn(Known { sent_at, ver: row.ver, now, row: decoded });
    Ok(())
}

/// The versions of all targets that may begin resumable streams.
fn needed<P: Platform>(gw: &Gateway<P>) -> Vec<VersionDigest> {
    let Some(catalog) = gw.config() else { return Vec::new() };
    let resumable = catalog.routes().iter().filter(|r| r.kind == RouteKind::ResumableStream);
    let mut services: Vec<_> = resumable.flat_map(|r| &r.shares).map(|s| &s.service).collect();
    services.sort_unstable();
    services.dedup();
    let of_service = |s: &&compact_str::CompactString| gw.targets.of_service(s);
    let mut versions: Vec<_> =
        services.iter().flat_map(of_service).map(|b| b.stream_version()).collect();
    versions.sort_unstable_by_key(|v| v.0);
    versions.dedup();
    versions
}

/// Reads the row if that is due, and lists the versions that are missing.
async fn refresh<P: Platform>(gw: &Gateway<P>) -> Result<()> {
    let needed = needed(gw);
    let known = gw.versions.known.borrow().clone();
    let Some(known) = known.filter(|k| k.sent_at.elapsed() < REFRESH_INTERVAL) else {
        return if needed.is_empty() { Ok(()) } else { read_row(gw).await };
    };
    let now = known.now.max(gw.budget_shares.store_now());
    let Some(next) = known.row.with(&needed, now) else { return Ok(()) };
    let (at, sent_at) = (row_key(), Instant::now());
    let tx = Tx {
        expect: vec![(at.clone(), known.ver)],
        write: vec![(at, next.encode().into())],
        ..Tx::default()
    };
    match gw.platform.commit(&tx).await {
        Ok(done) => {
            gw.budget_shares.observe_store_time(done.now);
            let n = next.versions.len();
            gw.log.note("versions", format_args!("n={n} ver={} outcome=listed", done.ver));
            gw.versions.learn(Known { sent_at, ver: done.ver, now: done.now, row: next });
            Ok(())
        }
        Err(StoreError::Conflict(_)) => read_row(gw).await,
        Err(e) => {
            gw.log.note("versions", format_args!("outcome=unwritten cause={e}"));
            // The write may have taken effect.
            sleep(Duration::from_millis(fastrand::u64(RETRY_MS))).await;
            read_row(gw).await
        }
    }
}

/// Keeps the versions of the targets listed. Never returns.
pub async fn run<P: Platform>(gw: std::rc::Rc<Gateway<P>>) {
    loop {
        let awaited = timeout(CHECK_INTERVAL, gw.versions.wanted.notified()).await.is_ok();
        if !needed(&gw).iter().all(|v| gw.versions.is_listed(*v)) {
            // Routers see a new version at the same time. Most of them find it listed.
            let spread_ms = if awaited { AWAITED_SPREAD_MS } else { SPREAD_MS };
            sleep(Duration::from_millis(fastrand::u64(spread_ms))).await;
            if read_row(&gw).await.is_err() {
                continue;
            }
        }
        // The outcome is logged, and the next check tries again.
        drop(refresh(&gw).await);
    }
}
