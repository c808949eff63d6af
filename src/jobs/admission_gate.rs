//! The record writer's view of the key that stops the acceptance of jobs.

/// State of the key [`FULL_KEY`](super::FULL_KEY) as known to the record writer in one term.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    /// Term to which the state belongs.
    pub term: u64,
    /// True while the key exists, so that no more jobs are accepted.
    pub closed: bool,
    /// Store revision of the key, 0 while it is absent.
    pub revision: u64,
    /// Value of `closed` in the last write if the outcome of that write is unknown. The write is repeated until it is
    /// known to have been executed. If the opposite were written instead, the earlier write could still be executed
    /// late and undo it, and no controller would accept jobs any more.
    pub unconfirmed: Option<bool>,
}

impl AdmissionGate {
    /// Creates the open gate of a new term.
    pub fn new(term: u64) -> AdmissionGate {
        AdmissionGate {
            term,
            ..AdmissionGate::default()
        }
    }

    /// Value of `closed` to be written now; `None` if no write is needed.
    pub fn next_write(&self, is_full: bool) -> Option<bool> {
        self.unconfirmed
            .or((is_full != self.closed).then_some(is_full))
    }

    /// Sets the confirmed state of the key: present (`closed`) with this revision, or absent.
    pub fn confirm(&mut self, closed: bool, revision: u64) {
        if closed != self.closed {
            match closed {
                true => log::warn!(term = self.term; "job memory limit reached, jobs not accepted"),
                false => log::warn!(term = self.term; "job memory available, jobs accepted again"),
            }
        }
        self.closed = closed;
        self.revision = revision;
        self.unconfirmed = None;
    }
}
