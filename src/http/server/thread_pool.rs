//! The thread pool: threads for requests that may block.
//!
//! A thread is started if a request finds no idle one and the limit isn't reached. It ends after it has been idle
//! for [`THREAD_IDLE_TIMEOUT`]. The number of queued requests and the size of their bodies are limited.

use super::connection::ActiveConnection;
use super::limits::ServerLimits;
use super::mutex::lock;
use crate::http::THREAD_STACK_BYTES;
use crate::http::message::Request;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after which a pool thread without a request ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of the queue per thread that the pool may have. Further requests get status 503.
const MAX_QUEUED_PER_THREAD: usize = 4;
/// Name of all threads of the pool.
const THREAD_NAME: &str = "http-pool";

/// A request that waits for a pool thread, with its connection.
pub(super) struct QueuedRequest {
    pub(super) connection: ActiveConnection,
    pub(super) request: Request,
    /// Whether the connection is closed after the response.
    pub(super) close: bool,
    /// Time at which the request was queued.
    pub(super) queued_at: Instant,
}

/// The queue and the thread counts, guarded by the pool's lock.
#[derive(Default)]
struct PoolState {
    queue: VecDeque<QueuedRequest>,
    /// Total size of the bodies in the queue, in bytes. It is limited as well as the number of requests, since a few
    /// large requests could exhaust a small memory.
    queued_bytes: usize,
    threads: usize,
    idle_threads: usize,
}

impl PoolState {
    fn push(&mut self, queued: QueuedRequest) {
        self.queued_bytes += queued.request.body.len();
        self.queue.push_back(queued);
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        let queued = self.queue.pop_front()?;
        self.queued_bytes -= queued.request.body.len();
        Some(queued)
    }
}

/// Threads that may block, and the queue of requests for them.
pub(super) struct ThreadPool {
    limits: ServerLimits,
    state: Mutex<PoolState>,
    request_queued: Condvar,
}

impl ThreadPool {
    pub(super) fn new(limits: ServerLimits) -> Self {
        ThreadPool {
            limits,
            state: Mutex::default(),
            request_queued: Condvar::new(),
        }
    }

    /// Queues a request. Starts a new thread that executes `run_thread` if no thread is idle and the limit allows it.
    /// Returns the connection if the queue is full or the pool has no thread.
    pub(super) fn enqueue(
        &self,
        queued: QueuedRequest,
        run_thread: impl FnOnce() + Send + 'static,
    ) -> Option<ActiveConnection> {
        {
            let mut state = lock(&self.state);
            if !self.has_space(&state, queued.request.body.len()) {
                return Some(queued.connection);
            }
            if self.needs_thread(&state) {
                start_thread(&mut state, run_thread);
            }
            if state.threads == 0 {
                return Some(queued.connection);
            }
            state.push(queued);
        }
        self.request_queued.notify_one();
        None
    }

    /// Whether the queue has space for a request with a body of `body_bytes`. The limit in bytes doesn't apply while
    /// no bodies are queued.
    fn has_space(&self, state: &PoolState, body_bytes: usize) -> bool {
        let max_queued = self.limits.max_pool_threads * MAX_QUEUED_PER_THREAD;
        let max_bytes = self.limits.max_buffered_bytes;
        let fits = state.queued_bytes == 0 || state.queued_bytes + body_bytes <= max_bytes;
        state.queue.len() < max_queued && fits
    }

    /// Whether the next request would have to wait, and another thread may be started.
    fn needs_thread(&self, state: &PoolState) -> bool {
        state.queue.len() >= state.idle_threads && state.threads < self.limits.max_pool_threads
    }

    /// Waits for a request. `None` if none arrived within the idle timeout. The calling thread must then end, since
    /// it is no longer counted.
    pub(super) fn next_request(&self) -> Option<QueuedRequest> {
        let mut state = lock(&self.state);
        loop {
            if let Some(queued) = state.pop() {
                return Some(queued);
            }
            let timed_out;
            (state, timed_out) = self.wait_idle(state);
            if timed_out && state.queue.is_empty() {
                state.threads -= 1;
                return None;
            }
        }
    }

    fn wait_idle<'a>(
        &self,
        mut state: MutexGuard<'a, PoolState>,
    ) -> (MutexGuard<'a, PoolState>, bool) {
        state.idle_threads += 1;
        let (mut state, wait) = self
            .request_queued
            .wait_timeout(state, THREAD_IDLE_TIMEOUT)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        state.idle_threads -= 1;
        (state, wait.timed_out())
    }
}

fn start_thread(state: &mut PoolState, run_thread: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new()
        .name(THREAD_NAME.to_string())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run_thread);
    match thread {
        Ok(_) => state.threads += 1,
        Err(error) => log::info!(error:%; "starting an HTTP pool thread failed"),
    }
}
