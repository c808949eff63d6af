//! What users ask: submit, status, cancel and `/up`.

use super::spec::{Refusal, Shape, Submission, is_ref};
use super::{
    DoneRecord, FULL_KEY, FinalRecord, JobView, LocalStatus, ViewState, done_key, final_key,
    job_key,
};
use crate::controller::{Controller, ControllerState};
use crate::http::cbor::{decode, encode, json_len};
use crate::http::server::Response;
use crate::leadership::peer::{PeerClient, PeerReply, PeerRequest};
use crate::os::time_left;
use crate::state_store::{Change, Commit, Guard, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What could be found out about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    Job(JobView),
    /// Surely never accepted up to now.
    Absent,
    /// Nobody who knows could be reached.
    Undecided,
}

/// What became of writing a submission.
enum Accepted {
    New,
    Known(JobView),
    /// Not written, as far as this node knows.
    Refused,
    /// Not written: the leader holds as many jobs as it can.
    Full,
}

#[derive(Serialize)]
struct Answer<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

fn short(status: u16, id: &str, state: ViewState) -> Response {
    Response::new(
        status,
        encode(&Answer {
            id,
            status: state.name(),
            done: None,
            running: None,
        }),
    )
}

fn told(id: &str, view: JobView) -> Response {
    Response::new(
        200,
        encode(&Answer {
            id,
            status: view.state.name(),
            done: Some(view.done),
            running: Some(view.running),
        }),
    )
}

#[derive(Serialize)]
struct Problem {
    error: String,
}

fn problem(status: u16, error: String) -> Response {
    Response::new(status, encode(&Problem { error }))
}

/// When a user who was refused should come back, in seconds.
const RETRY_S: u32 = 1;
/// The same, while the service holds as many jobs as it can: some must get done first.
const FULL_RETRY_S: u32 = 5;
const PEER_TIME: Micros = Micros::from_millis(500);
const PING_TIME: Duration = Duration::from_millis(150);
const COMPANY_EVERY: Duration = Duration::from_secs(1);
/// Without a word of the state service for this long, a node looks for company.
const ALONE: Micros = Micros::from_secs(6);
/// Users wait two seconds for a status: what can't be found out by then is said to be unknown.
const LOOKUP_TIME: Micros = Micros::from_millis(1600);
/// How long users' questions about a job wait while its final state is being recorded: the answer
/// mostly comes within this, and there is time left to read the record.
const DECIDING_TIME: Micros = Micros::from_millis(300);
/// Reads for users are given up sooner than others, so that a peer can still be asked.
const READ_TIME: Duration = Duration::from_millis(700);
/// A cancellation is answered once it is recorded, or else refused after this.
const CANCEL_TIME: Micros = Micros::from_millis(2000);

impl Controller {
    /// Any node that knows the machine types can take requests, leader or not.
    ///
    /// Without the state service and without any peer it can't tell a user anything. In an outage
    /// that all nodes feel there are still peers, and it stays up.
    pub fn up(&self) -> Response {
        if self.catalog().is_none() {
            return Response::busy(RETRY_S);
        }
        if self.isolated.load(Ordering::Relaxed) {
            Response::busy(RETRY_S)
        } else {
            Response::new(200, Vec::new())
        }
    }

    /// Looks for company while the state service says nothing, so that a health check never has
    /// to wait for it.
    pub fn peer_probe_loop(&self) {
        loop {
            self.os.sleep(COMPANY_EVERY);
            let heard = |node: &Controller| node.now() - node.store.last_answer() < ALONE;
            let answers = |p: &PeerClient| p.answers(PING_TIME);
            let has_peers =
                heard(self) || self.peers.is_empty() || self.peers.values().any(answers);
            self.isolated.store(!has_peers, Ordering::Relaxed);
        }
    }

    pub fn submit(&self, body: &[u8]) -> Response {
        let submission = match Submission::decode(body) {
            Ok(s) => s,
            Err(refusal) => return self.refuse(ref_of(body).as_deref(), refusal),
        };
        let id = submission.id.clone();
        match self.known_here(&id) {
            LocalStatus::View(view) => return short(200, &id, view.state),
            LocalStatus::FinalWriteInFlight => {
                return match self.lookup(&id) {
                    Lookup::Job(view) => short(200, &id, view.state),
                    _ => Response::busy(RETRY_S),
                };
            }
            LocalStatus::Nothing => {}
        }
        let Some(catalog) = self.catalog() else {
            return Response::busy(RETRY_S);
        };
        let site = &self.settings.settings;
        if let Err(refusal) = submission.possible(&site.teams, &catalog, &site.zones) {
            return self.refuse(Some(&id), refusal);
        }
        if !self.may_write(&submission) {
            return match self.lookup(&id) {
                Lookup::Job(view) => short(200, &id, view.state),
                _ => Response::busy(RETRY_S),
            };
        }
        self.accept(submission)
    }

