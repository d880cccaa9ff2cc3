//! Group commit: writes many independent mutations in few transactions.
//!
//! The table accepts a few hundred writes per second for the whole fleet. A router therefore
//! collects the mutations of all its parts and writes them together, one transaction at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Mutation, Outcome, RowKey, Table, Txn, Version};
use crate::error::{Error, Kind, Result};
use crate::ids::Incarnation;

/// The most mutations in one transaction.
const MAX_BATCH_MUTATIONS: usize = 256;
/// The most mutations in the queue; further ones are rejected.
pub const MAX_QUEUED_MUTATIONS: usize = 20_000;
/// First delay before a failed write is retried; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between attempts at the same transaction.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

struct QueuedMutation {
    mutation: Mutation,
    tx: oneshot::Sender<Option<Version>>,
}

/// A handle to the committer task, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Committer {
    tx: mpsc::UnboundedSender<QueuedMutation>,
    queued: Arc<AtomicUsize>,
    write_failing: Arc<AtomicBool>,
}

impl Committer {
    /// Starts a committer that waits `interval` after each batch. `owner` is the prefix of its
    /// transaction ids, so that they are unique over all routers.
    pub fn start<T: Table>(table: T, owner: &Incarnation, interval: Duration) -> Committer {
        let (tx, rx) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let write_failing = Arc::new(AtomicBool::new(false));
        let writer = Writer {
            table,
            txn_id_prefix: CompactString::from(owner.as_str()),
            next_txn: 0,
            interval,
            rx,
            queued: queued.clone(),
            write_failing: write_failing.clone(),
        };
        tokio::spawn(writer.run());
        Committer { tx, queued, write_failing }
    }

    /// Number of mutations whose outcome is not yet known.
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Whether the last attempt to write failed. Callers should then skip writes that they can do
    /// without.
    pub fn is_write_failing(&self) -> bool {
        self.write_failing.load(Ordering::Relaxed)
    }

    /// Writes `mutation` in one transaction with others in the queue. Returns the version of the
    /// rows written, or `None` when a guard failed. Waits for as long as the platform is
    /// unreachable.
    ///
    /// # Errors
    /// `PlatformAway` when the queue is full; the mutation is then not written.
    pub async fn write(&self, mutation: Mutation) -> Result<Option<Version>> {
        let platform_away = || Error::new(Kind::PlatformAway, "the write queue is full");
        if self.queued() >= MAX_QUEUED_MUTATIONS {
            return Err(platform_away());
        }
        let (tx, rx) = oneshot::channel();
        self.queued.fetch_add(1, Ordering::Relaxed);
        self.tx.send(QueuedMutation { mutation, tx }).map_err(|_| platform_away())?;
        rx.await.map_err(|_| platform_away())
    }
}

struct Writer<T> {
    table: T,
    txn_id_prefix: CompactString,
    next_txn: u64,
    interval: Duration,
    rx: mpsc::UnboundedReceiver<QueuedMutation>,
    queued: Arc<AtomicUsize>,
    write_failing: Arc<AtomicBool>,
}

impl<T: Table> Writer<T> {
    async fn run(mut self) {
        let mut batch = Vec::new();
        let mut next_write_at = Instant::now();
        loop {
            if batch.is_empty() && self.rx.recv_many(&mut batch, MAX_BATCH_MUTATIONS).await == 0 {
                return;
            }
            sleep_until(next_write_at).await;
            while batch.len() < MAX_BATCH_MUTATIONS
                && let Ok(e) = self.rx.try_recv()
            {
                batch.push(e);
            }
            batch = self.commit(batch).await;
            next_write_at = Instant::now() + self.interval;
        }
    }

    /// Writes a batch, and returns the mutations that need a later transaction because they
    /// conflict with others in the batch.
    ///
    /// When a guard fails, its mutation is answered with `None` and the rest of the batch is
    /// written again at once, without new mutations, so that callers whose mutations keep failing
    /// do not delay others.
    async fn commit(&mut self, batch: Vec<QueuedMutation>) -> Vec<QueuedMutation> {
        let (mut batch, deferred) = split_conflicting(batch);
        while !batch.is_empty() {
            self.next_txn += 1;
            let id = CompactString::from(format!("{}/{}", self.txn_id_prefix, self.next_txn));
            let mutations = batch.iter().map(|e| e.mutation.clone()).collect();
            match self.write_until_answered(Txn { id, mutations }).await {
                Outcome::Committed(version) => {
                    batch.drain(..).for_each(|e| self.send_version(e, Some(version)));
                }
                Outcome::Conflict(failed) => {
                    let (failed_entries, rest): (Vec<_>, Vec<_>) =
                        batch.into_iter().enumerate().partition(|(i, _)| failed.contains(i));
                    failed_entries.into_iter().for_each(|(_, e)| self.send_version(e, None));
                    batch = rest.into_iter().map(|(_, e)| e).collect();
                }
            }
        }
        deferred
    }

    fn send_version(&self, entry: QueuedMutation, version: Option<Version>) {
        self.queued.fetch_sub(1, Ordering::Relaxed);
        // The caller may have been cancelled and dropped its receiver.
        let _ = entry.tx.send(version);
    }

    /// Retries a transaction under the same id until the table returns its outcome. If a write took
    /// effect and its response was lost, a retry under a new id would fail on the transaction's own
    /// guards, or be counted twice. The backoff grows exponentially and carries jitter, so that a
    /// table that comes back is not overloaded.
    async fn write_until_answered(&self, txn: Txn) -> Outcome {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.table.write(txn.clone()).await {
                Ok(outcome) => {
                    self.write_failing.store(false, Ordering::Relaxed);
                    return outcome;
                }
                Err(e) => log::warn!("write=retry txn={} error={:?}", txn.id, e.message),
            }
            self.write_failing.store(true, Ordering::Relaxed);
            sleep(backoff.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Splits a batch into mutations that can share a transaction and mutations that must wait for a
/// later one.
///
/// Guards against a lost update within one transaction: the table checks all guards before it
/// applies any write, so two changes of one row that were both made from the same version would
/// both pass, and the second would overwrite the first. The symptom was a bill in the table whose
/// cost no grant had settled.
fn split_conflicting(batch: Vec<QueuedMutation>) -> (Vec<QueuedMutation>, Vec<QueuedMutation>) {
    let (mut read, mut written): (Vec<RowKey>, Vec<RowKey>) = (Vec::new(), Vec::new());
    let (mut ready, mut deferred) = (Vec::new(), Vec::new());
    for entry in batch {
        let m = &entry.mutation;
        let conflicts = m
            .puts
            .iter()
            .any(|p| sorted_contains(&written, &p.key) || sorted_contains(&read, &p.key))
            || m.guards.iter().any(|g| sorted_contains(&written, &g.key));
        if conflicts {
            deferred.push(entry);
            continue;
        }
        m.guards.iter().for_each(|g| sorted_insert(&mut read, &g.key));
        m.puts.iter().for_each(|p| sorted_insert(&mut written, &p.key));
        ready.push(entry);
    }
    (ready, deferred)
}

fn sorted_contains(sorted: &[RowKey], key: &RowKey) -> bool {
    sorted.binary_search(key).is_ok()
}

fn sorted_insert(sorted: &mut Vec<RowKey>, key: &RowKey) {
    if let Err(index) = sorted.binary_search(key) {
        sorted.insert(index, key.clone());
    }
}
