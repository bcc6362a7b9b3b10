//! Watches that fall silent, agents that are away and lists in odd shapes: how soon what discovery has is in force.

use crate::agent::{Agent, Call, config_at};
use crate::rig::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told this long after discovery had it and could be reached, whatever became of the calls.
const TOLD: Duration = Duration::from_secs(6);
/// What an answer may take of that, where hundreds of proxies ask.
const ANSWER: Duration = Duration::from_secs(1);
/// What discovery has counts as told this long after the signal that moves it.
const MOVE: Duration = Duration::from_secs(4);
/// Sends end this long after a drain is told, the slack of sockets left out.
const DRAIN: Duration = Duration::from_millis(500);

/// Two backends, one of which a change takes out.
struct Pair {
    leaver: Backend,
    stayer: Backend,
}

impl Pair {
    fn start() -> Self {
        Self { leaver: Backend::start(|_| ok("leaver")), stayer: Backend::start(|_| ok("stayer")) }
    }

    fn members(&self) -> [Value; 2] {
        [entry("s-1", self.leaver.address, "active", 0), entry("s-2", self.stayer.address, "active", 0)]
    }

    /// The whole list before the change.
    fn before(&self) -> Value {
        json!({"revision": 41, "complete": true, "members": self.members()})
    }

    /// The change.
    fn change(&self) -> Value {
        let gone = entry("s-1", self.leaver.address, "leaving", 0);
        json!({"revision": 42, "complete": false, "members": [gone]})
    }

    /// The whole list after it.
    fn after(&self) -> Value {
        let [_, stays] = self.members();
        json!({"revision": 42, "complete": true, "members": [stays]})
    }

    /// The next call shows that the proxy holds the change; nothing goes to the leaver any more.
    fn in_force(&self, proxy: &Proxy, agent: &Agent, what: &str) {
        assert_eq!(agent.next().after, Some(42), "{what}");
        self.leaver.rest();
        for id in ["1", "2", "3", "4"] {
            assert_eq!(proxy.client().ask(&request("read", id, "")).body, b"stayer", "{what}");
        }
        assert_eq!(self.leaver.rest(), 0, "{what}");
    }
}

