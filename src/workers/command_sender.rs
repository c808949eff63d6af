//! Loop that sends commands to workers in direct calls.

use super::wire::DirectCommands;
use super::{DirectCall, DirectResult};
use crate::controller::Controller;
use crate::http::cbor::{decode, encode};
use crate::http::client::{CallError, ClientResponse};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Timeout of a direct call. A worker that answers later gets the commands in the reply to its next heartbeat.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a probe. Many machines may be quarantined at once, and probing them must not delay commands for
/// other machines.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that an idle sender waits for a notification before it checks for due calls again.
const IDLE_WAIT: Duration = Duration::from_secs(60);

const OK: u16 = 200;
/// The worker refuses the commands because of their fencing token or agent epoch.
const CONFLICT: u16 = 409;

impl Controller {
    /// Sends commands to workers in direct calls. Several threads run this loop.
    pub fn command_sender_loop(&self) {
        loop {
            let Some(call) = self.next_call_or_wait() else {
                continue;
            };
            let result = self.call_worker(&call);
            self.apply_call_result(&call, result);
        }
    }

    /// Returns the next due call. If none is due, waits for a notification and returns `None`.
    fn next_call_or_wait(&self) -> Option<DirectCall> {
        let mut state = self.state();
        let now = self.now();
        let acting = state.acting_leader(now);
        let call = acting.and_then(|(_, scheduler)| scheduler.next_direct_call(now));
        if call.is_none() {
            let observed = self.commands_due.prepare_wait();
            drop(state);
            self.commands_due.wait(observed, IDLE_WAIT);
            return None;
        }
        let acting = state.acting_leader(now);
        if acting.is_some_and(|(_, scheduler)| !scheduler.commands.due.is_empty()) {
            // Wake another sender for the next call.
            self.commands_due.notify_one();
        }
        call
    }

    /// Applies a call's result to the state of the term that created the call, even if this controller's leader
    /// lease may have expired since: the delivery status of the start commands must not be lost.
    fn apply_call_result(&self, call: &DirectCall, result: DirectResult) {
        let mut state = self.state();
        let now = self.now();
        let scheduler = state.scheduler.as_mut();
        if let Some(scheduler) = scheduler.filter(|scheduler| scheduler.term == call.term) {
            scheduler.direct_call_finished(call, result, now);
            self.wake_loops(scheduler);
        }
    }

    fn call_worker(&self, call: &DirectCall) -> DirectResult {
        let Ok(addr) = call.addr.parse::<SocketAddr>() else {
            return DirectResult::NotSent;
        };
        let open_connections = self.server_metrics.open_connections.load(Ordering::Relaxed);
        let max_clients = self
            .settings
            .settings
            .quota
            .max_worker_connections(open_connections);
        let client = self.workers.get(&*self.os, addr, max_clients);
        let body = encode(&DirectCommands {
            fencing_token: call.fencing_token,
            agent_epoch: call.agent_epoch,
            commands: &call.commands,
        });
        let timeout = if call.probe {
            PROBE_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        match client.call("POST", "/commands", &body, timeout) {
            Ok(ClientResponse {
                status: OK | CONFLICT,
                body,
            }) => read_answer(call, &body),
            Ok(ClientResponse { status, .. }) => {
                log::info!(machine = call.machine, status = status; "direct call answered with an unexpected status");
                DirectResult::OutcomeUnknown
            }
            Err(error) => {
                log::debug!(machine = call.machine, reason:% = error; "direct call failed");
                match error {
                    CallError::NotSent { .. } => DirectResult::NotSent,
                    CallError::Unreachable { .. } => DirectResult::Unreachable,
                    CallError::OutcomeUnknown { .. } => DirectResult::OutcomeUnknown,
                }
            }
        }
    }
}

/// Decodes the worker's report in the answer to a direct call.
fn read_answer(call: &DirectCall, body: &[u8]) -> DirectResult {
    match decode(body) {
        Ok(report) => DirectResult::Answered(report),
        Err(error) => {
            log::info!(machine = call.machine, reason:% = error; "malformed answer to a direct call");
            DirectResult::OutcomeUnknown
        }
    }
}
