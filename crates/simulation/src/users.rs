//! Users: they submit, ask, cancel and repeat themselves, at any node.

use crate::checker::{JobPlan, Question, Told};
use crate::sched::{Time, secs};
use crate::world::World;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::Request;
use ciborium::cbor;
use serde::Deserialize;
use std::sync::Arc;

const ASK_TIME: Time = 2_000_000;
const SUBMIT_TIME: Time = 5_000_000;
const POLL: Time = 5_000_000;
const RETRY: Time = 1_000_000;
const RETRIES_FOR_S: f64 = 60.0;

#[derive(Debug)]
pub struct UserJob {
    pub plan: JobPlan,
    first_try: Time,
    polls: bool,
    /// Asks at all nodes at once whenever something becomes known.
    pub close_looks: bool,
    /// Calls the job off at the moment in which its last task ends.
    pub cancels_at_end: bool,
    cancels: bool,
}

/// The submission as it stands on the wire.
pub fn body_of(p: &JobPlan) -> Vec<u8> {
    let wire = cbor!({
        "ref" => &p.id, "lane" => "train", "crew" => &p.team,
        "shape" => if p.standing { "standing" } else { "array" },
        "rank" => p.rank, "pieces" => p.tasks, "cpus" => p.cpus, "gpus" => 0.0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "yard" => p.zone.clone(),
        "samePlace" => p.one_zone, "spread" => p.spread, "loaners" => p.spot,
        "guessS" => if p.standing { 0.0 } else { p.run_s }, "bookmarkS" => if p.save_s > 0.0 { 5.0 } else { 0.0 },
        "stashS" => p.save_s
    });
    encode(&wire.unwrap())
}

/// A body with the job's name that lacks a field.
fn bad_body_of(p: &JobPlan) -> Vec<u8> {
    encode(&cbor!({"ref" => &p.id, "crew" => &p.team, "pieces" => "many"}).unwrap())
}

impl World {
    /// Asks one node; whatever comes in time is told to the checker and to `then`.
    pub fn question(
        self: &Arc<Self>,
        id: &str,
        question: Question,
        n: usize,
        then: impl FnOnce(&Arc<World>, Option<Told>) + Send + 'static,
    ) {
        let sent = self.now();
        let plan = self.state().users.get(id).map(|u| u.plan.clone());
        let (method, path, body) = match (question, plan) {
            (Question::Submit, Some(p)) => ("POST", "/work".to_string(), body_of(&p)),
            (Question::BadSubmit, Some(p)) => ("POST", "/work".to_string(), bad_body_of(&p)),
            (Question::Cancel, _) => ("POST", format!("/work/{id}/withdraw"), Vec::new()),
            _ => ("GET", format!("/work/{id}"), Vec::new()),
        };
        if question == Question::Cancel {
            self.state().checker.asks_cancel(id);
        }
        let request = Request {
            method: method.into(),
            path,
            body,
        };
        let patience = match question {
            Question::Status => ASK_TIME,
            _ => SUBMIT_TIME,
        };
        // Whichever comes first: an answer, or the end of patience.
        let then = Arc::new(std::sync::Mutex::new(Some(then)));
        let (first, id) = (then.clone(), id.to_string());
        let late = id.clone();
        self.ask_node(n, request, move |w, response| {
            let Some(then) = crate::sched::lock(&first).take() else {
                return;
            };
            let Some(response) = response else {
                w.state().checker.in_vain(&id, question, sent, w.now());
                return then(w, None);
            };
            #[derive(Deserialize)]
            struct Answer {
                status: String,
            }
            let answer: Option<Answer> = decode(&response.body).ok();
            let told = Told {
                question,
                node: n,
                sent,
                got: w.now(),
                status: response.status,
                state: answer.filter(|_| response.status < 300).map(|a| a.status),
            };
            {
                let mut state = w.state();
                if response.status == 503 {
                    assert!(response.retry_after_s.is_some(), "503 without Retry-After");
                    state.checker.in_vain(&id, question, sent, told.got);
                }
                state.checker.told(&id, &told);
            }
            then(w, Some(told));
        });
        self.after(patience, move |w| {
            if let Some(then) = crate::sched::lock(&then).take() {
                w.state().checker.in_vain(&late, question, sent, w.now());
                then(w, None);
            }
        });
    }

    /// The load balancer: any node that is up.
    pub fn any_node(&self) -> usize {
        let mut state = self.state();
        let up: Vec<usize> = (0..state.nodes.len())
            .filter(|n| state.nodes[*n].process.is_some())
            .collect();
        match up.len() {
            0 => 0,
            len => up[state.rng.usize(0..len)],
        }
    }

