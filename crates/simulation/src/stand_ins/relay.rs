//! A relay between two ends on loopback, each direction of which can be blocked, delayed or reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a blocked direction looks whether it is open again.
const LOOK_EVERY: Duration = Duration::from_millis(10);
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// What happens to bytes that go one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Traffic {
    /// It arrives as it is sent.
    #[default]
    Passes,
    /// It is held back, and delivered once the way is open again.
    Blocked,
    /// It arrives later.
    Delayed(Duration),
    /// What is sent to the target is held back for so long, also after the sender has given up and closed the
    /// connection, and delivered once, on a connection of its own. Nobody gets the answer.
    Late(Duration),
    /// Connections are reset.
    Reset,
}

#[derive(Debug, Default)]
struct Directions {
    there: Traffic,
    back: Traffic,
}

/// A relay to one address. It runs until the process ends.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    directions: Arc<Mutex<Directions>>,
}

/// One direction of a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayDirection {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// A relay to this address, which passes everything.
    pub fn to(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay {
            addr: listener.local_addr().unwrap(),
            directions: Arc::default(),
        };
        let accepting = relay.clone();
        std::thread::spawn(move || accepting.accept(&listener, target));
        relay
    }

    /// What happens to what is sent to the target.
    pub fn set_there(&self, traffic: Traffic) {
        self.directions.lock().unwrap().there = traffic;
    }

    /// What happens to what the target answers.
    pub fn set_back(&self, traffic: Traffic) {
        self.directions.lock().unwrap().back = traffic;
    }

    fn traffic(&self, direction: RelayDirection) -> Traffic {
        let directions = self.directions.lock().unwrap();
        match direction {
            RelayDirection::ToTarget => directions.there,
            RelayDirection::FromTarget => directions.back,
        }
    }

    fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        for near in listener.incoming() {
            let Ok(near) = near else { continue };
            if self.traffic(RelayDirection::ToTarget) == Traffic::Reset {
                continue;
            }
            let relay = self.clone();
            std::thread::spawn(move || relay.connect(near, target));
        }
    }

    fn connect(self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect_timeout(&target, CONNECT_TIME) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = self.clone();
        std::thread::spawn(move || back.pump(far_copy, near_copy, RelayDirection::FromTarget));
        self.pump(near, far, RelayDirection::ToTarget);
    }

    /// Copies one direction until either end closes.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, direction: RelayDirection) {
        let _ = from.set_read_timeout(Some(LOOK_EVERY));
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.traffic(direction) {
                Traffic::Blocked => {
                    std::thread::sleep(LOOK_EVERY);
                    continue;
                }
                Traffic::Reset => break,
                Traffic::Late(time) if direction == RelayDirection::ToTarget => {
                    if let Ok(target) = to.peer_addr() {
                        deliver_late(from, target, time);
                    }
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                Traffic::Passes | Traffic::Delayed(_) | Traffic::Late(_) => {}
            }
            let count = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => break,
            };
            self.hold_back(direction);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// What was read just as the direction was blocked waits as well.
    fn hold_back(&self, direction: RelayDirection) {
        if let Traffic::Delayed(time) = self.traffic(direction) {
            std::thread::sleep(time);
        }
        while self.traffic(direction) == Traffic::Blocked {
            std::thread::sleep(LOOK_EVERY);
        }
    }
}

/// Takes whatever comes until the sender gives up, and delivers it when the time is over.
fn deliver_late(mut from: TcpStream, target: SocketAddr, time: Duration) {
    let mut held = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut due = None;
    loop {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                due.get_or_insert(Instant::now() + time);
                held.extend_from_slice(&buffer[..count]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let Some(due) = due else { return };
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    let Ok(mut to) = TcpStream::connect_timeout(&target, CONNECT_TIME) else {
        return;
    };
    if to.write_all(&held).is_ok() {
        // The worker executes it before it answers.
        let _ = to.set_read_timeout(Some(CONNECT_TIME));
        let _ = to.read(&mut buffer);
    }
}
