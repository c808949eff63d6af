//! Cache of the final states of jobs.

use crate::jobs::JobView;
use std::collections::{HashMap, VecDeque};

/// Cache of the final states of jobs. A recorded final state never changes, so every controller may answer from
/// its cache. Beyond the capacity the oldest entries are evicted and have to be read from the store again.
#[derive(Debug, Default)]
pub struct FinalStates {
    capacity: usize,
    views: HashMap<String, JobView>,
    /// Job ids in the order of insertion.
    oldest_first: VecDeque<String>,
}

impl FinalStates {
    /// Creates an empty cache for at most `capacity` jobs.
    pub fn new(capacity: usize) -> FinalStates {
        FinalStates {
            capacity,
            ..FinalStates::default()
        }
    }

    /// Cached final state of a job.
    pub fn get(&self, id: &str) -> Option<JobView> {
        self.views.get(id).copied()
    }

    /// Adds the recorded state of a job. A state that isn't final is ignored.
    pub fn insert(&mut self, id: &str, view: JobView) {
        if !view.is_final() || self.views.insert(id.to_string(), view).is_some() {
            return;
        }
        self.oldest_first.push_back(id.to_string());
        if self.oldest_first.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.views.remove(&oldest);
        }
    }
}
