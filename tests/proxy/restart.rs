//! A planned restart: SIGTERM, clients that go on sending on every connection that stays open, SIGKILL at the
//! longest deadline and 0.7 s. Whatever the proxy has taken gets a whole answer before that.

use crate::rig::*;
use serde_json::Value;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of these tests' classes.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// SIGKILL comes the longest deadline and 0.7 s after SIGTERM at the earliest; here with 0.2 s for a machine that
/// has much else to do.
const KILL: Duration = Duration::from_millis(1_900);
/// A close that crossed a request shows at once; one that takes longer ended a request that was taken.
const CROSSED: Duration = Duration::from_millis(60);

/// What came of a request that was written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection had been closed by then: the client sends it again elsewhere.
    NeverRead,
    /// The connection ended after the proxy had had it for a while.
    Lost,
}

/// A backend that takes this long for each answer, on as many connections as there are.
fn slow_backend(takes: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while read_message(&mut reader).is_some() {
                    thread::sleep(takes);
                    if stream.write_all(&answer("200 OK", "", b"done")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A configuration whose classes have [`DEADLINE`].
fn hurried(name: &str, discovery: &Discovery) -> Value {
    let mut config = config(name, discovery);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["aimUs"] = 900_000.into();
        class["deadlineUs"] = 1_000_000.into();
    }
    config
}

fn text(class: &str, id: &str, body: &str) -> String {
    request(class, id, body).replace("X-Time-Left-Ms: 15000", "X-Time-Left-Ms: 1000")
}

/// Waits until this long after `since`.
fn at(since: Instant, after: Duration) {
    thread::sleep(after.saturating_sub(since.elapsed()));
}

/// Whether the proxy has closed this connection by now.
fn is_closed(client: &Client) -> bool {
    client.stream.set_nonblocking(true).expect("an option");
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).expect("an option");
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// What comes of a request whose last byte has just been written.
fn fate(client: &mut Client) -> Fate {
    let written = Instant::now();
    match read_message(&mut client.reader) {
        Some(seen) => Fate::Answered(seen.status()),
        None if written.elapsed() < CROSSED => Fate::NeverRead,
        None => Fate::Lost,
    }
}

/// Writes the pieces one after the other, each at its time after SIGTERM, and gives what came of the request, or
/// nothing where the connection was closed before its last byte.
fn send_at(client: &mut Client, term: Instant, pieces: &[(u64, String)]) -> Option<Fate> {
    for (ms, piece) in pieces {
        at(term, Duration::from_millis(*ms));
        if is_closed(client) || client.stream.write_all(piece.as_bytes()).is_err() {
            return None;
        }
    }
    Some(fate(client))
}

/// Clients on connections that are open at SIGTERM, one for each of these schedules, up to SIGKILL.
fn across_sigterm(proxy: &mut Proxy, schedules: Vec<Vec<(u64, String)>>) -> Vec<Option<Fate>> {
    let clients = connected(proxy, schedules.len());
    until_killed(proxy, clients, schedules)
}

/// Clients that have had an answer and keep their connections.
fn connected(proxy: &Proxy, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.ask(crate::UP).status(), 200));
    clients
}

fn until_killed(
    proxy: &mut Proxy,
    clients: Vec<Client>,
    schedules: Vec<Vec<(u64, String)>>,
) -> Vec<Option<Fate>> {
    proxy.terminate();
    let term = Instant::now();
    let scheduled = clients.into_iter().zip(schedules);
    let running = scheduled
        .map(|(mut client, pieces)| thread::spawn(move || send_at(&mut client, term, &pieces)))
        .collect::<Vec<_>>();
    at(term, KILL);
    let _ = proxy.child.kill();
    running.into_iter().map(|client| client.join().expect("a client")).collect()
}

/// A proxy with hurried classes and backends that take this long.
fn start(name: &str, takes: Duration) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    // So many that the start's limits hold nothing up.
    let members: Vec<_> =
        (0..40).map(|n| entry(&format!("s-{n}"), slow_backend(takes), "active", 0)).collect();
    let proxy = Proxy::start_with(name, hurried(name, &discovery));
    discovery.post(true, &members);
    (proxy, discovery)
}

fn none_is_lost(fates: &[Option<Fate>]) {
    let lost: Vec<_> = fates.iter().enumerate().filter(|(_, fate)| **fate == Some(Fate::Lost)).collect();
    assert!(lost.is_empty(), "taken and not answered: {lost:?} of {fates:?}");
    let answered = fates.iter().filter(|fate| matches!(fate, Some(Fate::Answered(_)))).count();
    assert!(answered > 0, "some were taken: {fates:?}");
}

