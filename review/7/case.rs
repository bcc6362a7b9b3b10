//! A spoilt answer that never ends: does the client get a final answer, or an end that it can tell, in time?
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One answer in so many of one backend of three never ends.
const ONE_IN: u64 = 4;
const CLIENTS: usize = 4;
const SECONDS: u64 = 8;
const TIME_LEFT_MS: u64 = 1_500;
/// Half a second after its time (STANDING), and the 50 ms of the protocol page.
const SLACK_MS: u64 = 550;
/// How long a client stays to see what comes.
const STAYS: Duration = Duration::from_secs(20);

/// What came of a request: when its answer or the connection ended, if it did, and how.
struct Outcome {
    ended: Option<Duration>,
    how: String,
}

/// Sends a request and reads up to the end of the answer, whatever its framing.
fn one(listen: SocketAddr, text: &str) -> std::io::Result<Outcome> {
    let mut stream = connect(listen)?;
    stream.write_all(text.as_bytes())?;
    let sent = Instant::now();
    stream.set_read_timeout(Some(ms(100)))?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    while sent.elapsed() < STAYS {
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(Outcome { ended: Some(sent.elapsed()), how: "the connection was ended".into() }),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => return Ok(Outcome { ended: Some(sent.elapsed()), how: format!("the connection broke: {e}") }),
        }
        let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
        let status = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let length = text.split("content-length:").nth(1).and_then(|l| l.split("\r\n").next()?.trim().parse::<usize>().ok());
        let whole = match length {
            Some(length) => bytes.len() >= head + 4 + length,
            None => bytes.ends_with(b"0\r\n\r\n"),
        };
        if whole {
            return Ok(Outcome { ended: Some(sent.elapsed()), how: format!("answered {status}") });
        }
    }
    let how = format!("no end within {STAYS:?}, {} bytes came, the connection is open", bytes.len());
    Ok(Outcome { ended: None, how })
}

fn main() {
    let lab = Lab::new("7");
    let endless = Arc::new(AtomicU64::new(0));
    let mut members = Vec::new();
    for name in ["s-1", "s-2", "s-3"] {
        let (endless, count, lab) = (Arc::clone(&endless), AtomicU64::new(0), Arc::clone(&lab));
        let address = serve(0, move |stream: &mut TcpStream| {
            let mut buffer = Vec::new();
            while let Some(request) = read_request(stream, &mut buffer)? {
                let id = request.header("x-correlation-id").to_owned();
                lab.say(&format!("run: {id} at {name}"));
                thread::sleep(ms(40));
                let spoilt = name == "s-3" && count.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1;
                if !spoilt || !trouble() {
                    answer(stream, "200 OK", &format!("done {id} by {name}"))?;
                    continue;
                }
                endless.fetch_add(1, Ordering::Relaxed);
                lab.say(&format!("{name}: the answer to {id} never ends"));
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                let piece = |n: usize| format!("{n:x}\r\n{}\r\n", "x".repeat(n));
                stream.write_all(piece(10 * 1024).as_bytes())?;
                loop {
                    thread::sleep(ms(300));
                    if let Err(error) = stream.write_all(piece(50).as_bytes()) {
                        lab.say(&format!("{name}: the proxy has ended the connection of {id}: {error}"));
                        return Err(error);
                    }
                }
            }
            Ok(())
        });
        members.push(Member::new(name, address));
    }
    let discovery = Discovery::start(members.clone());
    let proxy = Proxy::new("n0");
    let known = list_json(1, true, &members);
    let config = lab.file("config.json", &proxy.config(discovery.address, &known, &settings(0, 1)));
    lab.proxy("n0", &config, &lab.tmp.join("t"), &[]);
    lab.need(wait_for(Duration::from_secs(20), || is_up(proxy.listen)), "the proxy is up");
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let (asked, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (lab, asked, lost, listen) = (Arc::clone(&lab), Arc::clone(&asked), Arc::clone(&lost), proxy.listen);
            thread::spawn(move || {
                while Instant::now() < until {
                    let id = fresh();
                    let class = if id.ends_with(['0', '8']) { "conferma-posto" } else { "salva-domanda" };
                    lab.say(&format!("sent: {id} {class}"));
                    let Ok(outcome) = one(listen, &request_text(class, &id, TIME_LEFT_MS)) else { continue };
                    lab.say(&format!("ended: {id}: {}", outcome.how));
                    asked.fetch_add(1, Ordering::Relaxed);
                    let in_time = outcome.ended.is_some_and(|at| at <= ms(TIME_LEFT_MS + SLACK_MS));
                    if !in_time {
                        let at = outcome.ended.map_or("-".to_owned(), |at| format!("{at:?}"));
                        lab.say(&format!("LOST: request {id} of {class}: {}, after {at}", outcome.how));
                        lost.lock().unwrap().push(id);
                    } else if !outcome.how.ends_with("200") {
                        lab.say(&format!("request {id} of {class}: {} after {:?}", outcome.how, outcome.ended));
                    }
                    thread::sleep(ms(10));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let (asked, lost) = (asked.load(Ordering::Relaxed), lost.lock().unwrap().len());
    let endless = endless.load(Ordering::Relaxed);
    lab.say(&format!("requests {asked}, answers without end {endless}, requests without an end in time {lost}"));
    lab.need(asked > 10, "clients asked");
    lab.finish(if lost > 0 { 1 } else { 0 })
}
