//! Tests of the operators' interface over HTTP.

mod fake;

use std::time::Duration;

use axum::body::Body;
use cassiafold_config::KeyHash;
use cassiafold_config::patch::{JSON_PATCH, MERGE_PATCH};
use expect_test::expect;
use http::Request;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::{Value, json};

use crate::fake::{Entry, Response, first_config};

#[tokio::test(start_paused = true)]
async fn every_path_requires_the_credential() {
    let entry = Entry::start().await;
    for path in ["/config", "/config/history", "/status", "/pools", "/waves", "/metrics", "/x"] {
        let request = Request::get(path).body(Body::empty()).unwrap();
        assert_eq!(entry.send(request).await.code(), 500, "{path}");
        let request = Request::get(path).header("authorization", "Bearer wrong");
        assert_eq!(entry.send(request.body(Body::empty()).unwrap()).await.code(), 500, "{path}");
    }
}

#[tokio::test(start_paused = true)]
async fn patch_requires_base_version_and_media_type() {
    let entry = Entry::start().await;
    let patch = json!({"zones": {"a": {"out": true}}});
    let codes = [
        entry.patch_with(&[("content-type", MERGE_PATCH)], &patch).await.code(),
        entry
            .patch_with(&[("if-match", "one"), ("content-type", MERGE_PATCH)], &patch)
            .await
            .code(),
        entry.patch_with(&[("if-match", "1")], &patch).await.code(),
        entry.patch(1, &patch).await.status,
        entry.patch(1, &patch).await.code(),
    ];
    assert_eq!(codes, [505, 502, 504, 200, 506]);
    assert_eq!(entry.patch(1, &patch).await.body["current_version"], 2);
    let operations = json!([{"op": "replace", "path": "/zones/a/out", "value": false}]);
    let headers = [("if-match", "\"2\""), ("content-type", JSON_PATCH)];
    assert_eq!(entry.patch_with(&headers, &operations).await.body["version"], 3);
}

