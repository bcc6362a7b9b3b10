//! The append-only log on real files: a torn end at every byte, damage at every byte, other owners, a process
//! killed while it appends, and disks that take no more.

use haventrack::store::{HEADER, Log, LogError, Owner, PUBLISH_SYNCED, Rejection};
use std::io::{BufRead, BufReader, Write, stderr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::{env, fs};

/// An entry that its index determines.
type Entry = (u64, Vec<u8>);

fn entry(index: u64) -> Entry {
    (index, vec![index as u8; (index % 40) as usize])
}

fn entries(range: std::ops::Range<u64>) -> Vec<Entry> {
    range.map(entry).collect()
}

fn owner() -> Owner {
    Owner { group: "region-a".to_owned(), node: "proxy-0".to_owned(), identity: 7 }
}

fn folder(test: &str) -> PathBuf {
    let folder = env::temp_dir().join(format!("gatestage-log-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn open(folder: &Path) -> Result<Log<Entry>, LogError> {
    Log::open(folder, "bans", 3, &owner())
}

/// Checks that the log holds exactly these entries.
fn holds(log: &Log<Entry>, range: std::ops::Range<u64>) {
    assert_eq!((log.first(), log.next()), (range.start, range.end));
    let expected: Vec<_> = range.map(|index| (index, entry(index))).collect();
    assert_eq!(log.read(0..u64::MAX).expect("readable"), expected);
}

/// A log of these many entries, each appended and synced by itself, and closed; the file's bytes, and where each
/// entry begins, and the end.
fn written(folder: &Path, count: u64) -> (PathBuf, Vec<u8>, Vec<usize>) {
    let mut log = open(folder).expect("a new log");
    let mut starts = vec![log.synced_len() as usize];
    for index in 0..count {
        log.append(index, &[entry(index)]).and_then(|()| log.sync()).expect("on disk");
        starts.push(log.synced_len() as usize);
    }
    let bytes = fs::read(log.path()).expect("the file is there");
    (log.path(), bytes, starts)
}

#[test]
fn entries_are_there_again_and_only_the_next_index_is_taken() {
    let folder = folder("again");
    let mut log = open(&folder).expect("a new log");
    holds(&log, 0..0);
    log.append(0, &entries(0..5)).expect("written");
    assert!(!log.is_synced(), "written is not synced");
    log.sync().expect("on disk");
    assert!(log.is_synced());
    for wrong in [4, 6] {
        let error = log.append(wrong, &entries(wrong..wrong + 1)).unwrap_err();
        assert!(matches!(error, LogError::Gap { due: 5, given, .. } if given == wrong), "{error}");
    }
    let huge = (5, vec![1; 65 << 10]);
    assert!(matches!(log.append(5, &[entry(5), huge]).unwrap_err(), LogError::Unfit { index: 6, .. }));
    log.append(5, &entries(5..9)).and_then(|()| log.sync()).expect("the log goes on after a refusal");
    assert_eq!(log.get(7).expect("readable"), Some(entry(7)));
    assert_eq!(log.get(9).expect("readable"), None);
    drop(log);
    let log = open(&folder).expect("whole");
    assert_eq!((log.opened().entries, &log.opened().cut), (9, &None));
    holds(&log, 0..9);
}

#[test]
fn a_torn_end_is_cut_off_at_any_byte_and_the_log_goes_on() {
    let folder = folder("torn");
    let (path, bytes, starts) = written(&folder, 6);
    for length in starts[4]..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let whole = starts.iter().rposition(|&start| start <= length).unwrap() as u64;
        let mut log = open(&folder).unwrap_or_else(|error| panic!("cut at {length}: {error}"));
        holds(&log, 0..whole);
        assert_eq!(
            fs::metadata(&path).unwrap().len(),
            log.synced_len(),
            "cut at {length}: all torn bytes go"
        );
        let torn = length - starts[whole as usize];
        let cut = log.opened().cut.as_ref().map(|cut| (cut.at_index, cut.bytes));
        assert_eq!(cut, (torn > 0).then_some((whole, torn as u64)), "cut at {length}");
        log.append(whole, &entries(whole..8)).and_then(|()| log.sync()).expect("the log goes on");
        drop(log);
        holds(&open(&folder).expect("whole again"), 0..8);
    }
    // A file that grew before its data reached the disk.
    fs::write(&path, [bytes.as_slice(), &[0; 5_000]].concat()).unwrap();
    let log = open(&folder).expect("zeros are a torn end");
    holds(&log, 0..6);
    assert_eq!(log.opened().cut.as_ref().map(|cut| cut.bytes), Some(5_000));
}

#[test]
fn every_flipped_byte_is_refused_by_name_and_only_the_last_entry_can_be_cut() {
    let folder = folder("flip");
    let (path, bytes, starts) = written(&folder, 6);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x5a;
        fs::write(&path, &damaged).unwrap();
        let index = starts.iter().rposition(|&start| start <= at).map(|index| index as u64);
        match (open(&folder), index) {
            (Ok(log), Some(5)) => {
                holds(&log, 0..5);
                assert_eq!(log.opened().cut.as_ref().map(|cut| cut.at_index), Some(5), "byte {at}");
                continue;
            }
            (Err(LogError::Header { path: named, .. }), None) => assert_eq!(named, path, "byte {at}"),
            (Err(error @ LogError::Damaged { .. }), Some(index)) => {
                let text = error.to_string();
                assert!(
                    text.contains(&format!("entry {index}, at byte {}", starts[index as usize])),
                    "{text}"
                );
                assert!(text.contains(&path.display().to_string()), "{text}");
                assert!(text.contains(&format!("entry {} after it is whole", index + 1)), "{text}");
            }
            (Err(error), _) => panic!("byte {at}: {error}"),
            (Ok(log), _) => panic!("byte {at}: opened with {} entries", log.next()),
        }
        assert_eq!(fs::read(&path).unwrap(), damaged, "byte {at}: a refused log is not touched");
    }
    // An entry lost whole, and damage under an open log.
    fs::write(&path, [&bytes[..starts[2]], &bytes[starts[3]..]].concat()).unwrap();
    let error = open(&folder).unwrap_err();
    assert!(matches!(error, LogError::OutOfPlace { index: 2, found: 3, .. }), "{error}");
    fs::write(&path, &bytes).unwrap();
    let log = open(&folder).expect("whole");
    let mut damaged = bytes.clone();
    damaged[starts[2] + 33] ^= 1;
    fs::write(&path, damaged).unwrap();
    assert!(matches!(log.read(0..6).unwrap_err(), LogError::Damaged { index: 2, .. }));
    assert_eq!(log.get(3).expect("the others are read"), Some(entry(3)));
}

/// What no torn write leaves: the checksums hold.
#[test]
fn what_is_whole_and_wrong_is_refused_even_at_the_end() {
    let (path, _, _) = written(&folder("one"), 1);
    let error = Log::<String>::open(path.parent().unwrap(), "bans", 3, &owner()).unwrap_err();
    assert!(matches!(error, LogError::Damaged { index: 0, follows: None, .. }), "{error}");

    let folder = folder("whole");
    let (path, bytes, starts) = written(&folder, 42);
    let log = open(&folder).expect("whole");
    let copy = &bytes[starts[1]..starts[2]];
    fs::write(&path, [&bytes[..starts[41]], copy].concat()).unwrap();
    let error = log.read(0..99).unwrap_err();
    assert!(matches!(error, LogError::OutOfPlace { index: 41, found: 1, .. }), "{error}");
    drop(log);
    let error = open(&folder).unwrap_err();
    assert!(matches!(error, LogError::OutOfPlace { index: 41, found: 1, .. }), "{error}");

    let mut far = bytes[..starts[0]].to_vec();
    far[8..16].copy_from_slice(&u64::MAX.to_le_bytes());
    let sum = crc32fast::hash(&[&far[..28], &far[HEADER..]].concat());
    far[28..HEADER].copy_from_slice(&sum.to_le_bytes());
    fs::write(&path, &far).unwrap();
    let error = open(&folder).unwrap_err();
    assert!(matches!(error, LogError::Header { why: Rejection::Garbled(_), .. }), "{error}");
}

#[test]
fn truncated_and_purged_entries_stay_away() {
    let folder = folder("purge");
    let mut log = open(&folder).expect("a new log");
    log.append(0, &entries(0..20)).expect("written");
    log.truncate_from(15).expect("truncated");
    log.truncate_from(15).expect("nothing to remove is no error");
    log.append(15, &entries(15..17)).expect("written");
    log.purge_to(4).expect("purged");
    log.purge_to(3).expect("nothing to remove is no error");
    holds(&log, 5..17);
    assert!(log.is_synced(), "what a purge leaves is synced");
    assert!(matches!(log.truncate_from(4).unwrap_err(), LogError::Purged { index: 4, first: 5, .. }));
    // A purge that was killed before its rename.
    fs::write(folder.join("bans.log.1.tmp"), b"half a log").unwrap();
    drop(log);
    let mut log = open(&folder).expect("whole");
    holds(&log, 5..17);
    log.append(17, &entries(17..18)).and_then(|()| log.sync()).expect("the new file takes entries");
    log.truncate_from(5).expect("all of it");
    log.append(5, &entries(5..7)).and_then(|()| log.sync()).expect("on disk");
    drop(log);
    let mut log = open(&folder).expect("whole");
    holds(&log, 5..7);
    log.purge_to(99).expect("a snapshot reaches further than the log");
    drop(log);
    let mut log = open(&folder).expect("whole");
    holds(&log, 100..100);
    log.append(100, &entries(100..101)).and_then(|()| log.sync()).expect("on disk");
    assert!(matches!(log.purge_to(u64::MAX).unwrap_err(), LogError::Index { .. }));
    holds(&log, 100..101);
}

#[test]
fn a_full_log_refuses_and_goes_on_once_purged() {
    let mut log = Log::open(&folder("full"), "bans", 3, &owner()).expect("a new log");
    let big = vec![vec![5u8; 60 << 10]; 32];
    let error = (0..40).find_map(|_| log.append(log.next(), &big).err()).expect("full before 80 MB");
    assert!(matches!(error, LogError::Full { .. }), "{error}");
    log.purge_to(log.next() - 2).expect("purged");
    log.append(log.next(), &big).and_then(|()| log.sync()).expect("there is room again");
    fs::remove_dir_all(log.path().parent().unwrap()).expect("64 MB are given back");
}

#[test]
fn a_log_of_another_owner_version_or_type_or_one_in_use_is_refused() {
    let folder = folder("other");
    let (path, bytes, _) = written(&folder, 3);
    for (other, part) in [
        (Owner { group: "region-b".to_owned(), ..owner() }, "region-b"),
        (Owner { node: "proxy-1".to_owned(), ..owner() }, "proxy-1"),
        (Owner { identity: 8, ..owner() }, "0000000000000008"),
    ] {
        let error = Log::<Entry>::open(&folder, "bans", 3, &other).unwrap_err();
        assert!(matches!(error, LogError::Owner { .. }), "{error}");
        let text = error.to_string();
        assert!(text.contains(part) && text.contains("proxy-0") && text.contains("bans.log"), "{text}");
    }
    let error = Log::<Entry>::open(&folder, "bans", 4, &owner()).unwrap_err();
    assert!(error.to_string().contains("version 3, this program reads 4"), "{error}");
    let error = Log::<String>::open(&folder, "bans", 3, &owner()).unwrap_err();
    assert!(matches!(error, LogError::Damaged { index: 0, .. }), "{error}");
    assert!(matches!(Log::<Entry>::open(&folder, "a/b", 3, &owner()), Err(LogError::Name(_))));
    let log = open(&folder).expect("the owner opens it");
    assert!(matches!(open(&folder).unwrap_err(), LogError::InUse { path: named } if named == path));
    drop(log);
    assert_eq!(fs::read(&path).unwrap(), bytes, "a refused log is not touched");
}

#[test]
fn what_is_no_file_or_no_folder_is_a_clear_error() {
    let folder = folder("blocked");
    fs::create_dir_all(folder.join("bans.log")).unwrap();
    let error = open(&folder).unwrap_err();
    assert!(
        matches!(&error, LogError::Io { step: "open", path, .. } if path.ends_with("bans.log")),
        "{error}"
    );
    fs::write(folder.join("file"), b"").unwrap();
    let error = open(&folder.join("file")).unwrap_err();
    assert!(matches!(error, LogError::Io { step: "create", .. }), "{error}");
}

/// Starts the test `name` of this file as a process of its own, through `shell` where one is given.
fn child(name: &str, folder: &Path, limit: Option<&str>) -> Child {
    let script = format!("{}; exec \"$0\" \"$@\"", limit.unwrap_or(":"));
    let mut command = Command::new("sh");
    command.arg("-c").arg(script).arg(env::current_exe().expect("this program"));
    command.args(["--exact", name, "--ignored", "--nocapture"]);
    command.env("LOG_FOLDER", folder).env(PUBLISH_SYNCED, "1");
    command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the child starts")
}

/// Lets go of the entries from this index on, or has synced all up to this one.
fn told(line: &str, required: &mut u64) -> bool {
    let number = |prefix| line.strip_prefix(prefix).and_then(|digits| digits.parse::<u64>().ok());
    if let Some(dropped) = number("dropping ") {
        *required = (*required).min(dropped);
    }
    number("synced up to ").is_some_and(|next| {
        *required = next;
        true
    })
}

#[test]
#[ignore = "the process that the test of kills starts; it does nothing by itself"]
fn writer() {
    let Some(folder) = env::var_os("LOG_FOLDER") else { return };
    let mut log = open(Path::new(&folder)).expect("the log opens");
    for round in 1..=50_000u64 {
        let next = log.next();
        log.append(next, &entries(next..next + 1 + round % 4)).and_then(|()| log.sync()).expect("on disk");
        writeln!(stderr(), "synced up to {}", log.next()).expect("somebody listens");
        if round % 16 == 0 {
            log.purge_to(log.next() - 12).expect("purged");
        }
        if round % 10 == 0 {
            writeln!(stderr(), "dropping {}", log.next() - 1).expect("somebody listens");
            log.truncate_from(log.next() - 1).expect("truncated");
        }
    }
}

/// Every second kill is a power loss as the rig emulates it: what was not synced is gone from the file.
#[test]
fn a_killed_writer_keeps_every_entry_that_it_said_was_synced() {
    let folder = folder("kills");
    let mut rng = fastrand::Rng::with_seed(20);
    let mut required = 0;
    for kill in 0..20 {
        let mut writer = child("writer", &folder, None);
        let mut lines = BufReader::new(writer.stderr.take().expect("standard error")).lines();
        let wait_for = rng.usize(1..60);
        let synced = lines.by_ref().map_while(Result::ok).filter(|line| told(line, &mut required));
        assert_eq!(synced.take(wait_for).count(), wait_for, "kill {kill}: the writer ended by itself");
        writer.kill().and_then(|()| writer.wait()).expect("killed");
        for line in lines.map_while(Result::ok) {
            told(&line, &mut required);
        }
        let file = fs::File::options().write(true).open(folder.join("bans.log")).expect("the log's file");
        if kill % 2 == 0 {
            let published = fs::read(folder.join("bans.log.synced")).expect("the synced length");
            let synced = u64::from_le_bytes(published.try_into().expect("8 bytes"));
            let length = file.metadata().expect("its length").len();
            file.set_len(length.min(synced)).expect("cut");
        }
        let log = open(&folder).unwrap_or_else(|error| panic!("kill {kill}: {error}"));
        assert!(log.next() >= required, "kill {kill}: {} of {required}", log.next());
        assert!(log.first() + 10 <= log.next() || log.first() == 0, "kill {kill}: purged too much");
        holds(&log, log.first()..log.next());
        required = log.next();
    }
}

#[test]
#[ignore = "the process that the test of a full disk starts; it does nothing by itself"]
fn filler() {
    let Some(folder) = env::var_os("LOG_FOLDER") else { return };
    let mut log = open(Path::new(&folder)).expect("the log opens");
    for _ in 0..50_000 {
        let next = log.next();
        let error = match log.append(next, &entries(next..next + 7)).and_then(|()| log.sync()) {
            Ok(()) => continue,
            Err(error) => error,
        };
        assert!(matches!(error, LogError::Io { step: "write", .. }), "{error}");
        let again = log.append(log.next(), &entries(log.next()..log.next() + 1)).unwrap_err();
        assert!(matches!(again, LogError::Failed { step: "write", .. }), "{again}");
        assert!(matches!(log.sync().unwrap_err(), LogError::Failed { .. }));
        holds(&log, 0..next);
        writeln!(stderr(), "synced up to {next}").expect("somebody listens");
        return;
    }
}

#[test]
fn a_file_that_may_not_grow_fails_the_log_and_keeps_what_was_synced() {
    let folder = folder("limit");
    // The signal that comes with the limit ends a process that does not ignore it.
    let filler = child("filler", &folder, Some("trap '' XFSZ; ulimit -f 16"));
    let output = filler.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}");
    let mut synced = 0;
    assert!(text.lines().any(|line| told(line, &mut synced)), "it never ran into the limit: {text}");
    let mut log = open(&folder).expect("whole");
    assert_eq!(log.opened().cut, None, "the half-written entries were taken back");
    holds(&log, 0..synced);
    log.append(synced, &entries(synced..synced + 7)).and_then(|()| log.sync()).expect("room again");
}

#[test]
#[ignore = "a measurement: run by hand with --nocapture"]
fn measure_append_and_sync() {
    for batch in [1u64, 64] {
        let mut log = Log::<Vec<u8>>::open(&folder("measure"), "bans", 3, &owner()).expect("a new log");
        let mut append = hdrhistogram::Histogram::<u64>::new(3).expect("three figures");
        let mut both = append.clone();
        let entries = vec![vec![7u8; 99]; batch as usize];
        for _ in 0..2_000 {
            let begin = std::time::Instant::now();
            log.append(log.next(), &entries).expect("written");
            append.record(begin.elapsed().as_micros() as u64).expect("recorded");
            log.sync().expect("on disk");
            both.record(begin.elapsed().as_micros() as u64).expect("recorded");
        }
        let show = |h: &hdrhistogram::Histogram<u64>| {
            [0.5, 0.99].map(|q| h.value_at_quantile(q)).map(|us| format!("{us} us")).join(", ")
        };
        eprintln!("batch {batch}: append p50, p99 {}; append and sync {}", show(&append), show(&both));
    }
}
