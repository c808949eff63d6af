//! Orders that go straight to a worker's address: which may, and what their answers prove.

use super::delivery::{OrderInDoubt, StartDelivery};
use super::order_log::{OrderPath, Recipient, note_orders, note_result};
use super::orders::MAX_ORDERS;
use super::wire::{Order, Report, TaskStatus, Verb};
use super::{Attempt, AttemptKey, DesiredState};
use crate::cluster::Cluster;
use crate::time::{Micros, Moment};

/// Direct calls that may be under way at once, but for those that have waited so long that the
/// machine must be silent. An answer takes milliseconds; more at once only queue for the processor,
/// and everything else with them.
const CALLS_AT_ONCE: usize = 4;
const SILENT_AFTER: Micros = Micros::from_millis(200);

/// Orders for one machine that go straight to its address.
#[derive(Debug)]
pub struct DirectCall {
    pub machine: String,
    pub addr: String,
    /// The term of the leader that decided on it.
    pub term: u64,
    pub token: u64,
    pub session: u64,
    pub orders: Vec<Order>,
    starts: Vec<AttemptKey>,
    began: Moment,
    /// Only asks whether orders reach the machine.
    pub probe: bool,
}

/// How a direct call ended.
#[derive(Debug)]
pub enum DirectResult {
    /// Executed, or surely refused: the worker's report after it.
    Report(Report),
    /// Never sent, for want of a socket here.
    Unsent,
    /// Never sent: no connection to the machine came about.
    Unreached,
    Unknown,
}

impl Cluster {
    /// The next machine with orders that need not wait for its heartbeat.
    pub fn next_direct(&mut self, now: Moment) -> Option<DirectCall> {
        let prompt = |t: &&Moment| now - **t < SILENT_AFTER;
        if self.behind || self.calls.iter().filter(prompt).count() >= CALLS_AT_ONCE {
            return None;
        }
        while let Some(name) = self.direct_due.pop_first() {
            if let Some(call) = self.direct_call(&name, now) {
                let to = Recipient {
                    machine: &call.machine,
                    session: call.session,
                    token: call.token,
                };
                note_orders(OrderPath::Direct, &to, &call.orders);
                self.calls.push(call.began);
                return Some(call);
            }
        }
        None
    }

