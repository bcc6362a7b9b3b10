//! The proxy's program over loopback sockets: what must hold whatever backends and clients do.

mod agent;
mod crowded_discovery;
mod customers;
mod descriptors;
mod endless_answers;
mod event_log;
mod gone;
mod instants;
mod memory;
mod memory_watch;
mod queued_calls;
mod reload;
mod repeated_ids;
mod repeats;
mod restart;
mod rig;
mod sizes;
mod slow_servers;
mod small_chunks;
mod stalled_clients;
mod tenants;
mod transfers;
mod views;
mod watches;

use bytes::Bytes;
use haventrack::api::{Outcome, Readiness};
use haventrack::proxy::backends::{AttemptDue, Call, Fleet, Standing};
use haventrack::proxy::bodies::Transfers;
use haventrack::proxy::config::Config;
use haventrack::proxy::handover::{Bans, Held};
use hyper::{HeaderMap, Method, Uri};
use rig::*;
use std::io::{BufRead, Read, Write};
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};

/// What the module lets out to a lone backend at the start.
const ROOM: usize = 2;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Clients whose requests take all the room that the module gives a lone backend at its start, the backend, and
/// the words that let it answer them. Further requests are answered at once.
fn full_backend() -> (Backend, Vec<Sender<()>>) {
    let (mut words, mut releases) = (Vec::new(), Vec::new());
    for _ in 0..ROOM {
        let (release, word) = channel();
        words.push(word);
        releases.push(release);
    }
    let backend = Backend::start(move |_| match words.pop() {
        Some(word) => Reply::After(word, Box::new(ok("first"))),
        None => ok("later"),
    });
    (backend, releases)
}

fn fill(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let fill = (0..ROOM).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next();
        client
    });
    fill.collect()
}

/// How many requests these backends have seen. A backend that closes tells of a request only afterwards, when the
/// client may have its answer already: the first one is waited for.
fn seen_by(backends: &[&Backend]) -> usize {
    let began = std::time::Instant::now();
    let mut seen = 0;
    while seen == 0 && began.elapsed() < PATIENCE {
        seen = backends.iter().map(|backend| backend.rest()).sum();
    }
    seen + backends.iter().map(|backend| backend.rest()).sum::<usize>()
}

#[test]
fn requests_and_answers_pass_unchanged() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Write(answer("200 OK", "", b"\x00\xffbody\r\n\r\n")));
    let proxy = Proxy::start("unchanged", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let got = proxy.client().ask(&request("submit", "5c0f", "some body"));
    assert_eq!((got.status(), got.body.as_slice()), (200, b"\x00\xffbody\r\n\r\n".as_slice()));
    let seen = backend.next();
    assert_eq!(seen.first_line(), "POST /submit?key=7f3a HTTP/1.1");
    assert_eq!(seen.header("x-correlation-id"), Some("5c0f"));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f"));
    assert_eq!(seen.body, b"some body");
    let left: u64 = seen.header("x-time-left-ms").expect("the time left").parse().expect("a number");
    assert!(left < 15_000, "the proxy waits for less than the client does, not {left} ms");
}

#[test]
fn a_connection_serves_one_request_after_another() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(seen.header("x-correlation-id").expect("an id")));
    let proxy = Proxy::start("kept", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["a", "b", "c"] {
        let got = client.ask(&request("read", id, ""));
        assert_eq!((got.status(), got.body.as_slice()), (200, id.as_bytes()));
    }
}

#[test]
fn what_makes_no_sense_gets_a_plain_4xx_and_does_no_harm() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start("nonsense", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let good = request("submit", "7", "x");
    let cases = [
        ("\x01\x02 nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("/submit", "/nothing"), 400),
        (good.replace("X-Service-Class: submit", "X-Service-Class: read"), 400),
        (good.replace("X-Correlation-Id: 7\r\n", ""), 400),
        (good.replace("X-Time-Left-Ms: 15000\r\n", ""), 400),
        (good.replace("15000", "-5"), 400),
        (good.replace("15000", "99999999999999999999999"), 400),
        (good.replace("Idempotency-Key: 7\r\n", ""), 400),
        (good.replace("POST", "GET"), 405),
        (good.replace("Content-Length: 1\r\n", "Content-Length: 60000000\r\n"), 413),
    ];
    for (text, status) in cases {
        let line = text.lines().next().unwrap_or_default().to_owned();
        assert_eq!(proxy.client().ask(&text).status(), status, "{line}");
    }
    assert_eq!(backend.rest(), 0);
    assert_eq!(proxy.client().ask(&good).status(), 200);
}

#[test]
fn a_body_at_the_cap_passes() {
    let discovery = Discovery::start();
    let body = "y".repeat(64 * 1024);
    let answered = body.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let proxy = Proxy::start("cap", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let got = proxy.client().ask(&request("submit", "1", &body));
    assert_eq!((got.status(), got.body.len()), (200, body.len()));
    assert_eq!(backend.next().body.len(), body.len());
}

#[test]
fn a_broken_answer_is_never_a_200_and_an_unsafe_request_is_not_sent_again() {
    let breaks: [&[u8]; 3] = [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", b"garbage\r\n\r\n"];
    for (i, bytes) in breaks.into_iter().enumerate() {
        let discovery = Discovery::start();
        let one = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let two = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("broken-{i}"), &discovery, &members);
        let got = proxy.client().ask(&request("charge", "1", "x"));
        assert_eq!(got.status(), 502, "failed: the request may have run");
        assert_eq!(seen_by(&[&one, &two]), 1);
    }
}

/// case3576: an answer that can't be read was reported as a lost connection, for which the module blames the rest
/// that the connection had.
#[test]
fn an_unreadable_answer_is_the_backends_error_and_a_missing_one_a_reset() {
    let cases: [(&[u8], Outcome); 5] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nabc", Outcome::Error),
        (b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 3\r\n\r\nabc", Outcome::Error),
        (b"garbage\r\n\r\n", Outcome::Error),
        (b"", Outcome::Reset),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", Outcome::Reset),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (bytes, outcome) in cases {
        let backend = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
            let fleet = Fleet::new(10, 5_000_000, 10_000_000, Vec::new(), Transfers::within(1 << 20));
            fleet.update(1, backend.address, Readiness::Ready, None);
            let server = fleet.server(1).expect("the backend");
            let (method, target) = (Method::GET, Uri::from_static("/read"));
            let call = Call { method, target, headers: HeaderMap::new(), body: Bytes::new(), upload: None };
            let (_standing, told) = tokio::sync::watch::channel(Standing::Wanted);
            let give_up = tokio::time::Instant::now() + PATIENCE;
            fleet.attempt(server, Rc::new(call), AttemptDue { begin_by: None, give_up }, told).await
        });
        assert_eq!(ended.outcome, outcome, "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn only_the_mark_tells_that_a_request_was_turned_away() {
    for (more, status, attempts) in
        [("X-Unprocessed: 1\r\n", 503, 2), ("", 502, 1), ("X-Unprocessed: 0\r\n", 502, 1)]
    {
        let discovery = Discovery::start();
        let turn_away = move |_: &Seen| Reply::Write(answer("503 Service Unavailable", more, b""));
        let (one, two) = (Backend::start(turn_away), Backend::start(turn_away));
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("mark-{status}-{}", more.len()), &discovery, &members);
        let got = proxy.client().ask(&request("charge", "1", "x"));
        assert_eq!((got.status(), one.rest() + two.rest()), (status, attempts), "with `{more}`");
    }
}

#[test]
fn a_backend_that_cannot_be_reached_leaves_an_unsafe_request_free_to_go_elsewhere() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let nobody =
        std::net::TcpListener::bind("127.77.0.2:0").expect("a port").local_addr().expect("an address");
    let members = [entry("s-1", nobody, "active", 0), entry("s-2", backend.address, "active", 0)];
    let proxy = Proxy::start("unreachable", &discovery, &members);
    for id in ["1", "2", "3"] {
        assert_eq!(proxy.client().ask(&request("charge", id, "x")).status(), 200);
    }
}

