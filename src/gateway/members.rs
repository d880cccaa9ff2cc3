//! Membership of the fleet: each router has one row in the store and renews it while it is alive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::cold::OwnerCandidate;
use super::connect::close_unusable_connections;
use super::entry::RouterEntry;
use super::origins::KeeperRing;
use super::path::Relay;
use super::quarantine::{CrashReport, Source};
use super::state::{Gateway, Phase, Platform};
use super::zone_orders::ZoneOrder;
use crate::allowance::Lender;
use crate::error::{Error, Kind, Result};
use crate::rows::{Page, Row, RowKey, StoreError, StoreMs, Tx, Ver};

/// The table of routers.
const TABLE: &str = "routers";
/// Interval between two renewals. 470 routers make 235 writes and as many reads per second.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Age of a row after which its router counts as gone, in milliseconds: three missed renewals.
const STALE_MS: u64 = 6_500;
/// Age of a row after which its router no longer counts among those that may still retry requests,
/// in milliseconds.
const RETRYING_ROUTER_MAX_AGE_MS: u64 = 60_000;
/// Age of a row after which its orders for zones do not count, in milliseconds. Targets have warmed
/// up by then.
const ORDERS_MAX_AGE_MS: u64 = 60_000;

/// Number of reads after which all live routers have renewed their rows.
const MIN_READS: u32 = 3;
/// Delay before a renewal that found a late write of the predecessor is repeated.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time a router takes to read the table and renew its row, in milliseconds.
const MAX_RENEWAL_MS: u64 = 500;

/// The value of a router's row.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct Entry {
    front: SocketAddr,
    peer: SocketAddr,
    zone: CompactString,
    leaving: bool,
    /// Whether the router is partitioned from the targets.
    #[serde(default)]
    partitioned: bool,
    /// Current rate of requests per second, and the maximum one.
    rate: u32,
    capacity: u32,
    /// Latest store time known to the router when it wrote the row.
    beat: StoreMs,
    /// Crashes and completions observed by the router.
    #[serde(default)]
    report: CrashReport,
    /// Recent orders for zones. If all routers end together, only the rows show that a zone was
    /// emptied, and its targets may be cold when the order has gone.
    #[serde(default)]
    orders: Vec<ZoneOrder>,
}

impl Entry {
    fn decode(row: &Row) -> Result<Entry> {
        let value = row.value.as_deref().unwrap_or_default();
        ciborium::from_reader(value)
            .map_err(|e| Error::new(Kind::BadFormat, format!("router's row: {e}")))
    }

    fn as_router(&self) -> RouterEntry {
        RouterEntry {
            front: self.front,
            zone: self.zone.clone(),
            leaving: self.leaving,
            partitioned: self.partitioned,
            rate: self.rate,
            capacity: self.capacity,
        }
    }

    fn encode(&self) -> Bytes {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("writing to memory cannot fail");
        out.into()
    }
}

/// This router's row as last read. It may be its predecessor's, and is empty before the first write.
#[derive(Debug, Default)]
struct OwnRow {
    ver: Ver,
    report: CrashReport,
}

/// The row of another router, and the age of its content.
struct PeerRow {
    instance: CompactString,
    entry: Entry,
    age_ms: u64,
}

impl PeerRow {
    fn as_owner(&self) -> OwnerCandidate {
        OwnerCandidate {
            instance: self.instance.clone(),
            zone: self.entry.zone.clone(),
            addr: self.entry.peer,
            capacity: self.entry.capacity,
        }
    }

    fn as_relay(&self) -> Relay {
        Relay {
            addr: self.entry.peer,
            zone: self.entry.zone.clone(),
            capacity: self.entry.capacity,
        }
    }

    fn as_lender(&self) -> Lender {
        Lender {
            name: self.instance.clone(),
            zone: self.entry.zone.clone(),
            addr: self.entry.peer,
            capacity: self.entry.capacity,
        }
    }
}