    /// A standing job is written once all controllers know what it is.
    fn may_write(&self, submission: &Submission) -> bool {
        submission.shape == Shape::Array || self.level().has_standing_jobs()
    }

    /// A ref that is accepted already never gets a refusal, whatever body comes again.
    fn refuse(&self, id: Option<&str>, refusal: Refusal) -> Response {
        let found = id.map_or(Lookup::Absent, |id| self.lookup(id));
        match (found, id) {
            (Lookup::Job(view), Some(id)) => short(200, id, view.state),
            (Lookup::Undecided, _) => Response::busy(RETRY_S),
            _ => {
                let status = match refusal {
                    Refusal::Malformed(_) => 400,
                    Refusal::Impossible(_) => 422,
                };
                problem(status, refusal.to_string())
            }
        }
    }

    /// Records the job; it is accepted once that is answered. Where this node can't write, for
    /// want of tokens or because the state service refuses it alone, another one may: it is asked
    /// first while the state service is silent here, since waiting for it takes longer than users
    /// want to.
    fn accept(&self, submission: Submission) -> Response {
        let id = submission.id.clone();
        let by_peers = || {
            let body = encode(&submission);
            let request = PeerRequest::Accept { body };
            match self.ask_any(&request, self.now() + LOOKUP_TIME) {
                Some(PeerReply::Accepted) => Some(short(201, &id, ViewState::Queued)),
                Some(PeerReply::Job(view)) => Some(short(200, &id, view.state)),
                _ => None,
            }
        };
        let silent = !self.store.answers(self.now());
        if silent && let Some(response) = by_peers() {
            return response;
        }
        match self.record(submission.clone()) {
            Accepted::New => short(201, &id, ViewState::Queued),
            Accepted::Known(view) => short(200, &id, view.state),
            Accepted::Full => Response::busy(FULL_RETRY_S),
            Accepted::Refused if silent => Response::busy(RETRY_S),
            Accepted::Refused => by_peers().unwrap_or_else(|| Response::busy(RETRY_S)),
        }
    }

    /// A peer asks this node to accept a submission that it has checked.
    pub fn accept_for_peer(&self, body: &[u8]) -> PeerReply {
        let Ok(submission) = Submission::decode(body) else {
            return PeerReply::Busy;
        };
        if !self.may_write(&submission) {
            return PeerReply::Busy;
        }
        match self.record(submission) {
            Accepted::New => PeerReply::Accepted,
            Accepted::Known(view) => PeerReply::Job(view),
            Accepted::Refused | Accepted::Full => PeerReply::Busy,
        }
    }

    /// A peer that the state service refuses asks this node to read.
    pub fn read_for_peer(&self, id: &str) -> PeerReply {
        if let LocalStatus::View(view) = self.known_here(id) {
            return PeerReply::Job(view);
        }
        match self.read_job(id, self.now() + PEER_TIME) {
            Ok(Some(view)) => PeerReply::Job(view),
            Ok(None) => PeerReply::Absent,
            Err(_) => PeerReply::Busy,
        }
    }

    /// Asks the other nodes in turn until one can tell, beginning anywhere: with the same one
    /// always first, a dead one would cost every question its time.
    fn ask_any(&self, request: &PeerRequest, deadline: Moment) -> Option<PeerReply> {
        let peers: Vec<&PeerClient> = self.peers.values().collect();
        let first = fastrand::usize(0..peers.len().max(1));
        (0..peers.len())
            .map(|i| peers[(first + i) % peers.len()])
            .filter_map(|peer| {
                let left = time_left(&*self.os, deadline)?;
                peer.call(request, PEER_TIME.duration().min(left)).ok()
            })
            .find(|reply| !matches!(reply, PeerReply::Busy))
    }