    pub fn user_submits(self: &Arc<Self>, plan: JobPlan) {
        let id = plan.id.clone();
        self.state().checker.submitted(&plan);
        self.insert_user(plan);
        self.try_submit(&id);
    }

    pub fn insert_user(&self, plan: JobPlan) {
        let id = plan.id.clone();
        let job = UserJob {
            plan,
            first_try: self.now(),
            polls: false,
            close_looks: false,
            cancels_at_end: false,
            cancels: false,
        };
        self.state().users.entry(id).or_insert(job);
    }

    fn try_submit(self: &Arc<Self>, id: &str) {
        let (id, n) = (id.to_string(), self.any_node());
        self.question(&id.clone(), Question::Submit, n, move |w, told| {
            match told.map(|t| t.status) {
                Some(200 | 201) => {
                    w.look_closely(&id);
                    w.begin_polls(&id);
                }
                Some(400 | 422) => {}
                _ => {
                    let first = w.state().users[&id].first_try;
                    if w.now() - first < secs(RETRIES_FOR_S) {
                        w.after(RETRY, move |w| w.try_submit(&id));
                    } else {
                        // Given up, but it may have been accepted all the same.
                        w.begin_polls(&id);
                    }
                }
            }
        });
    }

    fn begin_polls(self: &Arc<Self>, id: &str) {
        let fresh = {
            let mut state = self.state();
            let job = state.users.get_mut(id);
            job.is_some_and(|j| !std::mem::replace(&mut j.polls, true))
        };
        if fresh {
            let (id, wait) = (id.to_string(), self.random(POLL / 2..POLL));
            self.after(wait, move |w| w.poll(&id));
        }
    }

    fn poll(self: &Arc<Self>, id: &str) {
        let (id, n) = (id.to_string(), self.any_node());
        self.question(&id.clone(), Question::Status, n, move |w, told| {
            let ended = |t: &Told| matches!(t.state.as_deref(), Some("done" | "cancelled"));
            if told.as_ref().is_some_and(ended) {
                return w.look_closely(&id);
            }
            let unknown = told.is_some_and(|t| t.status == 404);
            if !unknown || w.state().checker.is_accepted(&id) {
                let wait = w.random(POLL * 3 / 4..POLL * 5 / 4);
                w.after(wait, move |w| w.poll(&id));
            }
        });
    }

    /// Cancels, again and again until that is answered.
    pub fn user_cancels(self: &Arc<Self>, id: &str) {
        let first = {
            let mut state = self.state();
            let job = state.users.get_mut(id);
            job.is_some_and(|j| !std::mem::replace(&mut j.cancels, true))
        };
        if first {
            self.try_cancel(id, self.now());
        }
    }

    fn try_cancel(self: &Arc<Self>, id: &str, since: Time) {
        let (id, n) = (id.to_string(), self.any_node());
        self.question(
            &id.clone(),
            Question::Cancel,
            n,
            move |w, told| match told.map(|t| t.status) {
                Some(200) => w.look_closely(&id),
                Some(404) => {}
                _ if w.now() - since < secs(RETRIES_FOR_S) => {
                    w.after(RETRY, move |w| w.try_cancel(&id, since));
                }
                _ => {}
            },
        );
    }

    pub fn change_user(&self, id: &str, change: impl Fn(&mut UserJob)) {
        if let Some(job) = self.state().users.get_mut(id) {
            change(job);
        }
    }

    /// All nodes are asked within milliseconds, for the status and by repeated submissions, good
    /// and bad ones.
    pub fn look_closely(self: &Arc<Self>, id: &str) {
        if !self.state().users.get(id).is_some_and(|j| j.close_looks) {
            return;
        }
        self.ask_everywhere(id);
    }

    pub fn ask_everywhere(self: &Arc<Self>, id: &str) {
        for n in 0..self.setup.nodes {
            for question in [Question::Status, Question::Submit, Question::BadSubmit] {
                let (wait, id) = (self.random(0..12_000), id.to_string());
                self.after(wait, move |w| w.question(&id, question, n, |_, _| ()));
            }
        }
    }

    /// A task of the job ended well.
    pub fn task_ended(self: &Arc<Self>, id: &str) {
        let (looks, cancels, last) = {
            let state = self.state();
            let Some(job) = state.users.get(id) else {
                return;
            };
            let last = state.checker.all_done(id);
            (job.close_looks, job.cancels_at_end, last)
        };
        if cancels && last {
            let (id, wait) = (id.to_string(), self.random(0..400_000));
            self.after(wait, move |w| w.user_cancels(&id));
        }
        if looks && last {
            // At the moment of the end, and while it is being recorded.
            for k in 0..12 {
                let id = id.to_string();
                self.after(k * 40_000, move |w| w.ask_everywhere(&id));
            }
        }
    }
}
