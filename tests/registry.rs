//! `gatestage registry` as a process: the platform's list and watch, SIGHUP, compaction and bad calls.

#[path = "common/registry.rs"]
mod registry;

use registry::{LISTEN, Registry, file, member, refusal, refusal_of};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_watch_hears_of_a_change_that_sighup_brings() {
    let registry =
        Registry::start("watch", &format!("{LISTEN}{}{}", member("s-1", "active"), member("s-2", "active")));
    let (status, whole) = registry.get("");
    assert_eq!(status, 200);
    assert_eq!((whole["revision"].as_u64(), whole["complete"].as_bool()), (Some(1), Some(true)));
    assert_eq!(whole["members"].as_array().unwrap().len(), 2);
    let registry = std::sync::Arc::new(registry);
    let watching = std::sync::Arc::clone(&registry);
    let watch = thread::spawn(move || {
        let asked = Instant::now();
        (watching.get("?after=1&wait_ms=20000"), asked.elapsed())
    });
    thread::sleep(Duration::from_millis(300));
    registry.hang_up(&format!("{LISTEN}{}", member("s-1", "leaving")));
    let ((status, told), waited) = watch.join().expect("the watch");
    assert_eq!(status, 200);
    assert!(waited < Duration::from_secs(10), "the watch waited {waited:?}");
    assert_eq!((told["revision"].as_u64(), told["complete"].as_bool()), (Some(2), Some(false)), "{told}");
    let phases: Vec<_> =
        told["members"].as_array().unwrap().iter().map(|m| (m["id"].clone(), m["phase"].clone())).collect();
    assert_eq!(phases, [("s-1".into(), "leaving".into()), ("s-2".into(), "left".into())]);
}

#[test]
fn a_watch_from_before_what_is_kept_gets_the_whole_list() {
    let head = format!("{LISTEN}keep_changes = 1\n");
    let registry = Registry::start("compact", &format!("{head}{}", member("s-1", "active")));
    registry.take(&format!("{head}{}", member("s-1", "leaving")), 2);
    registry.take(&format!("{head}{}{}", member("s-1", "leaving"), member("s-3", "active")), 3);
    let (_, told) = registry.get("?after=1&wait_ms=100");
    assert_eq!((told["revision"].as_u64(), told["complete"].as_bool()), (Some(3), Some(true)), "{told}");
    let (_, told) = registry.get("?after=2&wait_ms=100");
    assert_eq!(told["complete"].as_bool(), Some(false), "{told}");
    assert_eq!(told["members"][0]["id"], "s-3");
}

#[test]
fn a_revision_of_which_a_change_is_no_longer_kept_is_not_told_in_part() {
    let file =
        |phase: &str| format!("{LISTEN}keep_changes = 1\n{}{}", member("s-1", phase), member("s-2", phase));
    let registry = Registry::start("part", &file("active"));
    registry.take(&file("leaving"), 2);
    let (_, told) = registry.get("?after=1&wait_ms=100");
    assert_eq!(
        (&told["complete"], told["members"].as_array().map(Vec::len)),
        (&true.into(), Some(2)),
        "{told}"
    );
}

