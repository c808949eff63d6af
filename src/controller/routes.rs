//! HTTP routes: dispatch of requests from users, workers and health checks to their handlers.

use super::Controller;
use crate::http::server::{Handler, Request, RequestPriority, Response};

/// Path of heartbeats from workers.
const HEARTBEAT_PATH: &str = "/checkin";
/// Path of the health check.
const HEALTH_PATH: &str = "/up";
/// Path of submissions.
const JOBS_PATH: &str = "/work";
/// Prefix of the path of one job: `/work/<id>` for its status, `/work/<id>/withdraw` to cancel it.
const JOB_PATH_PREFIX: &str = "/work/";
/// Last segment of the path of a cancellation.
const CANCEL_ACTION: &str = "withdraw";

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;

/// Operation that a request asks for.
enum Route<'a> {
    Heartbeat,
    Health,
    Submit,
    /// Status of the job with this id.
    Status(&'a str),
    /// Cancellation of the job with this id.
    Cancel(&'a str),
    /// Unknown path or wrong method, answered with this HTTP status.
    Refused(u16),
}

fn route(request: &Request) -> Route<'_> {
    let path = request.path.split('?').next().unwrap_or("");
    let (method, route) = match path {
        HEARTBEAT_PATH => ("POST", Route::Heartbeat),
        HEALTH_PATH => ("GET", Route::Health),
        JOBS_PATH => ("POST", Route::Submit),
        _ => match path.strip_prefix(JOB_PATH_PREFIX) {
            Some(rest) => match rest.split_once('/') {
                None => ("GET", Route::Status(rest)),
                Some((id, CANCEL_ACTION)) => ("POST", Route::Cancel(id)),
                Some(_) => return Route::Refused(STATUS_NOT_FOUND),
            },
            None => return Route::Refused(STATUS_NOT_FOUND),
        },
    };
    if request.method == method {
        route
    } else {
        Route::Refused(STATUS_METHOD_NOT_ALLOWED)
    }
}

impl Handler for Controller {
    /// Handles heartbeats and health checks, which must never wait behind requests from users, and status requests
    /// that this controller can answer from memory.
    fn handle_without_blocking(&self, request: Request) -> Result<Response, Request> {
        let response = match route(&request) {
            Route::Heartbeat => Some(self.heartbeat(&request.body)),
            Route::Health => Some(self.health_check()),
            Route::Status(id) => self.known_status(id),
            Route::Refused(status) => Some(Response::new(status, Vec::new())),
            Route::Submit | Route::Cancel(_) => None,
        };
        response.ok_or(request)
    }

    /// Heartbeats have low priority: those of hundreds of workers arrive regardless of what users do, and must not
    /// displace requests from users.
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
            Route::Health => self.health_check(),
            Route::Refused(status) => Response::new(status, Vec::new()),
        }
    }
}
