//! Answers to calls that simulated threads wait for.

use crate::scheduler::{Time, lock};
use crate::simulation::Simulation;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Slot for the answer to a call, for which a simulated thread waits.
pub(crate) struct Slot<T> {
    /// Answer, once it has arrived.
    pub(crate) answer: Mutex<Option<T>>,
    /// Sleep of the waiting thread, which the answer ends.
    pub(crate) sleeper: (u64, u64),
}

impl<T: Send + 'static> Slot<T> {
    /// Creates a slot for the next sleep of the calling thread.
    pub(crate) fn new(simulation: &Simulation) -> Arc<Slot<T>> {
        Arc::new(Slot {
            answer: Mutex::new(None),
            sleeper: simulation.scheduler.sleeper(),
        })
    }

    /// Schedules the arrival of the answer after a span of simulated time.
    pub(crate) fn arrive(self: &Arc<Self>, simulation: &Arc<Simulation>, after: Time, answer: T) {
        let slot = self.clone();
        simulation.after(after, move |sim| {
            *lock(&slot.answer) = Some(answer);
            sim.scheduler.wake(slot.sleeper, sim.now());
        });
    }

    /// Waits until the answer arrives; `None` if it doesn't before the timeout.
    pub(crate) fn wait(&self, simulation: &Simulation, timeout: Duration) -> Option<T> {
        let until = simulation.now() + timeout.as_micros() as Time;
        simulation.scheduler.sleep_until(until);
        lock(&self.answer).take()
    }
}
