use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::id::Version;
use cassiafold_config::{ActiveConfig, Config, Patch};
use cassiafold_standin::MemoryStore;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{ConfigStore, PatchError, PatchOutcome, PatchRequest, ROLLBACK_GAP};
use crate::edit::{EditContext, EditError};
use crate::history;

const TIMEOUT: Duration = Duration::from_secs(5);

struct Entry {
    store: MemoryStore,
    active: ActiveConfig,
    configs: ConfigStore<MemoryStore>,
}

fn entry(store: &MemoryStore) -> Entry {
    let active = ActiveConfig::default();
    let configs = ConfigStore::new(store.clone(), active.clone());
    Entry { store: store.clone(), active, configs }
}

fn request(base_version: Version, patch: Value) -> PatchRequest {
    PatchRequest {
        base_version,
        patch: Patch::Merge(patch),
        write_id: format!("write-{base_version}"),
        operator: "ana".into(),
        unix_s: 1,
        known_version: 0,
    }
}

impl Entry {
    async fn patch(&self, request: &PatchRequest) -> Result<PatchOutcome, PatchError> {
        self.configs.patch(request, Instant::now() + TIMEOUT).await
    }

    async fn set_share(&self, base: Version, share: u32) -> Result<PatchOutcome, PatchError> {
        self.patch(&request(base, json!({"teams": {"t": {"share": share}}}))).await
    }

    /// Makes versions 1 to `last`.
    async fn seed_versions(&self, last: Version) {
        let first = json!({
            "zones": {}, "services": {}, "pools": {},
            "teams": {"t": {"share": 1, "upper_limit": 1}},
        });
        assert_eq!(accepted(self.patch(&request(0, first)).await), (1, false));
        for base in 1..last {
            assert_eq!(accepted(self.set_share(base, 7).await), (base + 1, false));
        }
    }
}

fn accepted(response: Result<PatchOutcome, PatchError>) -> (Version, bool) {
    match response {
        Ok(PatchOutcome::Accepted { version, repeated }) => (version, repeated),
        other => panic!("not accepted: {other:?}"),
    }
}

fn share_of(config: &Config) -> u32 {
    config.teams["t"].share
}

#[tokio::test(start_paused = true)]
async fn accepted_patch_is_in_force_immediately_and_stale_patch_returns_current_version() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(2).await;
    assert_eq!(share_of(&entry.active.load().unwrap()), 7);
    let mut stale = request(1, json!({"pools": {"p": {}}}));
    stale.write_id = "other".into();
    let response = entry.patch(&stale).await;
    assert!(matches!(response, Ok(PatchOutcome::Stale { current: 2 })), "{response:?}");
}

#[tokio::test(start_paused = true)]
async fn repeat_with_same_write_id_returns_first_version_even_after_it_was_replaced() {
    let first = entry(&MemoryStore::default());
    first.seed_versions(2).await;
    assert_eq!(accepted(first.set_share(1, 7).await), (2, true));
    first.set_share(2, 8).await.unwrap();
    let restarted = entry(&first.store);
    assert_eq!(accepted(restarted.set_share(1, 7).await), (2, true));
    assert_eq!(restarted.configs.newest().await.unwrap().unwrap().version, 3);
}

#[tokio::test(start_paused = true)]
async fn write_id_reused_with_another_base_version_is_not_a_repeat() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(2).await;
    let mut next = request(2, json!({"teams": {"t": {"share": 9}}}));
    next.write_id = "write-1".into();
    assert_eq!(accepted(entry.patch(&next).await), (3, false));
}

#[tokio::test(start_paused = true)]
async fn patch_after_store_restore_continues_from_version_in_force_with_new_numbers() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(2).await;
    let revision = entry.store.faults().revision();
    entry.set_share(2, 8).await.unwrap();
    entry.set_share(3, 9).await.unwrap();
    assert!(entry.store.faults().roll_back(revision));
    let response = entry.patch(&request(4, json!({"pools": {"p": {}}}))).await;
    assert_eq!(accepted(response), (4 + ROLLBACK_GAP, false));
    let config = entry.configs.newest().await.unwrap().unwrap();
    assert_eq!((share_of(&config), config.pools.len()), (9, 1));
    assert_eq!(accepted(entry.set_share(4 + ROLLBACK_GAP, 1).await), (5 + ROLLBACK_GAP, false));
}