#[test]
fn a_connection_that_its_backend_has_closed_is_not_used_again() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::WriteAndClose(answer("200 OK", "", b"last")));
    let proxy = Proxy::start("closed", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["1", "2", "3", "4"] {
        assert_eq!(client.ask(&request("charge", id, "x")).status(), 200);
        backend.next();
    }
}

#[test]
fn a_request_that_a_backend_never_answers_fails_in_its_time() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Hang);
    let proxy = Proxy::start("hang", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    let got = client.ask(&request("charge", "1", "x").replace("15000", "300"));
    assert_eq!(got.status(), 502);
    assert_eq!(client.ask(UP).status(), 200, "exactly one answer came, and the connection goes on");
}

#[test]
fn without_room_a_request_is_refused_with_a_word_on_when_to_return() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("refused", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let refused = proxy.client().ask(&request("charge", "2", "x").replace("15000", "500"));
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused.header("retry-after").expect("Retry-After").parse().expect("seconds");
    assert!(wait > 0.0);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.rest(), 0, "a refused request never went out");
}

#[test]
fn a_client_that_left_while_it_was_held_is_forgotten() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = Proxy::start("left", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = fill(&proxy, &backend);
    let mut leaver = proxy.client();
    leaver.send(&request("charge", "2", "x"));
    // The answers on other connections show that the proxy has seen what came before them.
    assert_eq!(proxy.client().ask(UP).status(), 200);
    leaver.stream.shutdown(std::net::Shutdown::Write).expect("the connection is up");
    assert!(leaver.ends_cleanly(), "the proxy has seen it leave");
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.client().ask(&request("charge", "3", "x")).status(), 200);
    assert_eq!(backend.next().header("x-correlation-id"), Some("3"));
}

#[test]
fn nothing_new_goes_to_a_backend_that_drains_or_is_gone() {
    for phase in ["leaving", "left"] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let proxy = Proxy::start(phase, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
        backend.next();
        discovery.post(false, &[entry("s-1", backend.address, phase, 0)]);
        let short = request("read", "2", "").replace("15000", "300");
        assert_eq!(proxy.client().ask(&short).status(), 503, "{phase}");
        assert_eq!(backend.rest(), 0, "{phase}");
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().ask(&request("read", "3", "")).status(), 200);
    }
}

#[test]
fn a_restarted_backend_gets_a_new_connection() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start("restarted", &discovery, &[entry("s-1", backend.address, "active", 1_000)]);
    let mut client = proxy.client();
    assert_eq!(client.ask(&request("charge", "1", "x")).status(), 200);
    assert_eq!(client.ask(&request("charge", "2", "x")).status(), 200);
    let (first, second) = (backend.next().connection, backend.next().connection);
    assert_eq!(first, second, "a connection is used again");
    discovery.post(false, &[entry("s-1", backend.address, "active", 2_000)]);
    assert_eq!(client.ask(&request("charge", "3", "x")).status(), 200);
    assert_ne!(backend.next().connection, second);
}

#[test]
fn odd_entries_of_a_list_are_passed_over() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let good = entry("s-1", backend.address, "active", 0);
    let odd = |name: &str, value: serde_json::Value| {
        let mut entry = entry("s-odd", backend.address, "active", 0);
        entry[name] = value;
        entry
    };
    let members = [
        serde_json::Value::Null,
        odd("host_port", "nowhere".into()),
        odd("phase", "dancing".into()),
        odd("locality", "mars".into()),
        odd("cell", (-1).into()),
        odd("id", 7.into()),
        good,
    ];
    let mut proxy = Proxy::start("odd", &discovery, &members);
    assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
    // Each is named in the log, with what is wrong and what to do.
    let fields = "it has to have the protocol's fields: correct it in discovery";
    for (problem, remedy) in [
        ("invalid type: null", fields),
        ("`s-odd`: `host_port` is no IP address with a port: `nowhere`", "correct it in discovery"),
        ("`s-odd`: unknown phase `dancing`", "active, leaving or left"),
        ("`s-odd`: unknown locality `mars`", "add it to `failureDomains` of the settings"),
        ("expected u16", fields),
        ("expected a string", fields),
    ] {
        let line = proxy.next_line("passing over");
        assert!(line.contains(problem) && line.contains(remedy), "{line}");
    }
}

#[test]
fn it_is_up_only_once_it_holds_a_list() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start_bare("up", &discovery);
    assert_eq!(proxy.client().ask(UP).status(), 503);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    assert_eq!(proxy.client().ask(UP).status(), 200);
}

#[test]
fn where_discovery_is_asked_the_module_begins_the_watch_whatever_was_known() {
    for known in [serde_json::Value::Null, "nonsense".into()] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let mut config = config("asked", &discovery);
        config["known"] = known;
        config["settings"]["membershipMode"] = "on_request".into();
        let proxy = Proxy::start_with("asked", config);
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
    }
}

