//! Spoilt files for the readers of the store: changes to whole ones, with and without their checksums put right
//! again. CI plays a few of a fixed seed; `GATESTAGE_FUZZ_CASES` and `GATESTAGE_FUZZ_SEED` play more.

use haventrack::store::{HEADER, Log, LogError, Owner, Store};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{env, fs};

type Value = Vec<(u64, String)>;

fn value(index: u64) -> Value {
    (0..index % 4).map(|at| (index * at, "x".repeat(at as usize * 7))).collect()
}

/// One change; places and lengths are shares of the file's length, 1/65536 each.
#[derive(Clone, Debug)]
enum Change {
    Cut(u16),
    Flip(u16, u8),
    Insert(u16, Vec<u8>),
    Drop(u16, u16),
    Repeat(u16, u16),
    Zero(u16, u16),
    /// A field of the header that begins next, at this offset in it, becomes this number.
    Number(u16, usize, u64),
    Replace(Vec<u8>),
}

fn change() -> impl Strategy<Value = Change> {
    use Change::{Cut, Drop, Flip, Insert, Number, Repeat, Replace, Zero};
    let number = prop_oneof![any::<u64>(), 0u64..9, Just(u64::MAX), Just(u64::MAX / 2), Just(1 << 32)];
    prop_oneof![
        any::<u16>().prop_map(Cut),
        (any::<u16>(), 1u8..).prop_map(|(at, mask)| Flip(at, mask)),
        (any::<u16>(), prop::collection::vec(any::<u8>(), 1..40)).prop_map(|(at, bytes)| Insert(at, bytes)),
        (any::<u16>(), 0u16..20_000).prop_map(|(at, length)| Drop(at, length)),
        (any::<u16>(), 0u16..20_000).prop_map(|(at, length)| Repeat(at, length)),
        (any::<u16>(), 0u16..20_000).prop_map(|(at, length)| Zero(at, length)),
        (any::<u16>(), prop::sample::select(vec![4, 6, 8, 16, 24]), number)
            .prop_map(|(at, field, number)| Number(at, field, number)),
        prop::collection::vec(any::<u8>(), 0..300).prop_map(Replace),
    ]
}

/// Where the next envelope begins, from `at` on: each magic begins with `GST`.
fn envelope_from(bytes: &[u8], at: usize) -> Option<usize> {
    bytes.get(at..)?.windows(3).position(|window| window == b"GST").map(|found| at + found)
}

fn apply(change: &Change, bytes: &mut Vec<u8>) {
    let length = bytes.len();
    let place = |share: u16| length * usize::from(share) / 65_536;
    let span = |at: u16, share: u16| place(at)..length.min(place(at) + place(share));
    match change {
        Change::Cut(at) => bytes.truncate(place(*at)),
        Change::Flip(at, mask) => bytes.iter_mut().skip(place(*at)).take(1).for_each(|byte| *byte ^= mask),
        Change::Insert(at, new) => drop(bytes.splice(place(*at)..place(*at), new.iter().copied())),
        Change::Drop(at, share) => drop(bytes.drain(span(*at, *share))),
        Change::Repeat(at, share) => bytes.extend_from_within(span(*at, *share)),
        Change::Zero(at, share) => bytes[span(*at, *share)].fill(0),
        Change::Replace(new) => bytes.clone_from(new),
        Change::Number(at, field, number) => {
            let at = envelope_from(bytes, place(*at)).map_or(length, |begin| begin + field);
            let width = [2, 8, 4][[4..8, 8..24, 24..28].iter().position(|r| r.contains(field)).unwrap()];
            if let Some(place) = bytes.get_mut(at..at + width) {
                place.copy_from_slice(&number.to_le_bytes()[..width]);
            }
        }
    }
}

/// Puts every checksum right whose payload is all there.
fn repair(bytes: &mut [u8]) {
    let mut at = 0;
    while let Some(begin) = envelope_from(bytes, at) {
        at = begin + 3;
        let Some(header) = bytes.get(begin..begin + HEADER) else { return };
        let length = u32::from_le_bytes(header[24..28].try_into().unwrap()) as usize;
        let Some(payload) = bytes.get(begin + HEADER..begin + HEADER + length) else { continue };
        let sum = crc32fast::hash(&[&header[..28], payload].concat());
        bytes[begin + 28..begin + HEADER].copy_from_slice(&sum.to_le_bytes());
    }
}

