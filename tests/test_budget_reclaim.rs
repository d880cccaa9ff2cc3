//! Crash, pause and return of a holder whose grants are reclaimed by its witness.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kingcupwall::budget::actor::versioned;
use kingcupwall::budget::holder::HoldId;
use kingcupwall::budget::ledger::{
    BudgetRow, GrantChange, GrantRow, HolderRow, HolderState, Versioned, bill_key, budget_key,
    grant_key, holder_key,
};
use kingcupwall::budget::reclaim::Reclaimer;
use kingcupwall::budget::witness::{HoldCopy, Witness};
use kingcupwall::error::Kind;
use kingcupwall::ids::{BudgetId, Incarnation, Tokens};
use kingcupwall::table::committer::Committer;
use kingcupwall::table::memory::{Faults, MemoryPlatform};
use kingcupwall::table::{Mutation, Outcome, Table, Txn, Version, read_one};

use crate::workdir::{FakeBackup, FakeEngine, SameAddress, bill, name};

struct ReclaimFixture {
    memory: MemoryPlatform,
    engine: FakeEngine,
    reclaimer: Reclaimer<MemoryPlatform, FakeEngine, SameAddress, FakeBackup>,
    backup: FakeBackup,
    holder: Incarnation,
    budget: BudgetId,
}

fn copy(hold: u64, key: &str, run: &str, amount: u64) -> HoldCopy {
    HoldCopy {
        hold: HoldId(hold),
        amount: Tokens(amount),
        bill: bill(key, run, 0),
        target: name("t1"),
        ended: false,
    }
}

/// Creates a holder with a grant of 100 tokens, of which `solo` are solo, and with `w@1` as its
/// witness.
async fn reclaim_fixture(solo: u64) -> ReclaimFixture {
    let memory = MemoryPlatform::default();
    let (holder, budget): (Incarnation, BudgetId) = (name("h@1"), name("acme/main"));
    let row = HolderRow {
        zone: name("a"),
        api: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        witness: Some(name("w@1")),
        backup: None,
        state: HolderState::Live,
    };
    let grant = GrantRow { granted: Tokens(100), solo: Tokens(solo), settled: Tokens::ZERO };
    let m = Mutation::default()
        .put(holder_key(&holder), &row)
        .put(budget_key(&budget), &BudgetRow { committed: Tokens(100), ..BudgetRow::default() })
        .put(grant_key(&holder, &budget), &grant);
    memory.write(Txn { id: "setup".into(), mutations: vec![m] }).await.unwrap();
    let engine = FakeEngine::default();
    let backup = FakeBackup::default();
    let reclaimer = Reclaimer {
        sealer: backup.clone(),
        table: memory.clone(),
        committer: Committer::start(memory.clone(), &name("w@1"), Duration::from_millis(10)),
        engine: engine.clone(),
        addresses: SameAddress,
        witness: Arc::new(Mutex::new(Witness::default())),
        own_incarnation: name("w@1"),
    };
    ReclaimFixture { memory, engine, reclaimer, backup, holder, budget }
}

impl ReclaimFixture {
    fn keep(&self, c: HoldCopy) -> Result<(), kingcupwall::error::Error> {
        self.reclaimer.witness.lock().unwrap().keep(&self.holder, c)
    }

    async fn budget_row(&self) -> BudgetRow {
        let row: Versioned<BudgetRow> =
            versioned(read_one(&self.memory, budget_key(&self.budget)).await.unwrap().as_ref())
                .unwrap();
        row.row
    }

    async fn grant(&self) -> Versioned<GrantRow> {
        let key = grant_key(&self.holder, &self.budget);
        versioned(read_one(&self.memory, key).await.unwrap().as_ref()).unwrap()
    }

    async fn has_bill(&self, key: &str) -> bool {
        read_one(&self.memory, bill_key(&bill(key, "r", 0))).await.unwrap().is_some()
    }

