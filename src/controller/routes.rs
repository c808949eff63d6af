//! Which handler a request of a user, a worker or a health check belongs to.

use super::Controller;
use crate::http::server::{Handler, Request, RequestPriority, Response};

/// Workers' heartbeats, and the health check.
const HEARTBEAT_PATH: &str = "/checkin";
const HEALTH_PATH: &str = "/up";
/// Submissions. Below it are the jobs: `/work/<id>`, and `/work/<id>/withdraw` to cancel one.
const JOBS_PATH: &str = "/work";
const JOB_PATH_PREFIX: &str = "/work/";
const CANCEL_ACTION: &str = "withdraw";

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;

/// What a request asks for.
enum Route<'a> {
    Heartbeat,
    Health,
    Submit,
    /// The status of the job with this id.
    Status(&'a str),
    /// The cancellation of the job with this id.
    Cancel(&'a str),
    /// Nothing that there is: the response has this status.
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
    /// Heartbeats and health checks never wait for requests of users. A status that this controller has in memory is
    /// returned at once as well.
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

    /// Heartbeats of hundreds of workers arrive whatever users do, and must not crowd out their requests.
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
