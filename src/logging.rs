//! Logs go to standard error, as much as `LOG_LEVEL` asks for.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Stderr;

static LOGGER: Stderr = Stderr;

impl Log for Stderr {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        let line = format!(
            "{} {}: {}\n",
            record.level().as_str().to_lowercase(),
            record.module_path().unwrap_or(""),
            record.args()
        );
        // A closed standard error must not end the process.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Reads `LOG_LEVEL`: `error`, `info` (the default) or `debug`.
pub fn init(level: Option<&str>) -> Result<(), String> {
    let level = match level {
        None | Some("" | "info") => LevelFilter::Info,
        Some("error") => LevelFilter::Error,
        Some("debug") => LevelFilter::Debug,
        Some(other) => {
            return Err(format!(
                "LOG_LEVEL must be error, info or debug, not `{other}`"
            ));
        }
    };
    log::set_max_level(level);
    log::set_logger(&LOGGER).map_err(|e| e.to_string())
}
