//! Repetition of idempotent calls that get no response in time.
//!
//! An open connection may have been dropped without notice, and a slow store responds late. Both
//! look the same to a caller that waits, so earlier attempts go on beside the later ones.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use crate::store::StoreError;

/// Most attempts of a call of which one has failed.
const FAILED_ATTEMPTS_MAX: u32 = 2;

/// When an idempotent call is repeated.
#[derive(Debug, Clone, Copy)]
pub struct Hedge {
    /// Time without a response after which the call is made once more.
    pub interval: Duration,
    /// Factor by which that time grows with each attempt.
    pub growth: u32,
    /// Most attempts.
    pub attempts_max: u32,
}

impl Hedge {
    /// Makes a call until one attempt gets a response.
    ///
    /// After an attempt fails with an unknown outcome, at most two are made in all; after a refusal,
    /// no further one.
    pub async fn run<T, F>(self, mut call: impl FnMut() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut attempts = FuturesUnordered::new();
        let mut started = 0;
        let mut failure: Option<StoreError> = None;
        let mut interval = self.interval;
        loop {
            attempts.push(call());
            started += 1;
            let next_at = Instant::now() + interval;
            interval *= self.growth;
            while !attempts.is_empty() {
                let may_repeat = started < self.attempts_allowed(failure.as_ref());
                let result = tokio::select! {
                    Some(result) = attempts.next() => result,
                    () = sleep_until(next_at), if may_repeat => break,
                };
                match result {
                    Err(error) if error.is_transient() => failure = Some(combine(failure, error)),
                    result => return result,
                }
            }
            match failure.take() {
                Some(error)
                    if attempts.is_empty() && started >= self.attempts_allowed(Some(&error)) =>
                {
                    return Err(error);
                }
                earlier => failure = earlier,
            }
        }
    }

    /// Most attempts of a call, given the error of those that have failed.
    fn attempts_allowed(&self, failure: Option<&StoreError>) -> u32 {
        match failure {
            None => self.attempts_max,
            Some(StoreError::Unavailable(_)) => 1,
            Some(_) => self.attempts_max.min(FAILED_ATTEMPTS_MAX),
        }
    }
}

/// Error of two failed attempts: the outcome of the call is unknown if that of one attempt is.
fn combine(first: Option<StoreError>, second: StoreError) -> StoreError {
    match first {
        Some(first @ StoreError::OutcomeUnknown(_)) => first,
        _ => second,
    }
}
