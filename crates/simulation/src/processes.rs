//! Real controller processes on loopback.

use crate::servers::State;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{Client, ClientResponse};
use aspenreel::store::from_value;
use ciborium::cbor;
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The workers' lease in the settings of all processes.
pub const LEASE_S: f64 = 4.0;
/// The time for a cancellation in the settings of all processes.
pub const CANCEL_S: f64 = 8.0;

/// Ports for controllers come from below the range from which the system takes those of connections: a port
/// of that range could be taken by another test's connection before the controller listens on it, and then
/// the controller would end, and its test wait for it in vain.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 10_000;
/// More than one process takes, and prime to the number of ports.
const PORTS_APART: u32 = 389;

/// A port that nobody else in this process gets, and that nobody listens on.
fn free() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Runs of other copies at the same time begin elsewhere: their numbers may follow each other.
    let first = (std::process::id().wrapping_mul(PORTS_APART) % u32::from(PORTS)) as u16;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        assert!(taken < PORTS, "no free port");
        let port = FIRST_PORT + (first + taken) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Where three controllers listen, for users and for each other.
pub struct Addresses {
    pub public: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
}

impl Addresses {
    pub fn free() -> Addresses {
        Addresses {
            public: (0..3).map(|_| free()).collect(),
            peers: (0..3).map(|_| free()).collect(),
        }
    }
}

/// What differs between tests in what the platform hands over.
#[derive(Clone, Debug)]
pub struct Site {
    /// The limit of the only team; half of it is guaranteed.
    pub team_cpus: f64,
    pub sockets: u32,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            team_cpus: 32.0,
            sockets: 500,
        }
    }
}

/// Three processes and how they are reached.
pub struct Nodes {
    pub public: Vec<SocketAddr>,
    pub configs: Vec<PathBuf>,
    pub children: Vec<Child>,
}

impl Nodes {
    /// Processes that reach each other by ways of the test's own.
    pub fn start_at(
        site: &Site,
        addresses: Addresses,
        peer_way: impl Fn(usize, usize) -> SocketAddr,
        states: [SocketAddr; 3],
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
        for (n, state) in states.into_iter().enumerate() {
            let members: String = (0..3)
                .filter(|m| *m != n)
                .map(|m| {
                    format!(
                        "[[members]]\nnode = \"n-{m}\"\nlocation = \"east\"\npeer_addr = \"{}\"\n",
                        peer_way(n, m)
                    )
                })
                .collect();
            let text = format!(
                "node = \"n-{n}\"\nlocation = \"east\"\npublic_addr = \"{}\"\n\
                 peer_listen = \"{}\"\n{members}\
                 [endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
                 [settings]\nzones = [\"east\"]\nskew_ms = 5.0\n\
                 teams = [{{ name = \"a\", cpus = {:?}, cpus_max = {:?} }}]\n\
                 workers = {{ report_s = 0.5, lease_s = {LEASE_S:?}, cancel_s = {CANCEL_S:?} }}\n\
                 state = {{ rps = 500.0, write_rps = 200.0, value_kb = 8.0, txn_ops = 12 }}\n\
                 cloud = {{ rps = 50.0, list_lag_s = 1.0 }}\nquota = {{ sockets = {} }}\n",
                public[n],
                peers[n],
                site.team_cpus / 2.0,
                site.team_cpus,
                site.sockets
            );
            let name = format!("aspenreel-{}-{tag}-{n}.toml", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).unwrap();
            nodes.children.push(spawn(&path));
            nodes.configs.push(path);
        }
        nodes
    }

    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Option<Answer>) {
        let result =
            Client::new(self.public[node]).call(method, path, body, Duration::from_secs(5));
        match result {
            Ok(ClientResponse { status, body }) => (status, decode(&body).ok()),
            Err(_) => (0, None),
        }
    }

    /// Asks again, as users do, until the answer is as wanted.
    pub fn until(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        wanted: impl Fn(u16, &Option<Answer>) -> bool,
    ) -> Option<Answer> {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            let (status, answer) = self.call(node, method, path, body);
            if wanted(status, &answer) {
                return answer;
            }
            assert!(
                Instant::now() < deadline,
                "{method} {path}: still {status} {answer:?}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn until_status(&self, node: usize, id: &str, status: &str) {
        self.until(node, "GET", &format!("/work/{id}"), &[], |_, a| {
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

/// A process of some version, with these flags beside those that every test gives.
pub fn spawn_with(
    program: &Path,
    config: &Path,
    flags: &[&str],
    log_level: &str,
    stderr: Stdio,
) -> Child {
    Command::new(program)
        // Under the name that earlier versions know as well.
        .args(["serve", "--hold-ms", "2000", "--round-ms", "200"])
        .args(flags)
        .arg("--config")
        .arg(config)
        .env("LOG_LEVEL", log_level)
        .stderr(stderr)
        .spawn()
        .unwrap()
}

#[derive(Debug, Deserialize)]
pub struct Answer {
    pub status: String,
    #[serde(default)]
    pub done: u32,
}

pub fn job(id: &str, pieces: u32, cpus: f64) -> Vec<u8> {
    let wire = cbor!({
        "ref" => id, "lane" => "train", "crew" => "a", "shape" => "array", "rank" => "normal",
        "pieces" => pieces, "cpus" => cpus, "gpus" => 0, "ramGb" => 1.0, "bundle" => "img",
        "imageGb" => 1.0, "builds" => null, "samePlace" => false, "spread" => false,
        "loaners" => true, "guessS" => 1, "bookmarkS" => 0, "stashS" => 0, "extra" => [1, 2]
    })
    .unwrap();
    encode(&wire)
}

pub fn leader(state: &State) -> Option<usize> {
    #[derive(Deserialize)]
    struct Record {
        node: String,
    }
    let record: Record = from_value(&state.data("leader")?)?;
    record.node.strip_prefix("n-")?.parse().ok()
}