/// The ways in which a watch falls silent: what is written before, and whether a byte comes each second from then on.
fn silences(list: &str) -> [(&'static str, String, bool); 4] {
    let length = list.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    [
        ("first byte", String::new(), false),
        ("head", "HTTP/1.1 200 OK\r\nContent-Le".to_owned(), false),
        ("body", format!("{head}{}", &list[..length / 2]), false),
        ("trickle", head, true),
    ]
}

/// Makes a watch silent in that way; ends with the connection or, at the latest, with the patience for a call.
fn fall_silent(call: &mut Call, written: &str, list: &str, trickles: bool) {
    call.write(written.as_bytes());
    let Ok(mut stream) = call.stream.try_clone() else { return };
    let drops = list.to_owned().into_bytes();
    thread::spawn(move || {
        for byte in drops.iter().take(if trickles { 40 } else { 0 }) {
            if stream.write_all(&[*byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
}

/// One watch that falls silent in one way: it is opened anew on another connection before its change counts as told.
fn a_silent_watch(mode: &str, first: bool, way: usize) {
    let (agent, pair) = (Agent::start(), Pair::start());
    let list = pair.change().to_string();
    let (what, written, trickles) = silences(&list)[way].clone();
    let name = format!("silent-{mode}-{first}-{way}");
    let proxy = Proxy::start_with(&name, config_at(&name, mode, agent.address, &pair.before()));
    let mut call = agent.next();
    if !first {
        call.answer(&json!({"revision": 41, "complete": false, "members": []}));
        call = agent.next();
    }
    assert_eq!(call.after, Some(41), "{mode}, {what}");
    fall_silent(&mut call, &written, &list, trickles);
    let again = agent.next();
    let silent = again.at - call.at;
    assert!(silent < TOLD - ANSWER, "{mode}, {what}: opened anew only after {silent:?}");
    assert_ne!(again.connection, call.connection, "{mode}, {what}");
    assert_eq!(again.after, Some(41), "{mode}, {what}");
    again.answer(&pair.change());
    pair.in_force(&proxy, &agent, what);
}

/// Where discovery is asked a watch waited for 20 s, and what it missed came 21.5 s later; between a silent watch and
/// the next came the module's turns, ten seconds and more with hundreds of proxies.
#[test]
fn a_silent_watch_is_opened_anew_before_its_news_counts_as_told() {
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            for first in [true, false] {
                (0..4).for_each(|way| _ = scope.spawn(move || a_silent_watch(mode, first, way)));
            }
        }
    });
}

/// How a call is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Nothing comes.
    Silent,
    /// Half of the answer comes, then nothing.
    HalfAnAnswer,
    /// The connection ends in the middle of the list.
    Cut,
    /// The connection ends at once.
    Reset,
    /// Discovery is too busy.
    Busy,
}

const LOSSES: [Loss; 5] = [Loss::Silent, Loss::HalfAnAnswer, Loss::Cut, Loss::Reset, Loss::Busy];

impl Loss {
    fn befall(self, call: &mut Call, list: &Value) {
        let list = list.to_string();
        let half =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", list.len(), &list[..list.len() / 2]);
        match self {
            Self::Silent => {}
            Self::HalfAnAnswer => call.write(half.as_bytes()),
            // An answer without a length ends with its connection, as a whole one would.
            Self::Cut => call.write(format!("HTTP/1.1 200 OK\r\n\r\n{}", &list[..list.len() / 2]).as_bytes()),
            Self::Reset => {}
            Self::Busy => call.write(&answer("503 Service Unavailable", "", b"")),
        }
        if matches!(self, Self::Cut | Self::Reset) {
            let _ = call.stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Two losses in a row, the first of them that of a watch which was just opened: the third call brings the change.
fn two_losses(mode: &str, losses: [Loss; 2]) {
    let (agent, pair) = (Agent::start(), Pair::start());
    let what = format!("{mode}, {losses:?}");
    let name = format!("losses-{mode}-{:?}-{:?}", losses[0], losses[1]);
    let proxy = Proxy::start_with(&name, config_at(&name, mode, agent.address, &pair.before()));
    let opening = agent.next();
    let fresh = Instant::now();
    opening.answer(&json!({"revision": 41, "complete": false, "members": []}));
    for loss in losses {
        loss.befall(&mut agent.next(), &pair.change());
    }
    let third = agent.next();
    let missed = third.at - fresh;
    assert!(missed < TOLD - ANSWER, "{what}: asked for the third time only after {missed:?}");
    assert_eq!(third.after, Some(41), "{what}: nothing of a lost answer is taken");
    third.answer(&pair.change());
    pair.in_force(&proxy, &agent, &what);
}

#[test]
fn after_two_losses_in_a_row_a_change_still_arrives_before_it_counts_as_told() {
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            for first in LOSSES {
                LOSSES.into_iter().for_each(|next| _ = scope.spawn(move || two_losses(mode, [first, next])));
            }
        }
    });
}

/// A service that starts anew may count its versions from 1: changes since a version that it has not reached yet are
/// changes of another list.
#[test]
fn a_revision_that_goes_back_makes_the_proxy_fetch_the_whole_list() {
    for mode in ["pushed", "on_request"] {
        let (agent, pair) = (Agent::start(), Pair::start());
        let name = format!("back-{mode}");
        let proxy = Proxy::start_with(&name, config_at(&name, mode, agent.address, &pair.before()));
        let call = agent.next();
        assert_eq!(call.after, Some(41), "{mode}");
        call.answer(&json!({"revision": 2, "complete": false, "members": []}));
        let whole = agent.next();
        assert_eq!(whole.after, None, "{mode}: the whole list is asked for");
        let mut after = pair.after();
        after["revision"] = 2.into();
        whole.answer(&after);
        assert_eq!(agent.next().after, Some(2), "{mode}");
        pair.leaver.rest();
        for id in ["1", "2", "3", "4"] {
            assert_eq!(proxy.client().ask(&request("read", id, "")).body, b"stayer", "{mode}");
        }
        assert_eq!(pair.leaver.rest(), 0, "{mode}");
    }
}

/// A new configuration says that discovery is elsewhere; it is in force. Gives when the signal was sent.
fn move_discovery(proxy: &mut Proxy, name: &str, mut config: Value, to: SocketAddr) -> Instant {
    config["discovery"] = to.to_string().into();
    write_config(name, &config.to_string());
    let signalled = Instant::now();
    proxy.hang_up();
    assert!(proxy.next_line("SIGHUP").contains("in force"));
    signalled
}

/// After SIGHUP a call to a shared discovery that was refused, reset or answered 503 waited for the module's turn.
#[test]
fn after_a_move_two_failed_calls_are_made_again_before_the_new_list_counts_as_told() {
    let moved = |mode: &str, losses: [Loss; 2]| {
        let (old, new, pair) = (Agent::start(), Agent::start(), Pair::start());
        let name = format!("lost-move-{mode}-{:?}-{:?}", losses[0], losses[1]);
        let config = config_at(&name, mode, old.address, &pair.before());
        let mut proxy = Proxy::start_with(&name, config.clone());
        old.next().answer(&json!({"revision": 41, "complete": false, "members": []}));
        let _watch = old.next();
        let signalled = move_discovery(&mut proxy, &name, config, new.address);
        for loss in losses {
            loss.befall(&mut new.next(), &pair.after());
        }
        let third = new.next();
        let elapsed = third.at - signalled;
        assert!(elapsed < TOLD - ANSWER, "{name}: asked only {elapsed:?} after the signal");
        third.answer(&pair.after());
        pair.in_force(&proxy, &new, &name);
    };
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            for losses in [[Loss::Reset, Loss::Busy], [Loss::Busy, Loss::Silent], [Loss::Silent, Loss::Reset]]
            {
                scope.spawn(move || moved(mode, losses));
            }
        }
    });
}

