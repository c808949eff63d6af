//! Status requests for accepted jobs while followers depend on a leader that answers slowly.

use crate::nodes::{JobStatus, job, spawn};
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::stand_ins::deployment::Deployment;
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const JOBS: u32 = 240;
/// Jobs about which one user thread asks in turn.
const JOBS_PER_USER: usize = 2;
/// Time between two questions about a job: 5 s, scaled as the leases are.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a user waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unanswered job counts as forgotten: 75 s, scaled as the leases are.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(15);
/// Time that the leader takes for each answer to another controller, longer than the timeout of such a request was
/// when each status request was sent to the leader by itself.
const LEADER_LATENCY: Duration = Duration::from_millis(600);
/// Store requests a second for all controllers together, in the same ratio to the questions as at 4,000 machines.
const STORE_RPS: f64 = 60.0;

#[test]
fn followers_leave_status_requests_unanswered_while_the_leader_is_slow() {
    let deployment = Deployment {
        store_rps: STORE_RPS,
        ..Deployment::default()
    };
    let cluster = LoopbackCluster::start("status", &deployment, spawn);
    let ids = submit_jobs(&cluster);
    let leader = cluster.wait_for_leader();
    let followers: Vec<usize> = (0..NODES).filter(|node| *node != leader).collect();
    for follower in &followers {
        let replies = Direction::new(Endpoint::Node(leader), Endpoint::Node(*follower));
        cluster.set_traffic(replies, Traffic::Delayed(LEADER_LATENCY));
    }
    let unanswered = ask_until_forgotten(&cluster, &ids, &followers);
    assert!(
        unanswered.is_empty(),
        "{} of {} jobs got no answer within {FORGOTTEN_AFTER:?}: {unanswered:?}",
        unanswered.len(),
        ids.len()
    );
}

/// Submits jobs that wait for machines, and returns their ids.
fn submit_jobs(cluster: &LoopbackCluster) -> Vec<String> {
    let ids: Vec<String> = (1..=JOBS)
        .map(|number| format!("run-{number:06}"))
        .collect();
    for (number, id) in ids.iter().enumerate() {
        let is_accepted = |status: u16, _: &Option<JobStatus>| matches!(status, 200 | 201);
        let body = job(id, 1, 8.0);
        cluster
            .nodes
            .poll_until(number % NODES, "POST", "/work", &body, is_accepted);
    }
    ids
}

/// Asks the followers about each job, as users do, and returns the ids of the jobs without any answer.
fn ask_until_forgotten(
    cluster: &LoopbackCluster,
    ids: &[String],
    followers: &[usize],
) -> Vec<String> {
    let unanswered = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (user, jobs) in ids.chunks(JOBS_PER_USER).enumerate() {
            let node = followers[user % followers.len()];
            let unanswered = &unanswered;
            scope.spawn(move || {
                let left = ask_about(cluster, node, jobs);
                unanswered.lock().unwrap().extend(left);
            });
        }
    });
    unanswered.into_inner().unwrap()
}

/// Asks one controller about jobs in turn, and returns those that it has not answered in time.
fn ask_about(cluster: &LoopbackCluster, node: usize, jobs: &[String]) -> Vec<String> {
    let mut unanswered = jobs.to_vec();
    let deadline = Instant::now() + FORGOTTEN_AFTER;
    while !unanswered.is_empty() && Instant::now() < deadline {
        let asked_at = Instant::now();
        unanswered.retain(|id| {
            let path = format!("/work/{id}");
            let (status, _) = cluster
                .nodes
                .call_within(ANSWER_TIMEOUT, node, "GET", &path, &[]);
            status != 200
        });
        std::thread::sleep(POLL_INTERVAL.saturating_sub(asked_at.elapsed()));
    }
    unanswered
}
