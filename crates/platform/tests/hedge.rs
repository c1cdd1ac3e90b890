//! Repetition of calls without a response, in virtual time.

use std::cell::Cell;
use std::time::Duration;

use cassiafold_platform::{Hedge, StoreError};
use tokio::time::{Instant, sleep};

const HEDGE: Hedge = Hedge { interval: Duration::from_millis(700), growth: 1, attempts_max: 4 };

/// What one attempt does: it gets its result after a time.
type Attempt = (u64, Result<u32, StoreError>);

fn unknown() -> Result<u32, StoreError> {
    Err(StoreError::no_response())
}

fn refused() -> Result<u32, StoreError> {
    Err(StoreError::Unavailable("503".into()))
}

/// Runs a call with these attempts; returns its result, its time and the number of attempts.
async fn run(hedge: Hedge, attempts: &[Attempt]) -> (Result<u32, StoreError>, Duration, usize) {
    let (started, made) = (Instant::now(), Cell::new(0));
    let call = || {
        let (time_ms, result) = attempts[made.get()].clone();
        made.set(made.get() + 1);
        async move {
            sleep(Duration::from_millis(time_ms)).await;
            result
        }
    };
    let result = hedge.run(call).await;
    (result, started.elapsed(), made.get())
}

macro_rules! calls {
    ($($name:ident: $attempts:expr => $result:expr, $time_ms:expr, $made:expr;)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() {
            let (result, time, made) = run(HEDGE, &$attempts).await;
            assert_eq!((result, made), ($result, $made));
            assert_eq!(time.as_millis(), $time_ms);
        })+
    };
}

calls! {
    a_fast_response_is_not_waited_for_again: [(4, Ok(1))] => Ok(1), 4, 1;
    a_slow_response_is_taken_from_the_first_attempt:
        [(1_000, Ok(1)), (1_000, Ok(2))] => Ok(1), 1_000, 2;
    a_call_on_a_dropped_connection_is_answered_by_the_second_attempt:
        [(60_000, unknown()), (4, Ok(2))] => Ok(2), 704, 2;
    a_call_is_repeated_until_a_silent_store_responds_again:
        [(9_000, unknown()), (9_000, unknown()), (9_000, unknown()), (4, Ok(4))] => Ok(4), 2_104, 4;
    a_call_whose_connection_breaks_is_repeated_at_once:
        [(10, unknown()), (4, Ok(2))] => Ok(2), 14, 2;
    a_call_that_breaks_twice_fails: [(10, unknown()), (10, unknown())] => unknown(), 20, 2;
    a_refused_call_fails_at_once: [(4, refused())] => refused(), 4, 1;
    a_call_that_is_refused_when_it_is_repeated_may_still_get_its_first_response:
        [(900, Ok(1)), (4, refused())] => Ok(1), 900, 2;
    a_call_of_which_one_attempt_got_no_response_is_not_called_refused:
        [(900, unknown()), (4, refused())] => unknown(), 900, 2;
    a_call_whose_first_attempt_is_refused_late_is_not_called_refused:
        [(900, refused()), (400, unknown())] => unknown(), 1_100, 2;
    an_expired_lease_is_not_asked_for_again:
        [(4, Err(StoreError::LeaseExpired))] => Err(StoreError::LeaseExpired), 4, 1;
}

#[tokio::test(start_paused = true)]
async fn the_time_between_attempts_grows() {
    let hedge = Hedge { interval: Duration::from_millis(100), growth: 2, attempts_max: 4 };
    let silent = (9_000, unknown());
    let attempts = [silent.clone(), silent.clone(), silent, (4, Ok(4))];
    let (result, time, made) = run(hedge, &attempts).await;
    assert_eq!((result, made, time.as_millis()), (Ok(4), 4, 704));
}
