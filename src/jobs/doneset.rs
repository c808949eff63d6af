//! Compact sets of task numbers, kept as text in the state service.
//!
//! A set is cut into chunks, one key each, so that no value passes the service's limit.

use std::fmt::Write;

/// Tasks a chunk covers: as hexadecimal text at most 2 KiB.
pub const CHUNK: u32 = 8192;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    size: u32,
    count: u32,
}

impl TaskSet {
    pub fn new(size: u32) -> Self {
        TaskSet {
            words: vec![0; size.div_ceil(64) as usize],
            size,
            count: 0,
        }
    }

    pub fn contains(&self, task: u32) -> bool {
        task < self.size && self.words[(task / 64) as usize] >> (task % 64) & 1 == 1
    }

    /// True if the task was not there before.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.size || self.contains(task) {
            return false;
        }
        self.words[(task / 64) as usize] |= 1 << (task % 64);
        self.count += 1;
        true
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn is_full(&self) -> bool {
        self.count == self.size
    }

    pub fn chunks(&self) -> u32 {
        self.size.div_ceil(CHUNK).max(1)
    }

    fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        chunk * CHUNK..((chunk + 1) * CHUNK).min(self.size)
    }

    /// Tasks of one chunk, as ranges (`0-3,7`) or, where shorter, as a bitmap (`x` and words).
    pub fn chunk_text(&self, chunk: u32) -> String {
        let range = self.chunk_range(chunk);
        let bitmap_len = 1 + (range.len().div_ceil(64)) * 16;
        let mut text = String::new();
        let mut task = range.start;
        while task < range.end {
            if !self.contains(task) {
                task += 1;
                continue;
            }
            let first = task;
            while task < range.end && self.contains(task) {
                task += 1;
            }
            if !text.is_empty() {
                text.push(',');
            }
            let _ = write!(text, "{first}");
            if task - 1 > first {
                let _ = write!(text, "-{}", task - 1);
            }
            if text.len() > bitmap_len {
                let mut bitmap = String::from("x");
                let (a, b) = (range.start / 64, range.end.div_ceil(64));
                for word in &self.words[a as usize..b as usize] {
                    let _ = write!(bitmap, "{word:016x}");
                }
                return bitmap;
            }
        }
        text
    }

    /// The text of a chunk, if it may have so many bytes; else of what was `recorded` and as much more
    /// as fits, or None if nothing more does. What isn't recorded runs again after a loss; the more
    /// tasks are done, the more grow together into ranges.
    pub fn fitting_text(&self, chunk: u32, recorded: &TaskSet, most: usize) -> Option<String> {
        let text = self.chunk_text(chunk);
        if text.len() <= most {
            return Some(text);
        }
        let range = self.chunk_range(chunk);
        let mut left: Vec<u32> = range
            .filter(|t| self.contains(*t) && !recorded.contains(*t))
            .collect();
        // Halving finds nearly as much as fits, in few steps.
        while !left.is_empty() {
            left.truncate(left.len() / 2);
            let mut part = recorded.clone();
            for task in &left {
                part.insert(*task);
            }
            let text = part.chunk_text(chunk);
            if text.len() <= most && !left.is_empty() {
                return Some(text);
            }
        }
        None
    }

    /// Adds what a stored chunk holds; None if the text is malformed.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) -> Option<()> {
        let range = self.chunk_range(chunk);
        if let Some(hex) = text.strip_prefix('x') {
            for (i, part) in hex.as_bytes().chunks(16).enumerate() {
                let word = u64::from_str_radix(std::str::from_utf8(part).ok()?, 16).ok()?;
                for bit in (0..64).filter(|b| word >> b & 1 == 1) {
                    let task = range.start + i as u32 * 64 + bit;
                    if !range.contains(&task) {
                        return None;
                    }
                    self.insert(task);
                }
            }
            return Some(());
        }
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let (first, last): (u32, u32) = (first.parse().ok()?, last.parse().ok()?);
            if !range.contains(&first) || !range.contains(&last) {
                return None;
            }
            for task in first..=last {
                self.insert(task);
            }
        }
        Some(())
    }

    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.size).filter(|t| self.contains(*t))
    }
}
