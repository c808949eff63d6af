//! HTTP handler for heartbeats of workers.

use super::HeartbeatReply;
use super::wire::{Heartbeat, HeartbeatReplyBody, HeartbeatSender, NotLeaderReply};
use crate::controller::{Controller, ControllerState};
use crate::http::cbor::{decode, encode};
use crate::http::server::Response;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Maximum number of refused heartbeats whose arrival times are kept.
const MAX_REFUSED_HEARTBEATS: usize = 64;
/// Workers are redirected to the known leader only for this long after the key-value store last confirmed it.
/// Longer than one watch on the leader record takes.
const LEADER_HINT_VALID_FOR: Micros = Micros::from_secs(6);
/// Value of `Retry-After`, in seconds, in replies of the leader that carry no commands and renew no lease.
const RETRY_AFTER_S: u32 = 1;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const MISDIRECTED_REQUEST: u16 = 421;

impl Controller {
    /// Answers a heartbeat with commands, or refuses it if this controller isn't the leader.
    pub fn heartbeat(&self, body: &[u8]) -> Response {
        if let Some(refusal) = self.refuse_unless_leading(body) {
            return refusal;
        }
        let heartbeat: Heartbeat = match decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::info!(reason:% = error; "malformed heartbeat");
                return Response::new(BAD_REQUEST, Vec::new());
            }
        };
        let mut state = self.state();
        // The clock is read while the lock is held: the process may be suspended at any point, and another
        // controller may be the leader by the time it resumes.
        let now = self.now();
        let Some((lease, scheduler)) = state.acting_leader(now) else {
            return self.misdirected(&state);
        };
        let (term, valid_until) = (lease.term, lease.valid_until);
        let reply = scheduler.heartbeat(&heartbeat, now);
        self.wake_loops(scheduler);
        match reply {
            HeartbeatReply::Commands {
                fencing_token,
                commands,
            } => {
                drop(state);
                let body = encode(&HeartbeatReplyBody {
                    fencing_token,
                    commands,
                });
                Response {
                    valid_until: Some(valid_until),
                    ..Response::new(OK, body)
                }
            }
            HeartbeatReply::Stale | HeartbeatReply::Withheld => Response::busy(RETRY_AFTER_S),
            HeartbeatReply::HigherTokenSeen => {
                log::info!(
                    term = term,
                    machine = heartbeat.machine,
                    fencing_token = heartbeat.fencing_token;
                    "heartbeat shows a higher fencing token"
                );
                state.step_down_requested = true;
                Response::busy(RETRY_AFTER_S)
            }
        }
    }

    /// Returns the refusal of a heartbeat if this controller isn't the leader. This check comes before the body
    /// is decoded: during a failover the heartbeats of all workers arrive at controllers that aren't the leader.
    fn refuse_unless_leading(&self, body: &[u8]) -> Option<Response> {
        let (refusal, now) = {
            let mut state = self.state();
            let now = self.now();
            if state.acting_leader(now).is_some() {
                return None;
            }
            note_refused_heartbeat(&mut state, now);
            (self.misdirected(&state), now)
        };
        self.note_refused_worker(body, now);
        Some(refusal)
    }

    /// Records which worker's heartbeat was refused, if links are monitored.
    fn note_refused_worker(&self, body: &[u8], now: Moment) {
        if let Some(link_health) = &self.link_health
            && let Ok(sender) = decode::<HeartbeatSender>(body)
        {
            link_health.record_refused_heartbeat(&sender.machine, now);
        }
    }

    /// Response to a heartbeat by a controller that isn't the leader. It names the leader only if the leader
    /// record was read recently: a controller without access to the key-value store would redirect workers in
    /// a loop.
    fn misdirected(&self, state: &ControllerState) -> Response {
        let is_recent = self.now() - state.leader_confirmed_at < LEADER_HINT_VALID_FOR;
        let leader = state
            .known_leader
            .as_ref()
            .filter(|_| is_recent)
            .map(|leader| leader.node.clone())
            .filter(|node| *node != self.settings.node);
        Response::new(MISDIRECTED_REQUEST, encode(&NotLeaderReply { leader }))
    }

    /// Wakes the record writer and the command senders if the scheduler has left work for them.
    pub fn wake_loops(&self, scheduler: &mut SchedulerState) {
        if std::mem::take(&mut scheduler.writes_due) {
            self.state_changed.notify_all();
        }
        if !scheduler.commands.due.is_empty() {
            self.commands_due.notify_one();
        }
    }
}

/// Stores the arrival time of a refused heartbeat and drops the oldest beyond the limit.
fn note_refused_heartbeat(state: &mut ControllerState, now: Moment) {
    state.refused_heartbeats.push_back(now);
    while state.refused_heartbeats.len() > MAX_REFUSED_HEARTBEATS {
        state.refused_heartbeats.pop_front();
    }
}