    async fn reclaim_and_settle(&self) {
        assert!(self.reclaimer.reclaim(&self.holder).await.unwrap());
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn reclaim_open_stream_and_unbilled_hold() {
    // Guards against lost tokens and unbilled answers. A router crashes while one run streams, one
    // has ended unbilled and one was never dispatched. The witness queries the target, bills once
    // what ran, and releases the rest.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    fixture.keep(copy(2, "k2", "h@1.2", 30)).unwrap();
    let mut ended = copy(3, "k3", "h@1.3", 30);
    (ended.bill.cost, ended.ended) = (Tokens(9), true);
    fixture.keep(ended).unwrap();
    fixture.engine.ended("h@1.1", 12);
    fixture.reclaim_and_settle().await;
    assert!(
        fixture.has_bill("k1").await
            && fixture.has_bill("k3").await
            && !fixture.has_bill("k2").await
    );
    assert_eq!(fixture.budget_row().await.closed, Tokens(21));
    assert_eq!(fixture.budget_row().await.committed, Tokens(21));
    assert_eq!(fixture.grant().await.version, None, "the grant is closed");
}

#[tokio::test(start_paused = true)]
async fn keep_after_seal() {
    // Guards against spending tokens twice, once after they were reclaimed and once by their old
    // holder. The holder is paused between its hold and its dispatch and reclaimed meanwhile. It
    // cannot dispatch without a copy at the witness, which is sealed and refuses it.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    fixture.reclaim_and_settle().await;
    assert_eq!(fixture.keep(copy(2, "k2", "h@1.2", 30)).unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn cancel_run_of_paused_holder() {
    // Guards against a run whose tokens were already released. The holder is paused between copy and
    // dispatch, and dispatches after the target reported the run as unknown. The witness therefore
    // cancels the run at the target first, which then refuses to start it.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    fixture.reclaim_and_settle().await;
    assert!(!fixture.engine.may_start("h@1.1"));
    assert_eq!(fixture.budget_row().await.committed, Tokens::ZERO);
}

#[tokio::test(start_paused = true)]
async fn write_after_seal() {
    // Guards against tokens that are never reclaimed because a sealed holder resumes and extends
    // its grant. Every change by a holder is guarded by its row, which sealing has rewritten.
    let fixture = reclaim_fixture(0).await;
    let row = read_one(&fixture.memory, holder_key(&fixture.holder)).await.unwrap().unwrap();
    fixture.reclaim_and_settle().await;
    let change = GrantChange { extend: Tokens(50), ..GrantChange::default() };
    let budget =
        versioned(read_one(&fixture.memory, budget_key(&fixture.budget)).await.unwrap().as_ref())
            .unwrap();
    let m = change.mutation(
        &fixture.holder,
        Some(row.version),
        &fixture.budget,
        budget,
        Versioned::default(),
    );
    let outcome =
        fixture.memory.write(Txn { id: "late".into(), mutations: vec![m] }).await.unwrap();
    assert_eq!(outcome, Outcome::Conflict(vec![0]));
}

#[tokio::test(start_paused = true)]
async fn reclaim_keeps_solo_part() {
    // Guards against granting the solo part of a holder to others while the holder, cut off from
    // its witness, may still spend it.
    let fixture = reclaim_fixture(20).await;
    fixture.reclaim_and_settle().await;
    assert_eq!(fixture.budget_row().await.committed, Tokens(20));
    assert_eq!(fixture.grant().await.row.granted, Tokens(20));
}

#[tokio::test(start_paused = true)]
async fn reclaim_with_unreachable_target() {
    // Guards against releasing the tokens of a run that may have happened. Holder and target crash
    // together with their zone. The hold stays counted as spent until the outcome of the run is
    // known.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    *fixture.engine.away.lock().unwrap() = true;
    fixture.reclaim_and_settle().await;
    assert_eq!(fixture.budget_row().await.committed, Tokens(30));
    *fixture.engine.away.lock().unwrap() = false;
    fixture.engine.ended("h@1.1", 11);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fixture.budget_row().await.committed, Tokens(11));
    assert!(fixture.has_bill("k1").await);
}

#[tokio::test(start_paused = true)]
async fn reclaim_request_billed_elsewhere() {
    // Guards against billing a request twice. Its router crashes, the caller retries at another
    // router and is billed there, then the witness settles. The bill's row already exists, so the
    // hold of the crashed router is only released.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    fixture.engine.ended("h@1.1", 12);
    let b = bill("k1", "other@1.7", 12);
    let m = Mutation::default().put(bill_key(&b), &b);
    fixture.memory.write(Txn { id: "other".into(), mutations: vec![m] }).await.unwrap();
    fixture.reclaim_and_settle().await;
    assert_eq!(fixture.budget_row().await, BudgetRow::default());
}

#[tokio::test(start_paused = true)]
async fn reclaim_by_replaced_witness() {
    // Guards against reclaiming a live holder by its former witness, which has no current copies
    // and considers it dead. The holder's row names another witness, so the former one drops its
    // copies and releases nothing.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    let row = read_one(&fixture.memory, holder_key(&fixture.holder)).await.unwrap().unwrap();
    let mut value: HolderRow = row.decode().unwrap();
    value.witness = Some(name("w@2"));
    let m = Mutation::default().put(holder_key(&fixture.holder), &value);
    fixture.memory.write(Txn { id: "moved".into(), mutations: vec![m] }).await.unwrap();
    assert!(!fixture.reclaimer.reclaim(&fixture.holder).await.unwrap());
    assert_eq!(fixture.budget_row().await.committed, Tokens(100));
    assert!(fixture.keep(copy(2, "k2", "h@1.2", 30)).is_ok());
}

#[tokio::test(start_paused = true)]
async fn reclaim_with_table_outage_and_lost_answers() {
    // Guards against releasing tokens twice. The table is unavailable when the holder crashes, and
    // then loses answers to writes. Nothing is released before the table answers, and repeated
    // writes return their first outcome.
    let fixture = reclaim_fixture(0).await;
    fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    fixture.engine.ended("h@1.1", 12);
    fixture.memory.set_faults(Faults { away: true, ..Faults::default() });
    assert!(fixture.reclaimer.reclaim(&fixture.holder).await.is_err());
    fixture.memory.set_faults(Faults { lose_answers: 5, ..Faults::default() });
    fixture.reclaim_and_settle().await;
    assert_eq!(
        fixture.budget_row().await,
        BudgetRow { committed: Tokens(12), closed: Tokens(12), ..BudgetRow::default() }
    );
}

#[tokio::test(start_paused = true)]
async fn reclaim_with_unreachable_backup() {
    // Guards against spending tokens twice when a zone is cut off: the holder keeps running with
    // copies at its backup while its witness considers it dead. Nothing is released before the
    // backup is sealed too, and its copies are then settled.
    let fixture = reclaim_fixture(0).await;
    let key = holder_key(&fixture.holder);
    let mut row: HolderRow =
        read_one(&fixture.memory, key.clone()).await.unwrap().unwrap().decode().unwrap();
    row.backup = Some(name("b@1"));
    let m = Mutation::default().put(key, &row);
    fixture.memory.write(Txn { id: "backup".into(), mutations: vec![m] }).await.unwrap();
    *fixture.backup.away.lock().unwrap() = true;
    fixture
        .backup
        .witness
        .lock()
        .unwrap()
        .keep(&fixture.holder, copy(1, "k1", "h@1.1", 30))
        .unwrap();
    assert!(fixture.reclaimer.reclaim(&fixture.holder).await.is_err());
    assert_eq!(fixture.budget_row().await.committed, Tokens(100));
    assert!(
        fixture.keep(copy(2, "k2", "h@1.2", 20)).is_ok(),
        "the witness still accepts its copies"
    );
    *fixture.backup.away.lock().unwrap() = false;
    fixture.engine.ended("h@1.1", 12);
    fixture.reclaim_and_settle().await;
    assert!(fixture.has_bill("k1").await);
    assert_eq!(fixture.budget_row().await.committed, Tokens(12));
    let late =
        fixture.backup.witness.lock().unwrap().keep(&fixture.holder, copy(3, "k3", "h@1.3", 30));
    assert_eq!(late.unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn reclaim_by_backup_keeps_seal() {
    // Guards against overspending after a network partition. The witness has reclaimed the holder,
    // sealed at this backup. The backup considers the holder dead too, but is not its witness;
    // dropping the seal would let the holder dispatch on tokens that are no longer its own.
    let fixture = reclaim_fixture(0).await;
    let key = holder_key(&fixture.holder);
    let mut row: HolderRow =
        read_one(&fixture.memory, key.clone()).await.unwrap().unwrap().decode().unwrap();
    (row.witness, row.backup) = (Some(name("w@2")), Some(name("w@1")));
    let m = Mutation::default().put(key, &row);
    fixture.memory.write(Txn { id: "backup".into(), mutations: vec![m] }).await.unwrap();
    fixture.reclaimer.witness.lock().unwrap().seal(&fixture.holder);
    assert!(!fixture.reclaimer.reclaim(&fixture.holder).await.unwrap());
    assert_eq!(fixture.keep(copy(1, "k1", "h@1.1", 30)).unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn reclaim_twice() {
    let fixture = reclaim_fixture(0).await;
    fixture.reclaim_and_settle().await;
    fixture.reclaim_and_settle().await;
    assert_eq!(fixture.budget_row().await, BudgetRow::default());
    assert_ne!(
        read_one(&fixture.memory, holder_key(&fixture.holder)).await.unwrap().unwrap().version,
        Version(1)
    );
}
