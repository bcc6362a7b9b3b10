//! The history of a rig run: what operators called and were answered, and what became of the processes.

#[path = "common/rig.rs"]
mod rig;

use haventrack::rig::history::{What, parse};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

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
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/ban-calls.toml");
    fs::read_to_string(path).expect("a shipped scenario")
}

const REVISIONS: &str = "{\"event\":\"revision\",\"node\":\"proxy-0\",\"revision\":4}\nplain {text}\n{\"no\":1}\n\
                         {\"event\":\"revision\",\"node\":\"proxy-0\",\"revision\":5}\n";

#[test]
fn the_history_holds_the_calls_the_processes_and_what_they_log() {
    let mut killed = false;
    let (status, said, run) = play("whole", &shipped(), |line, run| {
        if line.ends_with("Kill proxy-0") && !std::mem::replace(&mut killed, true) {
            // What a process that takes revisions would have logged, among other lines.
            let mut log = fs::File::options().append(true).open(run.join("proxy-0.log")).expect("its log");
            log.write_all(REVISIONS.as_bytes()).expect("it is written");
        }
    });
    assert!(status.success(), "{said}");
    let history = fs::read_to_string(run.join("history.jsonl")).expect("a history");
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
