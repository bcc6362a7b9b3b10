//! The one command of the product: `gatestage proxy` runs a proxy, the other subcommands the parts around it.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use haventrack::rig::{Check, Scenario, Verdict};
use std::path::{Path, PathBuf};
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
    /// Runs a scenario of the cluster rig: proxies as processes, stand-in backends, faults between them.
    Rig {
        /// The scenario's TOML file.
        scenario: PathBuf,
        /// Where the report goes: `summary.json`, `plot.svg`, `requests.jsonl`, `history.jsonl`, the proxies' logs.
        #[arg(long, default_value = "logs/rig")]
        out: PathBuf,
        /// Only checks the scenario and prints the schedule of its faults as JSON; nothing starts.
        #[arg(long)]
        check: bool,
        /// The seed, in place of the file's: of the arrivals, the service times and the nemesis.
        #[arg(long, conflicts_with = "schedule")]
        seed: Option<u64>,
        /// A run's `summary.json`: plays its seed and its schedule again, in place of the file's faults.
        #[arg(long)]
        schedule: Option<PathBuf>,
    },
    /// Runs the list service: the platform's list and watch, and each proxy's view, from a TOML file; SIGHUP reads it
    /// again.
    Registry {
        /// The configuration: `listen`, `keep_changes`, `revision`, and `[[service]]`, `[[proxy]]` and `[[member]]`
        /// tables.
        #[arg(long)]
        config: PathBuf,
    },
    /// Measures what the rig's fault relay adds to a request's latency, against a direct connection, and prints
    /// both as JSON.
    RelayOverhead {
        /// Requests sent each way.
        #[arg(long, default_value_t = 20_000)]
        requests: u32,
    },
}

/// Runs a rig scenario; an error names what is wrong, and with a bad scenario nothing has started.
fn rig(
    file: &Path,
    out: &Path,
    check: bool,
    seed: Option<u64>,
    again: Option<&Path>,
) -> Result<ExitCode, String> {
    let mut scenario = Scenario::from_file(file).map_err(|e| format!("{}: {e}", file.display()))?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    again.map_or(Ok(()), |path| scenario.play_again(path)).map_err(|e| e.to_string())?;
    if check {
        let printed = serde_json::to_string_pretty(&scenario.played()).map_err(|e| e.to_string())?;
        println!("{printed}");
        return Ok(ExitCode::SUCCESS);
    }
    let program = std::env::current_exe().map_err(|e| format!("where is this program: {e}"))?;
    let summary = haventrack::rig::run(&scenario, &program, &out.join(&scenario.name));
    let summary = summary.map_err(|e| e.to_string())?;
    let (total, latency) = (&summary.total, &summary.latency);
    println!(
        "{}: {} sent, {:.3} answered, {} refused, {} lost, {} timed out; p50 {:.1} ms, p99 {:.1} ms, p999 {:.1} ms",
        summary.played.scenario,
        total.sent,
        total.answered(),
        total.refused,
        total.lost,
        total.timed_out,
        latency.p50_ms,
        latency.p99_ms,
        latency.p999_ms
    );
    Ok(judged(&summary.checks))
}

/// Says what the checker found in a run's history. Exit code 3: something was violated; 4: a check is undecided.
fn judged(checks: &[Check]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for check in checks {
        match check.verdict {
            Verdict::Ok => println!("{}: ok, judged {} {}", check.name, check.judged, check.events),
            Verdict::NothingToJudge => println!("{}: nothing to judge", check.name),
            Verdict::Violated => {
                eprintln!("gatestage rig: the history violates {}:", check.name);
                check.violations.iter().for_each(|violation| eprintln!("  {violation}"));
            }
            Verdict::Undecided => eprintln!("gatestage rig: {} is undecided: {}", check.name, check.events),
        }
    }
    if checks.iter().any(|check| check.verdict == Verdict::Undecided) {
        code = ExitCode::from(4);
    }
    if checks.iter().any(|check| check.verdict == Verdict::Violated) {
        code = ExitCode::from(3);
    }
    code
}

/// Exit code 2 and the error on standard error, or success.
fn finish(part: &str, result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gatestage {part}: {error}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    match Command::parse().part {
        Part::Proxy => haventrack::proxy::program::main(),
        Part::Rig { scenario, out, check, seed, schedule } => {
            rig(&scenario, &out, check, seed, schedule.as_deref())
                .unwrap_or_else(|error| finish("rig", Err(error)))
        }
        Part::Registry { config } => {
            finish("registry", haventrack::registry::serve(config).map_err(|e| e.to_string()))
        }
        Part::RelayOverhead { requests } => {
            let measured = haventrack::rig::relay_overhead(std::net::Ipv4Addr::LOCALHOST.into(), requests);
            let measured = measured.map_err(|e| e.to_string());
            let printed = measured.and_then(|o| serde_json::to_string_pretty(&o).map_err(|e| e.to_string()));
            finish("relay-overhead", printed.map(|json| println!("{json}")))
        }
    }
}
