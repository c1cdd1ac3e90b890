//! One fault of a backend server at each point of a request: what ran, and what was told.

use std::time::Duration;

use cassiafold_dispatch::Sources;
use cassiafold_standin::{BackendOptions, Fault, FaultPlan};
use http::Method;

use super::{Fleet, Told};

/// Where a fault strikes.
#[derive(Debug, Clone, Copy)]
pub enum Strike {
    /// The first request, whichever backend server it reaches.
    First(Fault),
    /// The first request, which asks for a long answer.
    Long(Fault),
    /// The first request; all later ones are refused without being run.
    ThenRefused(Fault),
    /// Every request at every backend server.
    Every(Fault),
    /// One of the two backend servers refuses connections.
    OneRefuses,
    /// Both backend servers refuse connections.
    AllRefuse,
    /// Unused connections are reset before the request.
    UnusedReset,
    /// Unused connections go silent just after they have carried an answer.
    UnusedSilent,
    /// Unused connections go silent and are old when the request comes.
    OldSilent,
}

/// One fault and what must come of it, first for POST, then for GET: number of runs and what
/// the caller is told.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub strike: Strike,
    pub post: (u32, &'static str),
    pub get: (u32, &'static str),
}

/// What came of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    pub runs: u32,
    pub told: String,
    pub is_true: bool,
}

const DEADLINE_MS: u64 = 800;
const LATE: Duration = Duration::from_millis(1_200);
const SETTLE: Duration = Duration::from_millis(700);
/// Longer than the time for which a connection counts as proved.
const AGE: Duration = Duration::from_millis(600);
const ID: &str = "the-request";

const WHOLE: &str = "200, whole";
const BROKEN: &str = "200, broken transfer";
const LOST: &str = "502, code 306, outcome unknown";
const TIMEOUT: &str = "504, code 313, outcome unknown";

const fn case(
    name: &'static str,
    strike: Strike,
    post: (u32, &'static str),
    get: (u32, &'static str),
) -> Case {
    Case { name, strike, post, get }
}

/// All faults.
pub const CASES: &[Case] = &[
    case("none", Strike::First(Fault::Slow(Duration::ZERO)), (1, WHOLE), (1, WHOLE)),
    case("refused by one", Strike::OneRefuses, (1, WHOLE), (1, WHOLE)),
    case(
        "refused by all",
        Strike::AllRefuse,
        (0, "502, code 305, not run"),
        (0, "502, code 305, not run"),
    ),
    case("reset while unused", Strike::UnusedReset, (1, WHOLE), (1, WHOLE)),
    case("reset during the write", Strike::First(Fault::ResetDuringWrite), (0, LOST), (1, WHOLE)),
    case("reset after the run", Strike::First(Fault::ResetAfterRun), (1, LOST), (2, WHOLE)),
    case("cut in the headers", Strike::First(Fault::CutHead), (1, LOST), (2, WHOLE)),
    case("cut in a short body", Strike::First(Fault::CutBody), (1, LOST), (2, WHOLE)),
    case("cut in a long body", Strike::Long(Fault::CutBody), (1, BROKEN), (1, BROKEN)),
    case("cut in a chunked body", Strike::First(Fault::CutChunked), (1, BROKEN), (1, BROKEN)),
    case("silence before the run", Strike::First(Fault::Silence), (0, TIMEOUT), (1, WHOLE)),
    case("silence after the run", Strike::First(Fault::SilenceAfterRun), (1, TIMEOUT), (2, WHOLE)),
    case("proved connection silent", Strike::UnusedSilent, (0, TIMEOUT), (1, WHOLE)),
    case("old connection silent", Strike::OldSilent, (1, WHOLE), (1, WHOLE)),
    case("slow", Strike::First(Fault::Slow(Duration::from_millis(150))), (1, WHOLE), (1, WHOLE)),
    case("late", Strike::First(Fault::Slow(LATE)), (1, TIMEOUT), (2, WHOLE)),
    case(
        "crossed id",
        Strike::First(Fault::WrongRequestId),
        (1, "502, code 315, outcome unknown"),
        (2, WHOLE),
    ),
    case(
        "end not marked",
        Strike::First(Fault::Unframed),
        (1, "502, code 316, outcome unknown"),
        (2, WHOLE),
    ),
    case("refused as not run", Strike::First(Fault::RefuseNotRun), (1, WHOLE), (1, WHOLE)),
    case(
        "refused by all as not run",
        Strike::Every(Fault::RefuseNotRun),
        (0, "503, code 314, not run"),
        (0, "503, code 314, not run"),
    ),
    case(
        "reset after the run, then refused",
        Strike::ThenRefused(Fault::ResetAfterRun),
        (1, LOST),
        (1, "503, code 314, outcome unknown"),
    ),
    case("server error", Strike::First(Fault::ServerError), (1, "500, whole"), (1, "500, whole")),
];

/// Commits the fault on a request by `method` and reports what came of it.
pub async fn run(case: &Case, method: Method) -> Outcome {
    let options = BackendOptions { faults: FaultPlan::default(), ..BackendOptions::default() };
    let config = super::config(1, |_| {});
    let mut fleet =
        Fleet::start_with(&[options.clone(), options], <Sources>::default(), config).await;
    strike(case.strike, &mut fleet).await;
    let path = if matches!(case.strike, Strike::Long(_)) { "/bytes/100000" } else { "/work" };
    let told = fleet.call(method.clone(), path, ID).deadline_ms(DEADLINE_MS).send().await;
    tokio::time::sleep(SETTLE).await;
    let runs = fleet.counts.runs(ID);
    let is_true = is_true(&told, runs, &method);
    Outcome { runs, told: told.summary(), is_true }
}

async fn strike(strike: Strike, fleet: &mut Fleet) {
    match strike {
        Strike::First(fault) | Strike::Long(fault) => fleet.faults.queue(fault),
        Strike::ThenRefused(fault) => {
            fleet.faults.queue(fault);
            fleet.faults.set(Some(Fault::RefuseNotRun));
        }
        Strike::Every(fault) => fleet.faults.set(Some(fault)),
        Strike::OneRefuses => fleet.backends.remove(0).close(),
        Strike::AllRefuse => fleet.backends.drain(..).for_each(|backend| backend.close()),
        Strike::UnusedReset => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.reset_connections());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Strike::UnusedSilent => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.silence_connections());
        }
        Strike::OldSilent => {
            warm_up(fleet).await;
            fleet.backends.iter().for_each(|backend| backend.silence_connections());
            tokio::time::sleep(AGE).await;
        }
    }
}

/// Leaves an unused connection open to each backend server.
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

/// Whether what the caller was told is true, and a non-idempotent request ran at most once.
fn is_true(told: &Told, runs: u32, method: &Method) -> bool {
    let run_state_true = match told.run_state().as_str() {
        "not run" => runs == 0,
        "outcome unknown" => true,
        _ => runs >= 1,
    };
    let body_whole = match (&told.body, told.code()) {
        (Some(body), 0) => body.starts_with(b"served by portal-") && body.ends_with(b"\n"),
        _ => true,
    };
    run_state_true && body_whole && (method.is_idempotent() || runs <= 1)
}
