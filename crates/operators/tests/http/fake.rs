//! Entry instance under test: the operators' interface over fake sources.

use std::collections::BTreeMap;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use cassiafold_config::patch::MERGE_PATCH;
use cassiafold_config::{ActiveConfig, KeyHash, Version};
use cassiafold_operators::source::{
    Decision, EntryStatus, Explanation, Fact, MoveRefusal, MoveRequest, MoveResponse, PoolStatus,
    Reason, Selection, Status, Subject, WaveStatus, WhyNot,
};
use cassiafold_operators::{FleetSource, Limits, OperatorApi, Sources, StatusSource};
use cassiafold_standin::MemoryStore;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tower::ServiceExt;

pub const CREDENTIAL: &str = "operators-credential";
pub const CONFIRM_WAIT: Duration = Duration::from_secs(2);
pub const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
struct FakeSources {
    store: MemoryStore,
    active: ActiveConfig,
}

impl Sources for FakeSources {
    type Store = MemoryStore;
    type Status = Self;
    type Fleet = Self;

    fn store(&self) -> &MemoryStore {
        &self.store
    }

    fn status(&self) -> &Self {
        self
    }

    fn fleet(&self) -> &Self {
        self
    }

    fn metrics(&self) -> String {
        "cassiafold_up 1\n# EOF\n".to_owned()
    }
}

fn entry_status(name: &str, zone: &str, version: Version) -> EntryStatus {
    let (instance_id, zone) = (name.into(), zone.into());
    EntryStatus { instance_id, zone, version, ready: None, heard_ms_ago: 0 }
}

impl StatusSource for FakeSources {
    /// Returns this entry instance and one in an unreachable zone, which stays at version 1.
    async fn status(&self) -> Status {
        let version = self.active.version();
        let entries =
            vec![entry_status("e1", "a", version), entry_status("e2", "b", version.min(1))];
        Status { instance_id: "e1".into(), zone: "a".into(), entries, ..Status::default() }
    }
}

impl FleetSource for FakeSources {
    async fn pools(&self) -> Vec<PoolStatus> {
        vec![PoolStatus {
            pool: "portal".into(),
            service: Some("portal".into()),
            instances: 10,
            available: 9,
            in_maintenance: 1,
            failing: 0,
            floor: 8,
            arriving: 0,
        }]
    }

    async fn waves(&self) -> Vec<WaveStatus> {
        vec![WaveStatus {
            wave: "w".into(),
            total: 10,
            done: 1,
            in_progress: vec!["i1".into()],
            zone: Some("a".into()),
            set_back: 0,
            overdue: 2,
            held_back: None,
            deadline_unix_s: 9,
            expected_end_unix_s: Some(8),
            late: false,
        }]
    }

    async fn report(&self) -> Option<String> {
        Some("<!DOCTYPE html>".to_owned())
    }

    async fn explain(&self, subject: Subject, id: &str) -> Option<Explanation> {
        let fact = Fact { name: subject.name().into(), value: id.into() };
        let decision = Decision {
            unix_ms: 1,
            event: 1400,
            message: "drain started".into(),
            instance: Some(id.into()),
            pool: None,
            wave: Some("w".into()),
            inputs: BTreeMap::from([("floor".into(), "8".into())]),
        };
        let reason = Reason { code: 406, meaning: "paused".into() };
        let why_not = WhyNot { step: "maintenance".into(), reason, inputs: BTreeMap::new() };
        (id == "i1").then(|| Explanation {
            facts: vec![fact],
            why_not: vec![why_not],
            decisions: vec![decision],
        })
    }

    async fn move_instances(&self, request: MoveRequest) -> Result<MoveResponse, MoveRefusal> {
        match request.selection {
            Selection::Count(count) if count > 2 => {
                Err(MoveRefusal::Refused("below the floor".into()))
            }
            _ => Ok(MoveResponse { instances: vec!["i1".into()] }),
        }
    }
}

/// Entry instance under test.
pub struct Entry {
    pub store: MemoryStore,
    pub active: ActiveConfig,
    pub router: Router,
}

/// Response of the interface.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
    pub body: Value,
}

impl Response {
    /// Returns the result code of a problem, or 0 when there is none.
    pub fn code(&self) -> u16 {
        self.body["code"].as_u64().map_or(0, |code| code as u16)
    }

    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }
}

pub fn first_config() -> Value {
    json!({
        "zones": {"a": {"region": "north"}, "b": {"region": "north"}},
        "services": {"portal": {"floor_share": 0.75}},
        "pools": {"portal": {"service": "portal"}, "spare": {}},
        "teams": {"t": {"share": 1, "upper_limit": 4}},
        "waves": {"w": {"zones": ["a"], "start_unix_s": 9e9 as u64, "deadline_unix_s": 10e9 as u64}},
    })
}

impl Entry {
    /// Creates an entry instance without a configuration.
    pub fn empty() -> Self {
        let (store, active) = (MemoryStore::default(), ActiveConfig::default());
        let limits = Limits { confirm_wait: CONFIRM_WAIT, timeout: TIMEOUT };
        let sources = FakeSources { store: store.clone(), active: active.clone() };
        let operators = OperatorApi::new(sources, active.clone(), KeyHash::of(CREDENTIAL), limits);
        Self { store, active, router: operators.router() }
    }

    /// Creates an entry instance with version 1 of the configuration.
    pub async fn start() -> Self {
        let entry = Self::empty();
        let response = entry.patch(0, &first_config()).await;
        assert_eq!(response.status, 200, "{}", response.text);
        entry
    }

    pub async fn send(&self, request: Request<Body>) -> Response {
        let response = self.router.clone().oneshot(request).await.expect("router is infallible");
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.expect("body is complete").to_bytes();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let body = serde_json::from_slice(&bytes).unwrap_or_default();
        Response { status: parts.status.as_u16(), headers: parts.headers, text, body }
    }

    async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Response {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {CREDENTIAL}"))
            .header("cassiafold-operator", "ana");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.send(request.body(Body::from(body)).expect("valid request")).await
    }

    pub async fn get(&self, path: &str) -> Response {
        self.request("GET", path, &[], String::new()).await
    }

    pub async fn delete(&self, path: &str) -> Response {
        self.request("DELETE", path, &[], String::new()).await
    }

    pub async fn post(&self, path: &str, body: &Value) -> Response {
        self.request("POST", path, &[], body.to_string()).await
    }

    pub async fn patch_with(&self, headers: &[(&str, &str)], body: &Value) -> Response {
        self.request("PATCH", "/config", headers, body.to_string()).await
    }

    pub async fn patch(&self, base: Version, body: &Value) -> Response {
        let base = format!("\"{base}\"");
        let headers = [("if-match", base.as_str()), ("content-type", MERGE_PATCH)];
        self.patch_with(&headers, body).await
    }
}
