use std::collections::BTreeSet;
use std::time::Duration;

use cassiafold_platform::{Envelope, Store};

use crate::controller::RoundOutcome;
use crate::document::{DOCUMENT_KEY, FleetDocument, Phase};
use crate::domain::{DOMAINS_KEY, LearnedDomains};
use crate::event::FleetEvent;
use crate::history::History;
use crate::tests::race::Race;
use crate::timeline::Timeline;

fn document(race: &Race) -> FleetDocument {
    let record = race.store.faults().peek(DOCUMENT_KEY).expect("the document is stored");
    Envelope::decode(&record.value).expect("the document is well formed").value
}

fn rebooting(document: &FleetDocument) -> usize {
    let steps = document.placements.values().filter_map(|placement| placement.step.as_ref());
    steps.filter(|step| step.phase == Phase::Rebooting).count()
}

#[tokio::test(start_paused = true)]
async fn store_outage_starts_no_step_and_steps_in_progress_complete_afterwards() {
    let mut race = Race::new();
    for _ in 0..3 {
        race.first.round().await;
        race.wait(Duration::from_secs(1)).await;
    }
    let before = document(&race);
    assert!(before.placements.values().any(|placement| placement.step.is_some()));
    race.store.faults().set_outage(true);
    let reboots = race.instances.reboots().len();
    let sent = reboots + rebooting(&before);
    for _ in 0..5 {
        race.wait(Duration::from_secs(60)).await;
        let outcome = race.first.round().await;
        assert_ne!(outcome, RoundOutcome::Applied);
    }
    assert_eq!(document(&race), before);
    assert!(race.instances.reboots().len() <= sent);
    race.store.faults().set_outage(false);
    for _ in 0..60 {
        race.wait(Duration::from_secs(20)).await;
        race.first.round().await;
    }
    let maintained = |id: &std::sync::Arc<str>| document(&race).placements[id].maintained_at;
    for (id, placement) in
        before.placements.iter().filter(|(_, placement)| placement.step.is_some())
    {
        assert!(maintained(id).is_some(), "{id} did not end {:?}", placement.step);
    }
}

#[tokio::test(start_paused = true)]
async fn next_controller_continues_with_steps_evidence_and_history() {
    let mut race = Race::new();
    race.first.round().await;
    let feed: BTreeSet<std::sync::Arc<str>> = ["s0-0", "s0-6", "s1-3"].map(Into::into).into();
    race.change_conditions(|conditions| {
        conditions.failing.extend(feed.clone());
        conditions.failing.insert("s0-1".into());
    });
    for _ in 0..60 {
        race.wait(Duration::from_secs(1)).await;
        race.first.round().await;
    }
    race.change_conditions(|conditions| conditions.failing.clear());
    let started = document(&race);
    for _ in 0..200 {
        race.wait(Duration::from_secs(20)).await;
        race.second.round().await;
    }
    let ended = document(&race);
    assert!(started.placements.values().any(|placement| placement.step.is_some()));
    assert!(ended.placements.values().all(|placement| placement.maintained_at.is_some()));
    let record = race.store.get(DOMAINS_KEY).await.expect("the store is up");
    let record = record.expect("the evidence is stored");
    let domains =
        Envelope::<LearnedDomains>::decode(&record.value).expect("it is well formed").value;
    let group = domains.suspected().next().expect("the feed is suspected");
    assert_eq!(group.members.keys().cloned().collect::<BTreeSet<_>>(), feed);
    let history = History::load(&race.store).await.expect("the store is up");
    let events: BTreeSet<u16> = history.iter().map(|it| it.event.row().number).collect();
    for event in [
        FleetEvent::InstanceFailed,
        FleetEvent::DomainSuspected,
        FleetEvent::WavePaused,
        FleetEvent::WaveResumed,
        FleetEvent::InstanceReturned,
    ] {
        assert!(events.contains(&event.row().number), "{event:?} is missing");
    }
    let timeline = Timeline::load(&race.store).await.expect("the store is up");
    assert!(timeline.samples.len() > 1);
}