/// Renews this router's row and reads all others. Runs until cancelled.
pub async fn run<P: Platform>(gw: Rc<Gateway<P>>) {
    let mut phase = gw.phase.subscribe();
    let mut reads = TableReads::default();
    publish(&gw, &[]);
    let mut rate_since = Instant::now();
    loop {
        let mut next_renewal = RENEWAL_INTERVAL;
        let s = rate_since.elapsed().as_secs_f64();
        if s >= RENEWAL_INTERVAL.as_secs_f64() / 2.0 {
            gw.requests_per_s.set((f64::from(gw.requests_since_sample.replace(0)) / s) as u32);
            rate_since = Instant::now();
        }
        gw.stats.active_requests.set(i64::try_from(gw.active_requests.get()).unwrap_or(i64::MAX));
        gw.stats.log_lines_dropped.set(i64::try_from(gw.log.lines_dropped()).unwrap_or(i64::MAX));
        // The table is read first: a row written without knowing the store's time would count as
        // stale.
        match gw.platform.scan(TABLE, "").await {
            Ok(page) => {
                reads.record_read(page.now);
                let own = apply_rows(&gw, &page, &reads);
                if !renew(&gw, page.now, own).await {
                    next_renewal = CONFLICT_RETRY_DELAY;
                }
            }
            Err(e) => gw.log.routine("members", format_args!("outcome=unread cause={e}")),
        }
        let changed = async {
            tokio::select! {
                // The start of a shutdown is written at once: callers ask other routers for
                // entries, and these must leave this router out.
                _ = phase.changed() => (),
                // Other routers must neither relay through a partitioned router nor send callers
                // to it.
                () = gw.path.changed() => (),
                // Crashes are written soon, so that other routers learn which requests were
                // involved.
                () = gw.crashes.row_write_due() => (),
            }
        };
        // The row is also renewed if nothing changes.
        let _ = tokio::time::timeout(next_renewal, changed).await;
    }
}

/// Times at which this router read the table, by the store's clock.
#[derive(Debug, Default)]
pub struct TableReads {
    latest: Option<StoreMs>,
    count: u32,
    /// Length of the latest long interval without an answer, in milliseconds, and the store time at
    /// which it ended.
    gap: Option<(u64, StoreMs)>,
}

impl TableReads {
    /// Records a successful read.
    pub fn record_read(&mut self, now: StoreMs) {
        let gap = self.latest.map_or(0, |l| now.0.saturating_sub(l.0));
        if gap > STALE_MS / 2 {
            self.gap = Some((gap, now));
        }
        self.latest = Some(now);
        self.count = self.count.saturating_add(1);
    }

    /// Whether this process has read the table so few times that some live routers may not have
    /// renewed their rows since it started.
    pub fn are_too_few(&self) -> bool {
        self.count <= MIN_READS
    }

    /// The age of a row, in milliseconds, from which its router is no longer advertised to callers:
    /// `limit`, extended for a while after an interval without answers.
    pub fn max_advertised_age_ms(&self, now: StoreMs, limit: Duration) -> u64 {
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let renewal_ms =
            u64::try_from(RENEWAL_INTERVAL.as_millis()).unwrap_or(u64::MAX) + MAX_RENEWAL_MS;
        let gap = self.gap.filter(|(_, ended_at)| now.0.saturating_sub(ended_at.0) < renewal_ms);
        limit.saturating_add(gap.map_or(0, |(gap, _)| gap))
    }

    /// The age of a row, in milliseconds, from which it counts as stale. It is extended after an
    /// interval in which this router could not read, because the others may have been unable to
    /// write. Without the extension every router considers itself alone after a store outage that
    /// affects all of them, and advertises only itself. Callers then spread over the whole fleet,
    /// and 60 routers instead of ten compete for each budget's row.
    pub fn stale_ms(&self, now: StoreMs) -> u64 {
        let gap = self.gap.filter(|(_, ended_at)| now.0.saturating_sub(ended_at.0) < STALE_MS);
        STALE_MS + gap.map_or(0, |(gap, _)| gap)
    }
}

