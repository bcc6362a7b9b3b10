//! The group's acts and errors, one JSON object a line on standard error.

use crate::log_line;
use serde_json::Value;

/// Writes one event. A reader that is gone does not end the proxy.
pub(super) fn say(event: &Value) {
    log_line::write(format_args!("{event}"));
}
