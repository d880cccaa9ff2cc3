//! Follows the store: the operator's configuration and the targets' entries.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::catalog::{Catalog, Route};
use super::feed::{Confirmation, Feed};
use super::orders::ZoneOrder;
use super::state::{Gateway, Platform};
use super::targets::Change;
use crate::rows::{Page, Row, Ver};

/// How long after the store's return entries that lapsed meanwhile may come back: the targets
/// write again within about 2 s of it.
const LAPSE_GRACE: Duration = Duration::from_millis(2_600);
/// A configuration confirmed so lately need not be confirmed again to be sure of a refusal.
const CONFIRMED_FOR: Duration = Duration::from_millis(100);

/// Whether entries that are missing now may be back in a moment.
fn may_return<P: Platform>(gw: &Gateway<P>) -> bool {
    gw.reader.link().back.is_some_and(|t| t.elapsed() < LAPSE_GRACE)
}

fn apply_config<P: Platform>(gw: &Gateway<P>, row: &Row) {
    let Some(value) = &row.value else { return };
    let next = match gw.platform.catalog(value) {
        Ok(next) => next,
        Err(e) => {
            gw.stats.config_rejected.inc();
            return gw
                .log
                .note("config", format_args!("row_ver={} outcome=unreadable error={e}", row.ver));
        }
    };
    let current = gw.config();
    if current.as_ref().is_some_and(|c| c.version >= next.version) {
        return;
    }
    put_in_force(gw, next, row.ver);
}

fn put_in_force<P: Platform>(gw: &Gateway<P>, next: Catalog, ver: Ver) {
    let from = gw.config().map_or(0, |c| c.version);
    gw.log.note(
        "config",
        format_args!(
            "version={} from={from} row_ver={ver} routes={} outcome=in_force",
            next.version,
            next.route_count()
        ),
    );
    gw.stats.config_version.set(i64::try_from(next.version).unwrap_or(i64::MAX));
    gw.budget_shares.set_prepaid(next.prepaid());
    note_homeless(gw, &next);
    let host_homes = next.host_homes();
    *gw.catalog.borrow_mut() = Some(Rc::new(next));
    gw.entry.send_modify(|e| {
        e.ready = gw.is_ready();
        e.host_homes = host_homes;
    });
}

/// Says which routes are bound to regions in which there is no zone: their requests are all
/// refused.
fn note_homeless<P: Platform>(gw: &Gateway<P>, catalog: &Catalog) {
    let regions = &gw.settings.regions;
    let homeless = |r: &&Route| !r.homes.is_empty() && !regions.has_any(&r.homes);
    for r in catalog.routes().iter().filter(homeless) {
        gw.log.note(
            "config",
            format_args!("route={} homes={:?} outcome=no_zone_in_homes", r.name, r.homes),
        );
    }
}

/// Makes sure that the configuration in force is the newest, so that a refusal which rests on it is
/// right at this moment. Returns whether it is.
///
/// Asks for changes only: a configuration of some thousand routes takes a link of 10 Mbit/s for
/// 0.9 s, and read whole for each refusal it left no room for callers.
pub async fn confirm_config<P: Platform>(gw: &Gateway<P>) -> bool {
    let asked = Instant::now();
    let mut latest = gw.confirmed.lock().await;
    if let Some(c) = *latest
        && (c.sent >= asked || c.done && c.sent.elapsed() < CONFIRMED_FOR)
    {
        return c.done;
    }
    let sent = Instant::now();
    let (table, _) = gw.platform.config_row();
    let changes = gw.config_feed.catch_up(&gw.reader, table).await;
    let done = changes.is_some();
    if let Some(page) = changes.filter(|p| !p.rows.is_empty()) {
        take_operator(gw, &page, false);
        gw.config_feed.advance(page.ver);
    }
    *latest = Some(Confirmation { sent, done });
    done
}

