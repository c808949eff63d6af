//! The record of a run: one line for each message and each event that matters.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// File that receives the lines, and the start of the run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
    /// Lines with this text are left out.
    quiet: Mutex<Option<String>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        Record {
            file: Mutex::new(File::create(path).expect("create the record")),
            started: Instant::now(),
            quiet: Mutex::default(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// From now on leaves out the lines with this text, of which there are thousands.
    pub fn quiet(&self, text: &str) {
        self.note(&format!("from here on, lines with {text} are left out"));
        *self.quiet.lock().unwrap() = Some(text.to_string());
    }

    /// Appends one line with the time of the event.
    pub fn note(&self, text: &str) {
        let quiet = self.quiet.lock().unwrap().clone();
        if quiet.is_some_and(|quiet| text.contains(&quiet)) {
            return;
        }
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = std::io::stdout().write_all(line.as_bytes());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
