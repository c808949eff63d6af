//! Which handler a request of users, workers or health checks belongs to.

use super::Controller;
use crate::http::server::{Handler, Request, RequestPriority, Response};

/// What a request asks for.
enum Route<'a> {
    Heartbeat,
    Up,
    Submit,
    Status(&'a str),
    Cancel(&'a str),
    Refused(u16),
}

fn route(request: &Request) -> Route<'_> {
    let path = request.path.split('?').next().unwrap_or("");
    let (wanted, route) = match path {
        "/checkin" => ("POST", Route::Heartbeat),
        "/up" => ("GET", Route::Up),
        "/work" => ("POST", Route::Submit),
        _ => match path.strip_prefix("/work/").map(|rest| rest.split_once('/')) {
            Some(None) => ("GET", Route::Status(&path["/work/".len()..])),
            Some(Some((id, "withdraw"))) => ("POST", Route::Cancel(id)),
            _ => return Route::Refused(404),
        },
    };
    if request.method == wanted {
        route
    } else {
        Route::Refused(405)
    }
}

impl Handler for Controller {
    /// Workers and health checks never wait for what users ask; a status that this node knows is
    /// told at once.
    fn handle_without_blocking(&self, request: Request) -> Result<Response, Request> {
        let response = match route(&request) {
            Route::Heartbeat => Some(self.heartbeat(&request.body)),
            Route::Up => Some(self.up()),
            Route::Status(id) => self.known_status(id),
            Route::Refused(status) => Some(Response::new(status, Vec::new())),
            Route::Submit | Route::Cancel(_) => None,
        };
        response.ok_or(request)
    }

    /// Hundreds of workers check in whatever users do.
    fn priority(&self, request: &Request) -> RequestPriority {
        match route(request) {
            Route::Heartbeat => RequestPriority::Low,
            _ => RequestPriority::Normal,
        }
    }

    fn handle(&self, request: Request) -> Response {
        match route(&request) {
            Route::Submit => self.submit(&request.body),
            Route::Status(id) => self.status(id),
            Route::Cancel(id) => self.cancel(id),
            Route::Heartbeat => self.heartbeat(&request.body),
            Route::Up => self.up(),
            Route::Refused(status) => Response::new(status, Vec::new()),
        }
    }
}
