//! Peers that send the body of a request in very small chunks, all at once, and never end it.
#[path = "../stand_in.rs"]
mod stand_in;
use stand_in::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
/// What the proxies of two of the three reports were given (REPORTS, case3576 and case1723).
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 384;
/// Under a third of the 128 connections that clients may have here (TERMS).
const PEERS: usize = 40;
/// No more than the 64 KiB of the protocol's bodies.
const BODY: usize = 65_535;
const WATCHED: Duration = Duration::from_secs(20);

/// A body in chunks of this size, without the last chunk.
fn chunks(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(vec![b'c'; size]);
    chunk.extend(b"\r\n");
    chunk.repeat(BODY / size)
}

fn main() {
    begin();
    let backends: Vec<_> =
        (0..BACKENDS).map(|i| Backend::start(&format!("s-{i}"), Duration::from_millis(20))).collect();
    let members: Vec<_> =
        backends.iter().map(|b| member(&b.id, b.address, "sala-catania", 0, "active", 0)).collect();
    let discovery = Discovery::start(members.clone());
    let listen = free_address();
    let setup = Setup {
        name: "n0".into(), me: 0, listen, discovery: discovery.address, admin: None, memory_mb: MEMORY_MB, sockets: SOCKETS,
        balancers: 2, members,
    };
    let mut proxy = Process::proxy("n0", &setup.config(), &[]);
    wait_up(listen);
    thread::sleep(Duration::from_millis(500));
    say(&format!("memory at rest: {} MB", proxy.memory_mb()));

    // An honest client, one request after the other.
    let (stop, served, cut) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let honest = {
        let (stop, served, cut) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&cut));
        thread::spawn(move || {
            let mut stream = connect(listen);
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("honest-{n}");
                let sent = stream.write_all((head("salva-domanda", &id, "", 1_500, 4) + "step").as_bytes());
                match answer(&stream, Instant::now() + Duration::from_secs(8)) {
                    Came::Whole(status, _) if sent.is_ok() => {
                        say(&format!("client: {id} answered {status}"));
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    other => {
                        say(&format!("client: {id} got no answer: {other:?}"));
                        cut.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    thread::sleep(Duration::from_secs(1));

    let began = Instant::now();
    let peers: Vec<_> = (0..PEERS)
        .map(|i| {
            thread::spawn(move || {
                let (size, id) = (if trouble() { 1 } else { 8_191 }, format!("peer-{i}"));
                let mut all = head("salva-domanda", &id, "", 1_500, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked").into_bytes();
                all.extend(chunks(size));
                if !trouble() {
                    all.extend(b"0\r\n\r\n");
                }
                let mut stream = connect(listen);
                let sent = stream.write_all(&all);
                say(&format!("{id}: {} bytes in chunks of {size}, {} on the wire: {}", BODY / size * size, all.len(), if sent.is_ok() { "sent" } else { "the connection ended" }));
                let came = answer(&stream, began + WATCHED);
                say(&format!("{id}: {} {:.3} s after it connected", match &came {
                    Came::Whole(s, _) => format!("answered {s}"), other => format!("{other:?}") }, began.elapsed().as_secs_f64()));
            })
        })
        .collect();

    // The platform: over `memory_mb` the proxy is killed.
    let (mut most, mut killed) = (0, None);
    while began.elapsed() < WATCHED && killed.is_none() && !(0..PEERS).all(|i| peers[i].is_finished()) {
        let now = proxy.memory_mb();
        if now > most + 10 {
            say(&format!("memory: {now} MB"));
        }
        most = most.max(now);
        if now > MEMORY_MB.into() {
            killed = Some(began.elapsed());
            say(&format!("the platform: {now} MB are over `memory_mb` = {MEMORY_MB}: the proxy is killed"));
            proxy.signal(SIGKILL);
            proxy.wait(Duration::from_secs(2));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let ended_by_itself = killed.is_none() && proxy.has_ended();
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::SeqCst);
    let _ = honest.join();
    say(&format!("honest requests: {} answered, {} cut off; most memory {most} MB", served.load(Ordering::SeqCst), cut.load(Ordering::SeqCst)));
    proxy.say_log();
    match killed {
        Some(after) => end(BROKEN, &format!("{PEERS} peers had the proxy killed for memory after {:.2} s, at {most} MB of {MEMORY_MB}", after.as_secs_f64())),
        None if ended_by_itself => end(COULD_NOT_RUN, "the proxy ended"),
        None => end(HELD, &format!("the proxy stayed within its memory: {most} MB of {MEMORY_MB} at the most")),
    }
}
