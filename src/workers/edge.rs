//! Heartbeats as they arrive, and direct calls as they leave.

use super::HeartbeatReply;
use super::direct::{DirectCall, DirectResult};
use super::wire::{DirectCommands, Heartbeat, HeartbeatReplyBody, HeartbeatSender, NotLeaderReply};
use crate::controller::Controller;
use crate::http::cbor::{decode, encode};
use crate::http::client::{CallError, ClientResponse};
use crate::http::server::Response;
use crate::os::{HttpClient, Os};
use crate::time::{Micros, Moment};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A worker that answers no sooner is told by its next heartbeat.
const DIRECT_TIME: Duration = Duration::from_millis(1500);
/// Many machines may be suspected at once: asking them mustn't hold up orders for the others.
const PROBE_TIME: Duration = Duration::from_millis(500);
const MAX_REFUSED_HEARTBEATS: usize = 64;
/// Longer than a watch on the leader takes.
const VOUCHED: Micros = Micros::from_secs(6);
/// A connection to a worker that wasn't used for this long may go when there are many.
const UNUSED: Micros = Micros::from_secs(60);

/// Kept-open connections to workers, by address, and when they were last used.
#[derive(Default)]
pub struct WorkerClients(Mutex<HashMap<SocketAddr, KeptClient>>);

type KeptClient = (Arc<dyn HttpClient>, Moment);

impl WorkerClients {
    /// A kept client, or one for this call only when there are as many as sockets allow. When they
    /// allow fewer than there are, since more workers and users have come in, those that were not
    /// used for longest are closed.
    pub fn get(&self, os: &dyn Os, addr: SocketAddr, most: usize) -> Arc<dyn HttpClient> {
        let now = os.now();
        let mut clients = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if clients.len() > most {
            let mut used: Vec<Moment> = clients.values().map(|(_, used)| *used).collect();
            used.sort_unstable();
            let last = used[clients.len() - most - 1];
            clients.retain(|_, (_, used)| *used > last);
        }
        if let Some((client, used)) = clients.get_mut(&addr) {
            *used = now;
            return client.clone();
        }
        if clients.len() >= most {
            clients.retain(|_, (_, used)| now - *used < UNUSED);
        }
        let client = os.http_client(addr);
        if clients.len() < most {
            clients.insert(addr, (client.clone(), now));
        }
        client
    }

    /// True if a connection to this address is kept.
    pub fn keeps(&self, addr: SocketAddr) -> bool {
        let clients = self.0.lock().unwrap_or_else(|e| e.into_inner());
        clients.contains_key(&addr)
    }
}

impl Controller {
    pub fn heartbeat(&self, body: &[u8]) -> Response {
        {
            let mut state = self.state();
            let now = self.now();
            if state.acting_leader(now).is_none() {
                state.refused_heartbeats.push_back(now);
                while state.refused_heartbeats.len() > MAX_REFUSED_HEARTBEATS {
                    state.refused_heartbeats.pop_front();
                }
                let response = self.misdirected(&state);
                drop(state);
                self.note_refused(body, now);
                return response;
            }
        }
        let report: Heartbeat = match decode(body) {
            Ok(report) => report,
            Err(e) => {
                log::info!("malformed report: {e}");
                return Response::new(400, Vec::new());
            }
        };
        let mut state = self.state();
        // The clock is read under the lock: a process may stand still at any point, and what was
        // allowed before it may be another's by now.
        let now = self.now();
        let Some((leader_lease, scheduler)) = state.acting_leader(now) else {
            return self.misdirected(&state);
        };
        let (term, valid_until) = (leader_lease.term, leader_lease.valid_until);
        match scheduler.heartbeat(&report, now) {
            HeartbeatReply::Commands {
                fencing_token,
                commands,
            } => {
                self.wake(scheduler);
                drop(state);
                let body = encode(&HeartbeatReplyBody {
                    fencing_token,
                    commands,
                });
                Response {
                    valid_until: Some(valid_until),
                    ..Response::new(200, body)
                }
            }
            HeartbeatReply::Stale | HeartbeatReply::Withheld => Response::busy(1),
            HeartbeatReply::Deposed => {
                log::info!("a worker knows a higher term than {term}");
                state.step_down_requested = true;
                Response::busy(1)
            }
        }
    }

