//! Clients that stop in the middle of a request and stay, more of them than there are connections for clients: all others
//! still get their answers.

use crate::rig::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The fewest descriptors that a proxy is given (TERMS); a third of them may be clients' connections.
const SOCKETS: usize = 256;
const HONEST: usize = 6;
/// What an honest client waits for its answer.
const WAIT: Duration = Duration::from_millis(1_500);
/// How much later than that a request is lost that has no final answer (STANDING), and the slack of sockets (PROTOCOL).
const LATE_BY: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
const LASTS: Duration = Duration::from_secs(6);

/// How a client stops.
#[derive(Clone, Copy)]
struct Stalls {
    name: &'static str,
    count: usize,
    /// What it sends at once.
    begins_with: &'static str,
    /// It sends a byte of a field each so often from then on; `None`: nothing more.
    drips: Option<Duration>,
    /// How soon it comes again when it is rid of.
    returns_after: Duration,
}

const HALF_A_HEAD: &str = "POST /submit HTTP/1.1\r\nHost: app.svc\r\nX-Corr";
const HALF_A_BODY: &str = "POST /charge?key=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: half\r\n\
    X-Service-Class: charge\r\nX-Time-Left-Ms: 15000\r\nContent-Length: 5000\r\n\r\nhalf";

const IN_A_HEAD: Stalls = Stalls {
    name: "head",
    count: 120,
    begins_with: HALF_A_HEAD,
    drips: None,
    returns_after: Duration::from_millis(500),
};

const FORMS: [Stalls; 5] = [
    IN_A_HEAD,
    Stalls { name: "head-at-once", count: 200, returns_after: Duration::ZERO, ..IN_A_HEAD },
    Stalls { name: "drips", drips: Some(Duration::from_millis(50)), ..IN_A_HEAD },
    Stalls { name: "body", begins_with: HALF_A_BODY, ..IN_A_HEAD },
    Stalls { name: "nothing", begins_with: "", ..IN_A_HEAD },
];

impl Stalls {
    fn run(self, proxy: SocketAddr, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            if let Ok(stream) = TcpStream::connect(proxy) {
                self.stay(stream, is_over);
            }
            thread::sleep(self.returns_after);
        }
    }

    /// Stays until the connection has ended.
    fn stay(self, mut stream: TcpStream, is_over: &AtomicBool) {
        let _ = stream.write_all(self.begins_with.as_bytes());
        let _ = stream.set_read_timeout(Some(self.drips.unwrap_or(Duration::from_millis(200))));
        while !is_over.load(Ordering::Relaxed) {
            match stream.read(&mut [0; 4_096]) {
                Ok(1..) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.drips.is_some() && stream.write_all(b"a").is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    }
}

/// What came of the requests of an honest client.
#[derive(Debug, Default)]
struct Outcomes {
    served: usize,
    failed: Vec<String>,
}

/// Asks again and again, each time on a new connection.
fn ask_steadily(number: usize, proxy: SocketAddr, until: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for count in 0.. {
        if Instant::now() >= until {
            break;
        }
        let Ok(stream) = TcpStream::connect(proxy) else { continue };
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
        let mut client = Client {
            stream,
            reader: std::io::BufReader::new(reader.get_ref().try_clone().expect("a clone")),
        };
        client.stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let text = request("charge", &format!("honest-{number}-{count}"), "x");
        client.send(&text.replace("15000", &WAIT.as_millis().to_string()));
        let sent = Instant::now();
        let answer = read_message(&mut reader);
        let elapsed = sent.elapsed();
        match answer {
            _ if elapsed >= WAIT + LATE_BY + SLACK => {
                outcomes.failed.push(format!("answered after {elapsed:?}"))
            }
            Some(seen) if seen.status() == 200 => outcomes.served += 1,
            Some(seen) => outcomes.failed.push(seen.head),
            None => outcomes.failed.push(format!("closed after {elapsed:?}")),
        }
        thread::sleep(Duration::from_millis(30));
    }
    outcomes
}

fn others_are_served(stalls: Stalls) {
    let name = format!("stalled-{}", stalls.name);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("served"));
    let mut config = config(&name, &discovery);
    config["limits"]["sockets"] = json!(SOCKETS);
    let proxy = Proxy::start_with(&name, config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let (address, is_over) = (proxy.address, AtomicBool::new(false));
    let outcomes: Vec<Outcomes> = thread::scope(|scope| {
        (0..stalls.count).for_each(|_| _ = scope.spawn(|| stalls.run(address, &is_over)));
        thread::sleep(Duration::from_millis(500));
        let until = Instant::now() + LASTS;
        let honest: Vec<_> =
            (0..HONEST).map(|number| scope.spawn(move || ask_steadily(number, address, until))).collect();
        let outcomes = honest.into_iter().map(|client| client.join().expect("a client")).collect();
        is_over.store(true, Ordering::Relaxed);
        outcomes
    });
    let served: usize = outcomes.iter().map(|outcomes| outcomes.served).sum();
    let failed: Vec<_> = outcomes.iter().flat_map(|outcomes| &outcomes.failed).collect();
    println!("{name}: {served} served, {} failed", failed.len());
    assert!(
        failed.is_empty(),
        "{name}: {} of {} requests failed: {:?}",
        failed.len(),
        served + failed.len(),
        failed[0]
    );
    assert!(served > 10 * HONEST, "{name}: only {served} requests in {LASTS:?}");
}

/// Half a head kept its place for 2.75 s: others waited unread, longer than their time.
#[test]
fn clients_that_stop_in_a_request_keep_no_others_from_their_answers() {
    FORMS.into_iter().for_each(others_are_served);
}
