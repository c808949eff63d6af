//! Processes of the version in production and of the present version in one cluster, on the same records.
//!
//! The version in production is built from the repository's history, at the commit that `deploy/service.toml` names.

use crate::nodes::{
    JobStatus, Nodes, job, leader, program_under_test, spawn, spawn_program,
    spawn_with_link_monitoring,
};
use aspenreel::http::cbor::encode;
use aspenreel::store::to_value;
use aspenreel_simulation::stand_ins::cloud_server::CloudServer;
use aspenreel_simulation::stand_ins::store_server::{StoreProxy, StoreServer};
use ciborium::cbor;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

#[derive(Deserialize)]
struct Deploy {
    production: String,
}

static PRODUCTION_PROGRAM: LazyLock<Option<PathBuf>> = LazyLock::new(build_production);

/// Program of the version in production; `None` if the repository's history doesn't include its commit.
fn production_program() -> Option<&'static Path> {
    PRODUCTION_PROGRAM.as_deref()
}

fn build_production() -> Option<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).unwrap();
    let commit = toml::from_str::<Deploy>(&deploy).unwrap().production;
    let commit_exists = Command::new("git")
        .current_dir(root)
        .args(["cat-file", "-e", &format!("{commit}^{{commit}}")])
        .status();
    if !commit_exists.is_ok_and(|s| s.success()) {
        println!("not run: commit {commit} is not in this copy of the repository");
        return None;
    }
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("production-{commit}"));
    std::fs::create_dir_all(&dir).unwrap();
    let archive = dir.join("sources.tar");
    let run = |command: &mut Command| {
        let status = command.current_dir(root).status().unwrap();
        assert!(status.success(), "{command:?}");
    };
    run(Command::new("git")
        .args(["archive", "--output"])
        .arg(&archive)
        .args([&commit, "Cargo.toml", "Cargo.lock", "src"]));
    run(Command::new("tar")
        .arg("-xf")
        .arg(&archive)
        .arg("-C")
        .arg(&dir));
    run(Command::new(env!("CARGO"))
        .args(["build", "--release", "--locked", "--manifest-path"])
        .arg(dir.join("Cargo.toml"))
        .arg("--target-dir")
        .arg(dir.join("target")));
    Some(dir.join("target/release/aspenreel"))
}

/// Encoded submission of a standing job.
fn standing_submission(id: &str, tasks: u32) -> Vec<u8> {
    let wire = cbor!({
        "ref" => id, "lane" => "portal", "crew" => "a", "shape" => "standing",
        "rank" => "production", "pieces" => tasks, "cpus" => 1, "gpus" => 0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "samePlace" => false, "spread" => false,
        "loaners" => true, "guessS" => 0, "bookmarkS" => 0, "stashS" => 0
    });
    encode(&wire.unwrap())
}

/// Three controllers of either version, each connected to the key-value store through its own relay.
struct MixedCluster {
    /// Program of the version in production.
    old: &'static Path,
    state: Arc<StoreServer>,
    cloud: Arc<CloudServer>,
    relays: [Arc<StoreProxy>; 3],
    nodes: Nodes,
}

#[derive(Clone, Copy)]
enum Version {
    Production,
    /// The present version.
    Newest,
    /// The present version, with `--half-cut-links`.
    LinkMonitoring,
}

impl MixedCluster {
    /// Starts three controllers of the version in production.
    fn start(old: &'static Path, tag: &str) -> MixedCluster {
        let (state, _) = StoreServer::start();
        let (cloud, cloud_addr) = CloudServer::start();
        let relays = [0; 3].map(|_| StoreProxy::to(&state));
        let addresses = relays.each_ref().map(|relay| relay.1);
        let nodes = crate::nodes::start_program(old, addresses, cloud_addr, tag);
        let named = |i: usize| (format!("n-{i}"), nodes.public[i]);
        *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
        for n in 0..3 {
            nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
        }
        MixedCluster {
            old,
            state,
            cloud,
            relays: relays.map(|relay| relay.0),
            nodes,
        }
    }

    /// Makes the tasks of this job run until they are stopped.
    fn make_endless(&self, id: &str) {
        self.cloud
            .environment
            .endless
            .lock()
            .unwrap()
            .insert(id.into());
    }

