//! Uses of items between files, and the cycles that they form.

use crate::source::{Module, ModulePath, Source};
use petgraph::algo::tarjan_scc;
use petgraph::graphmap::DiGraphMap;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of imports that are followed to an item; a longer chain is a loop of `*` imports.
const MAX_IMPORT_CHAIN: u32 = 8;

/// A file, and a file whose items it uses.
pub type Edge = (String, String);
/// Files of which each reaches every other by uses of items.
pub type Cycle = BTreeSet<String>;

/// Module to which a path leads, or which defines the item to which it leads.
struct Target {
    module: ModulePath,
    is_item: bool,
}

/// Modules of one package, by module path.
struct Package<'a>(BTreeMap<&'a ModulePath, &'a Module>);

impl Package<'_> {
    /// Resolves a path that occurs in the module `from`, following at most `max_imports` imports.
    fn resolve(&self, from: &[String], path: &[String], max_imports: u32) -> Option<Target> {
        let mut module = from.to_vec();
        let mut rest = path;
        match path.first()?.as_str() {
            "crate" => {
                module.clear();
                rest = &path[1..];
            }
            "self" => rest = &path[1..],
            _ => {}
        }
        while rest.first().is_some_and(|name| name == "super") {
            module.pop()?;
            rest = &rest[1..];
        }
        self.descend(module, rest, max_imports)
    }

    /// Resolves a path relative to the module `at`.
    fn descend(&self, at: ModulePath, path: &[String], max_imports: u32) -> Option<Target> {
        let Some((name, rest)) = path.split_first() else {
            return Some(Target {
                module: at,
                is_item: false,
            });
        };
        let child = [&at[..], std::slice::from_ref(name)].concat();
        if self.0.contains_key(&child) {
            return self.descend(child, rest, max_imports);
        }
        let module = self.0.get(&at)?;
        if module.items.contains(name) {
            return Some(Target {
                module: at,
                is_item: true,
            });
        }
        let max_imports = max_imports.checked_sub(1)?;
        let has_name = |import: &&crate::source::Import| import.name.as_ref() == Some(name);
        if let Some(import) = module.imports.iter().find(has_name) {
            let target = self.resolve(&at, &import.path, max_imports)?;
            return match target.is_item {
                true => Some(target),
                false => self.descend(target.module, rest, max_imports),
            };
        }
        let globs = module.imports.iter().filter(|import| import.name.is_none());
        globs.into_iter().find_map(|import| {
            let target = self.resolve(&at, &import.path, max_imports)?;
            let is_other_module = !target.is_item && target.module != at;
            is_other_module.then(|| self.descend(target.module, path, max_imports))?
        })
    }

    /// Returns the uses between files. A re-export alone is no use of an item, and neither is a module's name: only
    /// paths through the module are.
    fn edges(&self) -> BTreeSet<Edge> {
        let mut edges = BTreeSet::new();
        for (at, module) in &self.0 {
            let own_imports = module.imports.iter().filter(|import| !import.reexport);
            let own_imports = own_imports.filter(|import| import.name.is_some());
            let imported = own_imports.map(|import| &import.path);
            for path in imported.chain(&module.paths) {
                let target = self.resolve(at, path, MAX_IMPORT_CHAIN);
                let Some(target) = target.filter(|t| t.is_item) else {
                    continue;
                };
                let file = &self.0[&target.module].file;
                if *file != module.file {
                    edges.insert((module.file.clone(), file.clone()));
                }
            }
        }
        edges
    }
}

/// Returns the uses between the files of each package. Test files are left out.
pub fn edges(sources: &[Source]) -> BTreeSet<Edge> {
    let mut packages: BTreeMap<&str, Package> = BTreeMap::new();
    for source in sources.iter().filter(|s| s.is_product()) {
        let package = packages.entry(source.package());
        let modules = package.or_insert_with(|| Package(BTreeMap::new()));
        modules.0.extend(&source.modules);
    }
    packages.values().flat_map(Package::edges).collect()
}

/// Returns the cycles of the uses. Each is maximal: a strongly connected component of more than one file.
pub fn cycles(edges: &BTreeSet<Edge>) -> BTreeSet<Cycle> {
    let pairs = edges.iter().map(|(from, to)| (from.as_str(), to.as_str()));
    let graph: DiGraphMap<&str, ()> = DiGraphMap::from_edges(pairs);
    let components = tarjan_scc(&graph).into_iter();
    let cycles = components.filter(|files| files.len() > 1);
    cycles
        .map(|files| files.into_iter().map(String::from).collect())
        .collect()
}
