//! Parses Rust files and measures them: lines, functions, wire words, and modules with their paths.

use proc_macro2::{Ident, TokenStream, TokenTree};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use syn::spanned::Spanned;
use syn::visit::{self, Visit};

/// Words of the operators' wire format that only wire modules may use as an identifier or a part of one. They are in
/// the singular; their plural with `s` counts as well. `docs/glossary.md` has the terms to use instead.
pub const WIRE_WORDS: [&str; 22] = [
    "baton", "bookmark", "build", "cause", "crew", "foreman", "guess", "hire", "host", "knock",
    "lane", "loaner", "piece", "rank", "recall", "session", "shape", "shift", "stash", "tick",
    "verb", "yard",
];

/// Names of the modules from the root of a crate to a module.
pub type ModulePath = Vec<String>;

/// One imported name of a `use`.
pub struct Import {
    /// Name that the import binds; `None` for `*`.
    pub name: Option<String>,
    /// Path of the imported item.
    pub path: Vec<String>,
    /// True for any form of `pub use`.
    pub reexport: bool,
}

/// A module, in a file of its own or inline.
#[derive(Default)]
pub struct Module {
    /// File that contains the module.
    pub file: String,
    /// Names of the items that the module defines.
    pub items: BTreeSet<String>,
    pub imports: Vec<Import>,
    /// All paths in the module's code.
    pub paths: BTreeSet<Vec<String>>,
}

/// A measured file.
pub struct Source {
    /// Path of the file below the root of the repository.
    pub path: String,
    pub lines: usize,
    /// Number of lines of each function from its `fn` line to its closing brace, without the attributes and comments
    /// before it.
    pub functions: BTreeMap<String, usize>,
    /// Number of identifiers outside wire modules that contain a wire word.
    pub wire_words: usize,
    pub modules: BTreeMap<ModulePath, Module>,
}

impl Source {
    /// Parses and measures a file; panics if it is not valid Rust.
    pub fn new(path: &str, text: &str) -> Source {
        let parsed = syn::parse_file(text).unwrap_or_else(|e| panic!("{path}: {e}"));
        let module = module_path(path);
        let mut reader = Reader {
            owner: String::new(),
            module,
            source: Source {
                path: path.to_string(),
                lines: text.lines().count(),
                functions: BTreeMap::new(),
                wire_words: 0,
                modules: BTreeMap::new(),
            },
        };
        reader.enter_module();
        reader.visit_file(&parsed);
        reader.source
    }

    /// True for files in `src` folders; all others are tests.
    pub fn is_product(&self) -> bool {
        self.path.starts_with("src/") || self.path.contains("/src/")
    }

    /// Returns the folder of the file's crate, which is empty for the daemon.
    pub fn package(&self) -> &str {
        let source_folder = self.path.rfind("src/").unwrap_or(0);
        &self.path[..source_folder]
    }
}

/// Reads all Rust files of the daemon, the packages and the tests.
pub fn read_tree(root: &Path) -> Vec<Source> {
    let mut files = BTreeSet::new();
    for top in ["src", "crates", "tests"] {
        list_files(&root.join(top), &mut files);
    }
    let read = |file: &std::path::PathBuf| {
        let text = std::fs::read_to_string(file).expect("read a source file");
        let path = file.strip_prefix(root).expect("path below the root");
        Source::new(&path.to_string_lossy(), &text)
    };
    files.iter().map(read).collect()
}

/// Adds all Rust files below a folder.
fn list_files(folder: &Path, files: &mut BTreeSet<std::path::PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("list a source folder") {
        let path = entry.expect("read an entry of a source folder").path();
        if path.is_dir() {
            list_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.insert(path);
        }
    }
}

