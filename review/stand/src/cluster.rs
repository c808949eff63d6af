//! A small deployment on loopback: three controller processes, and the stand-ins that they talk to.

use crate::cloud::Cloud;
use crate::record::Record;
use crate::worker::{CANCEL_S, Fails, JobInfo, LEASE_S, REPORT_S, Worker, World};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{Client, ClientResponse};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel_simulation::fake_store::Limits;
use aspenreel_simulation::stand_ins::http_listener::listen;
use aspenreel_simulation::stand_ins::ports::Addresses;
use aspenreel_simulation::stand_ins::store_server::StoreServer;
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const NODES: usize = 3;

/// The network between the controllers and one worker. It remembers the direct commands that it carried.
pub struct Link {
    pub worker: Arc<Worker>,
    record: Arc<Record>,
    /// Bodies of the direct commands that the worker carried out and answered.
    carried: Mutex<Vec<Vec<u8>>>,
}

impl Link {
    /// The direct command that started this job, if the worker carried one out.
    pub fn carried_start(&self, job: &str) -> Option<Vec<u8>> {
        let carried = self.carried.lock().unwrap();
        carried.iter().find(|body| starts_job(body, job)).cloned()
    }

    /// Delivers a late copy of a request that the worker carried out before.
    pub fn repeat(&self, body: &[u8]) {
        let name = &self.worker.name;
        self.record.note(&format!(
            "network: a late copy of a direct command arrives at {name}"
        ));
        let response = self.worker.direct(body);
        self.record.note(&format!(
            "machine {name}: answers the copy with {}",
            response.status
        ));
    }
}

impl Handler for Link {
    fn handle(&self, request: Request) -> Response {
        if request.path != "/commands" {
            return self.worker.handle(request);
        }
        let body = request.body.clone();
        let response = self.worker.handle(request);
        if response.status == 200 {
            self.carried.lock().unwrap().push(body);
        }
        response
    }
}

/// True if the body of a direct command starts a task of the job.
pub fn starts_job(body: &[u8], job: &str) -> bool {
    decode::<crate::worker::Commands>(body).is_ok_and(|c| {
        c.orders
            .iter()
            .any(|o| o.verb == "run" && crate::worker::job_of(&o.piece) == job)
    })
}

#[derive(Deserialize)]
struct Status {
    status: String,
}

pub struct Cluster {
    pub record: Arc<Record>,
    pub world: Arc<World>,
    pub store: Arc<StoreServer>,
    pub workers: Vec<Arc<Worker>>,
    pub links: Vec<Arc<Link>>,
    pub public: Vec<SocketAddr>,
    configs: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    run: Vec<String>,
    folder: PathBuf,
}

/// The start command of the deploy file, from the root of the repository.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("read deploy/service.toml");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \""));
    let run = line.and_then(|l| l.strip_suffix('"')).expect("run command");
    run.split_whitespace().map(str::to_string).collect()
}

