//! Faults between pairs of processes on the cluster rig: real proxies and a real list service, with a relay on each
//! directed pair. Verdicts rest on what came through each pair's relay over whole seconds; deadlines are long and
//! rates low, so that a loaded machine does not change them.

#[path = "common/rig.rs"]
mod common;

use common::{refused, summary};
use serde_json::Value;
use std::fs;
use std::ops::Range;
use std::path::Path;

fn shipped(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name);
    fs::read_to_string(path).expect("a shipped scenario")
}

/// A shipped scenario with little load and much patience; at these rates and times each proxy uses every backend.
fn calm(name: &str) -> String {
    let text =
        shipped(name).replace("rate = 300", "rate = 120").replace("service_ms = 10", "service_ms = 30");
    text.replace("deadline_ms = 1500", "deadline_ms = 5000").replace("aim_ms = 200", "aim_ms = 300")
}

/// Requests that came from one proxy for one backend in these seconds of the run.
fn came(summary: &Value, from: usize, to: usize, seconds: Range<usize>) -> u64 {
    let (from, to) = (format!("proxy-{from}"), format!("backend-{to}"));
    let pairs = summary["pairs"].as_array().expect("pairs");
    let pair = pairs.iter().find(|p| p["from"] == from && p["to"] == to).expect("the pair");
    let per_second = pair["arrivals_per_second"].as_array().expect("seconds");
    per_second[seconds].iter().map(|n| n.as_u64().expect("a count")).sum()
}

#[test]
fn one_proxy_cut_from_some_backends_serves_by_the_others_and_one_deaf_to_the_list_misses_a_drain() {
    let scenario = calm("pair-partition.toml").replace("duration_s = 12", "duration_s = 15");
    let (summary, run) = summary("pairs", &scenario, "pair-partition");
    for backend in 0..2 {
        let (cut, before) = (came(&summary, 0, backend, 6..9), came(&summary, 0, backend, 0..3));
        assert!(before >= 5, "proxy-0 used backend-{backend} before: {before}");
        assert!(cut <= 9, "proxy-0 all but leaves backend-{backend} alone: {cut} in three seconds");
        let others = came(&summary, 1, backend, 4..9) + came(&summary, 2, backend, 4..9);
        assert!(others >= 10, "the other proxies go on using backend-{backend}: {others}");
    }
    let records = fs::read_to_string(run.join("requests.jsonl")).expect("records");
    let records = records.lines().map(|l| serde_json::from_str::<Value>(l).expect("a record"));
    let during =
        |r: &Value| r["proxy"] == 0 && (5_000_000..9_000_000).contains(&r["sent_us"].as_u64().unwrap());
    let during: Vec<Value> = records.filter(during).collect();
    let answered = during.iter().filter(|r| r["outcome"] == "served" || r["outcome"] == "late").count();
    let share = answered as f64 / during.len().max(1) as f64;
    assert!(during.len() > 80 && share >= 0.9, "{share} of proxy-0's {} were answered", during.len());
    // The drain at 5 s reaches the proxies that hear the list, and proxy-1 only after the heal at 10 s.
    for hearing in [0, 2] {
        assert_eq!(came(&summary, hearing, 5, 7..15), 0, "proxy-{hearing} sends on to the drained one");
    }
    assert!(came(&summary, 1, 5, 6..10) > 0, "proxy-1 can't know of the drain");
    assert_eq!(came(&summary, 1, 5, 13..15), 0, "proxy-1 hears of it after the heal");
}

/// The shipped scenario with this as its first fault; the faults begin at line 29.
fn with_first(fault: &str) -> String {
    let text = shipped("pair-partition.toml");
    let (head, rest) = text.split_once("[[fault]]").expect("faults");
    format!("{head}[[fault]]\nat_s = 3\n{fault}\n[[fault]]{rest}")
}

