//! What the tests of the list service share: they run `gatestage registry` on a file and call it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// How long a test waits for what the service is to do.
const PATIENCE: Duration = Duration::from_secs(20);

/// The file's first line: any free port.
pub const LISTEN: &str = "listen = \"127.0.0.1:0\"\n";

/// A `[[member]]` table of zone `a`.
pub fn member(id: &str, phase: &str) -> String {
    format!(
        "[[member]]\nid = \"{id}\"\nhost_port = \"127.0.0.1:9\"\nlocality = \"a\"\nflavor = \"m\"\nphase = \"{phase}\"\n"
    )
}

/// A file of its own for this test of this process.
pub fn file(test: &str) -> PathBuf {
    env::temp_dir().join(format!("gatestage-registry-{}-{test}.toml", std::process::id()))
}

/// A running list service; it is killed when this is dropped.
pub struct Registry {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its configuration.
    pub file: PathBuf,
    log: Arc<Mutex<String>>,
}

impl Registry {
    /// Starts it on this configuration.
    pub fn start(test: &str, text: &str) -> Self {
        let file = file(test);
        fs::write(&file, text).expect("the configuration is written");
        Self::start_on(file)
    }

    /// Starts it on a file that is there.
    pub fn start_on(file: PathBuf) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gatestage"))
            .args(["registry", "--config"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the registry starts");
        let mut stderr = BufReader::new(child.stderr.take().expect("standard error"));
        let mut line = String::new();
        stderr.read_line(&mut line).expect("a first line");
        let address = line.split_whitespace().nth(3).and_then(|a| a.trim_end_matches(',').parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in `{line}`"));
        let log = Arc::new(Mutex::new(line));
        let lines = Arc::clone(&log);
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                *lines.lock().expect("the log") += &(line + "\n");
            }
        });
        Self { child, address, file, log }
    }

    /// Kills it and starts another on the same file.
    pub fn restart(self) -> Self {
        let file = self.file.clone();
        drop(self);
        Self::start_on(file)
    }

    /// One call; the status and the body.
    pub fn call(&self, request: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
        stream.write_all(request.as_bytes()).expect("the call is written");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        (status, answer.split_once("\r\n\r\n").map(|(_, b)| b.to_owned()).unwrap_or_default())
    }

    /// The list or a watch; the status and the body's bytes.
    pub fn body(&self, query: &str) -> (u16, String) {
        self.call(&format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"))
    }

    /// The list or a watch; the status and the body as JSON, or as a string where it is none.
    pub fn get(&self, query: &str) -> (u16, Value) {
        let (status, body) = self.body(query);
        (status, serde_json::from_str(&body).unwrap_or(Value::String(body)))
    }

    /// Writes the configuration and sends SIGHUP.
    pub fn hang_up(&self, text: &str) {
        fs::write(&self.file, text).expect("the configuration is written");
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("kill").success());
    }

    /// Sends SIGHUP with this configuration and waits until its revision is in force.
    pub fn take(&self, text: &str, revision: u64) {
        self.hang_up(text);
        let asked = Instant::now();
        while self.get("").1["revision"] != revision {
            assert!(asked.elapsed() < PATIENCE, "SIGHUP is not taken: {}", self.log());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends SIGHUP with this configuration and waits until the log says that it changes nothing; gives the log.
    pub fn refuse(&self, text: &str) -> String {
        let before = self.log().len();
        self.hang_up(text);
        let asked = Instant::now();
        loop {
            let said = self.log()[before..].to_owned();
            if said.contains("SIGHUP changes nothing") && said.ends_with('\n') {
                return said;
            }
            assert!(asked.elapsed() < PATIENCE, "SIGHUP is not refused: {said}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// What it has written to standard error.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log").clone()
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What `gatestage registry` says on a configuration that it refuses.
pub fn refusal(test: &str, text: &str) -> String {
    let file = file(test);
    fs::write(&file, text).expect("the configuration is written");
    refusal_of(&file)
}

/// What `gatestage registry` says on a file that it refuses.
pub fn refusal_of(file: &std::path::Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatestage"));
    let output = command.args(["registry", "--config"]).arg(file).output().expect("it ends");
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8_lossy(&output.stderr).into_owned()
}
