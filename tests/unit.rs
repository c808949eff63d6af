//! Unit tests of single types: `Clock` and `Moment`, `PeerClient`, `WorkerClientPool`, `EventCount` and `TaskSet`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::jobs::TaskSet;
use aspenreel::os::{EventCount, HttpClient, Os, System};
use aspenreel::peer::{PeerClient, PeerReply, PeerRequest, StatusesReply};
use aspenreel::time::{Clock, Micros, Moment, WallTime};
use aspenreel::workers::WorkerClientPool;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A restarted controller loads jobs and machines that are older than its process. If their times were clamped to the
/// start of the process, the wait of a job until it is overdue would begin again at each restart, and the absence of
/// a machine from machine lists would prove nothing for a while.
#[test]
fn moments_before_the_start_of_the_process_are_exact() {
    let now = Clock::default().now();
    let day = Micros::from_secs(24 * 3600);
    let yesterday = Moment(now.0.saturating_sub(day.0));
    assert_eq!(now - yesterday, day);
}

/// Four other controllers pass the status requests of their users on to an overloaded leader. Each one that times out
/// costs the leader a new connection, and an answer that no one reads. Without a backoff the leader collapses (at
/// half of the lean CPU share, `docs/results.md`).
#[test]
fn peer_client_backs_off_after_a_status_request_timed_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let new_connections = || {
        let mut connections = 0;
        while listener.accept().is_ok() {
            connections += 1;
        }
        connections
    };
    let timeout = Duration::from_millis(30);
    let os = Arc::new(System::default());
    let client = PeerClient::with_backoff(os.clone(), addr, Micros::from_secs(3600));
    let id = || "run-1".to_string();
    let request_status = |c: &PeerClient| c.call(&PeerRequest::Status { id: id() }, timeout);
    assert!(
        client
            .call(&PeerRequest::Read { id: id() }, timeout)
            .is_err()
    );
    assert_eq!(new_connections(), 1);
    assert!(request_status(&client).is_err());
    assert_eq!(new_connections(), 1);
    assert!(request_status(&client).is_err());
    assert_eq!(new_connections(), 0);
    assert!(!client.is_reachable(timeout));
    assert_eq!(
        new_connections(),
        1,
        "a ping is sent during the backoff as well"
    );
    let without_backoff = PeerClient::with_backoff(os, addr, Micros::ZERO);
    assert!(request_status(&without_backoff).is_err() && request_status(&without_backoff).is_err());
    assert_eq!(new_connections(), 2);
}

/// Answers pings, and closes the connection after any other request, as earlier versions do for requests that they don't
/// know. Returns the number of the requests that were not pings.
fn serve_as_earlier_version(listener: TcpListener) -> Arc<AtomicU64> {
    let requests = Arc::new(AtomicU64::new(0));
    let counted = requests.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut length = [0; 4];
            stream.read_exact(&mut length).unwrap();
            let mut body = vec![0; u32::from_le_bytes(length) as usize];
            stream.read_exact(&mut body).unwrap();
            if body == borsh::to_vec(&PeerRequest::Ping).unwrap() {
                let reply = borsh::to_vec(&PeerReply::Unknown).unwrap();
                let length = (reply.len() as u32).to_le_bytes();
                stream
                    .write_all(&[&length[..], &reply[..]].concat())
                    .unwrap();
            } else {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    requests
}

#[test]
fn status_batches_are_not_sent_again_to_a_leader_of_an_earlier_version() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = PeerClient::new(Arc::new(System::default()), listener.local_addr().unwrap());
    let requests = serve_as_earlier_version(listener);
    for _ in 0..3 {
        let reply = client.request_statuses(vec!["run-1".to_string()], Duration::from_secs(5));
        assert_eq!(reply, StatusesReply::Unsupported);
    }
    let attempts_to_determine_the_version = 2;
    assert_eq!(
        requests.load(Ordering::SeqCst),
        attempts_to_determine_the_version
    );
}

/// The real system, except for its clock, which shows the given number of seconds.
struct ManualClock(System, AtomicU64);

impl Os for ManualClock {
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

/// Incoming connections have precedence over pooled clients: if the limit of the pool falls, the least recently used
/// clients are closed. A full pool closes a client in favor of a new one only if the old one has been idle for long.
#[test]
fn worker_client_pool_closes_least_recently_used_clients() {
    let clients = WorkerClientPool::default();
    let os = ManualClock(System::default(), AtomicU64::new(0));
    let addr = |n: u8| SocketAddr::from(([10, 0, 0, n], 9000));
    let get = |n: u8, now_s: u64, max_clients: usize| {
        os.1.store(now_s, Ordering::Relaxed);
        clients.get(&os, addr(n), max_clients);
    };
    let pooled = || {
        let is_pooled = |n: &u8| clients.contains(addr(*n));
        (0..9).filter(is_pooled).collect::<Vec<u8>>()
    };
    for n in 1..5 {
        get(n, n.into(), 4);
    }
    get(5, 6, 4);
    assert_eq!(pooled(), [1, 2, 3, 4]);
    get(1, 7, 4);
    get(4, 8, 2);
    assert_eq!(pooled(), [1, 4]);
    get(6, 70, 2);
    assert_eq!(pooled(), [6]);
    get(6, 71, 0);
    assert_eq!(pooled(), [] as [u8; 0]);
}

/// A thread that prepares its wait before a notification doesn't miss it. A wait without a notification times out.
#[test]
fn notification_after_a_prepared_wait_is_not_missed() {
    let event_count = System::default().event_count();
    let observed = event_count.prepare_wait();
    event_count.notify_all();
    // This wait would take an hour if the notification were lost.
    event_count.wait(observed, Duration::from_secs(3600));
    let waiter = event_count.clone();
    let observed = event_count.prepare_wait();
    let woken = std::thread::spawn(move || waiter.wait(observed, Duration::from_secs(3600)));
    event_count.notify_one();
    woken.join().unwrap();
    event_count.wait(event_count.prepare_wait(), Duration::from_millis(1));
}

/// A set of 100,000 tasks is encoded in small chunks and decoded again, and malformed chunks are rejected.
#[test]
fn large_task_set_round_trips_in_small_chunks() {
    let mut set = TaskSet::new(100_000);
    for task in (0..100_000).filter(|t| t % 3 == 0 || (500..900).contains(t)) {
        set.insert(task);
    }
    let mut decoded = TaskSet::new(100_000);
    for chunk in 0..set.chunk_count() {
        let text = set.chunk_text(chunk);
        assert!(text.len() <= 2100, "{}", text.len());
        decoded.add_chunk(chunk, &text).unwrap();
    }
    assert_eq!(set, decoded);
    let mut small = TaskSet::new(20);
    for t in [0, 1, 2, 7, 9, 10] {
        small.insert(t);
    }
    assert_eq!(small.chunk_text(0), "0-2,7,9-10");
    for malformed in ["5-", "x1g", "30", "2-99", "a"] {
        assert!(
            TaskSet::new(20).add_chunk(0, malformed).is_err(),
            "{malformed}"
        );
    }
}