/// herd+vast: a hundred proxies fetched the whole list at their start although each had been started with one, and
/// discovery answered no watch for the rest of the day.
#[test]
fn a_proxy_serves_from_the_list_it_is_started_with_and_asks_for_what_changed_since() {
    for mode in ["pushed", "on_request"] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let mut config = config(&format!("since-{mode}"), &discovery);
        let members = [entry("s-1", backend.address, "active", 0)];
        config["known"] = serde_json::json!({"revision": 41, "complete": true, "members": members});
        config["settings"]["membershipMode"] = mode.into();
        let proxy = Proxy::start_with(&format!("since-{mode}"), config);
        assert_eq!(discovery.next_call(), Some(41), "{mode}");
        assert_eq!(proxy.client().ask(UP).status(), 200, "{mode}");
        assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200, "{mode}");
    }
}

#[test]
fn a_known_list_that_is_not_whole_is_fetched_anew() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut config = config("gaps", &discovery);
    let members = [entry("s-1", backend.address, "active", 0), serde_json::json!({"id": "s-2"})];
    config["known"] = serde_json::json!({"revision": 41, "complete": true, "members": members});
    let proxy = Proxy::start_with("gaps", config);
    assert_eq!(discovery.next_call(), None);
    assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
}

/// A peer that said nothing, or stopped halfway, was kept for up to seventy seconds.
#[test]
fn who_sends_no_whole_request_is_rid_of_in_seconds_and_a_served_client_may_go_on() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start("no-request", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let whole = request("submit", "1", "some body");
    let mut served = proxy.client();
    let stops = ["", "nonsense without an end", &whole[..40], &whole[..whole.len() - 4]];
    let mut peers = stops.map(|text| {
        let mut peer = proxy.client();
        peer.send(text);
        peer
    });
    assert_eq!(served.ask(&whole).status(), 200);
    for (peer, text) in peers.iter_mut().zip(stops) {
        let mut got = String::new();
        peer.reader.read_to_string(&mut got).expect("an end without a reset");
        assert!(got.is_empty() || got.starts_with("HTTP/1.1 4"), "{text:?} got {got:?}");
    }
    assert_eq!(backend.rest(), 1, "nothing but the whole request went out");
}

/// Clients were given three fifths of the descriptors; the platform allows a third.
#[test]
fn clients_hold_at_most_a_third_of_the_descriptors() {
    let discovery = Discovery::start();
    for sockets in [0, 48, 64, 256, 384, 1_024, 4_096] {
        let mut config = config("third", &discovery);
        config["limits"]["sockets"] = sockets.into();
        let config = Config::parse(config.to_string().as_bytes(), |_| None).expect("a configuration");
        let sockets = sockets.max(48);
        let (clients, backends) = (config.client_sockets, config.backend_sockets);
        assert!(clients * 3 <= sockets && clients * 5 >= sockets, "{clients} of {sockets}");
        assert!(clients + backends < sockets && backends >= clients, "{clients} and {backends} of {sockets}");
    }
}

#[test]
fn idle_clients_do_not_keep_others_out() {
    let discovery = Discovery::start();
    let mut config = config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with("idle", config);
    // More than the proxy may hold at a time, and none of them says a word.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().ask(UP).status(), 503);
    drop(clients);
}

#[test]
fn a_backend_that_began_to_drain_while_its_connection_came_up_gets_nothing() {
    let discovery = Discovery::start();
    let (listener, filler) = full_queue();
    let address = listener.local_addr().expect("an address");
    let proxy = Proxy::start("slow-connect", &discovery, &[entry("s-1", address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // An answer on another connection shows that the proxy has seen the request.
    assert_eq!(proxy.client().ask(UP).status(), 200);
    discovery.post(false, &[entry("s-1", address, "leaving", 0)]);
    drop(listener.accept().expect("the filler"));
    let (mut stream, _) = listener.accept().expect("the proxy's connection");
    let got = client.receive();
    assert_eq!(got.status(), 503, "it never ran, so a repeat is harmless");
    let mut sent = Vec::new();
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let _ = stream.read_to_end(&mut sent);
    assert!(sent.is_empty(), "{}", String::from_utf8_lossy(&sent));
    drop(filler);
}

#[test]
fn at_sigterm_it_finishes_what_it_took_and_what_still_comes() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    let one = Backend::start(move |seen| match seen.header("x-correlation-id") {
        Some("1") => Reply::After(word.take().expect("asked once"), Box::new(ok("taken before"))),
        _ => ok("still comes"),
    });
    let members = [entry("s-1", one.address, "active", 0)];
    let mut proxy = Proxy::start("sigterm", &discovery, &members);
    let (mut idle, mut before) = (proxy.client(), proxy.client());
    assert_eq!(idle.ask(UP).status(), 200);
    before.send(&request("read", "1", ""));
    one.next();
    proxy.terminate();
    // Once /up says so, the signal has arrived; connections are still accepted.
    while proxy.client().ask(UP).status() == 200 {}
    let late = proxy.client().ask(UP);
    assert_eq!(late.header("connection"), Some("close"));
    assert!(idle.ends_cleanly(), "an idle connection is closed, not reset");
    release.send(()).expect("the backend waits");
    let got = before.receive();
    assert_eq!((got.status(), got.body.as_slice()), (200, b"taken before".as_slice()));
    assert_eq!(got.header("connection"), Some("close"));
    assert!(before.ends_cleanly());
    drop((idle, before));
    assert_eq!(proxy.wait().code(), Some(0));
}

/// SIGHUP ended the program: nothing handled it.
#[test]
fn at_sighup_it_follows_discovery_to_where_the_configuration_says_and_serves_on() {
    for mode in ["pushed", "on_request"] {
        let (old, new) = (Discovery::start(), Discovery::start());
        let (first, second) = (Backend::start(|_| ok("first")), Backend::start(|_| ok("second")));
        let name = format!("sighup-{mode}");
        let mut config = config(&name, &old);
        config["settings"]["membershipMode"] = mode.into();
        let mut proxy = Proxy::start_with(&name, config.clone());
        old.post(true, &[entry("s-1", first.address, "active", 0)]);
        let mut client = proxy.client();
        assert_eq!(client.ask(&request("read", "1", "")).body, b"first");
        // A file that can't be read changes nothing.
        write_config(&name, "{");
        proxy.hang_up();
        old.post(true, &[entry("s-1", first.address, "active", 0)]);
        assert_eq!(client.ask(&request("read", "2", "")).body, b"first", "{mode}");
        config["discovery"] = new.address.to_string().into();
        write_config(&name, &config.to_string());
        proxy.hang_up();
        // Versions at the new address need not follow on from those of the old one.
        new.post(true, &[entry("s-2", second.address, "active", 0)]);
        assert_eq!(client.ask(&request("read", "3", "")).body, b"second", "{mode}");
        assert!(proxy.child.try_wait().expect("its state").is_none(), "it still runs");
    }
}

#[test]
fn a_restarted_proxy_takes_its_old_address_while_connections_of_the_old_one_linger() {
    let discovery = Discovery::start();
    // An address of its own: no other test can be given the port in between.
    let mut first = config("first-life", &discovery);
    first["listen"] = "127.77.0.1:0".into();
    let mut proxy = Proxy::start_with("first-life", first);
    let address = proxy.address;
    let mut client = proxy.client();
    assert_eq!(client.ask(UP).status(), 503);
    proxy.terminate();
    // The proxy closes first, so the kernel keeps its side of the connection for a while.
    assert!(client.ends_cleanly());
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let mut config = config("second-life", &discovery);
    config["listen"] = address.to_string().into();
    let again = Proxy::start_with("second-life", config);
    assert_eq!(again.address, address);
    assert_eq!(again.client().ask(UP).status(), 503);
}

#[test]
fn a_bad_configuration_ends_the_start_with_one_clear_line() {
    let bad_address = r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#;
    for (name, config, word) in [
        ("no-json", "{", "malformed configuration"),
        ("no-settings", "{}", "settings"),
        ("bad-address", bad_address, "listen"),
    ] {
        let mut child = launch(name, config);
        let mut text = String::new();
        child.stderr.take().expect("standard error").read_to_string(&mut text).expect("text");
        assert_eq!(child.wait().expect("it ends").code(), Some(1));
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(word), "{text}");
    }
}

fn with_admin(name: &str, discovery: &Discovery) -> serde_json::Value {
    let mut config = config(name, discovery);
    config["admin_addr"] = "127.0.0.1:0".into();
    config
}

#[test]
fn operators_calls_are_answered_beside_callers_that_hold_connections_without_one() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start_with("calls", with_admin("calls", &discovery));
    assert!(proxy.call("status").starts_with("400 "), "it holds no list yet");
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let holders = (0..40).map(|i| {
        let mut holder = std::net::TcpStream::connect(proxy.admin.expect("a place")).expect("it accepts");
        holder.write_all(if i % 2 == 0 { "" } else { "stat" }.as_bytes()).expect("it reads");
        holder
    });
    let holders: Vec<_> = holders.collect();
    let asked = std::time::Instant::now();
    assert!(proxy.call("status").starts_with("200 "));
    assert!(asked.elapsed() < std::time::Duration::from_secs(1), "it waited for the others");
    for odd in ["", "dance", "status s-1", "status x y", "standby now", "\u{1}", &"status ".repeat(100)] {
        let answer = proxy.call(odd);
        assert!(answer.starts_with("400 ") && answer.trim().len() > 4, "{odd:?} got {answer:?}");
    }
    assert_eq!(proxy.client().ask(UP).status(), 200);
    drop(holders);
}