#[test]
fn bad_calls_get_their_reason_and_the_service_goes_on() {
    let registry = Registry::start("bad", &format!("{LISTEN}{}", member("s-1", "active")));
    let (status, body) = registry.get("?after=forty&wait_ms=10");
    assert_eq!(status, 400);
    assert!(body.as_str().unwrap().contains("`after` is no whole number"), "{body}");
    let big = "x".repeat(70 * 1024);
    let call = format!(
        "GET /discovery/hosts HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{big}",
        big.len()
    );
    assert_eq!(registry.call(&call).0, 413);
    assert_eq!(
        registry
            .call(
                "POST /discovery/hosts HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            .0,
        405
    );
    assert_eq!(registry.get("?after=0&wait_ms=999999").0, 200);
    registry.refuse(&format!("{LISTEN}speed = 1\n"));
    let (status, whole) = registry.get("");
    assert_eq!(
        (status, whole["members"].as_array().map(Vec::len)),
        (200, Some(1)),
        "a bad file changes nothing"
    );
}

#[test]
fn a_bad_configuration_is_refused_with_its_line() {
    let text = format!("{LISTEN}{}{}", member("s-1", "active"), member("s-1", "active"));
    let said = refusal("twice", &text);
    assert!(said.contains("`s-1` is named twice"), "{said}");
    let said = refusal("shape", &format!("{LISTEN}[[member]]\nid = 4\n"));
    assert!(said.contains("line 3"), "{said}");
}

#[test]
fn what_keeps_it_from_starting_says_what_to_do() {
    let said = refusal_of(&file("none"));
    assert!(said.contains("see that --config names the file"), "{said}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = format!("listen = \"{}\"\n", taken.local_addr().expect("its address"));
    for (text, what_to_do) in [
        (listen.clone() + "speed = 1\n", "correct that line"),
        (listen.clone() + &member("s-1", "gone"), "write `active` or `leaving`"),
        (listen, "end what listens there or change `listen`"),
    ] {
        let said = refusal("start", &text);
        assert!(said.contains(what_to_do), "{said}");
    }
}

/// Two members with every key, and one with none of those that may be left out.
fn three_members() -> String {
    let full = |id: &str, phase: &str, size: &str| {
        format!(
            "[[member]]\nid = \"{id}\"\nhost_port = \"[::1]:80\"\nlocality = \"zone \\\"b\\\"\"\nflavor = \"grün\"\n\
             cell = 7\nphase = \"{phase}\"\nsize = {size}\nup_since_ms = 1700000000123\n"
        )
    };
    let bare = "[[member]]\nid = \"s-0\"\nhost_port = \"10.0.0.1:8080\"\nlocality = \"a\"\nflavor = \"m\"\n";
    full("s-2", "active", "0.1") + &full("s-1", "leaving", "3") + bare
}

const FIRST: &str = r#"{"cell":0,"flavor":"m","host_port":"10.0.0.1:8080","id":"s-0","locality":"a","phase":"active","size":1.0,"up_since_ms":0}"#;
const SECOND: &str = r#"{"cell":7,"flavor":"grün","host_port":"[::1]:80","id":"s-1","locality":"zone \"b\"","phase":"leaving","size":3.0,"up_since_ms":1700000000123}"#;
const THIRD: &str = r#"{"cell":7,"flavor":"grün","host_port":"[::1]:80","id":"s-2","locality":"zone \"b\"","phase":"active","size":0.1,"up_since_ms":1700000000123}"#;

#[test]
fn the_whole_list_and_a_delta_are_these_bytes() {
    let registry = Registry::start("bytes", &format!("{LISTEN}{}", three_members()));
    let whole = |members: &str, revision: u64| {
        (200, format!(r#"{{"complete":true,"members":[{members}],"revision":{revision}}}"#))
    };
    let delta = |members: &str, revision: u64| {
        (200, format!(r#"{{"complete":false,"members":[{members}],"revision":{revision}}}"#))
    };
    let all = format!("{FIRST},{SECOND},{THIRD}");
    for query in ["", "?", "?after=0&wait_ms=20", "?after=9", "?after=9&wait_ms=20", "?other=1"] {
        assert_eq!(registry.body(query), whole(&all, 1), "{query}");
    }
    assert_eq!(registry.body("?after=1"), delta("", 1));
    assert_eq!(registry.body("?after=1&wait_ms=20"), delta("", 1));

    let changed = three_members().replace("size = 3", "size = 2.5");
    let (kept, _) = changed.rsplit_once("[[member]]").expect("three members");
    registry.take(&format!("{LISTEN}{kept}"), 2);
    let second = SECOND.replace("3.0", "2.5");
    let left = FIRST.replace("active", "left");
    assert_eq!(registry.body("?after=1"), delta(&format!("{left},{second}"), 2));
    assert_eq!(registry.body("?after=1&wait_ms=60000"), delta(&format!("{left},{second}"), 2));
    assert_eq!(registry.body("?after=2"), delta("", 2));
    assert_eq!(registry.body("?after=3"), whole(&format!("{second},{THIRD}"), 2));

    let (status, reason) = registry.body("?after=1x");
    assert_eq!((status, &*reason), (400, "`after` is no whole number: `1x`; send decimal digits"));
}
