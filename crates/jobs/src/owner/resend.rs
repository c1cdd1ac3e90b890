//! Calls to the store that are made again when no response arrives.

use std::time::Duration;

use cassiafold_platform::StoreError;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

/// Makes a call, and makes it a second time if no response arrives within `delay`, while the first
/// one goes on: the store may be slow, or the connection may be silent. Returns the first success,
/// or the last failure. Making the call twice must do no harm.
pub(super) async fn resend<T, F>(delay: Duration, call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut calls = FuturesUnordered::new();
    calls.push(call());
    let mut is_resent = false;
    let mut resend_due = std::pin::pin!(sleep(delay));
    loop {
        tokio::select! {
            Some(result) = calls.next() => {
                if result.is_ok() || calls.is_empty() {
                    return result;
                }
            }
            () = &mut resend_due, if !is_resent => {
                is_resent = true;
                calls.push(call());
            }
        }
    }
}
