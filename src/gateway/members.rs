//! Which routers there are: one row each in the store, renewed while they live.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::cold::Owner;
use super::entry::RouterEntry;
use super::quarantine::{Report, Source};
use super::state::{Gateway, Phase, Platform};
use crate::allowance::Lender;
use crate::error::{Error, Kind, Result};
use crate::rows::{Page, Row, RowKey, StoreMs, Tx};

/// The table of routers.
const TABLE: &str = "routers";
/// Pause between two renewals. With 470 routers this is 235 writes and as many reads a second.
const BEAT: Duration = Duration::from_secs(2);
/// Age of an entry after which its router counts as gone, ms: three renewals missed.
const STALE_MS: u64 = 6_500;
/// Age after which an entry no longer counts as one that may still repeat requests, ms.
const FORGOTTEN_MS: u64 = 60_000;

/// Readings after which all living routers have renewed their rows.
const FEW_READS: u32 = 3;
/// How long a router takes to read the table and renew its row, at most, ms.
const RENEWAL_MS: u64 = 500;

/// A router's row.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct Entry {
    front: SocketAddr,
    peer: SocketAddr,
    zone: CompactString,
    leaving: bool,
    /// Requests a second of late, and at most.
    rate: u32,
    capacity: u32,
    /// Newest store time that the router knew when it wrote the row.
    beat: StoreMs,
    /// Targets that ended under requests.
    #[serde(default)]
    report: Report,
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

/// Another router, and how old what it says is.
struct Other {
    instance: CompactString,
    entry: Entry,
    age_ms: u64,
}