/// One request each on kept connections, every 40 ms from the signal on.
fn every_40_ms(class: &str) -> Vec<Vec<(u64, String)>> {
    (0..40).map(|n| vec![(n * 40, text(class, &format!("late-{class}-{n}"), "x"))]).collect()
}

/// The process ended half a second after the longest deadline, under a request that had come after 0.5 s.
#[test]
fn no_request_on_a_connection_that_stays_open_is_without_its_answer() {
    let (mut proxy, _discovery) = start("stays-open", Duration::from_millis(850));
    none_is_lost(&across_sigterm(&mut proxy, every_40_ms("charge")));
}

/// Answers that are due after the end: what can't be finished is given up while there is time to say so.
#[test]
fn what_cannot_be_finished_by_the_end_is_given_up_in_time() {
    let (mut proxy, _discovery) = start("never-ends", Duration::from_secs(30));
    let fates = across_sigterm(&mut proxy, every_40_ms("read"));
    none_is_lost(&fates);
    assert!(!fates.contains(&Some(Fate::Answered(200))), "{fates:?}");
}

/// The body's first half comes before the signal, its second at any time after it, or not at all.
#[test]
fn a_body_in_pieces_across_the_signal_is_answered_whenever_it_is_whole() {
    let (mut proxy, _discovery) = start("pieces", Duration::from_millis(850));
    let pieces = |n: u64| {
        let whole = text("charge", &format!("pieces-{n}"), "0123456789");
        let (first, second) = whole.split_at(whole.len() - 5);
        vec![(0, first.to_owned()), (n * 40, second.to_owned())]
    };
    let mut schedules: Vec<_> = (1..40).map(pieces).collect();
    // One whose rest never comes is told to go before SIGKILL.
    schedules.push(pieces(1)[..1].to_vec());
    let fates = across_sigterm(&mut proxy, schedules);
    none_is_lost(&fates);
    assert!(matches!(fates[39], Some(Fate::Answered(400..))), "{fates:?}");
}

/// A large body that passes through and is whole after the signal: a server has its request, so that the end of the
/// process must not call it harmless to send again.
#[test]
fn a_large_body_that_a_server_has_whole_is_never_refused_at_the_end() {
    let (mut proxy, _discovery) = start("large-whole", Duration::from_secs(30));
    let whole = text("charge", "large", &"x".repeat(100_000));
    let (first, second) = whole.split_at(whole.len() - 5);
    let fates = across_sigterm(&mut proxy, vec![vec![(0, first.to_owned()), (600, second.to_owned())]]);
    assert_eq!(fates, [Some(Fate::Answered(502))]);
}

/// Two requests in one write: the second is answered, or the first answer says that the connection closes.
#[test]
fn of_two_requests_in_one_write_the_second_is_answered_or_told_to_go() {
    let (proxy, _discovery) = start("pipelined", Duration::from_millis(300));
    let mut client = proxy.client();
    client.send(&(text("charge", "first", "x") + &text("charge", "second", "x")));
    proxy.terminate();
    let first = client.receive();
    assert_eq!(first.status(), 200);
    if first.header("connection") == Some("close") {
        assert!(client.ends_cleanly());
    } else {
        assert_eq!(client.receive().status(), 200);
    }
}

/// While a successor takes the new clients, those of the old process are answered there.
#[test]
fn beside_a_successor_the_old_process_answers_all_it_has_taken() {
    let discovery = Discovery::start();
    let members: Vec<_> = (0..40)
        .map(|n| entry(&format!("s-{n}"), slow_backend(Duration::from_millis(850)), "active", 0))
        .collect();
    let mut config = hurried("succeeded", &discovery);
    config["admin_addr"] = "127.0.0.1:0".into();
    let mut old = Proxy::start_with("succeeded", config.clone());
    discovery.post(true, &members);
    config["listen"] = old.address.to_string().into();
    // The clients are connected before there is anybody else who would take them.
    let schedules = every_40_ms("charge");
    let clients = connected(&old, schedules.len());
    let next = Proxy::start_with("succeeded", config);
    while !next.call("status").starts_with("200") {
        discovery.post(true, &members);
    }
    let fates = until_killed(&mut old, clients, schedules);
    none_is_lost(&fates);
    assert_eq!(next.client().ask(crate::UP).status(), 200);
}

/// A connection that came in after the signal and is silent does not hold the end up, and is closed cleanly.
#[test]
fn a_connection_without_a_request_is_closed_before_the_end() {
    let (proxy, _discovery) = start("silent", Duration::from_millis(10));
    proxy.terminate();
    let term = Instant::now();
    let mut client = proxy.client();
    let mut byte = [0];
    assert!(matches!(client.reader.read(&mut byte), Ok(0)));
    assert!(term.elapsed() < KILL + DEADLINE, "closed after {:?}", term.elapsed());
}

