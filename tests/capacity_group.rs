//! The relay by which the scale harness counts the calls between the machines of a group.

#[path = "../benches/capacity/group/relay.rs"]
#[allow(dead_code, reason = "the tests use a part of it")]
mod relay;

use relay::{Counts, Relay, Traffic};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// The head of a call with a body of 4 bytes; `caller` names itself, if any does.
fn head(path: &str, caller: Option<&str>) -> String {
    let named = caller.map(|caller| format!("x-gatestage-node: {caller}\r\n")).unwrap_or_default();
    format!("POST {path} HTTP/1.1\r\nhost: here\r\n{named}content-length: 4\r\n\r\n")
}

/// A target that answers each call, of which it knows the lengths, on its connections one after another.
fn target(connections: Vec<Vec<usize>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for lengths in connections {
            let (mut stream, _) = listener.accept().expect("a connection");
            for length in lengths {
                let mut call = vec![0; length];
                stream.read_exact(&mut call).expect("a call");
                stream.write_all(ANSWER).expect("it is answered");
            }
        }
    });
    address
}

fn connect(relay: &Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.address).expect("the relay takes it");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

/// Reads one answer; by then the relay has counted it.
fn read_answer(stream: &mut TcpStream) {
    let mut answer = vec![0; ANSWER.len()];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer, ANSWER);
}

fn of(counts: &Counts, caller: &str, path: &str) -> Traffic {
    counts.sum(|flow| flow.caller == caller && flow.path == path)
}

#[test]
fn calls_and_bytes_are_counted_by_caller_and_path() {
    let append = head("/group/append", Some("proxy-1"));
    let keep = head("/group/keep", Some("proxy-1"));
    let hello = head("/group/identity", None);
    let lengths = [&append, &append, &keep, &hello].map(|head| head.len() + 4);
    let relay =
        Relay::start(Ipv4Addr::LOCALHOST.into(), target(vec![lengths[..3].to_vec(), vec![lengths[3]]]))
            .expect("a relay");
    let mut stream = connect(&relay);
    // A call whose body comes apart from its head is one call.
    stream.write_all(append.as_bytes()).expect("a head");
    let end = Instant::now() + PATIENCE;
    while relay.counts().sum(|_| true).calls == 0 {
        assert!(Instant::now() < end, "the head is not counted");
        thread::sleep(Duration::from_millis(2));
    }
    stream.write_all(b"body").expect("a body");
    read_answer(&mut stream);
    let first = relay.counts();
    for head in [&append, &keep] {
        stream.write_all(format!("{head}body").as_bytes()).expect("a call");
        read_answer(&mut stream);
    }
    let mut unnamed = connect(&relay);
    unnamed.write_all(format!("{hello}body").as_bytes()).expect("a call");
    read_answer(&mut unnamed);
    let all = relay.counts();
    let traffic = |calls: u64, length: usize| Traffic {
        calls,
        asked_bytes: calls * length as u64,
        answer_bytes: calls * ANSWER.len() as u64,
    };
    assert_eq!(of(&all, "proxy-1", "/group/append"), traffic(2, lengths[0]));
    assert_eq!(of(&all, "proxy-1", "/group/keep"), traffic(1, lengths[2]));
    assert_eq!(of(&all, "", "/group/identity"), traffic(1, lengths[3]));
    let later = all.since(&first);
    assert_eq!(of(&later, "proxy-1", "/group/append"), traffic(1, lengths[0]));
    let bytes: usize = lengths.iter().sum::<usize>() + 4 * ANSWER.len();
    assert_eq!(all.sum(|_| true).bytes(), bytes as u64);
}

#[test]
fn a_target_that_does_not_listen_shows_as_a_closed_connection_and_is_not_counted() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let gone = listener.local_addr().expect("an address");
    let relay = Relay::start(Ipv4Addr::LOCALHOST.into(), gone).expect("a relay");
    drop(listener);
    let mut stream = connect(&relay);
    // The close may come as an end or as a reset.
    let read = stream.read(&mut [0; 16]);
    assert!(matches!(read, Ok(0)) || read.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    assert_eq!(relay.counts().sum(|_| true), Traffic::default());
}
