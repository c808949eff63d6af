//! Compact sets of task numbers, kept as text in the key-value store.
//!
//! A set is cut into chunks, one key each, so that no value is larger than the store allows. A chunk's text
//! has either ranges of task numbers, as in `0-3,7`, or, where that is shorter, a bitmap: `x` and
//! hexadecimal words, whose lowest bits stand for the lowest numbers.

use std::fmt::Write;
use std::ops::Range;

/// Tasks that a chunk covers: as hexadecimal text at most 2 KiB.
const CHUNK_TASKS: u32 = 8192;
/// The first character of a chunk's text that is a bitmap.
const BITMAP_MARK: char = 'x';
/// Tasks that one word of a bitmap covers.
const WORD_TASKS: u32 = u64::BITS;
/// Hexadecimal digits of one word.
const WORD_DIGITS: usize = 16;

/// A set of a job's task numbers, which are below the job's number of tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    /// The job's number of tasks.
    size: u32,
    /// How many tasks are in the set.
    count: u32,
}

/// Why a stored chunk could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedChunk {
    /// Something is neither a number nor a word of a bitmap.
    #[error("malformed number")]
    Number,
    /// A task is outside the chunk.
    #[error("task {task} is outside the chunk")]
    OutOfRange {
        /// The task.
        task: u32,
    },
}

impl From<std::num::ParseIntError> for MalformedChunk {
    fn from(_: std::num::ParseIntError) -> MalformedChunk {
        MalformedChunk::Number
    }
}

impl TaskSet {
    /// An empty set for a job of so many tasks.
    pub fn new(size: u32) -> Self {
        TaskSet {
            words: vec![0; size.div_ceil(WORD_TASKS) as usize],
            size,
            count: 0,
        }
    }

    /// True if the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let (word, bit) = (task / WORD_TASKS, task % WORD_TASKS);
        task < self.size && self.words[word as usize] >> bit & 1 == 1
    }

    /// Adds a task. True if it was not in the set before; false also if the job has no such task.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.size || self.contains(task) {
            return false;
        }
        self.words[(task / WORD_TASKS) as usize] |= 1 << (task % WORD_TASKS);
        self.count += 1;
        true
    }

    /// How many tasks are in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// True if no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// True if all of the job's tasks are in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.size
    }

    /// The tasks in the set, in rising order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.size).filter(|task| self.contains(*task))
    }

    /// The number of chunks, at least 1.
    pub fn chunk_count(&self) -> u32 {
        self.size.div_ceil(CHUNK_TASKS).max(1)
    }

    fn chunk_range(&self, chunk: u32) -> Range<u32> {
        chunk * CHUNK_TASKS..((chunk + 1) * CHUNK_TASKS).min(self.size)
    }

    /// The tasks of one chunk as text: ranges or, if these were longer, a bitmap.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let range = self.chunk_range(chunk);
        let bitmap_len = 1 + (range.len().div_ceil(WORD_TASKS as usize)) * WORD_DIGITS;
        let mut text = String::new();
        let mut next = range.start;
        while let Some(first) = (next..range.end).find(|task| self.contains(*task)) {
            let end = (first..range.end).find(|task| !self.contains(*task));
            next = end.unwrap_or(range.end);
            push_range(&mut text, first, next - 1);
            if text.len() > bitmap_len {
                return self.bitmap_text(&range);
            }
        }
        text
    }

    fn bitmap_text(&self, range: &Range<u32>) -> String {
        let first = (range.start / WORD_TASKS) as usize;
        let end = range.end.div_ceil(WORD_TASKS) as usize;
        let mut text = String::from(BITMAP_MARK);
        for word in &self.words[first..end] {
            // Writing to a string can't fail.
            let _ = write!(text, "{word:016x}");
        }
        text
    }

    /// The text of a chunk, if it has at most `max_len` bytes; else the text of what is `recorded` and of as
    /// many more tasks as fit, or `None` if no more fit. What isn't recorded runs again after a failover; the
    /// more tasks are done, the more of them grow together into ranges.
    pub fn fitting_text(&self, chunk: u32, recorded: &TaskSet, max_len: usize) -> Option<String> {
        let text = self.chunk_text(chunk);
        if text.len() <= max_len {
            return Some(text);
        }
        let range = self.chunk_range(chunk);
        let mut unrecorded: Vec<u32> = range
            .filter(|task| self.contains(*task) && !recorded.contains(*task))
            .collect();
        // Halving finds nearly as much as fits, in few steps.
        while unrecorded.len() > 1 {
            unrecorded.truncate(unrecorded.len() / 2);
            let mut part = recorded.clone();
            for task in &unrecorded {
                part.insert(*task);
            }
            let text = part.chunk_text(chunk);
            if text.len() <= max_len {
                return Some(text);
            }
        }
        None
    }

    /// Adds the tasks that a stored chunk holds.
    ///
    /// # Errors
    ///
    /// [`MalformedChunk`] if the text has another form, or tasks outside the chunk. Some of its tasks may
    /// have been added then.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) -> Result<(), MalformedChunk> {
        let range = self.chunk_range(chunk);
        match text.strip_prefix(BITMAP_MARK) {
            Some(words) => self.add_bitmap(&range, words),
            None => self.add_ranges(&range, text),
        }
    }

    fn add_bitmap(&mut self, range: &Range<u32>, words: &str) -> Result<(), MalformedChunk> {
        for (i, digits) in words.as_bytes().chunks(WORD_DIGITS).enumerate() {
            let digits = std::str::from_utf8(digits).map_err(|_| MalformedChunk::Number)?;
            let word = u64::from_str_radix(digits, 16)?;
            for bit in (0..WORD_TASKS).filter(|bit| word >> bit & 1 == 1) {
                let task = range.start + i as u32 * WORD_TASKS + bit;
                check_range(range, task)?;
                self.insert(task);
            }
        }
        Ok(())
    }

    fn add_ranges(&mut self, range: &Range<u32>, text: &str) -> Result<(), MalformedChunk> {
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let (first, last): (u32, u32) = (first.parse()?, last.parse()?);
            check_range(range, first)?;
            check_range(range, last)?;
            for task in first..=last {
                self.insert(task);
            }
        }
        Ok(())
    }
}

fn check_range(range: &Range<u32>, task: u32) -> Result<(), MalformedChunk> {
    match range.contains(&task) {
        true => Ok(()),
        false => Err(MalformedChunk::OutOfRange { task }),
    }
}

/// Appends `first-last`, or `first` alone if there is but one task.
fn push_range(text: &mut String, first: u32, last: u32) {
    if !text.is_empty() {
        text.push(',');
    }
    // Writing to a string can't fail.
    let _ = write!(text, "{first}");
    if last > first {
        let _ = write!(text, "-{last}");
    }
}