/// retune+drain: a drained proxy went on saying yes, and clients came and stayed.
#[test]
fn on_standby_clients_are_sent_away_and_afterwards_they_may_stay() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    let backend = Backend::start(move |seen| match seen.header("x-correlation-id") {
        Some("1") => Reply::After(word.take().expect("asked once"), Box::new(ok("taken before"))),
        _ => ok("fine"),
    });
    let proxy = Proxy::start_with("standby", with_admin("standby", &discovery));
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let (mut idle, mut busy, mut next) = (proxy.client(), proxy.client(), proxy.client());
    assert_eq!(idle.ask(UP).status(), 200);
    assert_eq!(next.ask(&request("read", "0", "")).header("connection"), None);
    backend.next();
    busy.send(&request("read", "1", ""));
    backend.next();
    for _ in 0..2 {
        assert!(proxy.call("standby").starts_with("200 "));
        assert_eq!(proxy.client().ask(UP).status(), 503);
    }
    assert!(proxy.call("status").starts_with("400 "), "it takes no clients");
    let last = next.ask(&request("read", "2", ""));
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(next.ends_cleanly() && idle.ends_cleanly(), "closed, not reset");
    release.send(()).expect("the backend waits");
    let got = busy.receive();
    assert_eq!((got.body.as_slice(), got.header("connection")), (b"taken before".as_slice(), Some("close")));
    for _ in 0..2 {
        assert!(proxy.call("active").starts_with("200 "));
        assert!(proxy.call("status").starts_with("200 "));
        let mut back = proxy.client();
        assert_eq!(back.ask(UP).status(), 200);
        assert_eq!(back.ask(&request("read", "3", "")).header("connection"), None);
        assert_eq!(back.ask(&request("read", "4", "")).status(), 200, "the connection stays");
    }
}

#[test]
fn a_backend_taken_out_gets_nothing_from_either_process_until_it_is_given_back() {
    let discovery = Discovery::start();
    let (one, two) = (Backend::start(|_| ok("one")), Backend::start(|_| ok("two")));
    let gone = entry("s-gone", one.address, "left", 0);
    let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0), gone];
    let start = || {
        let proxy = Proxy::start_with("maint", with_admin("maint", &discovery));
        discovery.post(true, &members);
        proxy
    };
    let asks = |proxy: &Proxy, times: usize| {
        let bodies = (0..times).map(|i| proxy.client().ask(&request("read", &i.to_string(), "")).body);
        bodies.collect::<Vec<_>>()
    };
    let mut first = start();
    for odd in ["maint-on", "maint-off", "maint-on s-3", "maint-off s-3", "maint-on s-1 s-2"] {
        assert!(first.call(odd).starts_with("400 "), "{odd}");
    }
    assert!(first.call("maint-on s-gone").starts_with("200 "), "it was listed once");
    for _ in 0..2 {
        assert!(first.call("maint-on s-1").starts_with("200 "));
    }
    assert!(asks(&first, 6).iter().all(|body| body == b"two"));
    discovery.post(true, &members);
    discovery.post(false, &[entry("s-1", one.address, "active", 5_000)]);
    assert!(asks(&first, 6).iter().all(|body| body == b"two"), "whatever the list says");
    // A process that comes after a kill, and one beside it.
    first.child.kill().expect("it runs");
    first.wait();
    let (second, third) = (start(), start());
    for proxy in [&second, &third] {
        assert!(asks(proxy, 6).iter().all(|body| body == b"two"), "a new process knows of it");
    }
    // A call at one of them holds at the other soon, well within the grace for a drain.
    assert!(second.call("maint-on s-2").starts_with("200 "));
    let short = request("read", "last", "").replace("15000", "300");
    let refused = second.client().ask(&short);
    assert_eq!(refused.status(), 503, "none is left");
    assert!(refused.header("retry-after").is_some());
    let told = std::time::Instant::now();
    while third.client().ask(&short).status() != 503 {
        assert!(told.elapsed() < PATIENCE, "the other process never hears of it");
    }
    assert!(third.call("maint-off s-1").starts_with("200 "), "a single call ends it");
    assert_eq!(asks(&third, 1), [b"one"]);
    while second.client().ask(&short).status() != 200 {
        assert!(told.elapsed() < PATIENCE, "the other process never hears of it");
    }
    assert!(asks(&second, 3).iter().all(|body| body == b"one"), "the other ban stands");
}