#[tokio::test(start_paused = true)]
async fn entry_with_lower_version_than_another_refuses_patch_without_change() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(2).await;
    let mut behind = request(2, json!({"teams": {"t": {"share": 9}}}));
    behind.known_version = 5;
    let response = entry.patch(&behind).await;
    assert!(
        matches!(response, Err(PatchError::Behind { known_version: 5, newest_version: 2 })),
        "{response:?}"
    );
    assert_eq!(entry.configs.newest().await.unwrap().unwrap().version, 2);
}

#[tokio::test(start_paused = true)]
async fn invalid_or_oversized_patch_writes_nothing() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(1).await;
    let revision = entry.store.faults().revision();
    let faulty = request(1, json!({"teams": {"t": {"share": 0, "limit": 1}, "u": {}}}));
    let Ok(PatchOutcome::Invalid(faults)) = entry.patch(&faulty).await else { panic!("accepted") };
    assert_eq!(faults.list.len(), 4, "{faults}");
    let hashes: Vec<String> = (100_000..120_000).map(|key| format!("{key:0<64}")).collect();
    let long = request(1, json!({"teams": {"t": {"key_hashes": hashes}}}));
    let Ok(PatchOutcome::Invalid(faults)) = entry.patch(&long).await else { panic!("accepted") };
    assert!(faults.to_string().contains("bytes"), "{faults}");
    assert_eq!(entry.store.faults().revision(), revision);
}

#[tokio::test(start_paused = true)]
async fn store_outage_is_reported_as_unavailable_before_deadline() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(1).await;
    entry.store.faults().set_outage(true);
    let start = Instant::now();
    let response = entry.set_share(1, 5).await;
    assert!(matches!(response, Err(PatchError::Unavailable(_))), "{response:?}");
    assert!(start.elapsed() <= TIMEOUT);
    entry.store.faults().set_outage(false);
    assert_eq!(accepted(entry.set_share(1, 6).await), (2, false));
}

#[tokio::test(start_paused = true)]
async fn history_lists_each_version_and_is_bounded() {
    let entry = entry(&MemoryStore::default());
    entry.seed_versions(240).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let records = history::list(&entry.store, usize::MAX).await.unwrap();
    let versions: Vec<Version> = records.iter().map(|record| record.version).collect();
    assert_eq!(versions, (40..240).rev().collect::<Vec<_>>());
    let change = records[0].change.as_ref().unwrap();
    assert_eq!((change.base_version, &*change.operator), (238, "ana"));
    assert_eq!(change.patch, Some(json!({"teams": {"t": {"share": 7}}})));
}

#[tokio::test(start_paused = true)]
async fn concurrent_edits_all_take_effect() {
    let store = MemoryStore::default();
    entry(&store).seed_versions(1).await;
    store.faults().set_delay(Duration::from_millis(20));
    let context = EditContext { operator: "ana".into(), unix_s: 1, known_version: 0 };
    let edits = (0..6).map(|number| {
        let (configs, context) = (entry(&store).configs, context.clone());
        tokio::spawn(async move {
            let pool = format!("p{number}");
            let deadline = Instant::now() + TIMEOUT;
            configs
                .edit(&context, deadline, |config| {
                    let patch = json!({"pools": {&pool: {}}});
                    Ok::<_, ()>((!config.pools.contains_key(pool.as_str())).then_some(patch))
                })
                .await
                .map(|outcome| outcome.version)
        })
    });
    let mut versions = Vec::new();
    for edit in edits.collect::<Vec<_>>() {
        versions.push(edit.await.unwrap().unwrap());
    }
    versions.sort_unstable();
    assert_eq!(versions, [2, 3, 4, 5, 6, 7]);
    let newest = entry(&store).configs.newest().await.unwrap().unwrap();
    assert_eq!(newest.pools.len(), 6);
}

#[tokio::test(start_paused = true)]
async fn edit_without_config_or_with_refused_change_fails() {
    let entry = entry(&MemoryStore::default());
    let context = EditContext { operator: "ana".into(), unix_s: 1, known_version: 0 };
    let deadline = Instant::now() + TIMEOUT;
    let response = entry.configs.edit(&context, deadline, |_| Err("no")).await;
    assert!(matches!(response, Err(EditError::NoConfig)));
    entry.seed_versions(1).await;
    let response = entry.configs.edit(&context, deadline, |_| Err("no")).await;
    assert!(matches!(response, Err(EditError::Refused("no"))));
    let outcome = entry.configs.edit(&context, deadline, |_| Ok::<_, ()>(None)).await.unwrap();
    assert!(outcome.unchanged);
    let _: Arc<Config> = entry.active.load().unwrap();
}
