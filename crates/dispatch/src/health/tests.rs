use super::*;

fn fail_until_ejected(health: &mut Health, result: AttemptResult) -> u32 {
    (1..100).find(|_| health.record(result, 1.0) == HealthChange::Eject).unwrap()
}

macro_rules! ejection_cases {
    ($($name:ident: $result:ident, $failures:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut health = Health::default();
                assert_eq!(fail_until_ejected(&mut health, AttemptResult::$result), $failures);
            }
        )+
    };
}

ejection_cases! {
    five_server_errors_in_a_row_eject: ServerError, 5;
    five_broken_connections_in_a_row_eject: Broken, 5;
    three_failed_connects_in_a_row_eject: ConnectFailed, 3;
    three_missing_responses_in_a_row_eject: Silent, 3;
}

#[test]
fn refusals_never_eject() {
    let mut health = Health::default();
    let changes = (0..100).map(|_| health.record(AttemptResult::Refused, 1.0));
    assert!(changes.into_iter().all(|change| change == HealthChange::Unchanged));
    assert_eq!(health.success_rate(), 1.0);
}

#[test]
fn a_success_rate_far_below_the_pool_ejects_without_consecutive_failures() {
    let mut health = Health::default();
    let results = [AttemptResult::ServerError, AttemptResult::ServerError, AttemptResult::Ok];
    let changes: Vec<HealthChange> =
        results.iter().cycle().take(60).map(|result| health.record(*result, 1.0)).collect();
    assert!(changes.contains(&HealthChange::Eject));
    let mut same_as_pool = Health::default();
    let mut changes =
        results.iter().cycle().take(60).map(|result| same_as_pool.record(*result, 0.33));
    assert!(changes.all(|change| change == HealthChange::Unchanged));
}

#[tokio::test(start_paused = true)]
async fn backoffs_double_up_to_a_bound_and_are_reset() {
    let mut health = Health::default();
    let mut backoffs_s = Vec::new();
    for _ in 0..8 {
        let now = Instant::now();
        let until = health.eject(now);
        backoffs_s.push((until - now).as_secs());
        assert!(!health.end_backoff(until - Duration::from_millis(1)));
        assert!(health.end_backoff(until));
        assert!(matches!(
            health.routing_state(),
            RoutingState::Trial { prefer_idempotent_until: Some(_) }
        ));
    }
    assert_eq!(backoffs_s, [1, 2, 4, 8, 16, 32, 60, 60]);
    assert_eq!(health.record(AttemptResult::Ok, 1.0), HealthChange::Recovered);
    for _ in 0..EJECTIONS_RESET_SUCCESSES {
        health.record(AttemptResult::Ok, 1.0);
    }
    let now = Instant::now();
    assert_eq!(health.eject(now) - now, BACKOFF_FIRST);
}

#[test]
fn one_failure_during_a_trial_ejects() {
    let mut health = Health::default();
    let until = health.eject(Instant::now());
    health.end_backoff(until);
    assert_eq!(health.record(AttemptResult::Broken, 1.0), HealthChange::Eject);
}

#[test]
fn at_most_a_third_of_a_pool_may_be_ejected() {
    let bounds: Vec<usize> = [0, 1, 2, 3, 6, 10, 870].map(ejected_max).into();
    assert_eq!(bounds, [0, 0, 1, 1, 2, 3, 290]);
}