#[test]
fn bans_are_read_beside_foreign_files_and_stored_where_something_is_in_the_way() {
    let folder = private_dir("bans");
    let bans = Bans::within(&folder);
    assert!(bans.read().is_none(), "nothing stored: nothing to go by");
    std::fs::write(folder.join("haventrack-bans"), "in the way").expect("a file");
    bans.store("s/1 ").expect("stored");
    for name in ["README", "7z", "7", "ff", "+1"] {
        std::fs::write(folder.join("haventrack-bans").join(name), "foreign").expect("a file");
    }
    bans.store("s-2").expect("stored");
    let ids = |ids: &[&str]| Some(ids.iter().map(|id| (*id).to_owned()).collect());
    assert_eq!(bans.read(), ids(&["s-2", "s/1 "]));
    for _ in 0..2 {
        bans.remove("s-2").expect("removed");
    }
    assert_eq!(bans.read(), ids(&["s/1 "]));
    for odd in ["", &"x".repeat(200)] {
        assert!(bans.store(odd).is_err(), "{odd}");
    }
}

/// Starts a second process beside one that serves, at the same address, as an upgrade does.
fn beside(running: &Proxy, name: &str, discovery: &Discovery, members: &[serde_json::Value]) -> Proxy {
    let mut config = with_admin(name, discovery);
    config["listen"] = running.address.to_string().into();
    let next = Proxy::start_with(name, config);
    discovery.post(true, members);
    while !next.call("status").starts_with("200 ") {}
    next
}

/// upgrade+hand: the new process could not listen where the old one did, and ended.
#[test]
fn a_process_is_replaced_without_a_connection_left_behind() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let gone = entry("s-gone", backend.address, "left", 0);
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut old = Proxy::start_with("replaced", with_admin("replaced", &discovery));
    discovery.post(true, &[members[0].clone(), gone]);
    let mut kept = old.client();
    assert_eq!(kept.ask(&request("read", "kept", "")).status(), 200);
    let mut next = beside(&old, "replaced", &discovery, &members);
    assert!(next.call("maint-on s-gone").starts_with("200 "), "it knows what was listed before its start");
    for round in 0..3 {
        old.terminate();
        let mut asked = 0;
        while old.child.try_wait().expect("its state").is_none() || asked < 100 {
            let got = old.client().ask(&request("read", &format!("{round}-{asked}"), ""));
            assert_eq!(got.status(), 200);
            assert_eq!(old.client().ask(UP).status(), 200, "to the front it is one proxy, and it is up");
            asked += 1;
        }
        assert_eq!(old.wait().code(), Some(0));
        let newest = beside(&next, "replaced", &discovery, &members);
        old = std::mem::replace(&mut next, newest);
    }
    assert!(kept.ends_cleanly(), "an idle connection of the old process is closed, not reset");
}

#[test]
fn a_process_that_hangs_or_was_killed_keeps_no_new_one_from_serving() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut old = Proxy::start_with("hung", with_admin("hung", &discovery));
    discovery.post(true, &members);
    // A new one that is killed leaves the old one serving, and the next one finds it.
    let mut killed = beside(&old, "hung", &discovery, &members);
    killed.child.kill().expect("it runs");
    killed.wait();
    for _ in 0..20 {
        assert_eq!(old.client().ask(&request("read", "1", "")).status(), 200);
    }
    let mut taken = beside(&old, "hung", &discovery, &members);
    taken.child.kill().expect("it runs");
    taken.wait();
    old.signal("-STOP");
    let next = beside(&old, "hung", &discovery, &members);
    old.child.kill().expect("it is there");
    old.wait();
    for _ in 0..20 {
        assert_eq!(next.client().ask(&request("read", "2", "")).status(), 200);
    }
}

#[test]
fn stale_and_foreign_files_in_the_shared_folder_keep_no_process_from_serving() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let socket = private_dir("stale").join("haventrack-handover");
    let liar = private_dir("stale").join("liar");
    let lay: [&dyn Fn(); 4] = [
        &|| std::fs::write(&socket, "damaged").expect("a file"),
        &|| drop(std::os::unix::net::UnixListener::bind(&socket).expect("a socket that nobody serves")),
        &|| {
            // Somebody else's socket, with an answer that makes no sense.
            let listener = std::os::unix::net::UnixListener::bind(&liar).expect("a socket");
            std::fs::rename(&liar, &socket).expect("it takes the name");
            std::thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("the new process");
                peer.write_all(b"nonsense\n").expect("it reads");
            });
        },
        &|| std::fs::create_dir(&socket).expect("a folder"),
    ];
    for lay in lay {
        lay();
        let proxy = Proxy::start_with("stale", with_admin("stale", &discovery));
        discovery.post(true, &members);
        assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
        drop(proxy);
        let _ = std::fs::remove_file(&socket);
    }
}

