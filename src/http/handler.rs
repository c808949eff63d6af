//! The interface between the HTTP server and the code that answers requests.

use super::message::{Request, Response};

/// Priority of a request among others that are ready at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPriority {
    /// The request is served in the next turn of the event loop that has room for it.
    #[default]
    Normal,
    /// Only a few of these requests are served in each turn of the event loop. Meant for requests that are
    /// repeated on the same connection and tolerate a short delay, such as heartbeats.
    Low,
}

/// Answers the requests that a server receives. Its methods are called concurrently by several threads.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on the thread of the event loop, and must not block. A request whose answer may need a
    /// blocking call is returned as `Err`; it is passed to [`Handler::handle`] unless the thread pool is full.
    fn handle_without_blocking(&self, request: Request) -> Result<Response, Request> {
        Err(request)
    }

    /// Answers a request on a thread of the thread pool. May block.
    fn handle(&self, request: Request) -> Response;

    /// The priority of a request. It also determines in which poll set the connection waits for further requests,
    /// until one of them has another priority.
    fn priority(&self, _request: &Request) -> RequestPriority {
        RequestPriority::Normal
    }
}
