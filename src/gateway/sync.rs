//! Applies changes in the store: the operator's configuration and the targets' entries.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::catalog::{Catalog, Route};
use super::feed::{Confirmation, Feed};
use super::forward::OrDash;
use super::state::{Gateway, Platform};
use super::targets::Change;
use super::zone_orders::ZoneOrder;
use crate::rows::{Page, Row, Ver};

/// How long after the store has recovered from an outage entries that lapsed during it may
/// reappear. Targets renew their entries within about 2 s of the recovery.
const LAPSE_GRACE: Duration = Duration::from_millis(2_600);
/// A refusal may rely on a confirmation of the configuration that is at most this old.
const CONFIRMATION_TTL: Duration = Duration::from_millis(100);

/// Whether entries that are missing now may still reappear after an outage of the store.
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
    gw.budget_shares.set_prepaid(next.prepaid());
    log_unservable_routes(gw, &next);
    let host_homes = next.host_homes();
    *gw.catalog.borrow_mut() = Some(Rc::new(next));
    gw.entry.send_modify(|e| {
        e.ready = gw.is_ready();
        e.host_homes = host_homes;
    });
}

/// Logs routes that are restricted to regions without any availability zone. All their requests are
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

/// Confirms that the configuration in force is the latest one, so that a refusal based on it is
/// correct at this moment. Returns whether it is confirmed.
///
/// Only changes are read. A configuration with some thousand routes occupies a link of 10 Mbit/s
/// for 0.9 s; reading it completely for each refusal left no bandwidth for callers.
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

/// Applies what the operator wrote. `is_full_table` is true if the page holds the whole table, and
/// false if it holds only changes.
fn apply_operator_rows<P: Platform>(gw: &Gateway<P>, page: &Page, is_full_table: bool) {
    let order = |r: &Row| {
        let zone = gw.platform.emptied_zone(&r.at.key)?;
        Some(ZoneOrder { zone, ver: r.ver, emptied: r.value.is_some() })
    };
    let orders: Vec<ZoneOrder> = page.rows.iter().filter_map(order).collect();
    if is_full_table {
        gw.zones.apply_snapshot(&orders, page.ver);
    } else {
        gw.zones.merge_newer(&orders, "store");
    }
    let (_, key) = gw.platform.config_row();
    page.rows.iter().filter(|r| r.at.key == key).for_each(|r| apply_config(gw, r));
}

/// Applies changes of the configuration. Runs until cancelled.
pub async fn follow_config<P: Platform>(gw: Rc<Gateway<P>>) {
    let (table, _) = gw.platform.config_row();
    gw.reader
        .follow(table, &gw.config_feed, |page, is_full_table| {
            apply_operator_rows(&gw, page, is_full_table)
        })
        .await;
}

/// Applies changes of the targets' entries. Runs until cancelled.
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
                "target={} service={} version={} state={:?} zone={} cold_ms={}",
                info.id,
                info.service,
                OrDash(info.version.as_ref()),
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
        // Either another program wrote this entry, or the target has changed. Requests sent to the
        // previous address could reach a different service, so the target is removed. All other
        // entries stay valid.
        Err(e) => {
            gw.stats.target_entries_rejected.inc();
            let known = gw.targets.remove(&row.at.key);
            gw.log.note(
                "target",
                format_args!("target={} outcome=unreadable known={known} error={e}", row.at.key),
            );
        }
    }
}

/// Handles a target whose entry has disappeared. Entries also disappear if targets could not write
/// to the store during an outage. Such a target is kept for a while as a last resort, because
/// removing all of them at once would refuse every request although the targets are alive.
fn remove_or_lapse_target<P: Platform>(gw: &Gateway<P>, id: &str, ver: Ver) {
    if entries_may_return(gw) {
        gw.targets.lapse(id);
        return gw.log.note("target", format_args!("target={id} state=lapsed ver={ver}"));
    }
    if gw.targets.remove(id) {
        gw.log.note("target", format_args!("target={id} state=gone ver={ver}"));
    }
}

/// Removes lapsed targets once their grace period is over. Runs until cancelled.
pub async fn sweep_targets<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        sleep(LAPSE_GRACE / 4).await;
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        gw.stats.targets_cold.set(count(gw.targets.count_cold()));
        gw.stats.targets_leaving.set(count(gw.targets.count_leaving()));
        gw.stats.targets_backing_off.set(count(gw.targets.count_backing_off()));
        let store = gw.reader.store_status();
        if store.unavailable || entries_may_return(&gw) {
            continue;
        }
        for id in gw.targets.remove_lapsed() {
            gw.log.note("target", format_args!("target={id} state=gone"));
        }
    }
}
