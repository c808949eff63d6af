//! Processes of the simulated controllers: settings, starts, crashes and pauses.

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
    /// Zone of a controller.
    pub fn zone_of_node(&self, node: usize) -> &'static str {
        ["east", "west"][node % 2]
    }

    /// Settings of a controller.
    pub(crate) fn settings_of(&self, node: usize) -> Settings {
        let members: String = (0..self.setup.nodes)
            .filter(|peer| *peer != node)
            .map(|peer| {
                format!(
                    "[[members]]\nnode = \"n-{peer}\"\nlocation = \"{}\"\npeer_addr = \"10.0.0.{peer}:8081\"\n",
                    self.zone_of_node(peer)
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
            "node = \"n-{node}\"\nlocation = \"{}\"\npublic_addr = \"10.0.0.{node}:8080\"\n\
             peer_listen = \"10.0.0.{node}:8081\"\n{members}\
             [endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n\
             [settings]\nzones = [\"east\", \"west\"]\nskew_ms = 5.0\nteams = [{}]\n\
             workers = {{ report_s = {HEARTBEAT_S}, lease_s = {LEASE_S}, cancel_s = {CANCEL_S} }}\n\
             state = {{ rps = 150.0, write_rps = {}, value_kb = 8.0, txn_ops = 12, \
             next = {{ {} }} }}\n\
             cloud = {{ rps = {CLOUD_RPS:?}, list_lag_s = 3.0 }}\nquota = {{ sockets = 200 }}\n",
            self.zone_of_node(node),
            teams.join(", "),
            self.setup.write_rps,
            self.setup.next_store_limits,
        ))
        .unwrap()
    }

    /// Starts the process of a controller with all its threads. Its clock's drift and skew are drawn.
    pub fn start_node(self: &Arc<Self>, node: usize) {
        let (process, seed, drift, skew) = {
            let mut state = self.state();
            state.processes += 1;
            let seed = state.rng.u64(..);
            let drift = (state.rng.f64() - 0.5) * 0.001;
            let skew = state.rng.i64(-5_000..5_000);
            (state.processes, seed, drift, skew)
        };
        let lease_ms = self.setup.leader_lease_ms.to_string();
        let mut args = vec![
            "aspenreel",
            "serve",
            "--config",
            "-",
            "--leader-lease-ms",
            &lease_ms,
        ];
        args.extend((self.setup.flags)(node));
        let Command::Serve(options) = Cli::parse_from(args).command else {
            unreachable!("the arguments contain the command serve");
        };
        let os = Arc::new(SimOs::new(self, node, process, drift, skew));
        let controller = Arc::new(Controller::new(self.settings_of(node), options, os).unwrap());
        for (i, thread) in controller.threads().into_iter().enumerate() {
            self.scheduler.spawn(process, seed ^ i as u64, thread.body);
        }
        let mut state = self.state();
        state.nodes[node].process = Some(process);
        state.nodes[node].controller = Some(controller);
    }

    /// Kills the process of a node and starts it again after `back_after` seconds.
    pub fn crash(self: &Arc<Self>, node: usize, back_after: f64) {
        let process = {
            let mut state = self.state();
            state.nodes[node].controller = None;
            state.nodes[node].process.take()
        };
        if let Some(process) = process {
            self.scheduler.kill(process);
            self.note_fault(back_after);
            self.after(secs(back_after), move |sim| sim.start_node(node));
        }
    }

    /// Freezes the process of a node for `span` seconds.
    pub fn freeze(self: &Arc<Self>, node: usize, span: f64) {
        if let Some(process) = self.state().nodes[node].process {
            self.scheduler.freeze(process, self.now() + secs(span));
        }
        self.note_fault(span);
    }

    /// Node that the record in the key-value store names as leader.
    pub fn leader(&self) -> Option<usize> {
        let data = self.state().store.data("leader")?;
        let record: LeaderRecord = from_value(&data)?;
        record.node.strip_prefix("n-")?.parse().ok()
    }

    /// Node that leads according to the store, or node 0 if there is no leader.
    pub fn leader_or_any(&self) -> usize {
        self.leader().unwrap_or(0)
    }
}
