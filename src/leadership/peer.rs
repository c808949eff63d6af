//! What the controllers say to each other: borsh in length-prefixed frames over TCP.

use crate::jobs::JobView;
use crate::link_health::{CallFailure, CallOutcome, Link, ObservationQueue};
use crate::os::Os;
use crate::time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const MAX_FRAME: u32 = 64 * 1024;
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// What the leader knows of a job.
    Status { id: String },
    /// Cancel a job, and say how it ended.
    Cancel { id: String },
    /// What the state service says of a job, asked by a node that it refuses.
    Read { id: String },
    /// Is anybody there?
    Ping,
    /// Accept a checked submission (its CBOR), for a node that can't write it.
    Accept { body: Vec<u8> },
    /// The sender's view of its links, for the receiver's. Earlier versions close the connection.
    Links { view: Vec<u8> },
    /// What the node believes about its links, for an operator. Earlier versions close the connection.
    LinkReport,
}

#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    Job(JobView),
    /// The leader can't tell: the job is over, new, was never accepted, or is just about to end.
    /// The state service knows.
    Unknown,
    NotLeading,
    /// The state service holds no such job.
    Absent,
    /// It can't be decided now.
    Busy,
    /// The submission is accepted, by this request.
    Accepted,
    /// The node's view of its links.
    Links {
        view: Vec<u8>,
    },
    /// What the node believes about its links.
    LinkReport {
        report: Vec<u8>,
    },
}

/// What came of asking a peer for its view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// Its view, as it was sent.
    View(Vec<u8>),
    /// It answers other questions, but not this one.
    NotOffered,
    /// It doesn't answer.
    Failed,
}

pub fn write_frame<T: BorshSerialize>(stream: &mut TcpStream, message: &T) -> std::io::Result<()> {
    let body = borsh::to_vec(message)?;
    let mut out = (body.len() as u32).to_le_bytes().to_vec();
    out.extend_from_slice(&body);
    stream.write_all(&out)
}

pub fn read_frame<T: BorshDeserialize>(stream: &mut TcpStream) -> std::io::Result<T> {
    let mut len = [0u8; 4];
    stream.read_exact(&mut len)?;
    let len = u32::from_le_bytes(len);
    if len > MAX_FRAME {
        return Err(std::io::Error::other("frame too large"));
    }
    let mut body = vec![0u8; len as usize];
    stream.read_exact(&mut body)?;
    borsh::from_slice(&body)
}

/// A way to ask one peer.
pub trait PeerLink: Send + Sync {
    fn ask(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply>;
}

/// A client of one peer.
pub struct PeerClient {
    link: Arc<dyn PeerLink>,
    os: Arc<dyn Os>,
    /// When it last let a status question run out of time.
    timed_out: Mutex<Option<Moment>>,
    left_alone: Micros,
    /// Where it is noted what questions showed of the link.
    observations: Option<(Link, Arc<ObservationQueue>)>,
}

/// After a question that ran out of time a peer isn't asked for this long. It may be gone; or it has
/// more to do than processor, and answers to whoever has given up would take what is left of it.
const LEFT_ALONE: Micros = Micros::from_secs(1);

impl PeerClient {
    pub fn new(os: Arc<dyn Os>, addr: SocketAddr) -> Self {
        PeerClient::leaving_alone(os, addr, LEFT_ALONE)
    }

    /// A client that leaves a peer alone for so long.
    pub fn leaving_alone(os: Arc<dyn Os>, addr: SocketAddr, left_alone: Micros) -> Self {
        PeerClient {
            link: os.peer_link(addr),
            os,
            timed_out: Mutex::new(None),
            left_alone,
            observations: None,
        }
    }

    /// The same client, which notes what its questions show of the link.
    pub fn with_observations(self, link: Link, queue: Option<Arc<ObservationQueue>>) -> Self {
        PeerClient {
            observations: queue.map(|queue| (link, queue)),
            ..self
        }
    }

