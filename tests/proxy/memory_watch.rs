//! The memory of a running proxy, as its tests watch it.

use crate::rig::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The least memory that the platform gives a proxy, in MB.
pub const MEMORY_MB: usize = 32;
const SAMPLED_EVERY: Duration = Duration::from_millis(5);

/// The memory of a process without the pages of its program, in KiB.
pub fn own_memory(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("its state");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// What `act` gives, and the most memory that the proxy was seen to take meanwhile, in KiB.
pub fn watching_memory<T>(proxy: &Proxy, act: impl FnOnce() -> T) -> (T, usize) {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let watch = scope.spawn(|| {
            let mut most = 0;
            while !is_over.load(Ordering::Relaxed) {
                most = most.max(own_memory(proxy));
                thread::sleep(SAMPLED_EVERY);
            }
            most
        });
        let acted = act();
        is_over.store(true, Ordering::Relaxed);
        (acted, watch.join().expect("the samples"))
    })
}
