//! Lists beyond the size that the proxy takes: refused, said once, asked for ever more seldom.

use crate::agent::{Agent, Call, config_at};
use crate::rig::*;
use serde_json::{Value, json};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The size of a list that is refused: a little more than 4 MiB.
const TOO_LARGE: usize = (4 << 20) + 1;
/// How long the calls are counted.
const COUNTED: Duration = Duration::from_secs(8);
/// With pauses of at least 1, 2, 4 and 8 s there are no more calls than these in that time.
const MOST_CALLS: usize = 4;
/// The size as the log has it, and what comes next there.
const SIZE: &str = "refused for its size: 4194305 bytes, and at most 4194304 bytes";
/// The least first pause.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// A service's answer with a list that is too large.
fn refuse(call: &mut Call, has_length: bool) {
    let list = vec![b' '; TOO_LARGE];
    let head = match has_length {
        true => format!("HTTP/1.1 200 OK\r\nContent-Length: {TOO_LARGE}\r\n\r\n"),
        false => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
    };
    let Ok(mut stream) = call.stream.try_clone() else { return };
    thread::spawn(move || {
        // The proxy may close the connection before it has read all of it.
        let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&list));
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
}

/// The configuration of a proxy that knows a backend; alone, so that the module's own pauses are short.
fn config_of(name: &str, mode: &str, agent: &Agent, known: &Value) -> Value {
    let mut config = config_at(name, mode, agent.address, known);
    config["settings"]["balancers"] = 1.into();
    config
}

fn known(backend: &Backend) -> Value {
    json!({"revision": 41, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]})
}

/// Answers all calls with a list that is too large until the time is over; how many there were.
fn count_refused(agent: &Agent, has_length: bool) -> usize {
    let end = Instant::now() + COUNTED;
    let mut calls = 0;
    while let Ok(mut call) = agent.calls.recv_timeout(end.saturating_duration_since(Instant::now())) {
        calls += 1;
        assert_eq!(call.after, Some(41), "the revision of the list held is kept");
        refuse(&mut call, has_length);
    }
    calls
}

/// With a list of 11.6 MB the log said "the connection failed", and the call was made again at once, again and again.
fn a_refused_list(mode: &str, has_length: bool) {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("held")));
    let name = format!("sizes-{mode}-{has_length}");
    let config = config_of(&name, mode, &agent, &known(&backend));
    let mut proxy = Proxy::start_with(&name, config.clone());
    let calls = count_refused(&agent, has_length);
    println!("{name}: {calls} calls in {COUNTED:?}");
    assert!(calls >= 2, "{name}: the service is asked again");
    assert!(calls <= MOST_CALLS, "{name}: {calls} calls in {COUNTED:?}");
    let line = proxy.next_line("discovery: ");
    let size = if has_length { SIZE } else { "refused for its size: more than 4194304 bytes" };
    assert!(line.contains(size) && line.contains("`[view]`"), "{name}: {line}");
    assert_eq!(
        proxy.client().ask(&request("read", "1", "")).body,
        b"held",
        "{name}: the last list serves on"
    );
    // A list that is taken is followed as ever, and the next that is not starts over.
    agent.next().answer(&json!({"revision": 42, "complete": false, "members": []}));
    let mut refused = agent.next();
    assert_eq!(refused.after, Some(42), "{name}: taken");
    let began = Instant::now();
    refuse(&mut refused, has_length);
    let again = agent.next();
    let pause = again.at - began;
    assert!(pause >= FIRST_PAUSE, "{name}: asked again after {pause:?}");
    assert!(pause < 5 * FIRST_PAUSE, "{name}: a success resets the pause, and not to {pause:?}");
    assert_eq!(again.after, Some(42), "{name}");
    proxy.hang_up();
    let lines = proxy.lines_before("SIGHUP");
    let said = lines.iter().filter(|line| line.contains("refused for its size")).count();
    assert_eq!(said, 1, "{name}: once more since the line above, as a list was taken between: {lines:?}");
}

#[test]
fn a_list_that_is_too_large_is_said_once_and_asked_for_ever_more_seldom() {
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            [true, false].into_iter().for_each(|known| _ = scope.spawn(move || a_refused_list(mode, known)));
        }
    });
}

/// What comes behind a Content-Length that is too large is not waited for.
#[test]
fn a_list_that_is_too_large_is_known_by_its_length() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("held")));
    let config = config_of("sizes-length", "pushed", &agent, &known(&backend));
    let mut proxy = Proxy::start_with("sizes-length", config);
    let mut call = agent.next();
    let began = Instant::now();
    call.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {TOO_LARGE}\r\n\r\n").as_bytes());
    let line = proxy.next_line("discovery: ");
    assert!(line.contains(SIZE), "{line}");
    assert!(began.elapsed() < FIRST_PAUSE, "said only after {:?}", began.elapsed());
}

/// Whoever corrects the cause need not wait for the end of the pause.
#[test]
fn a_move_and_a_signal_end_the_pause_after_a_list_that_is_too_large() {
    for mode in ["pushed", "on_request"] {
        let (agent, other, backend) = (Agent::start(), Agent::start(), Backend::start(|_| ok("held")));
        let name = format!("sizes-pause-{mode}");
        let mut config = config_of(&name, mode, &agent, &known(&backend));
        let mut proxy = Proxy::start_with(&name, config.clone());
        // The pauses that follow these calls are at least 1, 2 and 4 s long.
        for _ in 0..3 {
            refuse(&mut agent.next(), true);
        }
        let ends_the_pause = |proxy: &mut Proxy, asked: &Agent, what: &str| {
            assert!(asked.calls.recv_timeout(FIRST_PAUSE).is_err(), "{name}, {what}: it pauses");
            let began = Instant::now();
            proxy.hang_up();
            assert!(proxy.next_line("SIGHUP").contains("in force"));
            let call = asked.next();
            assert!(call.at - began < FIRST_PAUSE, "{name}, {what}: asked after {:?}", call.at - began);
            call
        };
        refuse(&mut ends_the_pause(&mut proxy, &agent, "signal"), true);
        config["discovery"] = other.address.to_string().into();
        write_config(&name, &config.to_string());
        let moved = ends_the_pause(&mut proxy, &other, "move");
        assert_eq!(moved.after, None, "{name}");
        moved.answer(&known(&backend));
        assert_eq!(other.next().after, Some(41), "{name}");
    }
}
