//! How long the store took for its latest responses.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of responses that count.
const RESPONSES: usize = 8;

/// Times of the latest responses, newest last.
#[derive(Debug, Default)]
pub(crate) struct ResponseTimes {
    latest: VecDeque<Duration>,
}

impl ResponseTimes {
    /// Records how long a response took.
    pub(crate) fn record(&mut self, time: Duration) {
        if self.latest.len() == RESPONSES {
            self.latest.pop_front();
        }
        self.latest.push_back(time);
    }

    /// The longest of the times; zero if none is known.
    pub(crate) fn longest(&self) -> Duration {
        self.latest.iter().max().copied().unwrap_or_default()
    }

    /// The shorter one of the latest two times; zero if fewer are known.
    ///
    /// A single response may be late for other reasons than the store, such as a link that was cut
    /// meanwhile, and a single fast one shows that the store is no longer slow.
    pub(crate) fn shorter_of_latest_two(&self) -> Duration {
        let mut latest = self.latest.iter().rev().copied();
        match (latest.next(), latest.next()) {
            (Some(last), Some(before)) => last.min(before),
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
