//! End of a simulation and the summary of its results.

use crate::checker::{Checker, JobPlan};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::{NodeState, SimulationState};
use aspenreel::controller::Controller;
use aspenreel::workers::fencing::CommandCounters;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Start commands that machines received for the first time: the time, and the term in which the start was decided.
#[derive(Clone)]
pub struct TaskStarts(pub Vec<(Time, u64)>);

impl std::fmt::Debug for TaskStarts {
    /// Prints only the number of starts, since there may be thousands.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} starts", self.0.len())
    }
}

/// Results of a simulation.
#[derive(Debug)]
pub struct Summary {
    /// Violations of rules.
    pub violations: Vec<String>,
    /// Starts of tasks after a user knew that their job is cancelled, but within the time for a cancellation.
    pub late_starts: Vec<String>,
    /// Number of starts of tasks.
    pub starts: u32,
    /// Number of jobs that users knew to be cancelled.
    pub cancelled: u32,
    /// Number of jobs that users knew to be done.
    pub done: u32,
    /// Number of terms.
    pub leaders: usize,
    /// Time, number and leading node of each term.
    pub terms: Vec<(Time, u64, usize)>,
    /// For each start command that a machine received for the first time: the time, and the term in which the start
    /// was decided.
    pub starts_by_term: TaskStarts,
    /// Number of users' requests that got no answer in time, or an answer that says nothing of the job.
    pub unanswered_requests: u32,
    /// For each job that is done: time from its first answered request until a user knew that, in seconds.
    pub turnaround_s: Vec<f64>,
    /// Duration in simulated seconds.
    pub seconds: u64,
    /// Counters of commands of the first node that has a scheduler at the end, usually the last leader.
    pub commands: CommandCounters,
    /// Number and digest of all messages.
    pub transcript: String,
}

impl Summary {
    /// Panics with `context` if a rule was violated.
    #[track_caller]
    pub fn assert_no_violations(&self, context: &str) -> &Self {
        assert!(
            self.violations.is_empty(),
            "{context}: {:#?}",
            self.violations
        );
        self
    }
}

/// Time after the last fault within which all jobs must end, in seconds.
const SETTLE_S: f64 = 360.0;
/// Maximum time that a job may wait although it could run, in seconds.
const MAX_WAIT_S: f64 = 90.0;

impl Simulation {
    /// Runs until the faults are over and all accepted jobs have ended, then shuts the simulation down.
    ///
    /// A job that could run but waits too long, and a job that never ends, are violations too.
    pub fn finish(self: &Arc<Self>) -> Summary {
        self.run_until_settled();
        let summary = {
            let mut state = self.state();
            note_violations(&mut state.checker);
            note_unfinished(&mut state.checker);
            summarize(&state, self.now())
        };
        self.scheduler.shut_down();
        let nodes = std::mem::take(&mut self.state().nodes);
        drop(nodes);
        summary
    }

    /// Runs until every accepted job has ended after the last fault, but no longer than [`SETTLE_S`] after it.
    fn run_until_settled(&self) {
        let faults_end = self.state().faults_until.max(self.now());
        let end = faults_end + secs(SETTLE_S);
        let mut waiting_since: BTreeMap<String, Time> = BTreeMap::new();
        while self.now() < end {
            self.scheduler.run_until(self.now() + secs(2.0));
            if self.now() <= faults_end {
                continue;
            }
            self.note_long_waits(&mut waiting_since);
            let state = self.state();
            if state.checker.unfinished_jobs().is_empty()
                && state.checker.missing_replicas().is_empty()
            {
                break;
            }
        }
    }

    /// Records a violation for each job that has waited for [`MAX_WAIT_S`] although it could run. `waiting_since`
    /// holds the time since which each job could run.
    fn note_long_waits(&self, waiting_since: &mut BTreeMap<String, Time>) {
        let now = self.now();
        let runnable = self.runnable_jobs();
        waiting_since.retain(|id, _| runnable.contains(id));
        for id in runnable {
            let since = *waiting_since.entry(id.clone()).or_insert(now);
            if now - since > secs(MAX_WAIT_S) {
                let seconds = now as f64 / 1e6;
                let text = format!(
                    "{seconds:.3} starved: {id} could run but waits for more than {MAX_WAIT_S} s"
                );
                self.state().checker.violations.push(text);
                waiting_since.remove(&id);
            }
        }
    }

    /// Jobs with a waiting task for which a serving machine has room, below the limit of the job's team. Jobs that
    /// must run in one zone or be spread are left out.
    pub(crate) fn runnable_jobs(&self) -> Vec<String> {
        let state = self.state();
        let fits = |p: &&JobPlan| {
            let c = &state.checker;
            c.used_cpus(&p.team) + p.cpus <= c.cpu_limit(&p.team)
                && !p.same_zone
                && !p.spread
                && state.machines.values().any(|m| m.has_room_for(p))
        };
        let waiting = state.checker.waiting_jobs();
        waiting
            .into_iter()
            .filter(fits)
            .map(|p| p.id.clone())
            .collect()
    }
}

/// Counters of commands of the first running node that has a scheduler.
fn command_counters(nodes: &[NodeState]) -> CommandCounters {
    let counters = |controller: &Arc<Controller>| {
        Some(controller.state().scheduler.as_ref()?.fencing.counters)
    };
    let running = nodes.iter().filter_map(|n| n.controller.as_ref());
    running.filter_map(counters).next().unwrap_or_default()
}

/// Records a violation if controllers found violated invariants.
fn note_violations(checker: &mut Checker) {
    let violations = aspenreel::invariants::violation_count();
    if violations > 0 {
        // The count is per process: the violation may come from another simulation that runs in parallel.
        let text = format!(
            "controllers found {violations} violated invariants (set MODEL_LOG=error to see them)"
        );
        checker.violations.push(text);
    }
}

/// Records violations for replicas that don't run and for jobs that never ended.
fn note_unfinished(checker: &mut Checker) {
    let names = |plans: Vec<&JobPlan>| -> Vec<String> {
        plans.iter().map(|plan| plan.id.clone()).collect()
    };
    let missing = names(checker.missing_replicas());
    let open = names(checker.unfinished_jobs());
    if !missing.is_empty() {
        let text = format!("replicas missing: {}", missing.join(", "));
        checker.violations.push(text);
    }
    if !open.is_empty() {
        let text = format!("never ended: {}", open.join(", "));
        checker.violations.push(text);
    }
}

fn summarize(state: &SimulationState, now: Time) -> Summary {
    let checker = &state.checker;
    Summary {
        violations: checker.violations.clone(),
        late_starts: checker.late_starts.clone(),
        starts: checker.starts,
        cancelled: checker.answered_cancelled,
        done: checker.answered_done,
        leaders: state.terms.len(),
        terms: state.terms.clone(),
        starts_by_term: TaskStarts(state.starts_by_term.clone()),
        unanswered_requests: checker.unanswered_requests,
        turnaround_s: checker.turnaround_s(),
        seconds: now / 1_000_000,
        commands: command_counters(&state.nodes),
        transcript: state.transcript.summary(),
    }
}
