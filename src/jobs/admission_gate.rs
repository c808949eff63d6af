//! Whether the store says that no more jobs are accepted.

/// What the record writer knows of the key [`FULL_KEY`](super::FULL_KEY), in one term.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    /// The term in which this was learned.
    pub term: u64,
    /// True while the key exists: no more jobs are accepted.
    pub closed: bool,
    /// The key's revision, 0 while it is absent.
    pub revision: u64,
    /// What was written last without an answer: whether the gate is to be closed. It is written until that
    /// is known to have worked: the opposite, written over it, could be undone by it, and no controller
    /// would accept anything any more.
    pub unconfirmed: Option<bool>,
}

impl AdmissionGate {
    /// The gate of a new term, which is open.
    pub fn new(term: u64) -> AdmissionGate {
        AdmissionGate {
            term,
            ..AdmissionGate::default()
        }
    }

    /// What is to be written now, if anything: whether the gate is closed.
    pub fn next_write(&self, is_full: bool) -> Option<bool> {
        self.unconfirmed
            .or((is_full != self.closed).then_some(is_full))
    }

    /// The key is known to be present (`closed`) or absent, with this revision.
    pub fn confirm(&mut self, closed: bool, revision: u64) {
        if closed != self.closed {
            match closed {
                true => log::warn!("jobs take all the memory they may: no more are accepted"),
                false => log::warn!("jobs are accepted again"),
            }
        }
        self.closed = closed;
        self.revision = revision;
        self.unconfirmed = None;
    }
}
