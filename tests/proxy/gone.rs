//! Clients that go: whatever state their request is in, and whatever they have sent behind it, no attempt begins for
//! them later than the rule allows.

use crate::rig::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From this long after a client has gone on, no attempt may begin for it.
const NOTICE: Duration = Duration::from_millis(100);
/// How long nothing must have come for it to count as never sent. A lost SYN is sent again after a second.
const NEVER: Duration = Duration::from_millis(300);
const NEVER_DIALLED: Duration = Duration::from_millis(1_500);
/// What the module lets a lone backend have at its start.
const ROOM: usize = 2;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    /// It ends its sending alone.
    HalfClose,
}

const WAYS: [Leave; 3] = [Leave::Close, Leave::Reset, Leave::HalfClose];

/// Connections to an address that the end which opened them still holds, as the kernel lists them; with `local`, only
/// the one from there. A local port alone does not name a connection: the kernel gives it out again for another address.
fn established(local: Option<SocketAddr>, remote: SocketAddr) -> usize {
    const ESTABLISHED: &str = "01";
    let port = |address: SocketAddr| format!(":{:04X}", address.port());
    let is_wanted = |ends: &[&str]| {
        let is_local = local.is_none_or(|local| ends[1].ends_with(&port(local)));
        is_local && ends[2].ends_with(&port(remote)) && ends[3] == ESTABLISHED
    };
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    let connections = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    connections.filter(|ends| ends.len() > 3 && is_wanted(ends)).count()
}

/// Waits until this holds; a test that waits for what never comes fails.
fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        thread::yield_now();
    }
}

/// Has a client go, and waits until it has: a program that another test starts just now may hold a copy of its socket.
/// A client that ends its sending alone still has its own.
fn leave(client: Client, how: Leave) -> Option<Client> {
    let local = client.stream.local_addr().expect("an address");
    let proxy = client.stream.peer_addr().expect("an address");
    let kept = match how {
        Leave::Close => {
            drop(client);
            None
        }
        Leave::Reset => {
            let socket = socket2::SockRef::from(&client.stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
            drop(client);
            None
        }
        Leave::HalfClose => {
            client.stream.shutdown(Shutdown::Write).expect("the connection is up");
            Some(client)
        }
    };
    wait_until("the client has gone", || established(Some(local), proxy) == 0);
    kept
}

/// What a client has sent behind its request: nothing, a whole request, half a line of one, more than is read at once.
fn behind() -> [String; 4] {
    let whole = request("read", "behind", "");
    [String::new(), whole.clone(), "GET /read?key=7f3a HT".into(), whole.repeat(300)]
}

/// A backend that tells of each head as it comes, and answers nothing until the test lets it.
struct Gated {
    address: SocketAddr,
    heads: Receiver<String>,
    gate: Arc<(Mutex<bool>, Condvar)>,
}

fn serve_gated(
    mut stream: TcpStream,
    told: &Sender<String>,
    gate: &(Mutex<bool>, Condvar),
    answer: &[u8],
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut seen = Seen { head: read_head(&mut reader)?, body: Vec::new(), connection: 0 };
        told.send(seen.header("x-correlation-id").expect("an id").to_owned()).ok()?;
        seen.read_body(&mut reader)?;
        let (lock, opened) = gate;
        drop(opened.wait_while(lock.lock().expect("the gate"), |open| !*open).expect("the gate"));
        stream.write_all(answer).ok()?;
    }
}

impl Gated {
    fn start() -> Self {
        Self::answering(answer("200 OK", "", b"done"))
    }

