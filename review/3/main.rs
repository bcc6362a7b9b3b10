//! A backend falls silent in the middle of a body that passes through to it.
#[path = "../stand_in.rs"]
mod stand_in;
use stand_in::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 5;
const CLIENTS: usize = 10;
const SILENT_FOR: Duration = Duration::from_secs(6);
const FIRST_PART: usize = 150_000;
/// The second part of the first client; each further client sends so much more.
const SECOND_PART: usize = 700_000;
const MORE: usize = 100_000;
const TIME_LEFT_MS: u32 = 1_500;
/// What a final answer may be late by: half a second (STANDING), and 50 ms (PROTOCOL, the rules on sockets).
const LATE: Duration = Duration::from_millis(550);

fn main() {
    begin();
    let backends: Vec<_> =
        (0..BACKENDS).map(|i| Backend::start(&format!("s-{i}"), Duration::from_millis(20))).collect();
    let members: Vec<_> =
        backends.iter().enumerate().map(|(i, b)| member(&b.id, b.address, "sala-catania", i as u32, "active", 0)).collect();
    let discovery = Discovery::start(members.clone());
    let listen = free_address();
    let setup = Setup {
        name: "n0".into(), me: 0, listen, discovery: discovery.address, admin: None, memory_mb: 64, sockets: 1_024, balancers: 2, members,
    };
    let mut proxy = Process::proxy("n0", &setup.config(), &[]);
    wait_up(listen);
    thread::sleep(Duration::from_millis(500));

    let start = Instant::now() + Duration::from_millis(200);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            thread::spawn(move || {
                let id = format!("upload-{i}");
                let second = SECOND_PART + i * MORE;
                let mut stream = connect(listen);
                thread::sleep(start.saturating_duration_since(Instant::now()));
                let text = head("salva-domanda", &id, "", TIME_LEFT_MS, FIRST_PART + second);
                stream.write_all(text.as_bytes()).expect("the head");
                stream.write_all(&vec![b'a'; FIRST_PART]).expect("the first part");
                say(&format!("client: head and {FIRST_PART} bytes of {id} written"));
                thread::sleep((start + Duration::from_millis(600)).saturating_duration_since(Instant::now()));
                let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
                if let Err(error) = stream.write_all(&vec![b'b'; second]) {
                    say(&format!("client: the rest of {id} could not be written: {error}"));
                    return (id, false, false, None);
                }
                let written = Instant::now();
                thread::sleep(Duration::from_millis(200));
                let outside = not_taken(&stream);
                say(&format!("client: last byte of {id} written 0.2 s ago, {outside} of {} bytes not on the proxy's machine yet", FIRST_PART + second));
                let due = written + Duration::from_millis(TIME_LEFT_MS.into()) + LATE;
                let came = answer(&stream, due);
                let in_time = matches!(came, Came::Whole(..));
                match &came {
                    Came::Whole(status, body) => say(&format!("client: {id} answered {status}, {} bytes, {:.3} s after its last byte", body.len(), written.elapsed().as_secs_f64())),
                    other => say(&format!("client: {id} has NO whole answer {:.3} s after its last byte: {other:?}", written.elapsed().as_secs_f64())),
                }
                (id, outside == 0, in_time, Some((stream, written)))
            })
        })
        .collect();

    thread::sleep((start + Duration::from_millis(300)).saturating_duration_since(Instant::now()));
    // One of five: the one that is at work.
    let holder = (0..BACKENDS).max_by_key(|&b| backends[b].traits.heads.load(Ordering::SeqCst)).expect("backends");
    let silent_at = Instant::now();
    if trouble() {
        backends[holder].silent(true);
    }
    let (mut taken, mut lost, mut wait_on) = (0, Vec::new(), Vec::new());
    for client in clients {
        let (id, is_taken, in_time, rest) = client.join().expect("a client");
        // Judged is only what is on the proxy's machine to its last byte.
        taken += usize::from(is_taken);
        if is_taken && !in_time {
            lost.push(id.clone());
        }
        if !in_time && let Some(rest) = rest {
            wait_on.push((id, rest));
        }
    }
    if trouble() {
        thread::sleep((silent_at + SILENT_FOR).saturating_duration_since(Instant::now()));
        backends[holder].silent(false);
    }
    for (id, (stream, written)) in wait_on {
        let came = answer(&stream, Instant::now() + Duration::from_secs(5));
        say(&format!("client: later, {:.3} s after its last byte, {id}: {}", written.elapsed().as_secs_f64(),
            match came { Came::Whole(s, _) => format!("answered {s}"), other => format!("{other:?}") }));
    }
    if proxy.has_ended() {
        end(COULD_NOT_RUN, "the proxy ended");
    }
    proxy.say_log();
    match lost.len() {
        _ if taken == 0 => end(COULD_NOT_RUN, "no request came to the proxy's machine whole"),
        0 => end(HELD, &format!("each of the {taken} requests that were taken has its final answer in time")),
        n => end(BROKEN, &format!("{n} of {taken} requests taken had no final answer in time: {}", lost.join(", "))),
    }
}
