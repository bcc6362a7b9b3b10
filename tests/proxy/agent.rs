//! A stand-in for discovery that leaves each call to the test.

use crate::rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

/// A call to discovery. The test answers it, or does not.
pub struct Call {
    /// Which of discovery's connections it came on.
    pub connection: usize,
    /// Its head, as it came.
    pub head: String,
    /// The version that the caller knows.
    pub after: Option<u64>,
    pub at: Instant,
    pub stream: TcpStream,
}

impl Call {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the proxy reads");
    }

    pub fn answer(mut self, list: &Value) {
        self.write(&answer("200 OK", "", list.to_string().as_bytes()));
    }
}

/// Discovery that leaves each call to the test.
pub struct Agent {
    pub address: SocketAddr,
    pub calls: Receiver<Call>,
}

impl Agent {
    pub fn start() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn on(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        let (told, calls) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(stream), told) = (stream, told.clone()) else { return };
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(seen) = read_message(&mut reader) {
                        let number = |rest: &str| rest.split('&').next().and_then(|n| n.parse().ok());
                        let after = seen.first_line().split_once("after=").and_then(|(_, rest)| number(rest));
                        let stream = stream.try_clone().expect("a clone");
                        let call = Call { connection, head: seen.head, after, at: Instant::now(), stream };
                        if told.send(call).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, calls }
    }

    /// The next call, which may be a long wait away where discovery is asked.
    pub fn next(&self) -> Call {
        self.calls.recv_timeout(2 * PATIENCE).expect("a call")
    }
}

/// A configuration with an old list. Where discovery is asked it is shared by as many proxies as make the module
/// leave it alone for ten seconds and more after a failed call.
pub fn config_at(name: &str, mode: &str, address: SocketAddr, known: &Value) -> Value {
    let mut settings = settings();
    settings["membershipMode"] = mode.into();
    if mode == "on_request" {
        settings["balancers"] = 300.into();
        settings["safety"]["askWithinUs"] = 10_000_000.into();
    }
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": address.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
}
