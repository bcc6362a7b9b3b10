#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod api;
pub mod balancer;
pub mod body_buffer;
pub mod discovery_schedule;
pub mod group;
pub mod log_line;
pub mod names;
pub mod proxy;
pub mod recent_requests;
pub mod registry;
pub mod rig;
mod state;
pub mod store;
pub mod system_random;
pub mod wire;
