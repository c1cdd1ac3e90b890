use cassiafold_dispatch::{AttemptResult, Observation};
use cassiafold_membership::usage::Symptom;
use tokio::time::Instant;

use super::{EVIDENCE_TTL, Symptoms};

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
    silence_on_new_connections_means_hanging: [Silent; 2] => Some(Symptom::Hanging);
    failed_answers_mean_failing_all: [ServerError, Broken, ServerError, Broken, ServerError]
        => Some(Symptom::FailingAll);
    a_success_clears_the_evidence: [ConnectFailed, ConnectFailed, Ok, ConnectFailed] => None;
    refusals_say_nothing: [Refused; 20] => None;
}

#[tokio::test(start_paused = true)]
async fn old_evidence_is_forgotten() {
    let symptoms = Symptoms::default();
    record(&symptoms, &[ConnectFailed; 3]);
    tokio::time::sleep(EVIDENCE_TTL).await;
    assert!(symptoms.current().is_empty());
}

#[tokio::test(start_paused = true)]
async fn evidence_on_an_instance_with_a_step_is_forgotten() {
    let symptoms = Symptoms::default();
    record(&symptoms, &[ConnectFailed; 3]);
    symptoms.clear(&"portal-1".into());
    assert!(symptoms.current().is_empty());
}
