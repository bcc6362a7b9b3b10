//! The rig's fault relay for tests that are not async.

use crate::rig::PATIENCE;
use haventrack::rig::relay::Relay;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::channel;
use std::thread;

/// Starts a relay before `target`; it runs until the test's process ends.
pub fn relay_before(target: SocketAddr) -> Relay {
    let (told, started) = channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let relay = Relay::start(Ipv4Addr::LOCALHOST.into(), target).await.expect("a relay");
            let _ = told.send(relay);
            std::future::pending::<()>().await;
        });
    });
    started.recv_timeout(PATIENCE).expect("a relay")
}
