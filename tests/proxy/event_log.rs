//! The log says what became of each request: its id, the reason, and how many lines were left out.

use crate::rig::*;
use std::time::Duration;

/// The lines of one event and reason that are written in a second.
const LINES_PER_SECOND: usize = 10;

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {name}="))?;
    rest.split_whitespace().next()
}

#[test]
fn a_refusal_a_retry_and_a_failure_are_logged_with_the_id_of_their_request() {
    let discovery = Discovery::start();
    let mut is_first = true;
    let backend = Backend::start(move |seen| match seen.header("x-correlation-id") {
        Some("id-retried") if !std::mem::take(&mut is_first) => ok("second"),
        _ => Reply::Write(answer("500 Broken", "", b"")),
    });
    let members = ["s-1", "s-2"].map(|id| entry(id, backend.address, "active", 0));
    let mut proxy = Proxy::start("log-reasons", &discovery, &members);
    assert_eq!(proxy.client().ask(&request("read", "id-retried", "")).body, b"second");
    let retried = proxy.next_line("event=retried");
    assert_eq!(field(&retried, "id"), Some("id-retried"), "{retried}");
    assert!(retried.contains("reason=\"error\""), "{retried}");
    assert_eq!(proxy.client().ask(&request("charge", "id-failed", "x")).status(), 502);
    let failed = proxy.next_line("event=failed");
    assert_eq!(field(&failed, "id"), Some("id-failed"), "{failed}");
    let late = request("read", "id-late", "").replace("15000", "never");
    assert_eq!(proxy.client().ask(&late).status(), 400);
    let rejected = proxy.next_line("event=rejected");
    assert_eq!(
        (field(&rejected, "id"), field(&rejected, "status")),
        (Some("id-late"), Some("400")),
        "{rejected}"
    );
    discovery.post(true, &[]);
    assert_eq!(proxy.client().ask(&request("read", "id-refused", "")).status(), 503);
    let refused = proxy.next_line("event=refused");
    assert_eq!(field(&refused, "id"), Some("id-refused"), "{refused}");
    assert!(refused.contains("reason=\"no_room\""), "{refused}");
}

#[test]
fn a_flood_of_one_event_writes_few_lines_and_counts_the_rest() {
    const FLOOD: usize = 200;
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_bare("log-flood", &discovery);
    let mut client = proxy.client();
    for n in 0..FLOOD {
        assert_eq!(client.ask(&request("nothing", &format!("flood-{n}"), "")).status(), 400);
    }
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(proxy.client().ask(&request("nothing", "last", "")).status(), 400);
    let lines = proxy.lines_before("id=last");
    let flood = lines.iter().filter(|line| line.contains("id=flood-")).count();
    assert!(flood <= 2 * LINES_PER_SECOND, "{flood} lines");
    assert!(flood >= LINES_PER_SECOND, "{flood} lines");
}
