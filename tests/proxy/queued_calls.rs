//! Discovery that answers the calls of many proxies in turn: an answer that comes after a call's time still counts.

use crate::agent::{Agent, Call, config_at};
use crate::rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the log says when a call was not answered in time.
const NOT_IN_TIME: &str = "no answer in time";

/// A list of one backend.
fn list_of(backend: &Backend, revision: u64) -> Value {
    json!({"revision": revision, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]})
}

/// A proxy that asks discovery and knows no backend, and its first call, whose time is over.
fn first_call_out_of_time(name: &str, agent: &Agent) -> (Proxy, Call) {
    let nothing = json!({"revision": 0, "complete": true, "members": []});
    let mut proxy = Proxy::start_with(name, config_at(name, "on_request", agent.address, &nothing));
    let call = agent.next();
    proxy.next_line(NOT_IN_TIME);
    (proxy, call)
}

/// Answers a call with a list: the watch goes on where the answer came, and the list is in force.
fn answer_and_go_on(proxy: &Proxy, agent: &Agent, call: Call, list: &Value) {
    let connection = call.connection;
    call.answer(list);
    let watch = agent.next();
    assert_eq!(watch.connection, connection);
    assert_eq!(watch.after, list["revision"].as_u64());
    assert_eq!(proxy.client().ask(&request("read", "1", "")).status(), 200);
}

/// The end of a connection that the proxy gives up.
fn is_closed(mut call: Call) -> bool {
    call.stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    matches!(call.stream.read(&mut [0; 1]), Ok(0))
}

#[test]
fn an_answer_after_a_calls_time_counts_before_the_next_call() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let (proxy, call) = first_call_out_of_time("queued-before", &agent);
    answer_and_go_on(&proxy, &agent, call, &list_of(&backend, 7));
}

#[test]
fn an_answer_to_the_first_of_two_calls_counts_and_ends_the_second() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let (proxy, first) = first_call_out_of_time("queued-first", &agent);
    let second = agent.next();
    assert_ne!(second.connection, first.connection);
    answer_and_go_on(&proxy, &agent, first, &list_of(&backend, 7));
    assert!(is_closed(second));
}

#[test]
fn an_answer_to_the_second_of_two_calls_counts_and_ends_the_first() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let (proxy, first) = first_call_out_of_time("queued-second", &agent);
    let second = agent.next();
    answer_and_go_on(&proxy, &agent, second, &list_of(&backend, 7));
    assert!(is_closed(first));
}

#[test]
fn a_call_that_fails_after_its_time_leaves_the_next_one_alone() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let (proxy, mut first) = first_call_out_of_time("queued-fails", &agent);
    first.write(&answer("503 Service Unavailable", "", b""));
    let second = agent.next();
    answer_and_go_on(&proxy, &agent, second, &list_of(&backend, 7));
}

#[test]
fn no_more_than_two_calls_of_a_proxy_are_open() {
    let agent = Agent::start();
    let (_proxy, first) = first_call_out_of_time("queued-two", &agent);
    let (_second, _third) = (agent.next(), agent.next());
    assert!(is_closed(first));
}

/// Where discovery moves, nothing that the old service still answers counts.
#[test]
fn a_call_that_is_out_of_time_ends_when_discovery_moves() {
    let (old, new) = (Agent::start(), Agent::start());
    let backend = Backend::start(|_| ok("served"));
    let (proxy, call) = first_call_out_of_time("queued-moves", &old);
    let nothing = json!({"revision": 0, "complete": true, "members": []});
    write_config("queued-moves", &config_at("queued-moves", "on_request", new.address, &nothing).to_string());
    proxy.hang_up();
    assert!(is_closed(call));
    let moved = new.next();
    answer_and_go_on(&proxy, &new, moved, &list_of(&backend, 3));
}

/// Proxies that start together.
const BANK: u32 = 24;
/// What a call that opens a watch takes the service.
const TURN: Duration = Duration::from_millis(200);
/// A call that would wait for longer is refused at once.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// A service that answers calls in turn, each of which takes it as long whether or not its caller still waits. To go
/// on with a watch costs it nothing.
struct BusyService {
    address: SocketAddr,
    /// The turns that were spent.
    turns: Arc<AtomicU32>,
    /// Calls that go on with a watch.
    watches: Receiver<()>,
}

impl BusyService {
    fn start(list: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (turns, free_at) = (Arc::new(AtomicU32::new(0)), Arc::new(Mutex::new(Instant::now())));
        let (told, watches) = channel();
        let body = answer("200 OK", "", list.to_string().as_bytes());
        let spent = Arc::clone(&turns);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let (spent, free_at) = (Arc::clone(&spent), Arc::clone(&free_at));
                let (told, body) = (told.clone(), body.clone());
                thread::spawn(move || serve_in_turn(stream, &spent, &free_at, &told, &body));
            }
        });
        Self { address, turns, watches }
    }
}

fn serve_in_turn(
    mut stream: TcpStream,
    spent: &AtomicU32,
    free_at: &Mutex<Instant>,
    told: &Sender<()>,
    body: &[u8],
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let mut opened = false;
    while read_message(&mut reader).is_some() {
        if opened {
            // Nothing changes, so the watch waits.
            let _ = told.send(());
            continue;
        }
        let reply = match turn_of(free_at) {
            Some(turn) => {
                thread::sleep(turn.saturating_duration_since(Instant::now()));
                spent.fetch_add(1, Ordering::Relaxed);
                opened = true;
                body.to_vec()
            }
            None => answer("503 Service Unavailable", "", b""),
        };
        if stream.write_all(&reply).is_err() {
            return;
        }
    }
}

/// When the turn of a call that comes now is over; `None`: it would wait too long.
fn turn_of(free_at: &Mutex<Instant>) -> Option<Instant> {
    let mut free_at = free_at.lock().expect("the time");
    let over = Instant::now().max(*free_at) + TURN;
    if over.saturating_duration_since(Instant::now()) > LONGEST_WAIT {
        return None;
    }
    *free_at = over;
    Some(over)
}

/// Calls were given up after two seconds and made again, and a service that lets callers wait for three spent its
/// turns on those that were given up: of 32 proxies the last had its first answer after seventeen seconds.
#[test]
fn a_bank_that_starts_together_gets_its_list_in_twice_the_turns_that_it_needs() {
    let backend = Backend::start(|_| ok("served"));
    let service = BusyService::start(&list_of(&backend, 7));
    let known =
        json!({"revision": 0, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]});
    let proxies = (0..BANK).map(|number| {
        let name = format!("bank-{number}");
        let mut config = config_at(&name, "on_request", service.address, &known);
        config["settings"]["balancers"] = BANK.into();
        config["seed"] = format!("{number:016x}").into();
        Proxy::start_with(&name, config)
    });
    let _proxies: Vec<Proxy> = proxies.collect();
    for watch in 0..BANK {
        service.watches.recv_timeout(2 * PATIENCE).unwrap_or_else(|_| panic!("{watch} of {BANK} watches"));
    }
    let turns = service.turns.load(Ordering::Relaxed);
    assert!(turns <= 2 * BANK, "{turns} turns for {BANK} proxies");
}
