//! The bodies of answers to users.

use crate::http::cbor::encode;
use crate::http::server::Response;
use crate::jobs::{JobView, ViewState};
use serde::Serialize;

/// When a user who was refused should come back, in seconds.
const RETRY_S: u32 = 1;
/// The same, while the service holds as many jobs as it can: some must get done first.
const FULL_RETRY_S: u32 = 5;

#[derive(Serialize)]
struct JobAnswer<'a> {
    #[serde(rename = "ref")]
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorAnswer {
    error: String,
}

/// 201: the job was accepted by this request.
pub(super) fn accepted(id: &str) -> Response {
    job_state(201, id, ViewState::Queued)
}

/// 200 with the job's state: it was known before, or is over.
pub(super) fn known(id: &str, view: JobView) -> Response {
    job_state(200, id, view.state)
}

fn job_state(status: u16, id: &str, state: ViewState) -> Response {
    let answer = JobAnswer {
        id,
        status: state.name(),
        done: None,
        running: None,
    };
    Response::new(status, encode(&answer))
}

/// 200 with the job's state and its counts of tasks.
pub(super) fn job_status(id: &str, view: JobView) -> Response {
    let answer = JobAnswer {
        id,
        status: view.state.name(),
        done: Some(view.done),
        running: Some(view.running),
    };
    Response::new(200, encode(&answer))
}

/// 404: no such job was ever accepted.
pub(super) fn unknown_job() -> Response {
    Response::new(404, Vec::new())
}

/// A refusal for good, with its reason.
pub(super) fn refused(status: u16, reason: String) -> Response {
    Response::new(status, encode(&ErrorAnswer { error: reason }))
}

/// It can't be decided now: the user should try again soon.
pub(super) fn retry_soon() -> Response {
    Response::busy(RETRY_S)
}

/// No more jobs are accepted until some are over.
pub(super) fn retry_when_not_full() -> Response {
    Response::busy(FULL_RETRY_S)
}
