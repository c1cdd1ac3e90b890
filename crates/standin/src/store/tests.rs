use std::time::Duration;

use cassiafold_platform::{Compare, Operation, Store, Watch, Write, WriteOutcome};

use super::MemoryStore;

#[tokio::test(start_paused = true)]
async fn a_second_create_conflicts() {
    let store = MemoryStore::default();
    let first = store.write(Write::put("a", Compare::Absent, "1")).await.unwrap();
    assert_eq!(first, WriteOutcome::Written(1));
    let second = store.write(Write::put("a", Compare::Absent, "2")).await.unwrap();
    assert_eq!(second, WriteOutcome::Conflict);
    let update = store.write(Write::put("a", Compare::Revision(1), "3")).await.unwrap();
    assert_eq!(update, WriteOutcome::Written(2));
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_the_expiry_of_a_lease() {
    let store = MemoryStore::default();
    let lease = store.grant_lease(Duration::from_secs(5)).await.unwrap();
    let operation = Operation::Put { value: "x".into(), lease: Some(lease) };
    let write = Write { key: "entries/1".into(), compare: Compare::Absent, operation };
    store.write(write).await.unwrap();
    let mut watch = store.watch("entries/", 0).await.unwrap();
    assert!(watch.next().await.unwrap()[0].record.is_some());
    let changes = watch.next().await.unwrap();
    assert!(changes[0].record.is_none());
    assert_eq!(store.get("entries/1").await.unwrap(), None);
    watch.close();
}
