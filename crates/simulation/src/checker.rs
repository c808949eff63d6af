//! Checker of the protocol's rules, which sees only the answers that users get and the tasks that run on machines.
//! It has no access to the memory of controllers or to the records in the store.

use crate::scheduler::{Time, secs};
use std::collections::{BTreeMap, BTreeSet};

pub use crate::observations::{Answer, JobPlan, Place, RequestKind};

/// Job with everything that was observed of it.
#[derive(Debug)]
struct ObservedJob {
    plan: JobPlan,
    /// Time at which a user first knew that the job is accepted.
    accepted_at: Option<Time>,
    /// Final state, with the time at which a user first knew it.
    final_state: Option<(String, Time)>,
    /// Time at which the first request that got an answer was sent.
    first_answered_request_at: Option<Time>,
    /// True once a user has begun to cancel the job.
    cancel_requested: bool,
    /// Tasks that have ended successfully.
    done: BTreeSet<u32>,
    /// Places of the tasks that are on machines, by task number.
    active: BTreeMap<u32, BTreeSet<Place>>,
    /// Time at which the first unanswered status request since the last successful answer was sent.
    unanswered_since: Option<Time>,
}

impl ObservedJob {
    /// Rules that this answer violates, given what was known before it.
    fn rules_violated_by(&self, answer: &Answer) -> Vec<&'static str> {
        let mut rules = Vec::new();
        let was_known = self.accepted_at.is_some_and(|at| at <= answer.sent);
        match (answer.kind, answer.status) {
            (RequestKind::Submit | RequestKind::MalformedSubmit, 400 | 422)
            | (RequestKind::Status | RequestKind::Cancel, 404)
                if was_known =>
            {
                rules.push("job_lost");
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
            rules.push("state_reverted");
        }
        if state == "cancelled" && !self.cancel_requested {
            rules.push("state_reverted");
        }
        if state == "done" && self.done.len() < self.plan.tasks as usize {
            rules.push("done_too_early");
        }
        // A job has at most one final state, whatever the order of the requests.
        let has_other_final_state = self
            .final_state
            .as_ref()
            .is_some_and(|(ended, _)| ended != state);
        if answer.final_state().is_some()
            && has_other_final_state
            && !rules.contains(&"state_reverted")
        {
            rules.push("state_reverted");
        }
        rules
    }
}

/// Checks the rules for one cluster and records violations.
#[derive(Debug, Default)]
pub struct Checker {
    jobs: BTreeMap<String, ObservedJob>,
    /// Limits of the teams, in CPUs.
    limits: BTreeMap<String, f64>,
    /// Time after a user knew of the cancellation within which all tasks of the job must have stopped.
    cancel_time: Time,
    /// Violations of rules: the time, the rule and what was observed.
    pub violations: Vec<String>,
    /// Starts of tasks after a user knew that their job is cancelled, but within the time for a cancellation.
    pub late_starts: Vec<String>,
    /// Once all faults are over: their end, and the time within which each accepted job must then get an answer to a
    /// status request.
    answers_expected: Option<(Time, Time)>,
    /// Number of starts of tasks so far.
    pub starts: u32,
    /// Number of jobs that users know to be cancelled.
    pub answered_cancelled: u32,
    /// Number of jobs that users know to be done.
    pub answered_done: u32,
    /// Number of requests that got no answer in time, or an answer that says nothing about the job, such as 503.
    pub unanswered_requests: u32,
    /// For each job that is done: time from its first answered request until a user knew that.
    turnaround: Vec<Time>,
}

impl Checker {
    /// Creates a checker for teams with these limits in CPUs. A cancellation may take `cancel_s` seconds.
    pub fn new(limits: &[(&str, f64)], cancel_s: f64) -> Checker {
        Checker {
            limits: limits.iter().map(|(n, l)| (n.to_string(), *l)).collect(),
            cancel_time: secs(cancel_s),
            ..Checker::default()
        }
    }

    /// Records a violation.
    fn note(&mut self, now: Time, rule: &str, text: String) {
        self.violations
            .push(format!("{:.3} {rule}: {text}", now as f64 / 1e6));
    }