impl Other {
    fn as_owner(&self) -> Owner {
        Owner {
            instance: self.instance.clone(),
            zone: self.entry.zone.clone(),
            addr: self.entry.peer,
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

/// Renews this router's row and reads all others, for ever.
pub async fn run<P: Platform>(gw: Rc<Gateway<P>>) {
    let mut phase = gw.phase.subscribe();
    let mut reads = Reads::default();
    publish(&gw, &[]);
    let mut measured = Instant::now();
    loop {
        let s = measured.elapsed().as_secs_f64();
        if s >= BEAT.as_secs_f64() / 2.0 {
            gw.requests_per_s.set((f64::from(gw.requests_since_sample.replace(0)) / s) as u32);
            measured = Instant::now();
        }
        gw.stats.active.set(i64::try_from(gw.active_requests.get()).unwrap_or(i64::MAX));
        gw.stats.log_dropped.set(i64::try_from(gw.log.lines_dropped()).unwrap_or(i64::MAX));
        // Read first: a row written without knowing the store's time would count as stale.
        match gw.platform.scan(TABLE, "").await {
            Ok(page) => {
                reads.note(page.now);
                take(&gw, &page, &reads);
                renew(&gw, page.now).await;
            }
            Err(e) => gw.log.routine("members", format_args!("outcome=unread cause={e}")),
        }
        let changed = async {
            tokio::select! {
                // A stop is written at once: callers ask others, which must leave this one out.
                _ = phase.changed() => (),
                // So is a target's end: the others must know which requests it ended under.
                () = gw.crashes.to_write() => (),
            }
        };
        // Without a change the row is renewed all the same.
        let _ = tokio::time::timeout(BEAT, changed).await;
    }
}

/// When this router read the table, by the store's clock.
#[derive(Debug, Default)]
pub struct Reads {
    latest: Option<StoreMs>,
    count: u32,
    /// The longest time without an answer of late, ms, and when it was over.
    gap: Option<(u64, StoreMs)>,
}

impl Reads {
    /// Notes a reading.
    pub fn note(&mut self, now: StoreMs) {
        let gap = self.latest.map_or(0, |l| now.0.saturating_sub(l.0));
        if gap > STALE_MS / 2 {
            self.gap = Some((gap, now));
        }
        self.latest = Some(now);
        self.count = self.count.saturating_add(1);
    }

    /// Whether this process has read the table so seldom that others may not have renewed their
    /// rows since it started.
    pub fn are_few(&self) -> bool {
        self.count <= FEW_READS
    }

    /// The age from which on callers are not sent to a row's router: `limit`, and for a while more
    /// after a time without answers.
    pub fn unnamed_ms(&self, now: StoreMs, limit: Duration) -> u64 {
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let renewed = u64::try_from(BEAT.as_millis()).unwrap_or(u64::MAX) + RENEWAL_MS;
        let gap = self.gap.filter(|(_, over)| now.0.saturating_sub(over.0) < renewed);
        limit.saturating_add(gap.map_or(0, |(gap, _)| gap))
    }

    /// The age at which a row counts as stale. While this router could not read, the others
    /// could perhaps not write. Without this allowance every router believes itself alone once a
    /// cut of all is over, names only itself to callers, and the callers spread over the whole
    /// fleet: 60 routers then race for each budget's row instead of ten.
    pub fn stale_ms(&self, now: StoreMs) -> u64 {
        let gap = self.gap.filter(|(_, over)| now.0.saturating_sub(over.0) < STALE_MS);
        STALE_MS + gap.map_or(0, |(gap, _)| gap)
    }
}

async fn renew<P: Platform>(gw: &Gateway<P>, seen: StoreMs) {
    let s = &gw.settings;
    let leaving = *gw.phase.borrow() != Phase::Up;
    let entry = Entry {
        front: s.front,
        peer: s.peer,
        zone: s.zone.clone(),
        leaving,
        rate: gw.requests_per_s.get(),
        capacity: s.capacity,
        beat: seen,
        report: gw.crashes.report(seen),
    };
    let at = RowKey::new(TABLE, &s.instance);
    let tx = Tx { write: vec![(at, entry.encode())], ..Tx::default() };
    match gw.platform.commit(&tx).await {
        Ok(done) => gw.budget_shares.saw(done.now),
        Err(e) => gw.log.routine("members", format_args!("outcome=unwritten cause={e}")),
    }
}

fn take<P: Platform>(gw: &Gateway<P>, page: &Page, reads: &Reads) {
    let readable = |row: &Row| match Entry::decode(row) {
        Ok(entry) => {
            let age_ms = page.now.0.saturating_sub(entry.beat.0);
            Some(Other { instance: row.at.key.clone(), entry, age_ms })
        }
        Err(e) => {
            // The others are known all the same; callers are not sent to this one.
            let key = &row.at.key;
            gw.log.routine("members", format_args!("instance={key} outcome=unreadable error={e}"));
            None
        }
    };
    let (own, others): (Vec<Other>, Vec<Other>) =
        page.rows.iter().filter_map(readable).partition(|row| row.instance == gw.settings.instance);
    // At any reading this router's row may be its predecessor's, whose last write can take effect
    // late. What that one reported would be gone with the next renewal.
    let former = own.iter().map(|o| (&o.entry.report, Source::Own));
    // Also of routers that are long dead: what they saw still holds.
    let told = others.iter().map(|o| (&o.entry.report, Source::Other));
    gw.crashes.take(former.chain(told), page.now);
    let stale_ms = reads.stale_ms(page.now);
    let live: Vec<&Other> = others.iter().filter(|o| o.age_ms < stale_ms).collect();
    let zone = &gw.settings.zone;
    let (near, far): (Vec<&Other>, Vec<&Other>) = live.iter().partition(|o| o.entry.zone == *zone);
    let addresses = |of: &[&Other]| of.iter().map(|o| o.entry.peer).collect();
    gw.crashes.set_peers(addresses(&live));
    gw.zones.set_peers(addresses(&live));
    gw.hints.set_peers(addresses(&near), addresses(&far));
    gw.set_peers(others.iter().map(|o| o.entry.peer.ip()).collect());
    let counted = 1 + others.iter().filter(|o| o.age_ms < FORGOTTEN_MS).count();
    gw.retries.borrow_mut().set_routers(u32::try_from(counted).unwrap_or(u32::MAX));
    set_lenders(gw, &live);
    // A process that knows the table since a moment ago counts every row: after a long outage of
    // the store those of living routers are old as well, and each would own all targets.
    let all: Vec<&Other> = others.iter().collect();
    set_owners(gw, if reads.are_few() { &all } else { &live }, !own.is_empty());
    let unnamed_ms = reads.unnamed_ms(page.now, gw.settings.unlisted_after);
    let named = live.iter().filter(|o| o.age_ms < unnamed_ms);
    let named: Vec<RouterEntry> = named.map(|o| o.entry.as_router()).collect();
    publish(gw, &named);
}

/// Those that stay may own cold targets; this one once its row was seen, so that of two that start
/// at least one knows of the other.
fn set_owners<P: Platform>(gw: &Gateway<P>, known: &[&Other], listed: bool) {
    let s = &gw.settings;
    let staying = known.iter().filter(|o| !o.entry.leaving);
    let mut owners: Vec<Owner> = staying.map(|o| o.as_owner()).collect();
    if listed && *gw.phase.borrow() == Phase::Up {
        owners.push(Owner {
            instance: s.instance.clone(),
            zone: s.zone.clone(),
            addr: s.peer,
            capacity: s.capacity,
        });
    }
    gw.cold.set_owners(owners);
}

/// Those that stay may lend.
fn set_lenders<P: Platform>(gw: &Gateway<P>, live: &[&Other]) {
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
            let named = view.answer("", &s.zone, &s.regions).len();
            gw.log.note(
                "members",
                format_args!(
                    "routers={} staying={n} ready={ready} named={named}",
                    view.routers.len(),
                ),
            );
        }
        changed
    });
}

/// Drops this router from its own entry answers at once.
pub fn leave<P: Platform>(gw: &Gateway<P>) {
    gw.entry.send_modify(|view| {
        view.ready = false;
        for r in view.routers.iter_mut().filter(|r| r.front == gw.settings.front) {
            r.leaving = true;
        }
    });
}