/// Returns the module path of a file: `src/a/b.rs` is `[a, b]`, `src/a/mod.rs` is `[a]`, `src/lib.rs` is the root.
fn module_path(path: &str) -> ModulePath {
    let inside = path.rsplit_once("src/").map_or(path, |(_, inside)| inside);
    let stem = inside.strip_suffix(".rs").unwrap_or(inside);
    let mut parts: ModulePath = stem.split('/').map(String::from).collect();
    if matches!(parts.last().map(String::as_str), Some("lib" | "mod")) {
        parts.pop();
    }
    parts
}

/// Splits an identifier in snake case or camel case into its words, in lower case.
fn words(identifier: &str) -> Vec<String> {
    let mut split = String::new();
    let mut after_lower = false;
    for c in identifier.chars() {
        if c.is_uppercase() && after_lower {
            split.push('_');
        }
        after_lower = c.is_lowercase() || c.is_ascii_digit();
        split.extend(c.to_lowercase());
    }
    split.split('_').map(String::from).collect()
}

fn is_wire_word(word: &str) -> bool {
    let singular = word.strip_suffix('s').unwrap_or(word);
    WIRE_WORDS.contains(&word) || WIRE_WORDS.contains(&singular)
}

/// Visitor that fills a `Source` from a parsed file.
struct Reader {
    source: Source,
    /// The module that is being visited.
    module: ModulePath,
    /// Prefix of function names: the type whose `impl` or the trait whose body is being visited, with `::`.
    owner: String,
}

impl Reader {
    /// Returns the entry of the current module, and creates it if there is none.
    fn enter_module(&mut self) -> &mut Module {
        let module = self.source.modules.entry(self.module.clone()).or_default();
        module.file.clone_from(&self.source.path);
        module
    }

    fn add_path(&mut self, path: Vec<String>) {
        if !path.is_empty() {
            self.enter_module().paths.insert(path);
        }
    }

    /// Reads paths and identifiers in the arguments of a macro, which `syn` doesn't parse.
    fn read_tokens(&mut self, tokens: TokenStream) {
        let mut path = Vec::new();
        let mut colons = 0;
        for token in tokens {
            match token {
                TokenTree::Ident(name) => {
                    if colons != 2 {
                        self.add_path(std::mem::take(&mut path));
                    }
                    colons = 0;
                    self.visit_ident(&name);
                    path.push(name.to_string());
                }
                TokenTree::Punct(p) if p.as_char() == ':' => colons += 1,
                other => {
                    colons = 0;
                    self.add_path(std::mem::take(&mut path));
                    if let TokenTree::Group(group) = other {
                        self.read_tokens(group.stream());
                    }
                }
            }
        }
        self.add_path(path);
    }

    /// Records the lines of a function; of functions with the same name the longest counts.
    fn add_function(&mut self, name: &Ident, signature: &syn::Signature, block: &syn::Block) {
        let first = signature.fn_token.span().start().line;
        let lines = block.span().end().line + 1 - first;
        let key = format!("{}::{}{name}", self.source.path, self.owner);
        let longest = self.source.functions.entry(key).or_default();
        *longest = lines.max(*longest);
    }

    /// Calls `visit` with this owner set, and restores the outer owner afterwards. `visit` must call the default
    /// visitor function: the overridden method would recurse endlessly.
    fn with_owner(&mut self, owner: String, visit: impl FnOnce(&mut Self)) {
        let outer = std::mem::replace(&mut self.owner, owner);
        visit(self);
        self.owner = outer;
    }

    fn add_imports(&mut self, tree: &syn::UseTree, prefix: &[String], reexport: bool) {
        let extended = |name: &Ident| [prefix, &[name.to_string()]].concat();
        let (name, path) = match tree {
            syn::UseTree::Path(p) => {
                return self.add_imports(&p.tree, &extended(&p.ident), reexport);
            }
            syn::UseTree::Group(group) => {
                for inner in &group.items {
                    self.add_imports(inner, prefix, reexport);
                }
                return;
            }
            syn::UseTree::Name(n) if n.ident == "self" => (prefix.last().cloned(), prefix.to_vec()),
            syn::UseTree::Name(n) => (Some(n.ident.to_string()), extended(&n.ident)),
            syn::UseTree::Rename(r) if r.ident == "self" => {
                (Some(r.rename.to_string()), prefix.to_vec())
            }
            syn::UseTree::Rename(r) => (Some(r.rename.to_string()), extended(&r.ident)),
            syn::UseTree::Glob(_) => (None, prefix.to_vec()),
        };
        let import = Import {
            name,
            path,
            reexport,
        };
        self.enter_module().imports.push(import);
    }
}