#[test]
fn two_processes_share_the_descriptors_of_one() {
    for sockets in [96, 256, 384, 1_024] {
        let all = Held { clients: sockets / 3, backends: sockets - 24 - sockets / 3 };
        for (own, other) in [(0, 0), (all.clients / 2, 0), (all.clients * 3 / 4, 0), (10, 6)] {
            let held = |clients| Held { clients, backends: 0 };
            let one = held(own).part_of(all, held(other), 2);
            let two = held(other).part_of(all, held(own), 2);
            assert!(one.clients + two.clients <= all.clients, "{one:?} and {two:?} of {all:?}");
            assert!(
                one.clients >= own && one.clients > 0 && two.clients > 0,
                "{one:?} and {two:?} of {all:?}"
            );
            let used = 2 * 24 + one.clients + two.clients + one.backends + two.backends;
            assert!(used <= sockets, "{used} of {sockets}");
        }
    }
    let discovery = Discovery::start();
    let with_sockets = |listen: &str| {
        let mut config = with_admin("shared", &discovery);
        config["limits"]["sockets"] = 96.into();
        config["listen"] = listen.into();
        Proxy::start_with("shared", config)
    };
    let old = with_sockets("127.0.0.1:0");
    let early: Vec<_> = (0..24).map(|_| old.client()).collect();
    let new = with_sockets(&old.address.to_string());
    let late: Vec<_> = (0..40).map(|_| old.client()).collect();
    let held = |proxy: &Proxy| {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors");
        fds.count()
    };
    // Callers show that both have had their turn since.
    for proxy in [&old, &new, &old, &new] {
        proxy.call("status");
    }
    assert!(held(&old) + held(&new) <= 96, "{} and {}", held(&old), held(&new));
    drop((early, late));
}

/// The configuration with these classes, each named with its effect.
fn with_classes(config: &serde_json::Value, classes: &[(&str, &str)]) -> serde_json::Value {
    let mut config = config.clone();
    let mut class = config["settings"]["classes"][0].clone();
    let listed = classes.iter().map(|&(name, effect)| {
        class["name"] = name.into();
        class["effect"] = effect.into();
        class.clone()
    });
    config["settings"]["classes"] = listed.collect();
    config
}

/// Replaces the configuration, has it read, and waits for `took` to say that it is in force.
fn retune(proxy: &Proxy, name: &str, config: &serde_json::Value, took: impl Fn() -> bool) {
    write_config(name, &config.to_string());
    proxy.hang_up();
    let began = std::time::Instant::now();
    while !took() {
        assert!(began.elapsed() < PATIENCE, "the new configuration is never in force");
    }
}

/// retune: classes of a new configuration were unknown until the next start.
#[test]
fn at_sighup_classes_come_and_go_and_requests_under_way_keep_theirs() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut word = Some(word);
    // What is held up is broken off then: only a class that is safe to repeat is sent again.
    let backend = Backend::start(move |seen| match seen.header("x-correlation-id") {
        Some("held") => match word.take() {
            Some(word) => Reply::After(word, Box::new(Reply::WriteAndClose(Vec::new()))),
            None => ok("again"),
        },
        _ => ok("fine"),
    });
    let other = Backend::start(|_| ok("again"));
    let first = config("classes", &discovery);
    let proxy = Proxy::start_with("classes", first.clone());
    let one = entry("s-1", backend.address, "active", 0);
    discovery.post(true, std::slice::from_ref(&one));
    let ask = |class: &str, id: &str| proxy.client().ask(&request(class, id, "")).status();
    assert_eq!((ask("read", "1"), ask("late", "2")), (200, 400));
    let mut held = proxy.client();
    held.send(&request("read", "held", ""));
    while backend.next().header("x-correlation-id") != Some("held") {}
    discovery.post(true, &[one, entry("s-2", other.address, "active", 0)]);
    // `read` comes back as one that must not run twice, at another position; `submit` is gone.
    let stricter = with_classes(&first, &[("late", "fragile"), ("read", "fragile")]);
    let post = |class: &str, id: &str| {
        let text = request(class, id, "").replace("GET", "POST");
        proxy.client().ask(&text).status()
    };
    retune(&proxy, "classes", &stricter, || post("late", "3") == 200);
    assert_eq!((ask("read", "4"), post("read", "5"), ask("submit", "6")), (405, 200, 400));
    release.send(()).expect("the backend waits");
    let got = held.receive();
    assert_eq!((got.status(), got.body.as_slice()), (200, b"again".as_slice()), "it was safe when it came");
    retune(&proxy, "classes", &first, || ask("read", "7") == 200);
    assert_eq!((ask("submit", "8"), post("late", "9")), (200, 400));
}

#[test]
fn at_sighup_fewer_attempts_are_in_force() {
    let discovery = Discovery::start();
    let turn_away = |_: &Seen| Reply::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""));
    let backends = [0; 3].map(|_| Backend::start(turn_away));
    let members: Vec<_> =
        (1..).zip(&backends).map(|(i, b)| entry(&format!("s-{i}"), b.address, "active", 0)).collect();
    let mut config = config("attempts", &discovery);
    let proxy = Proxy::start_with("attempts", config.clone());
    discovery.post(true, &members);
    let attempts = |id: &str| {
        let short = request("read", id, "").replace("15000", "5000");
        assert_eq!(proxy.client().ask(&short).status(), 503);
        backends.iter().map(Backend::rest).sum::<usize>()
    };
    assert_eq!(attempts("1"), 3);
    config["settings"]["permissions"]["maxAttempts"] = 1.into();
    // They are left alone for a while after they have turned a request away.
    retune(&proxy, "attempts", &config, || attempts("2") == 1);
}

#[test]
fn a_broken_configuration_changes_nothing_at_all() {
    let discovery = Discovery::start();
    let nowhere = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let first = config("broken-file", &discovery);
    let mut proxy = Proxy::start_with("broken-file", first.clone());
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    // Whatever is wrong comes beside changes that make sense.
    let mut good = with_classes(&first, &[("late", "fragile"), ("read", "retryable"), ("submit", "dedup")]);
    good["discovery"] = nowhere.address.to_string().into();
    let text = good.to_string();
    let mut files =
        vec![String::new(), " ".into(), "null".into(), "[]".into(), "{}".into(), "no json".into()];
    files.extend([1, 2, 3].map(|quarter| text[..text.len() * quarter / 4].to_owned()));
    let mut broken = |path: &str, value: Option<serde_json::Value>| {
        let mut file = good.clone();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        let parent = file.pointer_mut(parent).expect("an object").as_object_mut().expect("an object");
        match value {
            Some(value) => _ = parent.insert(key.to_owned(), value),
            None => assert!(parent.remove(key).is_some(), "{path}"),
        }
        files.push(file.to_string());
    };
    for path in [
        "/discovery",
        "/listen",
        "/limits",
        "/settings",
        "/settings/classes",
        "/settings/permissions",
        "/settings/safety",
        "/settings/permissions/maxAttempts",
        "/settings/safety/coldUs",
        "/settings/permissions/secondCopies",
        "/settings/classes/0/name",
        "/settings/classes/1/deadlineUs",
        "/settings/classes/2/group",
        "/settings/classes/2/keyTtlUs",
        "/settings/classes/0/lateWorth",
    ] {
        broken(path, None);
    }
    for path in ["/settings/classes/1/deadlineUs", "/settings/permissions/maxAttempts"] {
        for value in
            [0.into(), (-5).into(), 0.5.into(), "5".into(), serde_json::Value::Null, true.into(), 1e30.into()]
        {
            broken(path, Some(value));
        }
    }
    broken("/settings/classes", Some(serde_json::json!([])));
    broken("/settings/classes/0/name", Some("read".into()));
    broken("/discovery", Some("nowhere".into()));
    for file in &files {
        write_config("broken-file", file);
        proxy.hang_up();
        let told = proxy.next_line("SIGHUP");
        let reason =
            told.split_once("SIGHUP changes nothing: ").unwrap_or_else(|| panic!("{told:?} of {file}")).1;
        assert!(!reason.trim().is_empty(), "{file}");
    }
    assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
    assert_eq!(proxy.client().ask(&request("late", "2", "")).status(), 400);
    assert!(proxy.child.try_wait().expect("its state").is_none());
    // And the file that all of them were made of is taken.
    write_config("broken-file", &text);
    proxy.hang_up();
    assert!(proxy.next_line("SIGHUP").contains("in force"));
    assert_eq!(proxy.client().ask(&request("late", "3", "").replace("GET", "POST")).status(), 200);
}