    fn answering(answer: Vec<u8>) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a port"), answer)
    }

    fn on(listener: TcpListener, answer: Vec<u8>) -> Self {
        let address = listener.local_addr().expect("an address");
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let (told, heads) = channel();
        let shared = Arc::clone(&gate);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), told, gate) = (stream, told.clone(), Arc::clone(&shared)) else { return };
                let answer = answer.clone();
                thread::spawn(move || serve_gated(stream, &told, &gate, &answer));
            }
        });
        Self { address, heads, gate }
    }

    fn open(&self) {
        *self.gate.0.lock().expect("the gate") = true;
        self.gate.1.notify_all();
    }

    fn next(&self) -> String {
        self.heads.recv_timeout(PATIENCE).expect("the backend sees a request")
    }

    /// All that still comes, until nothing has come for this long.
    fn rest(&self, within: Duration) -> Vec<String> {
        std::iter::from_fn(|| self.heads.recv_timeout(within).ok()).collect()
    }
}

/// Clients whose requests take all the room of a lone backend.
fn fill(proxy: &Proxy, backend: &Gated) -> Vec<Client> {
    let fill = (0..ROOM).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        assert_eq!(backend.next(), format!("fill-{i}"));
        client
    });
    fill.collect()
}

/// Waits for as long as the rule allows, and for a turn of the proxy: a loaded machine may have given it none.
fn notice(proxy: &Proxy) {
    thread::sleep(NOTICE);
    proxy.client().ask(crate::UP);
}

/// An answer on another connection shows that the proxy has seen what came before it.
fn has_seen(proxy: &Proxy) {
    assert_eq!(proxy.client().ask(crate::UP).status(), 200);
}

/// The beginning of a request whose body passes through.
fn half_upload(id: &str) -> String {
    request("submit", id, &"u".repeat(200_000))[..20_000].to_owned()
}

/// Every way to go, with each rest behind the request.
fn each(mut check: impl FnMut(&str, Leave, &str)) {
    for how in WAYS {
        for (n, rest) in behind().iter().enumerate() {
            check(&format!("{how:?}-{n}").to_lowercase(), how, rest);
        }
    }
}

