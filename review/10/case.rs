//! Discovery is down for 8 s, and at its return it has so many callers that each proxy's first call fails: do sends to
//! a backend that began to drain meanwhile end in the time that counts from the return?
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long discovery is down (`herd+mass`).
const DOWN: Duration = Duration::from_secs(8);
const PROXIES: u32 = 3;
/// How long the first call waits at the crowded service until it fails.
const WAITED: Duration = Duration::from_millis(1_800);
/// From the return: what discovery has counts as told 6 s later at the latest; the settings' grace; the 50 ms of the
/// protocol.
const TOLD_MS: u64 = 6_000;
const GRACE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

/// What discovery has and how it is.
struct State {
    down: AtomicBool,
    /// How many further calls fail because others are before them.
    crowded: AtomicU64,
    /// Its newest list.
    list: Mutex<(u64, Vec<Member>)>,
}

/// A discovery service: while it is down each call ends with 503, and watches end; while it is crowded a call waits
/// too long and ends with 503.
fn discovery(lab: &Arc<Lab>, state: Arc<State>) -> std::net::SocketAddr {
    let lab = Arc::clone(lab);
    serve(0, move |stream: &mut TcpStream| {
        let mut buffer = Vec::new();
        let is_down = || state.down.load(Ordering::Relaxed);
        while let Some(request) = read_request(stream, &mut buffer)? {
            let target = request.line.split(' ').nth(1).unwrap_or_default().to_owned();
            if is_down() {
                lab.say(&format!("discovery is down: {target}: 503"));
                answer(stream, "503 Service Unavailable", "")?;
                continue;
            }
            let take = |n: u64| n.checked_sub(1);
            if state.crowded.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
                lab.say(&format!("discovery is crowded: {target} waits"));
                thread::sleep(WAITED);
                lab.say(&format!("discovery: {target} has waited too long: 503"));
                answer(stream, "503 Service Unavailable", "")?;
                continue;
            }
            let number = |key: &str| -> u64 {
                let value = target.split(['?', '&']).filter_map(|p| p.split_once('=')).find(|(k, _)| *k == key);
                value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
            };
            let after = number("after");
            let until = Instant::now() + Duration::from_millis(number("wait_ms"));
            while after > 0 && state.list.lock().unwrap().0 <= after && Instant::now() < until && !is_down() {
                thread::sleep(ms(5));
            }
            if is_down() {
                // The watch ends.
                return Ok(());
            }
            let (revision, members) = state.list.lock().unwrap().clone();
            let news = after < revision;
            if news {
                lab.say(&format!("discovery: {target} is answered with the list of revision {revision}"));
            }
            let text = if news { list_json(revision, true, &members) } else { list_json(revision, false, &[]) };
            answer(stream, "200 OK", &text)?;
        }
        Ok(())
    })
}

fn main() {
    let lab = Lab::new("10");
    let backends: Vec<Backend> = ["s-1", "s-2", "s-3"].iter().map(|id| Backend::start(&lab, id, ms(20))).collect();
    let members: Vec<Member> = backends.iter().map(|b| Member::new(&b.id, b.address)).collect();
    let mut later = members.clone();
    later[0].phase = "leaving".to_owned();
    let list = Mutex::new((41, members.clone()));
    let state = Arc::new(State { down: AtomicBool::new(false), crowded: AtomicU64::new(0), list });
    let address = discovery(&lab, Arc::clone(&state));
    let proxies: Vec<Proxy> = (0..PROXIES).map(|i| Proxy::new(&format!("n{i}"))).collect();
    let known = list_json(41, true, &members);
    for (i, proxy) in (0..).zip(&proxies) {
        let config = lab.file(&format!("config-{i}.json"), &proxy.config(address, &known, &settings(i, PROXIES)));
        lab.proxy(&proxy.name, &config, &lab.tmp.join(format!("tmp-{i}")), &[]);
    }
    let up = wait_for(Duration::from_secs(20), || proxies.iter().all(|p| is_up(p.listen)));
    lab.need(up, "the proxies are up");
    let loads: Vec<Load> = proxies.iter().map(|p| Load::start(&lab, p.listen, 2, ms(20))).collect();
    thread::sleep(ms(4_000));
    if trouble() {
        lab.say("discovery goes down");
        state.down.store(true, Ordering::Relaxed);
    }
    thread::sleep(DOWN);
    lab.need(!backends[0].since(Instant::now() - ms(2_000)).is_empty(), "s-1 is in use");
    // The release has begun meanwhile.
    *state.list.lock().unwrap() = (42, later);
    state.crowded.store(if trouble() { u64::from(PROXIES) } else { 0 }, Ordering::Relaxed);
    state.down.store(false, Ordering::Relaxed);
    let back = Instant::now();
    lab.say("discovery is back and has s-1 as leaving");
    thread::sleep(ms(11_000));
    loads.into_iter().for_each(|load| load.end(&lab));
    let late = backends[0].since(back + ms(TOLD_MS + GRACE_MS + SLACK_MS));
    for (at, id) in late.iter().take(20) {
        lab.say(&format!("s-1, draining, got {id}, {:.3} s after discovery's return", (*at - back).as_secs_f64()));
    }
    let last = backends[0].since(back).last().map_or(0.0, |(at, _)| (*at - back).as_secs_f64());
    lab.say(&format!("the last request to s-1 came {last:.3} s after the return; after the bound {}", late.len()));
    lab.finish(if late.is_empty() { 0 } else { 1 })
}
