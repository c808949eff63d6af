//! Output and exit status of `aspenreel links`, with reachable and unreachable controllers and with other listeners
//! at their addresses; and the handling of link views and flags by controllers.

use crate::nodes::{
    Nodes, leader, program_under_test, spawn, spawn_with_link_monitoring, start_cluster,
};
use aspenreel::peer::{PeerReply, PeerRequest, PeerTransport, TcpTransport};
use aspenreel::settings::Settings;
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::view::LinkView;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// Runs `aspenreel links` with this settings file.
fn run_links(config: &Path, more: &[&str]) -> Output {
    Command::new(program_under_test())
        .args(["links", "--timeout-ms", "1000", "--config"])
        .arg(config)
        .args(more)
        .output()
        .unwrap()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Exit status of `aspenreel links --json`, and the controllers' answers ordered by name.
fn run_links_json(config: &Path) -> (i32, Vec<Value>) {
    let output = run_links(config, &["--json"]);
    let answers = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.code().unwrap(), answers)
}

/// Starts three controllers with link monitoring.
fn serving_with_monitoring(
    tag: &str,
) -> (
    std::sync::Arc<aspenreel_simulation::stand_ins::store_server::StoreServer>,
    Nodes,
) {
    let (state, _, mut nodes) = start_cluster(tag);
    for n in 0..3 {
        nodes.children[n].kill().unwrap();
        nodes.children[n].wait().unwrap();
        nodes.children[n] = spawn_with_link_monitoring(&nodes.configs[n]);
        nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
    }
    (state, nodes)
}

fn kill(nodes: &mut Nodes, n: usize) {
    nodes.children[n].kill().unwrap();
    nodes.children[n].wait().unwrap();
}