/// What a client sent is held for room when it leaves; when there is room, nothing of it goes out.
fn held_for_room(name: &str, sent: &str, how: Leave) {
    let discovery = Discovery::start();
    let backend = Gated::start();
    let proxy = Proxy::start(name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let first = fill(&proxy, &backend);
    let mut leaver = proxy.client();
    leaver.send(sent);
    has_seen(&proxy);
    let _gone = leave(leaver, how);
    notice(&proxy);
    backend.open();
    first.into_iter().for_each(|mut client| assert_eq!(client.receive().status(), 200));
    assert_eq!(proxy.client().ask(&request("read", "after", "")).status(), 200);
    assert_eq!(backend.rest(NEVER), ["after"], "{name}");
}

/// Bytes behind the request hide the close from HTTP, which reads no further while an answer is due.
#[test]
fn a_request_held_for_room_is_not_sent_once_its_client_has_gone() {
    each(|case, how, rest| {
        held_for_room(&format!("gone-held-{case}"), &(request("read", "gone", "") + rest), how);
    });
}

/// Of a body that passes through nothing is read while its request is held.
#[test]
fn a_request_whose_body_is_half_there_is_not_sent_once_its_client_has_gone() {
    for how in WAYS {
        for text in [half_upload("gone"), request("submit", "gone", &"u".repeat(66_000))] {
            let case = format!("{how:?}-{}", text.len()).to_lowercase();
            held_for_room(&format!("gone-upload-{case}"), &text, how);
        }
    }
}

/// So many bodies pass through as there is memory for; one more waits for its turn before the module hears of it.
#[test]
fn an_upload_that_waits_for_its_turn_is_not_begun_once_its_client_has_gone() {
    const AT_ONCE: usize = 4;
    for how in WAYS {
        let discovery = Discovery::start();
        let backend = Gated::start();
        backend.open();
        let name = format!("gone-turn-{how:?}").to_lowercase();
        let mut config = config(&name, &discovery);
        config["limits"]["memory_mb"] = 2.into();
        let proxy = Proxy::start_with(&name, config);
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        let mut first: Vec<_> = (0..AT_ONCE).map(|_| proxy.client()).collect();
        for (n, client) in first.iter_mut().enumerate() {
            client.send(&half_upload(&format!("first-{n}")));
            assert_eq!(backend.next(), format!("first-{n}"));
        }
        let mut leaver = proxy.client();
        leaver.send(&half_upload("gone"));
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        notice(&proxy);
        for (n, mut client) in first.into_iter().enumerate() {
            let id = format!("first-{n}");
            let whole = request("submit", &id, &"u".repeat(200_000));
            client.send(&whole[half_upload(&id).len()..]);
            assert_eq!(client.receive().status(), 200);
        }
        assert_eq!(backend.rest(NEVER), [""; 0], "{how:?}");
    }
}

/// A small body that its client breaks off belongs to no request: nothing begins.
#[test]
fn a_request_whose_small_body_is_half_there_is_not_sent_once_its_client_has_gone() {
    for how in WAYS {
        let discovery = Discovery::start();
        let backend = Gated::start();
        backend.open();
        let members = [entry("s-1", backend.address, "active", 0)];
        let proxy = Proxy::start(&format!("gone-half-{how:?}").to_lowercase(), &discovery, &members);
        let mut leaver = proxy.client();
        let text = request("submit", "gone", "0123456789");
        leaver.send(&text[..text.len() - 5]);
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        assert_eq!(proxy.client().ask(&request("read", "after", "")).status(), 200);
        assert_eq!(backend.rest(NEVER), ["after"], "{how:?}");
    }
}

/// The connection comes up only after its client has gone. Nothing is written to it, and the room that its request had
/// is another one's from then on.
#[test]
fn a_request_whose_connection_comes_up_after_its_client_has_gone_is_not_sent() {
    each(|case, how, rest| {
        let discovery = Discovery::start();
        let (listener, filler) = full_queue();
        let members = [entry("s-1", listener.local_addr().expect("an address"), "active", 0)];
        let proxy = Proxy::start(&format!("gone-dialling-{case}"), &discovery, &members);
        let mut leavers: Vec<_> = (0..ROOM).map(|_| proxy.client()).collect();
        for (i, leaver) in leavers.iter_mut().enumerate() {
            leaver.send(&(request("read", &format!("gone-{i}"), "") + rest));
        }
        has_seen(&proxy);
        let _gone: Vec<_> = leavers.into_iter().map(|leaver| leave(leaver, how)).collect();
        notice(&proxy);
        // From here on connections come up.
        let backend = Gated::on(listener, answer("200 OK", "", b"done"));
        backend.open();
        drop(filler);
        assert_eq!(proxy.client().ask(&request("read", "after", "")).status(), 200, "{case}");
        assert_eq!(backend.rest(NEVER_DIALLED), ["after"], "{case}");
    });
}

/// A body that passes through, on the way to a backend whose connection is not up yet.
#[test]
fn an_upload_whose_connection_comes_up_after_its_client_has_gone_is_not_begun() {
    for how in WAYS {
        let discovery = Discovery::start();
        let (listener, filler) = full_queue();
        let members = [entry("s-1", listener.local_addr().expect("an address"), "active", 0)];
        let proxy = Proxy::start(&format!("gone-up-dial-{how:?}").to_lowercase(), &discovery, &members);
        let mut leaver = proxy.client();
        leaver.send(&half_upload("gone"));
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        notice(&proxy);
        let backend = Gated::on(listener, answer("200 OK", "", b"done"));
        backend.open();
        drop(filler);
        assert_eq!(backend.rest(NEVER_DIALLED), [""; 0], "{how:?}");
    }
}

/// The first attempt is turned away after its client has gone: there is no second one.
#[test]
fn no_further_attempt_begins_once_its_client_has_gone() {
    each(|case, how, rest| {
        let discovery = Discovery::start();
        let full = || Gated::answering(answer("503 Busy", "X-Unprocessed: 1\r\n", b""));
        let (one, two) = (full(), full());
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("gone-retry-{case}"), &discovery, &members);
        let mut leaver = proxy.client();
        leaver.send(&(request("read", "gone", "") + rest));
        let seen = std::cell::OnceCell::new();
        wait_until("a backend sees the request", || {
            let head = one.heads.try_recv().or_else(|_| two.heads.try_recv());
            head.is_ok_and(|id| seen.set(id).is_ok())
        });
        assert_eq!(seen.get().map(String::as_str), Some("gone"));
        let _gone = leave(leaver, how);
        notice(&proxy);
        one.open();
        two.open();
        assert_eq!([one.rest(NEVER), two.rest(NEVER)].concat(), [""; 0], "{case}");
    });
}

