//! Checks of the code's structure: import cycles, lengths of files and functions, and identifiers with words that
//! belong to the wire format. Code that violates a limit is listed in `code_shape/exceptions.toml`. This list may
//! only shrink: a test also fails if an exception allows more than the code needs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "code_shape/exceptions.rs"]
mod exceptions;
#[path = "code_shape/imports.rs"]
mod imports;
#[path = "code_shape/made_up.rs"]
mod made_up;
#[path = "code_shape/source.rs"]
mod source;

use exceptions::{Exceptions, compare_cycles, compare_excesses};
use source::{Source, read_tree};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::LazyLock;

static SOURCES: LazyLock<Vec<Source>> =
    LazyLock::new(|| read_tree(Path::new(env!("CARGO_MANIFEST_DIR"))));

/// The tree as measured, also written to `MEASURED_FILE`.
static MEASURED: LazyLock<Exceptions> = LazyLock::new(|| {
    let measured = Exceptions::measure(&SOURCES);
    std::fs::write(MEASURED_FILE, measured.to_toml())
        .expect("write the measured tree to the target folder");
    measured
});

/// The exceptions of `code_shape/exceptions.toml`.
static ALLOWED: LazyLock<Exceptions> = LazyLock::new(|| {
    let allowed = toml::from_str(include_str!("code_shape/exceptions.toml"));
    allowed.unwrap_or_else(|e| panic!("exceptions.toml: {e}"))
});

const MEASURED_FILE: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/code_shape.toml");

/// Fails with a list of the problems, if there are any.
fn assert_none(what: &str, problems: &[String]) {
    let list = problems.join("\n  ");
    assert!(
        problems.is_empty(),
        "{what}:\n  {list}\nThe measured tree is in {MEASURED_FILE}"
    );
}

#[test]
fn no_new_import_cycles() {
    for cycle in &MEASURED.cycles {
        println!("cycle of {}:", cycle.len());
        for (from, to) in imports::edges(&SOURCES) {
            if cycle.contains(&from) && cycle.contains(&to) {
                println!("  {from} uses {to}");
            }
        }
    }
    let problems = compare_cycles(&MEASURED.cycles, &ALLOWED.cycles);
    assert_none("import cycles", &problems);
}

#[test]
fn files_are_within_the_length_limit() {
    assert_none(
        "files over the length limit",
        &compare_excesses(&MEASURED.files, &ALLOWED.files),
    );
}

#[test]
fn functions_are_within_the_length_limit() {
    let problems = compare_excesses(&MEASURED.functions, &ALLOWED.functions);
    assert_none("functions over the length limit", &problems);
}

#[test]
fn wire_words_are_used_in_wire_modules_only() {
    let problems = compare_excesses(&MEASURED.wire_words, &ALLOWED.wire_words);
    assert_none(
        "identifiers with wire words outside wire modules",
        &problems,
    );
}

/// Figures of one folder.
#[derive(Default)]
struct Row {
    files: usize,
    long_files: usize,
    long_functions: usize,
    in_cycles: usize,
    wire_words: usize,
}

/// Prints the figures by folder: `cargo test --test code_shape figures_by_folder -- --nocapture`.
#[test]
fn figures_by_folder() {
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
            let cycle = MEASURED.cycles.iter().find(|c| c.contains(&source.path));
            row.in_cycles += usize::from(cycle.is_some());
            row.wire_words += source.wire_words;
        }
    }
    println!("| folder | files | too long | functions too long | in cycles | wire words |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (folder, row) in &rows {
        let Row {
            files,
            long_files,
            long_functions,
            in_cycles,
            wire_words,
        } = row;
        println!(
            "| {folder} | {files} | {long_files} | {long_functions} | {in_cycles} | {wire_words} |"
        );
    }
    println!("Cycles: {}", MEASURED.cycles.len());
}
