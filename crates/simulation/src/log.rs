//! What the controllers of the simulation log, with simulated time, when `MODEL_LOG` asks for it.

use crate::scheduler::DeterministicScheduler;
use log::{LevelFilter, Log, Metadata, Record};
use std::sync::{Arc, Mutex, Weak};

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

/// Prints what controllers log from now on, with the time of this simulation, if `MODEL_LOG` is set.
pub fn init(scheduler: &Arc<DeterministicScheduler>) {
    let Ok(level) = std::env::var("MODEL_LOG") else {
        return;
    };
    let debug = level == "debug";
    log::set_max_level(if debug {
        LevelFilter::Debug
    } else {
        LevelFilter::Info
    });
    let _ = log::set_logger(&LOG);
    *crate::scheduler::lock(&LOG.0) = Arc::downgrade(scheduler);
}
