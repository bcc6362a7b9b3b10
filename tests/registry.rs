//! `gatestage registry` as a process: the platform's list and watch, SIGHUP, compaction and bad calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

fn member(id: &str, phase: &str) -> String {
    format!(
        "[[member]]\nid = \"{id}\"\nhost_port = \"127.0.0.1:9\"\nlocality = \"a\"\nflavor = \"m\"\nphase = \"{phase}\"\n"
    )
}

struct Registry {
    child: Child,
    address: SocketAddr,
    file: PathBuf,
}

impl Registry {
    fn start(test: &str, text: &str) -> Self {
        let file = env::temp_dir().join(format!("gatestage-registry-{}-{test}.toml", std::process::id()));
        fs::write(&file, text).expect("the configuration is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gatestage"))
            .args(["registry", "--config"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the registry starts");
        let mut log = BufReader::new(child.stderr.take().expect("standard error"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a first line");
        let address = line.split_whitespace().nth(3).and_then(|a| a.trim_end_matches(',').parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in `{line}`"));
        thread::spawn(move || for _ in log.lines() {});
        Self { child, address, file }
    }

    /// One call; the status and the body.
    fn call(&self, request: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
        stream.write_all(request.as_bytes()).expect("the call is written");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        (status, answer.split_once("\r\n\r\n").map(|(_, b)| b.to_owned()).unwrap_or_default())
    }

    fn get(&self, query: &str) -> (u16, serde_json::Value) {
        let (status, body) = self
            .call(&format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"));
        (status, serde_json::from_str(&body).unwrap_or(serde_json::Value::String(body)))
    }

    fn hang_up(&self, text: &str) {
        fs::write(&self.file, text).expect("the configuration is written");
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("kill").success());
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_watch_hears_of_a_change_that_sighup_brings() {
    let head = "listen = \"127.0.0.1:0\"\n";
    let registry =
        Registry::start("watch", &format!("{head}{}{}", member("s-1", "active"), member("s-2", "active")));
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
    registry.hang_up(&format!("{head}{}", member("s-1", "leaving")));
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
    let head = "listen = \"127.0.0.1:0\"\nkeep_changes = 1\n";
    let registry = Registry::start("compact", &format!("{head}{}", member("s-1", "active")));
    registry.hang_up(&format!("{head}{}", member("s-1", "leaving")));
    let settled = Instant::now();
    while registry.get("").1["revision"] != 2 {
        assert!(settled.elapsed() < Duration::from_secs(10), "SIGHUP is not taken");
        thread::sleep(Duration::from_millis(20));
    }
    registry.hang_up(&format!("{head}{}{}", member("s-1", "leaving"), member("s-3", "active")));
    while registry.get("").1["revision"] != 3 {
        assert!(settled.elapsed() < Duration::from_secs(10), "SIGHUP is not taken");
        thread::sleep(Duration::from_millis(20));
    }
    let (_, told) = registry.get("?after=1&wait_ms=100");
    assert_eq!((told["revision"].as_u64(), told["complete"].as_bool()), (Some(3), Some(true)), "{told}");
    let (_, told) = registry.get("?after=2&wait_ms=100");
    assert_eq!(told["complete"].as_bool(), Some(false), "{told}");
    assert_eq!(told["members"][0]["id"], "s-3");
}

#[test]
fn bad_calls_get_their_reason_and_the_service_goes_on() {
    let registry = Registry::start("bad", &format!("listen = \"127.0.0.1:0\"\n{}", member("s-1", "active")));
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
    registry.hang_up("listen = \"127.0.0.1:0\"\nspeed = 1\n");
    thread::sleep(Duration::from_millis(300));
    let (status, whole) = registry.get("");
    assert_eq!(
        (status, whole["members"].as_array().map(Vec::len)),
        (200, Some(1)),
        "a bad file changes nothing"
    );
}

#[test]
fn a_bad_configuration_is_refused_with_its_line() {
    let file = env::temp_dir().join(format!("gatestage-registry-{}-refused.toml", std::process::id()));
    fs::write(
        &file,
        format!("listen = \"127.0.0.1:0\"\n{}{}", member("s-1", "active"), member("s-1", "active")),
    )
    .unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_gatestage"))
        .args(["registry", "--config"])
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("`s-1` is named twice"));
    fs::write(&file, "listen = \"127.0.0.1:0\"\n[[member]]\nid = 4\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_gatestage"))
        .args(["registry", "--config"])
        .arg(&file)
        .output()
        .unwrap();
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("line 3"),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

#[test]
fn what_keeps_it_from_starting_says_what_to_do() {
    let file = env::temp_dir().join(format!("gatestage-registry-{}-start.toml", std::process::id()));
    let refusal = |text: Option<String>| {
        let _ = fs::remove_file(&file);
        text.iter().for_each(|text| fs::write(&file, text).expect("the configuration is written"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatestage"));
        let output = command.args(["registry", "--config"]).arg(&file).output().expect("it ends");
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = format!("listen = \"{}\"\n", taken.local_addr().expect("its address"));
    for (text, what_to_do) in [
        (None, "see that --config names the file"),
        (Some(listen.clone() + "speed = 1\n"), "correct that line"),
        (Some(listen.clone() + &member("s-1", "gone")), "write `active` or `leaving`"),
        (Some(listen), "end what listens there or change `listen`"),
    ] {
        let said = refusal(text);
        assert!(said.contains(what_to_do), "{said}");
    }
}
