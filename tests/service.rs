//! Real controller processes on the loopback interface, with stand-ins for the key-value store, the cloud and the
//! workers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "service/delayed_commands.rs"]
mod delayed_commands;
#[path = "service/half_cut_links.rs"]
mod half_cut_links;
#[path = "service/links_command.rs"]
mod links_command;
#[path = "common/nodes.rs"]
mod nodes;
#[path = "service/side_by_side.rs"]
mod side_by_side;
#[path = "service/status_requests.rs"]
mod status_requests;
#[path = "service/store_share.rs"]
mod store_share;

use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::Client;
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel::leadership::{ElectionOutcome, campaign};
use aspenreel::os::System;
use aspenreel::store::{Change, Store, StorePriority, TransactionOutcome, to_value};
use aspenreel::time::Micros;
use aspenreel_simulation::stand_ins::cloud_server::CloudServer;
use aspenreel_simulation::stand_ins::store_server::{StoreProxy, StoreServer};
use ciborium::{Value, cbor};
use nodes::{JobStatus, Nodes, job, leader, spawn, start_cluster};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Checks that malformed and infeasible requests are refused, before anything is written.
fn check_refusals(nodes: &Nodes) {
    assert_eq!(nodes.call(0, "POST", "/work", b"rubbish").0, 400);
    assert_eq!(
        nodes.call(0, "POST", "/work", &job("task-1", 1, 1.0)).0,
        400
    );
    assert_eq!(nodes.call(1, "POST", "/work", &job("run-9", 1, 9.0)).0, 422);
    assert_eq!(nodes.call(2, "GET", "/work/run-9", &[]).0, 404);
    assert_eq!(nodes.call(2, "DELETE", "/work/run-9", &[]).0, 405);
    assert_eq!(nodes.call(2, "GET", "/nothing", &[]).0, 404);
}

/// Checks that submissions repeated after the end of a job, even malformed ones, get its final state.
fn check_repeats_get_the_final_state(nodes: &Nodes, old: usize, b: usize) {
    let malformed = encode(&cbor!({"ref" => "run-1"}).unwrap());
    let (status, answer) = nodes.call(old, "POST", "/work", &malformed);
    assert_eq!((status, answer.unwrap().status.as_str()), (200, "done"));
    let again = nodes.call(b, "POST", "/work/run-1/withdraw", &[]).1;
    assert_eq!(again.unwrap().status, "done");
}

/// Checks that submissions during an outage of the store are refused at once with a time to retry, and that nodes
/// serve again after the outage.
fn check_store_outage(state: &StoreServer, nodes: &Nodes, a: usize, b: usize) {
    *state.down.lock().unwrap() = true;
    assert_eq!(nodes.call(a, "POST", "/work", &job("run-5", 1, 1.0)).0, 503);
    assert_eq!(nodes.call(a, "GET", "/up", &[]).0, 200);
    state.end_outage();
    nodes.poll_until(a, "POST", "/work", &job("run-5", 1, 1.0), |s, _| s == 201);
    nodes.wait_for_status(b, "run-5", "done");
}

/// Jobs run before and after the leader is killed and during its restart, and no task runs twice.
#[test]
fn serves_through_a_leader_crash() {
    let (state, cloud, mut nodes) = start_cluster("serve");

    check_refusals(&nodes);

    nodes.poll_until(1, "POST", "/work", &job("run-1", 6, 2.0), |s, _| s == 201);
    assert_eq!(nodes.call(2, "POST", "/work", &job("run-1", 6, 2.0)).0, 200);
    nodes.wait_for_status(2, "run-1", "done");
    let last = nodes.call(0, "GET", "/work/run-1", &[]).1.unwrap();
    assert_eq!((last.status.as_str(), last.done), ("done", 6));

    // A job that never ends by itself, started by the leader that is killed now.
    cloud
        .environment
        .endless
        .lock()
        .unwrap()
        .insert("run-2".into());
    nodes.poll_until(0, "POST", "/work", &job("run-2", 3, 2.0), |s, _| s == 201);
    nodes.wait_for_status(1, "run-2", "running");
    let old = leader(&state).unwrap();
    nodes.children[old].kill().unwrap();
    nodes.children[old].wait().unwrap();
    let (a, b) = ((old + 1) % 3, (old + 2) % 3);
    nodes.poll_until(a, "POST", "/work", &job("run-3", 4, 1.0), |s, _| {
        s == 201 || s == 200
    });
    nodes.wait_for_status(b, "run-3", "done");
    nodes.wait_for_status(b, "run-2", "running");
    let cancelled = nodes.poll_until(a, "POST", "/work/run-2/withdraw", &[], |s, _| s == 200);
    assert_eq!(cancelled.unwrap().status, "cancelled");

    nodes.children[old] = spawn(&nodes.configs[old]);
    nodes.poll_until(old, "GET", "/up", &[], |s, _| s == 200);
    nodes.wait_for_status(old, "run-1", "done");
    nodes.wait_for_status(old, "run-2", "cancelled");
    check_repeats_get_the_final_state(&nodes, old, b);
    assert_eq!(cloud.environment.started.lock().unwrap().len(), 13);
    assert_eq!(
        *cloud.environment.duplicate_runs.lock().unwrap(),
        Vec::<String>::new()
    );

    check_store_outage(&state, &nodes, a, b);
}

