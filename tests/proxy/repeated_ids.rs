//! A request whose id comes again after its client has left: it may not run twice.

use crate::rig::*;
use std::time::Duration;

/// How long nothing must have come for it to count as never sent.
const NEVER: Duration = Duration::from_millis(300);

fn ids(backend: &Backend) -> Vec<String> {
    std::thread::sleep(NEVER);
    backend.seen.try_iter().filter_map(|seen| seen.header("x-correlation-id").map(str::to_owned)).collect()
}

/// Has a client send a request and go once a backend has it.
fn leave_after_sending(proxy: &Proxy, backend: &Backend, text: &str) {
    let mut client = proxy.client();
    client.send(text);
    backend.next();
}

#[test]
fn an_unsafe_request_that_comes_again_after_its_client_left_runs_once() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("ran"));
    let members = ["s-1", "s-2"].map(|id| entry(id, backend.address, "active", 0));
    let proxy = Proxy::start("again", &discovery, &members);
    let text = request("charge", "again", "x");
    leave_after_sending(&proxy, &backend, &text);
    assert_eq!(proxy.client().ask(&text).status(), 502);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(proxy.client().ask(&text).status(), 502, "also later");
    assert_eq!(ids(&backend), [""; 0]);
    // Another id is served, and so is a request that may be repeated.
    assert_eq!(proxy.client().ask(&request("charge", "other", "x")).status(), 200);
    for _ in 0..2 {
        assert_eq!(proxy.client().ask(&request("read", "safe", "")).status(), 200);
    }
}

/// What never ran may come again: its client was told so.
#[test]
fn an_unsafe_request_that_was_turned_away_may_come_again() {
    let discovery = Discovery::start();
    let mut turned_away = 0;
    let backend = Backend::start(move |_| {
        turned_away += 1;
        if turned_away > 2 {
            ok("ran")
        } else {
            Reply::Write(answer("503 Busy", "X-Unprocessed: 1\r\n", b""))
        }
    });
    let members = ["s-1", "s-2"].map(|id| entry(id, backend.address, "active", 0));
    let proxy = Proxy::start("turned-away", &discovery, &members);
    let text = request("charge", "again", "x");
    assert_eq!(proxy.client().ask(&text).status(), 503);
    let since = std::time::Instant::now();
    while proxy.client().ask(&text).status() != 200 {
        assert!(since.elapsed() < PATIENCE, "it is never served");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_unsafe_request_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("ran"));
    let members = ["s-1", "s-2"].map(|id| entry(id, backend.address, "active", 0));
    let name = "again-upgrade";
    let mut config = config(name, &discovery);
    config["admin_addr"] = "127.0.0.1:0".into();
    let old = Proxy::start_with(name, config.clone());
    discovery.post(true, &members);
    let before = request("charge", "before", "x");
    leave_after_sending(&old, &backend, &before);
    config["listen"] = old.address.to_string().into();
    config["known"] = serde_json::json!({"revision": 1, "complete": true, "members": members});
    let mut kept = old.client();
    assert_eq!(kept.ask(crate::UP).status(), 200);
    let mut old = old;
    let new = Proxy::start_with(name, config);
    old.next_line("the listener was handed to another process");
    // The old process has this connection already.
    let during = request("charge", "during", "x");
    kept.send(&during);
    backend.next();
    drop(kept);
    old.terminate();
    old.wait();
    for text in [&before, &during] {
        assert_eq!(new.client().ask(text).status(), 502);
    }
    assert_eq!(ids(&backend), [""; 0]);
}