    /// Writes the job's record.
    fn record(&self, mut submission: Submission) -> Accepted {
        let now = self.now();
        let granted = self
            .submit_tokens
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .take(1.0, now);
        if !granted {
            return Accepted::Refused;
        }
        let id = submission.id.clone();
        let wall = self.os.wall();
        submission.accepted_us = wall.0;
        let data = to_value(&submission);
        if json_len(&data) > self.settings.settings.state.strictest().value_bytes() {
            log::info!("{id} is too large to be kept");
            return Accepted::Refused;
        }
        let mut guards = vec![
            Guard::new(job_key(&id), 0),
            Guard::new(final_key(&id), 0),
            Guard::new(FULL_KEY, 0),
        ];
        if submission.shape == Shape::Standing {
            // What was known when this process looked may have been taken back since.
            guards.push(self.level().guard());
        }
        let changes = [Change::write(job_key(&id), data)];
        let leading = |state: &ControllerState| state.lead.as_ref().map(|lead| lead.term);
        let term = leading(&self.state());
        match self.store.transact(&guards, &changes, Urgency::Granted) {
            Ok(Commit::Done { revision }) => {
                let mut state = self.state();
                let now = self.now();
                // Under another term by now, as after standing still, the job may be over and
                // retired by somebody else: what was read at the takeover tells.
                if state.terminal_states.get(&id).is_none()
                    && leading(&state) == term
                    && let Some((_, scheduler)) = state.acting(now)
                {
                    scheduler.add_job(&submission, revision, now, wall);
                    scheduler.place_if_due(now);
                    self.wake(scheduler);
                }
                Accepted::New
            }
            Ok(Commit::Conflict { failed }) if failed == [FULL_KEY] => Accepted::Full,
            Ok(Commit::Conflict { .. }) => match self.lookup(&id) {
                Lookup::Job(view) => Accepted::Known(view),
                _ => Accepted::Refused,
            },
            Err(e) => {
                log::debug!("{id} not accepted: {e}");
                Accepted::Refused
            }
        }
    }

    /// The answer to a status question, if this node knows it by itself.
    pub fn known_status(&self, id: &str) -> Option<Response> {
        if !is_ref(id) {
            return Some(Response::new(404, Vec::new()));
        }
        match self.known_here(id) {
            LocalStatus::View(view) => Some(told(id, view)),
            LocalStatus::FinalWriteInFlight | LocalStatus::Nothing => None,
        }
    }

    pub fn status(&self, id: &str) -> Response {
        match self.lookup(id) {
            Lookup::Job(view) => told(id, view),
            Lookup::Absent => Response::new(404, Vec::new()),
            Lookup::Undecided => Response::busy(RETRY_S),
        }
    }

    pub fn cancel(&self, id: &str) -> Response {
        if !is_ref(id) {
            return Response::new(404, Vec::new());
        }
        let mut reply = self.cancel_here(id);
        if reply == PeerReply::NotLeading {
            reply = self
                .ask_leader(
                    &PeerRequest::Cancel { id: id.to_string() },
                    (CANCEL_TIME + PEER_TIME).duration(),
                )
                .unwrap_or(PeerReply::Busy);
        }
        if let PeerReply::Job(view) = reply
            && view.is_final()
        {
            self.state().terminal_states.note(id, view);
            return short(200, id, view.state);
        }
        // Without a leader nothing is cancelled, but what is over or was never accepted can be told.
        match self.lookup(id) {
            Lookup::Job(view) if view.is_final() => short(200, id, view.state),
            Lookup::Absent => Response::new(404, Vec::new()),
            _ => Response::busy(RETRY_S),
        }
    }

    /// Cancels a job if this node leads, and waits for the record for a bounded time.
    pub fn cancel_here(&self, id: &str) -> PeerReply {
        let deadline = self.now() + CANCEL_TIME;
        let mut state = self.state();
        if let Some(view) = state.terminal_states.get(id) {
            return PeerReply::Job(view);
        }
        let now = self.now();
        let Some((_, scheduler)) = state.acting(now) else {
            return PeerReply::NotLeading;
        };
        if !scheduler.ask_cancel(id, now) {
            return PeerReply::Unknown;
        }
        self.changed.notify_all();
        loop {
            if let Some(view) = state.terminal_states.get(id) {
                return PeerReply::Job(view);
            }
            let now = self.now();
            match state.acting(now).map(|(_, c)| c.job_status(id)) {
                Some(LocalStatus::View(view)) if view.is_final() => return PeerReply::Job(view),
                Some(LocalStatus::View(_) | LocalStatus::FinalWriteInFlight) => {}
                Some(LocalStatus::Nothing) | None => return PeerReply::Busy,
            }
            let Some(left) = time_left(&*self.os, deadline) else {
                return PeerReply::Busy;
            };
            self.await_change(state, left);
            state = self.state();
        }
    }

