//! The group's acts and errors, one JSON object a line on standard error.

use serde_json::Value;
use std::io::Write;

/// Writes one event. A reader that is gone does not end the proxy.
pub(super) fn say(event: &Value) {
    let _ = writeln!(std::io::stderr(), "{event}");
}
