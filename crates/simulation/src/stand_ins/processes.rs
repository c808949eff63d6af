//! Starts real controller processes on loopback, and sends them requests.

use crate::stand_ins::deployment::{CANCEL_S, Deployment, LEASE_S, SMALL_TEAM, SMALL_TEAM_CPUS};
use crate::stand_ins::ports::Addresses;
use crate::stand_ins::store_server::StoreServer;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{Client, ClientResponse};
use aspenreel::store::from_value;
use ciborium::cbor;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Three controller processes. They are killed when this value is dropped.
pub struct Nodes {
    /// Addresses for users and workers, by controller.
    pub public: Vec<SocketAddr>,
    /// Settings files, by controller; deleted on drop.
    pub configs: Vec<PathBuf>,
    /// Processes, by controller; killed on drop.
    pub children: Vec<Child>,
}

impl Nodes {
    /// Starts three controllers with `spawn`. Controller `n` reaches its peer `m` at `peer_address(n, m)`, and the
    /// key-value store at `stores[n]`. `tag` makes the names of the settings files unique within this process.
    pub fn start(
        deployment: &Deployment,
        addresses: Addresses,
        peer_address: impl Fn(usize, usize) -> SocketAddr,
        stores: [SocketAddr; 3],
        cloud: SocketAddr,
        tag: &str,
        spawn: impl Fn(&Path) -> Child,
    ) -> Nodes {
        let Addresses { public, peers } = addresses;
        let mut nodes = Nodes {
            public: public.clone(),
            configs: Vec::new(),
            children: Vec::new(),
        };
        for (n, store) in stores.into_iter().enumerate() {
            let members: String = (0..3)
                .filter(|m| *m != n)
                .map(|m| {
                    format!(
                        "[[members]]\nnode = \"n-{m}\"\nlocation = \"east\"\npeer_addr = \"{}\"\n",
                        peer_address(n, m)
                    )
                })
                .collect();
            let text = format!(
                "node = \"n-{n}\"\nlocation = \"east\"\npublic_addr = \"{}\"\n\
                 peer_listen = \"{}\"\n{members}\
                 [endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n\
                 [settings]\nzones = [\"east\"]\nskew_ms = 5.0\n\
                 teams = [{{ name = \"a\", cpus = {:?}, cpus_max = {:?} }},\n\
                   {{ name = \"{SMALL_TEAM}\", cpus = {SMALL_TEAM_CPUS:?}, cpus_max = {SMALL_TEAM_CPUS:?} }}]\n\
                 workers = {{ report_s = 0.5, lease_s = {LEASE_S:?}, cancel_s = {CANCEL_S:?} }}\n\
                 state = {{ rps = {:?}, write_rps = 200.0, value_kb = 8.0, txn_ops = 12 }}\n\
                 cloud = {{ rps = 50.0, list_lag_s = 1.0 }}\nquota = {{ sockets = {} }}\n",
                public[n],
                peers[n],
                deployment.team_cpus / 2.0,
                deployment.team_cpus,
                deployment.store_rps,
                deployment.sockets
            );
            let name = format!("aspenreel-{}-{tag}-{n}.toml", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).unwrap();
            nodes.children.push(spawn(&path));
            nodes.configs.push(path);
        }
        nodes
    }

    /// Sends one request to a controller. The status is 0 if the request fails or gets no response within 5 s.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Option<JobStatus>) {
        self.call_within(Duration::from_secs(5), node, method, path, body)
    }

    /// Sends one request to a controller. The status is 0 if the request fails or gets no response within `timeout`.
    pub fn call_within(
        &self,
        timeout: Duration,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Option<JobStatus>) {
        let result = Client::new(self.public[node]).call(method, path, body, timeout);
        match result {
            Ok(ClientResponse { status, body }) => (status, decode(&body).ok()),
            Err(_) => (0, None),
        }
    }

    /// Repeats a request, as users do, until its response satisfies `wanted`; panics after 120 s.
    pub fn poll_until(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        wanted: impl Fn(u16, &Option<JobStatus>) -> bool,
    ) -> Option<JobStatus> {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            let (status, answer) = self.call(node, method, path, body);
            if wanted(status, &answer) {
                return answer;
            }
            assert!(
                Instant::now() < deadline,
                "controller {node}: {method} {path} timed out, last response {status} {answer:?}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Polls a job until it has this status; panics after 120 s.
    pub fn wait_for_status(&self, node: usize, id: &str, status: &str) {
        self.poll_until(node, "GET", &format!("/work/{id}"), &[], |_, a| {
            a.as_ref().is_some_and(|a| a.status == status)
        });
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for path in &self.configs {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Starts a controller from `program`, which may be an earlier version, with `flags` in addition to those that
/// every test passes.
pub fn spawn_controller(
    program: &Path,
    config: &Path,
    flags: &[&str],
    log_level: &str,
    stderr: Stdio,
) -> Child {
    Command::new(program)
        // The old names of these options, which earlier versions accept as well.
        .args(["serve", "--hold-ms", "2000", "--round-ms", "200"])
        .args(flags)
        .arg("--config")
        .arg(config)
        .env("LOG_LEVEL", log_level)
        .stderr(stderr)
        .spawn()
        .unwrap()
}

/// Status of a job in a controller's response.
#[derive(Debug, Deserialize)]
pub struct JobStatus {
    /// Job state, in its wire form.
    pub status: String,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u32,
}

/// Encodes a submission of an array job of team `a`.
pub fn job(id: &str, tasks: u32, cpus: f64) -> Vec<u8> {
    job_of_team("a", id, tasks, cpus)
}

/// Encodes a submission of an array job.
pub fn job_of_team(team: &str, id: &str, tasks: u32, cpus: f64) -> Vec<u8> {
    let wire = cbor!({
        "ref" => id, "lane" => "train", "crew" => team, "shape" => "array", "rank" => "normal",
        "pieces" => tasks, "cpus" => cpus, "gpus" => 0, "ramGb" => 1.0, "bundle" => "img",
        "imageGb" => 1.0, "builds" => null, "samePlace" => false, "spread" => false,
        "loaners" => true, "guessS" => 1, "bookmarkS" => 0, "stashS" => 0, "extra" => [1, 2]
    })
    .unwrap();
    encode(&wire)
}

/// Returns the controller that the leader record in the store names.
pub fn leader(store: &StoreServer) -> Option<usize> {
    #[derive(Deserialize)]
    struct Record {
        node: String,
    }
    let record: Record = from_value(&store.data("leader")?)?;
    record.node.strip_prefix("n-")?.parse().ok()
}
