//! The scale harness: measures what proxies and the services beside them cost at growing sizes, fits a line to each
//! cost, and projects the lines to the operators' size. `cargo bench --locked --bench capacity -- PART`; the samples
//! and pictures are left in `docs/capacity`, the tables in `docs/CAPACITY.md`.
#![forbid(unsafe_code)]
#![allow(missing_docs, reason = "a program; its modules document their items")]

mod fit;
mod group;
mod network;
mod plot;
mod process;
mod projections;
mod proxy;
mod record;
mod report;
mod setup;
mod slopes;

use clap::{Parser, ValueEnum};
use record::Version;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures what the program costs at growing sizes and projects it to the operators' size.
#[derive(Parser)]
struct Command {
    /// What to measure or make.
    #[arg(value_enum)]
    part: Part,
    /// Measures proxies that ask for their view instead of the whole list.
    #[arg(long)]
    view: bool,
    /// Measures just this series of the proxy.
    #[arg(long, value_enum)]
    only: Option<proxy::Growing>,
    /// Cargo gives this to every bench.
    #[arg(long, hide = true)]
    bench: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum Part {
    /// One proxy: its memory, processor time, start, and what it hears of its list.
    Proxy,
    /// What a group of proxies that agree on bans costs; `--view` changes nothing in it.
    Group,
    /// The tables and pictures, from the samples that are there.
    Report,
    /// Every part, then the report.
    All,
}

/// Where the samples and pictures lie.
fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/capacity")
}

/// The page with the tables.
fn page() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/CAPACITY.md")
}

fn run(command: &Command) -> Result<(), Box<dyn Error>> {
    let version = if command.view { Version::View } else { Version::WholeList };
    match command.part {
        Part::Proxy => proxy::measure(&folder(), version, command.only)?,
        Part::Group => group::measure(&folder())?,
        Part::Report => report::write(&folder(), &page())?,
        Part::All => {
            proxy::measure(&folder(), version, command.only)?;
            group::measure(&folder())?;
            report::write(&folder(), &page())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Command::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
