//! Questions of users use up a leader's share of store requests, which it needs for its own work.

use crate::nodes::{Addresses, Deployment, JobStatus, Nodes, job, leader, spawn};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel_simulation::stand_ins::cloud_server::CloudServer;
use aspenreel_simulation::stand_ins::http_listener::listen;
use aspenreel_simulation::stand_ins::store_server::StoreServer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longer than a controller waits for the answer to a transaction.
const ANSWER_DELAY: Duration = Duration::from_secs(2);
/// Store requests a second for all controllers together: fewer than a leader sends that repeats a write without pause.
const STORE_RPS: f64 = 60.0;
/// Number of users who ask at the same time about jobs that nobody submitted.
const ASKING_USERS: usize = 12;
/// Time within which a job must be done, or a cancellation be confirmed: 75 s, scaled as the leases are.
const BOUND: Duration = Duration::from_secs(15);
/// Key prefix of the final state of a retired job.
const FINAL_PREFIX: &[u8] = b"final/";

/// A store that applies the first retirement of a job and doesn't answer it in time.
struct LosesOneAnswer {
    store: Arc<StoreServer>,
    has_lost: AtomicBool,
}

impl Handler for LosesOneAnswer {
    fn handle(&self, request: Request) -> Response {
        let is_retirement = request.path == "/multi"
            && request
                .body
                .windows(FINAL_PREFIX.len())
                .any(|bytes| bytes == FINAL_PREFIX)
            && request.body.windows(6).any(|bytes| bytes == b"delete");
        let response = self.store.handle(request);
        if is_retirement && !self.has_lost.swap(true, Ordering::SeqCst) {
            std::thread::sleep(ANSWER_DELAY);
        }
        response
    }
}

/// Starts three controllers that have few store requests, with a cloud.
fn start_cluster(store: SocketAddr, tag: &str) -> Nodes {
    let (cloud, cloud_addr) = CloudServer::start();
    let deployment = Deployment {
        store_rps: STORE_RPS,
        ..Deployment::default()
    };
    let addresses = Addresses::free();
    let peers = addresses.peers.clone();
    let peer_address = |_, to: usize| peers[to];
    let stores = [store; 3];
    let nodes = Nodes::start(
        &deployment,
        addresses,
        peer_address,
        stores,
        cloud_addr,
        tag,
        spawn,
    );
    let named = |n: usize| (format!("n-{n}"), nodes.public[n]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    nodes
}

fn submit(nodes: &Nodes, node: usize, id: &str) {
    let is_accepted = |status: u16, _: &Option<_>| matches!(status, 200 | 201);
    nodes.poll_until(node, "POST", "/work", &job(id, 1, 1.0), is_accepted);
}

/// Asks all controllers about a job that nobody submitted, which uses up their shares of the store's requests, while
/// `work` runs.
fn while_users_ask<T>(nodes: &Nodes, work: impl FnOnce() -> T) -> T {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for user in 0..ASKING_USERS {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    nodes.call(user % 3, "GET", "/work/run-999", &[]);
                }
            });
        }
        let result = work();
        is_over.store(true, Ordering::SeqCst);
        result
    })
}

/// Repeats a request until its response satisfies `wanted`, or `BOUND` has passed. Returns whether it did.
fn succeeds_in_time(
    nodes: &Nodes,
    request: (&str, &str),
    wanted: impl Fn(&JobStatus) -> bool,
) -> bool {
    let deadline = Instant::now() + BOUND;
    while Instant::now() < deadline {
        let (status, answer) = nodes.call(0, request.0, request.1, &[]);
        if status == 200 && answer.is_some_and(|answer| wanted(&answer)) {
            return true;
        }
    }
    false
}

/// The leader learns of jobs that other controllers accept from a watch of the store.
#[test]
fn questions_of_users_keep_a_leader_from_learning_of_jobs() {
    let (store, store_addr) = StoreServer::start();
    let nodes = start_cluster(store_addr, "watch");
    nodes.poll_until(0, "GET", "/up", &[], |status, _| status == 200);
    let is_done = while_users_ask(&nodes, || {
        std::thread::sleep(Duration::from_secs(2));
        let leader = leader(&store).unwrap_or(0);
        submit(&nodes, (leader + 1) % 3, "run-1");
        succeeds_in_time(&nodes, ("GET", "/work/run-1"), |job| job.status == "done")
    });
    assert!(is_done, "not done within {BOUND:?}");
}

#[test]
fn lost_answer_of_a_retirement_blocks_all_final_states() {
    let (store, _) = StoreServer::start();
    let loses_one = Arc::new(LosesOneAnswer {
        store,
        has_lost: AtomicBool::new(false),
    });
    let nodes = start_cluster(listen(loses_one.clone()), "lost-answer");
    submit(&nodes, 0, "run-1");
    while_users_ask(&nodes, || {
        while !loses_one.has_lost.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(ANSWER_DELAY * 2);
    });
    submit(&nodes, 0, "run-2");
    let request = ("POST", "/work/run-2/withdraw");
    let is_confirmed = succeeds_in_time(&nodes, request, |_| true);
    assert!(is_confirmed, "not confirmed within {BOUND:?}");
}
