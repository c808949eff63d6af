//! The checks themselves, on made-up sources that violate them.

use crate::exceptions::{Exceptions, compare_amounts, compare_circles};
use crate::source::Source;

fn measure(files: &[(&str, &str)]) -> Exceptions {
    let sources: Vec<Source> = files
        .iter()
        .map(|(path, text)| Source::new(path, text))
        .collect();
    Exceptions::measure(&sources)
}

fn circle(files: &[&str]) -> crate::imports::Circle {
    files.iter().map(|f| f.to_string()).collect()
}

const LIB: (&str, &str) = ("src/lib.rs", "pub mod a; pub mod b;");

/// Through a re-export, a renamed module, a macro's arguments and a glob.
#[test]
fn circles_are_found() {
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
    let expected = [circle(&["src/a/inner.rs", "src/b.rs"])];
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, plain]).circles),
        expected
    );
    let renamed = (
        "src/b.rs",
        "use crate::a as other; pub fn ready(_: other::Inner) {}",
    );
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, renamed]).circles),
        expected
    );
    let glob = ("src/b.rs", "use super::a::*; pub fn ready(_: Inner) {}");
    assert_eq!(
        Vec::from_iter(measure(&[LIB, a, inner, glob]).circles),
        expected
    );
}

/// A re-export, a module declaration and the same names in another package make none.
#[test]
fn what_is_no_circle() {
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
    assert!(measure(&[LIB, a, inner, b, elsewhere]).circles.is_empty());
    let used = (
        "src/a/mod.rs",
        "mod inner; pub use inner::Inner; pub struct Own(Inner);",
    );
    let expected = [circle(&["src/a/inner.rs", "src/a/mod.rs"])];
    assert_eq!(
        Vec::from_iter(measure(&[LIB, used, inner]).circles),
        expected
    );
}

#[test]
fn circles_may_only_shrink() {
    let (small, large) = (circle(&["a", "b"]), circle(&["a", "b", "c"]));
    let compare = |measured: &crate::imports::Circle, kept: &crate::imports::Circle| {
        compare_circles(&[measured.clone()].into(), &[kept.clone()].into())
    };
    assert!(compare(&small, &small).is_empty());
    assert!(compare(&large, &small)[0].contains("larger circle"));
    assert!(compare(&small, &large)[0].contains("shrink"));
    assert!(compare_circles(&[].into(), &[small.clone()].into())[0].contains("no such circle"));
    assert!(compare_circles(&[small].into(), &[].into())[0].contains("new"));
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

/// As parts of identifiers in any case, also inside macros; not in comments, strings or longer words.
#[test]
fn withdrawn_words_are_found() {
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
        Vec::from_iter(measured.withdrawn),
        [("src/bad.rs".to_string(), 3)]
    );
}

#[test]
fn amounts_may_only_shrink() {
    let table = |amount: usize| [("a".to_string(), amount)].into();
    assert!(compare_amounts(&table(5), &table(5)).is_empty());
    assert!(compare_amounts(&table(6), &table(5))[0].contains("at most 5"));
    assert!(compare_amounts(&table(4), &table(5))[0].contains("lower"));
    assert!(compare_amounts(&table(4), &[].into())[0].contains("new"));
    assert!(compare_amounts(&[].into(), &table(4))[0].contains("take its exception"));
}

/// What is measured is printed in the form in which exceptions are kept.
#[test]
fn exceptions_survive_their_form() {
    let text = "// A line.\n".repeat(450) + "struct Yard;";
    let mut measured = measure(&[("src/a.rs", &text)]);
    measured.circles = [circle(&["src/a.rs", "src/b.rs"])].into();
    assert_eq!(
        toml::from_str::<Exceptions>(&measured.to_toml()).unwrap(),
        measured
    );
}
