//! Logging to standard error, one line per event: `level module: event: key=value ...`.
//!
//! Fields come from the structured fields of the `log` macros: `log::info!(machine = name; "machine lost")`.

#![warn(missing_docs)]

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::{self, Display, Formatter};
use std::io::Write as _;
use thiserror::Error;

/// Reasons why logging could not be initialized.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The environment variable `LOG_LEVEL` has an unknown value.
    #[error("LOG_LEVEL must be error, info or debug, not `{given}`")]
    UnknownLevel {
        /// Value of the environment variable.
        given: String,
    },
    /// The process already has a logger.
    #[error(transparent)]
    AlreadyInitialized(#[from] log::SetLoggerError),
}

/// Initializes logging for the whole process. `level` is the value of the environment variable `LOG_LEVEL`: `error`,
/// `info` (the default, also if the value is empty), or `debug`.
///
/// # Errors
///
/// [`LoggingError`] if the level is unknown, or if the process already has a logger.
pub fn init(level: Option<&str>) -> Result<(), LoggingError> {
    log::set_max_level(parse_level(level)?);
    log::set_logger(&LOGGER)?;
    Ok(())
}

fn parse_level(level: Option<&str>) -> Result<LevelFilter, LoggingError> {
    match level {
        None | Some("" | "info") => Ok(LevelFilter::Info),
        Some("error") => Ok(LevelFilter::Error),
        Some("debug") => Ok(LevelFilter::Debug),
        Some(other) => Err(LoggingError::UnknownLevel {
            given: other.to_string(),
        }),
    }
}

/// Writes records to standard error.
struct StderrLogger;

static LOGGER: StderrLogger = StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        let line = format!(
            "{} {}: {}\n",
            record.level().as_str().to_lowercase(),
            record.module_path().unwrap_or(""),
            Event(record)
        );
        // A closed standard error must not end the process.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Displays the event and the fields of a record as `event: key=value key=value`. A value that is empty or contains
/// whitespace, quotes or control characters is quoted and escaped.
pub struct Event<'a>(
    /// The record to display.
    pub &'a Record<'a>,
);

impl Display for Event<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.args())?;
        let mut fields = FieldWriter {
            formatter,
            separator: ": ",
        };
        self.0
            .key_values()
            .visit(&mut fields)
            .map_err(|_| fmt::Error)
    }
}

struct FieldWriter<'a, 'b> {
    formatter: &'a mut Formatter<'b>,
    /// Text to write before the next field.
    separator: &'static str,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let separator = std::mem::replace(&mut self.separator, " ");
        write!(self.formatter, "{separator}{key}=")?;
        let text = value.to_string();
        let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || c == '"';
        if text.is_empty() || text.contains(needs_quotes) {
            write!(self.formatter, "{text:?}")?;
        } else {
            self.formatter.write_str(&text)?;
        }
        Ok(())
    }
}
