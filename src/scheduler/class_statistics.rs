//! Learned statistics of job classes.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of classes with statistics. Users choose class names freely, so their number has no other bound.
/// Further classes are treated as if they had never been seen.
const MAX_CLASSES: usize = 1000;

/// Weight of one finished task in the moving average of its class's ratio of run time to estimate.
const LEARNING_RATE: f64 = 0.05;

/// Lower and upper bound to which the ratio of a single task is clamped, which limits its effect on the average.
const RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Learned statistics, by job class.
#[derive(Debug, Default)]
pub struct ClassStatistics {
    /// Average ratio of run time to the users' estimate, by class.
    run_time_ratio: BTreeMap<String, f64>,
    /// Classes of which an array was submitted. Objectives for their waiting times apply to work that ends, rather
    /// than to replicas of standing jobs.
    classes_with_arrays: BTreeSet<String>,
}

impl ClassStatistics {
    /// Records that an array of the class was submitted.
    pub fn note_array(&mut self, class: &str) {
        if self.classes_with_arrays.len() < MAX_CLASSES {
            self.classes_with_arrays.insert(class.to_string());
        }
    }

    /// True if an array of the class was submitted.
    pub fn has_arrays(&self, class: &str) -> bool {
        self.classes_with_arrays.contains(class)
    }

    /// Updates the average of the class with a finished task that ran for `ratio` times its estimate.
    pub fn note_run_time_ratio(&mut self, class: &str, ratio: f64) {
        let seen = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        if let Some(known) = self.run_time_ratio.get_mut(class) {
            *known += LEARNING_RATE * (seen - *known);
        } else if self.run_time_ratio.len() < MAX_CLASSES {
            let learned = 1.0 + LEARNING_RATE * (seen - 1.0);
            self.run_time_ratio.insert(class.to_string(), learned);
        }
    }

    /// Average ratio of run time to the users' estimate for tasks of the class; 1 for a class without statistics.
    pub fn run_time_ratio(&self, class: &str) -> f64 {
        self.run_time_ratio.get(class).copied().unwrap_or(1.0)
    }
}
