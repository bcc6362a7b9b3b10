//! The scale harness: measures what proxies and the services beside them cost at growing sizes, fits a line to each
//! cost, and projects the lines to the operators' size. `cargo bench --locked --bench capacity -- PART`; the samples
//! and pictures are left in `docs/capacity`, the tables in `docs/CAPACITY.md`.
#![forbid(unsafe_code)]
#![allow(missing_docs, reason = "a program; its modules document their items")]

mod fit;
mod plot;
mod projections;
mod record;
mod registry;
mod report;
mod slopes;
mod subsets;
mod subsetting;

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
    /// Part `registry`: views in place of whole lists.
    #[arg(long)]
    view: bool,
    /// Part `registry`: proxies ask for changes when their module says so, in place of an agent that follows the list.
    #[arg(long)]
    on_request: bool,
    /// Cargo gives this to every bench.
    #[arg(long, hide = true)]
    bench: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum Part {
    /// Ways of giving each proxy a subset of a service's members, by computation alone.
    Subsets,
    /// The list service as a process, followed by hollow proxies.
    Registry,
    /// The tables and pictures, from the samples that are there.
    Report,
    /// Every part, then the report.
    All,
}

/// What part `registry` serves and how.
fn registry_options(command: &Command) -> registry::Options {
    registry::Options {
        version: if command.view { Version::View } else { Version::WholeList },
        mode: if command.on_request { Mode::OnRequest } else { Mode::Pushed },
    }
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
        Part::Subsets => subsets::run(&folder())?,
        Part::Registry => registry::run(registry_options(command), &folder())?,
        Part::Report => report::write(&folder(), &page())?,
        Part::All => {
            subsets::run(&folder())?;
            registry::run(registry_options(command), &folder())?;
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