/// Takes in what the operator wrote; `whole` if the page is the whole table.
fn take_operator<P: Platform>(gw: &Gateway<P>, page: &Page, whole: bool) {
    let order = |r: &Row| {
        let zone = gw.platform.emptied_zone(&r.at.key)?;
        Some(ZoneOrder { zone, ver: r.ver, emptied: r.value.is_some() })
    };
    let orders: Vec<ZoneOrder> = page.rows.iter().filter_map(order).collect();
    if whole {
        gw.zones.take_whole(&orders, page.ver);
    } else {
        gw.zones.take(&orders, "store");
    }
    let (_, key) = gw.platform.config_row();
    page.rows.iter().filter(|r| r.at.key == key).for_each(|r| apply_config(gw, r));
}

/// Follows the configuration for ever.
pub async fn follow_config<P: Platform>(gw: Rc<Gateway<P>>) {
    let (table, _) = gw.platform.config_row();
    gw.reader.follow(table, &gw.config_feed, |page, whole| take_operator(&gw, page, whole)).await;
}

/// Follows the targets' entries for ever.
pub async fn follow_targets<P: Platform>(gw: Rc<Gateway<P>>) {
    let table = gw.platform.targets_table();
    let take = |page: &Page, whole| take_targets(&gw, page, whole);
    gw.reader.follow(table, &Feed::default(), take).await;
}

fn take_targets<P: Platform>(gw: &Gateway<P>, page: &Page, whole: bool) {
    for row in &page.rows {
        match &row.value {
            Some(value) => take_target(gw, row, value),
            None => drop_target(gw, &row.at.key, row.ver),
        }
    }
    if !whole {
        return;
    }
    let listed = |id: &str| page.rows.iter().any(|r| r.at.key == id);
    for id in gw.targets.ids().iter().filter(|id| !listed(id)) {
        drop_target(gw, id, page.ver);
    }
}

fn take_target<P: Platform>(gw: &Gateway<P>, row: &Row, value: &[u8]) {
    match gw.platform.target(&row.at.key, value) {
        Ok(info) => {
            let line = format!(
                "target={} service={} state={:?} zone={} cold_ms={}",
                info.id,
                info.service,
                info.state,
                info.zone,
                info.warm_up.as_millis()
            );
            match gw.targets.set(info) {
                Change::Same => (),
                Change::New | Change::State => {
                    gw.log.note("target", format_args!("{line} ver={}", row.ver));
                }
                change @ (Change::Restarted | Change::Outdated) => {
                    gw.log.note("target", format_args!("{line} ver={} outcome={change:?}", row.ver))
                }
            }
        }
        // Something else wrote this entry, or its target is not what it was: sent to the address
        // that was known before, requests could run at another service. The others hold.
        Err(e) => {
            gw.stats.entries_rejected.inc();
            let known = gw.targets.remove(&row.at.key);
            gw.log.note(
                "target",
                format_args!("target={} outcome=unreadable known={known} error={e}", row.at.key),
            );
        }
    }
}

/// Entries also vanish because the store was away and the targets could not write to it. Such a
/// target is kept for a while as a last resort: to drop all of them at once would refuse every
/// request although the targets live.
fn drop_target<P: Platform>(gw: &Gateway<P>, id: &str, ver: Ver) {
    if may_return(gw) {
        gw.targets.lapse(id);
        return gw.log.note("target", format_args!("target={id} state=lapsed ver={ver}"));
    }
    if gw.targets.remove(id) {
        gw.log.note("target", format_args!("target={id} state=gone ver={ver}"));
    }
}

/// Removes lapsed targets once their time is over.
pub async fn sweep_targets<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        sleep(LAPSE_GRACE / 4).await;
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        gw.stats.targets_cold.set(count(gw.targets.count_cold()));
        gw.stats.targets_leaving.set(count(gw.targets.count_leaving()));
        gw.stats.targets_resting.set(count(gw.targets.count_resting()));
        let link = gw.reader.link();
        if link.away || may_return(&gw) {
            continue;
        }
        for id in gw.targets.sweep() {
            gw.log.note("target", format_args!("target={id} state=gone"));
        }
    }
}