/// Plays `check` on copies of `whole` spoilt in one to three places; `true` where the checksums were put right.
/// Gives how often `check` said what.
fn play(
    whole: &[u8],
    check: impl Fn(&[u8], bool) -> Result<&'static str, TestCaseError>,
) -> BTreeMap<&'static str, u32> {
    let said = RefCell::new(BTreeMap::new());
    let number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (cases, seed) = (number("GATESTAGE_FUZZ_CASES"), number("GATESTAGE_FUZZ_SEED"));
    let mut runner = TestRunner::new(ProptestConfig {
        cases: cases.unwrap_or(2_000) as u32,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(20)),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let spoilt = (prop::collection::vec(change(), 1..4), any::<bool>());
    let played = runner.run(&spoilt, |(changes, repaired)| {
        let mut bytes = whole.to_vec();
        changes.iter().for_each(|change| apply(change, &mut bytes));
        if repaired {
            repair(&mut bytes);
        }
        *said.borrow_mut().entry(check(&bytes, repaired)?).or_default() += 1;
        Ok(())
    });
    played.unwrap_or_else(|failure| panic!("{failure}"));
    let said = said.into_inner();
    eprintln!("{said:?}");
    said
}

fn folder(test: &str) -> PathBuf {
    let folder = env::temp_dir().join(format!("gatestage-fuzz-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn open(folder: &Path) -> Result<Log<Value>, LogError> {
    let owner = Owner { group: "region-a".to_owned(), node: "proxy-0".to_owned(), identity: 7 };
    Log::open(folder, "bans", 3, &owner)
}

/// A spoilt log opens with entries of the one it was, from the first on, or is refused untouched; opened again it is
/// the same.
#[test]
fn a_spoilt_log_never_gives_an_entry_that_was_not_appended() {
    let folder = folder("log");
    let mut log = open(&folder).expect("a new log");
    log.purge_to(2).expect("it begins at entry 3");
    let appended: Vec<(u64, Value)> = (3..15).map(|index| (index, value(index))).collect();
    for (index, value) in &appended {
        log.append(*index, std::slice::from_ref(value)).expect("written");
    }
    log.sync().expect("on disk");
    let path = log.path();
    drop(log);
    let said = play(&fs::read(&path).expect("the file"), |bytes, repaired| {
        fs::write(&path, bytes).expect("spoilt");
        let log = match open(&folder) {
            Ok(log) => log,
            Err(error) => {
                prop_assert_eq!(fs::read(&path).expect("the file"), bytes, "a refused log is not touched");
                return match error {
                    LogError::Header { .. } => Ok("header refused"),
                    LogError::Owner { .. } => Ok("owner refused"),
                    LogError::Damaged { .. } => Ok("damage refused"),
                    LogError::OutOfPlace { .. } => Ok("out of place"),
                    other => Err(TestCaseError::fail(other.to_string())),
                };
            }
        };
        let torn = log.opened().cut.is_some();
        let entries = log.read(0..u64::MAX).expect("what was opened is read");
        prop_assert!(repaired || appended.starts_with(&entries), "{:?}", entries);
        let (first, next) = (log.first(), log.next());
        prop_assert_eq!(log.opened().entries, entries.len() as u64);
        drop(log);
        let again = open(&folder).expect("it opens again");
        prop_assert_eq!((again.first(), again.next(), &again.opened().cut), (first, next, &None));
        Ok(if torn { "torn end cut" } else { "taken whole" })
    });
    assert_eq!(said.len(), 6, "each kind of spoilt file came up: {said:?}");
    fs::remove_dir_all(folder).expect("cleared");
}

#[test]
fn a_spoilt_snapshot_never_gives_a_value_that_was_not_stored() {
    let folder = folder("snapshot");
    let store = Store::new(&folder, "learnt", 3).expect("a good name");
    store.write(&value(11), 10).expect("stored");
    let whole = fs::read(folder.join(format!("learnt.{:020}.snap", 1))).expect("the file");
    let said = play(&whole, |bytes, repaired| {
        let Ok(snapshot) = store.decode::<Value>(bytes) else { return Ok("refused") };
        let same = (snapshot.generation, snapshot.written_ms, snapshot.value) == (1, 10, value(11));
        prop_assert!(repaired || same && bytes == whole);
        Ok(if same { "taken" } else { "taken as put right" })
    });
    assert_eq!(said.len(), 3, "each kind of spoilt file came up: {said:?}");
    fs::remove_dir_all(folder).expect("cleared");
}
