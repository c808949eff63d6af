//! The process: its threads and its servers.

use super::Controller;
use crate::http::server::{ServerLimits, serve};
use crate::os::System;
use crate::peer::serve_peers;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use thiserror::Error;

/// The stack of a thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Why a controller can't run.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// A thread can't be started.
    #[error("cannot start thread {name}: {source}")]
    Thread {
        /// The thread's name.
        name: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// The HTTP server can't be started.
    #[error("cannot serve: {0}")]
    Serve(#[source] io::Error),
}

/// A thread of a controller that has not been started yet.
pub struct ControllerThread {
    /// The thread's name.
    pub name: &'static str,
    /// What it runs. Nearly all run for as long as the process lives.
    pub body: Box<dyn FnOnce() + Send>,
}

impl ControllerThread {
    /// Starts the thread. It isn't joined: it ends with the process.
    fn start(self) -> Result<(), StartError> {
        let name = self.name;
        thread::Builder::new()
            .name(name.to_string())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(self.body)
            .map(drop)
            .map_err(|source| StartError::Thread { name, source })
    }
}

impl Controller {
    /// The threads of a controller, except for those that serve connections. Their order is the order in which they are
    /// started; the simulation seeds each by its place in it.
    pub fn threads(self: &Arc<Self>) -> Vec<ControllerThread> {
        let thread = |name: &'static str, run: fn(&Controller)| {
            let controller = self.clone();
            ControllerThread {
                name,
                body: Box::new(move || run(&controller)),
            }
        };
        let mut threads = vec![
            thread("catalog", Controller::catalog_loop),
            thread("election", Controller::election_loop),
            thread("record-writer", Controller::record_writer_loop),
            thread("job-watch", Controller::job_watch_loop),
            thread("cloud-sync", Controller::cloud_sync_loop),
            thread("timer", Controller::timer_loop),
            thread("peer-probe", Controller::peer_probe_loop),
            thread("feature-level", Controller::feature_level_loop),
        ];
        if self.link_health.is_some() {
            threads.push(thread("link-state", Controller::link_state_loop));
            threads.push(thread("view-exchange", Controller::view_exchange_loop));
        }
        for _ in 0..self.settings.settings.quota.command_sender_threads() {
            threads.push(thread("command-sender", Controller::command_sender_loop));
        }
        threads
    }

    /// Starts all threads and serves users, workers and peers until the process is killed.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address can't be listened on, or a thread can't be started.
    pub fn run(self: Arc<Self>, system: Arc<System>) -> Result<(), StartError> {
        let public_listener = listen(self.settings.public_addr)?;
        let peer_listener = listen(self.settings.peer_listen)?;
        log::info!(
            node = self.settings.node.as_str(),
            addr:% = self.settings.public_addr,
            peer_addr:% = self.settings.peer_listen;
            "controller started"
        );
        for thread in self.threads() {
            thread.start()?;
        }
        self.peer_server(peer_listener).start()?;
        let quota = &self.settings.settings.quota;
        let limits = ServerLimits {
            max_connections: quota.max_connections(),
            max_pool_threads: quota.max_pool_threads(),
            max_buffered_bytes: quota.max_buffered_bytes(),
        };
        let open_connections = self.open_connections.clone();
        serve(public_listener, self, system, limits, open_connections).map_err(StartError::Serve)
    }

    /// The thread that accepts connections of peers.
    fn peer_server(self: &Arc<Self>, listener: TcpListener) -> ControllerThread {
        let max_connections = self.settings.settings.quota.max_peer_connections();
        let controller = self.clone();
        let handler = Arc::new(move |request| controller.answer_peer(request));
        ControllerThread {
            name: "peer-server",
            body: Box::new(move || serve_peers(listener, max_connections, handler)),
        }
    }
}

fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).map_err(|source| StartError::Listen { addr, source })
}
