//! Servers whose answers never end: the client learns of it in its time.

use crate::rig::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What each client waits for its answer.
const WAIT: Duration = Duration::from_millis(1_500);
/// How much later than that a request is lost that has no final answer (STANDING), and the slack of sockets (PROTOCOL).
const LATE_BY: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
/// The largest answer of which the last byte is timed, in bytes.
const SMALL: usize = 64 * 1024;

/// How an answer without a length goes on for ever.
#[derive(Clone, Copy)]
struct Endless {
    name: &'static str,
    /// Where it has chunks; the others end with their connection.
    is_chunked: bool,
    /// How long the server takes before it begins.
    before: Duration,
    /// What comes at once, in bytes.
    begins_with: usize,
    /// What comes then, in bytes, again and again with this pause; 0: nothing more.
    goes_on_with: usize,
    every: Duration,
}

const TRICKLE: Endless = Endless {
    name: "trickle",
    is_chunked: true,
    before: Duration::from_millis(40),
    begins_with: 10 * 1024,
    goes_on_with: 50,
    every: Duration::from_millis(300),
};

const FORMS: [Endless; 7] = [
    TRICKLE,
    Endless { name: "trickle-to-the-close", is_chunked: false, ..TRICKLE },
    Endless { name: "trickle-of-bytes", goes_on_with: 1, every: Duration::from_millis(20), ..TRICKLE },
    Endless { name: "faster-trickle", goes_on_with: 500, every: Duration::from_millis(100), ..TRICKLE },
    Endless { name: "large-beginning", begins_with: SMALL - 2_048, ..TRICKLE },
    Endless { name: "late-beginning", before: Duration::from_millis(1_350), ..TRICKLE },
    Endless { name: "falls-silent", goes_on_with: 0, ..TRICKLE },
];

impl Endless {
    fn piece(self, length: usize) -> Vec<u8> {
        let text = "e".repeat(length);
        if self.is_chunked { format!("{length:x}\r\n{text}\r\n").into_bytes() } else { text.into_bytes() }
    }

    fn write(self, mut stream: TcpStream) -> Option<()> {
        read_message(&mut BufReader::new(stream.try_clone().ok()?))?;
        thread::sleep(self.before);
        let framing = if self.is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).ok()?;
        stream.write_all(&self.piece(self.begins_with)).ok()?;
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            thread::sleep(self.every);
            if self.goes_on_with > 0 {
                stream.write_all(&self.piece(self.goes_on_with)).ok()?;
            }
        }
        Some(())
    }

    fn server(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            listener.incoming().flatten().for_each(|stream| _ = thread::spawn(move || self.write(stream)));
        });
        address
    }

    /// Asks for one such answer: the connection has to end within this time, and the answer must not look whole.
    fn ends_within(self, most: Duration) {
        let name = self.name;
        let discovery = Discovery::start();
        let proxy =
            Proxy::start(&format!("endless-{name}"), &discovery, &[entry("s-1", self.server(), "active", 0)]);
        let mut client = proxy.client();
        let text = request("charge", name, "x").replace("15000", &WAIT.as_millis().to_string());
        client.send(&text.replace("Host:", "Connection: close\r\nHost:"));
        let sent = Instant::now();
        let text = read_to_the_end(&mut client, sent + most);
        let text = text.unwrap_or_else(|came| panic!("{name}: no end after {most:?}, {came} bytes came"));
        let is_failure = text.starts_with(b"HTTP/1.1 502");
        assert!(
            is_failure || !text.ends_with(b"\r\n0\r\n\r\n"),
            "{name}: an answer that never ended looks whole"
        );
    }
}

/// What comes until the connection ends.
///
/// # Errors
/// How many bytes have come by `until`, where it has not ended then.
fn read_to_the_end(client: &mut Client, until: Instant) -> Result<Vec<u8>, usize> {
    let (mut text, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(text.len());
        }
        client.stream.set_read_timeout(Some(left)).expect("a time-out");
        match client.reader.read(&mut buffer) {
            Ok(0) => return Ok(text),
            Ok(read) => text.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(text.len()),
            // A reset is an end as well.
            Err(_) => return Ok(text),
        }
    }
}

/// Ten KiB were taken for the beginning of a large answer, and from then on any byte in half a second kept it going.
#[test]
fn an_answer_that_never_ends_leaves_no_client_without_an_end() {
    let most = WAIT + LATE_BY + SLACK;
    thread::scope(|scope| FORMS.into_iter().for_each(|form| _ = scope.spawn(move || form.ends_within(most))));
}

/// Beyond 64 KiB only the first bytes are timed: what trickles then kept its client and a permit for minutes.
#[test]
fn a_large_answer_that_hardly_goes_on_ends() {
    Endless { name: "large", begins_with: SMALL + 4_096, ..TRICKLE }.ends_within(PATIENCE);
}
