//! Links in the documentation, to other pages and to source files, point to existing files.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

/// Returns the Markdown files in a directory and in all directories below it.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(pages(&path));
        } else if path.extension().is_some_and(|ext| ext == "md") {
            found.push(path);
        }
    }
    found
}

/// Returns the relative targets of a page's links, without their anchors.
fn relative_targets(page: &str) -> Vec<&str> {
    let after_text = page.split("](").skip(1);
    let targets = after_text.filter_map(|rest| rest.split_once(')'));
    let files = targets.map(|(target, _)| target.split('#').next().unwrap_or(target));
    files
        .filter(|file| !file.is_empty() && !file.contains("://"))
        .collect()
}

#[test]
fn relative_links_of_all_pages_point_to_existing_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut all = pages(&root.join("docs"));
    all.push(root.join("README.md"));
    let mut broken = Vec::new();
    for page in all {
        let text = std::fs::read_to_string(&page).unwrap();
        let directory = page.parent().unwrap();
        for target in relative_targets(&text) {
            if !directory.join(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn relative_targets_omit_anchors_and_urls() {
    let page = "see [a](b.md#part) and [c](../src/d.rs), not [e](https://f) or [g](#h)";
    assert_eq!(relative_targets(page), ["b.md", "../src/d.rs"]);
}
