//! Simulated users, who submit, query and cancel jobs at any node and repeat requests that fail.

use crate::checker::{Answer, JobPlan, RequestKind};
use crate::scheduler::{Time, lock, secs};
use crate::simulation::Simulation;
use crate::user_job::{UserJob, malformed_submission_body, submission_body};
use aspenreel::http::cbor::decode;
use aspenreel::http::server::{Request, Response};
use serde::Deserialize;
use std::sync::{Arc, Mutex};

/// Timeout of a status request.
const STATUS_TIMEOUT: Time = 2_000_000;

/// Timeout of a submission or cancellation.
const CHANGE_TIMEOUT: Time = 5_000_000;

/// Mean time between two status requests of a user.
const POLL_INTERVAL: Time = 5_000_000;

/// Delay before a submission or cancellation without an answer, or with an inconclusive one, is repeated.
const RETRY_DELAY: Time = 1_000_000;

/// Time after which a user gives up repeating a submission or cancellation, in seconds.
const MAX_RETRY_S: f64 = 60.0;

impl Simulation {
    /// Sends a user's request to one node. The checker and `then` get the answer, or learn of the timeout if no
    /// answer arrives before it.
    pub fn send_request(
        self: &Arc<Self>,
        id: &str,
        kind: RequestKind,
        node: usize,
        then: impl FnOnce(&Arc<Simulation>, Option<Answer>) + Send + 'static,
    ) {
        let sent = self.now();
        let plan = self.state().users.get(id).map(|u| u.plan.clone());
        let request = request_of(id, kind, plan.as_ref());
        if kind == RequestKind::Cancel {
            self.state().checker.cancel_requested(id);
        }
        let timeout = match kind {
            RequestKind::Status => STATUS_TIMEOUT,
            _ => CHANGE_TIMEOUT,
        };
        // `then` is called once, by the answer or by the timeout, whichever comes first.
        let then = Arc::new(Mutex::new(Some(then)));
        let (on_answer, id) = (then.clone(), id.to_string());
        let timed_out_id = id.clone();
        self.call_node(node, request, move |sim, response| {
            let Some(then) = lock(&on_answer).take() else {
                return;
            };
            let answer = sim.record_response(&id, kind, node, sent, response);
            then(sim, answer);
        });
        self.after(timeout, move |sim| {
            if let Some(then) = lock(&then).take() {
                let answer = sim.record_response(&timed_out_id, kind, node, sent, None);
                then(sim, answer);
            }
        });
    }

    /// Reports a response, or that there is none, to the checker. Panics on a 503 response without `Retry-After`.
    fn record_response(
        &self,
        id: &str,
        kind: RequestKind,
        node: usize,
        sent: Time,
        response: Option<Response>,
    ) -> Option<Answer> {
        #[derive(Deserialize)]
        struct StatusBody {
            status: String,
        }
        let got = self.now();
        let mut state = self.state();
        let Some(response) = response else {
            state.checker.unanswered(id, kind, sent, got);
            return None;
        };
        let body: Option<StatusBody> = decode(&response.body).ok();
        let answer = Answer {
            kind,
            node,
            sent,
            got,
            status: response.status,
            state: body
                .filter(|_| response.status < 300)
                .map(|body| body.status),
        };
        if response.status == 503 {
            assert!(
                response.retry_after_s.is_some(),
                "node {node}: {kind:?} request for {id} answered with 503 without Retry-After"
            );
            state.checker.unanswered(id, kind, sent, got);
        }
        state.checker.answered(id, &answer);
        Some(answer)
    }

    /// Draws one of the running nodes, as a load balancer would; node 0 if none is running.
    pub fn random_running_node(&self) -> usize {
        let mut state = self.state();
        let up: Vec<usize> = (0..state.nodes.len())
            .filter(|n| state.nodes[*n].process.is_some())
            .collect();
        match up.len() {
            0 => 0,
            len => up[state.rng.usize(0..len)],
        }
    }

    /// Submits a job as a user does: repeats the submission until the job is accepted or refused, but no longer than
    /// `MAX_RETRY_S` seconds.
    pub fn user_submits(self: &Arc<Self>, plan: JobPlan) {
        let id = plan.id.clone();
        self.state().checker.submitted(&plan);
        self.insert_user(plan);
        self.try_submit(&id);
    }

    /// Adds the user of this job, unless there is one already.
    pub fn insert_user(&self, plan: JobPlan) {
        let id = plan.id.clone();
        let job = UserJob {
            plan,
            first_submitted_at: self.now(),
            polls: false,
            queries_all_nodes: false,
            cancels_at_end: false,
            cancels: false,
        };
        self.state().users.entry(id).or_insert(job);
    }

    /// Sends a submission to a random node and schedules what follows from the answer.
    pub(crate) fn try_submit(self: &Arc<Self>, id: &str) {
        let (id, node) = (id.to_string(), self.random_running_node());
        self.send_request(
            &id.clone(),
            RequestKind::Submit,
            node,
            move |sim, answer| {
                match answer.map(|a| a.status) {
                    Some(200 | 201) => {
                        sim.query_all_nodes_if_enabled(&id);
                        sim.begin_polls(&id);
                    }
                    Some(400 | 422) => {}
                    _ => {
                        let first_submitted_at = sim.state().users[&id].first_submitted_at;
                        if sim.now() - first_submitted_at < secs(MAX_RETRY_S) {
                            sim.after(RETRY_DELAY, move |sim| sim.try_submit(&id));
                        } else {
                            // The user gives up, but the job may have been accepted nevertheless.
                            sim.begin_polls(&id);
                        }
                    }
                }
            },
        );
    }

