//! Collection of status lookups that share requests to the leader.
//!
//! A follower gets the status of most jobs from the leader. One request for each lookup would multiply the leader's
//! load just when it is slow: users repeat their questions. Lookups that arrive while requests are in flight are
//! therefore collected and share the next request, so that the number of requests doesn't depend on the number of
//! users, and a slow leader is asked less often instead of not at all.

use crate::jobs::JobView;
use crate::os::{EventCount, Os, time_left};
use crate::time::Moment;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Maximum number of jobs in one request. Request and reply stay well below the limit of a frame between controllers.
const MAX_JOBS: usize = 1000;
/// Maximum time that an idle sender waits for a notification before it checks for lookups again.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Answer of the leader about one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderAnswer {
    /// Status of the job.
    Status(JobView),
    /// The leader doesn't have the status in memory: it has to be read from the store.
    NotInMemory,
    /// There is no leader, or it did not answer in time.
    NoAnswer,
    /// The leader runs an earlier version, which answers requests for a single job only.
    Unsupported,
}

/// A lookup that waits for the leader's answer.
#[derive(Debug)]
pub struct PendingLookup {
    /// Id of the job.
    pub id: String,
    answer: OnceLock<LeaderAnswer>,
}

/// Lookups that wait to be sent to the leader.
pub struct StatusBatches {
    unsent: Mutex<Vec<Arc<PendingLookup>>>,
    /// Notified when a lookup is added.
    lookup_added: Arc<dyn EventCount>,
    /// Notified when lookups have been answered.
    answered: Arc<dyn EventCount>,
}

impl StatusBatches {
    /// Creates an empty collection.
    pub fn new(os: &dyn Os) -> StatusBatches {
        StatusBatches {
            unsent: Mutex::default(),
            lookup_added: os.event_count(),
            answered: os.event_count(),
        }
    }

    fn unsent(&self) -> MutexGuard<'_, Vec<Arc<PendingLookup>>> {
        self.unsent.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds a lookup to the next batch, and waits for its answer until `deadline`.
    pub fn look_up(&self, os: &dyn Os, id: &str, deadline: Moment) -> LeaderAnswer {
        let lookup = Arc::new(PendingLookup {
            id: id.to_string(),
            answer: OnceLock::new(),
        });
        self.unsent().push(lookup.clone());
        self.lookup_added.notify_one();
        loop {
            let observed = {
                let mut unsent = self.unsent();
                if let Some(answer) = lookup.answer.get() {
                    return *answer;
                }
                if time_left(os, deadline).is_none() {
                    unsent.retain(|other| !Arc::ptr_eq(other, &lookup));
                    return LeaderAnswer::NoAnswer;
                }
                self.answered.prepare_wait()
            };
            if let Some(left) = time_left(os, deadline) {
                self.answered.wait(observed, left);
            }
        }
    }

    /// Takes the lookups for the next request. If there are none, waits for a notification and returns none.
    pub fn next_batch_or_wait(&self) -> Vec<Arc<PendingLookup>> {
        let observed = {
            let mut unsent = self.unsent();
            if !unsent.is_empty() {
                let count = unsent.len().min(MAX_JOBS);
                return unsent.drain(..count).collect();
            }
            self.lookup_added.prepare_wait()
        };
        self.lookup_added.wait(observed, IDLE_WAIT);
        Vec::new()
    }

    /// Gives all lookups of a batch their answers.
    pub fn answer(&self, batch: &[Arc<PendingLookup>], answer_for: impl Fn(&str) -> LeaderAnswer) {
        {
            // The lock keeps a lookup from beginning to wait between its check and the notification.
            let _unsent = self.unsent();
            for lookup in batch {
                let _ = lookup.answer.set(answer_for(&lookup.id));
            }
        }
        self.answered.notify_all();
    }
}
