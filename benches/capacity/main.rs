//! The scale harness: measures what proxies and the services beside them cost at growing sizes, fits a line to each
//! cost, and projects the lines to the operators' size. `cargo bench --locked --bench capacity -- PART`; the samples
//! and pictures are left in `docs/capacity`, the tables in `docs/CAPACITY.md`.
#![forbid(unsafe_code)]
#![allow(missing_docs, reason = "a program; its modules document their items")]

mod fit;
mod plot;
mod projections;
mod record;
mod report;
mod slopes;

use clap::{Parser, ValueEnum};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures what the program costs at growing sizes and projects it to the operators' size.
#[derive(Parser)]
struct Command {
    /// What to measure or make.
    #[arg(value_enum)]
    part: Part,
    /// Cargo gives this to every bench.
    #[arg(long, hide = true)]
    bench: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum Part {
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

fn run(part: Part) -> Result<(), Box<dyn Error>> {
    match part {
        Part::Report | Part::All => report::write(&folder(), &page())?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Command::parse().part) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