    fn direct_call(&mut self, name: &str, now: Moment) -> Option<DirectCall> {
        let report = self.config.report;
        let (term, token) = (self.term, self.token_for(name));
        let machine = self.machines.get_mut(name)?;
        let heard = machine
            .last_report
            .is_some_and(|t| now - t < report.scaled(2.0));
        if machine.calling || machine.lost || !heard {
            return None;
        }
        // Stops go to whoever answers; starts only where the lease is known to last.
        let starts_here = machine.is_alive(report, now);
        if let Some(suspicion) = &mut machine.suspicion {
            if !suspicion.may_probe(now) {
                return None;
            }
            suspicion.note_probe(now);
            machine.calling = true;
            return Some(DirectCall {
                machine: name.to_string(),
                addr: machine.addr.clone(),
                term,
                token,
                session: machine.session,
                orders: Vec::new(),
                starts: Vec::new(),
                began: now,
                probe: true,
            });
        }
        if !machine.counted_in {
            return None;
        }
        let mut orders = Vec::new();
        let mut starts = Vec::new();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.0) else {
                continue;
            };
            let verb = match (attempt.status, attempt.desired) {
                (None, DesiredState::Run)
                    if key.1 < job.claimed
                        && machine.recorded
                        && starts_here
                        && attempt.sent.is_none()
                        && !attempt.delivery.may_arrive()
                        && !job.is_closed() =>
                {
                    Verb::Run
                }
                (Some(status), DesiredState::Stop { .. })
                    if status != TaskStatus::Exited && attempt.stop_sent.is_none() =>
                {
                    Verb::Stop
                }
                _ => continue,
            };
            let leeway_s = match attempt.desired {
                DesiredState::Stop { leeway } => Some(leeway.as_secs_f64()),
                DesiredState::Run => None,
            };
            orders.push(Order {
                verb,
                piece: format!("{}/{}", job.spec.id, key.1),
                attempt: key.2,
                leeway_s,
            });
            if verb == Verb::Run {
                attempt.delivery = StartDelivery::InFlight;
                starts.push(*key);
            } else {
                attempt.stop_sent = Some(now);
            }
            if orders.len() >= MAX_ORDERS {
                break;
            }
        }
        if orders.is_empty() {
            return None;
        }
        // Stops go first: they make the room that the starts need.
        orders.sort_by_key(|o| o.verb == Verb::Run);
        machine.calling = true;
        Some(DirectCall {
            machine: name.to_string(),
            addr: machine.addr.clone(),
            term,
            token,
            session: machine.session,
            orders,
            starts,
            began: now,
            probe: false,
        })
    }

    /// Starts that never left, on a machine that isn't reached: they go elsewhere at once instead
    /// of when its lease is over. A connection attempt that was given up never completes.
    fn drop_unsent(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let unsent = |a: &Attempt| {
            a.status.is_none() && a.sent.is_none() && !a.delivery.may_arrive() && a.bound
        };
        let keys: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, a)| unsent(a))
            .map(|(k, _)| *k)
            .collect();
        machine.rooms.set(None);
        for key in keys {
            machine.attempts.remove(&key);
            if let Some(job) = self.jobs.table.get_mut(&key.0) {
                job.unbind(key.1);
            }
            self.dirty = true;
        }
    }

    /// Settles a direct call. It renews no lease.
    pub fn direct_done(&mut self, call: &DirectCall, result: DirectResult, now: Moment) {
        if let Some(at) = self.calls.iter().position(|t| *t == call.began) {
            self.calls.swap_remove(at);
        }
        note_result(call, &result, (now - call.began).as_secs_f64());
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return;
        };
        machine.calling = false;
        let delivery = match result {
            DirectResult::Unknown => {
                let order = OrderInDoubt {
                    token: call.token,
                    since: call.began,
                };
                StartDelivery::unanswered(order, machine.seen_token)
            }
            _ => StartDelivery::Settled,
        };
        let lost = matches!(result, DirectResult::Unknown | DirectResult::Unreached);
        match &result {
            _ if lost && !machine.lost && !call.probe => machine.note_loss(now),
            // Only what reached it can have been answered.
            DirectResult::Report(r)
                if r.machine == call.machine
                    && r.session == call.session
                    && r.session == machine.session =>
            {
                self.dirty |= machine.suspicion.take().is_some();
            }
            _ => {}
        }
        for key in &call.starts {
            if let Some(attempt) = machine.attempts.get_mut(key) {
                attempt.delivery = delivery;
            }
        }
        let answered = matches!(result, DirectResult::Report(_));
        if let DirectResult::Report(report) = result
            && report.machine == call.machine
            && report.token <= self.fencing.newest()
            && !machine.lost
            && (report.session, report.tick) > (machine.session, machine.tick)
        {
            self.take_in(&report, false, now);
            self.place_soon(now);
        }
        self.note_delivery(call, delivery, now);
        if lost {
            self.drop_unsent(&call.machine);
        } else if answered && !call.probe {
            // What was decided meanwhile waits for the next call. Without an answer it waits for
            // a heartbeat: a machine that refuses connections would be called without end.
            self.direct_due.insert(call.machine.clone());
        }
    }

    /// Keeps count of starts without an answer, and notes where they are in doubt.
    fn note_delivery(&mut self, call: &DirectCall, delivery: StartDelivery, now: Moment) {
        if call.starts.is_empty() {
            return;
        }
        self.fencing.counters.calls += 1;
        if !delivery.may_arrive() {
            return;
        }
        self.fencing.counters.doubts += call.starts.len() as u64;
        self.fencing.note_doubt(&call.machine, call.token);
        // A higher token is written by the loop that writes records.
        self.urgent_rounds = true;
        for (_, task, attempt) in &call.starts {
            log::debug!(
                "start in doubt: machine={} session={} token={} task={task} attempt={attempt} waited_s={:.3}",
                call.machine,
                call.session,
                call.token,
                (now - call.began).as_secs_f64()
            );
        }
    }
}