    fn stop(&mut self, n: usize) {
        self.nodes.children[n].kill().unwrap();
        self.nodes.children[n].wait().unwrap();
    }

    fn restart(&mut self, n: usize, version: Version) {
        self.stop(n);
        self.nodes.children[n] = match version {
            Version::Production => spawn_program(self.old, &self.nodes.configs[n]),
            Version::Newest => spawn(&self.nodes.configs[n]),
            Version::LinkMonitoring => spawn_with_link_monitoring(&self.nodes.configs[n]),
        };
        self.nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
    }

    /// Makes this controller the leader: the store refuses the others until it is elected.
    fn make_leader(&self, n: usize) {
        let deadline = Instant::now() + Duration::from_secs(120);
        while leader(&self.state) != Some(n) {
            self.refuse_store_to_all_but(n);
            assert!(Instant::now() < deadline, "n-{n} is not the leader");
            std::thread::sleep(Duration::from_millis(50));
        }
        self.allow_store_to_all();
    }

    /// Makes the store refuse the requests of all other controllers.
    fn refuse_store_to_all_but(&self, n: usize) {
        for (m, relay) in self.relays.iter().enumerate() {
            *relay.refuses.lock().unwrap() = m != n;
        }
    }

    fn allow_store_to_all(&self) {
        for relay in &self.relays {
            *relay.refuses.lock().unwrap() = false;
        }
    }

    fn submit(&self, n: usize, body: &[u8]) {
        let accepted = |s: u16, _: &Option<JobStatus>| s == 200 || s == 201;
        self.nodes.poll_until(n, "POST", "/work", body, accepted);
    }

    /// Cancels a job through this controller, and checks that none of its tasks was done.
    fn cancel(&self, n: usize, id: &str) {
        let path = format!("/work/{id}/withdraw");
        let answer = self
            .nodes
            .poll_until(n, "POST", &path, &[], |s, _| s == 200);
        let answer = answer.unwrap();
        assert_eq!((answer.status.as_str(), answer.done), ("cancelled", 0));
    }

