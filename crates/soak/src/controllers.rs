//! The controllers' processes: killed, paused and started again, none left behind.

use aspenreel_simulation::stand_ins::processes::spawn_controller;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::{Mutex, MutexGuard};

/// The word by which a line of the log tells of a violated invariant.
const VIOLATION: &str = "invariant violated";

/// What the processes of a run are started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The controllers' program.
    pub program: PathBuf,
    /// Its flags beside those that every test gives.
    pub flags: &'static [&'static str],
}

/// Starts a controller whose log goes to a file.
pub fn spawn(launch: &Launch, config: &Path) -> Child {
    let log = log_of(config);
    let file = OpenOptions::new().create(true).append(true).open(log);
    let stderr = file.map_or(Stdio::inherit(), Stdio::from);
    spawn_controller(&launch.program, config, launch.flags, "error", stderr)
}

/// The file that takes the log of the process with this settings file.
fn log_of(config: &Path) -> PathBuf {
    config.with_extension("log")
}

/// The running processes. They end when this is dropped.
pub struct Controllers {
    launch: Launch,
    configs: Vec<PathBuf>,
    children: Mutex<Vec<Child>>,
    /// Which of them were not killed.
    running: Mutex<Vec<bool>>,
}

impl Controllers {
    /// Takes over processes that run already.
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

    /// Kills a process; false if it is away already.
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

    /// Starts a killed process again.
    pub fn start(&self, node: usize) {
        let config = &self.configs[node];
        let child = spawn(&self.launch, config);
        self.children()[node] = child;
        self.running()[node] = true;
    }

    /// Stops a process in its tracks.
    pub fn pause(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    fn signal(&self, node: usize, signal: Signal) {
        let id = self.children()[node].id();
        if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Processes that ended by themselves.
    pub fn ended(&self) -> Vec<usize> {
        let mut children = self.children();
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        (0..children.len())
            .filter(|node| ended(&mut children[*node]))
            .collect()
    }

    /// Lines of the logs that tell of violated invariants, and of panics.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for config in &self.configs {
            let mut text = String::new();
            if let Ok(mut file) = File::open(log_of(config)) {
                let _ = file.read_to_string(&mut text);
            }
            let told = |line: &&str| line.contains(VIOLATION) || line.contains("panicked at");
            found.extend(text.lines().filter(told).map(String::from));
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
            let _ = std::fs::remove_file(log_of(config));
        }
    }
}
