//! The history of a rig run and its checker: histories that were spoilt on purpose are found by the check that is
//! meant for them, clean ones pass, and runs of real processes keep or break an operator's ban.

#[path = "common/rig.rs"]
mod rig;

use haventrack::rig::history::{Entry, What, parse};
use haventrack::rig::{Check, Verdict, checker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

/// A clean history of a group of two: a ban called for, an act in term 1 and, after the leader's kill, in term 2.
const CLEAN: &str = r#"
{"at_us":0,"kind":"run","scenario":"made","group":true}
{"at_us":10,"kind":"start","node":"proxy-0","pid":7}
{"at_us":1000000,"kind":"call","call":1,"start_us":900000,"node":"proxy-0","line":"maint-on backend-1","ended":{"answer":"200 nothing more goes there"}}
{"at_us":1300000,"kind":"sent","backend":"backend-1","node":"proxy-1","id":"a1"}
{"at_us":2000000,"kind":"act","node":"proxy-0","pid":7,"after_us":1980000,"line":{"event":"act","node":"proxy-0","term":1,"what":"serve"}}
{"at_us":2100000,"kind":"act","node":"proxy-1","pid":8,"after_us":2080000,"line":{"event":"revision","node":"proxy-1","revision":4}}
{"at_us":3000000,"kind":"fault","what":"Kill proxy-0"}
{"at_us":4000000,"kind":"act","node":"proxy-1","pid":8,"after_us":3980000,"line":{"event":"act","node":"proxy-1","term":2,"what":"serve"}}
{"at_us":4100000,"kind":"act","node":"proxy-1","pid":8,"after_us":4080000,"line":{"event":"revision","node":"proxy-1","revision":5}}
{"at_us":5000000,"kind":"read","start_us":4900000,"node":"proxy-1","banned":["backend-1"]}
{"at_us":5100000,"kind":"reached","requests":900}
"#;

fn checks(history: &str) -> Vec<Check> {
    checker::check(&parse(history).expect("a history"))
}

/// What these entries make of a group's history in which other requests reached backends.
fn group(entries: &[Value]) -> Vec<Check> {
    let run = json!({"at_us": 0, "kind": "run", "scenario": "made", "group": true});
    let reached = json!({"at_us": 0, "kind": "reached", "requests": 1});
    let lines: Vec<_> = [run, reached].iter().chain(entries).map(Value::to_string).collect();
    checks(&lines.join("\n"))
}

fn verdict(checks: &[Check], name: &str) -> Verdict {
    checks.iter().find(|check| check.name == name).expect("a check of that name").verdict
}

/// The names of the checks that were violated.
fn violated(checks: &[Check]) -> Vec<&str> {
    checks.iter().filter(|c| c.verdict == Verdict::Violated).map(|c| c.name.as_str()).collect()
}

fn call(start_us: u64, at_us: u64, line: &str, ended: Value) -> Value {
    json!({"at_us": at_us, "kind": "call", "call": start_us, "start_us": start_us, "node": "proxy-0",
           "line": line, "ended": ended})
}

fn yes() -> Value {
    json!({"answer": "200 done"})
}

fn read(at_us: u64, banned: &[&str]) -> Value {
    json!({"at_us": at_us, "kind": "read", "start_us": at_us - 1, "node": "proxy-0", "banned": banned})
}

#[test]
fn a_clean_history_passes_every_check() {
    let checks = checks(CLEAN);
    for check in &checks {
        assert_eq!(check.verdict, Verdict::Ok, "{check:?}");
        assert!(check.ok == Some(true) && check.judged > 0, "{check:?}");
    }
    assert_eq!(checks.len(), 4);
}

#[test]
fn each_spoilt_history_is_found_by_the_check_that_is_meant_for_it() {
    let act = |at_us: u64, node: &str, event: &str, key: &str, n: u64| {
        json!({"at_us": at_us, "kind": "act", "node": node, "pid": 9, "after_us": at_us - 20_000,
               "line": {"event": event, "node": node, key: n}})
    };
    let sent = |at_us: u64| json!({"at_us": at_us, "kind": "sent", "backend": "backend-1", "node": "proxy-1", "id": "b"});
    let spoilt = [
        ("a lost yes", sent(4_500_000), checker::NO_YES_LOST),
        ("a request right after the grace", sent(1_000_001 + checker::GRACE_US), checker::NO_YES_LOST),
        ("a stale read", read(4_700_000, &[]), checker::BAN_REGISTER),
        ("a ban nobody called for", read(4_700_000, &["backend-1", "backend-3"]), checker::BAN_REGISTER),
        ("two coordinators", act(2_500_000, "proxy-1", "act", "term", 1), checker::ONE_ACTS),
        ("an act of an older term", act(4_500_000, "proxy-0", "act", "term", 1), checker::ONE_ACTS),
        (
            "a revision that went back",
            act(4_500_000, "proxy-1", "revision", "revision", 3),
            checker::REVISION,
        ),
    ];
    for (what, line, name) in spoilt {
        let checks = checks(&format!("{CLEAN}{line}\n"));
        assert_eq!(violated(&checks), [name], "{what}: {checks:?}");
        let check = checks.iter().find(|check| check.name == name).expect("the check");
        assert!(check.ok == Some(false) && !check.violations.is_empty(), "{what}: {check:?}");
    }
}

#[test]
fn a_call_of_unknown_outcome_may_count_or_not_and_one_that_was_refused_may_not() {
    let on = |ended: Value| call(1_000, 2_000, "maint-on backend-1", ended);
    let open = [
        json!("timed_out"),
        json!({"broke": "reset"}),
        json!({"answer": "400 held by 1 of 3; it may still come into force"}),
    ];
    for ended in open {
        for banned in [&["backend-1"][..], &[]] {
            let checks = group(&[on(ended.clone()), read(9_000, banned)]);
            assert_eq!(verdict(&checks, checker::BAN_REGISTER), Verdict::Ok, "{ended} {banned:?}");
        }
    }
    // Seen to count, it can't be undone by nobody.
    let back = group(&[on(json!("timed_out")), read(9_000, &["backend-1"]), read(12_000, &[])]);
    assert_eq!(violated(&back), [checker::BAN_REGISTER]);
    for ended in [json!({"answer": "400 no such backend was ever listed"}), json!({"unreachable": "refused"})]
    {
        let checks = group(&[on(ended.clone()), read(9_000, &["backend-1"])]);
        assert_eq!(violated(&checks), [checker::BAN_REGISTER], "{ended}");
    }
    // Of two calls at once either may be the last.
    let both = [on(yes()), call(1_500, 2_500, "maint-off backend-1", yes())];
    for banned in [&["backend-1"][..], &[]] {
        let checks = group(&[both[0].clone(), both[1].clone(), read(9_000, banned)]);
        assert_eq!(verdict(&checks, checker::BAN_REGISTER), Verdict::Ok, "{banned:?}");
        assert_eq!(
            verdict(&checks, checker::NO_YES_LOST),
            Verdict::NothingToJudge,
            "the yes is not the last word"
        );
    }
}

#[test]
fn a_stale_look_is_found_in_a_history_too_long_for_the_whole_search() {
    let word = ["maint-on backend-1", "maint-off backend-1"];
    let mut long: Vec<Value> = (0..3).map(|n| call(1_000 + n, 2_000, word[0], json!("timed_out"))).collect();
    for n in 0..60 {
        let at = 10_000 + 100 * n;
        long.push(call(at, at + 50, word[n as usize % 2], yes()));
        long.push(read(at + 70, if n % 2 == 0 { &["backend-1"] } else { &[] }));
    }
    assert_eq!(verdict(&group(&long), checker::BAN_REGISTER), Verdict::Ok);
    // The calls without an answer explain that it is banned, and nothing explains that it is not again.
    long.extend([read(20_000, &["backend-1"]), read(20_010, &[])]);
    assert_eq!(violated(&group(&long)), [checker::BAN_REGISTER]);
}

#[test]
fn what_was_not_shown_is_not_called_ok() {
    for check in group(&[]) {
        assert_eq!((check.verdict, check.ok, check.judged), (Verdict::NothingToJudge, None, 0), "{check:?}");
    }
    let cut = checks(&format!("{CLEAN}{{\"at_us\":6000000,\"kind\":\"truncated\"}}"));
    assert!(cut.iter().all(|check| check.verdict == Verdict::Undecided && check.ok.is_none()), "{cut:?}");
    // Calls without an answer, and looks that only an order of some of them explains.
    let mut many: Vec<Value> = (0..9)
        .map(|n| {
            call(
                1_000 + n,
                2_000,
                ["maint-on backend-1", "maint-off backend-1"][n as usize % 2],
                json!("timed_out"),
            )
        })
        .collect();
    many.extend((0..6).map(|n| read(9_000 + 10 * n, if n % 2 == 0 { &["backend-1"] } else { &[] })));
    assert_eq!(verdict(&group(&many), checker::BAN_REGISTER), Verdict::Undecided);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Calls and looks one after the other at a store that keeps what it is told: always accepted, and no longer once
    /// a single look is changed.
    #[test]
    fn a_sequential_history_is_accepted_and_one_changed_look_is_not(
        steps in prop::collection::vec((0_usize..3, 0_usize..3, any::<bool>()), 1..60),
        shared in any::<bool>(),
        changed in any::<prop::sample::Index>(),
    ) {
        let (mut stores, mut entries) = (vec![BTreeSet::new(); 3], Vec::<Value>::new());
        for (n, (proxy, backend, on)) in steps.into_iter().enumerate() {
            let (at, node, id) = (1_000 * (n as u64 + 1), format!("proxy-{proxy}"), format!("backend-{backend}"));
            let store = &mut stores[if shared { 0 } else { proxy }];
            let line = format!("{} {id}", if on { "maint-on" } else { "maint-off" });
            let _ = if on { store.insert(id) } else { store.remove(&id) };
            entries.push(json!({"at_us": at, "kind": "call", "call": n, "start_us": at - 400, "node": node,
                                "line": line, "ended": yes()}));
            entries.push(json!({"at_us": at + 300, "kind": "read", "start_us": at + 100, "node": node,
                                "banned": store}));
        }
        let run = json!({"at_us": 0, "kind": "run", "scenario": "made", "group": shared});
        let judge = |entries: &[Value]| {
            let all: Vec<Entry> = [&run].into_iter().chain(entries)
                .map(|v| serde_json::from_value(v.clone()).expect("an entry")).collect();
            verdict(&checker::check(&all), checker::BAN_REGISTER)
        };
        prop_assert_eq!(judge(&entries), Verdict::Ok);
        let look = 2 * changed.index(entries.len() / 2) + 1;
        let banned: Vec<Value> = entries[look]["banned"].as_array().expect("a list").clone();
        entries[look]["banned"] = if banned.is_empty() { json!(["backend-0"]) } else { json!(banned[1..]) };
        prop_assert_eq!(judge(&entries), Verdict::Violated);
    }
}

/// Runs the scenario `ban-calls` with this text; `at` is told each line that the rig writes on standard error, and the
/// run's folder.
fn play(test: &str, scenario: &str, mut at: impl FnMut(&str, &Path)) -> (ExitStatus, String, PathBuf) {
    let folder = rig::folder(test);
    let (file, out) = (folder.join("scenario.toml"), folder.join("out"));
    fs::write(&file, scenario).expect("the scenario is written");
    let mut rig = rig::command(&file, &out);
    let mut rig = rig.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().expect("the rig starts");
    let run = out.join("ban-calls");
    let mut said = String::new();
    for line in BufReader::new(rig.stderr.take().expect("its standard error")).lines() {
        let line = line.expect("text");
        at(&line, &run);
        said.push_str(&line);
        said.push('\n');
    }
    (rig.wait().expect("the rig ends by itself"), said, run)
}

fn shipped() -> String {
    scenario("ban-calls.toml")
}

fn scenario(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(file);
    fs::read_to_string(path).expect("a shipped scenario")
}

fn reported(run: &Path) -> Vec<Check> {
    let text = fs::read_to_string(run.join("summary.json")).expect("a summary");
    let summary: Value = serde_json::from_str(&text).expect("JSON");
    serde_json::from_value(summary["checks"].clone()).expect("checks")
}

const REVISIONS: &str = "{\"event\":\"revision\",\"node\":\"proxy-0\",\"revision\":4}\nplain {text}\n{\"no\":1}\n\
                         {\"event\":\"revision\",\"node\":\"proxy-0\",\"revision\":5}\n";

#[test]
fn bans_hold_over_kills_and_restarts_and_the_history_holds_what_happened() {
    let mut killed = false;
    let (status, said, run) = play("whole", &shipped(), |line, run| {
        if line.ends_with("Kill proxy-0") && !std::mem::replace(&mut killed, true) {
            // What a process that takes revisions would have logged, among other lines.
            let mut log = fs::File::options().append(true).open(run.join("proxy-0.log")).expect("its log");
            log.write_all(REVISIONS.as_bytes()).expect("it is written");
        }
    });
    assert!(status.success(), "{said}");
    let reported = reported(&run);
    for name in [checker::BAN_REGISTER, checker::NO_YES_LOST, checker::REVISION] {
        assert_eq!(verdict(&reported, name), Verdict::Ok, "{reported:?}");
    }
    assert_eq!(verdict(&reported, checker::ONE_ACTS), Verdict::NothingToJudge, "{reported:?}");
    let history = fs::read_to_string(run.join("history.jsonl")).expect("a history");
    assert_eq!(checks(&history), reported, "the report says what the history says");
    let count = |what: &str| history.lines().filter(|line| line.contains(what)).count();
    // Two kills and two restarts; the third end is the rig's own, when the run is over.
    assert_eq!(count(r#""kind":"start","node":"proxy-0""#), 3, "{history}");
    assert!(
        count(r#""what":"Kill proxy-0""#) == 2 && count(r#""kind":"end","node":"proxy-0""#) == 3,
        "{history}"
    );
    assert_eq!(count(r#""400 no such backend was ever listed""#), 1, "{history}");
    assert!(count(r#""200 nothing more goes there""#) > 5, "{history}");
    let entries = parse(&history).expect("entries");
    assert!(entries.is_sorted_by_key(|entry| entry.at_us));
    let pid = entries.iter().find_map(|entry| match &entry.what {
        What::Start { node, pid } if node == "proxy-0" => Some(*pid),
        _ => None,
    });
    let acts = entries.iter().filter(|entry| {
        matches!(&entry.what, What::Act { node, pid: by, .. } if node == "proxy-0" && Some(*by) == pid)
    });
    assert_eq!(acts.count(), 2, "the lines with an event, with the process that wrote them");
}

#[test]
fn bans_that_are_gone_after_a_restart_are_found_and_the_exit_code_says_so() {
    let scenario = shipped().replace("duration_s = 12", "duration_s = 9");
    let faults = "[[fault]]\nat_s = 0.5\naction = \"call\"\ntarget = \"proxy-0\"\nline = \"maint-on backend-4\"\n\
                  [[fault]]\nat_s = 2\naction = \"kill\"\ntarget = \"proxy-0\"\n\
                  [[fault]]\nat_s = 4\naction = \"restart\"\ntarget = \"proxy-0\"\n";
    let head = scenario.split("[calls]").next().expect("a head").to_owned();
    let (status, said, run) = play("gone", &(head + faults), |line, run| {
        if line.ends_with("Kill proxy-0") {
            let bans = fs::read_dir(run.join("proxy-0.tmp/haventrack-bans")).expect("the stored bans");
            bans.for_each(|ban| fs::remove_file(ban.expect("a ban").path()).expect("the ban goes"));
        }
    });
    assert_eq!(status.code(), Some(3), "{said}");
    assert!(said.contains("the history violates no_yes_lost"), "{said}");
    let reported = reported(&run);
    assert_eq!(violated(&reported), [checker::BAN_REGISTER, checker::NO_YES_LOST], "{reported:?}");
    let lost =
        &reported.iter().find(|check| check.name == checker::NO_YES_LOST).expect("the check").violations;
    assert!(lost[0].contains("backend-4 got request") && lost[0].contains("from proxy-0"), "{lost:?}");
}

#[test]
fn the_bans_of_a_group_are_one_register_while_its_voters_fail() {
    let scenario = scenario("group-calls.toml").replace("\"group-calls\"", "\"ban-calls\"");
    let (status, said, run) = play("group", &scenario.replace("most = 40", "most = 24"), |_, _| {});
    assert!(status.success(), "{said}");
    let reported = reported(&run);
    for name in [checker::BAN_REGISTER, checker::NO_YES_LOST] {
        assert_eq!(verdict(&reported, name), Verdict::Ok, "{reported:?}");
    }
    let history = fs::read_to_string(run.join("history.jsonl")).expect("a history");
    for node in ["proxy-0", "proxy-1", "proxy-2"] {
        let applied = parse(&history).expect("entries").into_iter().any(|entry| {
            matches!(entry.what, What::Act { node: by, line, .. } if by == node && line["event"] == "ban_applied")
        });
        assert!(applied, "{node} says which bans it has applied");
    }
}

#[test]
fn bad_calls_are_refused_with_their_line_and_nothing_starts() {
    let bad = [
        ("most = 30", "most = 0", "`most` is 0"),
        ("every_ms = 330", "every_ms = 1", "`every_ms` is 1"),
        ("\"backend-1\", \"backend-2\"", "\"zone-a\"", "`zone-a` is no proxy and no backend"),
        ("line = \"maint-on backend-4\"", "line = \"maint-on\"", "`maint-on` wants the id of a backend"),
        ("line = \"maint-on backend-4\"", "", "`Call` needs its `line`"),
        ("action = \"kill\"", "action = \"kill\"\nline = \"status\"", "`Kill` has no use for `line`"),
        ("target = \"proxy-0\"\nline", "target = \"list\"\nline", "`list` is no target for `Call`"),
    ];
    for (n, (good, wrong, word)) in bad.into_iter().enumerate() {
        assert!(shipped().contains(good), "{good}");
        rig::refused(&format!("bad-{n}"), &shipped().replacen(good, wrong, 1), &[word, "line "]);
    }
}
