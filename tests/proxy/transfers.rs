//! Requests that find as many large bodies on their way as there may be: each gets its final answer in its time.

use crate::rig::*;
use std::io::Read;
use std::time::{Duration, Instant};

/// How many bodies may be on their way in each direction with the least memory.
const AT_ONCE: usize = 4;
/// What each client waits for its answer, in milliseconds.
const TIME_LEFT_MS: u64 = 1_500;
/// How much later than that a final answer may be before the request is lost (STANDING).
const LATE_BY: Duration = Duration::from_millis(500);
/// A body that has to pass through, in bytes, and one of which the sockets' buffers hold only a part.
const LARGE: usize = 100_000;
const HUGE: usize = 8 << 20;

/// A proxy that passes on no more than `AT_ONCE` bodies in each direction, with enough backends for more.
fn start(name: &str, backend: &Backend) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(name, &discovery);
    config["limits"]["memory_mb"] = 1.into();
    let proxy = Proxy::start_with(name, config);
    let members: Vec<_> =
        (0..4 * AT_ONCE).map(|n| entry(&format!("s-{n}"), backend.address, "active", 0)).collect();
    discovery.post(true, &members);
    (proxy, discovery)
}

fn hurried(class: &str, id: &str, body: &str) -> String {
    request(class, id, body).replace("15000", &TIME_LEFT_MS.to_string())
}

/// Sends a request and gives the final answer, which has to come in its time.
fn ask_in_time(proxy: &Proxy, text: &str) -> Seen {
    let mut client = proxy.client();
    let most = Duration::from_millis(TIME_LEFT_MS) + LATE_BY;
    client.stream.set_read_timeout(Some(most)).expect("a time-out");
    client.send(text);
    let began = Instant::now();
    let answer = read_message(&mut client.reader).expect("a final answer in time");
    assert!(began.elapsed() < most, "answered after {:?}", began.elapsed());
    answer
}

/// Clients that have sent the beginning of a large body, each with what is left of it.
fn slow_senders(proxy: &Proxy, body: &str) -> Vec<(Client, String)> {
    let begin = |n| {
        let text = request("charge", &format!("slow-{n}"), body);
        let (first, rest) = text.split_at(text.len() - body.len() + LARGE);
        let mut client = proxy.client();
        client.send(first);
        (client, rest.to_owned())
    };
    (0..AT_ONCE).map(begin).collect()
}

/// Guards against review/3: behind slow clients with large bodies a request waited for its turn without an end.
#[test]
fn a_large_request_behind_slow_ones_is_refused_in_its_time() {
    let backend = Backend::start(|seen| ok(&seen.body.len().to_string()));
    let (proxy, _discovery) = start("slow-senders", &backend);
    let body = "s".repeat(2 * LARGE);
    let slow = slow_senders(&proxy, &body);
    // The last one's turn is taken once its first bytes are read.
    std::thread::sleep(Duration::from_millis(200));
    let (known, text) = (hurried("charge", "known", &"p".repeat(LARGE)), hurried("charge", "chunked", ""));
    let unknown = text.replace("Content-Length: 0", "Transfer-Encoding: chunked")
        + &format!("{LARGE:x}\r\n{}\r\n0\r\n\r\n", "p".repeat(LARGE));
    for text in [known, unknown] {
        let refused = ask_in_time(&proxy, &text);
        assert_eq!(refused.status(), 503, "{}", refused.head);
        assert!(refused.header("retry-after").is_some(), "{}", refused.head);
        assert_eq!(refused.header("connection"), Some("close"), "its body was not read: {}", refused.head);
    }
    // Small ones are served beside them, and the slow ones to their end; then there is room again.
    assert_eq!(ask_in_time(&proxy, &hurried("charge", "small", "x")).status(), 200);
    for (mut client, rest) in slow {
        client.send(&rest);
        assert_eq!(client.receive().body, (2 * LARGE).to_string().into_bytes());
    }
    assert_eq!(ask_in_time(&proxy, &hurried("charge", "later", &body)).status(), 200);
    let ids: Vec<_> = std::iter::from_fn(|| backend.seen.try_recv().ok())
        .filter_map(|seen| seen.header("x-correlation-id").map(str::to_owned))
        .collect();
    assert!(ids.iter().all(|id| id != "known" && id != "chunked"), "sent on, though refused: {ids:?}");
}

/// Guards against review/3 on the way back: behind clients that read large answers slowly, a client got the head of its
/// answer and no more.
#[test]
fn a_large_answer_behind_slow_ones_fails_in_its_time() {
    let backend = Backend::start(|seen| {
        let is_huge = seen.header("x-correlation-id").is_some_and(|id| id.starts_with("slow"));
        Reply::Write(answer("200 OK", "", &vec![b'a'; if is_huge { HUGE } else { LARGE }]))
    });
    let (proxy, _discovery) = start("slow-readers", &backend);
    let mut slow: Vec<_> = (0..AT_ONCE).map(|_| proxy.client()).collect();
    for (n, client) in slow.iter_mut().enumerate() {
        client.send(&request("read", &format!("slow-{n}"), ""));
        let mut first = [0; 12];
        client.reader.read_exact(&mut first).expect("the answer begins");
        assert_eq!(&first, b"HTTP/1.1 200");
    }
    assert_eq!(ask_in_time(&proxy, &hurried("read", "behind", "")).status(), 502);
    for client in &mut slow {
        read_head(&mut client.reader).expect("the rest of the head");
        client.reader.read_exact(&mut vec![0; HUGE]).expect("the whole answer");
    }
    let later = ask_in_time(&proxy, &hurried("read", "later", ""));
    assert_eq!((later.status(), later.body.len()), (200, LARGE));
}