/// Encoded submission of a standing job. `edit` sets fields to other values, or removes those with `None`.
fn standing_submission(id: &str, tasks: u32, edit: &[(&str, Option<Value>)]) -> Vec<u8> {
    let wire = cbor!({
        "ref" => id, "lane" => "portal", "crew" => "a", "shape" => "standing",
        "rank" => "production", "pieces" => tasks, "cpus" => 4, "gpus" => 0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "samePlace" => false, "spread" => false,
        "loaners" => true, "guessS" => 0, "bookmarkS" => 0, "stashS" => 0
    });
    let mut fields = wire.unwrap().into_map().unwrap();
    for (name, value) in edit {
        fields.retain(|(field, _)| field.as_text() != Some(name));
        if let Some(value) = value {
            fields.push((Value::Text(name.to_string()), value.clone()));
        }
    }
    encode(&Value::Map(fields))
}

/// Checks that this node permanently refuses standing jobs that can never run or are malformed, and stores nothing of
/// them.
fn check_permanent_refusals(nodes: &Nodes, n: usize) {
    // The limit of the team is 32 CPUs, and a machine has 8.
    let infeasible = [
        standing_submission("run-2", 9, &[]),
        standing_submission("run-2", 1, &[("cpus", Some(Value::Float(9.0)))]),
        standing_submission("run-2", 1, &[("crew", Some(Value::Text("nobody".into())))]),
    ];
    for body in infeasible {
        assert_eq!(nodes.call(n, "POST", "/work", &body).0, 422);
    }
    let text = |text: &str| Some(Value::Text(text.into()));
    let malformed = [
        ("shape", text("gang")),
        ("shape", None),
        ("pieces", text("many")),
        ("pieces", Some(Value::Integer(0.into()))),
        ("guessS", None),
        ("loaners", text("yes")),
        ("rank", text("urgent")),
        ("bundle", None),
    ];
    for (field, value) in malformed {
        let body = standing_submission("run-2", 1, &[(field, value)]);
        let status = nodes.call(n, "POST", "/work", &body).0;
        assert_eq!(status, 400, "{field}");
    }
    assert_eq!(nodes.call(n, "GET", "/work/run-2", &[]).0, 404);
}

/// Standing jobs that can never run or are malformed are permanently refused by every node and at any time, also
/// before all controllers are known to support standing jobs. A feasible one is accepted.
#[test]
fn infeasible_and_malformed_standing_jobs_are_refused() {
    let (state, cloud, mut nodes) = start_cluster("refused");
    cloud
        .environment
        .endless
        .lock()
        .unwrap()
        .insert("run-1".into());
    for n in 0..3 {
        check_permanent_refusals(&nodes, n);
    }
    nodes.poll_until(
        1,
        "POST",
        "/work",
        &standing_submission("run-1", 8, &[]),
        |s, _| s == 201 || s == 200,
    );
    nodes.wait_for_status(2, "run-1", "running");
    // These jobs are refused also while there is no leader, and by a process that has just started.
    let old = leader(&state).unwrap();
    nodes.children[old].kill().unwrap();
    nodes.children[old].wait().unwrap();
    check_permanent_refusals(&nodes, (old + 1) % 3);
    nodes.children[old] = spawn(&nodes.configs[old]);
    nodes.poll_until(old, "GET", "/up", &[], |s, _| s == 200);
    check_permanent_refusals(&nodes, old);
    let repeat = standing_submission("run-1", 99, &[("shape", None)]);
    for n in 0..3 {
        nodes.poll_until(n, "POST", "/work", &repeat, |s, a| {
            assert!(matches!(s, 200 | 503), "{s}");
            a.as_ref()
                .is_some_and(|a| matches!(a.status.as_str(), "queued" | "running"))
        });
    }
}

