//! Moving estimate of a duration: smoothed mean and mean deviation, as in RFC 6298.

use std::time::Duration;

const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Number of mean deviations above the mean that nearly all durations stay below.
const TAIL_DEVIATIONS: f64 = 4.0;

/// Moving estimate of a duration.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    statistics: Option<Statistics>,
}

#[derive(Debug, Clone, Copy)]
struct Statistics {
    mean_s: f64,
    deviation_s: f64,
}

impl Estimate {
    /// Records one observed duration.
    pub fn record(&mut self, duration: Duration) {
        let sample_s = duration.as_secs_f64();
        let Some(statistics) = &mut self.statistics else {
            self.statistics = Some(Statistics { mean_s: sample_s, deviation_s: sample_s / 2.0 });
            return;
        };
        let error_s = sample_s - statistics.mean_s;
        statistics.deviation_s += DEVIATION_GAIN * (error_s.abs() - statistics.deviation_s);
        statistics.mean_s += MEAN_GAIN * error_s;
    }

    /// Mean duration in seconds; `None` before the first observation.
    pub fn mean_s(&self) -> Option<f64> {
        self.statistics.map(|statistics| statistics.mean_s)
    }

    /// Duration that nearly all observations stay below; `None` before the first observation.
    pub fn tail(&self) -> Option<Duration> {
        let statistics = self.statistics?;
        Some(Duration::from_secs_f64(statistics.mean_s + TAIL_DEVIATIONS * statistics.deviation_s))
    }
}
