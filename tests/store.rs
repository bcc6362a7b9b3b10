//! The checked store on real files: a power loss emulated by cutting the newest snapshot at every byte offset,
//! every byte flipped, other versions, and writes that cannot complete.

use haventrack::store::{HEADER, Rejection, Store};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::{env, fs};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Learnt {
    limits: Vec<(String, f64)>,
    served: f64,
}

fn learnt(served: f64) -> Learnt {
    let limits = (0..40).map(|at| (format!("backend-{at}"), f64::from(at) * 1.5)).collect();
    Learnt { limits, served }
}

fn folder(test: &str) -> PathBuf {
    let folder = env::temp_dir().join(format!("gatestage-store-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Two generations stored; returns the store and the newest file's bytes and path.
fn two_generations(test: &str) -> (Store, PathBuf, Vec<u8>) {
    let store = Store::new(&folder(test), "learnt", 3).expect("a good name");
    assert_eq!(store.write(&learnt(1.0), 10).expect("stored"), 1);
    assert_eq!(store.write(&learnt(2.0), 20).expect("stored"), 2);
    let newest = store.folder().join(format!("learnt.{:020}.snap", 2));
    let bytes = fs::read(&newest).expect("the newest is there");
    (store, newest, bytes)
}

#[test]
fn the_newest_whole_snapshot_is_read_and_only_two_are_kept() {
    let store = Store::new(&folder("kept"), "learnt", 3).expect("a good name");
    let cold = store.read::<Learnt>();
    assert!(cold.snapshot.is_none() && cold.rejected.is_empty(), "an empty folder is a clean cold start");
    for served in 1..=5u32 {
        store.write(&learnt(f64::from(served)), u64::from(served)).expect("stored");
    }
    let restored = store.read::<Learnt>();
    let snapshot = restored.snapshot.expect("a snapshot");
    assert_eq!((snapshot.generation, snapshot.written_ms, snapshot.value), (5, 5, learnt(5.0)));
    let mut names: Vec<_> = fs::read_dir(store.folder()).unwrap().map(|e| e.unwrap().file_name()).collect();
    names.sort();
    assert_eq!(names, ["learnt.00000000000000000004.snap", "learnt.00000000000000000005.snap"]);
}

#[test]
fn a_temporary_file_that_a_killed_writer_left_is_removed_by_a_later_write() {
    let (store, _, _) = two_generations("stale");
    let stale = store.folder().join("learnt.999999.tmp");
    let fresh = store.folder().join("learnt.999998.tmp");
    let other = store.folder().join("bans.999999.tmp");
    for path in [&stale, &fresh, &other] {
        fs::write(path, b"half a snapshot").unwrap();
    }
    let long_ago = std::time::SystemTime::now() - std::time::Duration::from_secs(3_600);
    for path in [&stale, &other] {
        fs::File::options().write(true).open(path).unwrap().set_modified(long_ago).unwrap();
    }
    store.write(&learnt(3.0), 30).expect("stored");
    assert!(!stale.exists(), "an hour-old temporary file of this store is removed");
    assert!(fresh.exists(), "a young one may be a write under way in another process");
    assert!(other.exists(), "another store's files are left alone");
}

#[test]
fn a_power_loss_at_any_byte_falls_back_to_the_generation_before() {
    let (store, newest, bytes) = two_generations("cut");
    for offset in 0..bytes.len() {
        fs::write(&newest, &bytes[..offset]).unwrap();
        let restored = store.read::<Learnt>();
        let snapshot = restored.snapshot.unwrap_or_else(|| panic!("cut at {offset}: no fallback"));
        assert_eq!(snapshot.generation, 1, "cut at {offset}");
        assert_eq!(snapshot.value, learnt(1.0));
        let [(path, why)] = restored.rejected.as_slice() else { panic!("cut at {offset}: one rejection") };
        assert_eq!(path, &newest);
        assert!(matches!(why, Rejection::Truncated { .. }), "cut at {offset}: {why}");
    }
    fs::write(&newest, [bytes.as_slice(), b"x"].concat()).unwrap();
    let restored = store.read::<Learnt>();
    assert!(matches!(restored.rejected[0].1, Rejection::Trailing(1)), "{}", restored.rejected[0].1);
}

#[test]
fn every_flipped_byte_is_caught() {
    let (store, newest, bytes) = two_generations("flip");
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x5a;
        fs::write(&newest, &damaged).unwrap();
        let restored = store.read::<Learnt>();
        assert_eq!(restored.snapshot.map(|s| s.generation), Some(1), "byte {offset} flipped");
        assert_eq!(restored.rejected.len(), 1, "byte {offset} flipped");
    }
}

#[test]
fn both_damaged_is_a_cold_start_that_names_each_file() {
    let (store, newest, bytes) = two_generations("both");
    fs::write(&newest, &bytes[..HEADER + 3]).unwrap();
    let older = store.folder().join(format!("learnt.{:020}.snap", 1));
    fs::write(&older, b"GSTS and then nothing that makes sense").unwrap();
    let restored = store.read::<Learnt>();
    assert!(restored.snapshot.is_none());
    let paths: Vec<_> = restored.rejected.iter().map(|(path, _)| path.clone()).collect();
    assert_eq!(paths, [newest, older]);
}

#[test]
fn another_version_or_type_is_rejected_with_its_reason() {
    let (store, _, _) = two_generations("version");
    let folder = store.folder();
    let newer = Store::new(folder, "learnt", 4).unwrap();
    let restored = newer.read::<Learnt>();
    assert!(restored.snapshot.is_none());
    let reasons: Vec<String> = restored.rejected.iter().map(|(_, why)| why.to_string()).collect();
    assert_eq!(reasons, ["version 3, this program reads 4", "version 3, this program reads 4"]);
    let wrong_type = Store::new(folder, "learnt", 3).unwrap().read::<Vec<(u64, u64, u64)>>();
    assert!(wrong_type.snapshot.is_none());
    assert!(matches!(wrong_type.rejected[0].1, Rejection::Garbled(_)), "{}", wrong_type.rejected[0].1);
}

#[test]
fn a_write_that_cannot_complete_names_its_step_and_keeps_what_was_stored() {
    let (store, _, _) = two_generations("blocked");
    let blocked = store.folder().join("not-a-folder");
    fs::write(&blocked, b"a file").unwrap();
    let error = Store::new(&blocked, "learnt", 3).unwrap().write(&learnt(9.0), 0).unwrap_err();
    assert_eq!(error.step, "create");
    assert!(error.to_string().contains("not-a-folder"), "{error}");
    assert!(error.to_string().contains("see that the disk has room"), "{error}");
    assert!(std::error::Error::source(&error).is_some(), "the cause stays");
    assert!(Store::new(store.folder(), "a/b", 3).is_err());
    assert!(Store::new(store.folder(), "", 3).is_err());
    assert_eq!(store.read::<Learnt>().snapshot.map(|s| s.generation), Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Whatever is read back, the decoder answers with a value or a rejection, never a panic.
    #[test]
    fn any_bytes_decode_without_panic(tail in proptest::collection::vec(any::<u8>(), 0..200), head in 0usize..3) {
        let store = Store::new(&folder("fuzz-unused"), "learnt", 3).unwrap();
        let mut bytes = match head {
            0 => Vec::new(),
            1 => b"GSTS".to_vec(),
            _ => [b"GSTS".as_slice(), &1u16.to_le_bytes(), &3u16.to_le_bytes()].concat(),
        };
        bytes.extend(tail);
        let _ = store.decode::<Learnt>(&bytes);
    }
}
