//! A holder's death, pause and return, settled by its witness.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kingcupwall::budget::holder::HoldId;
use kingcupwall::budget::keeper::seen;
use kingcupwall::budget::ledger::{
    BudgetRow, Change, GrantRow, HolderRow, HolderState, Seen, bill_key, budget_key, grant_key,
    holder_key,
};
use kingcupwall::budget::reclaim::Reclaimer;
use kingcupwall::budget::witness::{Copy, Witness};
use kingcupwall::error::Kind;
use kingcupwall::ids::{BudgetId, Incarnation, Tokens};
use kingcupwall::table::committer::Committer;
use kingcupwall::table::memory::{Faults, MemoryPlatform};
use kingcupwall::table::{Mutation, Outcome, Table, Txn, Version, read_one};

use crate::workdir::{Anywhere, FakeBackup, FakeEngine, bill, name};

struct World {
    memory: MemoryPlatform,
    engine: FakeEngine,
    reclaimer: Reclaimer<MemoryPlatform, FakeEngine, Anywhere, FakeBackup>,
    backup: FakeBackup,
    holder: Incarnation,
    budget: BudgetId,
}

fn copy(hold: u64, key: &str, run: &str, amount: u64) -> Copy {
    Copy {
        hold: HoldId(hold),
        amount: Tokens(amount),
        bill: bill(key, run, 0),
        target: name("t1"),
        ended: false,
    }
}

/// A holder with a grant of 100 tokens, 20 of them solo when asked for, watched by `w@1`.
async fn world(solo: u64) -> World {
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
        seals: backup.clone(),
        table: memory.clone(),
        committer: Committer::start(memory.clone(), &name("w@1"), Duration::from_millis(10)),
        engine: engine.clone(),
        addresses: Anywhere,
        witness: Arc::new(Mutex::new(Witness::default())),
        me: name("w@1"),
    };
    World { memory, engine, reclaimer, backup, holder, budget }
}

impl World {
    fn keep(&self, c: Copy) -> Result<(), kingcupwall::error::Error> {
        self.reclaimer.witness.lock().unwrap().keep(&self.holder, c)
    }

    async fn budget_row(&self) -> BudgetRow {
        let row: Seen<BudgetRow> =
            seen(read_one(&self.memory, budget_key(&self.budget)).await.unwrap().as_ref()).unwrap();
        row.row
    }

