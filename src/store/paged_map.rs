//! A map of many small entries that is stored in few values.
//!
//! The store accepts a few dozen changes per second, regardless of their size. Entries that are small and change
//! often (which machines may run tasks, up to which task of a job starts may have been made) therefore share values:
//! a page holds up to [`PAGE_ENTRIES`] entries and is always written as a whole. Each write has the revision of the
//! page as a precondition, so that an earlier write of unknown outcome can't overwrite it if the store executes that
//! write late.
//!
//! A page that exceeds the size limit of a value, for example because the limit was lowered, is still read but no
//! longer written. When an entry of such a page changes, it moves to a page whose key sorts later, and the larger of
//! the two stored values is the valid one. Earlier versions of the program use the entry that they read last in key
//! order, which is the same one.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of entries per page. With the longest accepted names a page stays below the smallest value size
/// limit that the settings allow.
pub const PAGE_ENTRIES: usize = 64;

/// Upper bound of the size of an entry's value and punctuation as JSON, in bytes. The largest stored numbers are
/// microseconds since the Unix epoch.
const ENTRY_OVERHEAD_BYTES: usize = 22;
/// Size of the brackets around a page as JSON, in bytes.
const PAGE_OVERHEAD_BYTES: usize = 2;

/// Map from names to small values that is stored in pages. It tracks which pages differ from their stored form.
///
/// Invariant: each entry is visible on exactly one page, the one that the index contains for its name.
#[derive(Debug)]
pub struct PagedMap<V> {
    /// Number of the page that holds an entry, by the entry's name.
    index: HashMap<String, u32>,
    pages: BTreeMap<u32, Page<V>>,
    /// Maximum size of a page, in bytes of JSON.
    max_page_bytes: usize,
}

/// Contents of a page that is due to be written.
#[derive(Clone, Debug)]
pub struct PageImage<V> {
    /// Number of the page, which is the last part of its key.
    pub number: u32,
    /// Store revision of the stored page, 0 if there is none. It is the precondition of the write.
    pub revision: u64,
    /// Version of the contents, to be passed to [`PagedMap::mark_written`].
    pub version: u64,
    /// Entries in the order of their names, as they are stored.
    pub entries: Vec<(String, V)>,
}

#[derive(Debug)]
struct Page<V> {
    /// Store revision of the page; 0 if the page is not stored.
    revision: u64,
    entries: BTreeMap<String, Entry<V>>,
    /// Version of the page, incremented by each change.
    version: u64,
    /// Version of the last change that has to be written soon: the last one that set an entry.
    urgent_version: u64,
    /// Highest version that the store is known to have committed.
    stored_version: u64,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    /// Version of the page at which the entry was last set.
    version: u64,
}

impl<V> Page<V> {
    fn new(revision: u64, entries: BTreeMap<String, Entry<V>>) -> Page<V> {
        Page {
            revision,
            entries,
            version: 0,
            urgent_version: 0,
            stored_version: 0,
        }
    }

    /// Upper bound of the size of the page as JSON, in bytes.
    fn size_bound(&self) -> usize {
        let entries = self.entries.keys().map(|name| entry_size_bound(name));
        PAGE_OVERHEAD_BYTES + entries.sum::<usize>()
    }
}

/// Upper bound of the size of an entry as JSON, in bytes.
fn entry_size_bound(name: &str) -> usize {
    name.len() + ENTRY_OVERHEAD_BYTES
}

impl<V> Default for PagedMap<V> {
    fn default() -> Self {
        PagedMap::new(usize::MAX)
    }
}

impl<V> PagedMap<V> {
    /// Creates an empty map with pages of at most `max_page_bytes` bytes.
    pub fn new(max_page_bytes: usize) -> PagedMap<V> {
        PagedMap {
            index: HashMap::new(),
            pages: BTreeMap::new(),
            max_page_bytes,
        }
    }
}

impl<V: Clone + PartialOrd> PagedMap<V> {
    /// Adds a page that was read from the store. Pages must be loaded in the order of their keys.
    pub fn load(&mut self, number: u32, revision: u64, entries: Vec<(String, V)>) {
        for (name, value) in &entries {
            // An entry that was moved is stored on two pages; the larger value is the newer one.
            if self.get(name).is_none_or(|known| known <= value) {
                self.index.insert(name.clone(), number);
            }
        }
        let stored = |(name, value)| (name, Entry { value, version: 0 });
        let entries = entries.into_iter().map(stored).collect();
        self.pages.insert(number, Page::new(revision, entries));
    }

    /// Sets an entry. Its page then has to be written soon.
    pub fn put(&mut self, name: &str, value: V) {
        let number = match self.index.get(name).copied() {
            Some(number) if self.pages[&number].size_bound() <= self.max_page_bytes => number,
            current => self.page_with_space(name, current),
        };
        self.index.insert(name.to_string(), number);
        let new_page = || Page::new(0, BTreeMap::new());
        let page = self.pages.entry(number).or_insert_with(new_page);
        page.version += 1;
        page.urgent_version = page.version;
        let version = page.version;
        page.entries
            .insert(name.to_string(), Entry { value, version });
    }

    /// Number of a page with space for the entry, or of a new page. For an entry that moves away from its current
    /// page, the key of the returned page sorts after that of the current page.
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

    /// Removes an entry. The write of its page is not urgent, and is made when the rate limit allows.
    pub fn remove(&mut self, name: &str) {
        if let Some(number) = self.index.remove(name)
            && let Some(page) = self.pages.get_mut(&number)
        {
            page.entries.remove(name);
            page.version += 1;
        }
    }

    /// True if the map has an entry of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.index.contains_key(name)
    }

    /// Value of an entry.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.entry(name).map(|(_, entry)| &entry.value)
    }

    /// True if the entry is known to be stored with its current value.
    pub fn is_stored(&self, name: &str) -> bool {
        self.entry(name)
            .is_some_and(|(page, entry)| entry.version <= page.stored_version)
    }

    fn entry(&self, name: &str) -> Option<(&Page<V>, &Entry<V>)> {
        let page = self.pages.get(self.index.get(name)?)?;
        Some((page, page.entries.get(name)?))
    }

    /// Names of all entries, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.index.keys()
    }

    /// Pages with entries that were set and are not stored yet. With `include_removals`, all pages that differ from
    /// their stored form. Pages that exceed the size limit are not included.
    pub fn pages_due(&self, include_removals: bool) -> Vec<PageImage<V>> {
        let wanted_version = |page: &Page<V>| match include_removals {
            true => page.version,
            false => page.urgent_version,
        };
        self.pages
            .iter()
            .filter(|(_, page)| page.stored_version < wanted_version(page))
            .filter(|(_, page)| page.size_bound() <= self.max_page_bytes)
            .map(|(number, page)| page.image(*number))
            .collect()
    }

    /// Records that the store has committed `version` of a page at `revision`.
    pub fn mark_written(&mut self, number: u32, version: u64, revision: u64) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.revision = revision;
            page.stored_version = page.stored_version.max(version);
        }
    }

    /// Sets the revision of a stored page, as read after a conflict. The next write of the page then overwrites it.
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
