//! The event loop: polls both sets, serves what is ready, and closes expired connections.

use super::acceptor::Acceptor;
use super::exchange::Server;
use super::poll_sets::{EventSource, connection_of};
use crate::http::handler::RequestPriority;
use rustix::event::Timespec;
use rustix::event::epoll;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two checks for expired connections; also the maximum wait for events.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of normal-priority events that one turn serves. With both limits, each priority is served within
/// bounded time, whatever the load of the other one is.
const MAX_NORMAL_EVENTS_PER_TURN: usize = 32;
/// Maximum number of low-priority events that one turn serves.
const MAX_LOW_PRIORITY_EVENTS_PER_TURN: usize = 8;

const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
const LONGEST_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: EXPIRY_CHECK_INTERVAL.subsec_nanos() as i64,
};

/// The event loop, with the state that only its thread uses.
pub(super) struct EventLoop {
    server: Arc<Server>,
    acceptor: Acceptor,
    normal_events: Vec<epoll::Event>,
    low_priority_events: Vec<epoll::Event>,
    /// Whether the last turn reached its limit of low-priority events, so that more are probably ready.
    has_low_priority_backlog: bool,
    last_expiry_check: Instant,
}

impl EventLoop {
    /// Creates an event loop. `listener` must be non-blocking, and be registered in the server's poll sets.
    pub(super) fn new(server: Arc<Server>, listener: TcpListener) -> Self {
        EventLoop {
            server,
            acceptor: Acceptor::new(listener),
            normal_events: Vec::with_capacity(MAX_NORMAL_EVENTS_PER_TURN),
            low_priority_events: Vec::with_capacity(MAX_LOW_PRIORITY_EVENTS_PER_TURN),
            has_low_priority_backlog: false,
            last_expiry_check: Instant::now(),
        }
    }

    /// Runs the event loop until polling fails.
    pub(super) fn run(mut self) -> std::io::Result<()> {
        loop {
            self.serve_normal_events()?;
            self.serve_low_priority_events()?;
            self.close_expired();
        }
    }

    /// Waits for events of either priority, and serves those of normal priority.
    fn serve_normal_events(&mut self) -> std::io::Result<()> {
        let timeout = match self.has_low_priority_backlog {
            true => NO_WAIT,
            false => LONGEST_WAIT,
        };
        let poll_sets = &self.server.connections.poll_sets;
        poll_sets.wait(RequestPriority::Normal, &mut self.normal_events, &timeout)?;
        for event in self.normal_events.drain(..) {
            match EventSource::of(&event) {
                EventSource::Listener => self.acceptor.accept_waiting(&self.server.connections),
                // This event only ends the wait: the low-priority set is polled in every turn.
                EventSource::LowPrioritySet => {}
                EventSource::Connection(id) => self.server.serve_ready(id),
            }
        }
        Ok(())
    }

    /// Serves the low-priority events that are ready, without waiting.
    fn serve_low_priority_events(&mut self) -> std::io::Result<()> {
        let poll_sets = &self.server.connections.poll_sets;
        poll_sets.wait(
            RequestPriority::Low,
            &mut self.low_priority_events,
            &NO_WAIT,
        )?;
        let taken = self.low_priority_events.len();
        self.has_low_priority_backlog = taken >= MAX_LOW_PRIORITY_EVENTS_PER_TURN;
        for event in self.low_priority_events.drain(..) {
            self.server.serve_ready(connection_of(&event));
        }
        Ok(())
    }

    fn close_expired(&mut self) {
        if self.last_expiry_check.elapsed() >= EXPIRY_CHECK_INTERVAL {
            self.last_expiry_check = Instant::now();
            self.server
                .connections
                .close_expired(self.last_expiry_check);
        }
    }
}