/// retune: after a SIGHUP that left discovery where it was, its news never came again: the call under way was cut
/// short, and none took its place.
#[test]
fn at_sighup_the_watch_goes_on_where_discovery_stays() {
    for mode in ["pushed", "on_request"] {
        let discovery = Discovery::start();
        let (first, second) = (Backend::start(|_| ok("first")), Backend::start(|_| ok("second")));
        let name = format!("stays-{mode}");
        let mut config = config(&name, &discovery);
        config["settings"]["membershipMode"] = mode.into();
        // The first call of all is still under way.
        let members = [entry("s-1", first.address, "active", 0)];
        config["known"] = serde_json::json!({"revision": 41, "complete": true, "members": members});
        let mut proxy = Proxy::start_with(&name, config.clone());
        assert_eq!(discovery.next_call(), Some(41), "{mode}");
        // Once as it is, and once with other names for what is listed.
        for kinds in [serde_json::json!(["m"]), serde_json::json!(["m", "n"])] {
            config["settings"]["kinds"] = kinds;
            write_config(&name, &config.to_string());
            proxy.hang_up();
            assert!(proxy.next_line("SIGHUP").contains("in force"));
        }
        assert_eq!(proxy.client().ask(&request("read", "1", "")).body, b"first", "{mode}");
        discovery.post(true, &[entry("s-2", second.address, "active", 0)]);
        assert_eq!(proxy.client().ask(&request("read", "2", "")).body, b"second", "{mode}");
    }
}

/// A backend that does with each connection as it likes.
fn raw_backend(serve: impl Fn(std::net::TcpStream) + Send + Sync + 'static) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = std::sync::Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), serve) = (stream, std::sync::Arc::clone(&serve)) else { return };
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|i| (i / 251 + i % 251) as u8).collect()
}

/// The most memory that a process has held, in KiB.
fn peak_memory(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("its state");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// bulk+slow+pieces: answers over 64 KiB were the backend's errors and bodies over 64 KiB were refused.
#[test]
fn large_bodies_pass_through_in_bounded_memory() {
    const SIZE: usize = 8 << 20;
    const AT_ONCE: usize = 12;
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| Reply::Write(answer("200 OK", "", &seen.body)));
    let mut config = config("large", &discovery);
    config["limits"]["memory_mb"] = 32.into();
    let proxy = Proxy::start_with("large", config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    // One after another its connections are used again.
    let body = pattern(SIZE);
    let text = String::from_utf8(body.iter().map(|b| b % 128).collect()).expect("text");
    let mut client = proxy.client();
    for id in ["1", "2"] {
        let got = client.ask(&request("submit", id, &text));
        assert_eq!(got.status(), 200);
        assert!(got.body == text.as_bytes(), "the body comes back unchanged");
    }
    assert_eq!(backend.next().connection, backend.next().connection);
    // Twelve at once, none read until all have begun: together three times the memory limit.
    let begun = raw_backend(move |mut stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
        while read_message(&mut reader).is_some() {
            let _ = stream.write_all(&answer("200 OK", "", &pattern(SIZE)));
        }
    });
    discovery.post(true, &[entry("s-2", begun, "active", 0)]);
    let mut clients: Vec<_> = Vec::new();
    for i in 0..AT_ONCE {
        let mut client = proxy.client();
        client.send(&request("read", &format!("r-{i}"), ""));
        // Its first bytes come although nobody has read the others' answers.
        let mut first = [0; 12];
        client.reader.read_exact(&mut first).expect("the answer begins");
        assert_eq!(&first, b"HTTP/1.1 200");
        clients.push(client);
    }
    for client in &mut clients {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(client.reader.read_line(&mut head).expect("the head"), 0);
        }
        let mut got = vec![0; SIZE];
        client.reader.read_exact(&mut got).expect("the whole answer");
        assert!(got == body, "the answer comes unchanged");
    }
    let peak = peak_memory(&proxy);
    assert!(peak < 32 << 10, "it took {peak} KiB");
}

#[test]
fn an_answer_that_breaks_off_in_the_middle_leaves_the_client_able_to_tell() {
    let half = pattern(1 << 20);
    let heads = ["Content-Length: 2097152\r\n", "Transfer-Encoding: chunked\r\n"];
    for (i, framing) in heads.into_iter().enumerate() {
        let discovery = Discovery::start();
        let half = half.clone();
        let address = raw_backend(move |mut stream| {
            let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
            let _ = read_message(&mut reader);
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
            if i == 1 {
                let _ = stream.write_all(format!("{:x};ext=1\r\n", half.len()).as_bytes());
            }
            let _ = stream.write_all(&half);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
        let name = format!("breaks-off-{i}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", address, "active", 0)]);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        let mut got = Vec::new();
        let _ = client.reader.read_to_end(&mut got);
        let head = got.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        let head_text = String::from_utf8_lossy(&got[..head]).to_lowercase();
        assert!(head_text.starts_with("http/1.1 200"), "{head_text}");
        let whole = if i == 0 { got.len() - head >= 2 << 20 } else { got.ends_with(b"0\r\n\r\n") };
        assert!(!whole, "half an answer looks whole: {head_text}");
        assert_eq!(proxy.client().ask(UP).status(), 200);
    }
}

