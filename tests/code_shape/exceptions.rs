//! The kept list of what doesn't hold the limits yet, and its comparison with the tree as it is.

use crate::imports::{self, Circle};
use crate::source::Source;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

pub const MAX_PRODUCT_LINES: usize = 400;
pub const MAX_TEST_LINES: usize = 800;
pub const MAX_FUNCTION_LINES: usize = 60;

/// What goes beyond a limit, and how far.
pub type Excesses = BTreeMap<String, usize>;

#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exceptions {
    /// Lines of files that are too long.
    pub files: Excesses,
    /// Lines of functions that are too long.
    pub functions: Excesses,
    /// Identifiers with withdrawn words, by file.
    pub withdrawn: Excesses,
    pub circles: BTreeSet<Circle>,
}

impl Exceptions {
    /// What the tree needs today.
    pub fn measure(sources: &[Source]) -> Exceptions {
        let mut measured = Exceptions::default();
        for source in sources {
            let most = if source.is_product() {
                MAX_PRODUCT_LINES
            } else {
                MAX_TEST_LINES
            };
            if source.lines > most {
                measured.files.insert(source.path.clone(), source.lines);
            }
            let long = source
                .functions
                .iter()
                .filter(|(_, lines)| **lines > MAX_FUNCTION_LINES);
            measured
                .functions
                .extend(long.map(|(name, lines)| (name.clone(), *lines)));
            if source.withdrawn > 0 {
                measured
                    .withdrawn
                    .insert(source.path.clone(), source.withdrawn);
            }
        }
        measured.circles = imports::circles(&imports::edges(sources));
        measured
    }

    /// In the form of the data file.
    pub fn to_toml(&self) -> String {
        let mut text = String::from("circles = [\n");
        for circle in &self.circles {
            let files: String = circle.iter().map(|f| format!("    {f:?},\n")).collect();
            let _ = writeln!(text, "  [\n{files}  ],");
        }
        text.push_str("]\n");
        let tables = [&self.files, &self.functions, &self.withdrawn];
        for (title, table) in ["files", "functions", "withdrawn"].iter().zip(tables) {
            let _ = writeln!(text, "\n[{title}]");
            for (name, amount) in table {
                let _ = writeln!(text, "{name:?} = {amount}");
            }
        }
        text
    }
}

/// A line for each excess that isn't allowed, and for each exception that is wider than needed.
pub fn compare_amounts(measured: &Excesses, kept: &Excesses) -> Vec<String> {
    let names: BTreeSet<&String> = measured.keys().chain(kept.keys()).collect();
    let amount = |table: &Excesses, name: &String| table.get(name).copied().unwrap_or(0);
    let problem = |name: &String| {
        let (is, allowed) = (amount(measured, name), amount(kept, name));
        match is.cmp(&allowed) {
            std::cmp::Ordering::Greater if allowed == 0 => Some(format!("{name}: {is}, new")),
            std::cmp::Ordering::Greater => Some(format!("{name}: {is}, at most {allowed} allowed")),
            std::cmp::Ordering::Less if is == 0 => Some(format!(
                "{name}: within the limit, take its exception ({allowed}) out"
            )),
            std::cmp::Ordering::Less => {
                Some(format!("{name}: {is}, lower its exception from {allowed}"))
            }
            std::cmp::Ordering::Equal => None,
        }
    };
    names.into_iter().filter_map(problem).collect()
}

/// The same for circles.
pub fn compare_circles(measured: &BTreeSet<Circle>, kept: &BTreeSet<Circle>) -> Vec<String> {
    let known = |files: &Circle| kept.iter().any(|k| files.is_subset(k));
    let grown = measured.difference(kept).map(|files| match known(files) {
        true => format!("smaller circle, shrink its exception to it: {files:?}"),
        false => {
            let nearest = kept.iter().max_by_key(|k| k.intersection(files).count());
            let joined: Vec<_> = nearest.map_or(vec![], |k| files.difference(k).collect());
            format!("new or larger circle: {files:?}; beyond the nearest kept one: {joined:?}")
        }
    });
    let gone = kept.difference(measured);
    let gone = gone.map(|files| format!("no such circle any more: {files:?}"));
    grown.chain(gone).collect()
}
