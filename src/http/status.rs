//! The HTTP status codes that are sent, and their reason phrases.

pub(super) const BAD_REQUEST: u16 = 400;
pub(super) const LENGTH_REQUIRED: u16 = 411;
pub(super) const CONTENT_TOO_LARGE: u16 = 413;
pub(super) const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
pub(super) const SERVICE_UNAVAILABLE: u16 = 503;

/// The reason phrase of a status code for the status line; `Other` if the code isn't in the list.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        BAD_REQUEST => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        LENGTH_REQUIRED => "Length Required",
        CONTENT_TOO_LARGE => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Other",
    }
}
