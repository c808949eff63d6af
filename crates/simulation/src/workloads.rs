//! Workloads shared by many tests: jobs, users that cancel them, and users that query all nodes at once.

use crate::checker::{Answer, JobPlan};
use crate::setup::Setup;
use crate::simulation::Simulation;
use std::sync::Arc;

/// Number of seeds with which most tests run.
pub const SEEDS: u64 = 8;

/// Default cluster.
pub fn setup() -> Setup {
    Setup::default()
}

/// Schedules submissions of `count` jobs, evenly spaced between the seconds `from` and `to`; returns their ids.
pub fn jobs(
    sim: &Arc<Simulation>,
    from: f64,
    to: f64,
    count: u32,
    plan: impl Fn(u32, &mut JobPlan),
) -> Vec<String> {
    let interval = (to - from) / f64::from(count);
    let submit_one = |i: u32| {
        let mut p = JobPlan::new(i, 1 + i % 3, 2.0, 12.0);
        plan(i, &mut p);
        let id = p.id.clone();
        sim.submit(from + interval * f64::from(i), p);
        id
    };
    (0..count).map(submit_one).collect()
}

/// Makes the users of these jobs query all nodes at once whenever the job is accepted or its end becomes known.
pub fn query_all_nodes_on_updates(sim: &Arc<Simulation>, ids: &[String]) {
    for id in ids {
        let id = id.clone();
        // A user exists only from the submission of the job on.
        sim.at(3.0, move |sim| enable_queries_to_all_nodes(sim, id));
    }
}

/// Sets `queries_all_nodes` for the user of a job, as soon as there is one.
fn enable_queries_to_all_nodes(sim: &Arc<Simulation>, id: String) {
    let exists = sim.state().users.contains_key(&id);
    sim.change_user(&id, |u| u.queries_all_nodes = true);
    if !exists {
        sim.after(50_000, move |sim| enable_queries_to_all_nodes(sim, id));
    }
}

/// Cancels each of these jobs at a random time between the seconds `from` and `to`.
pub fn cancel_each(
    sim: &Arc<Simulation>,
    ids: &[String],
    from: f64,
    to: f64,
    rng: &mut fastrand::Rng,
) {
    for id in ids {
        let id = id.clone();
        let at = from + rng.f64() * (to - from);
        sim.at(at, move |sim| sim.user_cancels(&id));
    }
}

/// Copies of the first id and of every `n`th id after it.
pub fn every_nth(ids: &[String], n: usize) -> Vec<String> {
    ids.iter().step_by(n).cloned().collect()
}

/// The first name and every `n`th name after it.
pub fn every_nth_of(names: Vec<String>, n: usize) -> Vec<String> {
    names.into_iter().step_by(n).collect()
}

/// Cancels each job up to `max_delay_s` seconds after its acceptance became known to a user.
pub fn cancel_after_acceptance(
    sim: &Arc<Simulation>,
    ids: &[String],
    max_delay_s: f64,
    rng: &mut fastrand::Rng,
) {
    for id in ids {
        let id = id.clone();
        let wait = (rng.f64() * max_delay_s * 1e6) as u64;
        sim.at(3.0, move |sim| cancel_once_known(sim, id, wait));
    }
}

/// Cancels a job `wait` microseconds after its acceptance is known to a user; checks for that every 20 ms.
fn cancel_once_known(sim: &Arc<Simulation>, id: String, wait: u64) {
    match sim.state().checker.is_accepted(&id) {
        true => sim.after(wait, move |sim| sim.user_cancels(&id)),
        false => sim.after(20_000, move |sim| cancel_once_known(sim, id, wait)),
    }
}

/// Records a violation unless the answer has this HTTP status and, if one is given, this job state.
pub fn expect_answer(
    sim: &Arc<Simulation>,
    answer: Option<Answer>,
    status: u16,
    state: Option<&str>,
) {
    let (answer, text) = match answer {
        Some(a) => (Some((a.status, a.state.clone())), format!("{a:?}")),
        None => (None, "no answer".into()),
    };
    let is_expected = answer.is_some_and(|(answered, found)| {
        // A job that goes on may be reported as running or queued, so `queued` allows any state.
        answered == status && (state.is_none_or(|s| s == "queued" || found.as_deref() == Some(s)))
    });
    if !is_expected {
        let line =
            format!("unexpected answer: expected status {status} and state {state:?}, got {text}");
        sim.state().checker.violations.push(line);
    }
}
