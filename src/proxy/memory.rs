//! How much memory the process has in use, and whether what requests take of it is too much.
//!
//! Budgets for single kinds of data miss what lies in the buffers of libraries: heads that are read, answers that wait for
//! slow clients, headers that are copied for an attempt. So the allocator counts all of it, and whatever would take more
//! asks first. Below the threshold nothing is refused for memory.

use cap::Cap;
use std::alloc::System;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Memory is short above this percentage of the limit. The rest is for what has been let in and still grows, for what the
/// allocator can't give back, and for the pages of the program.
const SHORT_AT_PERCENT: usize = 40;
/// What requests may take at the least, where lists and settings take most of the limit: a part of it, or so many bytes.
const LEAST_PART: usize = 8;
const LEAST_BYTES: usize = 4 << 20;

/// How often it is looked whether memory is free again.
const CHECK_EVERY: Duration = Duration::from_millis(10);

/// The memory in use, against the process's limit.
#[derive(Debug)]
pub struct MemoryGauge {
    limit: usize,
    /// How many processes share the limit.
    processes: Cell<usize>,
    /// What lists, settings and the program itself take, in bytes.
    settled: Cell<usize>,
    /// What requests that were let in are yet going to take, in bytes.
    reserved: Cell<usize>,
}

/// Memory that a request is going to take, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    gauge: Rc<MemoryGauge>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gauge.reserved.set(self.gauge.reserved.get() - self.bytes);
    }
}

impl MemoryGauge {
    /// The gauge of a process with this limit, in bytes.
    #[must_use]
    pub fn within(limit: usize) -> Rc<Self> {
        let settled = Cell::new(ALLOCATOR.allocated());
        Rc::new(Self { limit, processes: Cell::new(1), settled, reserved: Cell::new(0) })
    }

    /// So many processes share the limit from now on.
    pub fn share(&self, processes: usize) {
        self.processes.set(processes.max(1));
    }

    /// No client is connected: what is in use now is not taken by requests.
    pub fn settle(&self) {
        self.settled.set(ALLOCATOR.allocated());
    }

    /// Sets memory aside for a request that is let in.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.reserved.set(self.reserved.get() + bytes);
        Reservation { gauge: Rc::clone(self), bytes }
    }

    /// Whether nothing more may be let in.
    #[must_use]
    pub fn is_short(&self) -> bool {
        ALLOCATOR.allocated() + self.reserved.get() > self.threshold()
    }

    /// Waits until something more may be let in.
    pub async fn enough(&self) {
        while self.is_short() {
            sleep(CHECK_EVERY).await;
        }
    }

    /// Whether so much is free that it may be used for what can be done without.
    #[must_use]
    pub fn has_plenty(&self) -> bool {
        ALLOCATOR.allocated() + self.reserved.get() < self.threshold() / 2
    }

    fn threshold(&self) -> usize {
        let share = self.limit / self.processes.get();
        let least = (share / LEAST_PART).max(LEAST_BYTES);
        (share * SHORT_AT_PERCENT / 100).max(self.settled.get() + least)
    }
}