#[tokio::test(start_paused = true)]
async fn invalid_configuration_is_refused_with_all_faults() {
    let entry = Entry::start().await;
    let patch = json!({"teams": {"t": {"share": 0, "limit": 1}}, "pools": {"p": {"service": "x"}}});
    let response = entry.patch(1, &patch).await;
    expect![[r#"
        {
          "code": 507,
          "faults": [
            {
              "message": "unknown field; known are share, upper_limit, key_hashes",
              "path": "teams.t.limit"
            },
            {
              "message": "no service named x",
              "path": "pools.p.service"
            },
            {
              "message": "must be at least 1",
              "path": "teams.t.share"
            }
          ],
          "status": 422,
          "title": "the new configuration would have faults",
          "type": "urn:cassiafold:code:507"
        }"#]]
    .assert_eq(&format!("{:#}", response.body));
    assert_eq!(entry.get("/config").await.body["version"], 1);
}

#[tokio::test(start_paused = true)]
async fn accepted_patch_lists_unconfirmed_entries_after_bounded_wait() {
    let entry = Entry::start().await;
    let start = tokio::time::Instant::now();
    let response = entry.patch(1, &json!({"zones": {"a": {"out": true}}})).await;
    expect![[r#"
        {
          "repeated": false,
          "unchanged": false,
          "unconfirmed": [
            {
              "instance_id": "e2",
              "version": 1,
              "zone": "b"
            }
          ],
          "version": 2
        }"#]]
    .assert_eq(&format!("{:#}", response.body));
    assert!(start.elapsed() <= fake::CONFIRM_WAIT);
    let status = entry.get("/status").await.body;
    assert_eq!(status["unconfirmed"], response.body["unconfirmed"]);
}

#[tokio::test(start_paused = true)]
async fn repeated_request_is_accepted_once() {
    let entry = Entry::start().await;
    let headers =
        [("if-match", "1"), ("content-type", MERGE_PATCH), ("idempotency-key", "write-1")];
    let patch = json!({"zones": {"a": {"out": true}}});
    assert_eq!(entry.patch_with(&headers, &patch).await.body["repeated"], false);
    let again = entry.patch_with(&headers, &patch).await;
    assert_eq!((&again.body["version"], &again.body["repeated"]), (&json!(2), &json!(true)));
}

#[tokio::test(start_paused = true)]
async fn configuration_is_read_only_during_store_outage() {
    let entry = Entry::start().await;
    entry.store.faults().set_outage(true);
    let config = entry.get("/config").await;
    assert_eq!((config.status, config.header("cassiafold-source")), (200, "entry".to_owned()));
    assert_eq!(config.header("etag"), "\"1\"");
    let response = entry.patch(1, &json!({"zones": {"a": {"out": true}}})).await;
    assert_eq!((response.status, response.code()), (503, 508));
    assert_eq!(entry.get("/config/history").await.code(), 508);
}

#[tokio::test(start_paused = true)]
async fn key_is_valid_from_grant_to_withdrawal() {
    let entry = Entry::start().await;
    let (first, second) = (KeyHash::of("first").to_hex(), KeyHash::of("second").to_hex());
    for hash in [&first, &second, &second] {
        let body = json!({"team": "t", "key_hash": hash});
        assert_eq!(entry.post("/keys", &body).await.status, 200);
    }
    let team_for = |key: &str| entry.active.load().unwrap().team_for_key(key).cloned();
    assert_eq!(entry.active.version(), 3);
    assert_eq!(team_for("second").as_deref(), Some("t"));
    let withdrawn = entry.delete(&format!("/keys?team=t&key_hash={second}")).await;
    assert_eq!(withdrawn.body["unchanged"], false);
    assert_eq!((team_for("first").as_deref(), team_for("second")), (Some("t"), None));
    let again = entry.delete(&format!("/keys?team=t&key_hash={second}")).await;
    assert_eq!(again.body["unchanged"], true);
    entry.delete("/keys?team=t").await;
    assert_eq!(team_for("first"), None);
    assert_eq!(entry.post("/keys", &json!({"team": "u", "key_hash": first})).await.code(), 515);
    assert_eq!(entry.post("/keys", &json!({"team": "t", "key_hash": "12"})).await.code(), 502);
}

#[tokio::test(start_paused = true)]
async fn zones_and_waves_are_changed_by_id() {
    let entry = Entry::start().await;
    let no_body = Value::Null;
    assert_eq!(entry.post("/zones/a/out", &no_body).await.body["version"], 2);
    assert!(!entry.active.load().unwrap().zone_open(&"a".into()));
    assert_eq!(entry.post("/zones/a/out", &no_body).await.body["unchanged"], true);
    assert_eq!(entry.post("/zones/a/in", &no_body).await.body["version"], 3);
    assert_eq!(entry.post("/zones/x/out", &no_body).await.code(), 514);
    assert_eq!(entry.post("/waves/w/pause", &no_body).await.body["version"], 4);
    assert_eq!(entry.post("/waves/w/resume", &no_body).await.body["version"], 5);
    assert_eq!(entry.post("/waves/w/start", &no_body).await.body["version"], 6);
    assert_eq!(entry.post("/waves/w/start", &no_body).await.body["unchanged"], true);
    assert_eq!(entry.post("/waves/x/start", &no_body).await.code(), 516);
    let history = entry.get("/config/history?limit=3").await.body;
    let versions = history["versions"].as_array().unwrap().iter();
    let versions: Vec<_> = versions.map(|record| record["version"].as_u64().unwrap()).collect();
    assert_eq!(versions, [6, 5, 4]);
    assert_eq!(history["versions"][0]["change"]["operator"], "ana");
}

#[tokio::test(start_paused = true)]
async fn fleet_routes_return_state_moves_and_explanations() {
    let entry = Entry::start().await;
    assert_eq!(entry.get("/pools").await.body["pools"][0]["pool"], "portal");
    assert_eq!(entry.get("/waves").await.body["waves"][0]["wave"], "w");
    assert_eq!(entry.get("/explain/instance/i1").await.body["decisions"][0]["event"], 1400);
    assert_eq!(entry.get("/explain/instance/i2").await.code(), 519);
    assert_eq!(entry.get("/explain/rack/r1").await.code(), 501);
    let body = json!({"to": "spare", "selection": {"count": 2}});
    assert_eq!(entry.post("/pools/portal/move", &body).await.body["instances"], json!(["i1"]));
    let body = json!({"to": "spare", "selection": {"count": 3}});
    assert_eq!(entry.post("/pools/portal/move", &body).await.code(), 518);
    let body = json!({"to": "nowhere", "selection": {"count": 1}});
    assert_eq!(entry.post("/pools/portal/move", &body).await.code(), 517);
    let body = json!({"to": "portal", "selection": {"count": 1}});
    assert_eq!(entry.post("/pools/portal/move", &body).await.code(), 518);
    assert!(entry.get("/metrics").await.text.contains("cassiafold"));
}

#[tokio::test(start_paused = true)]
async fn oversized_bodies_and_unknown_paths_return_problems() {
    let entry = Entry::start().await;
    let long = json!({"zones": {"a": {"region": "x".repeat(2 << 20)}}});
    assert_eq!(entry.patch(1, &long).await.code(), 503);
    assert_eq!(entry.get("/nowhere").await.code(), 501);
    assert_eq!(entry.delete("/config").await.code(), 501);
    assert_eq!(entry.post("/zones/%ff/out", &Value::Null).await.code(), 502);
}

#[tokio::test(start_paused = true)]
async fn slow_store_does_not_delay_response_beyond_timeout() {
    let entry = Entry::start().await;
    entry.store.faults().set_delay(Duration::from_secs(60));
    let start = tokio::time::Instant::now();
    let response = entry.patch(1, &json!({"zones": {"a": {"out": true}}})).await;
    assert_eq!(response.status, 503);
    assert!(start.elapsed() <= fake::TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn first_configuration_is_made_by_patch_of_version_zero() {
    let entry = Entry::empty();
    assert_eq!(entry.get("/config").await.code(), 513);
    assert_eq!(entry.post("/zones/a/out", &Value::Null).await.code(), 513);
    assert_eq!(entry.patch(0, &first_config()).await.body["version"], 1);
    assert_eq!(entry.patch(0, &first_config()).await.code(), 506);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bodies_and_paths_return_status_below_500(
        path in "/(config|keys|zones/[a-z%]{1,5}/out|pools/[ -~&&[^#? <>`{}\"\\\\^|\\[\\]%]]{1,5}/move)",
        method in prop::sample::select(vec!["GET", "POST", "PATCH", "DELETE"]),
        version in "[0-9\"]{0,22}",
        body in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let request = Request::builder().method(method).uri(path);
        let Ok(request) = request
            .header("authorization", format!("Bearer {}", fake::CREDENTIAL))
            .header("if-match", version)
            .header("content-type", MERGE_PATCH)
            .body(Body::from(body))
        else {
            return Ok(());
        };
        let response: Response = runtime.block_on(async { Entry::start().await.send(request).await });
        prop_assert!(response.status < 500, "{}", response.text);
    }
}
