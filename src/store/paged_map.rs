//! Many small entries packed into few values.
//!
//! A state service takes a few dozen changes a second, however small they are. What changes often
//! and is tiny (which machines may hold tasks, which tasks may have started) therefore shares
//! values: a page holds up to [`PAGE_ENTRIES`] entries and is written whole. Each write guards
//! the page's own revision, so that an unanswered older one can't undo it when it is applied late.
//!
//! A page that is larger than a value may be, as where the limit was lowered since, is read but not written
//! any more. What changes on it goes to a page whose key sorts later, and the larger of the two entries
//! counts. Versions that don't know that take the entry that they read last, in order of keys: the same one.

use std::collections::{BTreeMap, HashMap};

/// Entries on a page: with the longest names that are taken it stays below the smallest limit for
/// values that the settings allow.
pub const PAGE_ENTRIES: usize = 64;

#[derive(Debug)]
struct Page<V> {
    revision: u64,
    /// With the count of the change that set them.
    entries: BTreeMap<String, (V, u64)>,
    /// Counts changes; what was written is known by the count it carries.
    version: u64,
    /// The last change that somebody waits for.
    awaited: u64,
    stored: u64,
}

/// A page as it is to be written.
#[derive(Clone, Debug)]
pub struct PageImage<V> {
    pub number: u32,
    pub revision: u64,
    pub version: u64,
    pub entries: Vec<(String, V)>,
}

#[derive(Debug)]
pub struct PagedMap<V> {
    index: HashMap<String, u32>,
    pages: BTreeMap<u32, Page<V>>,
    /// Bytes that a page may have.
    most: usize,
}

impl<V> Default for PagedMap<V> {
    fn default() -> Self {
        PagedMap::new(usize::MAX)
    }
}

/// An entry's key and value as JSON: the largest numbers that are kept are microseconds since 1970.
fn entry_len(key: &str) -> usize {
    key.len() + 22
}

impl<V> Page<V> {
    fn len(&self) -> usize {
        2 + self.entries.keys().map(|k| entry_len(k)).sum::<usize>()
    }
}

impl<V> PagedMap<V> {
    /// Pages of so many bytes at most.
    pub fn new(most: usize) -> PagedMap<V> {
        PagedMap {
            index: HashMap::new(),
            pages: BTreeMap::new(),
            most,
        }
    }
}

impl<V: Clone + PartialOrd> PagedMap<V> {
    /// Takes in a page as it was read.
    pub fn load(&mut self, number: u32, revision: u64, entries: Vec<(String, V)>) {
        for (key, value) in &entries {
            // An entry that moved is on two pages; the larger one is the newer.
            if self.get(key).is_none_or(|known| known <= value) {
                self.index.insert(key.clone(), number);
            }
        }
        let page = Page {
            revision,
            entries: entries.into_iter().map(|(k, v)| (k, (v, 0))).collect(),
            version: 0,
            awaited: 0,
            stored: 0,
        };
        self.pages.insert(number, page);
    }

    /// Sets an entry; its page is due at once.
    pub fn put(&mut self, key: &str, value: V) {
        let number = match self.index.get(key).copied() {
            Some(number) if self.pages[&number].len() <= self.most => number,
            current => self.page_with_room(key, current),
        };
        self.index.insert(key.to_string(), number);
        let page = self.pages.entry(number).or_insert_with(|| Page {
            revision: 0,
            entries: BTreeMap::new(),
            version: 0,
            awaited: 0,
            stored: 0,
        });
        page.version += 1;
        page.awaited = page.version;
        page.entries.insert(key.to_string(), (value, page.version));
    }

    /// A page with room for an entry, or a new one; for an entry that moves, one whose key sorts later
    /// than that of its current page.
    fn page_with_room(&self, key: &str, current: Option<u32>) -> u32 {
        let sorts_later = |n: &u32| current.is_none_or(|c| n.to_string() > c.to_string());
        let has_room = |page: &Page<V>| {
            page.entries.len() < PAGE_ENTRIES && page.len() + entry_len(key) <= self.most
        };
        let mut roomy = self.pages.iter().filter(|(_, page)| has_room(page));
        let roomy = roomy.find(|(number, _)| sorts_later(number));
        let next = self.pages.keys().last().map_or(0, |n| n + 1);
        let new = || (next..).find(sorts_later).unwrap_or(next);
        roomy.map_or_else(new, |(number, _)| *number)
    }

    /// Drops an entry; its page may be written when there is time.
    pub fn remove(&mut self, key: &str) {
        if let Some(number) = self.index.remove(key)
            && let Some(page) = self.pages.get_mut(&number)
        {
            page.entries.remove(key);
            page.version += 1;
        }
    }

    pub fn contains(&self, key: &str) -> bool {
        self.index.contains_key(key)
    }

    pub fn get(&self, key: &str) -> Option<&V> {
        let page = self.pages.get(self.index.get(key)?)?;
        page.entries.get(key).map(|(value, _)| value)
    }

    /// True if the entry, as it is, is surely on record.
    pub fn is_stored(&self, key: &str) -> bool {
        let page = self.index.get(key).and_then(|n| self.pages.get(n));
        page.is_some_and(|p| p.entries.get(key).is_some_and(|(_, set)| *set <= p.stored))
    }

    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.index.keys()
    }

    /// Pages that somebody waits for, or, with `tidy`, all that differ from what is stored.
    pub fn pages_due(&self, tidy: bool) -> Vec<PageImage<V>> {
        self.pages
            .iter()
            .filter(|(_, p)| p.stored < if tidy { p.version } else { p.awaited })
            .filter(|(_, p)| p.len() <= self.most)
            .map(|(number, p)| PageImage {
                number: *number,
                revision: p.revision,
                version: p.version,
                entries: p
                    .entries
                    .iter()
                    .map(|(k, (v, _))| (k.clone(), v.clone()))
                    .collect(),
            })
            .collect()
    }

    /// This image was committed at this revision.
    pub fn mark_written(&mut self, number: u32, version: u64, revision: u64) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.revision = revision;
            page.stored = page.stored.max(version);
        }
    }

    /// The page's revision as it was read back after a conflict: it is written again over it.
    pub fn set_revision(&mut self, number: u32, revision: u64) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.revision = revision;
        }
    }
}
