//! A TCP relay on loopback, each direction of which can be blocked, delayed or reset.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which a direction without traffic checks whether its treatment has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a connection to the target, and of a response to bytes that were delivered late.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Treatment of the bytes that are sent in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Traffic {
    /// Bytes are forwarded as they arrive.
    #[default]
    Passes,
    /// Bytes are held back, and forwarded once the direction is no longer blocked.
    Blocked,
    /// Bytes are forwarded after this delay.
    Delayed(Duration),
    /// Bytes sent to the target are held back for at least this long, and until the sender has timed out and closed
    /// the connection. They are then delivered once, on a separate connection, and the response is discarded. Bytes
    /// from the target are forwarded as they arrive.
    Late(Duration),
    /// Open connections are closed, and new ones are closed at once.
    Reset,
}

/// Traffic in each direction of a relay.
#[derive(Debug, Default)]
struct Directions {
    to_target: Traffic,
    from_target: Traffic,
}

/// A relay to one target address. It runs until the process ends.
#[derive(Clone)]
pub struct Relay {
    /// Address on which the relay listens.
    pub addr: SocketAddr,
    directions: Arc<Mutex<Directions>>,
}

/// Direction of bytes through a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayDirection {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// Starts a relay to this address that forwards everything.
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

    /// Sets the traffic from the clients to the target.
    pub fn set_to_target(&self, traffic: Traffic) {
        self.directions.lock().unwrap().to_target = traffic;
    }

    /// Sets the traffic from the target to the clients.
    pub fn set_from_target(&self, traffic: Traffic) {
        self.directions.lock().unwrap().from_target = traffic;
    }

    fn traffic(&self, direction: RelayDirection) -> Traffic {
        let directions = self.directions.lock().unwrap();
        match direction {
            RelayDirection::ToTarget => directions.to_target,
            RelayDirection::FromTarget => directions.from_target,
        }
    }

    fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        for client in listener.incoming() {
            let Ok(client) = client else { continue };
            if self.traffic(RelayDirection::ToTarget) == Traffic::Reset {
                continue;
            }
            let relay = self.clone();
            std::thread::spawn(move || relay.forward(client, target));
        }
    }

    fn forward(self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let relay = self.clone();
        std::thread::spawn(move || {
            relay.copy(server_copy, client_copy, RelayDirection::FromTarget)
        });
        self.copy(client, server, RelayDirection::ToTarget);
    }

    /// Copies bytes in one direction until either end closes the connection or the direction is reset.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: RelayDirection) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.traffic(direction) {
                Traffic::Blocked => {
                    std::thread::sleep(POLL_INTERVAL);
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
            self.delay_or_block(direction);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Delays bytes that were just read, and holds them back if their direction was blocked meanwhile.
    fn delay_or_block(&self, direction: RelayDirection) {
        if let Traffic::Delayed(time) = self.traffic(direction) {
            std::thread::sleep(time);
        }
        while self.traffic(direction) == Traffic::Blocked {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Reads until the sender closes the connection, and delivers all bytes together when `time` has passed since the
/// first of them.
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
    let Ok(mut to) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        return;
    };
    if to.write_all(&held).is_ok() {
        // Waits for the response, because the worker executes the commands before it responds.
        let _ = to.set_read_timeout(Some(CONNECT_TIMEOUT));
        let _ = to.read(&mut buffer);
    }
}
