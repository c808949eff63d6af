//! The protocol's rules, as somebody sees them who only knows what users were told and what is on
//! machines. It knows nothing of what controllers hold in memory or on record.

use crate::scheduler::{Time, secs};
use std::collections::{BTreeMap, BTreeSet};

pub use crate::observations::{Answer, JobPlan, Place, RequestKind};

#[derive(Debug)]
struct ObservedJob {
    plan: JobPlan,
    accepted_at: Option<Time>,
    /// A final state, and when a user knew it.
    final_state: Option<(String, Time)>,
    first_answered_request_at: Option<Time>,
    cancel_asked: bool,
    done: BTreeSet<u32>,
    active: BTreeMap<u32, BTreeSet<Place>>,
    /// When it was last answered about, and since when users asked in vain.
    unanswered_since: Option<Time>,
}

impl ObservedJob {
    /// Rules that this answer breaks, by what was known before it.
    fn rules_broken_by(&self, answer: &Answer) -> Vec<&'static str> {
        let mut rules = Vec::new();
        let was_known = self.accepted_at.is_some_and(|at| at <= answer.sent);
        match (answer.kind, answer.status) {
            (RequestKind::Submit | RequestKind::MalformedSubmit, 400 | 422)
            | (RequestKind::Status | RequestKind::Cancel, 404)
                if was_known =>
            {
                rules.push("forgotten");
            }
            _ => {}
        }
        let Some(state) = &answer.state else {
            return rules;
        };
        if let Some((ended, at)) = &self.final_state
            && *at <= answer.sent
            && ended != state
        {
            rules.push("went_back");
        }
        if state == "cancelled" && !self.cancel_asked {
            rules.push("went_back");
        }
        if state == "done" && self.done.len() < self.plan.tasks as usize {
            rules.push("not_done");
        }
        // Whatever the order of the questions, no job ends in two ways.
        let ended_otherwise = self
            .final_state
            .as_ref()
            .is_some_and(|(ended, _)| ended != state);
        if answer.final_state().is_some() && ended_otherwise && !rules.contains(&"went_back") {
            rules.push("went_back");
        }
        rules
    }
}

/// Watches the rules of one cluster, and notes what breaks them.
#[derive(Debug, Default)]
pub struct Checker {
    jobs: BTreeMap<String, ObservedJob>,
    limits: BTreeMap<String, f64>,
    cancel_time: Time,
    /// Broken rules: when, which and how.
    pub violations: Vec<String>,
    /// Starts after a user knew that the job is cancelled, within the time for it.
    pub late_starts: Vec<String>,
    /// Starts of tasks so far.
    pub starts: u32,
    /// Jobs that users know to be cancelled.
    pub answered_cancelled: u32,
    /// Jobs that users know to be done.
    pub answered_done: u32,
    /// Questions without an answer in time, or with one that tells nothing.
    pub unanswered_requests: u32,
    turnaround: Vec<Time>,
}

impl Checker {
    /// A checker of teams with these limits in CPUs; a cancellation may take `cancel_s`.
    pub fn new(limits: &[(&str, f64)], cancel_s: f64) -> Checker {
        Checker {
            limits: limits.iter().map(|(n, l)| (n.to_string(), *l)).collect(),
            cancel_time: secs(cancel_s),
            ..Checker::default()
        }
    }

    fn note(&mut self, now: Time, rule: &str, text: String) {
        self.violations
            .push(format!("{:.3} {rule}: {text}", now as f64 / 1e6));
    }

    /// A user is going to submit this job.
    pub fn submitted(&mut self, plan: &JobPlan) {
        let job = ObservedJob {
            plan: plan.clone(),
            accepted_at: None,
            final_state: None,
            first_answered_request_at: None,
            cancel_asked: false,
            done: BTreeSet::new(),
            active: BTreeMap::new(),
            unanswered_since: None,
        };
        self.jobs.entry(plan.id.clone()).or_insert(job);
    }

