//! Faults of a backend server at each point of a request, with the expected runs and responses.

use std::time::Duration;

use cassiafold_dispatch::Sources;
use cassiafold_standin::{BackendOptions, Fault, FaultPlan};
use http::Method;

use super::{CallerResponse, Fleet};

/// A fault and the requests or connections that it affects.
#[derive(Debug, Clone, Copy)]
pub enum FaultScenario {
    /// The first request, whichever backend server it reaches.
    First(Fault),
    /// The first request, which asks for a long response.
    Long(Fault),
    /// The first request; all later ones are refused without being run.
    ThenRefused(Fault),
    /// Every request at every backend server.
    Every(Fault),
    /// One of the two backend servers refuses connections.
    OneRefuses,
    /// Both backend servers refuse connections.
    AllRefuse,
    /// Idle connections are reset before the request.
    IdleReset,
    /// Idle connections stop responding shortly after a response.
    IdleSilent,
    /// Idle connections stop responding and are no longer recently verified at the time of the
    /// request.
    UnverifiedSilent,
}

/// One fault with the expected number of runs and the expected response, for POST and for GET.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub scenario: FaultScenario,
    pub post: (u32, &'static str),
    pub get: (u32, &'static str),
}

/// Observed effect of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    pub runs: u32,
    pub response: String,
    pub is_consistent: bool,
}

const DEADLINE_MS: u64 = 800;
const LATE_RUN_TIME: Duration = Duration::from_millis(1_200);
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Longer than the time for which a connection counts as recently verified.
const UNVERIFIED_AFTER: Duration = Duration::from_millis(600);
const REQUEST_ID: &str = "the-request";

const WHOLE: &str = "200, whole";
const BROKEN: &str = "200, broken transfer";
const LOST: &str = "502, code 306, outcome unknown";
const TIMEOUT: &str = "504, code 313, outcome unknown";

