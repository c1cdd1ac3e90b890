use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{InstanceId, InstanceState};
use cassiafold_fleet::{FleetDocument, FleetHandle, Placement, Step, StepKind};
use cassiafold_platform::ListedInstance;
use cassiafold_standin::MemoryInstances;

use super::{InstanceView, LEAVING_DEBOUNCE, LIST_INTERVAL};

fn listed(id: &str) -> ListedInstance {
    ListedInstance {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        rack: "a-1".into(),
        state: InstanceState::Live,
    }
}

fn document(number: u64, draining: bool) -> Arc<FleetDocument> {
    let mut placement = Placement::new("portal".into());
    placement.step = draining.then(|| Step {
        kind: StepKind::Move { to: "spare".into(), permanent: true },
        phase: cassiafold_fleet::Phase::Draining,
        document_number: number,
        started: std::time::SystemTime::UNIX_EPOCH,
        phase_started: std::time::SystemTime::UNIX_EPOCH,
    });
    let mut document = FleetDocument { number, ..FleetDocument::default() };
    document.placements.insert("portal-1".into(), placement);
    Arc::new(document)
}

struct Fixture {
    list: MemoryInstances,
    fleet: FleetHandle,
    view: InstanceView,
}

impl Fixture {
    fn start() -> Self {
        let fixture = Self {
            list: MemoryInstances::default(),
            fleet: FleetHandle::default(),
            view: InstanceView::default(),
        };
        fixture.list.put(listed("portal-1"));
        let (view, list, fleet) =
            (fixture.view.clone(), fixture.list.clone(), fixture.fleet.clone());
        tokio::spawn(async move { view.run_updates(list, fleet).await });
        fixture
    }

    fn state(&self) -> Option<InstanceState> {
        self.view.load().first().map(|instance| instance.state)
    }

    fn list_as(&self, state: InstanceState) {
        let id: InstanceId = "portal-1".into();
        self.list.set_state(&id, state);
    }
}

async fn list_intervals(count: u32) {
    tokio::time::sleep(LIST_INTERVAL * count + Duration::from_millis(1)).await;
}

#[tokio::test(start_paused = true)]
async fn an_instance_is_published_once_the_fleet_has_adopted_it() {
    let fixture = Fixture::start();
    list_intervals(2).await;
    assert_eq!(fixture.state(), None);
    fixture.fleet.update_if_newer(document(1, false));
    list_intervals(1).await;
    assert_eq!(fixture.state(), Some(InstanceState::Live));
    assert_eq!(fixture.view.fleet_number(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_draining_instance_is_published_as_leaving_before_its_document_number() {
    let fixture = Fixture::start();
    fixture.fleet.update_if_newer(document(1, false));
    list_intervals(1).await;
    let mut instances = fixture.view.subscribe();
    fixture.fleet.update_if_newer(document(2, true));
    instances.changed().await.unwrap();
    assert_eq!(fixture.state(), Some(InstanceState::Leaving));
    list_intervals(1).await;
    assert_eq!(fixture.view.fleet_number(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_instance_stays_leaving_when_the_list_reverts() {
    let fixture = Fixture::start();
    fixture.fleet.update_if_newer(document(1, false));
    fixture.list_as(InstanceState::Leaving);
    list_intervals(1).await;
    fixture.list_as(InstanceState::Live);
    list_intervals(2).await;
    assert_eq!(fixture.state(), Some(InstanceState::Leaving));
    tokio::time::sleep(LEAVING_DEBOUNCE).await;
    assert_eq!(fixture.state(), Some(InstanceState::Live));
}