/// Controllers are killed and restarted immediately, also during elections and during an outage of the store.
/// Afterwards every node knows every accepted job, all jobs are done, and no task ran twice.
#[test]
fn accepted_jobs_survive_restarts_during_elections_and_an_outage() {
    let (state, cloud, mut nodes) = start_cluster("back");
    let accepted = |s: u16, _: &Option<JobStatus>| s == 200 || s == 201;
    let mut jobs = Vec::new();
    for round in 0..3 {
        for n in 0..3 {
            let id = format!("run-{}", 10 * round + n);
            nodes.poll_until(n, "POST", "/work", &job(&id, 3, 2.0), accepted);
            jobs.push(id);
        }
        *state.down.lock().unwrap() = round == 1;
        // The leader is restarted first, then all controllers, one right after the other.
        let first = leader(&state).unwrap_or(0);
        for n in [first, 0, 1, 2] {
            nodes.children[n].kill().unwrap();
            nodes.children[n].wait().unwrap();
            nodes.children[n] = spawn(&nodes.configs[n]);
        }
        state.end_outage();
    }
    for id in &jobs {
        for n in 0..3 {
            nodes.wait_for_status(n, id, "done");
        }
    }
    assert_eq!(cloud.environment.started.lock().unwrap().len(), 27);
    assert_eq!(
        *cloud.environment.duplicate_runs.lock().unwrap(),
        Vec::<String>::new()
    );
}

/// A controller that loses the store and its peers, but not its workers, no longer acts as leader and names no other
/// one, and `/up` says that it can't serve. It recovers without a restart.
#[test]
fn leader_without_store_and_peers_stops_acting_until_the_store_is_back() {
    let (state, state_addr) = StoreServer::start();
    let (_cloud, cloud_addr) = CloudServer::start();
    // The peers of node 0 stay down for the whole test.
    let mut nodes = nodes::start(state_addr, cloud_addr, "alone");
    for child in nodes.children.drain(1..) {
        let mut child = child;
        child.kill().unwrap();
        child.wait().unwrap();
    }
    nodes.poll_until(0, "GET", "/up", &[], |s, _| s == 200);
    nodes.poll_until(0, "POST", "/work", &job("run-1", 1, 1.0), |s, _| s == 201);
    let report = encode(
        &cbor!({
            "host" => "m-9", "addr" => "127.0.0.1:1", "build" => "small", "yard" => "east",
            "loaners" => true, "shift" => 1, "tick" => 1, "baton" => 0, "pieces" => []
        })
        .unwrap(),
    );
    nodes.poll_until(0, "POST", "/checkin", &report, |s, _| s == 503 || s == 200);
    *state.down.lock().unwrap() = true;
    nodes.poll_until(0, "POST", "/checkin", &report, |s, _| s == 421);
    let client = Client::new(nodes.public[0]);
    let response = client
        .call("POST", "/checkin", &report, Duration::from_secs(5))
        .unwrap();
    let hint: std::collections::BTreeMap<String, String> = decode(&response.body).unwrap();
    assert_eq!((response.status, hint.len()), (421, 0));
    nodes.poll_until(0, "GET", "/up", &[], |s, _| s == 503);
    assert_eq!(nodes.call(0, "GET", "/work/run-1", &[]).0, 503);
    assert_eq!(nodes.call(0, "GET", "/work/run-2", &[]).0, 503);
    state.end_outage();
    nodes.poll_until(0, "GET", "/up", &[], |s, _| s == 200);
    nodes.poll_until(0, "GET", "/work/run-1", &[], |s, _| s == 200);
    nodes.poll_until(0, "GET", "/work/run-2", &[], |s, _| s == 404);
}

