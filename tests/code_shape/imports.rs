//! Which file uses items of which other, and the circles among them.

use crate::source::{Module, ModulePath, Source};
use petgraph::algo::tarjan_scc;
use petgraph::graphmap::DiGraphMap;
use std::collections::{BTreeMap, BTreeSet};

/// Re-exports are followed this far; a chain that is longer is a loop of `*` imports.
const LONGEST_CHAIN: u32 = 8;

/// From a file to one whose items it uses.
pub type Edge = (String, String);
/// Files of which each uses items of the next and the last those of the first.
pub type Circle = BTreeSet<String>;

/// The module that a path leads to, or that defines the item to which it leads.
struct Target {
    module: ModulePath,
    is_item: bool,
}

/// The modules of one package.
struct Package<'a>(BTreeMap<&'a ModulePath, &'a Module>);

impl Package<'_> {
    fn resolve(&self, from: &[String], path: &[String], chain: u32) -> Option<Target> {
        let mut at = from.to_vec();
        let mut rest = path;
        match path.first()?.as_str() {
            "crate" => {
                at.clear();
                rest = &path[1..];
            }
            "self" => rest = &path[1..],
            _ => {}
        }
        while rest.first().is_some_and(|name| name == "super") {
            at.pop()?;
            rest = &rest[1..];
        }
        self.descend(at, rest, chain)
    }

    fn descend(&self, at: ModulePath, path: &[String], chain: u32) -> Option<Target> {
        let Some((name, rest)) = path.split_first() else {
            return Some(Target {
                module: at,
                is_item: false,
            });
        };
        let child = [&at[..], std::slice::from_ref(name)].concat();
        if self.0.contains_key(&child) {
            return self.descend(child, rest, chain);
        }
        let module = self.0.get(&at)?;
        if module.items.contains(name) {
            return Some(Target {
                module: at,
                is_item: true,
            });
        }
        let chain = chain.checked_sub(1)?;
        let named = |import: &&crate::source::Import| import.name.as_ref() == Some(name);
        if let Some(import) = module.imports.iter().find(named) {
            let target = self.resolve(&at, &import.path, chain)?;
            return match target.is_item {
                true => Some(target),
                false => self.descend(target.module, rest, chain),
            };
        }
        let globs = module.imports.iter().filter(|import| import.name.is_none());
        globs.into_iter().find_map(|import| {
            let target = self.resolve(&at, &import.path, chain)?;
            let open = !target.is_item && target.module != at;
            open.then(|| self.descend(target.module, path, chain))?
        })
    }

    /// Re-exports alone are no use of an item; a module's name is none either, only paths through it.
    fn edges(&self) -> BTreeSet<Edge> {
        let mut edges = BTreeSet::new();
        for (at, module) in &self.0 {
            let own_imports = module.imports.iter().filter(|import| !import.reexport);
            let own_imports = own_imports.filter(|import| import.name.is_some());
            let imported = own_imports.map(|import| &import.path);
            for path in imported.chain(&module.paths) {
                let target = self.resolve(at, path, LONGEST_CHAIN);
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

/// The uses between the files of each package.
pub fn edges(sources: &[Source]) -> BTreeSet<Edge> {
    let mut packages: BTreeMap<&str, Package> = BTreeMap::new();
    for source in sources.iter().filter(|s| s.is_product()) {
        let package = packages.entry(source.package());
        let modules = package.or_insert_with(|| Package(BTreeMap::new()));
        modules.0.extend(&source.modules);
    }
    packages.values().flat_map(Package::edges).collect()
}

/// The circles that the uses make, each as large as it gets.
pub fn circles(edges: &BTreeSet<Edge>) -> BTreeSet<Circle> {
    let pairs = edges.iter().map(|(from, to)| (from.as_str(), to.as_str()));
    let graph: DiGraphMap<&str, ()> = DiGraphMap::from_edges(pairs);
    let components = tarjan_scc(&graph).into_iter();
    let larger = components.filter(|files| files.len() > 1);
    larger
        .map(|files| files.into_iter().map(String::from).collect())
        .collect()
}
