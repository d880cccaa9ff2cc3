//! Tests of the group commit against the in-memory platform.

use std::time::Duration;

use kingcupwall::table::committer::Committer;
use kingcupwall::table::memory::{Faults, MemoryPlatform};
use kingcupwall::table::{Mutation, Table, Version, read_one};

use crate::workdir::name;

fn insert(key: &str) -> Mutation {
    Mutation::default().guard(key, None).put(key, &1)
}

fn committer(memory: &MemoryPlatform) -> Committer {
    Committer::start(memory.clone(), &name("r@1"), Duration::from_millis(50))
}

#[tokio::test(start_paused = true)]
async fn write_lost_answer() {
    // Guards against a grant that is added twice: a write takes effect, its response is lost, and
    // the committer retries it as a new transaction. The retry must carry the same id, so that the
    // table returns the first outcome.
    let memory = MemoryPlatform::default();
    memory.set_faults(Faults { lose_answers: 3, ..Faults::default() });
    let version = committer(&memory).write(insert("a")).await.unwrap();
    assert_eq!(version, Some(Version(1)));
    assert_eq!(memory.counts().txns, 1);
}

#[tokio::test(start_paused = true)]
async fn write_one_conflict_among_many() {
    // Guards against a failed guard of one mutation that also fails the other mutations of its
    // batch.
    let memory = MemoryPlatform::default();
    let committer = committer(&memory);
    committer.write(insert("b")).await.unwrap();
    let (a, b, c) = tokio::join!(
        committer.write(insert("a")),
        committer.write(insert("b")),
        committer.write(insert("c"))
    );
    assert!(a.unwrap().is_some() && c.unwrap().is_some());
    assert_eq!(b.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn write_table_away() {
    // Guards against bills that are lost or recorded twice when they are written during an outage
    // of the table.
    let memory = MemoryPlatform::default();
    let committer = committer(&memory);
    memory.set_faults(Faults { away: true, ..Faults::default() });
    let writes: Vec<_> = (0..300)
        .map(|n| {
            let committer = committer.clone();
            tokio::spawn(async move { committer.write(insert(&format!("bill/{n}"))).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert_eq!(committer.queued(), 300);
    memory.set_faults(Faults::default());
    for w in writes {
        assert!(w.await.unwrap().unwrap().is_some());
    }
    assert_eq!(memory.scan("bill/".into(), "".into(), 1_000).await.unwrap().len(), 300);
    // The backlog of 300 mutations is written in a few transactions.
    assert!(memory.counts().txns <= 4, "{:?}", memory.counts());
}

#[tokio::test(start_paused = true)]
async fn write_two_changes_of_one_row() {
    // Guards against a bill that no grant settles: two changes of a row, made from the same
    // version, share a transaction, and both pass because the table checks all guards before it
    // writes. The second one must get a transaction of its own and fail there.
    let memory = MemoryPlatform::default();
    let committer = committer(&memory);
    let version = committer.write(insert("row")).await.unwrap();
    let change = |n: u32| Mutation::default().guard("row", version).put("row", &n);
    let (a, b) = tokio::join!(committer.write(change(2)), committer.write(change(3)));
    assert!(a.unwrap().is_some());
    assert_eq!(b.unwrap(), None);
    assert_eq!(read_one(&memory, "row").await.unwrap().unwrap().value, "2");
}

#[tokio::test]
async fn read_stale() {
    let memory = MemoryPlatform::default();
    let committer = committer(&memory);
    committer.write(Mutation::default().put("a", &1)).await.unwrap();
    committer.write(Mutation::default().put("a", &2)).await.unwrap();
    memory.set_faults(Faults { stale_writes: 1, ..Faults::default() });
    assert_eq!(read_one(&memory, "a").await.unwrap().unwrap().value, "1");
}
