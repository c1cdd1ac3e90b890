use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::InstanceState;
use cassiafold_platform::{Compare, Envelope, Store, Write, WriteLog};
use cassiafold_standin::MemoryStore;

use super::FleetHandle;
use crate::document::{DOCUMENT_KEY, FleetDocument};
use crate::tests::fixture::{Fixture, SMALL};

async fn store_document(store: &MemoryStore, document: &FleetDocument) {
    let record = store.get(DOCUMENT_KEY).await.expect("the store is up");
    let compare = record.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
    let envelope = Envelope { value: document.clone(), writes: WriteLog::default() };
    let bytes = envelope.encode().expect("the document is encodable");
    store.write(Write::put(DOCUMENT_KEY, compare, bytes)).await.expect("the store is up");
}

#[test]
fn instance_with_a_step_is_leaving() {
    let mut fixture = Fixture::with_wave(&SMALL);
    fixture.round();
    let handle = FleetHandle::default();
    handle.update_if_newer(Arc::new(fixture.document.clone()));
    let state = handle.load();
    let draining = fixture.maintaining();
    for listed in fixture.listed.values() {
        let instance = state.instance(listed).expect("the instance has a placement");
        let expected = match draining.contains(&listed.id) {
            true => InstanceState::Leaving,
            false => InstanceState::Live,
        };
        assert_eq!((instance.state, Some(&instance.pool)), (expected, state.pool_of(&listed.id)));
    }
    assert!(!draining.is_empty());
}

#[test]
fn document_with_a_lower_number_is_ignored() {
    let handle = FleetHandle::default();
    let document = |number| Arc::new(FleetDocument { number, ..FleetDocument::default() });
    assert!(handle.update_if_newer(document(5)));
    assert!(!handle.update_if_newer(document(4)));
    assert!(!handle.update_if_newer(document(5)));
    assert_eq!(handle.load().number(), 5);
}

#[tokio::test(start_paused = true)]
async fn watch_receives_a_drain_within_two_seconds_and_after_an_outage() {
    let store = MemoryStore::default();
    let handle = FleetHandle::default();
    let mut fixture = Fixture::with_wave(&SMALL);
    store_document(&store, &fixture.document).await;
    let watching = {
        let (handle, store) = (handle.clone(), store.clone());
        tokio::spawn(async move { handle.watch_store(store).await })
    };
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(handle.load().number(), fixture.document.number);
    fixture.round();
    store_document(&store, &fixture.document).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(*handle.load().document, fixture.document);
    store.faults().set_outage(true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    store.faults().set_outage(false);
    fixture.round_after(Duration::from_secs(60));
    store_document(&store, &fixture.document).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(*handle.load().document, fixture.document);
    watching.abort();
}
