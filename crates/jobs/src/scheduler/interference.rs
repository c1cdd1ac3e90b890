//! Tasks that slow each other down: readings of the workers, and where tasks are kept apart.

use std::collections::BTreeSet;
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::event::JobsEvent;
use crate::interference::{ImageId, Reading};
use crate::job::WorkerSlot;
use crate::placement::Candidate;
use crate::spec::StepSpec;
use crate::worker::{Run, RunPhase};

/// Time between two readings of a worker: a tail latency covers the preceding half second.
const READING_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two comparisons of the harmful pairs with those that were logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Harmful pairs of images that were logged: the serving one and the filling one.
#[derive(Debug, Default)]
pub(super) struct InterferenceReport {
    pairs: BTreeSet<(ImageId, ImageId)>,
    /// When they were last compared with what is learned.
    compared_at: Moment,
}

/// Whether a run takes part in readings: it runs, and its image is known.
fn is_at_work(run: &Run) -> bool {
    run.phase == RunPhase::Running && run.image.is_some()
}

impl Scheduler {
    /// Learns from what a worker has just reported about its serving tasks.
    pub(super) fn learn_interference(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &self.workers[slot];
        if worker.counts.serving == 0 || now < worker.interference_due {
            return;
        }
        let runs = || worker.runs.iter().filter(|(_, run)| is_at_work(run));
        let filling: Vec<(ImageId, f64)> = runs()
            .filter(|(_, run)| run.kind.opportunistic)
            .filter_map(|(_, run)| Some((run.image.clone()?, run.speed.share())))
            .collect();
        let readings: Vec<Reading> = runs()
            .filter(|(_, run)| run.kind.serves && run.percent >= 100)
            .filter_map(|(task, run)| {
                let target_ms = self.spec(task.step)?.tail_target?.as_secs_f64() * 1_000.0;
                let load = f64::from(run.load_metric) / target_ms.max(1.0);
                let serving = run.image.clone()?;
                Some(Reading { serving, load, worker: slot, filling: filling.clone() })
            })
            .collect();
        self.workers[slot].interference_due = now + READING_INTERVAL;
        for reading in readings {
            self.interference.record(&merged(reading), now);
        }
    }

    /// Rates the candidates by what is known that a task of a step and the tasks there add to each
    /// other's tail latency.
    pub(super) fn rate_interference(&self, spec: &StepSpec, candidates: &mut [Candidate]) {
        let (serves, fills) = (spec.tail_target.is_some(), spec.opportunistic);
        let Some(image) = spec.image.as_ref().filter(|_| serves || fills) else { return };
        if self.interference_report.pairs.is_empty() {
            return;
        }
        for candidate in candidates {
            let runs = self.workers[candidate.slot].runs.values();
            let harm = runs.filter_map(|run| {
                let other = run.image.as_ref()?;
                match (fills && run.kind.serves, serves && run.kind.opportunistic) {
                    (true, _) => self.interference.harm(other, image),
                    (_, true) => self.interference.harm(image, other),
                    _ => None,
                }
            });
            candidate.known_harm_milli = (harm.sum::<f64>() * 1_000.0) as u32;
        }
    }

    /// Logs which pairs of images have been found to be harmful since the last time, and which no
    /// longer are.
    pub(super) fn report_interference(&mut self, now: Moment) {
        let report = &mut self.interference_report;
        if now < report.compared_at + REPORT_INTERVAL {
            return;
        }
        report.compared_at = now;
        let pairs = self.interference.harmful_pairs();
        for (serving, filling, harm) in &pairs {
            if !report.pairs.contains(&(serving.clone(), filling.clone())) {
                let harm = format_args!("{harm:.2}");
                emit!(
                    JobsEvent::ImagesInterfere,
                    serving = serving,
                    filling = filling,
                    harm = harm
                );
            }
        }
        let found: BTreeSet<(ImageId, ImageId)> =
            pairs.into_iter().map(|(serving, filling, _)| (serving, filling)).collect();
        for (serving, filling) in report.pairs.difference(&found) {
            emit!(JobsEvent::ImagesInterfereNoMore, serving = serving, filling = filling);
        }
        report.pairs = found;
    }
}

/// Merges the tasks of the same image that fill beside a serving task.
fn merged(mut reading: Reading) -> Reading {
    reading.filling.sort_by(|one, other| one.0.cmp(&other.0));
    reading.filling.dedup_by(|next, first| {
        let is_same = next.0 == first.0;
        first.1 += if is_same { next.1 } else { 0.0 };
        is_same
    });
    reading
}