/// bulk+slow+pieces: 567 requests were cut off because their heads or bodies came slowly.
#[test]
fn a_client_on_a_slow_line_is_served_and_makes_no_server_look_slow() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(&seen.body.len().to_string()));
    let proxy = Proxy::start("slow-line", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let pause = |ms| std::thread::sleep(std::time::Duration::from_millis(ms));
    let body = "z".repeat(192 * 1024);
    // The time that the client gives counts from the last byte.
    let text = request("submit", "1", &body).replace("15000", "1000");
    let (head, body) = text.split_at(text.len() - body.len());
    let mut client = proxy.client();
    assert_eq!(client.ask(UP).status(), 200);
    pause(1_000);
    for piece in head.as_bytes().chunks(head.len().div_ceil(10)) {
        client.stream.write_all(piece).expect("the proxy reads");
        pause(150);
    }
    for piece in body.as_bytes().chunks(32 * 1024) {
        client.stream.write_all(piece).expect("the proxy reads");
        pause(500);
    }
    let got = client.receive();
    assert_eq!((got.status(), got.body.as_slice()), (200, (192 * 1024).to_string().as_bytes()));
    // A small body that comes slowly has its whole time as well.
    let text = request("submit", "2", "0123456789").replace("15000", "1000");
    for piece in text.as_bytes().chunks(text.len().div_ceil(8)) {
        client.stream.write_all(piece).expect("the proxy reads");
        pause(200);
    }
    assert_eq!(client.receive().body, b"10");
}

#[test]
fn all_forms_of_the_protocol_are_understood() {
    let discovery = Discovery::start();
    let (told, seen) = channel();
    let told = std::sync::Mutex::new(told);
    let address = raw_backend(move |mut stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(request) = read_message(&mut reader) {
            let answer = match request.header("x-correlation-id").expect("an id") {
                "interim" => {
                    "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                }
                "chunks" => {
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\no\r\n1\r\nk\r\n0\r\nX-Sum: 1\r\n\r\n"
                }
                "to-the-end" => "HTTP/1.1 200 OK\r\n\r\nok",
                _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            let is_last = request.header("x-correlation-id") == Some("to-the-end");
            told.lock().expect("a word").send(request).expect("the test listens");
            // A byte at a time: cut anywhere.
            for byte in answer.as_bytes() {
                let _ = stream.write_all(&[*byte]);
            }
            if is_last {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    });
    let proxy = Proxy::start("forms", &discovery, &[entry("s-1", address, "active", 0)]);
    let mut client = proxy.client();
    for id in ["interim", "chunks", "to-the-end", "plain"] {
        let got = client.ask(&request("read", id, ""));
        assert_eq!((got.status(), got.body.as_slice()), (200, b"ok".as_slice()), "{id}");
        seen.recv_timeout(PATIENCE).expect("the backend sees it");
    }
    // Two in one piece, answered in their order.
    client.send(&(request("read", "p-1", "") + &request("read", "p-2", "")));
    assert_eq!((client.receive().status(), client.receive().status()), (200, 200));
    let ids = [0; 2].map(|_| seen.recv_timeout(PATIENCE).expect("seen"));
    assert_eq!(
        ids.map(|s| s.header("x-correlation-id").map(str::to_owned)),
        ["p-1", "p-2"].map(|i| Some(i.into()))
    );
    // The host in the first line, a body in chunks with extensions and trailers, and leave asked for it.
    let text = request("submit", "asked", "").replace("Content-Length: 0\r\n\r\n", "");
    let text = text.replace("POST /submit", "POST http://app.svc/submit");
    client
        .send(&format!("{text}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\nExpect: 100-continue\r\n\r\n"));
    assert_eq!(client.receive().status(), 100);
    client.send("3;a=\"b\"\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 5\r\n\r\n");
    assert_eq!(client.receive().status(), 200);
    let got = seen.recv_timeout(PATIENCE).expect("seen");
    assert_eq!(
        (got.first_line(), got.body.as_slice()),
        ("POST /submit?key=7f3a HTTP/1.1", b"abcde".as_slice())
    );
}

/// The snapshot files in a proxy's `state_dir`, oldest first.
fn snapshots(folder: &std::path::Path) -> Vec<std::path::PathBuf> {
    let mut found: Vec<_> = std::fs::read_dir(folder).map_or_else(
        |_| Vec::new(),
        |entries| {
            entries
                .map(|e| e.expect("an entry").path())
                .filter(|p| p.extension().is_some_and(|x| x == "snap"))
                .collect()
        },
    );
    found.sort();
    found
}

fn threads(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/task", proxy.child.id())).expect("it runs").count()
}

#[test]
fn a_killed_proxy_goes_on_from_its_snapshot_and_passes_over_a_damaged_one() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let members = [entry("s-1", backend.address, "active", 0)];
    let state = private_dir("kept").join("state");
    let mut config = config("kept", &discovery);
    config["state_dir"] = serde_json::json!(state);
    let mut first = Proxy::start_with("kept", config.clone());
    assert!(first.next_line("state:").contains("cold start"), "nothing was kept before the first start");
    discovery.post(true, &members);
    for id in 0..20 {
        assert_eq!(first.client().ask(&request("read", &id.to_string(), "")).status(), 200);
    }
    let since = std::time::Instant::now();
    while snapshots(&state).len() < 2 {
        assert!(since.elapsed() < std::time::Duration::from_secs(20), "two snapshots within 20 s");
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    assert!(threads(&first) > 1, "the thread that serves writes nothing itself");
    first.child.kill().expect("it runs");
    first.wait();
    // A power loss that damaged the newest: the one before it is taken, and the log says why.
    let newest = snapshots(&state).pop().expect("a snapshot");
    let mut bytes = std::fs::read(&newest).expect("it reads");
    *bytes.last_mut().expect("a payload") ^= 1;
    std::fs::write(&newest, bytes).expect("it writes");
    let mut second = Proxy::start_with("kept", config.clone());
    let passed = second.next_line("state:");
    assert!(passed.contains("passed over") && passed.contains("checksum"), "{passed}");
    let restored = second.next_line("state:");
    assert!(restored.contains("restored generation") && restored.contains("1 backends named"), "{restored}");
    discovery.post(true, &members);
    assert_eq!(second.client().ask(&request("read", "after", "")).status(), 200);
    second.terminate();
    assert_eq!(second.wait().code(), Some(0));
    assert!(!snapshots(&state).is_empty(), "SIGTERM stores what was learnt");
}
