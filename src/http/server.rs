//! The server: few threads, whatever the number of connections.
//!
//! A fleet keeps a connection a worker, and hundreds of users theirs; a thread for each would be
//! beyond what a process may have. So connections are parked and waited for together. One thread
//! reads what arrives and answers what needs no wait; requests that may wait for the network go
//! to a pool that grows by need up to a bound. A slow or silent client holds its connection, for a
//! bounded time, and no thread.
//!
//! Hundreds of routine requests may be due at once (heartbeats after a cut, say). On a small share of
//! a core each costs milliseconds, and whoever asks for something else would wait for all of them.
//! Connections that carry routine requests are therefore waited for in a set of their own, and
//! taken a few at a time between looks at the others.

pub use super::message::{Handler, Request, Response, ServerLimits};

use super::message::reason;
use super::request_parser::{Parsed, next_request};
use crate::os::{Os, System};
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Stack of a thread that answers requests; only touched pages count.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
/// A request must be complete this long after its first byte.
const REQUEST_TIME: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this long.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// While most of the connections are taken, idle ones go sooner, before new ones are refused.
/// Longer than workers and users are silent in between.
const SCARCE_IDLE_TIME: Duration = Duration::from_secs(10);
/// How often connections are looked through for what has run out of time.
const SWEEP: Duration = Duration::from_millis(500);
/// A pool thread without work ends after this long.
const THREAD_IDLE: Duration = Duration::from_secs(20);
/// Requests that may wait for a pool thread, for each thread there may be. Beyond that they are
/// told to come back.
const QUEUED_PER_THREAD: usize = 4;
/// What one turn takes from a connection.
const CHUNK: usize = 16 * 1024;
/// Connections taken in one turn, so that a storm of them doesn't keep out the open ones.
const ACCEPTS_A_TURN: usize = 64;
/// Requests taken in one turn: of all kinds but routine ones, and of these. Either kind goes on in
/// bounded time whatever comes of the other.
const REQUESTS_A_TURN: usize = 32;
const ROUTINE_A_TURN: usize = 8;
const LISTENER: u64 = 0;
/// The set of connections with routine requests, as an event of the other set.
const ROUTINE: u64 = 1;

/// What is under way on a connection.
#[derive(Default)]
struct State {
    /// Read and not yet answered.
    buf: Vec<u8>,
    /// Answered and not yet taken by the client.
    out: Vec<u8>,
    close: bool,
    /// It was refused: what still comes is dropped until the client has read why. Closed with
    /// bytes unread, the connection would be reset, and the answer lost.
    refused: bool,
    /// The poll set waits for room to write instead of for requests.
    awaits_out: bool,
    /// When the last request was answered, or the connection was made.
    idle_since: Option<Instant>,
    /// When the first byte of an unfinished request came, or of an answer left.
    begun: Option<Instant>,
}

struct Slot {
    stream: Arc<TcpStream>,
    /// None while a thread works on it.
    state: Option<State>,
    /// Out of the poll set: something came while a thread worked on it.
    muted: bool,
    /// It carries routine requests, and is in the set of these.
    routine: bool,
}

/// One connection, in the hands of the thread that works on it.
struct Held {
    key: u64,
    stream: Arc<TcpStream>,
    routine: bool,
    state: State,
}

#[derive(Default)]
struct Pool {
    queue: VecDeque<(Held, Request, bool)>,
    /// Bytes of bodies in the queue: counts alone would let large ones fill a small memory.
    queued: usize,
    threads: usize,
    idle: usize,
}