    /// Records that all faults ended at `now`. From then on some status request about each accepted job must be answered
    /// within `limit`.
    pub fn faults_ended(&mut self, now: Time, limit: Time) {
        self.answers_expected = Some((now, limit));
    }

    /// Records that a user is about to submit this job.
    pub fn submitted(&mut self, plan: &JobPlan) {
        let job = ObservedJob {
            plan: plan.clone(),
            accepted_at: None,
            final_state: None,
            first_answered_request_at: None,
            cancel_requested: false,
            done: BTreeSet::new(),
            active: BTreeMap::new(),
            unanswered_since: None,
        };
        self.jobs.entry(plan.id.clone()).or_insert(job);
    }

    /// Records that a user is about to cancel this job.
    pub fn cancel_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested = true;
        }
    }

    /// Records that a request got no answer in time, or an answer that says nothing about the job, such as 503.
    pub fn unanswered(&mut self, id: &str, kind: RequestKind, sent: Time, now: Time) {
        self.unanswered_requests += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if kind == RequestKind::Status && job.accepted_at.is_some_and(|t| t <= sent) {
            let since = *job.unanswered_since.get_or_insert(sent);
            if now - since > secs(90.0) {
                let text = format!("{id}: no status request answered for 90 s");
                self.note(now, "job_lost", text);
            }
            if let Some((ended_at, limit)) = self.answers_expected
                && now.saturating_sub(since.max(ended_at)) > limit
            {
                let seconds = (now - since.max(ended_at)) as f64 / 1e6;
                let text = format!("{id}: no answer for {seconds:.1} s after all faults");
                self.note(now, "job_lost", text);
            }
        }
    }

    /// Records an answer that a user received.
    pub fn answered(&mut self, id: &str, answer: &Answer) {
        let now = answer.got;
        let text = format!(
            "{id}: {:?} request to node {} answered with status {} and state {:?}, sent at {:.3}",
            answer.kind,
            answer.node,
            answer.status,
            answer.state,
            answer.sent as f64 / 1e6
        );
        let Some(job) = self.jobs.get_mut(id) else {
            if matches!(answer.status, 200 | 201) {
                self.note(now, "unknown_job", text);
            }
            return;
        };
        let rules = job.rules_violated_by(answer);
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
                let first_request_at = job.first_answered_request_at.unwrap_or(now);
                self.turnaround.push(now - first_request_at);
            } else {
                self.answered_cancelled += 1;
            }
        }
        for rule in rules {
            self.note(now, rule, text.clone());
        }
    }

    /// For each job that is done: time from its first answered request until a user knew that, in seconds.
    pub fn turnaround_s(&self) -> Vec<f64> {
        self.turnaround.iter().map(|t| *t as f64 / 1e6).collect()
    }

    /// Records that a task has its image and starts.
    pub fn task_started(&mut self, id: &str, task: u32, place: &Place, now: Time) {
        self.starts += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            let text = format!("{id}/{task} started, but the job was never submitted");
            return self.note(now, "unknown_job", text);
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
                let text = format!(
                    "{id}/{task} starts on {} {} us after the cancellation was known",
                    place.machine,
                    now - at
                );
                self.late_starts.push(text);
            }
        }
        let plan = &job.plan;
        let others: Vec<&Place> = job
            .active
            .iter()
            .filter(|(t, _)| **t != task)
            .flat_map(|(_, places)| places)
            .collect();
        let is_in_other_zone = others.iter().any(|o| o.zone != place.zone);
        let tasks_in_zone = others.iter().filter(|o| o.zone == place.zone).count() as u32 + 1;
        if (place.spot && !plan.spot)
            || plan.zone.as_ref().is_some_and(|z| *z != place.zone)
            || (plan.same_zone && is_in_other_zone)
            || (plan.spread && tasks_in_zone > plan.tasks.div_ceil(2))
        {
            found.push(("wrong_place", format!("{place:?} beside {others:?}")));
        }
        let team = plan.team.clone();
        job.active.entry(task).or_default().insert(place.clone());
        let used = self.used_cpus(&team);
        if self.limits.get(&team).is_some_and(|l| used > l + 1e-6) {
            found.push(("quota_exceeded", format!("team {team} uses {used} CPUs")));
        }
        for (rule, text) in found {
            self.note(now, rule, format!("{id}/{task} {text}"));
        }
    }

    /// Records that a task is no longer on a machine; `done` is true if it ended successfully.
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

    /// Checks the rules that the passage of time alone can violate: tasks of cancelled jobs must stop in time.
    pub fn check_time_limits(&mut self, now: Time) {
        let mut found = Vec::new();
        for (id, job) in &self.jobs {
            if let Some((state, at)) = &job.final_state
                && state == "cancelled"
                && now > at + self.cancel_time
            {
                for (task, places) in &job.active {
                    found.push(format!("{id}/{task} is still on {places:?}"));
                }
            }
        }
        for text in found {
            self.note(now, "ran_cancelled", text);
        }
    }

    /// Number of CPUs that the team's tasks use on machines.
    pub fn used_cpus(&self, team: &str) -> f64 {
        let jobs = self.jobs.values().filter(|job| job.plan.team == team);
        jobs.map(|job| job.plan.cpus * job.active.values().map(BTreeSet::len).sum::<usize>() as f64)
            .sum()
    }

    /// Limit of a team, in CPUs.
    pub fn cpu_limit(&self, team: &str) -> f64 {
        self.limits[team]
    }

    /// Accepted jobs that should end (arrays and cancelled standing jobs) but whose end no user knows yet.
    pub fn unfinished_jobs(&self) -> Vec<&JobPlan> {
        let should_end = |job: &ObservedJob| !job.plan.standing || job.cancel_requested;
        let is_unfinished = |job: &&ObservedJob| {
            job.accepted_at.is_some() && job.final_state.is_none() && should_end(job)
        };
        self.jobs
            .values()
            .filter(is_unfinished)
            .map(|job| &job.plan)
            .collect()
    }

    /// Accepted, uncancelled jobs that have tasks which are neither done nor on a machine.
    pub fn waiting_jobs(&self) -> Vec<&JobPlan> {
        let is_waiting = |job: &&ObservedJob| {
            let placed: BTreeSet<u32> = job.done.iter().chain(job.active.keys()).copied().collect();
            job.accepted_at.is_some()
                && job.final_state.is_none()
                && !job.cancel_requested
                && placed.len() < job.plan.tasks as usize
        };
        self.jobs
            .values()
            .filter(is_waiting)
            .map(|job| &job.plan)
            .collect()
    }

    /// True if a user knows that the job was accepted.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.accepted_at.is_some())
    }

    /// True if all tasks of the job have ended successfully.
    pub fn all_done(&self, id: &str) -> bool {
        let is_complete = |job: &ObservedJob| job.done.len() == job.plan.tasks as usize;
        self.jobs.get(id).is_some_and(is_complete)
    }

    /// True if this task of the job has ended successfully. Never true for a replica of a standing job.
    pub fn is_done(&self, id: &str, task: u32) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.done.contains(&task))
    }

    /// Number of tasks of all jobs that have ended successfully.
    pub fn tasks_done(&self) -> usize {
        self.jobs.values().map(|job| job.done.len()).sum()
    }

    /// Final state of the job, if a user knows it.
    pub fn final_state(&self, id: &str) -> Option<&str> {
        let (state, _) = self.jobs.get(id)?.final_state.as_ref()?;
        Some(state)
    }

    /// Standing jobs that should run but have replicas that are on no machine.
    pub fn missing_replicas(&self) -> Vec<&JobPlan> {
        self.waiting_jobs()
            .into_iter()
            .filter(|p| p.standing)
            .collect()
    }

    /// Number of places on machines that the job's tasks have.
    pub fn active_tasks(&self, id: &str) -> usize {
        self.jobs
            .get(id)
            .map_or(0, |job| job.active.values().map(BTreeSet::len).sum())
    }
}
