//! Lines on standard error.

use std::fmt;
use std::io::{self, Write};

/// Writes a line with one call to the system: processes and threads that share standard error then never write into one
/// another's lines. A reader that is gone ends nothing.
pub fn write(line: fmt::Arguments<'_>) {
    let text = format!("{line}\n");
    let _ = io::stderr().write_all(text.as_bytes());
}
