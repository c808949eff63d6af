//! Reading and parsing of the settings file.

use super::{Settings, SettingsError};
use std::path::Path;

/// Maximum number of characters of the faulty line that an error quotes.
const MAX_QUOTED: usize = 80;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or [`Settings::parse`] fails on its text.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// The first syntax or type error or, if there is none, the first field with an invalid value.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| parse_error(text, &e))?;
        settings.check()?;
        Ok(settings)
    }
}

/// The error as one line: the message names the field, and the span gives the line in the file.
fn parse_error(text: &str, error: &toml::de::Error) -> SettingsError {
    let start = error.span().map_or(0, |span| span.start);
    let line = text.get(..start).unwrap_or("").matches('\n').count();
    let content = text.lines().nth(line).unwrap_or("");
    let quoted: String = content.chars().take(MAX_QUOTED).collect();
    SettingsError::Parse {
        line: line + 1,
        found: quoted.trim().to_string(),
        problem: error.message().replace('\n', " "),
    }
}
