//! A map of many small entries that is stored as few values.
//!
//! The store takes a few dozen changes per second, however small they are. Entries that are tiny and change often
//! (which machines may hold tasks, how far the tasks of a job may have started) therefore share values: a page
//! holds up to [`PAGE_ENTRIES`] entries and is always written whole. Each write has the page's own revision as a
//! precondition, so that an earlier write without an answer can't undo it by being executed late.
//!
//! A page that is larger than a value may be, for example since the limit was lowered, is read but no longer
//! written. An entry of it that changes moves to a page whose key sorts later, and the larger of the two values
//! counts. Earlier versions of the program use the entry that they read last in the order of keys, which is the
//! same one.

use std::collections::{BTreeMap, HashMap};

/// Entries of a page, at most: with the longest accepted names a page stays below the smallest limit of values that
/// the settings allow.
pub const PAGE_ENTRIES: usize = 64;

/// An upper bound in bytes of an entry's value and punctuation as JSON: the largest stored numbers are microseconds
/// since 1970.
const ENTRY_OVERHEAD_BYTES: usize = 22;
/// The brackets around a page.
const PAGE_OVERHEAD_BYTES: usize = 2;

/// A map from names to small values that is stored in pages. It knows which pages differ from what is stored.
///
/// Invariant: an entry is visible on exactly one page, the one that the index names.
#[derive(Debug)]
pub struct PagedMap<V> {
    /// The number of the page that holds the entry.
    index: HashMap<String, u32>,
    pages: BTreeMap<u32, Page<V>>,
    /// Bytes of a page, at most.
    max_page_bytes: usize,
}

/// A page as it is to be written.
#[derive(Clone, Debug)]
pub struct PageImage<V> {
    /// The page's number, which is the last part of its key.
    pub number: u32,
    /// The revision of the stored page, 0 if there is none: the precondition of the write.
    pub revision: u64,
    /// The version of the contents, for [`PagedMap::mark_written`].
    pub version: u64,
    /// The stored form: the entries in the order of their names.
    pub entries: Vec<(String, V)>,
}

#[derive(Debug)]
struct Page<V> {
    /// The store's revision of the page, 0 if it is not stored.
    revision: u64,
    entries: BTreeMap<String, Entry<V>>,
    /// Rises with each change.
    version: u64,
    /// The version of the last change that has to be written soon.
    awaited_version: u64,
    /// The version that is surely stored.
    stored_version: u64,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    /// The page's version that set it.
    version: u64,
}

impl<V> Page<V> {
    fn new(revision: u64, entries: BTreeMap<String, Entry<V>>) -> Page<V> {
        Page {
            revision,
            entries,
            version: 0,
            awaited_version: 0,
            stored_version: 0,
        }
    }

    /// An upper bound of the page's size as JSON, in bytes.
    fn size_bound(&self) -> usize {
        let entries = self.entries.keys().map(|name| entry_size_bound(name));
        PAGE_OVERHEAD_BYTES + entries.sum::<usize>()
    }
}

/// An upper bound of an entry's size as JSON, in bytes.
fn entry_size_bound(name: &str) -> usize {
    name.len() + ENTRY_OVERHEAD_BYTES
}

impl<V> Default for PagedMap<V> {
    fn default() -> Self {
        PagedMap::new(usize::MAX)
    }
}

impl<V> PagedMap<V> {
    /// An empty map with pages of at most `max_page_bytes`.
    pub fn new(max_page_bytes: usize) -> PagedMap<V> {
        PagedMap {
            index: HashMap::new(),
            pages: BTreeMap::new(),
            max_page_bytes,
        }
    }
}

impl<V: Clone + PartialOrd> PagedMap<V> {
    /// Adds a page as it was read from the store. Pages are loaded in the order of their keys.
    pub fn load(&mut self, number: u32, revision: u64, entries: Vec<(String, V)>) {
        for (name, value) in &entries {
            // An entry that moved is on two pages; the larger value is the newer one.
            if self.get(name).is_none_or(|known| known <= value) {
                self.index.insert(name.clone(), number);
            }
        }
        let stored = |(name, value)| (name, Entry { value, version: 0 });
        let entries = entries.into_iter().map(stored).collect();
        self.pages.insert(number, Page::new(revision, entries));
    }