    /// A user is going to cancel this job.
    pub fn cancel_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_asked = true;
        }
    }

    /// No answer in time, or one that tells nothing.
    pub fn unanswered(&mut self, id: &str, kind: RequestKind, sent: Time, now: Time) {
        self.unanswered_requests += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if kind == RequestKind::Status && job.accepted_at.is_some_and(|t| t <= sent) {
            let since = *job.unanswered_since.get_or_insert(sent);
            if now - since > secs(90.0) {
                let text = format!("{id}: not answered about for 90 s");
                self.note(now, "forgotten", text);
            }
        }
    }

    /// A user got an answer.
    pub fn answered(&mut self, id: &str, answer: &Answer) {
        let now = answer.got;
        let text = format!(
            "{id}: {:?} at node {} got {} {:?}, asked at {:.3}",
            answer.kind,
            answer.node,
            answer.status,
            answer.state,
            answer.sent as f64 / 1e6
        );
        let Some(job) = self.jobs.get_mut(id) else {
            if matches!(answer.status, 200 | 201) {
                self.note(now, "invented", text);
            }
            return;
        };
        let rules = job.rules_broken_by(answer);
        job.first_answered_request_at.get_or_insert(answer.sent);
        if matches!(answer.status, 200 | 201) {
            job.unanswered_since = None;
            if job.accepted_at.is_none() && answer.kind != RequestKind::MalformedSubmit {
                job.accepted_at = Some(now);
            }
        }
        if let Some(state) = answer.final_state()
            && job.final_state.is_none()
        {
            job.final_state = Some((state.to_string(), now));
            if state == "done" {
                self.answered_done += 1;
                let asked = job.first_answered_request_at.unwrap_or(now);
                self.turnaround.push(now - asked);
            } else {
                self.answered_cancelled += 1;
            }
        }
        for rule in rules {
            self.note(now, rule, text.clone());
        }
    }

    /// From each job's first answered request until its user knew that it is done, in seconds.
    pub fn turnaround_s(&self) -> Vec<f64> {
        self.turnaround.iter().map(|t| *t as f64 / 1e6).collect()
    }

    /// A task has its image and starts.
    pub fn task_started(&mut self, id: &str, task: u32, place: &Place, now: Time) {
        self.starts += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            let text = format!("{id}/{task}: nobody submitted it");
            return self.note(now, "invented", text);
        };
        let mut found = Vec::new();
        if let Some(others) = job.active.get(&task)
            && !others.is_empty()
        {
            found.push(("ran_twice", format!("{others:?} and {place:?}")));
        }
        if let Some((state, at)) = &job.final_state
            && state == "cancelled"
        {
            if now > at + self.cancel_time {
                found.push(("ran_cancelled", format!("starts on {}", place.machine)));
            } else {
                let text = format!("{id}/{task} on {} after {} us", place.machine, now - at);
                self.late_starts.push(text);
            }
        }
        let p = &job.plan;
        let others: Vec<&Place> = job
            .active
            .iter()
            .filter(|(t, _)| **t != task)
            .flat_map(|(_, places)| places)
            .collect();
        let elsewhere = others.iter().any(|o| o.zone != place.zone);
        let here = others.iter().filter(|o| o.zone == place.zone).count() as u32 + 1;
        if (place.spot && !p.spot)
            || p.zone.as_ref().is_some_and(|z| *z != place.zone)
            || (p.same_zone && elsewhere)
            || (p.spread && here > p.tasks.div_ceil(2))
        {
            found.push(("wrong_place", format!("{place:?} beside {others:?}")));
        }
        let team = p.team.clone();
        job.active.entry(task).or_default().insert(place.clone());
        let used = self.used_cpus(&team);
        if self.limits.get(&team).is_some_and(|l| used > l + 1e-6) {
            found.push(("quota", format!("team {team} uses {used} CPUs")));
        }
        for (rule, text) in found {
            self.note(now, rule, format!("{id}/{task} {text}"));
        }
    }

    /// A task's place is empty again; `done`: it ended well.
    pub fn task_stopped(&mut self, id: &str, task: u32, machine: &str, done: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(places) = job.active.get_mut(&task) {
            places.retain(|p| p.machine != machine);
            if places.is_empty() {
                job.active.remove(&task);
            }
        }
        if done {
            job.done.insert(task);
        }
    }

    /// What time alone breaks.
    pub fn check_time_limits(&mut self, now: Time) {
        let mut found = Vec::new();
        for (id, job) in &self.jobs {
            if let Some((state, at)) = &job.final_state
                && state == "cancelled"
                && now > at + self.cancel_time
            {
                for (task, places) in &job.active {
                    found.push(format!("{id}/{task} is on {places:?}"));
                }
            }
        }
        for text in found {
            self.note(now, "ran_cancelled", text);
        }
    }

    /// CPUs that tasks of a team hold on machines.
    pub fn used_cpus(&self, team: &str) -> f64 {
        let jobs = self.jobs.values().filter(|job| job.plan.team == team);
        jobs.map(|job| job.plan.cpus * job.active.values().map(BTreeSet::len).sum::<usize>() as f64)
            .sum()
    }

    /// A team's limit in CPUs.
    pub fn cpu_limit(&self, team: &str) -> f64 {
        self.limits[team]
    }

    /// Accepted jobs that ought to end and that users don't know to have ended.
    pub fn unfinished_jobs(&self) -> Vec<&JobPlan> {
        let ends = |job: &ObservedJob| !job.plan.standing || job.cancel_asked;
        let open = |job: &&ObservedJob| {
            job.accepted_at.is_some() && job.final_state.is_none() && ends(job)
        };
        self.jobs
            .values()
            .filter(open)
            .map(|job| &job.plan)
            .collect()
    }

    /// Accepted jobs that nobody cancelled and that have tasks neither done nor on a machine.
    pub fn waiting_jobs(&self) -> Vec<&JobPlan> {
        let waits = |job: &&ObservedJob| {
            let placed: BTreeSet<u32> = job.done.iter().chain(job.active.keys()).copied().collect();
            job.accepted_at.is_some()
                && job.final_state.is_none()
                && !job.cancel_asked
                && placed.len() < job.plan.tasks as usize
        };
        self.jobs
            .values()
            .filter(waits)
            .map(|job| &job.plan)
            .collect()
    }

    /// A user knows that the job was accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.accepted_at.is_some())
    }

    /// All of its tasks have ended well.
    pub fn all_done(&self, id: &str) -> bool {
        let full = |job: &ObservedJob| job.done.len() == job.plan.tasks as usize;
        self.jobs.get(id).is_some_and(full)
    }

    /// Tasks of all jobs that ended well.
    pub fn tasks_done(&self) -> usize {
        self.jobs.values().map(|job| job.done.len()).sum()
    }

    /// The final state that a user knows of.
    pub fn final_state(&self, id: &str) -> Option<&str> {
        let (state, _) = self.jobs.get(id)?.final_state.as_ref()?;
        Some(state)
    }

    /// Replicas of standing jobs that ought to run and don't.
    pub fn missing_replicas(&self) -> Vec<&JobPlan> {
        self.waiting_jobs()
            .into_iter()
            .filter(|p| p.standing)
            .collect()
    }

    /// Tasks of a job that are on machines.
    pub fn active_tasks(&self, id: &str) -> usize {
        self.jobs
            .get(id)
            .map_or(0, |job| job.active.values().map(BTreeSet::len).sum())
    }
}
