//! Learns which opportunistic tasks slow down which serving tasks on the same worker.
//!
//! Load that it answers: services whose users see slow responses because of what fills the same
//! machine. How much a task disturbs another one differs by image, and changes.
//!
//! The tail latency of a serving task, as a part of its target, is taken as a sum: its image's usual
//! part, what its worker adds, and for each image that fills beside it what one task of that image
//! adds at full speed. Each reading corrects the terms by a part of what the sum misses. A slow
//! worker is told from a harmful image by its peers: the image is beside others, too.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::Moment;

use crate::job::WorkerSlot;

/// Identifies what a task runs; tasks of the same image behave alike.
pub type ImageId = Arc<str>;

/// Part of a reading's error that corrects the terms.
const CORRECTION: f64 = 0.2;
/// Part of the correction that the worker's own term takes. It is small, since most differences
/// between workers are those of what runs there.
const WORKER_WEIGHT: f64 = 0.25;
/// Readings of a pair from which on its harm is known.
const READINGS_MIN: u32 = 12;
/// Smallest harm that counts, as a part of the serving task's target.
const HARM_MIN: f64 = 0.05;
/// Largest reading that is used, as a part of the target: one that is wrong must not decide.
const READING_MAX: f64 = 8.0;
/// Time after which a pair without readings is forgotten.
const PAIR_RETENTION: Duration = Duration::from_secs(60);
/// Highest number of pairs and of workers that are remembered.
const ENTRIES_MAX: usize = 1_024;
/// Longest name of an image that is learned, in bytes.
const IMAGE_BYTES_MAX: usize = 256;

/// What one opportunistic task adds to the tail latency of a serving one.
#[derive(Debug, Clone, Copy)]
struct Pair {
    /// As a part of the serving task's target.
    harm: f64,
    readings: u32,
    last: Moment,
}

/// A reading of a serving task.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// Image of the serving task.
    pub serving: ImageId,
    /// Its tail latency as a part of its target.
    pub load: f64,
    /// The worker.
    pub worker: WorkerSlot,
    /// Images that fill beside it, with the sum of the speeds of their tasks, 1 for each at full
    /// speed.
    pub filling: Vec<(ImageId, f64)>,
}

/// Learned harm of images to each other.
#[derive(Debug, Default)]
pub struct Interference {
    /// Usual part of the target by image of the serving task.
    usual: HashMap<ImageId, f64>,
    /// What a worker adds.
    workers: HashMap<WorkerSlot, f64>,
    pairs: HashMap<ImageId, HashMap<ImageId, Pair>>,
}

impl Interference {
    /// Takes in a reading. Readings that no worker can mean are left out.
    pub fn record(&mut self, reading: &Reading, now: Moment) {
        let Reading { serving, load, worker, filling } = reading;
        let is_known = |image: &ImageId| !image.is_empty() && image.len() <= IMAGE_BYTES_MAX;
        // A tail latency of zero is none that was measured.
        if !load.is_finite() || *load <= 0.0 || !is_known(serving) {
            return;
        }
        let load = load.min(READING_MAX);
        let filling: Vec<&(ImageId, f64)> =
            filling.iter().filter(|(image, speed)| is_known(image) && *speed > 0.0).collect();
        let usual = self.usual.get(serving).copied().unwrap_or(load);
        let of_worker = self.workers.get(worker).copied().unwrap_or_default();
        let harm: f64 =
            filling.iter().map(|(image, speed)| speed * self.harm_of(serving, image)).sum();
        let missed = load - usual - of_worker - harm;
        let weights: f64 = filling.iter().map(|(_, speed)| speed * speed).sum();
        let step = CORRECTION * missed / (1.0 + WORKER_WEIGHT + weights);
        self.make_room(now);
        self.usual.insert(serving.clone(), usual + step);
        self.workers.insert(*worker, of_worker + WORKER_WEIGHT * step);
        for (image, speed) in filling {
            let pairs = self.pairs.entry(serving.clone()).or_default();
            let new = Pair { harm: 0.0, readings: 0, last: now };
            let pair = pairs.entry(image.clone()).or_insert(new);
            pair.harm = (pair.harm + step * speed).max(0.0);
            pair.readings = pair.readings.saturating_add(1);
            pair.last = now;
        }
    }

    fn pair(&self, serving: &str, filling: &str) -> Option<&Pair> {
        self.pairs.get(serving)?.get(filling)
    }

    fn harm_of(&self, serving: &str, filling: &str) -> f64 {
        self.pair(serving, filling).map_or(0.0, |pair| pair.harm)
    }

    /// What a task of the image `filling` adds to the tail latency of one of `serving`, as a part of
    /// its target; `None` if it is not known. Harm too small to tell from chance is none.
    pub fn harm(&self, serving: &str, filling: &str) -> Option<f64> {
        let pair = self.pair(serving, filling).filter(|pair| pair.readings >= READINGS_MIN)?;
        Some(if pair.harm < HARM_MIN { 0.0 } else { pair.harm })
    }

    /// Pairs of images whose harm counts: the serving one, the filling one, and the harm.
    pub fn harmful_pairs(&self) -> Vec<(ImageId, ImageId, f64)> {
        let mut found = Vec::new();
        for (serving, pairs) in &self.pairs {
            for filling in pairs.keys() {
                if let Some(harm) = self.harm(serving, filling).filter(|harm| *harm > 0.0) {
                    found.push((serving.clone(), filling.clone(), harm));
                }
            }
        }
        found.sort_by(|one, other| (&one.0, &one.1).cmp(&(&other.0, &other.1)));
        found
    }

    /// Forgets pairs without recent readings, and everything if there is too much.
    fn make_room(&mut self, now: Moment) {
        let pairs: usize = self.pairs.values().map(HashMap::len).sum();
        if pairs < ENTRIES_MAX && self.workers.len() < ENTRIES_MAX {
            return;
        }
        for pairs in self.pairs.values_mut() {
            pairs.retain(|_, pair| now < pair.last + PAIR_RETENTION);
        }
        self.pairs.retain(|_, pairs| !pairs.is_empty());
        self.workers.clear();
        if self.pairs.values().map(HashMap::len).sum::<usize>() >= ENTRIES_MAX {
            *self = Self::default();
        }
    }
}
