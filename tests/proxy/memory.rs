//! Hundreds of clients at once, with the least memory and the most descriptors that the platform gives.

use crate::memory_watch::{MEMORY_MB, own_memory, watching_memory};
use crate::rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: usize = 1_024;
/// Nearly a third of the descriptors: the most that clients may hold (TERMS).
const CLIENTS: usize = 330;
const BACKENDS: usize = 20;
/// Fields of a head that is just taken, and the length of their values in bytes.
const FIELDS: usize = 88;
const VALUE: usize = 330;
/// A long answer, in bytes.
const LONG: usize = 400_000;
/// How long a backend leaves a request with a large head without an answer.
const SLOW_ANSWER: Duration = Duration::from_millis(300);
/// How long clients that read slowly do so.
const SLOW_READ: Duration = Duration::from_secs(5);

struct Site {
    proxy: Proxy,
    _discovery: Discovery,
    _backends: Vec<Backend>,
}

fn start(name: &str, script: impl Fn(&Seen) -> Reply + Send + Clone + 'static) -> Site {
    let discovery = Discovery::start();
    let mut config = config(name, &discovery);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    config["limits"]["sockets"] = SOCKETS.into();
    let proxy = Proxy::start_with(name, config);
    let backends: Vec<_> = (0..BACKENDS).map(|_| Backend::start(script.clone())).collect();
    let members: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(n, backend)| entry(&format!("s-{n}"), backend.address, "active", 0))
        .collect();
    discovery.post(true, &members);
    Site { proxy, _discovery: discovery, _backends: backends }
}

/// Answers later, without holding up the backend's other connections.
fn later(reply: Reply) -> Reply {
    let (release, word) = channel();
    thread::spawn(move || {
        thread::sleep(SLOW_ANSWER);
        let _ = release.send(());
    });
    Reply::After(word, Box::new(reply))
}

fn many_fields() -> String {
    (0..FIELDS).map(|n| format!("a{n}: {}\r\n", "v".repeat(VALUE))).collect()
}

/// Clients that each do this at the same time; the proxy has to stay within its memory and to serve afterwards.
fn at_once(site: &Site, what: &str, act: impl Fn(usize, &Proxy) + Sync) {
    let ((), most) = watching_memory(&site.proxy, || {
        thread::scope(|scope| {
            (0..CLIENTS).for_each(|n| {
                _ = scope.spawn({
                    let (act, proxy) = (&act, &site.proxy);
                    move || act(n, proxy)
                })
            });
        });
    });
    println!("{what}: {most} KiB");
    assert!(most < MEMORY_MB << 10, "{what}: the proxy took {most} KiB of {MEMORY_MB} MB");
    let since = Instant::now();
    while site.proxy.client().ask(&request("read", "after", "")).status() != 200 {
        assert!(since.elapsed() < PATIENCE, "{what}: the proxy serves again");
        thread::sleep(Duration::from_millis(50));
    }
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a time-out");
    stream.set_write_timeout(Some(Duration::from_secs(6))).expect("a time-out");
    stream
}

/// Sends this and reads whatever comes until the connection ends or is silent.
fn send_and_read(proxy: &Proxy, text: &[u8]) {
    let mut stream = connect(proxy);
    if stream.write_all(text).is_ok() {
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer);
    }
}

#[test]
fn hundreds_of_requests_with_large_heads_stay_within_memory() {
    let site = start("memory-heads", |_| later(ok("served")));
    let fields = many_fields();
    at_once(&site, "large heads", |n, proxy| {
        for turn in 0..4 {
            let head = request("read", &format!("head-{n}-{turn}"), "");
            let (line, rest) = head.split_once("\r\n").expect("a first line");
            send_and_read(proxy, format!("{line}\r\n{fields}{rest}").as_bytes());
        }
    });
}