const fn case(
    name: &'static str,
    scenario: FaultScenario,
    post: (u32, &'static str),
    get: (u32, &'static str),
) -> Case {
    Case { name, scenario, post, get }
}

/// All faults.
pub const CASES: &[Case] = &[
    case("none", FaultScenario::First(Fault::Slow(Duration::ZERO)), (1, WHOLE), (1, WHOLE)),
    case("refused by one", FaultScenario::OneRefuses, (1, WHOLE), (1, WHOLE)),
    case(
        "refused by all",
        FaultScenario::AllRefuse,
        (0, "502, code 305, not run"),
        (0, "502, code 305, not run"),
    ),
    case("reset while unused", FaultScenario::IdleReset, (1, WHOLE), (1, WHOLE)),
    case(
        "reset during the write",
        FaultScenario::First(Fault::ResetDuringWrite),
        (0, LOST),
        (1, WHOLE),
    ),
    case("reset after the run", FaultScenario::First(Fault::ResetAfterRun), (1, LOST), (2, WHOLE)),
    case("cut in the headers", FaultScenario::First(Fault::CutHead), (1, LOST), (2, WHOLE)),
    case("cut in a short body", FaultScenario::First(Fault::CutBody), (1, LOST), (2, WHOLE)),
    case("cut in a long body", FaultScenario::Long(Fault::CutBody), (1, BROKEN), (1, BROKEN)),
    case(
        "cut in a chunked body",
        FaultScenario::First(Fault::CutChunked),
        (1, BROKEN),
        (1, BROKEN),
    ),
    case("silence before the run", FaultScenario::First(Fault::Silence), (0, TIMEOUT), (1, WHOLE)),
    case(
        "silence after the run",
        FaultScenario::First(Fault::SilenceAfterRun),
        (1, TIMEOUT),
        (2, WHOLE),
    ),
    case("proved connection silent", FaultScenario::IdleSilent, (0, TIMEOUT), (1, WHOLE)),
    case("old connection silent", FaultScenario::UnverifiedSilent, (1, WHOLE), (1, WHOLE)),
    case(
        "slow",
        FaultScenario::First(Fault::Slow(Duration::from_millis(150))),
        (1, WHOLE),
        (1, WHOLE),
    ),
    case("late", FaultScenario::First(Fault::Slow(LATE_RUN_TIME)), (1, TIMEOUT), (2, WHOLE)),
    case(
        "crossed id",
        FaultScenario::First(Fault::WrongRequestId),
        (1, "502, code 315, outcome unknown"),
        (2, WHOLE),
    ),
    case(
        "end not marked",
        FaultScenario::First(Fault::Unframed),
        (1, "502, code 316, outcome unknown"),
        (2, WHOLE),
    ),
    case("refused as not run", FaultScenario::First(Fault::RefuseNotRun), (1, WHOLE), (1, WHOLE)),
    case(
        "refused by all as not run",
        FaultScenario::Every(Fault::RefuseNotRun),
        (0, "503, code 314, not run"),
        (0, "503, code 314, not run"),
    ),
    case(
        "reset after the run, then refused",
        FaultScenario::ThenRefused(Fault::ResetAfterRun),
        (1, LOST),
        (1, "503, code 314, outcome unknown"),
    ),
    case(
        "server error",
        FaultScenario::First(Fault::ServerError),
        (1, "500, whole"),
        (1, "500, whole"),
    ),
];

/// Injects the fault into a request with `method` and returns its effect.
pub async fn run(case: &Case, method: Method) -> Outcome {
    let options = BackendOptions { faults: FaultPlan::default(), ..BackendOptions::default() };
    let config = super::config(1, |_| {});
    let mut fleet =
        Fleet::start_with(&[options.clone(), options], <Sources>::default(), config).await;
    inject(case.scenario, &mut fleet).await;
    let path =
        if matches!(case.scenario, FaultScenario::Long(_)) { "/bytes/100000" } else { "/work" };
    let response =
        fleet.call(method.clone(), path, REQUEST_ID).deadline_ms(DEADLINE_MS).send().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let runs = fleet.counts.runs(REQUEST_ID);
    let is_consistent = is_consistent(&response, runs, &method);
    Outcome { runs, response: response.summary(), is_consistent }
}

async fn inject(scenario: FaultScenario, fleet: &mut Fleet) {
    match scenario {
        FaultScenario::First(fault) | FaultScenario::Long(fault) => fleet.faults.queue(fault),
        FaultScenario::ThenRefused(fault) => {
            fleet.faults.queue(fault);
            fleet.faults.set(Some(Fault::RefuseNotRun));
        }
        FaultScenario::Every(fault) => fleet.faults.set(Some(fault)),
        FaultScenario::OneRefuses => fleet.backends.remove(0).close(),
        FaultScenario::AllRefuse => fleet.backends.drain(..).for_each(|backend| backend.close()),
        FaultScenario::IdleReset => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.reset_connections());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        FaultScenario::IdleSilent => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.silence_connections());
        }
        FaultScenario::UnverifiedSilent => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.silence_connections());
            tokio::time::sleep(UNVERIFIED_AFTER).await;
        }
    }
}

/// Leaves an idle connection open to each backend server.
async fn warm_up(fleet: &Fleet) {
    fleet.faults.queue(Fault::Slow(Duration::from_millis(50)));
    fleet.faults.queue(Fault::Slow(Duration::from_millis(50)));
    let all_warm = || fleet.backends.iter().all(|backend| backend.connections_max() > 0);
    while !all_warm() {
        let calls =
            (0..2).map(|index| fleet.call(Method::GET, "/warm", &format!("w{index}")).send());
        futures_util::future::join_all(calls).await;
    }
}

/// Whether the response agrees with the number of runs, and a request that is not idempotent ran at
/// most once.
fn is_consistent(response: &CallerResponse, runs: u32, method: &Method) -> bool {
    let run_state_correct = match response.run_state().as_str() {
        "not run" => runs == 0,
        "outcome unknown" => true,
        _ => runs >= 1,
    };
    let body_complete = match (&response.body, response.code()) {
        (Some(body), 0) => body.starts_with(b"served by portal-") && body.ends_with(b"\n"),
        _ => true,
    };
    run_state_correct && body_complete && (method.is_idempotent() || runs <= 1)
}
