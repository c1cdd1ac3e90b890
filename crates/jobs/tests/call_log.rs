//! What logs and metrics tell about calls that have no result, in virtual time.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::api::{Call, CallKind, Denial, JobStateResponse};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{JobState, state_key};

use self::clients::call;
use self::emulator::ms;
use self::log_lines::{Line, capture, lines};
use self::scripted_store::{CallFault, ScriptedClients, call_for};

/// Timeout of a caller.
const CALLER: Duration = Duration::from_secs(3);

fn only_line(event: JobsEvent) -> Line {
    let mut lines = lines(event.row().number);
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines.remove(0)
}

fn assert_fields(line: &Line, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        assert_eq!(line.get(*name).map(String::as_str), Some(*value), "{name} of {line:?}");
    }
}

/// The metrics as text.
fn metrics_text(platform: &ScriptedClients) -> String {
    let mut registry = prometheus_client::registry::Registry::default();
    platform.metrics.register(&mut registry);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).expect("text");
    text
}

/// Queries job 1 with this state record and this fault of the store, and checks the line about it.
macro_rules! reasons {
    ($($name:ident: $state:expr, $fault:expr, $call:expr => $fields:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            capture();
            let platform = ScriptedClients::new().await;
            let api = platform.api().await;
            let state: Option<&str> = $state;
            if let Some(state) = state {
                platform.put(&state_key(1), state).await;
            }
            platform.store.plan(&[], $fault);
            api.job_state(&$call).await;
            let line = only_line(JobsEvent::CallWithoutResult);
            assert_fields(&line, &[("call", "look"), ("job", "0000000000000001")]);
            assert_fields(&line, &$fields);
            assert_ne!(line["config_revision"], "0");
            assert!(line.contains_key("taken_ms") && line.contains_key("config_age_ms"));
            let outcome = format!("outcome=\"{}\"", line["reason"]);
            assert!(metrics_text(&platform).contains(&outcome), "{outcome}");
        })+
    };
}

reasons! {
    a_query_of_a_store_that_refuses_all_calls_names_the_call_that_failed:
        None, CallFault::Refused, call_for(1, CALLER) => [
            ("reason", "store_unavailable"),
            ("store_lost_by", "read_state"),
            ("error", "key-value service unavailable: 429 Too Many Requests"),
            ("deadline_ms", "3000"),
        ];
    a_query_without_a_response_until_the_deadline_names_the_error:
        None, CallFault::Silent, call_for(1, ms(1_000)) =>
        [("reason", "store_failed"), ("deadline_ms", "1000")];
    a_query_of_an_unreadable_record_names_the_record:
        Some("{"), CallFault::None, call_for(1, ms(300)) =>
        [("reason", "record_unreadable"), ("key", "cassiafold/state/0000000000000001")];
    a_query_of_a_job_that_does_not_exist_is_logged:
        None, CallFault::None, call_for(1, CALLER) =>
        [("reason", "no_such_job"), ("queue", "q"), ("team", "t")];
    a_query_with_an_unknown_key_is_logged:
        None, CallFault::None, Call { key: Some("x".into()), ..call_for(1, CALLER) } =>
        [("reason", "unknown_key")];
    a_query_of_an_unknown_queue_is_logged:
        None, CallFault::None, Call { path: "/x/0000000000000001".into(), ..call_for(1, CALLER) }
        => [("reason", "unknown_queue")];
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_denied_before_it_is_handled_is_logged() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    api.record_denial(CallKind::Count, &call("/q/", None), Denial::NoConfig);
    let line = only_line(JobsEvent::CallWithoutResult);
    assert_fields(&line, &[("call", "count"), ("job", "-"), ("reason", "no_config")]);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_and_a_count_at_a_silent_store_are_logged() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.store.plan(&[], CallFault::Silent);
    api.cancel(&call_for(1, ms(1_000))).await;
    api.waiting_jobs(&Call { path: "/q/".into(), ..call_for(1, ms(200)) }).await;
    let lines = lines(JobsEvent::CallWithoutResult.row().number);
    let cancel = [("call", "cancel"), ("job", "0000000000000001"), ("reason", "store_failed")];
    assert_fields(&lines[0], &cancel);
    assert_fields(&lines[1], &[("call", "count"), ("job", "-"), ("queue", "q")]);
}

#[tokio::test(start_paused = true)]
async fn a_query_whose_caller_closes_the_connection_is_logged() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.store.plan(&[], CallFault::Silent);
    let call = call_for(1, CALLER);
    let abandoned = tokio::time::timeout(ms(100), api.job_state(&call)).await;
    assert!(abandoned.is_err());
    let line = only_line(JobsEvent::CallWithoutResult);
    assert_fields(&line, &[("reason", "abandoned"), ("taken_ms", "100")]);
}

#[tokio::test(start_paused = true)]
async fn a_state_that_is_found_after_the_deadline_is_logged_as_late() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    platform.put(&state_key(1), r#"{"s":"completed"}"#).await;
    let completed = JobStateResponse::State(JobState::Completed);
    assert_eq!(api.job_state(&call_for(1, CALLER)).await, completed);
    let call = call_for(1, ms(50));
    tokio::time::sleep(ms(60)).await;
    assert_eq!(api.job_state(&call).await, completed);
    assert_fields(&only_line(JobsEvent::CallWithoutResult), &[("reason", "late")]);
}

/// Queries that are refused within one second.
const REFUSED: u64 = 1_000;

#[tokio::test(start_paused = true)]
async fn a_thousand_refused_queries_write_few_lines_and_the_number_of_the_others() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    for job in 0..REFUSED {
        assert_eq!(api.job_state(&call_for(job, CALLER)).await, JobStateResponse::NoSuchJob);
    }
    tokio::time::sleep(ms(2_000)).await;
    let written = lines(JobsEvent::CallWithoutResult.row().number).len();
    assert_eq!(written, 40);
    let omitted = only_line(JobsEvent::CallLinesOmitted);
    assert_fields(&omitted, &[("reason", "no_such_job"), ("calls", "960")]);
    assert_eq!(omitted["jobs"].split(' ').count(), 200);
    api.job_state(&call_for(1, CALLER)).await;
    assert_eq!(lines(JobsEvent::CallWithoutResult.row().number).len(), 41);
}

#[tokio::test(start_paused = true)]
async fn a_loss_of_the_store_is_logged_with_the_call_that_failed_and_the_checks_until_its_end() {
    capture();
    let platform = ScriptedClients::new().await;
    let api = platform.api().await;
    let gauge = |value: u8| format!("store_unavailable_for_callers {value}");
    platform.store.plan(&[], CallFault::Refused);
    api.job_state(&call_for(1, CALLER)).await;
    let lost = [("user", "callers"), ("call", "read_state")];
    assert_fields(&only_line(JobsEvent::StoreLost), &lost);
    assert!(metrics_text(&platform).contains(&gauge(1)));
    tokio::time::sleep(ms(500)).await;
    platform.store.plan(&[], CallFault::None);
    tokio::time::sleep(ms(500)).await;
    let regained = only_line(JobsEvent::StoreRegained);
    assert_fields(&regained, &[("user", "callers")]);
    assert!(regained["checks"].parse::<u32>().expect("a number") > 2, "{regained:?}");
    assert!(metrics_text(&platform).contains(&gauge(0)));
}
