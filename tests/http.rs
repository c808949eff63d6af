//! The HTTP edge against real sockets: what bad clients get, and that they disturb nobody.

use aspenreel::http::client::Client;
use aspenreel::http::server::{Handler, Request, Response, serve};
use aspenreel::time::Clock;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/late" => Response {
                valid_until: Some(aspenreel::time::Moment(0)),
                ..Response::new(200, vec![1])
            },
            _ => Response::new(200, request.body),
        }
    }
}

fn start(cap: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || serve(listener, Arc::new(Echo), Arc::new(Clock::default()), cap));
    addr
}

/// Sends bytes and reads until the server closes.
fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(addr).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    s.write_all(bytes).unwrap();
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or("")
}

#[test]
fn bad_requests_get_an_answer_and_are_closed() {
    let addr = start(50);
    assert_eq!(status(&raw(addr, b"\x00\x01rubbish\r\n\r\n")), "400");
    let huge = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        64 * 1024 + 1
    );
    assert_eq!(status(&raw(addr, huge.as_bytes())), "413");
    let chunked = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(status(&raw(addr, chunked)), "411");
    let length = b"POST /x HTTP/1.1\r\nContent-Length: -4\r\n\r\n";
    assert_eq!(status(&raw(addr, length)), "400");
    let head = format!("GET /x HTTP/1.1\r\nA: {}\r\n", "y".repeat(9000));
    assert_eq!(status(&raw(addr, head.as_bytes())), "431");
    // An answer whose lead has run out by the time it leaves is not sent.
    let late = b"GET /late HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert_eq!(status(&raw(addr, late)), "503");
    // A half request is given up, and nothing is answered to it.
    assert_eq!(
        raw(addr, b"POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"),
        ""
    );
}

#[test]
fn connections_stay_open_and_are_capped() {
    let addr = start(2);
    let client = Client::new(addr);
    for n in 0..3u8 {
        let (status, body) = client
            .call("POST", "/echo", &[n; 100], Duration::from_secs(5))
            .unwrap();
        assert_eq!((status, body), (200, vec![n; 100]));
    }
    // The kept connection is one of two; a third is told to come back.
    let mut second = TcpStream::connect(addr).unwrap();
    second.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let mut answer = [0u8; 12];
    second.read_exact(&mut answer).unwrap();
    let third = raw(addr, b"");
    assert!(
        third.starts_with("HTTP/1.1 503") && third.contains("Retry-After: 1"),
        "{third}"
    );
    // Room comes back when one leaves.
    drop(second);
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    loop {
        let answer = raw(addr, b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
        if status(&answer) == "200" {
            break;
        }
        assert!(std::time::Instant::now() < deadline, "{answer}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