    /// Waits until the stored records satisfy the condition; panics with `failure` if they don't in two minutes.
    fn until_stored(&self, failure: &str, condition: impl Fn(&StoreServer) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(120);
        while !condition(&self.state) {
            assert!(Instant::now() < deadline, "{failure}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn until_nothing_runs(&self) {
        let deadline = Instant::now() + Duration::from_secs(120);
        while !self.cloud.environment.running.lock().unwrap().is_empty() {
            assert!(Instant::now() < deadline, "tasks still run");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Checks that no task ran on two machines at once.
    fn assert_no_duplicate_runs(&self) {
        let broken = self.cloud.environment.duplicate_runs.lock().unwrap();
        assert_eq!(*broken, Vec::<String>::new());
    }
}

/// Text form of the stored term counter.
fn stored_term(state: &StoreServer) -> String {
    state
        .data("term")
        .map_or(String::new(), |d| format!("{d:?}"))
}

/// The two versions lead in turn on each other's records, and a controller of the old version restarts as the old
/// version. Then all run the new version, and standing jobs are accepted from then on. No task runs twice, no job is
/// lost, and no answer contradicts an earlier one.
#[test]
fn jobs_are_kept_while_each_version_leads_in_turn() {
    let Some(old) = production_program() else {
        return;
    };
    let mut mixed = MixedCluster::start(old, "versions");
    mixed.make_endless("run-2");
    mixed.make_endless("run-9");
    mixed.submit(0, &job("run-1", 4, 2.0));
    mixed.submit(1, &job("run-2", 3, 2.0));
    mixed.nodes.wait_for_status(2, "run-1", "done");
    mixed.nodes.wait_for_status(0, "run-2", "running");

    // The new version leads on records of the old one, and writes records that the old one can read.
    mixed.restart(0, Version::Newest);
    mixed.make_leader(0);
    mixed.submit(1, &job("run-3", 4, 2.0));
    mixed.nodes.wait_for_status(2, "run-3", "done");
    mixed.nodes.wait_for_status(1, "run-2", "running");
    let standing_at = |nodes: &Nodes, n| {
        nodes
            .call(n, "POST", "/work", &standing_submission("run-9", 2))
            .0
    };
    assert_eq!(standing_at(&mixed.nodes, 0), 503);
    assert_eq!(standing_at(&mixed.nodes, 1), 400);

    // A controller restarts with the old version and leads on records of the new one.
    mixed.restart(1, Version::Production);
    mixed.make_leader(1);
    mixed.submit(0, &job("run-4", 4, 2.0));
    mixed.nodes.wait_for_status(0, "run-4", "done");
    mixed.nodes.wait_for_status(0, "run-2", "running");
    for n in 0..3 {
        mixed.nodes.wait_for_status(n, "run-1", "done");
        mixed.nodes.wait_for_status(n, "run-3", "done");
    }
    assert_eq!(standing_at(&mixed.nodes, 0), 503);

    // All run the new version: standing jobs are accepted, run, and end when they are cancelled.
    mixed.restart(1, Version::Newest);
    mixed.restart(2, Version::Newest);
    mixed.submit(2, &standing_submission("run-9", 2));
    mixed.nodes.wait_for_status(1, "run-9", "running");
    mixed.nodes.wait_for_status(1, "run-2", "running");
    mixed.cancel(0, "run-9");
    mixed.cancel(0, "run-2");
    mixed.until_nothing_runs();
    mixed.assert_no_duplicate_runs();
}

/// Submits a standing job; returns the HTTP status and the job state in the answer.
fn submit_standing(mixed: &MixedCluster, n: usize, id: &str) -> (u16, Option<String>) {
    let (status, answer) = mixed
        .nodes
        .call(n, "POST", "/work", &standing_submission(id, 2));
    (status, answer.map(|a| a.status))
}

/// Checks that two controllers of the version in production answer users, and that neither is elected although the
/// leadership is free.
fn check_free_leadership_is_not_taken(mixed: &MixedCluster) {
    let term = stored_term(&mixed.state);
    *mixed.relays[0].refuses.lock().unwrap() = true;
    mixed.until_stored("the leadership is not free", |store| {
        leader(store).is_none()
    });
    for n in [1, 2] {
        // Repeated for long enough that each of them has tried to be elected; users' requests are answered meanwhile.
        for _ in 0..40 {
            let (status, _) = mixed.nodes.call(n, "GET", "/work/run-9", &[]);
            assert!(matches!(status, 200 | 503), "{status}");
            // The job can't be cancelled, and no answer says that it has ended or is unknown.
            let (status, _) = mixed.nodes.call(n, "POST", "/work/run-9/withdraw", &[]);
            assert_eq!(status, 503);
            let (status, state) = submit_standing(mixed, n, "run-9");
            let queued = state.as_deref() == Some("queued");
            assert!(
                status == 503 || (status == 200 && queued),
                "{status} {state:?}"
            );
            assert_eq!(leader(&mixed.state), None);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    assert_eq!(stored_term(&mixed.state), term);
}

/// Runs the command that lets earlier versions lead again; returns its standard output and standard error.
fn allow_earlier_versions(mixed: &MixedCluster) -> (String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_aspenreel"))
        .args(["allow-earlier-versions", "--config"])
        .arg(&mixed.nodes.configs[0])
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (text(output.stdout), text(output.stderr))
}

/// Checks that earlier versions can be allowed again only while there is neither a leader nor a standing job.
fn check_rollback_needs_no_leader_and_no_standing_jobs(mixed: &mut MixedCluster) {
    let (_, refusal) = allow_earlier_versions(mixed);
    assert!(refusal.contains("n-0 leads"), "{refusal}");
    mixed.stop(0);
    mixed.until_stored("the leadership is not free", |state| {
        leader(state).is_none()
    });
    let (_, refusal) = allow_earlier_versions(mixed);
    assert!(refusal.contains("cancel run-9 first"), "{refusal}");
    mixed.restart(0, Version::Newest);
    mixed.cancel(0, "run-9");
    mixed.until_nothing_runs();
    let retired = |state: &StoreServer| state.data("jobs/run-9").is_none();
    mixed.until_stored("run-9 is not retired", retired);
    for n in 0..3 {
        mixed.stop(n);
    }
    mixed.until_stored("the leadership is not free", |state| {
        leader(state).is_none()
    });
    let (output, refusal) = allow_earlier_versions(mixed);
    assert_eq!(
        (output.as_str(), refusal.as_str()),
        ("controllers of earlier versions may lead\n", "")
    );
}

/// Once standing jobs were accepted, a controller that restarts with the old version serves users but is never
/// elected, even if no other controller can be: as leader it would stop the replicas. A controller of the new version
/// takes over again. An operator who has cancelled the standing jobs and stopped all controllers may roll back.
#[test]
fn earlier_versions_cannot_lead_once_standing_jobs_are_accepted() {
    let Some(old) = production_program() else {
        return;
    };
    let mut mixed = MixedCluster::start(old, "fence");
    mixed.make_endless("run-9");
    for n in 0..3 {
        mixed.restart(n, Version::Newest);
    }
    mixed.submit(0, &standing_submission("run-9", 2));
    mixed.nodes.wait_for_status(1, "run-9", "running");

    // Two restart with the old version. They serve users, and neither is elected while the leadership is free for
    // long.
    mixed.restart(1, Version::Production);
    mixed.restart(2, Version::Production);
    mixed.submit(1, &job("run-1", 2, 2.0));
    mixed.nodes.wait_for_status(2, "run-1", "done");
    mixed.nodes.wait_for_status(2, "run-9", "running");
    mixed.make_leader(0);
    mixed.nodes.wait_for_status(1, "run-9", "running");
    assert_eq!(
        submit_standing(&mixed, 1, "run-9").0,
        200,
        "the leader knows the job"
    );
    assert_eq!(
        submit_standing(&mixed, 1, "run-8").0,
        400,
        "the old version doesn't know this kind of job"
    );
    check_free_leadership_is_not_taken(&mixed);
    mixed.allow_store_to_all();
    mixed.nodes.wait_for_status(2, "run-9", "running");

    check_rollback_needs_no_leader_and_no_standing_jobs(&mut mixed);
    for n in 0..3 {
        mixed.restart(n, Version::Production);
    }
    mixed.submit(1, &job("run-5", 4, 2.0));
    mixed.nodes.wait_for_status(0, "run-5", "done");
    mixed.nodes.wait_for_status(0, "run-9", "cancelled");
    mixed.assert_no_duplicate_runs();
}

/// There is a record of a standing job although the version in production leads. This happens if an earlier release
/// accepted the job and a controller restarts with the version in production. That leader neither ends nor forgets
/// the job, and no replica runs twice when a controller of the new version leads again.
#[test]
fn standing_job_survives_a_leader_of_the_version_in_production() {
    let Some(old) = production_program() else {
        return;
    };
    let mut mixed = MixedCluster::start(old, "outlives");
    mixed.make_endless("run-9");
    // Feature level as an earlier release writes it, without fencing the term counter.
    let level = to_value(&2u64);
    mixed.state.write("level", level);
    mixed.restart(0, Version::Newest);
    mixed.make_leader(0);
    mixed.submit(0, &standing_submission("run-9", 2));
    mixed.nodes.wait_for_status(0, "run-9", "running");

    mixed.make_leader(1);
    mixed.until_nothing_runs();
    for n in 0..3 {
        let (status, answer) = mixed.nodes.call(n, "GET", "/work/run-9", &[]);
        let state = answer.map(|a| a.status);
        assert!(
            status == 503 || state.as_deref() == Some("queued"),
            "{n}: {status} {state:?}"
        );
        let (status, answer) =
            mixed
                .nodes
                .call(n, "POST", "/work", &standing_submission("run-9", 2));
        let state = answer.map(|a| a.status);
        assert!(
            status == 503 || (status == 200 && state.as_deref() == Some("queued")),
            "{n}: {status} {state:?}"
        );
        let (status, _) = mixed.nodes.call(n, "POST", "/work/run-9/withdraw", &[]);
        assert_eq!(status, 503, "no controller can cancel it now");
    }
    mixed.make_leader(0);
    mixed.nodes.wait_for_status(1, "run-9", "running");
    mixed.cancel(1, "run-9");
    mixed.until_nothing_runs();
    mixed.assert_no_duplicate_runs();
}

/// A rolling upgrade begins during an outage of the key-value store and stops half-way, while jobs are cancelled
/// through controllers of either version. It continues during another outage. All nodes keep giving the final states
/// that were given once.
#[test]
fn final_states_are_kept_over_an_interrupted_upgrade_with_store_outages() {
    let Some(old) = production_program() else {
        return;
    };
    let mut mixed = MixedCluster::start(old, "halfway");
    for id in ["run-2", "run-3", "run-9"] {
        mixed.make_endless(id);
    }
    mixed.submit(0, &job("run-2", 2, 2.0));
    mixed.submit(1, &job("run-3", 2, 2.0));
    mixed.nodes.wait_for_status(2, "run-2", "running");
    mixed.nodes.wait_for_status(2, "run-3", "running");

    *mixed.state.down.lock().unwrap() = true;
    mixed.restart(0, Version::Newest);
    assert_eq!(
        mixed
            .nodes
            .call(0, "POST", "/work", &job("run-4", 2, 2.0))
            .0,
        503
    );
    mixed.state.end_outage();

    // Half-way: each version cancels a job while the other version leads.
    mixed.make_leader(1);
    mixed.cancel(0, "run-2");
    mixed.make_leader(0);
    mixed.cancel(2, "run-3");
    mixed.until_nothing_runs();
    mixed.submit(2, &job("run-4", 2, 2.0));
    mixed.nodes.wait_for_status(1, "run-4", "done");
    let check_final_states = |nodes: &Nodes| {
        for n in 0..3 {
            nodes.wait_for_status(n, "run-2", "cancelled");
            nodes.wait_for_status(n, "run-3", "cancelled");
            nodes.wait_for_status(n, "run-4", "done");
        }
    };
    check_final_states(&mixed.nodes);
    assert_eq!(
        mixed
            .nodes
            .call(0, "POST", "/work", &standing_submission("run-9", 2))
            .0,
        503
    );

    *mixed.state.down.lock().unwrap() = true;
    mixed.restart(1, Version::Newest);
    mixed.restart(2, Version::Newest);
    mixed.state.end_outage();
    mixed.submit(1, &standing_submission("run-9", 2));
    mixed.nodes.wait_for_status(2, "run-9", "running");
    check_final_states(&mixed.nodes);
    mixed.cancel(0, "run-9");
    mixed.until_nothing_runs();
    mixed.assert_no_duplicate_runs();
}

/// Controllers with link monitoring beside one of the version in production, which closes the connection when it gets
/// a request that it doesn't know. Each leads in turn, jobs run, and link monitoring can be turned off without
/// further steps.
#[test]
fn link_monitoring_beside_the_version_in_production() {
    let Some(old) = production_program() else {
        return;
    };
    let mut mixed = MixedCluster::start(old, "watching");
    mixed.restart(1, Version::LinkMonitoring);
    mixed.restart(2, Version::LinkMonitoring);
    for (n, id) in [(1, "run-1"), (0, "run-2"), (2, "run-3")] {
        mixed.make_leader(n);
        let accepted = |s, _: &Option<JobStatus>| s == 201 || s == 200;
        mixed
            .nodes
            .poll_until(n, "POST", "/work", &job(id, 4, 1.0), accepted);
        mixed.nodes.wait_for_status((n + 1) % 3, id, "done");
    }
    let output = Command::new(program_under_test())
        .args(["links", "--config"])
        .arg(&mixed.nodes.configs[1])
        .output()
        .unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(
        table.contains("closes the connection: an earlier version"),
        "{table}"
    );
    assert!(
        table.contains("view of n-0: doesn't exchange views"),
        "{table}"
    );
    assert_eq!(output.status.code(), Some(3));
    for n in [1, 2] {
        mixed.restart(n, Version::Newest);
    }
    mixed.nodes.wait_for_status(0, "run-1", "done");
    assert_eq!(
        *mixed.cloud.environment.duplicate_runs.lock().unwrap(),
        Vec::<String>::new()
    );
}