    /// Sets an entry. Its page has to be written soon.
    pub fn put(&mut self, name: &str, value: V) {
        let number = match self.index.get(name).copied() {
            Some(number) if self.pages[&number].size_bound() <= self.max_page_bytes => number,
            current => self.page_with_space(name, current),
        };
        self.index.insert(name.to_string(), number);
        let new_page = || Page::new(0, BTreeMap::new());
        let page = self.pages.entry(number).or_insert_with(new_page);
        page.version += 1;
        page.awaited_version = page.version;
        let version = page.version;
        page.entries
            .insert(name.to_string(), Entry { value, version });
    }

    /// The number of a page with space for the entry, or of a new page. For an entry that moves away from its
    /// current page it is one whose key sorts later.
    fn page_with_space(&self, name: &str, current: Option<u32>) -> u32 {
        let sorts_later = |number: &u32| current.is_none_or(|c| number.to_string() > c.to_string());
        let has_space = |page: &Page<V>| {
            page.entries.len() < PAGE_ENTRIES
                && page.size_bound() + entry_size_bound(name) <= self.max_page_bytes
        };
        let mut candidates = self.pages.iter().filter(|(_, page)| has_space(page));
        let existing = candidates.find(|(number, _)| sorts_later(number));
        let next = self.pages.keys().last().map_or(0, |last| last + 1);
        let new = || (next..).find(sorts_later).unwrap_or(next);
        existing.map_or_else(new, |(number, _)| *number)
    }

    /// Removes an entry. Its page may be written when the rate allows.
    pub fn remove(&mut self, name: &str) {
        if let Some(number) = self.index.remove(name)
            && let Some(page) = self.pages.get_mut(&number)
        {
            page.entries.remove(name);
            page.version += 1;
        }
    }

    /// True if there is such an entry.
    pub fn contains(&self, name: &str) -> bool {
        self.index.contains_key(name)
    }

    /// The value of an entry.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.entry(name).map(|(_, entry)| &entry.value)
    }

    /// True if the entry with its present value is surely stored.
    pub fn is_stored(&self, name: &str) -> bool {
        self.entry(name)
            .is_some_and(|(page, entry)| entry.version <= page.stored_version)
    }

    fn entry(&self, name: &str) -> Option<(&Page<V>, &Entry<V>)> {
        let page = self.pages.get(self.index.get(name)?)?;
        Some((page, page.entries.get(name)?))
    }

    /// The names of all entries, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.index.keys()
    }

    /// Pages with entries that were set and are not stored; with `include_removals` all pages that differ from what
    /// is stored. Pages that are too large are left out.
    pub fn pages_due(&self, include_removals: bool) -> Vec<PageImage<V>> {
        let wanted_version = |page: &Page<V>| match include_removals {
            true => page.version,
            false => page.awaited_version,
        };
        self.pages
            .iter()
            .filter(|(_, page)| page.stored_version < wanted_version(page))
            .filter(|(_, page)| page.size_bound() <= self.max_page_bytes)
            .map(|(number, page)| page.image(*number))
            .collect()
    }

    /// Notes that an image was committed, as the store's `revision`.
    pub fn mark_written(&mut self, number: u32, version: u64, revision: u64) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.revision = revision;
            page.stored_version = page.stored_version.max(version);
        }
    }

    /// Notes the stored page's revision as it was read after a conflict. The page is written again over it.
    pub fn set_revision(&mut self, number: u32, revision: u64) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.revision = revision;
        }
    }
}

impl<V: Clone> Page<V> {
    fn image(&self, number: u32) -> PageImage<V> {
        let entries = self.entries.iter();
        PageImage {
            number,
            revision: self.revision,
            version: self.version,
            entries: entries
                .map(|(name, entry)| (name.clone(), entry.value.clone()))
                .collect(),
        }
    }
}
