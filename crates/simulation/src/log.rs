//! Log output of the simulated controllers with simulated time, enabled by the environment variable `MODEL_LOG`.

use crate::scheduler::DeterministicScheduler;
use log::{LevelFilter, Log, Metadata, Record};
use std::sync::{Arc, Mutex, Weak};

/// Logger that prints events with the time of one simulation.
struct SimulationLog(Mutex<Weak<DeterministicScheduler>>);

static LOG: SimulationLog = SimulationLog(Mutex::new(Weak::new()));

impl Log for SimulationLog {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let now = crate::scheduler::lock(&self.0)
            .upgrade()
            .map_or(0, |s| s.now());
        let text = aspenreel::logging::Event(record);
        eprintln!("{:>9.3} {text}", now as f64 / 1e6);
    }

    fn flush(&self) {}
}

/// Prints log events from now on with the time of this simulation, if `MODEL_LOG` is set: those of level debug too if
/// it is `debug`, otherwise from info on.
pub fn init(scheduler: &Arc<DeterministicScheduler>) {
    let Ok(level) = std::env::var("MODEL_LOG") else {
        return;
    };
    let is_debug = level == "debug";
    log::set_max_level(if is_debug {
        LevelFilter::Debug
    } else {
        LevelFilter::Info
    });
    let _ = log::set_logger(&LOG);
    *crate::scheduler::lock(&LOG.0) = Arc::downgrade(scheduler);
}
