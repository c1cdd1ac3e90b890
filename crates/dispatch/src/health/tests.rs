use super::*;

fn fail_until_ejected(health: &mut Health, result: AttemptResult) -> u32 {
    (1..100).find(|_| health.record(result, 1.0) == Verdict::Eject).unwrap()
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
    three_silences_in_a_row_eject: Silent, 3;
}

#[test]
fn refusals_never_eject() {
    let mut health = Health::default();
    let verdicts = (0..100).map(|_| health.record(AttemptResult::Refused, 1.0));
    assert!(verdicts.into_iter().all(|verdict| verdict == Verdict::Unchanged));
    assert_eq!(health.success_rate(), 1.0);
}

#[test]
fn a_rate_far_below_the_pool_ejects_without_a_run_of_failures() {
    let mut health = Health::default();
    let results = [AttemptResult::ServerError, AttemptResult::ServerError, AttemptResult::Ok];
    let verdicts: Vec<Verdict> =
        results.iter().cycle().take(60).map(|result| health.record(*result, 1.0)).collect();
    assert!(verdicts.contains(&Verdict::Eject));
    let mut same_as_pool = Health::default();
    let mut verdicts =
        results.iter().cycle().take(60).map(|result| same_as_pool.record(*result, 0.33));
    assert!(verdicts.all(|verdict| verdict == Verdict::Unchanged));
}

#[tokio::test(start_paused = true)]
async fn holds_double_up_to_a_bound_and_are_forgiven() {
    let mut health = Health::default();
    let mut holds_s = Vec::new();
    for _ in 0..8 {
        let now = Instant::now();
        let until = health.eject(now);
        holds_s.push((until - now).as_secs());
        assert!(!health.end_hold(until - Duration::from_millis(1)));
        assert!(health.end_hold(until));
        assert!(matches!(health.standing(), Standing::Trial { idempotent_until: Some(_) }));
    }
    assert_eq!(holds_s, [1, 2, 4, 8, 16, 32, 60, 60]);
    assert_eq!(health.record(AttemptResult::Ok, 1.0), Verdict::Returned);
    for _ in 0..FORGIVE_AFTER {
        health.record(AttemptResult::Ok, 1.0);
    }
    let now = Instant::now();
    assert_eq!(health.eject(now) - now, HOLD_FIRST);
}

#[test]
fn one_failure_ends_a_trial() {
    let mut health = Health::default();
    let until = health.eject(Instant::now());
    health.end_hold(until);
    assert_eq!(health.record(AttemptResult::Broken, 1.0), Verdict::Eject);
}

#[test]
fn the_bound_leaves_most_of_a_pool() {
    let bounds: Vec<usize> = [0, 1, 2, 3, 6, 10, 870].map(ejected_max).into();
    assert_eq!(bounds, [0, 0, 1, 1, 2, 3, 290]);
}
