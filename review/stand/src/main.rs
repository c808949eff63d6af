//! Plays one case of the review: `review-stand CASE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.

mod cloud;
mod cluster;
mod record;
mod worker;

use cluster::{Cluster, JobSpec};
use record::Record;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use worker::Fails;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-stand CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&PathBuf::from(record)));
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the temporary folder");
    let (watchdog, left) = (record.clone(), folder.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(115));
        watchdog.note("COULD NOT RUN: out of time");
        let _ = std::fs::remove_dir_all(left);
        std::process::exit(2);
    });
    let is_broken = match case.as_str() {
        "repeated-start" => repeated_start(&record, folder.clone(), trouble),
        "mistaken-jobs" => mistaken_jobs(&record, folder.clone(), trouble),
        "huge-sweep" => huge_sweep(&record, folder.clone(), trouble),
        _ => std::process::exit(2),
    };
    record.note(if is_broken {
        "RESULT: rule broken"
    } else {
        "RESULT: rule held"
    });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    std::process::exit(i32::from(is_broken));
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// A controller ends, and a direct command that was carried out before is repeated by the network.
fn repeated_start(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> bool {
    let mut cluster = Cluster::start(record, 2, folder);
    cluster.keep_machines();
    let on = |task: &str, c: &Cluster| c.world.machines_of(task);
    pause(3.0);
    // Its task fails on the first machine, and starts again on the other one.
    let job = JobSpec {
        rank: "normal",
        tasks: 1,
        cpus: 16.0,
        run_s: 300.0,
        fails: Fails::OnFirstMachine,
    };
    cluster.submit("run-000002", &job);
    let task = "run-000002/0";
    if !cluster.wait(20.0, |c| !on(task, c).is_empty()) {
        cluster.give_up("the task did not start");
    }
    let first = on(task, &cluster)[0].clone();
    let moved = |c: &Cluster| {
        let now_on = on(task, c);
        let worker = c.workers.iter().find(|w| w.name == first).unwrap();
        now_on.len() == 1 && now_on[0] != first && !worker.lists(task)
    };
    if !cluster.wait(30.0, moved) {
        cluster.give_up("the task did not move");
    }
    let link = cluster
        .links
        .iter()
        .find(|l| l.worker.name == first)
        .unwrap()
        .clone();
    let Some(start) = link.carried_start("run-000002") else {
        cluster.give_up("the task's first start was no direct command");
    };
    // From here on it would run anywhere.
    let mut jobs = cluster.world.jobs.lock().unwrap();
    jobs.get_mut("run-000002").unwrap().fails = Fails::Never;
    drop(jobs);
    pause(1.0);
    if trouble {
        let Some(leader) = cluster.leader() else {
            cluster.give_up("no leader")
        };
        cluster.kill_node(leader);
        pause(1.0);
        link.repeat(&start);
        pause(3.0);
        cluster.start_node(leader);
    }
    pause(20.0);
    let machines = on(task, &cluster);
    record.note(&format!("at the end {task} is on {machines:?}"));
    cluster.stop();
    let broken = cluster.world.ran_twice.lock().unwrap();
    !broken.is_empty()
}

/// Jobs with a mistake fail on every machine until their users cancel them; later a sound job waits although the
/// machines have room.
fn mistaken_jobs(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> bool {
    let mut cluster = Cluster::start(record, 4, folder);
    cluster.keep_machines();
    pause(1.0);
    if trouble {
        let mistaken = JobSpec {
            rank: "normal",
            tasks: 1,
            cpus: 8.0,
            run_s: 1.0,
            fails: Fails::Always,
        };
        let jobs: Vec<String> = (0..6).map(|n| format!("run-00001{n}")).collect();
        for job in &jobs[..4] {
            cluster.submit(job, &mistaken);
        }
        for job in &jobs[4..] {
            pause(3.0);
            cluster.submit(job, &mistaken);
        }
        pause(2.0);
        for job in &jobs {
            cluster.withdraw(job);
        }
    }
    pause(1.0);
    let sound = JobSpec {
        rank: "normal",
        tasks: 1,
        cpus: 16.0,
        run_s: 5.0,
        fails: Fails::Never,
    };
    cluster.submit("run-000020", &sound);
    let accepted_at = record.now();
    let started = |c: &Cluster| {
        let starts = c.world.starts.lock().unwrap();
        starts.iter().any(|(_, task, _)| task == "run-000020/0")
    };
    let has_started = cluster.wait(92.0, started);
    let waited = record.now() - accepted_at;
    record.note(&format!(
        "run-000020 waited for {waited:.1} s, started: {has_started}"
    ));
    for worker in &cluster.workers {
        let name = &worker.name;
        record.note(&format!(
            "machine {name}: {:.0} CPUs free",
            worker.free_cpus()
        ));
    }
    let had_room = cluster.workers.iter().any(|w| w.free_cpus() >= 16.0);
    cluster.stop();
    waited > 90.0 && had_room
}

/// A guest's huge array of tiny tasks arrives while an ordinary job runs on the same machines.
fn huge_sweep(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> bool {
    let mut cluster = Cluster::start(record, 2, folder);
    cluster.record.quiet("run-000030/");
    let ordinary = JobSpec {
        rank: "normal",
        tasks: 2,
        cpus: 33.0,
        run_s: 60.0,
        fails: Fails::Never,
    };
    cluster.submit("run-000002", &ordinary);
    pause(2.0);
    if trouble {
        let sweep = JobSpec {
            rank: "low",
            tasks: 100_000,
            cpus: 0.1,
            run_s: 2.0,
            fails: Fails::Never,
        };
        cluster.submit("run-000030", &sweep);
    }
    let mut state = String::new();
    while record.now() < 105.0 && state != "done" {
        pause(5.0);
        state = cluster.ask(0, "GET", "/work/run-000002", &[], 2.0).1;
    }
    let mut lost_sessions = true;
    for worker in &cluster.workers {
        let (session, tasks, bytes) = worker.summary();
        let name = &worker.name;
        record.note(&format!(
            "machine {name}: session {session}, {tasks} tasks, last report {bytes} bytes"
        ));
        lost_sessions &= session > 3;
    }
    let done = cluster.world.done_tasks("run-000030");
    record.note(&format!(
        "run-000002 is {state}, {done} tasks of run-000030 are done"
    ));
    cluster.stop();
    state != "done" && lost_sessions
}
