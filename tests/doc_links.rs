//! Links between the pages of this repository, and from them to modules, lead somewhere.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

/// The pages in a folder, and in the folders below it.
fn pages(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(pages(&path));
        } else if path.extension().is_some_and(|ext| ext == "md") {
            found.push(path);
        }
    }
    found
}

/// The relative targets of a page's links, without their anchors.
fn relative_targets(page: &str) -> Vec<&str> {
    let after_text = page.split("](").skip(1);
    let targets = after_text.filter_map(|rest| rest.split_once(')'));
    let files = targets.map(|(target, _)| target.split('#').next().unwrap_or(target));
    files
        .filter(|file| !file.is_empty() && !file.contains("://"))
        .collect()
}

#[test]
fn links_of_all_pages_lead_to_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut all = pages(&root.join("docs"));
    all.push(root.join("README.md"));
    let mut broken = Vec::new();
    for page in all {
        let text = std::fs::read_to_string(&page).unwrap();
        let folder = page.parent().unwrap();
        for target in relative_targets(&text) {
            if !folder.join(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn targets_are_found_in_a_page() {
    let page = "see [a](b.md#part) and [c](../src/d.rs), not [e](https://f) or [g](#h)";
    assert_eq!(relative_targets(page), ["b.md", "../src/d.rs"]);
}
