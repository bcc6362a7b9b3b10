//! Many bad clients stop in the middle of a head and stay: does every other client's request get its final answer?
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bad clients. Each that was answered or closed comes again after `COMES_AGAIN`.
const BAD: usize = 120;
const COMES_AGAIN: Duration = Duration::from_millis(500);
/// The least number of descriptors that the pages give a proxy; a third of them may be clients' connections.
const SOCKETS: &str = "\"sockets\":256";
const CLIENTS: u64 = 6;
const SECONDS: u64 = 20;
const TIME_LEFT_MS: u64 = 1_500;
/// Half a second after its time (STANDING), and the 50 ms of the protocol page.
const SLACK_MS: u64 = 550;
/// How long a client stays to see what comes.
const STAYS: Duration = Duration::from_secs(6);

/// Reads until an answer with a length is whole, the connection has ended (`None`), or `until`.
fn read_answer(stream: &mut TcpStream, until: Instant) -> Result<Option<Message>, &'static str> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    let _ = stream.set_read_timeout(Some(ms(20)));
    while Instant::now() < until {
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Ok(None),
        }
        let mut rest = bytes.clone();
        let head = String::from_utf8_lossy(&rest).find("\r\n\r\n").map(|at| rest.drain(..at + 4).count());
        let Some(_) = head else { continue };
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let length = text.split("content-length:").nth(1).and_then(|l| l.split("\r\n").next()?.trim().parse::<usize>().ok());
        if length.is_some_and(|length| rest.len() >= length) {
            let line = text.split("\r\n").next().unwrap_or_default().to_owned();
            return Ok(Some(Message { line, body: rest, ..Message::default() }));
        }
    }
    Err("no answer and no end")
}

fn bad_client(lab: &Lab, listen: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        if let Ok(mut stream) = connect(listen) {
            let began = Instant::now();
            let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
            let _ = stream.write_all(b"POST /salva-domanda HTTP/1.1\r\nHost: iscr-web.svc\r\nX-Corr");
            while let Ok(1..) = stream.read(&mut [0; 4096]) {}
            lab.say(&format!("a bad client was rid of {:.3} s after it connected", began.elapsed().as_secs_f64()));
        }
        thread::sleep(COMES_AGAIN);
    }
}

fn main() {
    let lab = Lab::new("9");
    let backends: Vec<Backend> = ["s-1", "s-2", "s-3"].iter().map(|id| Backend::start(&lab, id, ms(20))).collect();
    let members: Vec<Member> = backends.iter().map(|b| Member::new(&b.id, b.address)).collect();
    let discovery = Discovery::start(members.clone());
    let proxy = Proxy::new("n0");
    let known = list_json(1, true, &members);
    let text = proxy.config(discovery.address, &known, &settings(0, 1)).replace("\"sockets\":1024", SOCKETS);
    let config = lab.file("config.json", &text);
    lab.proxy("n0", &config, &lab.tmp.join("t"), &[]);
    lab.need(wait_for(Duration::from_secs(20), || is_up(proxy.listen)), "the proxy is up");
    let listen = proxy.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    for _ in 0..if trouble() { BAD } else { 0 } {
        let (lab, stop) = (Arc::clone(&lab), Arc::clone(&stop));
        thread::spawn(move || bad_client(&lab, listen, &stop));
    }
    thread::sleep(ms(500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (lab, stop, counts) = (Arc::clone(&lab), Arc::clone(&stop), Arc::clone(&counts));
            thread::spawn(move || {
                let [served, others, closed, lost] = &*counts;
                thread::sleep(ms(i * 70));
                while !stop.load(Ordering::Relaxed) {
                    let id = fresh();
                    // A client without a connection opens one.
                    let Ok(mut stream) = connect(listen) else { continue };
                    let _ = stream.write_all(request_text("salva-domanda", &id, TIME_LEFT_MS).as_bytes());
                    let sent = Instant::now();
                    lab.say(&format!("sent: {id} salva-domanda"));
                    let got = read_answer(&mut stream, sent + STAYS);
                    let (after, late) = (sent.elapsed(), sent.elapsed() > ms(TIME_LEFT_MS + SLACK_MS));
                    let what = match &got {
                        Ok(Some(answer)) => answer.line.clone(),
                        Ok(None) => "the connection was closed with no answer".to_owned(),
                        Err(why) => (*why).to_owned(),
                    };
                    // The first request on a connection that is closed unread has failed and is not lost (TERMS).
                    let late = late && !matches!(got, Ok(None));
                    let mark = if late { "LOST" } else { "ended" };
                    lab.say(&format!("{mark}: {id}: {what} after {:.3} s", after.as_secs_f64()));
                    let count = match got {
                        _ if late => lost,
                        Ok(Some(answer)) if status_of(&answer) == 200 => served,
                        Ok(Some(_)) => others,
                        _ => closed,
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(ms(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(SECONDS));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let [served, others, closed, lost] = [0, 1, 2, 3].map(|i| counts[i].load(Ordering::Relaxed));
    lab.say(&format!("served {served}, refused or failed {others}, closed unread {closed}, without an answer in time {lost}"));
    lab.need(served + others + closed + lost > 10, "clients asked");
    lab.finish(if lost > 0 { 1 } else { 0 })
}
