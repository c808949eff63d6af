//! The store applies a transaction of the leader, and the answer is lost.

use crate::nodes::{Addresses, Deployment, Nodes, job, spawn};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel_simulation::stand_ins::cloud_server::CloudServer;
use aspenreel_simulation::stand_ins::http_listener::listen;
use aspenreel_simulation::stand_ins::store_server::StoreServer;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longer than a controller waits for the answer to a transaction.
const ANSWER_DELAY: Duration = Duration::from_secs(2);
/// Store requests a second for all controllers together: fewer than a leader sends that repeats a write without pause.
const STORE_RPS: f64 = 60.0;
/// Number of users who ask at the same time about jobs that nobody submitted.
const ASKING_USERS: usize = 12;
/// Time within which a cancellation must be confirmed: 75 s, scaled as the leases are.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(15);
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

/// Asks all controllers about jobs that nobody submitted, which uses up their shares of the store's requests, until
/// shortly after the store has lost its answer.
fn ask_until_answer_is_lost(nodes: &Nodes, loses_one: &LosesOneAnswer) {
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
        while !loses_one.has_lost.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(ANSWER_DELAY * 2);
        is_over.store(true, Ordering::SeqCst);
    });
}

#[test]
fn lost_answer_of_a_retirement_blocks_all_final_states() {
    let (store, _) = StoreServer::start();
    let loses_one = Arc::new(LosesOneAnswer {
        store,
        has_lost: AtomicBool::new(false),
    });
    let store_addr = listen(loses_one.clone());
    let (cloud, cloud_addr) = CloudServer::start();
    let deployment = Deployment {
        store_rps: STORE_RPS,
        ..Deployment::default()
    };
    let addresses = Addresses::free();
    let peers = addresses.peers.clone();
    let nodes = Nodes::start(
        &deployment,
        addresses,
        |_, to| peers[to],
        [store_addr; 3],
        cloud_addr,
        "lost-answer",
        spawn,
    );
    let named = |n: usize| (format!("n-{n}"), nodes.public[n]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    let is_accepted = |status: u16, _: &Option<_>| matches!(status, 200 | 201);
    nodes.poll_until(0, "POST", "/work", &job("run-1", 1, 1.0), is_accepted);
    ask_until_answer_is_lost(&nodes, &loses_one);
    nodes.poll_until(0, "POST", "/work", &job("run-2", 1, 1.0), is_accepted);
    let deadline = Instant::now() + CONFIRMED_WITHIN;
    let mut status = 0;
    while status != 200 && Instant::now() < deadline {
        (status, _) = nodes.call(0, "POST", "/work/run-2/withdraw", &[]);
    }
    assert_eq!(status, 200, "no confirmation within {CONFIRMED_WITHIN:?}");
}
