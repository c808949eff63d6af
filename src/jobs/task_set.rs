//! Compact sets of task numbers with a text encoding for the key-value store.
//!
//! A set is split into chunks, one key each, so that no value exceeds the store's limit. The text of a chunk
//! consists either of ranges of task numbers, as in `0-3,7`, or, where that is shorter, of a bitmap: `x` followed
//! by hexadecimal words, whose lowest bits stand for the lowest numbers.

use std::fmt::Write;
use std::ops::Range;

/// Number of tasks that a chunk covers. Its bitmap takes at most 2 KiB as hexadecimal text.
const CHUNK_TASKS: u32 = 8192;
/// First character of the text of a chunk that is encoded as a bitmap.
const BITMAP_MARK: char = 'x';
/// Number of tasks that one word of a bitmap covers.
const WORD_TASKS: u32 = u64::BITS;
/// Number of hexadecimal digits of one word of a bitmap.
const WORD_DIGITS: usize = 16;

/// Set of task numbers of one job, all below the job's number of tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    /// Number of tasks of the job.
    size: u32,
    /// Number of tasks in the set.
    count: u32,
}

/// Reason why the text of a stored chunk could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedChunk {
    /// A part of the text is neither a task number nor a word of a bitmap.
    #[error("malformed task number or bitmap word")]
    Number,
    /// A task is outside the chunk.
    #[error("task {task} is outside the chunk")]
    OutOfRange {
        /// Number of the task.
        task: u32,
    },
}

impl From<std::num::ParseIntError> for MalformedChunk {
    fn from(_: std::num::ParseIntError) -> MalformedChunk {
        MalformedChunk::Number
    }
}

impl TaskSet {
    /// Creates an empty set for a job with `size` tasks.
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

    /// Adds a task. False if it was in the set already or if the job has no such task.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.size || self.contains(task) {
            return false;
        }
        self.words[(task / WORD_TASKS) as usize] |= 1 << (task % WORD_TASKS);
        self.count += 1;
        true
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// True if the set contains no task.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// True if the set contains all tasks of the job.
    pub fn is_full(&self) -> bool {
        self.count == self.size
    }

    /// Tasks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.size).filter(|task| self.contains(*task))
    }

    /// Number of chunks of the set, at least 1.
    pub fn chunk_count(&self) -> u32 {
        self.size.div_ceil(CHUNK_TASKS).max(1)
    }

    fn chunk_range(&self, chunk: u32) -> Range<u32> {
        chunk * CHUNK_TASKS..((chunk + 1) * CHUNK_TASKS).min(self.size)
    }

    /// Encodes the tasks of one chunk as text: as ranges or, if these would be longer, as a bitmap.
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

    /// Encodes a chunk as text of at most `max_len` bytes. If the whole chunk is longer, the text contains the
    /// `recorded` tasks and as many further tasks as fit; `None` if no further task fits. Done tasks that aren't
    /// recorded run again after a failover. The more tasks are done, the more of them merge into ranges.
    pub fn fitting_text(&self, chunk: u32, recorded: &TaskSet, max_len: usize) -> Option<String> {
        let text = self.chunk_text(chunk);
        if text.len() <= max_len {
            return Some(text);
        }
        let range = self.chunk_range(chunk);
        let mut unrecorded: Vec<u32> = range
            .filter(|task| self.contains(*task) && !recorded.contains(*task))
            .collect();
        // Halving finds nearly the largest number of tasks that fits, in few steps.
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

    /// Decodes the text of a stored chunk and adds its tasks.
    ///
    /// # Errors
    ///
    /// [`MalformedChunk`] if the text can't be decoded or contains tasks outside the chunk. Some of its tasks may
    /// have been added in that case.
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

/// Appends `first-last`, or `first` if the range has only one task.
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