    /// Remembers whose heartbeat was refused, where links are watched.
    fn note_refused(&self, body: &[u8], now: Moment) {
        if let Some(link_health) = &self.link_health
            && let Ok(sender) = decode::<HeartbeatSender>(body)
        {
            link_health.record_refused_heartbeat(&sender.machine, now);
        }
    }

    /// Names the leader only while the state service vouched for it lately: a node that lost
    /// touch would send workers in circles.
    fn misdirected(&self, state: &crate::controller::ControllerState) -> Response {
        let vouched = self.now() - state.leader_confirmed_at < VOUCHED;
        let leader = state
            .known_leader
            .as_ref()
            .filter(|_| vouched)
            .map(|l| l.node.clone())
            .filter(|n| *n != self.settings.node);
        Response::new(421, encode(&NotLeaderReply { leader }))
    }

    /// Wakes the threads that have something to do after a decision.
    pub fn wake(&self, scheduler: &mut crate::scheduler::SchedulerState) {
        if std::mem::take(&mut scheduler.writes_due) {
            self.state_changed.notify_all();
        }
        if !scheduler.commands.due.is_empty() {
            self.commands_due.notify_one();
        }
    }

    /// One of the threads that send orders straight to workers.
    pub fn command_sender_loop(&self) {
        loop {
            let call = {
                let mut state = self.state();
                let now = self.now();
                let call = state
                    .acting_leader(now)
                    .and_then(|(_, scheduler)| scheduler.next_direct(now));
                match call {
                    Some(call) => {
                        if state
                            .acting_leader(now)
                            .is_some_and(|(_, c)| !c.commands.due.is_empty())
                        {
                            self.commands_due.notify_one();
                        }
                        call
                    }
                    None => {
                        let observed = self.commands_due.prepare_wait();
                        drop(state);
                        self.commands_due.wait(observed, Duration::from_secs(60));
                        continue;
                    }
                }
            };
            let result = self.call_worker(&call);
            let mut state = self.state();
            let now = self.now();
            // Even if the lead is in doubt by now: what is known of the start must be kept.
            let Some(scheduler) = state.scheduler.as_mut().filter(|c| c.term == call.term) else {
                continue;
            };
            scheduler.direct_done(&call, result, now);
            self.wake(scheduler);
        }
    }

    fn call_worker(&self, call: &DirectCall) -> DirectResult {
        let Ok(addr) = call.addr.parse::<SocketAddr>() else {
            return DirectResult::Unsent;
        };
        let open = self.open_connections.load(Ordering::Relaxed);
        let most = self.settings.settings.quota.kept_clients(open);
        let client = self.workers.get(&*self.os, addr, most);
        let body = encode(&DirectCommands {
            fencing_token: call.fencing_token,
            agent_epoch: call.agent_epoch,
            commands: &call.commands,
        });
        let time = if call.probe { PROBE_TIME } else { DIRECT_TIME };
        match client.call("POST", "/commands", &body, time) {
            Ok(ClientResponse {
                status: 200 | 409,
                body,
            }) => match decode(&body) {
                Ok(report) => DirectResult::Answered(report),
                Err(e) => {
                    log::info!("malformed answer of {}: {e}", call.machine);
                    DirectResult::Unknown
                }
            },
            Ok(ClientResponse { status, .. }) => {
                log::info!("{} answers {status} to orders", call.machine);
                DirectResult::Unknown
            }
            Err(e) => {
                log::debug!("{}: {e}", call.machine);
                match e {
                    CallError::NotSent { .. } => DirectResult::Unsent,
                    CallError::Unreachable { .. } => DirectResult::Unreached,
                    CallError::OutcomeUnknown { .. } => DirectResult::Unknown,
                }
            }
        }
    }
}