    /// What this node may tell by itself.
    fn known_here(&self, id: &str) -> LocalStatus {
        self.known_of(&mut self.state(), id)
    }

    fn known_of(&self, state: &mut ControllerState, id: &str) -> LocalStatus {
        let now = self.now();
        match (state.terminal_states.get(id), state.acting(now)) {
            (Some(view), _) => LocalStatus::View(view),
            (None, Some((_, scheduler))) => scheduler.job_status(id),
            (None, None) => LocalStatus::Nothing,
        }
    }

    /// The same, but waits for a while for what is just being decided.
    fn decided_here(&self, id: &str) -> LocalStatus {
        let deadline = self.now() + DECIDING_TIME;
        loop {
            let mut state = self.state();
            let known = self.known_of(&mut state, id);
            match time_left(&*self.os, deadline) {
                Some(left) if known == LocalStatus::FinalWriteInFlight => {
                    self.await_change(state, left)
                }
                _ => return known,
            }
        }
    }

    fn ask_leader(&self, request: &PeerRequest, timeout: Duration) -> Option<PeerReply> {
        let leader = self.state().known_leader.as_ref()?.node.clone();
        match self.peers.get(&leader)?.call(request, timeout) {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!("leader {leader} not reached: {e}");
                None
            }
        }
    }

    /// Finds out about a job. What took a while to find out may be older than what this node has
    /// learnt meanwhile, so final states are looked at last.
    pub fn lookup(&self, id: &str) -> Lookup {
        let found = self.look_for(id);
        let mut state = self.state();
        if let Lookup::Job(view) = &found {
            state.terminal_states.note(id, *view);
        }
        state.terminal_states.get(id).map_or(found, Lookup::Job)
    }

    fn look_for(&self, id: &str) -> Lookup {
        let deadline = self.now() + LOOKUP_TIME;
        if let LocalStatus::View(view) = self.decided_here(id) {
            return Lookup::Job(view);
        }
        let request = PeerRequest::Status { id: id.to_string() };
        if let Some(PeerReply::Job(view)) = self.ask_leader(&request, PEER_TIME.duration()) {
            return Lookup::Job(view);
        }
        if self.store.answers(self.now()) {
            match self.read_job(id, deadline) {
                Ok(Some(view)) => return Lookup::Job(view),
                Ok(None) => return Lookup::Absent,
                Err(e) => log::debug!("{id} can't be looked up here: {e}"),
            }
        }
        let request = PeerRequest::Read { id: id.to_string() };
        match self.ask_any(&request, deadline) {
            Some(PeerReply::Job(view)) => Lookup::Job(view),
            Some(PeerReply::Absent) => Lookup::Absent,
            _ => Lookup::Undecided,
        }
    }

    /// What the state service knows. The order matters: a job's record is deleted in the same
    /// transaction that writes its final one, so whoever misses the first finds the second.
    fn read_job(&self, id: &str, deadline: Moment) -> Result<Option<JobView>, StoreError> {
        let get = |key: &str| {
            let Some(left) = time_left(&*self.os, deadline) else {
                return Err(StoreError::Refused("no time left".into()));
            };
            self.store
                .get_within(key, Urgency::Normal, READ_TIME.min(left))
        };
        if let Some(row) = get(&job_key(id))? {
            let tasks = from_value::<Submission>(&row.data).map_or(0, |s| s.pieces as u32);
            if let Some(done) = get(&done_key(id, 0))? {
                let record: DoneRecord = from_value(&done.data).unwrap_or_default();
                if let Some(outcome) = record.state {
                    return Ok(Some(JobView::of_final(outcome, tasks)));
                }
            }
            if get(&job_key(id))?.is_some() {
                return Ok(Some(JobView {
                    state: ViewState::Queued,
                    done: 0,
                    running: 0,
                }));
            }
        }
        let Some(row) = get(&final_key(id))? else {
            return Ok(None);
        };
        let record: FinalRecord = from_value(&row.data)
            .ok_or_else(|| StoreError::Unknown("malformed final record".into()))?;
        Ok(Some(JobView::of_final(record.state, record.tasks)))
    }
}

/// The ref of a body that is otherwise refused.
fn ref_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct OnlyRef {
        #[serde(rename = "ref")]
        id: String,
    }
    let found: OnlyRef = decode(body).ok()?;
    is_ref(&found.id).then_some(found.id)
}