/// What comes of a request that is out when the process is told to end, and of whatever its client sends after it on
/// the same connection for as long as that stays open; the bytes `behind` are the first of those, and were written
/// with the request.
fn goes_on(client: &mut Client, term: Instant, behind: &str) -> Vec<Fate> {
    let mut fates =
        vec![read_message(&mut client.reader).map_or(Fate::Lost, |seen| Fate::Answered(seen.status()))];
    let mut rest = with_fresh_id(&text("charge", "goes-on", "0123456789")).split_off(behind.len());
    while term.elapsed() < KILL && !is_closed(client) && client.stream.write_all(rest.as_bytes()).is_ok() {
        fates.push(fate(client));
        rest = with_fresh_id(&text("charge", &format!("goes-on-{}", fates.len()), "0123456789"));
    }
    fates
}

/// Sends these requests, with half a line behind each or not, waits for `begun`, and has the process end; each client
/// goes on up to SIGKILL.
fn ends_with(proxy: &mut Proxy, requests: &[String], begun: impl FnOnce()) -> Vec<Vec<Fate>> {
    let lines = ["", "POST /charge?key=7f3a HT"];
    let asked = lines.iter().flat_map(|behind| requests.iter().map(move |request| (request, *behind)));
    let clients = asked.map(|(request, behind)| {
        let mut client = proxy.client();
        client.send(&format!("{}{behind}", with_fresh_id(request)));
        (client, behind)
    });
    let clients: Vec<_> = clients.collect();
    // Answers on other connections show that the proxy has seen what came before them.
    assert_eq!(proxy.client().ask(crate::UP).status(), 200);
    begun();
    proxy.terminate();
    let term = Instant::now();
    let clients = clients
        .into_iter()
        .map(|(mut client, behind)| thread::spawn(move || goes_on(&mut client, term, behind)));
    let clients: Vec<_> = clients.collect();
    at(term, KILL);
    let _ = proxy.child.kill();
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

fn all_are_answered(state: &str, fates: &[Vec<Fate>]) {
    for fates in fates {
        assert!(matches!(fates[0], Fate::Answered(_)), "{state}: what was out has no answer: {fates:?}");
        assert!(!fates.contains(&Fate::Lost), "{state}: what came after it is lost: {fates:?}");
    }
}

fn hurried_with(name: &str, members: &[Value]) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    let proxy = Proxy::start_with(name, hurried(name, &discovery));
    discovery.post(true, members);
    (proxy, discovery)
}

/// A lone server that hangs holds all its room, so that what else comes is held, or refused when it has waited.
#[test]
fn requests_that_are_held_at_the_signal_are_answered() {
    let hangs = Backend::start(|_| Reply::Hang);
    let (mut proxy, _discovery) = hurried_with("ends-held", &[entry("s-1", hangs.address, "active", 0)]);
    let requests: Vec<_> = (0..2 * crate::ROOM).map(|n| text("charge", &format!("held-{n}"), "x")).collect();
    let fates = ends_with(&mut proxy, &requests, || (0..crate::ROOM).for_each(|_| _ = hangs.next()));
    all_are_answered("held", &fates);
}

/// Connections to the server neither come up nor fail.
#[test]
fn requests_whose_connection_is_coming_up_at_the_signal_are_answered() {
    let (listener, _filler) = full_queue();
    let address = listener.local_addr().expect("an address");
    let (mut proxy, _discovery) = hurried_with("ends-dialling", &[entry("s-1", address, "active", 0)]);
    let fates =
        ends_with(&mut proxy, &[text("charge", "dialling", "x"), text("read", "dialling-2", "")], || ());
    all_are_answered("dialling", &fates);
}

/// One server turns the first attempt away after the signal; the next one goes to another, which hangs, or answers.
#[test]
fn requests_between_two_attempts_at_the_signal_are_answered() {
    for second in [|| Reply::Hang, || ok("second")] {
        let (word, first) = std::sync::mpsc::channel();
        let mut first = Some(first);
        let script = move |_: &Seen| match first.take() {
            Some(word) => {
                let away = answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", b"");
                Reply::After(word, Box::new(Reply::Write(away)))
            }
            None => second(),
        };
        let script = std::sync::Arc::new(std::sync::Mutex::new(script));
        let backends = [0; 2].map(|_| {
            let script = std::sync::Arc::clone(&script);
            Backend::start(move |seen| script.lock().expect("a script")(seen))
        });
        let members = [0, 1].map(|n| entry(&format!("s-{n}"), backends[n].address, "active", 0));
        let (mut proxy, _discovery) = hurried_with("ends-between", &members);
        let fates = ends_with(&mut proxy, &[text("charge", "between", "x")], || {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(100));
                word.send(())
            });
        });
        all_are_answered("between attempts", &fates);
    }
}

