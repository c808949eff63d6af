//! Small parts by themselves: clocks, kept connections, done sets, links to peers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::jobs::TaskSet;
use aspenreel::os::{EventCount, HttpClient, Os, System};
use aspenreel::peer::{PeerClient, PeerRequest};
use aspenreel::time::{Clock, Micros, Moment, WallTime};
use aspenreel::workers::WorkerClientPool;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A restarted controller reads of jobs and machines that are older than itself. Clamped to its own
/// start, jobs would wait their patience anew at each restart, and a machine's absence from lists
/// would prove nothing for a while.
#[test]
fn moments_before_the_start_of_the_process() {
    let now = Clock::default().now();
    let day = Micros::from_secs(24 * 3600);
    let yesterday = Moment(now.0.saturating_sub(day.0));
    assert_eq!(now - yesterday, day);
}

/// An overloaded leader is asked by four others for whatever users ask them. Each question that runs
/// out of time costs it a new connection and an answer to nobody; asked on and on, it collapses (half
/// the lean share of a processor, `docs/results.md`).
#[test]
fn a_peer_that_runs_out_of_time_is_left_alone() {
    let drop_outbound = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = drop_outbound.local_addr().unwrap();
    drop_outbound.set_nonblocking(true).unwrap();
    let asked = || {
        let mut n = 0;
        while drop_outbound.accept().is_ok() {
            n += 1;
        }
        n
    };
    let time = Duration::from_millis(30);
    let os = Arc::new(System::default());
    let client = PeerClient::with_backoff(os.clone(), addr, Micros::from_secs(3600));
    let id = || "run-1".to_string();
    let ask = |c: &PeerClient| c.call(&PeerRequest::Status { id: id() }, time);
    assert!(client.call(&PeerRequest::Read { id: id() }, time).is_err());
    assert_eq!(asked(), 1);
    assert!(ask(&client).is_err());
    assert_eq!(asked(), 1);
    assert!(ask(&client).is_err());
    assert_eq!(asked(), 0);
    assert!(!client.is_reachable(time));
    assert_eq!(asked(), 1, "whether it is there is asked all the same");
    let patient = PeerClient::with_backoff(os, addr, Micros::ZERO);
    assert!(ask(&patient).is_err() && ask(&patient).is_err());
    assert_eq!(asked(), 2);
}

/// The real system, but for its clock.
struct SetClock(System, AtomicU64);

impl Os for SetClock {
    fn now(&self) -> Moment {
        Moment(Micros::from_secs(self.1.load(Ordering::Relaxed)).0)
    }
    fn wall(&self) -> WallTime {
        self.0.wall()
    }
    fn sleep(&self, time: Duration) {
        self.0.sleep(time);
    }
    fn event_count(&self) -> Arc<dyn EventCount> {
        self.0.event_count()
    }
    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient> {
        self.0.http_client(addr)
    }
    fn peer_transport(&self, addr: SocketAddr) -> Arc<dyn aspenreel::peer::PeerTransport> {
        self.0.peer_transport(addr)
    }
}

/// Incoming connections come first: kept ones make room for them, the longest unused first, and are
/// not given up for others that are wanted as much.
#[test]
fn kept_connections_make_room() {
    let clients = WorkerClientPool::default();
    let os = SetClock(System::default(), AtomicU64::new(0));
    let addr = |n: u8| SocketAddr::from(([10, 0, 0, n], 9000));
    let get = |n: u8, at: u64, most: usize| {
        os.1.store(at, Ordering::Relaxed);
        clients.get(&os, addr(n), most);
    };
    let kept = || {
        let there = |n: &u8| clients.contains(addr(*n));
        (0..9).filter(there).collect::<Vec<u8>>()
    };
    for n in 1..5 {
        get(n, n.into(), 4);
    }
    get(5, 6, 4);
    assert_eq!(kept(), [1, 2, 3, 4]);
    get(1, 7, 4);
    get(4, 8, 2);
    assert_eq!(kept(), [1, 4]);
    get(6, 70, 2);
    assert_eq!(kept(), [6]);
    get(6, 71, 0);
    assert_eq!(kept(), [] as [u8; 0]);
}

/// A thread that prepared its wait before a change doesn't sleep through it, and a wait ends by itself.
#[test]
fn a_change_is_not_slept_through() {
    let event_count = System::default().event_count();
    let observed = event_count.prepare_wait();
    event_count.notify_all();
    // Would last for an hour if the change were lost.
    event_count.wait(observed, Duration::from_secs(3600));
    let waiter = event_count.clone();
    let observed = event_count.prepare_wait();
    let woken = std::thread::spawn(move || waiter.wait(observed, Duration::from_secs(3600)));
    event_count.notify_one();
    woken.join().unwrap();
    event_count.wait(event_count.prepare_wait(), Duration::from_millis(1));
}

/// 100,000 tasks fit into small values, and rubbish is told from a set.
#[test]
fn a_large_scattered_set_survives_the_store_in_small_values() {
    let mut set = TaskSet::new(100_000);
    for task in (0..100_000).filter(|t| t % 3 == 0 || (500..900).contains(t)) {
        set.insert(task);
    }
    let mut back = TaskSet::new(100_000);
    for chunk in 0..set.chunk_count() {
        let text = set.chunk_text(chunk);
        assert!(text.len() <= 2100, "{}", text.len());
        back.add_chunk(chunk, &text).unwrap();
    }
    assert_eq!(set, back);
    let mut small = TaskSet::new(20);
    for t in [0, 1, 2, 7, 9, 10] {
        small.insert(t);
    }
    assert_eq!(small.chunk_text(0), "0-2,7,9-10");
    for rubbish in ["5-", "x1g", "30", "2-99", "a"] {
        assert!(TaskSet::new(20).add_chunk(0, rubbish).is_err(), "{rubbish}");
    }
}
