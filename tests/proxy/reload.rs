//! A configuration that is slow to read: requests and signals are served meanwhile.

use crate::agent::{Agent, config_at};
use crate::rig::*;
use serde_json::{Value, json};
use std::fs::{File, remove_file};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A proxy, its configuration and the file that it reads it from, replaced by a pipe: to read it takes until the test
/// has written it.
struct SlowFile {
    agent: Agent,
    _backend: Backend,
    config: Value,
    path: PathBuf,
    proxy: Proxy,
}

impl SlowFile {
    fn start(name: &str) -> Self {
        let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
        let known =
            json!({"revision": 1, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]});
        let config = config_at(name, "pushed", agent.address, &known);
        let proxy = Proxy::start_with(name, config.clone());
        let path = write_config(name, &config.to_string());
        replace_by_pipe(&path);
        Self { agent, _backend: backend, config, path, proxy }
    }

    /// Opens the pipe, which waits until the proxy has opened it too, and so has begun to read.
    fn begin(&self) -> File {
        self.proxy.hang_up();
        File::options().write(true).open(&self.path).expect("the proxy reads")
    }
}

fn replace_by_pipe(path: &Path) {
    remove_file(path).expect("the file is removed");
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
}

/// The thread that serves read and parsed the file itself: until that was done no request was answered.
#[test]
fn requests_are_served_while_a_configuration_is_read() {
    let mut slow = SlowFile::start("reload-slow");
    let mut client = slow.proxy.client();
    let mut pipe = slow.begin();
    assert_eq!(client.ask(&request("read", "1", "")).status(), 200);
    let text = slow.config.to_string();
    let (first, second) = text.as_bytes().split_at(text.len() / 2);
    pipe.write_all(first).expect("the proxy reads");
    assert_eq!(client.ask(&request("read", "2", "")).status(), 200);
    assert_eq!(slow.proxy.client().ask(&request("read", "3", "")).status(), 200);
    pipe.write_all(second).expect("the proxy reads");
    drop(pipe);
    assert!(slow.proxy.next_line("SIGHUP").contains("in force"));
    assert_eq!(client.ask(&request("read", "4", "")).status(), 200);
    assert_eq!(slow.agent.next().after, Some(1));
}

/// A file that was replaced while the one before it was read is read as well.
#[test]
fn a_signal_while_a_configuration_is_read_has_it_read_once_more() {
    let mut slow = SlowFile::start("reload-again");
    let mut first = slow.begin();
    // The signal is taken before the request is answered, or after: in both cases the first file is still being read.
    slow.proxy.hang_up();
    assert_eq!(slow.proxy.client().ask(&request("read", "1", "")).status(), 200);
    // The proxy has the old pipe open, and opens what is there the next time.
    remove_file(&slow.path).expect("the pipe is removed");
    let mut later = slow.config.clone();
    later["settings"]["classes"][0]["name"] = json!("later");
    write_config("reload-again", &later.to_string());
    first.write_all(slow.config.to_string().as_bytes()).expect("the proxy reads");
    drop(first);
    assert!(slow.proxy.next_line("in force").contains("classes read"));
    assert!(slow.proxy.next_line("in force").contains("classes later"));
}

#[test]
fn a_broken_configuration_that_comes_slowly_changes_nothing() {
    let mut slow = SlowFile::start("reload-broken");
    let mut pipe = slow.begin();
    pipe.write_all(b"{\"listen\": ").expect("the proxy reads");
    drop(pipe);
    assert!(slow.proxy.next_line("SIGHUP").contains("SIGHUP changes nothing: malformed configuration"));
    assert_eq!(slow.proxy.client().ask(&request("read", "1", "")).status(), 200);
}

/// The end of a proxy does not wait for a file that is never read to its end.
#[test]
fn a_proxy_ends_while_a_configuration_is_read() {
    let mut slow = SlowFile::start("reload-ends");
    let _pipe = slow.begin();
    slow.proxy.terminate();
    assert!(slow.proxy.wait().success());
}