/// A request that is safe to repeat hangs at its server, so that a second copy of it is due when the signal comes.
#[test]
fn requests_with_a_second_copy_due_at_the_signal_are_answered() {
    let mut seen = 0;
    let backend = Backend::start(move |_| {
        seen += 1;
        if seen > 20 && seen % 2 == 1 { Reply::Hang } else { ok("fine") }
    });
    let members: Vec<_> = (0..8).map(|n| entry(&format!("s-{n}"), backend.address, "active", 0)).collect();
    let (mut proxy, _discovery) = hurried_with("ends-copied", &members);
    // Enough answers that a copy is worth its while.
    (0..20)
        .for_each(|n| assert_eq!(proxy.client().ask(&text("read", &format!("warm-{n}"), "")).status(), 200));
    let requests: Vec<_> = (0..3).map(|n| text("read", &format!("copied-{n}"), "")).collect();
    all_are_answered("second copy", &ends_with(&mut proxy, &requests, || ()));
}

/// Half of a large body has gone out to a server when the signal comes; the rest follows, or never does.
#[test]
fn an_upload_half_sent_at_the_signal_is_answered() {
    let (mut proxy, _discovery) = start("ends-upload", Duration::from_millis(300));
    let pieces = |n: u64| {
        let whole = text("charge", &format!("upload-{n}"), &"x".repeat(200_000));
        let (first, second) = whole.split_at(120_000);
        vec![(0, first.to_owned()), (n * 140, second.to_owned())]
    };
    let mut schedules: Vec<_> = (1..12).map(pieces).collect();
    schedules.push(vec![pieces(12).swap_remove(0)]);
    let fates = across_sigterm(&mut proxy, schedules);
    none_is_lost(&fates);
    assert!(matches!(fates[11], Some(Fate::Answered(400..))), "its rest never came: {fates:?}");
}

/// A process that starts while discovery is down, says nothing, or has too many callers serves from the list that it
/// is started with; one that was given none is not up.
#[test]
fn a_restarted_process_takes_clients_whatever_discovery_does() {
    let refuses = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let (silent, _filler) = full_queue();
    let turns_away = Backend::start(|_| Reply::Write(answer("503 Service Unavailable", "", b"")));
    let addresses = [refuses, silent.local_addr().expect("an address"), turns_away.address];
    let backend = Backend::start(|_| ok("there"));
    let nowhere = Discovery::start();
    for mode in ["pushed", "on_request"] {
        for (n, discovery) in addresses.iter().enumerate() {
            let name = format!("starts-{mode}-{n}");
            let mut config = hurried(&name, &nowhere);
            config["discovery"] = discovery.to_string().into();
            config["settings"]["membershipMode"] = mode.into();
            let began = Instant::now();
            let unknowing = Proxy::start_with(&name, config.clone());
            assert_eq!(unknowing.client().ask(crate::UP).status(), 503, "{name}");
            let members = [entry("s-1", backend.address, "active", 0)];
            config["known"] = serde_json::json!({"revision": 41, "complete": true, "members": members});
            let mut proxy = Proxy::start_with(&name, config.clone());
            assert_eq!(proxy.client().ask(crate::UP).status(), 200, "{name}");
            proxy.child.kill().expect("it runs");
            proxy.wait();
            config["listen"] = proxy.address.to_string().into();
            let again = Proxy::start_with(&name, config);
            assert_eq!(again.client().ask(crate::UP).status(), 200, "{name}");
            assert_eq!(again.client().ask(&text("charge", "1", "x")).body, b"there", "{name}");
            assert!(began.elapsed() < Duration::from_secs(10), "{name}: {:?}", began.elapsed());
        }
    }
}

/// Every seat is taken by a hung request, and more clients wait at the door and come again whenever they are closed.
#[test]
fn at_the_signal_with_every_seat_taken_what_is_out_is_answered() {
    let hangs = Backend::start(|_| Reply::Hang);
    let members: Vec<_> = (0..40).map(|n| entry(&format!("s-{n}"), hangs.address, "active", 0)).collect();
    let discovery = Discovery::start();
    let mut config = hurried("ends-full", &discovery);
    config["limits"]["sockets"] = 64.into();
    let mut proxy = Proxy::start_within(64, "ends-full", config);
    discovery.post(true, &members);
    let crowd = crate::descriptors::Silent::crowd(60, proxy.address);
    let requests: Vec<_> = (0..8).map(|n| text("charge", &format!("full-{n}"), "x")).collect();
    let fates = ends_with(&mut proxy, &requests, || ());
    drop(crowd);
    for fates in &fates {
        assert!(matches!(fates[0], Fate::Answered(_)), "{fates:?}");
        assert!(!fates.contains(&Fate::Lost), "{fates:?}");
    }
}