/// Nobody listens where discovery is said to be, for some calls; then it does.
#[test]
fn a_discovery_that_refused_connections_is_asked_soon_after_it_listens() {
    for mode in ["pushed", "on_request"] {
        let pair = Pair::start();
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let address = socket.local_addr().expect("an address").as_socket().expect("of the internet");
        let name = format!("refused-{mode}");
        let mut proxy = Proxy::start_with(&name, config_at(&name, mode, address, &pair.before()));
        proxy.next_line("discovery: ");
        let back = Instant::now();
        socket.listen(8).expect("it listens");
        let agent = Agent::on(TcpListener::from(socket));
        let call = agent.next();
        let elapsed = call.at - back;
        assert!(elapsed < TOLD - ANSWER, "{mode}: asked only {elapsed:?} after it could be reached");
        call.answer(&pair.change());
        pair.in_force(&proxy, &agent, mode);
    }
}

/// As above where SIGHUP has moved discovery and nothing comes from the new address at first.
#[test]
fn after_a_move_to_a_silent_discovery_it_is_asked_again_before_its_list_counts_as_told() {
    for mode in ["pushed", "on_request"] {
        let (old, new, pair) = (Agent::start(), Agent::start(), Pair::start());
        let name = format!("silent-move-{mode}");
        let config = config_at(&name, mode, old.address, &pair.before());
        let mut proxy = Proxy::start_with(&name, config.clone());
        // The module's own first call is made: what comes after the signal is the move's doing.
        let _watch = old.next();
        let signalled = move_discovery(&mut proxy, &name, config, new.address);
        let silent = new.next();
        let again = new.next();
        let elapsed = again.at - signalled;
        assert!(elapsed < MOVE, "{mode}: asked again only {elapsed:?} after the signal");
        assert_ne!(again.connection, silent.connection, "{mode}");
        again.answer(&pair.after());
        pair.in_force(&proxy, &new, mode);
    }
}

/// Calls that failed one after the other made the next wait for up to 0.8 s: longer than a drain may stay unknown
/// once the agent has it.
#[test]
fn an_agent_that_returns_is_asked_before_a_drain_that_it_has_must_be_kept() {
    let refusals: [&[u8]; 2] = [b"", b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"];
    for (way, refusal) in refusals.into_iter().enumerate() {
        let (agent, pair) = (Agent::start(), Pair::start());
        let name = format!("outage-{way}");
        let proxy = Proxy::start_with(&name, config_at(&name, "pushed", agent.address, &pair.before()));
        let mut last = agent.next();
        // The shortest of the later pauses: a busy machine makes some longer, but none shorter.
        let mut pause = Duration::MAX;
        for failed in 1..=8 {
            last.write(refusal);
            let _ = last.stream.shutdown(std::net::Shutdown::Both);
            let call = agent.next();
            if failed > 4 {
                pause = pause.min(call.at - last.at);
            }
            last = call;
        }
        assert!(pause < DRAIN, "asked again only after {pause:?}");
        last.answer(&pair.change());
        pair.in_force(&proxy, &agent, "outage");
    }
}

/// A dial that nobody answered took the whole time of the call: 4.5 s of an agent's, 21.5 s where discovery is asked.
#[test]
fn a_dial_that_never_comes_up_is_given_up_soon_and_made_anew() {
    for (mode, bound) in [("pushed", 2), ("on_request", 10)] {
        let (full, filler) = full_queue();
        let pair = Pair::start();
        let name = format!("cut-off-{mode}");
        let mut config = config_at(&name, mode, full.local_addr().expect("an address"), &pair.before());
        config["settings"]["balancers"] = 1.into();
        let mut proxy = Proxy::start_with(&name, config);
        let began = Instant::now();
        proxy.next_line("discovery: ");
        let elapsed = began.elapsed();
        assert!(elapsed < Duration::from_secs(bound), "{mode}: given up only after {elapsed:?}");
        drop(filler);
        let agent = Agent::on(full);
        agent.next().answer(&pair.change());
        pair.in_force(&proxy, &agent, mode);
    }
}

#[test]
fn lists_are_read_in_every_shape() {
    let pair = Pair::start();
    let pretty = serde_json::to_string_pretty(&pair.after()).expect("text");
    let chunks = |size: usize| {
        let chunk = |part: &[u8]| format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part));
        pretty.as_bytes().chunks(size).map(chunk).collect::<String>() + "0\r\n\r\n"
    };
    let whole = answer("200 OK", "", pretty.as_bytes());
    let chunked = |size| format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunks(size));
    let shapes: [(&str, Vec<u8>, usize, bool); 4] = [
        ("indented", whole.clone(), whole.len(), false),
        ("in pieces", whole, 7, false),
        ("chunked in pieces", chunked(11).into_bytes(), 5, false),
        ("to the end", format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{pretty}").into(), 64, true),
    ];
    for (what, bytes, piece, closes) in shapes {
        let agent = Agent::start();
        let config = config_at("shapes", "pushed", agent.address, &pair.before());
        let proxy = Proxy::start_with("shapes", config);
        let mut call = agent.next();
        let _ = call.stream.set_nodelay(true);
        for part in bytes.chunks(piece) {
            call.write(part);
        }
        if closes {
            let _ = call.stream.shutdown(std::net::Shutdown::Both);
        }
        pair.in_force(&proxy, &agent, what);
    }
}
