//! How the code is cut: import circles, lengths of files and functions, and words that belong to the
//! wire. What doesn't hold the limits yet is listed in `code_shape/exceptions.toml`, which may only
//! shrink: a test fails as well when an exception is wider than the code needs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "code_shape/exceptions.rs"]
mod exceptions;
#[path = "code_shape/imports.rs"]
mod imports;
#[path = "code_shape/made_up.rs"]
mod made_up;
#[path = "code_shape/source.rs"]
mod source;

use exceptions::{Exceptions, compare_amounts, compare_circles};
use source::{Source, read_tree};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::LazyLock;

static SOURCES: LazyLock<Vec<Source>> =
    LazyLock::new(|| read_tree(Path::new(env!("CARGO_MANIFEST_DIR"))));

static MEASURED: LazyLock<Exceptions> = LazyLock::new(|| {
    let measured = Exceptions::measure(&SOURCES);
    std::fs::write(MEASURED_FILE, measured.to_toml()).expect("a file in the target folder");
    measured
});

static KEPT: LazyLock<Exceptions> = LazyLock::new(|| {
    let kept = toml::from_str(include_str!("code_shape/exceptions.toml"));
    kept.unwrap_or_else(|e| panic!("exceptions.toml: {e}"))
});

const MEASURED_FILE: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/code_shape.toml");

fn assert_none(what: &str, problems: &[String]) {
    let list = problems.join("\n  ");
    assert!(
        problems.is_empty(),
        "{what}:\n  {list}\nThe tree as measured is in {MEASURED_FILE}"
    );
}

#[test]
fn no_new_import_circles() {
    for circle in &MEASURED.circles {
        println!("circle of {}:", circle.len());
        for (from, to) in imports::edges(&SOURCES) {
            if circle.contains(&from) && circle.contains(&to) {
                println!("  {from} uses {to}");
            }
        }
    }
    let problems = compare_circles(&MEASURED.circles, &KEPT.circles);
    assert_none("import circles", &problems);
}

#[test]
fn files_stay_short() {
    assert_none(
        "lines of files",
        &compare_amounts(&MEASURED.files, &KEPT.files),
    );
}

#[test]
fn functions_stay_short() {
    let problems = compare_amounts(&MEASURED.functions, &KEPT.functions);
    assert_none("lines of functions", &problems);
}

#[test]
fn wire_words_stay_in_wire_modules() {
    let problems = compare_amounts(&MEASURED.withdrawn, &KEPT.withdrawn);
    assert_none(
        "identifiers with withdrawn words outside wire modules",
        &problems,
    );
}

#[derive(Default)]
struct Row {
    files: usize,
    long_files: usize,
    long_functions: usize,
    in_circles: usize,
    withdrawn: usize,
}

/// Prints the figures by folder: `cargo test --test code_shape table -- --nocapture`.
#[test]
fn table() {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for source in SOURCES.iter() {
        let folder = source
            .path
            .rsplit_once('/')
            .map_or("", |(folder, _)| folder);
        for key in [folder, "all"] {
            let row = rows.entry(key).or_default();
            let functions = source.functions.keys();
            row.files += 1;
            row.long_files += usize::from(MEASURED.files.contains_key(&source.path));
            row.long_functions += functions
                .filter(|f| MEASURED.functions.contains_key(*f))
                .count();
            let circle = MEASURED.circles.iter().find(|c| c.contains(&source.path));
            row.in_circles += usize::from(circle.is_some());
            row.withdrawn += source.withdrawn;
        }
    }
    println!("| folder | files | too long | functions too long | in circles | withdrawn words |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (folder, row) in &rows {
        let Row {
            files,
            long_files,
            long_functions,
            in_circles,
            withdrawn,
        } = row;
        println!(
            "| {folder} | {files} | {long_files} | {long_functions} | {in_circles} | {withdrawn} |"
        );
    }
    println!("Circles: {}", MEASURED.circles.len());
}
