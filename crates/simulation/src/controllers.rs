//! The controllers' processes: their settings, starts, crashes and pauses.

use crate::network::SimOs;
use crate::scheduler::secs;
use crate::setup::{CANCEL_S, CLOUD_RPS, HEARTBEAT_S, LEASE_S};
use crate::simulation::Simulation;
use aspenreel::cli::{Cli, Command};
use aspenreel::controller::Controller;
use aspenreel::leadership::LeaderRecord;
use aspenreel::settings::Settings;
use aspenreel::store::from_value;
use clap::Parser;
use std::sync::Arc;

impl Simulation {
    /// The zone of a controller.
    pub fn zone_of_node(&self, n: usize) -> &'static str {
        ["east", "west"][n % 2]
    }

    pub(crate) fn settings_of(&self, n: usize) -> Settings {
        let members: String = (0..self.setup.nodes)
            .filter(|m| *m != n)
            .map(|m| {
                format!(
                    "[[members]]\nnode = \"n-{m}\"\nlocation = \"{}\"\npeer_addr = \"10.0.0.{m}:8081\"\n",
                    self.zone_of_node(m)
                )
            })
            .collect();
        let teams: Vec<String> = self
            .setup
            .teams
            .iter()
            .map(|(name, limit)| {
                format!(
                    "{{ name = \"{name}\", cpus = {}, cpus_max = {limit} }}",
                    limit / 2.0
                )
            })
            .collect();
        Settings::parse(&format!(
            "node = \"n-{n}\"\nlocation = \"{}\"\npublic_addr = \"10.0.0.{n}:8080\"\n\
             peer_listen = \"10.0.0.{n}:8081\"\n{members}\
             [endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n\
             [settings]\nzones = [\"east\", \"west\"]\nskew_ms = 5.0\nteams = [{}]\n\
             workers = {{ report_s = {HEARTBEAT_S}, lease_s = {LEASE_S}, cancel_s = {CANCEL_S} }}\n\
             state = {{ rps = 150.0, write_rps = {}, value_kb = 8.0, txn_ops = 12, \
             next = {{ {} }} }}\n\
             cloud = {{ rps = {CLOUD_RPS:?}, list_lag_s = 3.0 }}\nquota = {{ sockets = 200 }}\n",
            self.zone_of_node(n),
            teams.join(", "),
            self.setup.write_rps,
            self.setup.next_store_limits,
        ))
        .unwrap()
    }

    /// Starts a controller's process, with all its threads.
    pub fn start_node(self: &Arc<Self>, n: usize) {
        let (process, seed, drift, skew) = {
            let mut state = self.state();
            state.processes += 1;
            let seed = state.rng.u64(..);
            let drift = (state.rng.f64() - 0.5) * 0.001;
            let skew = state.rng.i64(-5_000..5_000);
            (state.processes, seed, drift, skew)
        };
        let hold = self.setup.leader_lease_ms.to_string();
        let mut words = vec![
            "aspenreel",
            "serve",
            "--config",
            "-",
            "--leader-lease-ms",
            &hold,
        ];
        words.extend((self.setup.flags)(n));
        let Command::Serve(options) = Cli::parse_from(words).command else {
            unreachable!("the words say serve");
        };
        let os = Arc::new(SimOs::new(self, n, process, drift, skew));
        let node = Arc::new(Controller::new(self.settings_of(n), options, os).unwrap());
        for (i, thread) in node.threads().into_iter().enumerate() {
            self.scheduler.spawn(process, seed ^ i as u64, thread.body);
        }
        let mut state = self.state();
        state.nodes[n].process = Some(process);
        state.nodes[n].node = Some(node);
    }

    /// Kills a node's process; it is started again after so long.
    pub fn crash(self: &Arc<Self>, n: usize, back_after: f64) {
        let process = {
            let mut state = self.state();
            state.nodes[n].node = None;
            state.nodes[n].process.take()
        };
        if let Some(process) = process {
            self.scheduler.kill(process);
            self.note_fault(back_after);
            self.after(secs(back_after), move |sim| sim.start_node(n));
        }
    }

    /// A controller's process stands still for so many seconds.
    pub fn freeze(self: &Arc<Self>, n: usize, span: f64) {
        if let Some(process) = self.state().nodes[n].process {
            self.scheduler.freeze(process, self.now() + secs(span));
        }
        self.note_fault(span);
    }

    /// The node that the key-value store names as leader.
    pub fn leader(&self) -> Option<usize> {
        let data = self.state().store.data("leader")?;
        let record: LeaderRecord = from_value(&data)?;
        record.node.strip_prefix("n-")?.parse().ok()
    }

    /// The node that leads, or any that is up.
    pub fn leader_or_any(&self) -> usize {
        self.leader().unwrap_or(0)
    }
}