/// Behind more than the receive window even the kernel does not know of the close.
#[test]
fn no_further_attempt_begins_once_its_client_has_gone_behind_more_than_the_receive_window() {
    const BEHIND: usize = 400_000;
    let whole = request("read", "behind", "");
    for how in [Leave::Close, Leave::HalfClose] {
        let discovery = Discovery::start();
        let full = || Gated::answering(answer("503 Busy", "X-Unprocessed: 1\r\n", b""));
        let (one, two) = (full(), full());
        let members = [entry("s-1", one.address, "active", 0), entry("s-2", two.address, "active", 0)];
        let proxy = Proxy::start(&format!("gone-far-{how:?}").to_lowercase(), &discovery, &members);
        let mut leaver = proxy.client();
        // The kernel takes all of it at once, and closes for the client once it can.
        let socket = socket2::SockRef::from(&leaver.stream);
        socket.set_send_buffer_size(4 * BEHIND).expect("an option");
        leaver.send(&(request("read", "gone", "") + &whole.repeat(BEHIND / whole.len())));
        wait_until("a backend sees the request", || {
            one.heads.try_recv().or_else(|_| two.heads.try_recv()).is_ok_and(|id| id == "gone")
        });
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        notice(&proxy);
        one.open();
        two.open();
        assert_eq!([one.rest(NEVER), two.rest(NEVER)].concat(), [""; 0], "{how:?}");
    }
}

/// The whole body and the close behind it are on this machine, and nothing of them is read while the request is held.
#[test]
fn a_large_request_that_is_held_is_not_sent_once_its_client_has_gone_behind_its_whole_body() {
    for how in [Leave::Close, Leave::HalfClose] {
        let discovery = Discovery::start();
        let backend = Gated::start();
        let name = format!("gone-whole-{how:?}").to_lowercase();
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        let first = fill(&proxy, &backend);
        let mut leaver = proxy.client();
        let text = request("submit", "gone", &"u".repeat(600_000));
        socket2::SockRef::from(&leaver.stream).set_send_buffer_size(2 * text.len()).expect("an option");
        leaver.send(&text);
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        notice(&proxy);
        backend.open();
        first.into_iter().for_each(|mut client| assert_eq!(client.receive().status(), 200));
        assert_eq!(proxy.client().ask(&request("read", "after", "")).status(), 200);
        assert_eq!(backend.rest(NEVER), ["after"], "{how:?}");
    }
}

/// The first attempt was turned away, and the request waits for another backend when its client goes.
#[test]
fn a_request_between_two_attempts_is_not_sent_once_its_client_has_gone() {
    each(|case, how, rest| {
        let discovery = Discovery::start();
        let full = Gated::answering(answer("503 Busy", "X-Unprocessed: 1\r\n", b""));
        full.open();
        let members = [entry("s-1", full.address, "active", 0)];
        let proxy = Proxy::start(&format!("gone-between-{case}"), &discovery, &members);
        let mut leaver = proxy.client();
        leaver.send(&(request("read", "gone", "") + rest));
        assert_eq!(full.next(), "gone");
        has_seen(&proxy);
        let _gone = leave(leaver, how);
        notice(&proxy);
        let other = Gated::start();
        other.open();
        discovery.post(false, &[entry("s-2", other.address, "active", 0)]);
        assert_eq!(other.rest(NEVER), [""; 0], "{case}");
        assert_eq!(full.rest(NEVER), [""; 0], "{case}");
    });
}

