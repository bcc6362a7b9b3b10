//! Bodies in very small chunks: what the proxy holds of them follows from their bytes.

use crate::memory_watch::{MEMORY_MB, watching_memory};
use crate::rig::*;
use std::io::Write;
use std::thread;

/// A body that is just held whole, in bytes.
const HELD: usize = 65_535;

/// Bytes in chunks of this size, without the last chunk.
fn chunks(bytes: usize, size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(vec![b'c'; size]);
    chunk.extend(b"\r\n");
    chunk.repeat(bytes / size)
}

/// A request whose body comes in chunks that never end.
fn endless(id: &str, chunk: usize) -> Vec<u8> {
    let head = request("charge", id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    [head.into_bytes(), chunks(HELD, chunk)].concat()
}

/// Peers send bodies that never end: they are sent away, and the proxy stays within its memory. Gives their statuses.
fn unfinished_bodies(proxy: &Proxy, peers: usize, chunk: usize) -> Vec<Option<u16>> {
    let (answers, most) = watching_memory(proxy, || send_unfinished(proxy, peers, chunk));
    println!("{peers} bodies in chunks of {chunk} bytes: {most} KiB");
    assert!(most < MEMORY_MB << 10, "the proxy took {most} KiB of {MEMORY_MB} MB");
    assert!(answers.iter().flatten().all(|&status| status >= 400), "{answers:?}");
    answers
}

/// A proxy with little memory and many descriptors, and its backend.
fn start(name: &str, sockets: usize) -> (Proxy, Backend, Discovery) {
    let (discovery, backend) = (Discovery::start(), Backend::start(|_| ok("served")));
    let mut config = config(name, &discovery);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    config["limits"]["sockets"] = sockets.into();
    let proxy = Proxy::start_with(name, config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    (proxy, backend, discovery)
}

/// Peers that send this and no more; each has to get an error or a close.
fn send_unfinished(proxy: &Proxy, peers: usize, chunk: usize) -> Vec<Option<u16>> {
    thread::scope(|scope| {
        let send = |n: usize| {
            scope.spawn(move || {
                let mut client = proxy.client();
                // The proxy may end the connection before it has read all of it.
                let _ = client.stream.write_all(&endless(&format!("peer-{n}"), chunk));
                read_message(&mut client.reader).map(|answer| answer.status())
            })
        };
        let peers: Vec<_> = (0..peers).map(send).collect();
        peers.into_iter().map(|peer| peer.join().expect("a peer")).collect()
    })
}

/// Guards against review/2: each byte of a request's body in chunks of one byte took 32 bytes and more, and forty such
/// peers had the proxy killed for memory.
#[test]
fn request_bodies_in_chunks_of_one_byte_stay_within_memory() {
    let (proxy, _backend, _discovery) = start("small-requests", 384);
    unfinished_bodies(&proxy, 20, 1);
    assert_eq!(proxy.client().ask(&request("charge", "honest", "x")).body, b"served");
}

/// Guards against the same crash by number: nothing bounded what all held bodies take together.
#[test]
fn all_held_request_bodies_together_stay_within_memory() {
    let (proxy, _backend, _discovery) = start("many-requests", 1_024);
    let answers = unfinished_bodies(&proxy, 280, 4_369);
    assert!(answers.contains(&Some(503)), "what finds no memory is refused: {answers:?}");
    // What they held is given back with their connections.
    assert_eq!(proxy.client().ask(&request("charge", "honest", &"x".repeat(HELD))).body, b"served");
}