    async fn grant(&self) -> Seen<GrantRow> {
        let key = grant_key(&self.holder, &self.budget);
        seen(read_one(&self.memory, key).await.unwrap().as_ref()).unwrap()
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
    // An organisation loses tokens, or gets an answer for nothing.
    // A router is killed while one run streams, one has ended unbilled and one never left.
    // The witness asks the target: what ran is billed once, the rest goes back.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    w.keep(copy(2, "k2", "h@1.2", 30)).unwrap();
    let mut ended = copy(3, "k3", "h@1.3", 30);
    (ended.bill.cost, ended.ended) = (Tokens(9), true);
    w.keep(ended).unwrap();
    w.engine.ended("h@1.1", 12);
    w.reclaim_and_settle().await;
    assert!(w.has_bill("k1").await && w.has_bill("k3").await && !w.has_bill("k2").await);
    assert_eq!(w.budget_row().await.closed, Tokens(21));
    assert_eq!(w.budget_row().await.committed, Tokens(21));
    assert_eq!(w.grant().await.version, None, "the grant is closed");
}

#[tokio::test(start_paused = true)]
async fn keep_after_seal() {
    // A budget is spent twice: by whoever got the reclaimed part, and by its old holder.
    // The holder is paused after its hold, reclaimed, and wakes before its dispatch.
    // It cannot dispatch without a copy at the witness, and the sealed witness takes none.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    w.reclaim_and_settle().await;
    assert_eq!(w.keep(copy(2, "k2", "h@1.2", 30)).unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn forbid_run_of_paused_holder() {
    // A request runs although its tokens were given back.
    // The holder is paused between the copy and the dispatch, and dispatches after the witness
    // asked the target and heard that the run is not known.
    // The target is told first never to start that run.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    w.reclaim_and_settle().await;
    assert!(!w.engine.may_start("h@1.1"));
    assert_eq!(w.budget_row().await.committed, Tokens::ZERO);
}

#[tokio::test(start_paused = true)]
async fn write_after_seal() {
    // A sealed holder wakes and extends its grant: tokens that nobody would ever reclaim.
    // Every change of its own is guarded by its row, which the seal has written.
    let w = world(0).await;
    let row = read_one(&w.memory, holder_key(&w.holder)).await.unwrap().unwrap();
    w.reclaim_and_settle().await;
    let change = Change { extend: Tokens(50), ..Change::default() };
    let budget = seen(read_one(&w.memory, budget_key(&w.budget)).await.unwrap().as_ref()).unwrap();
    let m = change.mutation(&w.holder, Some(row.version), &w.budget, budget, Seen::default());
    let outcome = w.memory.write(Txn { id: "late".into(), mutations: vec![m] }).await.unwrap();
    assert_eq!(outcome, Outcome::Conflict(vec![0]));
}

#[tokio::test(start_paused = true)]
async fn reclaim_keeps_solo_part() {
    // A cut-off holder spends its solo part while the other side reclaims: both count it.
    let w = world(20).await;
    w.reclaim_and_settle().await;
    assert_eq!(w.budget_row().await.committed, Tokens(20));
    assert_eq!(w.grant().await.row.granted, Tokens(20));
}

#[tokio::test(start_paused = true)]
async fn reclaim_target_away() {
    // Tokens of a run that may have happened are handed out again.
    // Holder and target die together with their zone.
    // Without evidence the hold stays counted as spent; with it, it is settled.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    *w.engine.away.lock().unwrap() = true;
    w.reclaim_and_settle().await;
    assert_eq!(w.budget_row().await.committed, Tokens(30));
    *w.engine.away.lock().unwrap() = false;
    w.engine.ended("h@1.1", 11);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(w.budget_row().await.committed, Tokens(11));
    assert!(w.has_bill("k1").await);
}

#[tokio::test(start_paused = true)]
async fn reclaim_request_billed_elsewhere() {
    // One request is billed twice.
    // Its router dies, the caller retries elsewhere and is billed there, then the witness settles.
    // The bill's row exists, so the dead router's hold is simply given back.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    w.engine.ended("h@1.1", 12);
    let b = bill("k1", "other@1.7", 12);
    let m = Mutation::default().put(bill_key(&b), &b);
    w.memory.write(Txn { id: "other".into(), mutations: vec![m] }).await.unwrap();
    w.reclaim_and_settle().await;
    assert_eq!(w.budget_row().await, BudgetRow::default());
}

#[tokio::test(start_paused = true)]
async fn reclaim_witness_was_replaced() {
    // A live holder loses its grants to a witness that it left.
    // It chose another witness, whose copies it relies on; the old one then takes it for dead.
    // Its row names the other, so the old one gives up and forgets.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    let row = read_one(&w.memory, holder_key(&w.holder)).await.unwrap().unwrap();
    let mut value: HolderRow = row.decode().unwrap();
    value.witness = Some(name("w@2"));
    let m = Mutation::default().put(holder_key(&w.holder), &value);
    w.memory.write(Txn { id: "moved".into(), mutations: vec![m] }).await.unwrap();
    assert!(!w.reclaimer.reclaim(&w.holder).await.unwrap());
    assert_eq!(w.budget_row().await.committed, Tokens(100));
    assert!(w.keep(copy(2, "k2", "h@1.2", 30)).is_ok());
}

#[tokio::test(start_paused = true)]
async fn reclaim_table_away_and_answers_lost() {
    // Tokens are given back twice.
    // The table is away when the holder dies, then comes back and loses answers to writes.
    // Nothing is released before it answers, and repeats find their first outcome.
    let w = world(0).await;
    w.keep(copy(1, "k1", "h@1.1", 30)).unwrap();
    w.engine.ended("h@1.1", 12);
    w.memory.set_faults(Faults { away: true, ..Faults::default() });
    assert!(w.reclaimer.reclaim(&w.holder).await.is_err());
    w.memory.set_faults(Faults { lose_answers: 5, ..Faults::default() });
    w.reclaim_and_settle().await;
    assert_eq!(
        w.budget_row().await,
        BudgetRow { committed: Tokens(12), closed: Tokens(12), ..BudgetRow::default() }
    );
}

#[tokio::test(start_paused = true)]
async fn reclaim_backup_cut_off() {
    // A budget is spent twice: in a zone that is cut off, and outside of it.
    // The holder goes on with its backup's word alone, while its witness takes it for dead.
    // Without the backup's seal nothing is given back; with it, the backup's copies count.
    let w = world(0).await;
    let key = holder_key(&w.holder);
    let mut row: HolderRow =
        read_one(&w.memory, key.clone()).await.unwrap().unwrap().decode().unwrap();
    row.backup = Some(name("b@1"));
    let m = Mutation::default().put(key, &row);
    w.memory.write(Txn { id: "backup".into(), mutations: vec![m] }).await.unwrap();
    *w.backup.away.lock().unwrap() = true;
    w.backup.witness.lock().unwrap().keep(&w.holder, copy(1, "k1", "h@1.1", 30)).unwrap();
    assert!(w.reclaimer.reclaim(&w.holder).await.is_err());
    assert_eq!(w.budget_row().await.committed, Tokens(100));
    assert!(w.keep(copy(2, "k2", "h@1.2", 20)).is_ok(), "the witness is still open to it");
    *w.backup.away.lock().unwrap() = false;
    w.engine.ended("h@1.1", 12);
    w.reclaim_and_settle().await;
    assert!(w.has_bill("k1").await);
    assert_eq!(w.budget_row().await.committed, Tokens(12));
    let late = w.backup.witness.lock().unwrap().keep(&w.holder, copy(3, "k3", "h@1.3", 30));
    assert_eq!(late.unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn reclaim_by_backup_keeps_seal() {
    // A budget is overspent after a zone was cut off and mended.
    // The witness reclaims a cut-off holder with its backup's seal. The backup, too, finds the
    // holder dead, sees that it is not the witness, and forgets all about it, the seal as well.
    // The holder comes back, and the backup's word lets it dispatch on tokens given away.
    let w = world(0).await;
    let key = holder_key(&w.holder);
    let mut row: HolderRow =
        read_one(&w.memory, key.clone()).await.unwrap().unwrap().decode().unwrap();
    (row.witness, row.backup) = (Some(name("w@2")), Some(name("w@1")));
    let m = Mutation::default().put(key, &row);
    w.memory.write(Txn { id: "backup".into(), mutations: vec![m] }).await.unwrap();
    w.reclaimer.witness.lock().unwrap().seal(&w.holder);
    assert!(!w.reclaimer.reclaim(&w.holder).await.unwrap());
    assert_eq!(w.keep(copy(1, "k1", "h@1.1", 30)).unwrap_err().kind, Kind::Fenced);
}

#[tokio::test(start_paused = true)]
async fn reclaim_twice() {
    let w = world(0).await;
    w.reclaim_and_settle().await;
    w.reclaim_and_settle().await;
    assert_eq!(w.budget_row().await, BudgetRow::default());
    assert_ne!(
        read_one(&w.memory, holder_key(&w.holder)).await.unwrap().unwrap().version,
        Version(1)
    );
}