impl Cluster {
    /// Starts everything, and waits until all machines report to a leader.
    pub fn start(record: &Arc<Record>, machines: usize, folder: PathBuf) -> Cluster {
        let world = World::new(record.clone());
        let (store, store_addr) = StoreServer::start();
        store.store.lock().unwrap().limits = Some(Limits {
            value_bytes: 8 * 1024,
            txn_ops: 12,
            rps: 120.0,
            write_rps: 20.0,
        });
        let addresses = Addresses::free();
        let names: Vec<(String, SocketAddr)> = (0..NODES)
            .map(|n| (format!("reelhand-{n}"), addresses.public[n]))
            .collect();
        let mut workers = Vec::new();
        let mut links = Vec::new();
        for number in 0..machines {
            let worker = Worker::new(&format!("n-{:06}", number + 1), 64.0, &world, names.clone());
            let link = Arc::new(Link {
                worker: worker.clone(),
                record: record.clone(),
                carried: Mutex::default(),
            });
            *worker.addr.lock().unwrap() = listen(link.clone()).to_string();
            workers.push(worker);
            links.push(link);
        }
        let cloud = Arc::new(Cloud {
            machines: Mutex::new(
                workers
                    .iter()
                    .map(|w| (w.name.clone(), w.clone()))
                    .collect::<BTreeMap<_, _>>(),
            ),
            started: Instant::now(),
        });
        let cloud_addr = listen(cloud);
        let mut cluster = Cluster {
            record: record.clone(),
            world,
            store,
            workers,
            links,
            public: addresses.public.clone(),
            configs: Vec::new(),
            children: Vec::new(),
            run: run_command(),
            folder,
        };
        for n in 0..NODES {
            let text = settings(n, &addresses, store_addr, cloud_addr);
            let path = cluster.folder.join(format!("reelhand-{n}.toml"));
            std::fs::write(&path, text).expect("write settings");
            cluster.configs.push(path);
            cluster.children.push(None);
            cluster.start_node(n);
        }
        for worker in &cluster.workers {
            let worker = worker.clone();
            std::thread::spawn(move || worker.run());
        }
        let is_ready = |c: &Cluster| {
            c.workers
                .iter()
                .all(|w| w.last_answered.lock().unwrap().is_some())
        };
        if !cluster.wait(30.0, is_ready) {
            cluster.give_up("the machines found no leader");
        }
        cluster
    }