/// Writes this router's row, which was `own` when it was read. Returns false if another write came
/// in between.
async fn renew<P: Platform>(gw: &Gateway<P>, store_time: StoreMs, own: OwnRow) -> bool {
    let s = &gw.settings;
    let leaving = *gw.phase.borrow() != Phase::Up;
    let entry = Entry {
        front: s.front,
        peer: s.peer,
        zone: s.zone.clone(),
        leaving,
        partitioned: gw.path.is_partitioned(),
        rate: gw.requests_per_s.get(),
        capacity: s.capacity,
        beat: store_time,
        report: gw.crashes.report(store_time),
        orders: gw.zones.lasting_orders(),
    };
    let at = RowKey::new(TABLE, &s.instance);
    // A late write of the predecessor must be read before it is overwritten: its crashes may be
    // nowhere else. For the same reason new crashes are written in any case, so that they reach the
    // successor of this process even if it writes first.
    let has_news = !own.report.includes(&entry.report);
    let expect = if has_news { Vec::new() } else { vec![(at.clone(), own.ver)] };
    let tx = Tx { expect, write: vec![(at, entry.encode())], ..Tx::default() };
    match gw.platform.commit(&tx).await {
        Ok(done) => gw.budget_shares.observe_store_time(done.now),
        Err(StoreError::Conflict(_)) => {
            gw.log.note("members", format_args!("outcome=late_write read_ver={}", own.ver));
            return false;
        }
        Err(e) => gw.log.routine("members", format_args!("outcome=unwritten cause={e}")),
    }
    true
}

/// Applies all rows, and returns this router's own.
fn apply_rows<P: Platform>(gw: &Gateway<P>, page: &Page, reads: &TableReads) -> OwnRow {
    let decode_row = |row: &Row| match Entry::decode(row) {
        Ok(entry) => {
            let age_ms = page.now.0.saturating_sub(entry.beat.0);
            Some(PeerRow { instance: row.at.key.clone(), entry, age_ms })
        }
        // The other rows are still applied; callers are not sent to this router.
        Err(e) => {
            let key = &row.at.key;
            gw.log.routine("members", format_args!("instance={key} outcome=unreadable error={e}"));
            None
        }
    };
    let (own, others): (Vec<PeerRow>, Vec<PeerRow>) = page
        .rows
        .iter()
        .filter_map(decode_row)
        .partition(|row| row.instance == gw.settings.instance);
    // The row read under this router's name may be its predecessor's at any time, because the
    // predecessor's last write can take effect late. Its crashes would be lost with the next
    // renewal.
    let predecessor_reports = own.iter().map(|o| (&o.entry.report, Source::Own));
    // Includes rows of routers that ended long ago, because their crashes still count.
    let peer_reports = others.iter().map(|o| (&o.entry.report, Source::Other));
    gw.crashes.merge_reports(predecessor_reports.chain(peer_reports), page.now);
    let recent = own.iter().chain(&others).filter(|o| o.age_ms < ORDERS_MAX_AGE_MS);
    recent.for_each(|o| gw.zones.merge_newer(&o.entry.orders, "row"));
    let stale_ms = reads.stale_ms(page.now);
    let live: Vec<&PeerRow> = others.iter().filter(|o| o.age_ms < stale_ms).collect();
    let zone = &gw.settings.zone;
    let (near, far): (Vec<&PeerRow>, Vec<&PeerRow>) =
        live.iter().partition(|o| o.entry.zone == *zone);
    let addresses = |of: &[&PeerRow]| of.iter().map(|o| o.entry.peer).collect();
    gw.crashes.set_peers(addresses(&live));
    gw.zones.set_peers(addresses(&live));
    let routers = live.iter().map(|o| (o.instance.as_str(), o.entry.peer));
    gw.origins.set_peers(KeeperRing::new(routers));
    gw.hints.set_peers(addresses(&near), addresses(&far));
    gw.set_peers(others.iter().map(|o| o.entry.peer.ip()).collect());
    let retrying = 1 + others.iter().filter(|o| o.age_ms < RETRYING_ROUTER_MAX_AGE_MS).count();
    gw.retries.borrow_mut().set_routers(u32::try_from(retrying).unwrap_or(u32::MAX));
    set_lenders(gw, &live);
    let can_relay = |o: &&&PeerRow| !o.entry.leaving && !o.entry.partitioned;
    gw.path.set_relays(live.iter().filter(can_relay).map(|o| o.as_relay()).collect());
    if gw.path.is_partitioned() {
        close_unusable_connections(gw);
    }
    // A process that has just started to read the table counts every row. After a long outage of
    // the store the rows of live routers are stale as well, and each router would own all targets.
    let all: Vec<&PeerRow> = others.iter().collect();
    let owners = owners(gw, if reads.are_too_few() { &all } else { &live }, !own.is_empty());
    gw.capacity.set_routers(owners.clone(), addresses(&live));
    gw.cold.set_owners(owners);
    let max_advertised_age_ms = reads.max_advertised_age_ms(page.now, gw.settings.unlisted_after);
    let advertised = live.iter().filter(|o| o.age_ms < max_advertised_age_ms);
    let advertised: Vec<RouterEntry> = advertised.map(|o| o.entry.as_router()).collect();
    publish(gw, &advertised);
    // The version is needed even if the row cannot be decoded.
    let is_own = |row: &&Row| row.at.key == gw.settings.instance;
    let ver = page.rows.iter().find(is_own).map_or(Ver::default(), |row| row.ver);
    let report = own.into_iter().next().map(|o| o.entry.report).unwrap_or_default();
    OwnRow { ver, report }
}

