//! The format of log lines, and the levels that `LOG_LEVEL` accepts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::logging::{Event, LoggingError, init};
use log::Record;

#[test]
fn fields_follow_their_event_and_are_quoted_where_needed() {
    let fields = [
        ("machine", "big-east-1"),
        ("error", "no \"file\" left"),
        ("reason", ""),
    ];
    let with_fields = Record::builder()
        .args(format_args!("machine lost"))
        .key_values(&fields)
        .build();
    assert_eq!(
        Event(&with_fields).to_string(),
        r#"machine lost: machine=big-east-1 error="no \"file\" left" reason="""#
    );
    let without_fields = Record::builder()
        .args(format_args!("leading: term=3"))
        .build();
    assert_eq!(Event(&without_fields).to_string(), "leading: term=3");
}

#[test]
fn unknown_log_level_is_rejected_with_its_value() {
    let error = init(Some("verbose")).unwrap_err();
    assert!(matches!(&error, LoggingError::UnknownLevel { given } if given == "verbose"));
    assert_eq!(
        error.to_string(),
        "LOG_LEVEL must be error, info or debug, not `verbose`"
    );
}
