//! The version in production and this one, as processes side by side on each other's records.
//!
//! The older one is built from the repository's history, at the commit that `deploy/service.toml` names.

use crate::nodes::{Answer, Nodes, job, leader, spawn, spawn_as};
use crate::standin::{Cloud, Door, State};
use aspenreel::http::cbor::encode;
use ciborium::cbor;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

#[derive(Deserialize)]
struct Deploy {
    production: String,
}

/// Builds the version in production; None where the history doesn't reach back to it.
fn production() -> Option<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).unwrap();
    let commit = toml::from_str::<Deploy>(&deploy).unwrap().production;
    let there = Command::new("git")
        .current_dir(root)
        .args(["cat-file", "-e", &format!("{commit}^{{commit}}")])
        .status();
    if !there.is_ok_and(|s| s.success()) {
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

fn standing(id: &str, pieces: u32) -> Vec<u8> {
    let wire = cbor!({
        "ref" => id, "lane" => "portal", "crew" => "a", "shape" => "standing",
        "rank" => "production", "pieces" => pieces, "cpus" => 1, "gpus" => 0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "samePlace" => false, "spread" => false,
        "loaners" => true, "guessS" => 0, "bookmarkS" => 0, "stashS" => 0
    });
    encode(&wire.unwrap())
}

/// Each version leads in turn, on the other's records, and a process of the old one that dies comes
/// back old; then all are new. Nothing runs twice, nothing is lost or told otherwise, and standing jobs
/// are accepted from then on.
#[test]
fn each_version_leads_in_turn() {
    let Some(old) = production() else {
        return;
    };
    let (state, _) = State::start();
    let (cloud, cloud_addr) = Cloud::start();
    let doors = [0; 3].map(|_| Door::to(&state));
    let mut nodes = Nodes::start_with(doors.each_ref().map(|d| d.1), cloud_addr, "versions");
    let named = |i: usize| (format!("n-{i}"), nodes.public[i]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    let restart = |nodes: &mut Nodes, n: usize, program: Option<&Path>| {
        nodes.children[n].kill().unwrap();
        nodes.children[n].wait().unwrap();
        nodes.children[n] = match program {
            Some(program) => spawn_as(program, &nodes.configs[n]),
            None => spawn(&nodes.configs[n]),
        };
    };
    let accepted = |s: u16, _: &Option<Answer>| s == 200 || s == 201;
    // Refuses the others until this one leads.
    let lead = |n: usize| {
        let deadline = Instant::now() + Duration::from_secs(120);
        while leader(&state) != Some(n) {
            for (m, (door, _)) in doors.iter().enumerate() {
                *door.refuses.lock().unwrap() = m != n;
            }
            assert!(Instant::now() < deadline, "{n} doesn't lead");
            std::thread::sleep(Duration::from_millis(50));
        }
        for (door, _) in &doors {
            *door.refuses.lock().unwrap() = false;
        }
    };

    for n in 0..3 {
        restart(&mut nodes, n, Some(&old));
    }
    for n in 0..3 {
        nodes.until(n, "GET", "/up", &[], |s, _| s == 200);
    }
    cloud.ground.endless.lock().unwrap().insert("run-2".into());
    cloud.ground.endless.lock().unwrap().insert("run-9".into());
    nodes.until(0, "POST", "/work", &job("run-1", 4, 2.0), accepted);
    nodes.until(1, "POST", "/work", &job("run-2", 3, 2.0), accepted);
    nodes.until_status(2, "run-1", "done");
    nodes.until_status(0, "run-2", "running");

    // The new version leads over records of the old one, and writes what that reads.
    restart(&mut nodes, 0, None);
    nodes.until(0, "GET", "/up", &[], |s, _| s == 200);
    lead(0);
    nodes.until(1, "POST", "/work", &job("run-3", 4, 2.0), accepted);
    nodes.until_status(2, "run-3", "done");
    nodes.until_status(1, "run-2", "running");
    assert_eq!(nodes.call(0, "POST", "/work", &standing("run-9", 2)).0, 503);
    assert_eq!(nodes.call(1, "POST", "/work", &standing("run-9", 2)).0, 400);

    // An old one dies, comes back old, and leads over records of the new one.
    restart(&mut nodes, 1, Some(&old));
    nodes.until(1, "GET", "/up", &[], |s, _| s == 200);
    lead(1);
    nodes.until(0, "POST", "/work", &job("run-4", 4, 2.0), accepted);
    nodes.until_status(0, "run-4", "done");
    nodes.until_status(0, "run-2", "running");
    for n in 0..3 {
        nodes.until_status(n, "run-1", "done");
        nodes.until_status(n, "run-3", "done");
    }
    assert_eq!(nodes.call(0, "POST", "/work", &standing("run-9", 2)).0, 503);

    // All are new: standing jobs are accepted, run, and end when they are cancelled.
    restart(&mut nodes, 1, None);
    restart(&mut nodes, 2, None);
    nodes.until(2, "POST", "/work", &standing("run-9", 2), accepted);
    nodes.until_status(1, "run-9", "running");
    nodes.until_status(1, "run-2", "running");
    for id in ["run-9", "run-2"] {
        let path = format!("/work/{id}/withdraw");
        let told = nodes.until(0, "POST", &path, &[], |s, _| s == 200).unwrap();
        assert_eq!((told.status.as_str(), told.done), ("cancelled", 0));
    }
    let deadline = Instant::now() + Duration::from_secs(120);
    while !cloud.ground.running.lock().unwrap().is_empty() {
        assert!(Instant::now() < deadline, "they still run");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*cloud.ground.broken.lock().unwrap(), Vec::<String>::new());
}
