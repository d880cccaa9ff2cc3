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
const CONFIRMATION_TTL: Duration = Duration::from_millis(100);

/// Whether entries that are missing now may be back in a moment.
fn entries_may_return<P: Platform>(gw: &Gateway<P>) -> bool {
    gw.reader.store_status().recovered_at.is_some_and(|t| t.elapsed() < LAPSE_GRACE)
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
    activate_config(gw, next, row.ver);
}

fn activate_config<P: Platform>(gw: &Gateway<P>, next: Catalog, ver: Ver) {
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
    gw.keeper.set_prepaid(next.prepaid());
    log_unservable_routes(gw, &next);
    let host_homes = next.host_homes();
    *gw.catalog.borrow_mut() = Some(Rc::new(next));
    gw.entry.send_modify(|e| {
        e.ready = gw.is_ready();
        e.host_homes = host_homes;
    });
}

/// Says which routes are bound to regions in which there is no zone: their requests are all
/// refused.
fn log_unservable_routes<P: Platform>(gw: &Gateway<P>, catalog: &Catalog) {
    let regions = &gw.settings.regions;
    let unservable = |r: &&Route| !r.homes.is_empty() && !regions.has_any(&r.homes);
    for r in catalog.routes().iter().filter(unservable) {
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
    let requested_at = Instant::now();
    let mut latest = gw.confirmed.lock().await;
    if let Some(c) = *latest
        && (c.sent >= requested_at || c.store_answered && c.sent.elapsed() < CONFIRMATION_TTL)
    {
        return c.store_answered;
    }
    let sent = Instant::now();
    let (table, _) = gw.platform.config_row();
    let changes = gw.config_feed.catch_up(&gw.reader, table).await;
    let store_answered = changes.is_some();
    if let Some(page) = changes.filter(|p| !p.rows.is_empty()) {
        apply_operator_rows(gw, &page, false);
        gw.config_feed.advance(page.ver);
    }
    *latest = Some(Confirmation { sent, store_answered });
    store_answered
}

/// Takes in what the operator wrote; `whole` if the page is the whole table.
fn apply_operator_rows<P: Platform>(gw: &Gateway<P>, page: &Page, is_full_table: bool) {
    let order = |r: &Row| {
        let zone = gw.platform.emptied_zone(&r.at.key)?;
        Some(ZoneOrder { zone, ver: r.ver, emptied: r.value.is_some() })
    };
    let orders: Vec<ZoneOrder> = page.rows.iter().filter_map(order).collect();
    if is_full_table {
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
    gw.reader
        .follow(table, &gw.config_feed, |page, is_full_table| {
            apply_operator_rows(&gw, page, is_full_table)
        })
        .await;
}

/// Follows the targets' entries for ever.
pub async fn follow_targets<P: Platform>(gw: Rc<Gateway<P>>) {
    let table = gw.platform.targets_table();
    let apply_page = |page: &Page, is_full_table| apply_target_rows(&gw, page, is_full_table);
    gw.reader.follow(table, &Feed::default(), apply_page).await;
}

fn apply_target_rows<P: Platform>(gw: &Gateway<P>, page: &Page, is_full_table: bool) {
    for row in &page.rows {
        match &row.value {
            Some(value) => apply_target_row(gw, row, value),
            None => remove_or_lapse_target(gw, &row.at.key, row.ver),
        }
    }
    if !is_full_table {
        return;
    }
    let listed = |id: &str| page.rows.iter().any(|r| r.at.key == id);
    for id in gw.targets.ids().iter().filter(|id| !listed(id)) {
        remove_or_lapse_target(gw, id, page.ver);
    }
}

fn apply_target_row<P: Platform>(gw: &Gateway<P>, row: &Row, value: &[u8]) {
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
fn remove_or_lapse_target<P: Platform>(gw: &Gateway<P>, id: &str, ver: Ver) {
    if entries_may_return(gw) {
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
        let store = gw.reader.store_status();
        if store.unavailable || entries_may_return(&gw) {
            continue;
        }
        for id in gw.targets.sweep() {
            gw.log.note("target", format_args!("target={id} state=gone"));
        }
    }
}