#[test]
fn hundreds_of_heads_that_come_slowly_stay_within_memory() {
    let site = start("memory-slow-heads", |_| ok("served"));
    at_once(&site, "slow heads", |_, proxy| {
        let mut stream = connect(proxy);
        let _ = stream.write_all(b"GET /read HTTP/1.1\r\n");
        for n in 0..FIELDS {
            if stream.write_all(format!("a{n}: {}\r\n", "v".repeat(VALUE)).as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

#[test]
fn hundreds_of_heads_of_very_many_short_fields_stay_within_memory() {
    let site = start("memory-short-fields", |_| later(ok("served")));
    at_once(&site, "short fields", |n, proxy| {
        let head = request("read", &format!("short-{n}"), "");
        let (line, rest) = head.split_once("\r\n").expect("a first line");
        send_and_read(proxy, format!("{line}\r\n{}{rest}", "a:\r\n".repeat(FIELDS)).as_bytes());
        send_and_read(proxy, format!("{line}\r\n{}{rest}", "a:\r\n".repeat(7_500)).as_bytes());
    });
}

#[test]
fn hundreds_of_large_requests_that_stop_half_way_stay_within_memory() {
    let site = start("memory-half", |_| ok("served"));
    at_once(&site, "half a request in chunks", |n, proxy| {
        let head = request("charge", &format!("half-{n}"), "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let chunk = format!("1000\r\n{}\r\n", "c".repeat(4_096));
        send_and_read(proxy, (head + &chunk.repeat(50)).as_bytes());
    });
    at_once(&site, "half a request of a known length", |n, proxy| {
        let text = request("charge", &format!("known-{n}"), &"k".repeat(LONG));
        send_and_read(proxy, &text.as_bytes()[..LONG / 2]);
    });
}

/// Asks for a long answer and reads 10 kB of it a second.
fn read_slowly(proxy: &Proxy, id: &str) {
    let mut stream = connect(proxy);
    // The window is small as well: the proxy can't leave the answer to the kernel.
    let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(4_096);
    let _ = stream.write_all(request("read", id, "").as_bytes());
    let (since, mut buffer) = (Instant::now(), [0; 2_000]);
    while since.elapsed() < SLOW_READ && matches!(stream.read(&mut buffer), Ok(1..)) {
        thread::sleep(Duration::from_millis(200));
    }
}

fn chunked_answer(bytes: usize) -> Vec<u8> {
    const CHUNK: usize = 8_000;
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", "a".repeat(CHUNK));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{}0\r\n\r\n", chunk.repeat(bytes / CHUNK)).into_bytes()
}

#[test]
fn hundreds_of_long_answers_that_are_read_slowly_stay_within_memory() {
    let site = start("memory-answers", |seen| match seen.header("x-correlation-id") {
        Some(id) if id.starts_with("length") => Reply::Write(answer("200 OK", "", &vec![b'a'; LONG])),
        Some(id) if id.starts_with("chunks") => Reply::Write(chunked_answer(LONG)),
        Some(id) if id.starts_with("whole") => Reply::Write(answer("200 OK", "", &vec![b'a'; 65_000])),
        _ => ok("served"),
    });
    for kinds in [&["length", "chunks", "whole"][..], &["length"], &["chunks"]] {
        at_once(&site, &format!("answers read slowly, {kinds:?}"), |n, proxy| {
            read_slowly(proxy, &format!("{}-{n}", kinds[n % kinds.len()]));
        });
    }
}

/// All kinds together, beside clients that ask for little: they get their final answers meanwhile.
#[test]
fn hundreds_of_slow_clients_of_all_kinds_leave_other_clients_their_answers() {
    let site = start("memory-mixed", |seen| match seen.header("x-correlation-id") {
        Some(id) if id.starts_with("long") => Reply::Write(answer("200 OK", "", &vec![b'a'; LONG])),
        Some(id) if id.starts_with("head") => later(ok("served")),
        _ => ok("served"),
    });
    let fields = many_fields();
    at_once(&site, "all kinds", |n, proxy| {
        let head = request("read", &format!("head-{n}"), "");
        let (line, rest) = head.split_once("\r\n").expect("a first line");
        match n % 11 {
            0 | 1 => send_and_read(proxy, format!("{line}\r\n{fields}{rest}").as_bytes()),
            2 | 3 => send_and_read(proxy, format!("{line}\r\n{fields}").as_bytes()),
            4..=6 => {
                let head = request("charge", &format!("half-{n}"), "")
                    .replace("Content-Length: 0", "Transfer-Encoding: chunked");
                let chunk = format!("1000\r\n{}\r\n", "c".repeat(4_096));
                send_and_read(proxy, (head + &chunk.repeat(30)).as_bytes());
            }
            7..=9 => read_slowly(proxy, &format!("long-{n}")),
            _ => {
                for turn in 0..20 {
                    let mut client = proxy.client();
                    let text = request("read", &format!("honest-{n}-{turn}"), "").replace("15000", "1500");
                    let began = Instant::now();
                    let status = client.ask(&text).status();
                    assert!(status == 200 || status == 503, "honest-{n}-{turn}: {status}");
                    assert!(
                        began.elapsed() < Duration::from_secs(2),
                        "honest-{n}-{turn}: {:?}",
                        began.elapsed()
                    );
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    });
}

/// A request that was refused leaves nothing behind, however long its time is.
#[test]
fn a_flood_of_refused_requests_does_not_add_up_in_memory() {
    const BATCH: usize = 200;
    const FIRST: usize = 10_000;
    const ALL: usize = 60_000;
    const MOST_GROWTH_KIB: usize = 512;
    let discovery = Discovery::start();
    let mut config = config("memory-flood", &discovery);
    config["admin_addr"] = "127.0.0.1:0".into();
    let proxy = Proxy::start_with("memory-flood", config);
    let backend = Backend::start(|_| ok("served"));
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    // With all backends out of use, requests are refused at once.
    assert!(proxy.call("maint-on s-1").starts_with("200"));
    let mut client = proxy.client();
    let mut after_first = 0;
    for batch in 0..ALL / BATCH {
        let ids = batch * BATCH..(batch + 1) * BATCH;
        let text: String = ids.map(|n| request("read", &format!("flood-{n}"), "")).collect();
        client.send(&text);
        (0..BATCH).for_each(|_| assert_eq!(client.receive().status(), 503));
        if (batch + 1) * BATCH == FIRST {
            after_first = own_memory(&proxy);
        }
    }
    let growth = own_memory(&proxy).saturating_sub(after_first);
    println!("{} refused requests: {growth} KiB", ALL - FIRST);
    assert!(growth < MOST_GROWTH_KIB, "{} refused requests took {growth} KiB", ALL - FIRST);
}