/// Routers that are not leaving may own targets to which requests are limited. This router is included once its own row was
/// read, so that of two routers that start together at least one knows the other.
fn owners<P: Platform>(gw: &Gateway<P>, known: &[&PeerRow], listed: bool) -> Vec<OwnerCandidate> {
    let s = &gw.settings;
    let staying = known.iter().filter(|o| !o.entry.leaving);
    let mut owners: Vec<OwnerCandidate> = staying.map(|o| o.as_owner()).collect();
    if listed && *gw.phase.borrow() == Phase::Up {
        owners.push(OwnerCandidate {
            instance: s.instance.clone(),
            zone: s.zone.clone(),
            addr: s.peer,
            capacity: s.capacity,
        });
    }
    owners
}

/// Routers that are not leaving may lend budget to others.
fn set_lenders<P: Platform>(gw: &Gateway<P>, live: &[&PeerRow]) {
    let s = &gw.settings;
    let me = Lender {
        name: s.instance.clone(),
        zone: s.zone.clone(),
        addr: s.peer,
        capacity: s.capacity,
    };
    let staying = live.iter().filter(|o| !o.entry.leaving);
    let mut routers: Vec<Lender> = staying.map(|o| o.as_lender()).collect();
    if *gw.phase.borrow() == Phase::Up {
        routers.push(me);
    }
    gw.budget_shares.set_lenders(&s.instance, &s.zone, routers);
}

fn publish<P: Platform>(gw: &Gateway<P>, others: &[RouterEntry]) {
    let s = &gw.settings;
    let leaving = *gw.phase.borrow() != Phase::Up;
    let me = RouterEntry {
        front: s.front,
        zone: s.zone.clone(),
        leaving,
        partitioned: gw.path.is_partitioned(),
        rate: gw.requests_per_s.get(),
        capacity: s.capacity,
    };
    let mut routers = others.to_vec();
    routers.push(me);
    routers.sort_by_key(|r| r.front);
    let ready = gw.is_ready();
    gw.entry.send_if_modified(|view| {
        let changed = view.routers != routers || view.ready != ready;
        if changed {
            view.routers = routers;
            view.ready = ready;
            let n = view.routers.iter().filter(|r| !r.leaving).count();
            let partitioned = view.routers.iter().filter(|r| r.partitioned).count();
            let named = view.answer("", &s.zone, &s.regions).len();
            gw.log.note(
                "members",
                format_args!(
                    "routers={} staying={n} partitioned={partitioned} ready={ready} named={named}",
                    view.routers.len(),
                ),
            );
        }
        changed
    });
}

/// Removes this router from its own entry answers at once.
pub fn mark_leaving<P: Platform>(gw: &Gateway<P>) {
    gw.entry.send_modify(|view| {
        view.ready = false;
        for r in view.routers.iter_mut().filter(|r| r.front == gw.settings.front) {
            r.leaving = true;
        }
    });
}
