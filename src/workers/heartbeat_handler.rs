//! The handler of heartbeats.

use super::HeartbeatReply;
use super::wire::{Heartbeat, HeartbeatReplyBody, HeartbeatSender, NotLeaderReply};
use crate::controller::{Controller, ControllerState};
use crate::http::cbor::{decode, encode};
use crate::http::server::Response;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// The number of refused heartbeats whose times are remembered.
const MAX_REFUSED_HEARTBEATS: usize = 64;
/// Workers are sent to the leader that the key-value store showed within this time. It is longer than a watch
/// on the leader's record takes.
const LEADER_HINT_VALID_FOR: Micros = Micros::from_secs(6);
/// What `Retry-After` tells workers whose heartbeat isn't answered, in seconds.
const RETRY_AFTER_S: u32 = 1;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const MISDIRECTED_REQUEST: u16 = 421;

impl Controller {
    /// Answers a heartbeat with commands, or refuses it if this controller doesn't lead.
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
        // The clock is read under the lock: the process may be suspended at any point, and another controller
        // may lead by the time it goes on.
        let now = self.now();
        let Some((lease, scheduler)) = state.acting_leader(now) else {
            return self.misdirected(&state);
        };
        let (term, valid_until) = (lease.term, lease.valid_until);
        match scheduler.heartbeat(&heartbeat, now) {
            HeartbeatReply::Commands {
                fencing_token,
                commands,
            } => {
                self.wake_loops(scheduler);
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
            HeartbeatReply::Deposed => {
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

    /// The refusal of a heartbeat, if this controller doesn't lead. It is decided before the body is decoded:
    /// at a failover all workers' heartbeats arrive at controllers that don't lead.
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

    /// Remembers whose heartbeat was refused, if links are watched.
    fn note_refused_worker(&self, body: &[u8], now: Moment) {
        if let Some(link_health) = &self.link_health
            && let Ok(sender) = decode::<HeartbeatSender>(body)
        {
            link_health.record_refused_heartbeat(&sender.machine, now);
        }
    }

    /// The response of a controller that doesn't lead. It names the leader only if the key-value store showed
    /// it lately: a controller that lost the store would send workers in circles.
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

    /// Wakes the loops that have something to do after a decision: the record writer and the command senders.
    pub fn wake_loops(&self, scheduler: &mut SchedulerState) {
        if std::mem::take(&mut scheduler.writes_due) {
            self.state_changed.notify_all();
        }
        if !scheduler.commands.due.is_empty() {
            self.commands_due.notify_one();
        }
    }
}

/// Remembers when a heartbeat was refused.
fn note_refused_heartbeat(state: &mut ControllerState, now: Moment) {
    state.refused_heartbeats.push_back(now);
    while state.refused_heartbeats.len() > MAX_REFUSED_HEARTBEATS {
        state.refused_heartbeats.pop_front();
    }
}
