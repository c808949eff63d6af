//! Calls whose answers are on their way to a sleeping task.

use crate::scheduler::{Time, lock};
use crate::simulation::Simulation;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An answer that is on its way to a sleeping task.
pub(crate) struct Slot<T> {
    pub(crate) answer: Mutex<Option<T>>,
    pub(crate) sleeper: (u64, u64),
}

impl<T: Send + 'static> Slot<T> {
    pub(crate) fn new(simulation: &Simulation) -> Arc<Slot<T>> {
        Arc::new(Slot {
            answer: Mutex::new(None),
            sleeper: simulation.scheduler.sleeper(),
        })
    }

    pub(crate) fn arrive(self: &Arc<Self>, simulation: &Arc<Simulation>, after: Time, answer: T) {
        let slot = self.clone();
        simulation.after(after, move |sim| {
            *lock(&slot.answer) = Some(answer);
            sim.scheduler.wake(slot.sleeper, sim.now());
        });
    }

    /// Sleeps until the answer is there, or for so long.
    pub(crate) fn wait(&self, simulation: &Simulation, timeout: Duration) -> Option<T> {
        let until = simulation.now() + timeout.as_micros() as Time;
        simulation.scheduler.sleep_until(until);
        lock(&self.answer).take()
    }
}
