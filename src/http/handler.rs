//! What a server needs to know from the code that answers its requests.

use super::message::{Request, Response};

/// How a request ranks against others that are ready at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPriority {
    /// Served as soon as the event loop gets to it.
    #[default]
    Normal,
    /// Served a few at a time, between others. For requests that come again and again on the same
    /// connection and tolerate a short delay, such as heartbeats.
    Low,
}

/// Answers the requests of a server. Methods are called from several threads at the same time.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on the event loop's thread. A request whose answer may need a blocking call is
    /// returned as `Err`, and goes to [`Handler::handle`] unless the thread pool is full.
    fn handle_without_blocking(&self, request: Request) -> Result<Response, Request> {
        Err(request)
    }

    /// Answers a request on a thread of the thread pool, which may block.
    fn handle(&self, request: Request) -> Response;

    /// The priority of a request. It also holds for the further requests of the same connection, until
    /// one of them has another priority.
    fn priority(&self, _request: &Request) -> RequestPriority {
        RequestPriority::Normal
    }
}