struct Server {
    epoll: OwnedFd,
    /// Connections that carry routine requests; itself in `epoll`.
    routine: OwnedFd,
    handler: Arc<dyn Handler>,
    os: Arc<System>,
    limits: ServerLimits,
    slots: Mutex<HashMap<u64, Slot>>,
    pool: Mutex<Pool>,
    work: Condvar,
    open: Arc<AtomicUsize>,
    buffered: AtomicUsize,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// A mistake in the code for one request must not end the thread that all connections share.
fn guarded(answer: impl FnOnce() -> Result<Response, Request>) -> Result<Response, Request> {
    std::panic::catch_unwind(AssertUnwindSafe(answer)).unwrap_or_else(|_| Ok(Response::busy(1)))
}

/// Serves for ever. Connections beyond the limit are told to come back, in bounded time. `open`
/// counts them, for whoever shares the process's sockets.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    os: Arc<System>,
    limits: ServerLimits,
    open: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let server = Arc::new(Server {
        epoll: epoll::create(CreateFlags::CLOEXEC)?,
        routine: epoll::create(CreateFlags::CLOEXEC)?,
        handler,
        os,
        limits,
        slots: Mutex::default(),
        pool: Mutex::default(),
        work: Condvar::new(),
        open,
        buffered: AtomicUsize::new(0),
    });
    let data = EventData::new_u64(LISTENER);
    epoll::add(&server.epoll, &listener, data, EventFlags::IN)?;
    let data = EventData::new_u64(ROUTINE);
    epoll::add(&server.epoll, &server.routine, data, EventFlags::IN)?;
    let mut next = ROUTINE;
    let mut events = Vec::with_capacity(REQUESTS_A_TURN);
    let mut routine = Vec::with_capacity(ROUTINE_A_TURN);
    let mut swept = Instant::now();
    let at_once = Timespec::default();
    let turn = Timespec {
        tv_sec: 0,
        tv_nsec: i64::from(SWEEP.subsec_nanos()),
    };
    let mut more = false;
    loop {
        wait(
            &server.epoll,
            &mut events,
            if more { &at_once } else { &turn },
        )?;
        for event in events.drain(..) {
            match event.data.u64() {
                LISTENER => server.accept(&listener, &mut next),
                ROUTINE => {}
                key => server.ready(key),
            }
        }
        // Whatever the other set says of it: its event only ends the wait.
        wait(&server.routine, &mut routine, &at_once)?;
        more = routine.len() >= ROUTINE_A_TURN;
        for event in routine.drain(..) {
            server.ready(event.data.u64());
        }
        if swept.elapsed() >= SWEEP {
            swept = Instant::now();
            server.sweep(swept);
        }
    }
}

/// What came in a set, as much as the list has room for.
fn wait(set: &OwnedFd, events: &mut Vec<epoll::Event>, most: &Timespec) -> std::io::Result<()> {
    match epoll::wait(set, rustix::buffer::spare_capacity(events), Some(most)) {
        Ok(_) | Err(Errno::INTR) => Ok(()),
        Err(e) => Err(e.into()),
    }
}

