//! The controller processes of a run, which can be killed, paused and restarted; none outlives the run.

use aspenreel_simulation::stand_ins::processes::spawn_controller;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::{Mutex, MutexGuard};

/// Text that marks the log line of a violated invariant.
const VIOLATION: &str = "invariant violated";

/// Program and flags with which the controllers of a run are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The controllers' program.
    pub program: PathBuf,
    /// Flags in addition to those that every test passes.
    pub flags: &'static [&'static str],
}

/// Starts a controller that appends its log to a file beside its settings file.
pub fn spawn(launch: &Launch, config: &Path) -> Child {
    let log = log_path(config);
    let file = OpenOptions::new().create(true).append(true).open(log);
    let stderr = file.map_or(Stdio::inherit(), Stdio::from);
    spawn_controller(&launch.program, config, launch.flags, "error", stderr)
}

/// Returns the path of the log of the controller with this settings file.
fn log_path(config: &Path) -> PathBuf {
    config.with_extension("log")
}

/// Returns the log of the controller with this settings file, or nothing if it can't be read.
fn read_log(config: &Path) -> String {
    std::fs::read_to_string(log_path(config)).unwrap_or_default()
}

/// The controller processes. They are killed when this value is dropped.
pub struct Controllers {
    launch: Launch,
    configs: Vec<PathBuf>,
    children: Mutex<Vec<Child>>,
    /// Whether each controller is running: false from `kill` until `start`.
    running: Mutex<Vec<bool>>,
}

impl Controllers {
    /// Takes over processes that are already running.
    pub fn new(launch: Launch, configs: &[PathBuf], children: Vec<Child>) -> Controllers {
        Controllers {
            launch,
            configs: configs.to_vec(),
            running: Mutex::new(vec![true; children.len()]),
            children: Mutex::new(children),
        }
    }

    fn children(&self) -> MutexGuard<'_, Vec<Child>> {
        self.children.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn running(&self) -> MutexGuard<'_, Vec<bool>> {
        self.running.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Kills a process; returns false if it has already been killed.
    pub fn kill(&self, node: usize) -> bool {
        let running = &mut self.running()[node];
        if !std::mem::replace(running, false) {
            return false;
        }
        let child = &mut self.children()[node];
        let _ = child.kill();
        let _ = child.wait();
        true
    }

    /// Restarts a killed process.
    pub fn start(&self, node: usize) {
        let config = &self.configs[node];
        let child = spawn(&self.launch, config);
        self.children()[node] = child;
        self.running()[node] = true;
    }

    /// Suspends a process with `SIGSTOP`.
    pub fn pause(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    /// Resumes a paused process with `SIGCONT`.
    pub fn resume(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    fn signal(&self, node: usize, signal: Signal) {
        let id = self.children()[node].id();
        if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns a description of each controller whose process has exited, with its status and the last line of its log.
    /// At the end of a run all killed processes have been restarted, so these exited by themselves.
    pub fn exited(&self) -> Vec<String> {
        let mut children = self.children();
        let described = children.iter_mut().zip(&self.configs).enumerate();
        described
            .filter_map(|(node, (child, config))| {
                let status = child.try_wait().ok()??;
                let log = read_log(config);
                let last_line = log.lines().last().unwrap_or_default();
                Some(format!(
                    "controller {node} exited by itself: {status} {last_line}"
                ))
            })
            .collect()
    }

    /// Returns the log lines of violated invariants and of panics.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for config in &self.configs {
            let text = read_log(config);
            let is_violation =
                |line: &&str| line.contains(VIOLATION) || line.contains("panicked at");
            found.extend(text.lines().filter(is_violation).map(String::from));
        }
        found
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in self.children().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        for config in &self.configs {
            let _ = std::fs::remove_file(log_path(config));
        }
    }
}