impl<'ast> Visit<'ast> for Reader {
    fn visit_attribute(&mut self, _: &'ast syn::Attribute) {}

    fn visit_visibility(&mut self, _: &'ast syn::Visibility) {}

    fn visit_ident(&mut self, name: &Ident) {
        let in_wire = self.module.iter().any(|m| m == "wire");
        if !in_wire && words(&name.to_string()).iter().any(|w| is_wire_word(w)) {
            self.source.wire_words += 1;
        }
    }

    fn visit_item(&mut self, item: &'ast syn::Item) {
        let name = match item {
            syn::Item::Const(i) => Some(&i.ident),
            syn::Item::Enum(i) => Some(&i.ident),
            syn::Item::Fn(i) => Some(&i.sig.ident),
            syn::Item::Static(i) => Some(&i.ident),
            syn::Item::Struct(i) => Some(&i.ident),
            syn::Item::Trait(i) => Some(&i.ident),
            syn::Item::Type(i) => Some(&i.ident),
            _ => None,
        };
        if let Some(name) = name {
            self.enter_module().items.insert(name.to_string());
        }
        visit::visit_item(self, item);
    }

    fn visit_item_mod(&mut self, item: &'ast syn::ItemMod) {
        if item.content.is_none() {
            return self.visit_ident(&item.ident);
        }
        self.module.push(item.ident.to_string());
        self.enter_module();
        visit::visit_item_mod(self, item);
        self.module.pop();
    }

    fn visit_item_use(&mut self, item: &'ast syn::ItemUse) {
        let reexport = !matches!(item.vis, syn::Visibility::Inherited);
        self.add_imports(&item.tree, &[], reexport);
        visit::visit_item_use(self, item);
    }

    fn visit_path(&mut self, path: &'ast syn::Path) {
        let names = path.segments.iter().map(|s| s.ident.to_string());
        self.add_path(names.collect());
        visit::visit_path(self, path);
    }

    fn visit_macro(&mut self, called: &'ast syn::Macro) {
        self.read_tokens(called.tokens.clone());
        visit::visit_macro(self, called);
    }

    fn visit_item_impl(&mut self, item: &'ast syn::ItemImpl) {
        let owner = match &*item.self_ty {
            syn::Type::Path(t) => t.path.segments.last().map(|s| format!("{}::", s.ident)),
            _ => None,
        };
        self.with_owner(owner.unwrap_or_default(), |reader| {
            visit::visit_item_impl(reader, item)
        });
    }

    fn visit_item_trait(&mut self, item: &'ast syn::ItemTrait) {
        let owner = format!("{}::", item.ident);
        self.with_owner(owner, |reader| visit::visit_item_trait(reader, item));
    }

    fn visit_item_fn(&mut self, item: &'ast syn::ItemFn) {
        self.add_function(&item.sig.ident, &item.sig, &item.block);
        visit::visit_item_fn(self, item);
    }

    fn visit_impl_item_fn(&mut self, item: &'ast syn::ImplItemFn) {
        self.add_function(&item.sig.ident, &item.sig, &item.block);
        visit::visit_impl_item_fn(self, item);
    }

    fn visit_trait_item_fn(&mut self, item: &'ast syn::TraitItemFn) {
        if let Some(block) = &item.default {
            self.add_function(&item.sig.ident, &item.sig, block);
        }
        visit::visit_trait_item_fn(self, item);
    }
}
