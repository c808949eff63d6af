//! The cache of terminal states.

use crate::jobs::JobView;
use std::collections::{HashMap, VecDeque};

/// A cache of the terminal states of jobs. A recorded terminal state never changes, so every controller may answer from
/// its cache. Beyond the capacity the oldest entries go; these are read from the store.
#[derive(Debug, Default)]
pub struct TerminalStates {
    capacity: usize,
    views: HashMap<String, JobView>,
    /// The ids in the order in which they were added.
    oldest_first: VecDeque<String>,
}

impl TerminalStates {
    /// An empty cache of at most `capacity` jobs.
    pub fn new(capacity: usize) -> TerminalStates {
        TerminalStates {
            capacity,
            ..TerminalStates::default()
        }
    }

    /// The terminal state of a job, if it is in the cache.
    pub fn get(&self, id: &str) -> Option<JobView> {
        self.views.get(id).copied()
    }

    /// Adds what was recorded of a job. A view that isn't terminal is ignored.
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