/// Waits until the three reports show one leader and all links to peers up; returns the answers.
fn wait_until_settled(config: &Path) -> Vec<Value> {
    let deadline = Instant::now() + Duration::from_secs(120);
    loop {
        let (code, answers) = run_links_json(config);
        let leading = answers.iter().filter(|a| a["report"]["leads"] == true);
        let peers_up = |answer: &Value| {
            let rows = answer["report"]["links"].as_array();
            let mut peers = rows
                .into_iter()
                .flatten()
                .filter(|row| row["link"]["peer"].is_string());
            peers.all(|row| row["state"] == "up")
        };
        if code == 0 && leading.count() == 1 && answers.iter().all(peers_up) {
            return answers;
        }
        assert!(Instant::now() < deadline, "{answers:#?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn reports_of_all_controllers_are_printed() {
    let (state, nodes) = serving_with_monitoring("links-all");
    let answers = wait_until_settled(&nodes.configs[1]);
    let names: Vec<&str> = answers.iter().filter_map(|a| a["node"].as_str()).collect();
    assert_eq!(names, ["n-0", "n-1", "n-2"]);
    let term = state.data("leader");
    let output = run_links(&nodes.configs[0], &[]);
    let table = stdout_text(&output);
    let leads = format!("n-{}: leads", leader(&state).unwrap());
    for wanted in [
        leads.as_str(),
        "decisions: all",
        "state-reads",
        "state-writes",
        "workers",
    ] {
        assert!(table.contains(wanted), "{wanted} is not in:\n{table}");
    }
    assert_eq!(output.status.code(), Some(0));
    // The command changes no record.
    assert_eq!(state.data("leader"), term);
}

#[test]
fn controllers_without_report_are_printed_with_the_reason() {
    let (_, mut nodes) = serving_with_monitoring("links-some");
    wait_until_settled(&nodes.configs[0]);
    kill(&mut nodes, 2);
    nodes.children[1].kill().unwrap();
    nodes.children[1].wait().unwrap();
    nodes.children[1] = spawn(&nodes.configs[1]);
    nodes.poll_until(1, "GET", "/up", &[], |s, _| s == 200);
    let output = run_links(&nodes.configs[0], &[]);
    let table = stdout_text(&output);
    assert!(table.contains("without --half-cut-links"), "{table}");
    assert!(table.contains("refuses connections"), "{table}");
    assert_eq!(output.status.code(), Some(3));
    kill(&mut nodes, 0);
    kill(&mut nodes, 1);
    let (code, answers) = run_links_json(&nodes.configs[0]);
    assert_eq!(code, 4);
    assert!(
        answers.iter().all(|a| a["problem"] == "refused"),
        "{answers:#?}"
    );
}

/// Starts a listener that serves its connections unlike a controller; returns its address.
fn listen_with(serve: fn(std::net::TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

#[test]
fn command_ends_when_other_programs_listen_at_peer_addresses() {
    let http = listen_with(|mut s| drop(s.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")));
    let closes = listen_with(drop);
    let trickles = listen_with(|mut s| {
        // A frame of 1000 bytes, sent one byte at a time.
        let _ = s.write_all(&1000u32.to_le_bytes());
        while s.write_all(&[1]).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let path = std::env::temp_dir().join(format!("aspenreel-links-{}.toml", std::process::id()));
    let member = |name, addr| {
        format!("[[members]]\nnode = \"{name}\"\nlocation = \"east\"\npeer_addr = \"{addr}\"\n")
    };
    let settings = format!(
        "node = \"a\"\nlocation = \"east\"\npublic_addr = \"127.0.0.1:9\"\npeer_listen = \"{http}\"\n{}{}\
         [endpoints]\ncloud = \"127.0.0.1:9\"\nstate = \"127.0.0.1:9\"\n\
         [settings]\nzones = [\"east\"]\nskew_ms = 5.0\nteams = [{{ name = \"a\", cpus = 1.0, cpus_max = 2.0 }}]\n\
         workers = {{ report_s = 3.0, lease_s = 16.0, cancel_s = 41.0 }}\n\
         state = {{ rps = 50.0, write_rps = 20.0, value_kb = 8.0, txn_ops = 12 }}\n\
         cloud = {{ rps = 5.0, list_lag_s = 1.0 }}\nquota = {{ sockets = 500 }}\n",
        member("b", closes),
        member("c", trickles)
    );
    std::fs::write(&path, settings).unwrap();
    let (code, answers) = run_links_json(&path);
    let problems: Vec<&str> = answers
        .iter()
        .filter_map(|a| a["problem"].as_str())
        .collect();
    assert_eq!(problems, ["foreign", "closed", "silent"]);
    assert_eq!(code, 4);
    std::fs::remove_file(&path).unwrap();
    let missing = run_links(&path, &[]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(missing.stdout.is_empty());
}

/// Link views that are malformed, too large, addressed to another controller or sent by an unknown one are rejected
/// and counted, and don't change the leader.
#[test]
fn invalid_link_views_are_rejected_without_effect() {
    let (state, nodes) = serving_with_monitoring("links-views");
    wait_until_settled(&nodes.configs[0]);
    // Node, term and lease of the leader.
    let leader_record = state.data("leader");
    let settings = Settings::load(&nodes.configs[0]).unwrap();
    let peer = TcpTransport::new(settings.peer_listen);
    let view_with_all_links_up = |from: &str, to: &str| LinkView {
        from: from.into(),
        to: to.into(),
        process: u64::MAX,
        sequence: u64::MAX,
        term: u64::MAX,
        leads: true,
        state_reads: LinkState::Up,
        state_writes: LinkState::Up,
        reachability: Reachability {
            reachable: u32::MAX,
            expected: 1,
        },
    };
    let views = [
        Vec::new(),
        vec![1; 40],
        vec![1; 60_000],
        view_with_all_links_up("n-1", "n-2").encode(),
        view_with_all_links_up("n-9", "n-0").encode(),
    ];
    let count = views.len();
    for view in views {
        let reply = peer.call(&PeerRequest::Links { view }, Duration::from_secs(5));
        assert_eq!(reply.unwrap(), PeerReply::Busy);
    }
    // A valid view is answered with n-0's own view, and has no further effect on n-0's state.
    let view = view_with_all_links_up("n-1", "n-0").encode();
    let reply = peer.call(&PeerRequest::Links { view }, Duration::from_secs(5));
    assert!(matches!(reply, Ok(PeerReply::Links { .. })), "{reply:?}");
    let deadline = Instant::now() + Duration::from_secs(60);
    let rejected = || wait_until_settled(&nodes.configs[0])[0]["report"]["rejected_views"].as_u64();
    while rejected() != Some(count as u64) {
        assert!(Instant::now() < deadline, "{:?}", rejected());
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(state.data("leader"), leader_record);
}

/// Flags of link monitoring that contradict each other, or have no effect, end the program with a one-line error
/// before it listens.
#[test]
fn conflicting_link_flags_are_rejected_at_startup() {
    let (_, _, nodes) = start_cluster("links-flags");
    let refused = |flags: &[&str]| {
        let output = Command::new(program_under_test())
            .arg("serve")
            .args(flags)
            .arg("--config")
            .arg(&nodes.configs[0])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).unwrap()
    };
    let lines = [
        refused(&["--handover-after-ms", "100"]),
        refused(&[
            "--half-cut-links",
            "--link-up-after-ms",
            "2000",
            "--link-up-after-max-ms",
            "1999",
        ]),
        refused(&["--half-cut-links", "--handover-pause-ms", "130000"]),
        refused(&["--half-cut-links", "--leader-lease-ms", "8000"]),
    ];
    insta::assert_snapshot!(lines.concat());
}
