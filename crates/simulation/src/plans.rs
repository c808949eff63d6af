//! What the plans of many tests share: jobs, and users that look closely or cancel.

use crate::checker::{JobPlan, Told};
use crate::world::{Setup, World};
use std::sync::Arc;

pub const SEEDS: u64 = 8;

pub fn setup() -> Setup {
    Setup::default()
}

/// Jobs that come evenly from one second to another; their names.
pub fn jobs(
    w: &Arc<World>,
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
        w.submit(from + every * f64::from(i), p);
        id
    };
    (0..count).map(one).collect()
}

/// The users of these jobs ask at all nodes at once whenever something becomes known.
pub fn look_closely(w: &Arc<World>, ids: &[String]) {
    for id in ids {
        let id = id.clone();
        // Their submissions create them; until then there is nobody to change.
        w.at(3.0, move |w| watch_closely(w, id));
    }
}

fn watch_closely(w: &Arc<World>, id: String) {
    let known = w.state().users.contains_key(&id);
    w.change_user(&id, |u| u.close_looks = true);
    if !known {
        w.after(50_000, move |w| watch_closely(w, id));
    }
}

pub fn cancel_each(w: &Arc<World>, ids: &[String], from: f64, to: f64, rng: &mut fastrand::Rng) {
    for id in ids {
        let id = id.clone();
        let at = from + rng.f64() * (to - from);
        w.at(at, move |w| w.user_cancels(&id));
    }
}

pub fn every_other(ids: &[String], of: usize) -> Vec<String> {
    ids.iter().step_by(of).cloned().collect()
}

pub fn share(names: Vec<String>, of: usize) -> Vec<String> {
    names.into_iter().step_by(of).collect()
}

/// Cancels each job some time after it was accepted.
pub fn cancel_soon(w: &Arc<World>, ids: &[String], most_s: f64, rng: &mut fastrand::Rng) {
    for id in ids {
        let id = id.clone();
        let wait = (rng.f64() * most_s * 1e6) as u64;
        w.at(3.0, move |w| cancel_once_known(w, id, wait));
    }
}

fn cancel_once_known(w: &Arc<World>, id: String, wait: u64) {
    match w.state().checker.is_accepted(&id) {
        true => w.after(wait, move |w| w.user_cancels(&id)),
        false => w.after(20_000, move |w| cancel_once_known(w, id, wait)),
    }
}

pub fn expect(w: &Arc<World>, told: Option<Told>, status: u16, state: Option<&str>) {
    let (told, text) = match told {
        Some(t) => (Some((t.status, t.state.clone())), format!("{t:?}")),
        None => (None, "no answer".into()),
    };
    let as_wanted = told.is_some_and(|(s, found)| {
        // The job that goes on may be told as running or queued.
        s == status && (state.is_none_or(|s| s == "queued" || found.as_deref() == Some(s)))
    });
    if !as_wanted {
        let line = format!("wanted {status} {state:?}, got {text}");
        w.state().checker.broken.push(line);
    }
}
