//! What the plans of many tests share: jobs, and users that look closely or cancel.

use crate::checker::{Answer, JobPlan};
use crate::setup::Setup;
use crate::simulation::Simulation;
use std::sync::Arc;

/// How many seeds most tests run with.
pub const SEEDS: u64 = 8;

/// The usual cluster.
pub fn setup() -> Setup {
    Setup::default()
}

/// Jobs that come evenly from one second to another; their names.
pub fn jobs(
    sim: &Arc<Simulation>,
    from: f64,
    to: f64,
    count: u32,
    plan: impl Fn(u32, &mut JobPlan),
) -> Vec<String> {
    let every = (to - from) / f64::from(count);
    let one = |i: u32| {
        let mut p = JobPlan::new(i, 1 + i % 3, 2.0, 12.0);
        plan(i, &mut p);
        let id = p.id.clone();
        sim.submit(from + every * f64::from(i), p);
        id
    };
    (0..count).map(one).collect()
}

/// The users of these jobs ask at all nodes at once whenever something becomes known.
pub fn query_all_nodes_on_updates(sim: &Arc<Simulation>, ids: &[String]) {
    for id in ids {
        let id = id.clone();
        // Their submissions create them; until then there is nobody to change.
        sim.at(3.0, move |sim| enable_queries_to_all_nodes(sim, id));
    }
}

fn enable_queries_to_all_nodes(sim: &Arc<Simulation>, id: String) {
    let known = sim.state().users.contains_key(&id);
    sim.change_user(&id, |u| u.queries_all_nodes = true);
    if !known {
        sim.after(50_000, move |sim| enable_queries_to_all_nodes(sim, id));
    }
}

/// Cancels each of these jobs at a time that is drawn from this range, in seconds.
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

/// One in so many of these.
pub fn every_nth(ids: &[String], of: usize) -> Vec<String> {
    ids.iter().step_by(of).cloned().collect()
}

/// One in so many of these.
pub fn every_nth_of(names: Vec<String>, of: usize) -> Vec<String> {
    names.into_iter().step_by(of).collect()
}

/// Cancels each job some time after it was accepted.
pub fn cancel_after_acceptance(
    sim: &Arc<Simulation>,
    ids: &[String],
    most_s: f64,
    rng: &mut fastrand::Rng,
) {
    for id in ids {
        let id = id.clone();
        let wait = (rng.f64() * most_s * 1e6) as u64;
        sim.at(3.0, move |sim| cancel_once_known(sim, id, wait));
    }
}

fn cancel_once_known(sim: &Arc<Simulation>, id: String, wait: u64) {
    match sim.state().checker.is_accepted(&id) {
        true => sim.after(wait, move |sim| sim.user_cancels(&id)),
        false => sim.after(20_000, move |sim| cancel_once_known(sim, id, wait)),
    }
}

/// Notes a broken rule unless the answer has this status, and this state if one is given.
pub fn expect_answer(
    sim: &Arc<Simulation>,
    answer: Option<Answer>,
    status: u16,
    state: Option<&str>,
) {
    let (answer, text) = match answer {
        Some(t) => (Some((t.status, t.state.clone())), format!("{t:?}")),
        None => (None, "no answer".into()),
    };
    let as_wanted = answer.is_some_and(|(s, found)| {
        // The job that goes on may be told as running or queued.
        s == status && (state.is_none_or(|s| s == "queued" || found.as_deref() == Some(s)))
    });
    if !as_wanted {
        let line = format!("wanted {status} {state:?}, got {text}");
        sim.state().checker.violations.push(line);
    }
}