impl Server {
    fn accept(&self, listener: &TcpListener, next: &mut u64) {
        for _ in 0..ACCEPTS_A_TURN {
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    // Out of sockets, mostly: waiting lets others close theirs.
                    log::info!("accept failed: {e}");
                    std::thread::sleep(Duration::from_millis(20));
                    return;
                }
            };
            let _ = stream.set_nonblocking(true);
            if self.open.load(Ordering::Relaxed) >= self.limits.max_connections {
                let _ = stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                );
                continue;
            }
            let _ = stream.set_nodelay(true);
            *next += 1;
            self.open.fetch_add(1, Ordering::Relaxed);
            let slot = Slot {
                stream: Arc::new(stream),
                state: Some(State {
                    idle_since: Some(Instant::now()),
                    ..State::default()
                }),
                muted: true,
                routine: false,
            };
            let mut slots = lock(&self.slots);
            let slot = slots.entry(*next).or_insert(slot);
            if !self.listen(*next, slot, EventFlags::IN) {
                slots.remove(next);
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    /// Has the poll set wait for this; false if it can't.
    fn listen(&self, key: u64, slot: &mut Slot, flags: EventFlags) -> bool {
        let data = EventData::new_u64(key);
        let set = self.set_of(slot);
        let result = if slot.muted {
            epoll::add(set, &*slot.stream, data, flags)
        } else {
            epoll::modify(set, &*slot.stream, data, flags)
        };
        slot.muted = false;
        if let Err(e) = result {
            log::info!("a connection can't be waited for: {e}");
            return false;
        }
        true
    }

    fn set_of(&self, slot: &Slot) -> &OwnedFd {
        match slot.routine {
            true => &self.routine,
            false => &self.epoll,
        }
    }

    /// Has a connection waited for in the set of its kind of requests.
    fn sort(&self, key: u64, routine: bool) {
        let mut slots = lock(&self.slots);
        let Some(slot) = slots.get_mut(&key).filter(|s| s.routine != routine) else {
            return;
        };
        if !slot.muted {
            let _ = epoll::delete(self.set_of(slot), &*slot.stream);
        }
        // It is waited for again once it is parked.
        slot.muted = true;
        slot.routine = routine;
    }

    /// Something came on a connection, or its end, or room for the rest of an answer.
    fn ready(self: &Arc<Self>, key: u64) {
        let mut slots = lock(&self.slots);
        let Some(slot) = slots.get_mut(&key) else {
            return;
        };
        let Some(state) = slot.state.take() else {
            // Nobody pipelines; whoever does all the same, or leaves, waits for the answer.
            if !slot.muted {
                slot.muted = true;
                let _ = epoll::delete(self.set_of(slot), &*slot.stream);
            }
            return;
        };
        let (stream, routine) = (slot.stream.clone(), slot.routine);
        drop(slots);
        let held = state.buf.len() + state.out.len();
        self.buffered.fetch_sub(held, Ordering::Relaxed);
        let held = Held {
            key,
            stream,
            routine,
            state,
        };
        if held.state.out.is_empty() {
            self.read(held);
        } else {
            self.write(held);
        }
    }

    fn close(&self, held: &Held) {
        if lock(&self.slots).remove(&held.key).is_some() {
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Gives a connection back to the poll set.
    fn park(&self, held: Held) {
        let Held { key, mut state, .. } = held;
        let size = state.buf.len() + state.out.len();
        if size == 0 {
            // Thousands are parked: an empty one keeps no memory.
            (state.buf, state.out) = (Vec::new(), Vec::new());
        }
        if size == 0 && !state.refused {
            state.begun = None;
        } else {
            state.begun.get_or_insert_with(Instant::now);
        }
        let buffered = self.buffered.fetch_add(size, Ordering::Relaxed) + size;
        let mut slots = lock(&self.slots);
        let Some(slot) = slots.get_mut(&key) else {
            return;
        };
        let flags = if state.out.is_empty() {
            EventFlags::IN
        } else {
            EventFlags::OUT
        };
        let changed = slot.muted || !state.out.is_empty() || state.awaits_out;
        state.awaits_out = !state.out.is_empty();
        slot.state = Some(state);
        let fits = size == 0 || buffered <= self.limits.max_buffered_bytes;
        if !fits || (changed && !self.listen(key, slot, flags)) {
            slots.remove(&key);
            self.buffered.fetch_sub(size, Ordering::Relaxed);
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn read(self: &Arc<Self>, mut held: Held) {
        let mut chunk = [0u8; CHUNK];
        match (&*held.stream).read(&mut chunk) {
            Ok(0) => self.close(&held),
            Ok(n) => {
                if held.state.refused {
                    return self.park(held);
                }
                held.state.buf.extend_from_slice(&chunk[..n]);
                self.proceed(held);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                self.park(held);
            }
            Err(_) => self.close(&held),
        }
    }

    /// Answers the requests that are complete, one after the other.
    fn proceed(self: &Arc<Self>, mut held: Held) {
        loop {
            let (response, close) = match next_request(&mut held.state.buf) {
                Parsed::Partial => return self.park(held),
                Parsed::Refuse(status) => {
                    held.state.refused = true;
                    held.state.buf = Vec::new();
                    (Response::new(status, Vec::new()), true)
                }
                Parsed::Request { request, close } => {
                    let routine = self.handler.routine(&request);
                    if routine != held.routine {
                        held.routine = routine;
                        self.sort(held.key, routine);
                    }
                    match guarded(|| self.handler.handle_without_blocking(request)) {
                        Ok(response) => (response, close),
                        Err(request) => match self.hand_over(held, request, close) {
                            None => return,
                            Some(back) => {
                                held = back;
                                (Response::busy(1), close)
                            }
                        },
                    }
                }
            };
            match self.answer(held, response, close) {
                Some(next) => held = next,
                None => return,
            }
        }
    }

    /// Gives a request to the pool; gives the connection back if there is no room for it.
    fn hand_over(self: &Arc<Self>, held: Held, request: Request, close: bool) -> Option<Held> {
        let mut pool = lock(&self.pool);
        let full = pool.queue.len() >= self.limits.max_pool_threads * QUEUED_PER_THREAD;
        let size = request.body.len();
        if full || (pool.queued > 0 && pool.queued + size > self.limits.max_buffered_bytes) {
            return Some(held);
        }
        if pool.queue.len() >= pool.idle && pool.threads < self.limits.max_pool_threads {
            let server = self.clone();
            let thread = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES);
            match thread.spawn(move || server.pool_thread()) {
                Ok(_) => pool.threads += 1,
                Err(e) => log::info!("no thread for a request: {e}"),
            }
        }
        if pool.threads == 0 {
            return Some(held);
        }
        pool.queued += size;
        pool.queue.push_back((held, request, close));
        drop(pool);
        self.work.notify_one();
        None
    }

    /// Writes an answer; gives the connection back if all of it left.
    fn answer(&self, mut held: Held, response: Response, close: bool) -> Option<Held> {
        let response = match response.valid_until {
            Some(until) if self.os.now() >= until => Response::busy(1),
            _ => response,
        };
        let retry = match response.retry_after_s {
            Some(s) => format!("Retry-After: {s}\r\n"),
            None => String::new(),
        };
        let mut out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n{}{}\r\n",
            response.status,
            reason(response.status),
            response.body.len(),
            retry,
            if close { "Connection: close\r\n" } else { "" },
        )
        .into_bytes();
        out.extend_from_slice(&response.body);
        held.state.out = out;
        held.state.close = close;
        held.state.begun = None;
        self.send(held)
    }

    /// Writes as much as goes at once; gives the connection back if that was all.
    fn send(&self, mut held: Held) -> Option<Held> {
        let mut sent = 0;
        while sent < held.state.out.len() {
            match (&*held.stream).write(&held.state.out[sent..]) {
                Ok(n) if n > 0 => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    held.state.out.drain(..sent);
                    self.park(held);
                    return None;
                }
                _ => {
                    self.close(&held);
                    return None;
                }
            }
        }
        held.state.out = Vec::new();
        held.state.begun = None;
        held.state.idle_since = Some(Instant::now());
        if held.state.refused {
            let _ = held.stream.shutdown(Shutdown::Write);
            self.park(held);
            return None;
        }
        if held.state.close {
            self.close(&held);
            return None;
        }
        Some(held)
    }

    /// Room for the rest of an answer.
    fn write(self: &Arc<Self>, held: Held) {
        if let Some(held) = self.send(held) {
            self.proceed(held);
        }
    }

    /// Closes what has run out of time.
    fn sweep(&self, now: Instant) {
        let scarce = self.open.load(Ordering::Relaxed) * 4 > self.limits.max_connections * 3;
        let idle = if scarce { SCARCE_IDLE_TIME } else { IDLE_TIME };
        let mut slots = lock(&self.slots);
        let before = slots.len();
        slots.retain(|_, slot| {
            let Some(state) = &slot.state else {
                return true;
            };
            let stays = match (state.begun, state.idle_since) {
                (Some(begun), _) => now - begun < REQUEST_TIME,
                (None, Some(since)) => now - since < idle,
                (None, None) => false,
            };
            if !stays {
                let size = state.buf.len() + state.out.len();
                self.buffered.fetch_sub(size, Ordering::Relaxed);
            }
            stays
        });
        self.open.fetch_sub(before - slots.len(), Ordering::Relaxed);
    }

    /// One thread of the pool, until it had nothing to do for a while.
    fn pool_thread(self: &Arc<Self>) {
        let mut pool = lock(&self.pool);
        loop {
            if let Some((held, request, close)) = pool.queue.pop_front() {
                pool.queued -= request.body.len();
                drop(pool);
                let response = guarded(|| Ok(self.handler.handle(request)));
                let response = response.unwrap_or_else(|_: Request| Response::busy(1));
                if let Some(held) = self.answer(held, response, close) {
                    self.proceed(held);
                }
                pool = lock(&self.pool);
                continue;
            }
            pool.idle += 1;
            let (back, waited) = self
                .work
                .wait_timeout(pool, THREAD_IDLE)
                .unwrap_or_else(|e| e.into_inner());
            pool = back;
            pool.idle -= 1;
            if waited.timed_out() && pool.queue.is_empty() {
                pool.threads -= 1;
                return;
            }
        }
    }
}
