//! Tests of the checks on made-up sources, which violate the limits or only just keep them.

use crate::exceptions::{Exceptions, compare_cycles, compare_excesses};
use crate::source::Source;

fn measure(files: &[(&str, &str)]) -> Exceptions {
    let sources: Vec<Source> = files
        .iter()
        .map(|(path, text)| Source::new(path, text))
        .collect();
    Exceptions::measure(&sources)
}

fn cycle(files: &[&str]) -> crate::imports::Cycle {
    files.iter().map(|f| f.to_string()).collect()
}

const LIB: (&str, &str) = ("src/lib.rs", "pub mod a; pub mod b;");

/// A cycle is found through a re-export, a renamed module, the arguments of a macro and a glob import.
#[test]
fn cycles_are_found() {
    let a = (
        "src/a/mod.rs",
        "mod inner; pub use inner::Inner; pub struct Own;",
    );
    let inner = (
        "src/a/inner.rs",
        "pub struct Inner; fn f() { assert!(crate::b::ready()); }",
    );
    let plain = (
        "src/b.rs",
        "use crate::a::Inner; pub fn ready() -> bool { true }",
    );
    let expected = [cycle(&["src/a/inner.rs", "src/b.rs"])];
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, plain]).cycles),
        expected
    );
    let renamed = (
        "src/b.rs",
        "use crate::a as other; pub fn ready(_: other::Inner) {}",
    );
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, renamed]).cycles),
        expected
    );
    let glob = ("src/b.rs", "use super::a::*; pub fn ready(_: Inner) {}");
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, glob]).cycles),
        expected
    );
}

/// A re-export, a module declaration and the same names in another package form no cycle.
#[test]
fn reexports_and_other_packages_form_no_cycle() {
    let a = (
        "src/a/mod.rs",
        "mod inner; pub use inner::Inner; pub struct Own;",
    );
    let inner = ("src/a/inner.rs", "use super::Own; pub struct Inner(Own);");
    let b = (
        "src/b.rs",
        "use crate::a::{Inner, Own}; pub struct Both(Inner, Own);",
    );
    let elsewhere = (
        "crates/c/src/a/inner.rs",
        "use crate::b::Both; pub struct Inner(Both);",
    );
    assert!(measure(&[LIB, a, inner, b, elsewhere]).cycles.is_empty());
    let used = (
        "src/a/mod.rs",
        "mod inner; pub use inner::Inner; pub struct Own(Inner);",
    );
    let expected = [cycle(&["src/a/inner.rs", "src/a/mod.rs"])];
    assert_eq!(
        Vec::from_iter(measure(&[LIB, used, inner]).cycles),
        expected
    );
}

#[test]
fn cycles_that_differ_from_their_exceptions_are_reported() {
    let (small, large) = (cycle(&["a", "b"]), cycle(&["a", "b", "c"]));
    let compare = |measured: &crate::imports::Cycle, allowed: &crate::imports::Cycle| {
        compare_cycles(&[measured.clone()].into(), &[allowed.clone()].into())
    };
    assert!(compare(&small, &small).is_empty());
    assert!(compare(&large, &small)[0].contains("larger cycle"));
    assert!(compare(&small, &large)[0].contains("shrink"));
    assert!(compare_cycles(&[].into(), &[small.clone()].into())[0].contains("no such cycle"));
    assert!(compare_cycles(&[small].into(), &[].into())[0].contains("new"));
}

#[test]
fn long_files_are_found() {
    let text = "// A line.\n".repeat(401);
    let measured = measure(&[("src/long.rs", &text), ("tests/long.rs", &text)]);
    assert_eq!(
        Vec::from_iter(measured.files),
        [("src/long.rs".to_string(), 401)]
    );
    assert!(measure(&[("src/right.rs", &text[11..])]).files.is_empty());
    let measured = measure(&[("crates/c/tests/long.rs", &text.repeat(2))]);
    assert_eq!(measured.files["crates/c/tests/long.rs"], 802);
}

#[test]
fn long_functions_are_found() {
    let body = "    work();\n".repeat(59);
    let free = format!("/// Documented.\nfn free() {{\n{body}}}\n");
    let method = format!("impl Own {{\nfn method(&self) {{\n{body}}}\n}}\n");
    let short = format!("fn short() {{\n{}}}\n", &body[12..]);
    let measured = measure(&[("src/a.rs", &format!("{free}{method}{short}"))]);
    let names: Vec<&str> = measured.functions.keys().map(String::as_str).collect();
    assert_eq!(names, ["src/a.rs::Own::method", "src/a.rs::free"]);
    assert_eq!(measured.functions["src/a.rs::free"], 61);
}

/// Wire words are found as parts of identifiers in any case, also in macros, but not in comments, strings, attributes
/// or longer words.
#[test]
fn wire_words_are_found() {
    let bad = "struct YardKey { last_tick: u64 }\nfn f(k: u64) { println!(\"{}\", k + baton()); }";
    let good = "//! The host.\n#[serde(rename = \"host\")]\nstruct Ticket { hostname: u64 }";
    let wire = "struct Report { yard: String, pieces: u64 }";
    let inline = "mod wire { struct Report { host: String } }";
    let measured = measure(&[
        ("src/bad.rs", bad),
        ("src/good.rs", good),
        ("src/workers/wire.rs", wire),
        ("src/inline.rs", inline),
    ]);
    assert_eq!(
        Vec::from_iter(measured.wire_words),
        [("src/bad.rs".to_string(), 3)]
    );
}

#[test]
fn excesses_that_differ_from_their_exceptions_are_reported() {
    let table = |figure: usize| [("a".to_string(), figure)].into();
    assert!(compare_excesses(&table(5), &table(5)).is_empty());
    assert!(compare_excesses(&table(6), &table(5))[0].contains("at most 5"));
    assert!(compare_excesses(&table(4), &table(5))[0].contains("lower"));
    assert!(compare_excesses(&table(4), &[].into())[0].contains("new"));
    assert!(compare_excesses(&[].into(), &table(4))[0].contains("remove its exception"));
}

/// The measured tree is written in the format of `exceptions.toml`.
#[test]
fn exceptions_are_equal_after_a_toml_round_trip() {
    let text = "// A line.\n".repeat(450) + "struct Yard;";
    let mut measured = measure(&[("src/a.rs", &text)]);
    measured.cycles = [cycle(&["src/a.rs", "src/b.rs"])].into();
    assert_eq!(
        toml::from_str::<Exceptions>(&measured.to_toml()).unwrap(),
        measured
    );
}