    /// Starts the process of a controller.
    pub fn start_node(&mut self, n: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("reelhand-{n}.log")))
            .expect("open log");
        let mut command = Command::new(&self.run[0]);
        // SAFETY: the call only sets an attribute of the child. The child ends with this process.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            })
        };
        let child = command
            .args(&self.run[1..])
            .arg(&self.configs[n])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.children[n] = Some(child),
            Err(error) => self.give_up(&format!("controller not started: {error}")),
        }
        self.record
            .note(&format!("controller reelhand-{n} started"));
    }

    /// Kills the process of a controller.
    pub fn kill_node(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("controller reelhand-{n} killed"));
        }
    }

    /// Controller that the leader's record names.
    pub fn leader(&self) -> Option<usize> {
        #[derive(Deserialize)]
        struct Leader {
            node: String,
        }
        let leader: Leader = self.store.data("leader")?.deserialized().ok()?;
        leader.node.strip_prefix("reelhand-")?.parse().ok()
    }

    /// Waits until the condition holds; false if it doesn't within this many seconds.
    pub fn wait(&self, seconds: f64, condition: impl Fn(&Cluster) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Ends the run: the case couldn't be played.
    pub fn give_up(&mut self, why: &str) -> ! {
        self.record.note(&format!("COULD NOT RUN: {why}"));
        self.stop();
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(2);
    }

    /// Kills all controllers.
    pub fn stop(&mut self) {
        for n in 0..NODES {
            self.kill_node(n);
        }
    }

    /// One request of a user to a controller, with the answer's status code and state.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: f64,
    ) -> (u16, String) {
        let sent = self.record.now();
        let client = Client::new(self.public[node]);
        let result = client.call(method, path, body, Duration::from_secs_f64(timeout));
        let (code, state) = match result {
            Ok(ClientResponse { status, body }) => {
                let state = decode::<Status>(&body).map_or(String::new(), |s| s.status);
                (status, state)
            }
            Err(_) => (0, String::new()),
        };
        self.record.note(&format!(
            "user to reelhand-{node}: {method} {path}, sent at {sent:.3}: {code} {state}"
        ));
        (code, state)
    }

    /// Submits a job that keeps every machine in use, so that none is returned, and waits until it runs.
    pub fn keep_machines(&mut self) {
        let count = self.workers.len() as u32;
        let spec = JobSpec {
            rank: "normal",
            tasks: count,
            cpus: 33.0,
            run_s: 300.0,
            fails: Fails::Never,
        };
        self.submit("run-000001", &spec);
        let runs = |c: &Cluster| {
            (0..count).all(|task| {
                !c.world
                    .machines_of(&format!("run-000001/{task}"))
                    .is_empty()
            })
        };
        if !self.wait(20.0, runs) {
            self.give_up("the job that keeps the machines in use did not start");
        }
    }

    /// Submits a job as users do, until it is accepted.
    pub fn submit(&mut self, id: &str, job: &JobSpec) {
        let info = JobInfo {
            cpus: job.cpus,
            image: "img-1".into(),
            run_s: job.run_s,
            fails: job.fails,
        };
        self.world.jobs.lock().unwrap().insert(id.to_string(), info);
        let body = encode(
            &cbor!({"ref" => id, "lane" => "gece-karisim", "crew" => "paketleme", "shape" => "array",
                "rank" => job.rank, "pieces" => job.tasks, "cpus" => job.cpus, "gpus" => 0.0,
                "ramGb" => job.cpus.min(2.0), "bundle" => "img-1", "imageGb" => 0.25, "builds" => Value::Null,
                "yard" => Value::Null, "samePlace" => false, "spread" => false, "loaners" => true,
                "guessS" => job.run_s, "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => Value::Null})
            .unwrap(),
        );
        for attempt in 0..30 {
            let node = (fastrand::usize(0..NODES) + attempt) % NODES;
            if matches!(self.ask(node, "POST", "/work", &body, 5.0).0, 200 | 201) {
                return;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        self.give_up("the job was not accepted");
    }

    /// Cancels a job as users do, until the answer is final. Returns the time of the answer and the state.
    pub fn withdraw(&mut self, id: &str) -> (f64, String) {
        for attempt in 0..30 {
            let node = (fastrand::usize(0..NODES) + attempt) % NODES;
            let path = format!("/work/{id}/withdraw");
            let (code, state) = self.ask(node, "POST", &path, &[], 5.0);
            if code == 200 {
                return (self.record.now(), state);
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        self.give_up("the cancellation was not answered");
    }
}

/// A job of a case.
pub struct JobSpec {
    pub rank: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub run_s: f64,
    pub fails: Fails,
}

fn settings(n: usize, addresses: &Addresses, store: SocketAddr, cloud: SocketAddr) -> String {
    let members: String = (0..NODES)
        .filter(|m| *m != n)
        .map(|m| {
            let addr = addresses.peers[m];
            format!("[[members]]\nnode = \"reelhand-{m}\"\nlocation = \"ege-bolge\"\npeer_addr = \"{addr}\"\n\n")
        })
        .collect();
    format!(
        "node = \"reelhand-{n}\"\nlocation = \"ege-bolge\"\npublic_addr = \"{}\"\npeer_listen = \"{}\"\n\n\
         {members}[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n\n\
         [settings]\ninitial_size = 3\nzones = [\"ege-bolge\"]\nskew_ms = 5.0\n\n\
         [[settings.teams]]\nname = \"paketleme\"\ncpus = 376.0\ncpus_max = 856.0\ngpus = 0.0\ngpus_max = 0.0\n\n\
         [[settings.objectives]]\nkind = \"deadline\"\nclass = \"gece-karisim\"\nshare = 0.9\ntimes = 1.0\n\n\
         [settings.workers]\nreport_s = {REPORT_S:?}\nlease_s = {LEASE_S:?}\ngang_wait_s = 50.0\ngang_peer_s = 6.0\n\
         cancel_s = {CANCEL_S:?}\n\n\
         [settings.state]\nrps = 120.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n\n\
         [settings.cloud]\nrps = 8.0\nlist_lag_s = 8.0\n\n\
         [settings.quota]\ncpu_share = 0.16\nmemory_mb = 104.0\nsockets = 1500\n",
        addresses.public[n], addresses.peers[n]
    )
}