/// Right after the signal, and once idle connections close.
#[test]
fn at_sigterm_a_request_is_not_sent_once_its_client_has_gone() {
    each(|case, how, rest| {
        for is_closing in [false, true] {
            let discovery = Discovery::start();
            let backend = Gated::start();
            let members = [entry("s-1", backend.address, "active", 0)];
            let proxy = Proxy::start(&format!("gone-term-{case}-{is_closing}"), &discovery, &members);
            let first = fill(&proxy, &backend);
            let mut idle = proxy.client();
            assert_eq!(idle.ask(crate::UP).status(), 200);
            let mut leaver = proxy.client();
            leaver.send(&(request("read", "gone", "") + rest));
            has_seen(&proxy);
            proxy.terminate();
            while proxy.client().ask(crate::UP).status() == 200 {}
            if is_closing {
                assert!(idle.ends_cleanly());
            }
            let _gone = leave(leaver, how);
            notice(&proxy);
            backend.open();
            first.into_iter().for_each(|mut client| assert_eq!(client.receive().status(), 200));
            assert_eq!(backend.rest(NEVER), [""; 0], "{case} {is_closing}");
        }
    });
}

/// A client that has gone before anything of its request was read, for the process had no turn meanwhile.
#[test]
fn a_request_that_is_read_after_its_client_has_gone_is_not_sent() {
    each(|case, how, rest| {
        let discovery = Discovery::start();
        let backend = Gated::start();
        backend.open();
        let members = [entry("s-1", backend.address, "active", 0)];
        let proxy = Proxy::start(&format!("gone-before-{case}"), &discovery, &members);
        // One whose connection is kept, and one that the proxy has yet to accept.
        let mut known = proxy.client();
        assert_eq!(known.ask(&request("read", "known", "")).status(), 200);
        assert_eq!(backend.next(), "known");
        proxy.pause();
        let mut new = proxy.client();
        for (client, id) in [(&mut known, "gone-0"), (&mut new, "gone-1")] {
            client.send(&(request("read", id, "") + rest));
        }
        let _gone = [leave(known, how), leave(new, how)];
        thread::sleep(NOTICE);
        proxy.signal("-CONT");
        assert_eq!(proxy.client().ask(&request("read", "after", "")).status(), 200, "{case}");
        assert_eq!(backend.rest(NEVER), ["after"], "{case}");
    });
}

/// What a client sends behind its request while that is out does not make it one that has gone.
#[test]
fn a_client_that_only_sends_on_gets_all_its_answers() {
    let discovery = Discovery::start();
    let backend = Gated::start();
    let proxy = Proxy::start("sends-on", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let first = fill(&proxy, &backend);
    let mut client = proxy.client();
    let second = request("read", "second", "");
    client.send(&(request("read", "first", "") + &second[..10]));
    has_seen(&proxy);
    client.send(&second[10..]);
    has_seen(&proxy);
    backend.open();
    first.into_iter().for_each(|mut client| assert_eq!(client.receive().status(), 200));
    assert_eq!((client.receive().status(), client.receive().status()), (200, 200));
    assert_eq!(backend.rest(NEVER), ["first", "second"]);
}

/// A backend that stops reading in the middle of a body: nothing moves on that connection any more, and only the
/// client's close can end it. Its request was never whole.
#[test]
fn a_stalled_upload_ends_when_its_client_has_gone() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let proxy = Proxy::start("gone-stalled", &discovery, &[entry("s-1", address, "active", 0)]);
    let mut leaver = proxy.client();
    leaver.stream.set_write_timeout(Some(NEVER)).expect("a time-out");
    let text = request("submit", "gone", &"u".repeat(32 << 20));
    assert!(leaver.stream.write_all(text.as_bytes()).is_err(), "nothing more goes through");
    let (_stalled, _) = listener.accept().expect("the proxy's connection");
    assert_eq!(established(None, address), 1);
    let _gone = leave(leaver, Leave::Reset);
    let since = Instant::now();
    while established(None, address) > 0 {
        assert!(since.elapsed() < PATIENCE, "the backend's connection is held for nobody");
        thread::sleep(NOTICE);
    }
}
