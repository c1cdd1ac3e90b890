use cassiafold_dispatch::{AttemptResult, Observation};
use cassiafold_membership::usage::Symptom;
use tokio::time::Instant;

use super::{FAILURES_TTL, Symptoms};

fn record(symptoms: &Symptoms, results: &[AttemptResult]) {
    for result in results {
        let at = Instant::now();
        symptoms.record(&Observation { instance: "portal-1".into(), result: *result, at });
    }
}

macro_rules! symptom_cases {
    ($($name:ident: $results:expr => $symptom:expr;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let symptoms = Symptoms::default();
            record(&symptoms, &$results);
            assert_eq!(symptoms.current().get("portal-1").copied(), $symptom);
        }
    )+};
}

use AttemptResult::{Broken, ConnectFailed, Ok, Refused, ServerError, Silent};

symptom_cases! {
    failed_connects_mean_unreachable: [ConnectFailed; 3] => Some(Symptom::Unreachable);
    missing_responses_mean_hanging: [Silent; 2] => Some(Symptom::Hanging);
    failed_responses_mean_failing_all: [ServerError, Broken, ServerError, Broken, ServerError]
        => Some(Symptom::FailingAll);
    a_success_clears_the_failures: [ConnectFailed, ConnectFailed, Ok, ConnectFailed] => None;
    refusals_are_not_counted: [Refused; 20] => None;
}

#[tokio::test(start_paused = true)]
async fn old_failures_expire() {
    let symptoms = Symptoms::default();
    record(&symptoms, &[ConnectFailed; 3]);
    tokio::time::sleep(FAILURES_TTL).await;
    assert!(symptoms.current().is_empty());
}

#[tokio::test(start_paused = true)]
async fn failures_of_an_instance_with_a_step_are_cleared() {
    let symptoms = Symptoms::default();
    record(&symptoms, &[ConnectFailed; 3]);
    symptoms.clear(&"portal-1".into());
    assert!(symptoms.current().is_empty());
}