/// The key-value store refuses the leader alone, another controller takes over and confirms a cancellation, and then
/// the store is down for all. The tasks of the cancelled job end nevertheless, while the outage lasts: the old leader
/// stops answering workers when its lease may have expired, and then the workers' leases expire too. After the outage
/// the old leader doesn't start the job again.
#[test]
fn cancelled_tasks_stop_in_a_store_outage_after_a_takeover() {
    let (state, _) = StoreServer::start();
    let (cloud, cloud_addr) = CloudServer::start();
    let relays = [0; 3].map(|_| StoreProxy::to(&state));
    let nodes = nodes::start_with_stores(relays.each_ref().map(|relay| relay.1), cloud_addr, "gap");
    let named = |i: usize| (format!("n-{i}"), nodes.public[i]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    cloud
        .environment
        .endless
        .lock()
        .unwrap()
        .insert("run-1".into());
    for n in 0..3 {
        nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
    }
    nodes.poll_until(0, "POST", "/work", &job("run-1", 3, 2.0), |s, _| s == 201);
    nodes.wait_for_status(0, "run-1", "running");

    let old = leader(&state).unwrap();
    let other = (old + 1) % 3;
    *relays[old].0.refuses.lock().unwrap() = true;
    let cancelled = nodes.poll_until(other, "POST", "/work/run-1/withdraw", &[], |s, _| s == 200);
    assert_eq!(cancelled.unwrap().status, "cancelled");
    *state.down.lock().unwrap() = true;
    assert_ne!(leader(&state), Some(old), "the old leader still leads");
    let report = encode(
        &cbor!({
            "host" => "m-9", "addr" => "127.0.0.1:1", "build" => "small", "yard" => "east",
            "loaners" => true, "shift" => 1, "tick" => 1, "baton" => 0, "pieces" => []
        })
        .unwrap(),
    );
    nodes.poll_until(old, "POST", "/checkin", &report, |s, _| s == 421);
    let deadline = Instant::now() + Duration::from_secs(120);
    while !cloud.environment.running.lock().unwrap().is_empty() {
        assert!(
            Instant::now() < deadline,
            "tasks of the cancelled job still run"
        );
        std::thread::sleep(Duration::from_millis(50));
    }

    *relays[old].0.refuses.lock().unwrap() = false;
    state.end_outage();
    nodes.poll_until(other, "POST", "/work", &job("run-2", 2, 1.0), |s, _| {
        s == 201
    });
    for n in 0..3 {
        nodes.wait_for_status(n, "run-1", "cancelled");
        nodes.wait_for_status(n, "run-2", "done");
    }
    assert_eq!(cloud.environment.running.lock().unwrap().len(), 0);
    assert_eq!(
        *cloud.environment.duplicate_runs.lock().unwrap(),
        Vec::<String>::new()
    );
}

/// Key-value store that doesn't answer in time and counts the write transactions that it gets.
#[derive(Default)]
struct UnresponsiveStore(AtomicUsize);

impl Handler for UnresponsiveStore {
    fn handle(&self, request: Request) -> Response {
        if request.path == "/multi" {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_secs(60));
        Response::new(503, Vec::new())
    }
}

/// A node gets no answers from the key-value store. Its users don't wait for the store, since its peers accept their
/// jobs.
#[test]
fn peers_accept_jobs_for_a_node_whose_store_does_not_answer() {
    let (_state, state_addr) = StoreServer::start();
    let (_cloud, cloud_addr) = CloudServer::start();
    let unresponsive = Arc::new(UnresponsiveStore::default());
    let unresponsive_addr =
        aspenreel_simulation::stand_ins::http_listener::listen(unresponsive.clone());
    let store_addrs = [unresponsive_addr, state_addr, state_addr];
    let nodes = nodes::start_with_stores(store_addrs, cloud_addr, "silent");
    for node in 0..3 {
        nodes.poll_until(node, "GET", "/up", &[], |s, _| s == 200);
    }
    for n in 1..4 {
        let id = format!("run-{n}");
        nodes.poll_until(0, "POST", "/work", &job(&id, 1, 1.0), |s, _| s == 201);
        nodes.poll_until(2, "GET", &format!("/work/{id}"), &[], |s, _| s == 200);
    }
    assert_eq!(unresponsive.0.load(Ordering::SeqCst), 0);
}

/// While the leader has as many jobs as its memory allows, every node refuses further jobs at once and says when to
/// retry. Accepted jobs stay known.
#[test]
fn all_nodes_refuse_new_jobs_while_the_leader_is_full() {
    let (_state, state_addr) = StoreServer::start();
    let (_cloud, cloud_addr) = CloudServer::start();
    let nodes = nodes::start(state_addr, cloud_addr, "full");
    for node in 0..3 {
        nodes.poll_until(node, "GET", "/up", &[], |s, _| s == 200);
    }
    nodes.poll_until(0, "POST", "/work", &job("run-1", 1, 1.0), |s, _| s == 201);
    let store = Store::new(state_addr, 1000.0, Arc::new(System::default()));
    let set_full = [Change::write("full", to_value(&true))];
    assert!(
        store
            .transact(&[], &set_full, StorePriority::Normal)
            .is_ok()
    );
    for node in 0..3 {
        let (status, _) = nodes.call(node, "POST", "/work", &job("run-2", 1, 1.0));
        assert_eq!(status, 503);
        let (status, _) = nodes.call(node, "POST", "/work", &job("run-1", 1, 1.0));
        assert_eq!(status, 200);
    }
    let clear_full = [Change::delete("full")];
    assert!(
        store
            .transact(&[], &clear_full, StorePriority::Normal)
            .is_ok()
    );
    nodes.poll_until(1, "POST", "/work", &job("run-2", 1, 1.0), |s, _| s == 201);
}

/// Reads for users may exhaust a node's request rate. Writes that the write budget has admitted are sent
/// nevertheless.
#[test]
fn admitted_writes_are_sent_when_reads_exhaust_the_request_rate() {
    let (_state, addr) = StoreServer::start();
    let store = Store::new(addr, 1e-6, Arc::new(System::default()));
    assert!(
        store
            .get("jobs/run-1", StorePriority::Normal)
            .unwrap()
            .is_none()
    );
    assert!(store.get("jobs/run-1", StorePriority::Normal).is_err());
    let change = [Change::write("jobs/run-1", to_value(&1))];
    assert!(store.transact(&[], &change, StorePriority::Normal).is_err());
    let written = store
        .transact(&[], &change, StorePriority::Admitted)
        .unwrap();
    assert!(matches!(written, TransactionOutcome::Committed { .. }));
}

/// A transaction of a previous leader that the network delivers late fails its precondition on the revision of the
/// leader record.
#[test]
fn late_transactions_of_a_previous_leader_fail() {
    let (state, addr) = StoreServer::start();
    let system = Arc::new(System::default());
    let store = Store::new(addr, 1000.0, system.clone());
    let lease = Micros::from_secs(60);
    let ElectionOutcome::Won(old) = campaign(&store, &*system, "n-0", lease).unwrap() else {
        panic!("n-0 lost an election without other candidates");
    };
    assert!(matches!(
        campaign(&store, &*system, "n-1", lease).unwrap(),
        ElectionOutcome::Lost
    ));
    store.end_lease(old.lease_id).unwrap();
    let ElectionOutcome::Won(new) = campaign(&store, &*system, "n-1", lease).unwrap() else {
        panic!("n-1 lost the election although the leadership was free");
    };
    assert_eq!(new.term, old.term + 1);
    let write = |text: &str| Change::write("done/run-1/0", to_value(&text));
    let late = store
        .transact(
            &[old.precondition()],
            &[write("old")],
            StorePriority::Normal,
        )
        .unwrap();
    assert_eq!(
        late,
        TransactionOutcome::Conflict {
            failed: vec!["leader".into()]
        }
    );
    let now = store
        .transact(
            &[new.precondition()],
            &[write("new")],
            StorePriority::Normal,
        )
        .unwrap();
    assert!(matches!(now, TransactionOutcome::Committed { .. }));
    assert_eq!(state.data("done/run-1/0"), Some(Value::Text("new".into())));
}

/// A list of machines with nine pages is read to its end repeatedly, while jobs are served.
#[test]
fn list_of_thousands_of_machines_is_read_repeatedly() {
    let (_, cloud, nodes) = start_cluster("long-list");
    cloud.extra_listed.store(4200, Ordering::Relaxed);
    cloud.lists_served.store(0, Ordering::Relaxed);
    let deadline = Instant::now() + Duration::from_secs(120);
    while cloud.lists_served.load(Ordering::Relaxed) < 3 {
        assert!(
            Instant::now() < deadline,
            "the list of machines is not read to its end"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    // Jobs are served meanwhile.
    nodes.poll_until(0, "POST", "/work", &job("run-1", 2, 1.0), |s, _| s == 201);
    nodes.wait_for_status(1, "run-1", "done");
}
