//! Large bodies at the slowest pace that a client may have, and one more client whose body is there at once.
#[path = "../stand_in.rs"]
mod stand_in;
use stand_in::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 12;
/// The least that a proxy is given (TERMS).
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
/// Clients with a large body, at no less than 64 kB a second: with the others under a third of the descriptors.
const SLOW: usize = 66;
const LARGE: usize = 32_000_000;
/// Their pace in bytes a second, a little over the least.
const RATE: f64 = 70_000.0;
const LEAST_RATE: f64 = 64_000.0;
const PROBES: usize = 4;
const BODY: usize = 100_000;
const TIME_LEFT_MS: u32 = 1_500;
const LATE: Duration = Duration::from_millis(550);

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

    let (stop, refused) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let slow = if trouble() { SLOW } else { 0 };
    // Each gives how much of its body it wrote and how fast.
    let clients: Vec<_> = (0..slow)
        .map(|i| {
            let (stop, refused) = (Arc::clone(&stop), Arc::clone(&refused));
            thread::spawn(move || {
                // One comes after the other, over a second or two; one that is refused comes again.
                thread::sleep(Duration::from_millis(20 * i as u64));
                for tries in 1..=4 {
                    let mut stream = connect(listen);
                    let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
                    let id = format!("slow-{i}-{tries}");
                    stream.write_all(head("salva-domanda", &id, "", TIME_LEFT_MS, LARGE).as_bytes()).expect("the head");
                    let (began, mut written) = (Instant::now(), 0);
                    let answered = loop {
                        if stop.load(Ordering::SeqCst) {
                            break false;
                        }
                        let due = (RATE * (began.elapsed().as_secs_f64() + 0.1)) as usize;
                        let piece = due.min(LARGE).saturating_sub(written);
                        if stream.write_all(&vec![b's'; piece]).is_err() {
                            break true;
                        }
                        written += piece;
                        thread::sleep(Duration::from_millis(100));
                        let _ = stream.set_nonblocking(true);
                        let answered = stream.peek(&mut [0]).is_ok();
                        let _ = stream.set_nonblocking(false);
                        if answered {
                            break true;
                        }
                    };
                    let rate = written as f64 / began.elapsed().as_secs_f64();
                    say(&format!("slow client: {id}: {written} of {LARGE} bytes written, {rate:.0} a second"));
                    if !answered {
                        return rate;
                    }
                    let came = answer(&stream, Instant::now() + Duration::from_secs(1));
                    let (Came::Whole(status, _) | Came::Closed(status, _) | Came::Nothing(status, _)) = came;
                    say(&format!("slow client: {id} answered {status} before its body is through"));
                    refused.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(750));
                }
                f64::INFINITY
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let begun: usize = backends.iter().map(|b| b.traits.heads.load(Ordering::SeqCst)).sum();
    say(&format!("{begun} large bodies have begun at backends, {} answered early, memory {} MB", refused.load(Ordering::SeqCst), proxy.memory_mb()));

    let probes: Vec<_> = (0..PROBES)
        .map(|i| {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(500 * i as u64));
                let id = format!("probe-{i}");
                let mut stream = connect(listen);
                stream.write_all(head("salva-domanda", &id, "", TIME_LEFT_MS, BODY).as_bytes()).expect("the head");
                stream.write_all(&vec![b'p'; BODY]).expect("the body");
                let written = Instant::now();
                thread::sleep(Duration::from_millis(50));
                say(&format!("client: {id}: all {BODY} bytes written, {} not on the proxy's machine after 50 ms", not_taken(&stream)));
                let taken = not_taken(&stream) == 0;
                let came = answer(&stream, written + Duration::from_millis(TIME_LEFT_MS.into()) + LATE);
                let whole = matches!(came, Came::Whole(..));
                say(&format!("client: {id}: {} {:.3} s after its last byte", match &came {
                    Came::Whole(s, b) => format!("answered {s}, {} bytes,", b.len()),
                    other => format!("NO final answer ({other:?})"),
                }, written.elapsed().as_secs_f64()));
                if !whole {
                    let came = answer(&stream, written + Duration::from_secs(15));
                    say(&format!("client: {id}: {} {:.3} s after its last byte", match &came {
                        Came::Whole(s, _) => format!("answered {s}"), other => format!("still nothing ({other:?})"),
                    }, written.elapsed().as_secs_f64()));
                }
                (taken, whole)
            })
        })
        .collect();
    let came: Vec<_> = probes.into_iter().map(|p| p.join().expect("a probe")).collect();
    stop.store(true, Ordering::SeqCst);
    let slowest = clients.into_iter().map(|c| c.join().expect("a slow client")).fold(f64::INFINITY, f64::min);
    if slowest < LEAST_RATE {
        end(COULD_NOT_RUN, &format!("a client was slower than the pages allow: {slowest:.0} bytes a second"));
    }
    if proxy.has_ended() {
        proxy.say_log();
        end(COULD_NOT_RUN, "the proxy ended");
    }
    proxy.say_log();
    let taken = came.iter().filter(|(taken, _)| *taken).count();
    let lost = came.iter().filter(|(taken, whole)| *taken && !whole).count();
    match lost {
        _ if taken == 0 => end(COULD_NOT_RUN, "no request came to the proxy's machine whole"),
        0 => end(HELD, &format!("each of the {taken} requests that were taken has its final answer in time")),
        n => end(BROKEN, &format!("{n} of {taken} requests taken had no final answer in time")),
    }
}
