//! The one command of the product: `gatestage proxy` runs a proxy, the other subcommands the parts around it.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// gatestage: an HTTP/1.1 load-balancing proxy that learns a concurrency limit per server.
#[derive(Parser)]
#[command(name = "gatestage", version, about)]
struct Command {
    #[command(subcommand)]
    part: Part,
}

#[derive(Subcommand)]
enum Part {
    /// Runs one proxy; `EDGE_CONFIG` names its JSON configuration, as for `haventrack-proxy`.
    Proxy,
}

fn main() -> ExitCode {
    match Command::parse().part {
        Part::Proxy => haventrack::proxy::program::main(),
    }
}
