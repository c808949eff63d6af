//! Final states that this node remembers.

use crate::jobs::JobView;
use std::collections::{HashMap, VecDeque};

/// Final states that were recorded: these never change, so any node may tell them from memory.
/// Older ones are read from the state service.
#[derive(Debug, Default)]
pub struct TerminalStates {
    most: usize,
    views: HashMap<String, JobView>,
    age: VecDeque<String>,
}

impl TerminalStates {
    pub fn new(most: usize) -> TerminalStates {
        TerminalStates {
            most,
            ..TerminalStates::default()
        }
    }

    pub fn get(&self, id: &str) -> Option<JobView> {
        self.views.get(id).copied()
    }

    pub fn note(&mut self, id: &str, view: JobView) {
        if view.is_final() && self.views.insert(id.to_string(), view).is_none() {
            self.age.push_back(id.to_string());
            if self.age.len() > self.most
                && let Some(old) = self.age.pop_front()
            {
                self.views.remove(&old);
            }
        }
    }
}
