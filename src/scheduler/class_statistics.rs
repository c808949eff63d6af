//! What was learned of each class of jobs.

use std::collections::{BTreeMap, BTreeSet};

/// Classes that are remembered. Classes are what users say they are: those beyond are as if they had never been
/// seen.
const MAX_CLASSES: usize = 1000;

/// A finished task moves its class's ratio of run time to estimate by this part of the difference.
const LEARNING_RATE: f64 = 0.05;

/// A single run time moves the ratio no further than if it were between these multiples of its estimate.
const BELIEVED_RATIOS: (f64, f64) = (0.1, 10.0);

/// What was learned of each class of jobs.
#[derive(Debug, Default)]
pub struct ClassStatistics {
    /// How long tasks of a class ran, as a multiple of their owners' estimates.
    run_time_ratio: BTreeMap<String, f64>,
    /// Classes of which an array was seen: objectives for their starting times are for work that ends.
    with_arrays: BTreeSet<String>,
}

impl ClassStatistics {
    /// Notes that an array of the class was submitted.
    pub fn note_array(&mut self, class: &str) {
        if self.with_arrays.len() < MAX_CLASSES {
            self.with_arrays.insert(class.to_string());
        }
    }

    /// True if an array of the class was seen.
    pub fn has_arrays(&self, class: &str) -> bool {
        self.with_arrays.contains(class)
    }

    /// Learns from a task that ran for `ratio` times its estimate.
    pub fn note_run_time_ratio(&mut self, class: &str, ratio: f64) {
        let seen = ratio.clamp(BELIEVED_RATIOS.0, BELIEVED_RATIOS.1);
        if let Some(known) = self.run_time_ratio.get_mut(class) {
            *known += LEARNING_RATE * (seen - *known);
        } else if self.run_time_ratio.len() < MAX_CLASSES {
            let learned = 1.0 + LEARNING_RATE * (seen - 1.0);
            self.run_time_ratio.insert(class.to_string(), learned);
        }
    }

    /// How long tasks of the class run, as a multiple of their owners' estimates; 1 if nothing is known.
    pub fn run_time_ratio(&self, class: &str) -> f64 {
        self.run_time_ratio.get(class).copied().unwrap_or(1.0)
    }
}
