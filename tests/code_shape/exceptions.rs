//! The list of exceptions from the limits, and its comparison with the measured tree.

use crate::imports::{self, Cycle};
use crate::source::Source;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Maximum number of lines of a file in a `src` folder.
pub const MAX_PRODUCT_LINES: usize = 400;
/// Maximum number of lines of a test file.
pub const MAX_TEST_LINES: usize = 800;
/// Maximum number of lines of a function.
pub const MAX_FUNCTION_LINES: usize = 60;

/// Figure of each file or function that exceeds a limit.
pub type Excesses = BTreeMap<String, usize>;

/// Everything that exceeds a limit, whether measured or allowed.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exceptions {
    /// Number of lines of each file that is too long.
    pub files: Excesses,
    /// Number of lines of each function that is too long.
    pub functions: Excesses,
    /// Number of identifiers with wire words outside wire modules, by file.
    pub wire_words: Excesses,
    /// Import cycles among files.
    pub cycles: BTreeSet<Cycle>,
}

impl Exceptions {
    /// Measures which exceptions the sources need.
    pub fn measure(sources: &[Source]) -> Exceptions {
        let mut measured = Exceptions::default();
        for source in sources {
            let max_lines = if source.is_product() {
                MAX_PRODUCT_LINES
            } else {
                MAX_TEST_LINES
            };
            if source.lines > max_lines {
                measured.files.insert(source.path.clone(), source.lines);
            }
            let long_functions = source
                .functions
                .iter()
                .filter(|(_, lines)| **lines > MAX_FUNCTION_LINES);
            measured
                .functions
                .extend(long_functions.map(|(name, lines)| (name.clone(), *lines)));
            if source.wire_words > 0 {
                measured
                    .wire_words
                    .insert(source.path.clone(), source.wire_words);
            }
        }
        measured.cycles = imports::cycles(&imports::edges(sources));
        measured
    }

    /// Formats the exceptions as in `exceptions.toml`.
    pub fn to_toml(&self) -> String {
        let mut text = String::from("cycles = [\n");
        for cycle in &self.cycles {
            let files: String = cycle.iter().map(|f| format!("    {f:?},\n")).collect();
            let _ = writeln!(text, "  [\n{files}  ],");
        }
        text.push_str("]\n");
        let tables = [&self.files, &self.functions, &self.wire_words];
        for (title, table) in ["files", "functions", "wire_words"].iter().zip(tables) {
            let _ = writeln!(text, "\n[{title}]");
            for (name, figure) in table {
                let _ = writeln!(text, "{name:?} = {figure}");
            }
        }
        text
    }
}

/// Returns a line for each excess that isn't allowed, and for each exception that allows more than is needed.
pub fn compare_excesses(measured: &Excesses, exceptions: &Excesses) -> Vec<String> {
    let names: BTreeSet<&String> = measured.keys().chain(exceptions.keys()).collect();
    let figure = |table: &Excesses, name: &String| table.get(name).copied().unwrap_or(0);
    let problem = |name: &String| {
        let (actual, allowed) = (figure(measured, name), figure(exceptions, name));
        match actual.cmp(&allowed) {
            std::cmp::Ordering::Greater if allowed == 0 => Some(format!("{name}: {actual}, new")),
            std::cmp::Ordering::Greater => {
                Some(format!("{name}: {actual}, at most {allowed} allowed"))
            }
            std::cmp::Ordering::Less if actual == 0 => Some(format!(
                "{name}: within the limit, remove its exception ({allowed})"
            )),
            std::cmp::Ordering::Less => Some(format!(
                "{name}: {actual}, lower its exception from {allowed}"
            )),
            std::cmp::Ordering::Equal => None,
        }
    };
    names.into_iter().filter_map(problem).collect()
}

/// Returns a line for each cycle that isn't allowed, and for each exception that allows more than is needed.
pub fn compare_cycles(measured: &BTreeSet<Cycle>, allowed: &BTreeSet<Cycle>) -> Vec<String> {
    let is_part = |files: &Cycle| allowed.iter().any(|other| files.is_subset(other));
    let changed = measured
        .difference(allowed)
        .map(|files| match is_part(files) {
            true => format!("smaller cycle, shrink its exception to this: {files:?}"),
            false => {
                let nearest = allowed
                    .iter()
                    .max_by_key(|other| other.intersection(files).count());
                let added: Vec<_> =
                    nearest.map_or(vec![], |other| files.difference(other).collect());
                format!("new or larger cycle: {files:?}; not in the nearest allowed one: {added:?}")
            }
        });
    let removed = allowed.difference(measured);
    let removed = removed.map(|files| format!("no such cycle any more: {files:?}"));
    changed.chain(removed).collect()
}
