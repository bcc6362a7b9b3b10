//! Servers that read large requests slowly, or not to their end, and that write long answers slowly.

use crate::rig::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What each client waits for its answer.
const WAIT: Duration = Duration::from_millis(700);
/// How much later than that a final answer may be before the request is lost (STANDING).
const LATE_BY: Duration = Duration::from_millis(500);
/// What a server's socket holds of a request, in bytes.
const SERVER_BUFFER: usize = 4_096;
/// What a client's socket takes at once, in bytes: its last byte is written long before a server has it.
const CLIENT_BUFFER: usize = 2 << 20;
/// A large request, in bytes.
const LARGE: usize = 600_000;

/// What a server does with the bytes of a request.
#[derive(Clone, Copy)]
enum Reads {
    /// So many bytes, and then no more.
    UpTo(usize),
    /// So many bytes a second.
    Slowly(usize),
}

fn small_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // Connections have the buffer of their listener.
    socket.set_recv_buffer_size(SERVER_BUFFER).expect("an option");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(64).expect("it listens");
    socket.into()
}

/// Reads for as long as bytes come, and never answers before they are all there.
fn read_as(mut stream: TcpStream, reads: Reads) {
    let mut buffer = [0; 2_000];
    let mut read = 0;
    loop {
        if let Reads::UpTo(most) = reads
            && read >= most
        {
            return thread::sleep(PATIENCE);
        }
        match stream.read(&mut buffer) {
            Ok(got @ 1..) => read += got,
            _ => return,
        }
        if let Reads::Slowly(rate) = reads {
            thread::sleep(Duration::from_secs_f64(buffer.len() as f64 / rate as f64));
        }
    }
}

fn slow_server(reads: Reads) -> SocketAddr {
    let listener = small_listener();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            thread::spawn(move || read_as(stream, reads));
        }
    });
    address
}

/// A large request in each form of HTTP.
fn large(class: &str, id: &str, is_chunked: bool) -> String {
    let wait = WAIT.as_millis().to_string();
    if !is_chunked {
        return request(class, id, &"l".repeat(LARGE)).replace("15000", &wait);
    }
    let head = request(class, id, "").replace("15000", &wait);
    let chunk = format!("1000\r\n{}\r\n", "l".repeat(4_096));
    head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
        + &chunk.repeat(LARGE / 4_096)
        + "0\r\n\r\n"
}

/// Sends a large request at once; its final answer has to come in its time.
fn answered_in_time(proxy: &Proxy, what: &str, text: &str) {
    let mut client = proxy.client();
    SockRef::from(&client.stream).set_send_buffer_size(CLIENT_BUFFER).expect("an option");
    let most = WAIT + LATE_BY;
    client.send(text);
    let sent = Instant::now();
    client.stream.set_read_timeout(Some(most)).expect("a time-out");
    let answer = read_message(&mut client.reader);
    let answer =
        answer.unwrap_or_else(|| panic!("{what}: no final answer {:?} after its last byte", sent.elapsed()));
    assert!(answer.status() >= 500, "{what}: {}", answer.head);
    assert!(sent.elapsed() < most, "{what}: answered {:?} after its last byte", sent.elapsed());
}

#[test]
fn a_large_request_that_its_server_reads_slowly_or_not_to_its_end_is_answered_in_its_time() {
    let ways = [
        ("stuck-early", Reads::UpTo(3_000)),
        ("stuck", Reads::UpTo(32_000)),
        ("slow", Reads::Slowly(93_000)),
    ];
    thread::scope(|scope| {
        for (name, reads) in ways {
            scope.spawn(move || {
                let discovery = Discovery::start();
                let server = slow_server(reads);
                let members = [entry("s-1", server, "active", 0), entry("s-2", server, "active", 0)];
                let proxy = Proxy::start(&format!("slow-servers-{name}"), &discovery, &members);
                for (class, is_chunked) in
                    [("charge", true), ("charge", false), ("submit", true), ("submit", false)]
                {
                    let id = format!("{name}-{class}-{is_chunked}");
                    answered_in_time(&proxy, &id, &large(class, &id, is_chunked));
                }
            });
        }
    });
}

/// A client's own time for its body is no time of the request, however long it takes.
#[test]
fn a_large_request_that_its_client_sends_slowly_is_served() {
    const PIECES: usize = 40;
    const PAUSE: Duration = Duration::from_millis(75);
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(&seen.body.len().to_string()));
    let proxy = Proxy::start("slow-client", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let body = "s".repeat(200_000);
    let text = request("charge", "slow-client", &body).replace("15000", &WAIT.as_millis().to_string());
    let mut client = proxy.client();
    for piece in text.as_bytes().chunks(text.len() / PIECES) {
        client.stream.write_all(piece).expect("the proxy reads");
        thread::sleep(PAUSE);
    }
    let answer = client.receive();
    assert_eq!((answer.status(), answer.body), (200, body.len().to_string().into_bytes()));
}

const PIECE: usize = 2_000;
const PIECES: usize = 100;

/// A server that waits, and then writes a long answer in small pieces.
fn slow_writer(wait: Duration, is_chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let write = move |mut stream: TcpStream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().ok()?);
        read_message(&mut reader)?;
        thread::sleep(wait);
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {}", PIECE * PIECES)
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).ok()?;
        for _ in 0..PIECES {
            let piece = "w".repeat(PIECE);
            let piece = if is_chunked { format!("{PIECE:x}\r\n{piece}\r\n") } else { piece };
            stream.write_all(piece.as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(50));
        }
        if is_chunked {
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        thread::sleep(PATIENCE);
        Some(())
    };
    thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| _ = thread::spawn(move || write(stream)));
    });
    address
}

/// What comes of an answer until its end, or until its connection ends; whether it was whole.
fn read_answer(client: &mut Client, is_chunked: bool) -> (usize, bool) {
    let head = read_head(&mut client.reader).expect("the head of an answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let (mut text, mut buffer) = (Vec::new(), [0; 16_384]);
    let is_whole = |text: &[u8]| {
        if is_chunked { text.ends_with(b"\r\n0\r\n\r\n") } else { text.len() == PIECE * PIECES }
    };
    while !is_whole(&text) {
        match client.reader.read(&mut buffer) {
            Ok(read @ 1..) => text.extend_from_slice(&buffer[..read]),
            _ => return (text.len(), false),
        }
    }
    (text.len(), true)
}

#[test]
fn a_long_answer_that_its_server_still_writes_slowly_is_not_cut_off() {
    thread::scope(|scope| {
        for is_chunked in [false, true] {
            for wait in [Duration::ZERO, WAIT - Duration::from_millis(150)] {
                scope.spawn(move || {
                    let name = format!("slow-writer-{is_chunked}-{}", wait.as_millis());
                    let discovery = Discovery::start();
                    let server = slow_writer(wait, is_chunked);
                    let proxy = Proxy::start(&name, &discovery, &[entry("s-1", server, "active", 0)]);
                    let mut client = proxy.client();
                    client
                        .send(&request("charge", &name, "x").replace("15000", &WAIT.as_millis().to_string()));
                    let (bytes, is_whole) = read_answer(&mut client, is_chunked);
                    assert!(is_whole, "{name}: cut off after {bytes} bytes");
                });
            }
        }
    });
}