    fn observe<T>(&self, result: &std::io::Result<T>) {
        let Some((link, queue)) = &self.observations else {
            return;
        };
        let outcome = match result {
            Ok(_) => CallOutcome::Answered,
            Err(e) if is_timeout(e) => CallOutcome::Failed(CallFailure::NoAnswer),
            Err(_) => CallOutcome::Failed(CallFailure::Unreachable),
        };
        queue.record(link.clone(), outcome, self.os.now());
    }

    /// Sends a view and asks for the peer's.
    pub fn exchange_views(&self, view: Vec<u8>, timeout: Duration) -> Exchange {
        let result = self.link.ask(&PeerRequest::Links { view }, timeout);
        match result {
            Ok(PeerReply::Links { view }) => {
                self.observe(&Ok(()));
                Exchange::View(view)
            }
            Ok(_) => {
                self.observe(&Ok(()));
                Exchange::NotOffered
            }
            // An earlier version closes the connection on a request that it doesn't know.
            Err(e) if !is_timeout(&e) && self.answers(timeout) => Exchange::NotOffered,
            Err(e) => {
                self.observe::<()>(&Err(e));
                Exchange::Failed
            }
        }
    }

    /// Asks once.
    pub fn call(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply> {
        let timed_out = || self.timed_out.lock().unwrap_or_else(|e| e.into_inner());
        let asked = self.os.now();
        if timed_out().is_some_and(|at| asked - at < self.left_alone) {
            return Err(ErrorKind::TimedOut.into());
        }
        let result = self.link.ask(request, timeout);
        self.observe(&result);
        // Only what it answers from memory tells: the others wait for the state service, and a leader
        // that is slow for want of it still knows its jobs.
        if matches!(request, PeerRequest::Status { .. })
            && let Err(e) = &result
            && is_timeout(e)
        {
            *timed_out() = Some(self.os.now());
        }
        result
    }

    /// True if the peer answers, whatever became of earlier questions.
    pub fn answers(&self, timeout: Duration) -> bool {
        let result = self.link.ask(&PeerRequest::Ping, timeout);
        self.observe(&result);
        result.is_ok()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// One peer over TCP, with a few kept connections.
#[derive(Debug)]
pub struct TcpPeer {
    addr: SocketAddr,
    kept: Mutex<Vec<TcpStream>>,
}

impl PeerLink for TcpPeer {
    /// Asks once. A kept connection may belong to a process that has ended since: then the
    /// request, which can bear to be repeated, goes out on a new one.
    fn ask(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply> {
        let kept = self.kept().pop();
        let since = Instant::now();
        if let Some(stream) = kept {
            match self.ask_on(stream, request, timeout) {
                Err(e) if !is_timeout(&e) => {
                    self.kept().clear();
                }
                result => return result,
            }
        }
        let left = timeout.saturating_sub(since.elapsed());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(&self.addr, left)?;
        let _ = stream.set_nodelay(true);
        self.ask_on(stream, request, left)
    }
}

impl TcpPeer {
    pub fn new(addr: SocketAddr) -> Self {
        TcpPeer {
            addr,
            kept: Mutex::new(Vec::new()),
        }
    }

    fn kept(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.kept.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn ask_on(
        &self,
        mut stream: TcpStream,
        request: &PeerRequest,
        timeout: Duration,
    ) -> std::io::Result<PeerReply> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        write_frame(&mut stream, request)?;
        let reply = read_frame(&mut stream)?;
        let mut kept = self.kept();
        if kept.len() < 3 {
            kept.push(stream);
        }
        Ok(reply)
    }
}

/// Answers peers for ever, on at most so many connections.
pub fn serve_peers(
    listener: TcpListener,
    most: usize,
    answer: Arc<dyn Fn(PeerRequest) -> PeerReply + Send + Sync>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        if open.load(Ordering::Relaxed) >= most {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (answer, count) = (answer.clone(), open.clone());
        let spawned = std::thread::Builder::new()
            .stack_size(crate::http::server::THREAD_STACK_BYTES)
            .spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(120)));
                let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
                while let Ok(request) = read_frame::<PeerRequest>(&mut stream) {
                    if write_frame(&mut stream, &answer(request)).is_err() {
                        break;
                    }
                }
                count.fetch_sub(1, Ordering::Relaxed);
            });
        if spawned.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