#[test]
fn a_bad_fault_between_pairs_is_refused_with_its_line() {
    let head = shipped("pair-partition.toml").split_once("[[fault]]").unwrap().0.lines().count();
    let line = |n: usize| format!("line {}", head + n);
    let bad = |test: &str, fault: &str, at: usize, word: &str| {
        refused(test, &with_first(fault), &[&line(at), word]);
    };
    let partition = "action = \"partition\"";
    bad(
        "unknown",
        &format!("{partition}\nfrom = [\"proxy-0\"]\nto = [\"backend-9\"]"),
        5,
        "`backend-9` is no target",
    );
    bad("itself", &format!("{partition}\nfrom = [\"zone-a\"]\nto = [\"proxy-1\"]"), 5, "both hold proxy-1");
    bad("no_group", &format!("{partition}\nfrom = [\"proxy-0\"]\nto = [\"proxy-1\"]"), 5, "`[group]`");
    bad("no_sides", partition, 2, "`from` and `to`");
    bad("kill", "action = \"kill\"\nfrom = [\"proxy-0\"]\nto = [\"list\"]", 2, "no use for `from`");
    let slow = "action = \"slow\"\nfrom = [\"proxy-0\"]\nto = [\"list\"]\nbytes_per_s = -5";
    bad("slow", slow, 6, "`bytes_per_s` is -5");
    let shared = with_first(&format!("{partition}\nfrom = [\"proxy-0\"]\nto = [\"backend-1\"]"));
    refused("shared", &shared.replace("pair_relays = true\n", ""), &["`pair_relays = true`"]);
    let group = "[group]\nname = \"g\"\nvoters = [\"proxy-0\", \"proxy-7\"]\n\n[[proxy]]";
    let group = shipped("pair-partition.toml").replacen("[[proxy]]", group, 1);
    refused("voter", &group, &["line 13", "voter `proxy-7` is no proxy"]);
}

/// Three proxies, the first two keeping what they learn, with these faults.
fn kept(faults: &str) -> String {
    let head = calm("pair-partition.toml")
        .split_once("[[fault]]")
        .unwrap()
        .0
        .replace("duration_s = 12", "duration_s = 8");
    head.replacen("[[proxy]]\nzone = \"a\"", "[[proxy]]\nzone = \"a\"\nkeep_state = true", 2) + faults
}

/// A proxy's log lines that hold `word`.
fn lines(run: &Path, proxy: usize, word: &str) -> Vec<String> {
    let log = fs::read_to_string(run.join(format!("proxy-{proxy}.log"))).expect("a log");
    log.lines().filter(|l| l.contains(word)).map(str::to_owned).collect()
}

#[test]
fn a_proxy_that_loses_its_disk_starts_cold_and_one_that_is_killed_goes_on_from_its_snapshot() {
    let scenario = kept(
        "[[fault]]\nat_s = 5\naction = \"lose_disk\"\ntarget = \"proxy-0\"\ndown_s = 0.5\n\
         [[fault]]\nat_s = 5\naction = \"power_loss\"\ntargets = [\"proxy-1\", \"proxy-2\"]\ndown_s = 0.5\n",
    );
    let (summary, run) = summary("disk", &scenario, "pair-partition");
    let lost = lines(&run, 0, "state:");
    assert!(lost.len() == 2 && lost.iter().all(|l| l.contains("cold start")), "{lost:?}");
    let kept = lines(&run, 1, "state:");
    assert!(kept.len() == 2 && kept[1].contains("restored generation"), "{kept:?}");
    assert_eq!(lines(&run, 2, "listens on").len(), 2, "proxy-2 lost power too and is back");
    let faults: Vec<&str> =
        summary["faults"].as_array().unwrap().iter().map(|f| f["what"].as_str().unwrap()).collect();
    let did =
        ["LoseDisk proxy-0", "PowerLoss proxy-1, proxy-2", "Restart proxy-0", "Restart proxy-1, proxy-2"];
    assert_eq!(faults, did);
}

#[test]
fn a_power_loss_cuts_what_a_log_had_not_synced_and_nothing_else() {
    let folder = common::folder("power");
    let file = folder.join("scenario.toml");
    let fault = "[[fault]]\nat_s = 7\naction = \"power_loss\"\ntargets = [\"proxy-0\", \"proxy-1\"]\n";
    fs::write(&file, kept(fault)).unwrap();
    let state = folder.join("out/pair-partition/proxy-0.tmp/state");
    let mut rig = common::command(&file, &folder.join("out")).spawn().expect("the rig starts");
    // Stand-ins for what a log writes, laid into the running proxy's folder well before the power goes.
    for _ in 0..1_000 {
        if state.exists() || rig.try_wait().unwrap().is_some() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    for (name, published) in [("cut", Some(60_u64)), ("whole", None), ("longer", Some(200))] {
        fs::write(state.join(format!("{name}.log")), [7; 100]).expect("the proxy has made its state_dir");
        let published = published.map(u64::to_le_bytes);
        published.inspect(|p| fs::write(state.join(format!("{name}.log.synced")), p).unwrap());
    }
    assert!(rig.wait().expect("it ends").success());
    let length = |name: &str| fs::metadata(state.join(format!("{name}.log"))).unwrap().len();
    assert_eq!([length("cut"), length("whole"), length("longer")], [60, 100, 100]);
}
