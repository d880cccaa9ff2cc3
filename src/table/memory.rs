//! In-memory platform: the core of the stand-in platform, and a fake for unit tests.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;

use super::{
    Instance, InstanceList, Mutation, ObjectStore, Outcome, Row, RowKey, Table, Txn, Version,
};
use crate::error::{Error, Kind, Result};

/// The most transaction outcomes kept for retries; the oldest are dropped first. A transaction that
/// is retried after its outcome was dropped is evaluated again.
const MAX_KEPT_OUTCOMES: usize = 200_000;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call fails without taking effect.
    pub away: bool,
    /// Number of following writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of most recent row writes that reads do not see.
    pub stale_writes: usize,
}

/// Counts of the calls to the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TableCounts {
    /// Transactions, retries not counted.
    pub txns: u64,
    /// Rows written or deleted.
    pub rows: u64,
    /// Read and scan calls.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (Version, String)>,
    overwritten: VecDeque<(RowKey, Option<(Version, String)>)>,
    outcomes: HashMap<CompactString, Outcome>,
    outcome_order: VecDeque<CompactString>,
    objects: HashMap<RowKey, Vec<u8>>,
    instances: Vec<Instance>,
    last_version: Version,
    faults: Faults,
    counts: TableCounts,
}

/// A shared in-memory platform; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform(Arc<Mutex<State>>);

/// The most overwritten row values kept for serving stale reads.
const MAX_OVERWRITTEN_ROWS: usize = 1_000;

impl State {
    fn guards_hold(&self, m: &Mutation) -> bool {
        m.guards.iter().all(|g| self.rows.get(&g.key).map(|(v, _)| *v) == g.version)
    }

    fn apply(&mut self, txn: &Txn) -> Outcome {
        let failed: Vec<usize> = txn
            .mutations
            .iter()
            .enumerate()
            .filter(|(_, m)| !self.guards_hold(m))
            .map(|(i, _)| i)
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        self.last_version = Version(self.last_version.0 + 1);
        for put in txn.mutations.iter().flat_map(|m| &m.puts) {
            self.counts.rows += 1;
            let previous = match &put.value {
                Some(v) => self.rows.insert(put.key.clone(), (self.last_version, v.clone())),
                None => self.rows.remove(&put.key),
            };
            self.overwritten.push_back((put.key.clone(), previous));
        }
        while self.overwritten.len() > MAX_OVERWRITTEN_ROWS {
            self.overwritten.pop_front();
        }
        Outcome::Committed(self.last_version)
    }

    fn store_outcome(&mut self, id: CompactString, outcome: Outcome) {
        self.outcome_order.push_back(id.clone());
        self.outcomes.insert(id, outcome);
        if self.outcome_order.len() > MAX_KEPT_OUTCOMES
            && let Some(old) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&old);
        }
    }

    fn get(&self, key: &RowKey) -> Option<(Version, String)> {
        let stale = self.faults.stale_writes;
        let skip = self.overwritten.len().saturating_sub(stale);
        match self.overwritten.iter().skip(skip).find(|(k, _)| stale > 0 && k == key) {
            Some((_, previous)) => previous.clone(),
            None => self.rows.get(key).cloned(),
        }
    }
}

impl MemoryPlatform {
    /// Replaces the faults to inject from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Counts of the calls so far.
    pub fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, list: Vec<Instance>) {
        self.lock().instances = list;
    }

    /// Adds an instance to the list, or replaces the one with the same name.
    pub fn put_instance(&self, instance: Instance) {
        let mut state = self.lock();
        state.instances.retain(|i| i.name != instance.name);
        state.instances.push(instance);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no code panics while it holds the lock of the in-memory platform")
    }

    fn lock_if_reachable(&self) -> Result<MutexGuard<'_, State>> {
        let state = self.lock();
        match state.faults.away {
            true => Err(Error::new(Kind::PlatformAway, "the platform does not answer")),
            false => Ok(state),
        }
    }
}

impl Table for MemoryPlatform {
    async fn read(&self, mut keys: Vec<RowKey>) -> Result<Vec<Row>> {
        let mut state = self.lock_if_reachable()?;
        state.counts.reads += 1;
        keys.sort();
        keys.dedup();
        let row = |key: RowKey| state.get(&key).map(|(version, value)| Row { key, version, value });
        Ok(keys.into_iter().filter_map(row).collect())
    }

    async fn scan(&self, prefix: RowKey, after: RowKey, limit: usize) -> Result<Vec<Row>> {
        let mut state = self.lock_if_reachable()?;
        state.counts.reads += 1;
        let from =
            if after > prefix { Bound::Excluded(after) } else { Bound::Included(prefix.clone()) };
        let rows = state.rows.range::<RowKey, _>((from, Bound::Unbounded));
        let row = |(key, (version, value)): (&RowKey, &(Version, String))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        };
        Ok(rows.take_while(|(k, _)| k.starts_with(prefix.as_str())).take(limit).map(row).collect())
    }

    async fn write(&self, txn: Txn) -> Result<Outcome> {
        let mut state = self.lock_if_reachable()?;
        if let Some(outcome) = state.outcomes.get(&txn.id) {
            return Ok(outcome.clone());
        }
        state.counts.txns += 1;
        let outcome = state.apply(&txn);
        state.store_outcome(txn.id, outcome.clone());
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Error::new(Kind::Timeout, "the response to the write was lost"));
        }
        Ok(outcome)
    }
}

impl ObjectStore for MemoryPlatform {
    async fn put(&self, name: RowKey, data: Vec<u8>) -> Result<()> {
        self.lock_if_reachable()?.objects.insert(name, data);
        Ok(())
    }

    async fn get(&self, name: RowKey) -> Result<Vec<u8>> {
        let missing = || Error::new(Kind::NotFound, format!("object {name} does not exist"));
        self.lock_if_reachable()?.objects.get(&name).cloned().ok_or_else(missing)
    }
}

impl InstanceList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<Instance>> {
        Ok(self.lock_if_reachable()?.instances.clone())
    }
}