    /// Starts the periodic status requests of a job's user, unless they have started already.
    pub(crate) fn begin_polls(self: &Arc<Self>, id: &str) {
        let is_first = {
            let mut state = self.state();
            let job = state.users.get_mut(id);
            job.is_some_and(|j| !std::mem::replace(&mut j.polls, true))
        };
        if is_first {
            let (id, wait) = (
                id.to_string(),
                self.random(POLL_INTERVAL / 2..POLL_INTERVAL),
            );
            self.after(wait, move |sim| sim.poll(&id));
        }
    }

    /// Sends a status request to a random node, and schedules the next one unless the job has ended, or is unknown and
    /// was never accepted.
    pub(crate) fn poll(self: &Arc<Self>, id: &str) {
        let (id, node) = (id.to_string(), self.random_running_node());
        self.send_request(
            &id.clone(),
            RequestKind::Status,
            node,
            move |sim, answer| {
                let ended = |a: &Answer| matches!(a.state.as_deref(), Some("done" | "cancelled"));
                if answer.as_ref().is_some_and(ended) {
                    return sim.query_all_nodes_if_enabled(&id);
                }
                let is_unknown = answer.is_some_and(|a| a.status == 404);
                if !is_unknown || sim.state().checker.is_accepted(&id) {
                    let wait = sim.random(POLL_INTERVAL * 3 / 4..POLL_INTERVAL * 5 / 4);
                    sim.after(wait, move |sim| sim.poll(&id));
                }
            },
        );
    }

    /// Cancels a job as its user does: repeats the cancellation until the answer is 200 or 404, but no longer than
    /// `MAX_RETRY_S` seconds.
    pub fn user_cancels(self: &Arc<Self>, id: &str) {
        let is_first = {
            let mut state = self.state();
            let job = state.users.get_mut(id);
            job.is_some_and(|j| !std::mem::replace(&mut j.cancels, true))
        };
        if is_first {
            self.try_cancel(id, self.now());
        }
    }

    /// Sends a cancellation to a random node, and schedules the next attempt unless the answer is 200 or 404.
    pub(crate) fn try_cancel(self: &Arc<Self>, id: &str, since: Time) {
        let (id, node) = (id.to_string(), self.random_running_node());
        self.send_request(
            &id.clone(),
            RequestKind::Cancel,
            node,
            move |sim, answer| match answer.map(|a| a.status) {
                Some(200) => sim.query_all_nodes_if_enabled(&id),
                Some(404) => {}
                _ if sim.now() - since < secs(MAX_RETRY_S) => {
                    sim.after(RETRY_DELAY, move |sim| sim.try_cancel(&id, since));
                }
                _ => {}
            },
        );
    }

    /// Changes the behavior of a job's user, if there is one.
    pub fn change_user(&self, id: &str, change: impl Fn(&mut UserJob)) {
        if let Some(job) = self.state().users.get_mut(id) {
            change(job);
        }
    }

    /// Queries all nodes if the job's user has [`UserJob::queries_all_nodes`] set.
    pub fn query_all_nodes_if_enabled(self: &Arc<Self>, id: &str) {
        if !self
            .state()
            .users
            .get(id)
            .is_some_and(|j| j.queries_all_nodes)
        {
            return;
        }
        self.query_all_nodes(id);
    }

    /// Sends a status request, a repeated submission and a malformed submission to each node, all within 12 ms.
    pub fn query_all_nodes(self: &Arc<Self>, id: &str) {
        for node in 0..self.setup.nodes {
            for kind in [
                RequestKind::Status,
                RequestKind::Submit,
                RequestKind::MalformedSubmit,
            ] {
                let (wait, id) = (self.random(0..12_000), id.to_string());
                self.after(wait, move |sim| {
                    sim.send_request(&id, kind, node, |_, _| ())
                });
            }
        }
    }

    /// Schedules the requests that a user sends at the end of the job. Called after each success of one of its tasks;
    /// does nothing until all of them are done.
    pub fn after_task_done(self: &Arc<Self>, id: &str) {
        let (queries, cancels, is_last) = {
            let state = self.state();
            let Some(job) = state.users.get(id) else {
                return;
            };
            let is_last = state.checker.all_done(id);
            (job.queries_all_nodes, job.cancels_at_end, is_last)
        };
        if cancels && is_last {
            let (id, wait) = (id.to_string(), self.random(0..400_000));
            self.after(wait, move |sim| sim.user_cancels(&id));
        }
        if queries && is_last {
            // Requests arrive when the last task ends and while the outcome is being recorded.
            for k in 0..12 {
                let id = id.to_string();
                self.after(k * 40_000, move |sim| sim.query_all_nodes(&id));
            }
        }
    }
}

/// HTTP request for a user's request of this kind.
fn request_of(id: &str, kind: RequestKind, plan: Option<&JobPlan>) -> Request {
    let (method, path, body) = match (kind, plan) {
        (RequestKind::Submit, Some(plan)) => ("POST", "/work".to_string(), submission_body(plan)),
        (RequestKind::MalformedSubmit, Some(plan)) => {
            ("POST", "/work".to_string(), malformed_submission_body(plan))
        }
        (RequestKind::Cancel, _) => ("POST", format!("/work/{id}/withdraw"), Vec::new()),
        _ => ("GET", format!("/work/{id}"), Vec::new()),
    };
    Request {
        method: method.into(),
        path,
        body,
    }
}
