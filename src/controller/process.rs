//! The threads and servers of a controller process.

use super::Controller;
use crate::http::server::{ServerLimits, serve};
use crate::jobs::STATUS_SENDER_THREADS;
use crate::os::System;
use crate::peer::serve_peers;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use thiserror::Error;

/// Stack size of each thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Reason why a controller can't start or serve requests.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding a listener to an address failed.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Address of the listener.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Starting a thread failed.
    #[error("cannot start thread {name}: {source}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Starting the HTTP server failed.
    #[error("cannot start HTTP server: {0}")]
    Serve(#[source] io::Error),
}

/// A thread of a controller that hasn't been started yet.
pub struct ControllerThread {
    /// Name of the thread.
    pub name: &'static str,
    /// Function that the thread runs. Nearly all of them run until the process ends.
    pub body: Box<dyn FnOnce() + Send>,
}

impl ControllerThread {
    /// Starts the thread. It is never joined, since it ends with the process.
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
    /// All threads of a controller except those that serve connections, in the order in which they are started. The
    /// simulation derives the seed of each thread from its position in this list.
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
        for _ in 0..STATUS_SENDER_THREADS {
            threads.push(thread("status-batch", Controller::status_batch_loop));
        }
        threads
    }

    /// Starts all threads and serves users, workers and peers until the process is killed.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a listener, a thread or the HTTP server can't be started.
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
        let metrics = self.server_metrics.clone();
        serve(public_listener, self, system, limits, metrics).map_err(StartError::Serve)
    }

    /// Thread that accepts connections from peers.
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
