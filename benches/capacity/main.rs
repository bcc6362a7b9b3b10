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
mod registry;
mod report;
mod setup;
mod slopes;
mod subsets;
mod subsetting;
mod usage;

use clap::{Parser, ValueEnum};
use record::Version;
use registry::hollow::{self, Mode};
use registry::hollows;
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
    /// Part `registry`: proxies ask for changes when their module says so, in place of an agent that follows the list.
    #[arg(long)]
    on_request: bool,
    /// Cargo gives this to every bench.
    #[arg(long, hide = true)]
    bench: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum Part {
    /// One proxy: its memory, processor time, start, and what it hears of its list.
    Proxy,
    /// Ways of giving each proxy a subset of a service's members, by computation alone.
    Subsets,
    /// The list service as a process, followed by hollow proxies.
    Registry,
    /// What a group of proxies that agree on bans costs; `--view` changes nothing in it.
    Group,
    /// The tables and pictures, from the samples that are there.
    Report,
    /// Every part, then the report.
    All,
}

fn version_of(view: bool) -> Version {
    if view { Version::View } else { Version::WholeList }
}

/// What part `registry` serves and how.
fn registry_options(view: bool, on_request: bool) -> registry::Options {
    let mode = if on_request { Mode::OnRequest } else { Mode::Pushed };
    registry::Options { version: version_of(view), mode }
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
    match command.part {
        Part::Proxy => proxy::measure(&folder(), version_of(command.view), command.only)?,
        Part::Subsets => subsets::run(&folder())?,
        Part::Registry => registry::run(registry_options(command.view, command.on_request), &folder())?,
        Part::Group => group::measure(&folder())?,
        Part::Report => report::write(&folder(), &page())?,
        Part::All => {
            subsets::run(&folder())?;
            for view in [false, true] {
                proxy::measure(&folder(), version_of(view), command.only)?;
                registry::run(registry_options(view, command.on_request), &folder())?;
            }
            group::measure(&folder())?;
            report::write(&folder(), &page())?;
        }
    }
    Ok(())
}

/// The argument of a process of hollow proxies, where this is one.
fn hollow_bank() -> Option<String> {
    let mut arguments = std::env::args().skip(1);
    arguments.next().filter(|first| first == hollows::ARGUMENT).and_then(|_| arguments.next())
}

fn main() -> ExitCode {
    if let Some(bank) = hollow_bank() {
        return finish(hollow::run(&bank));
    }
    finish(run(&Command::parse()))
}

fn finish(result: Result<(), Box<dyn Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
