//! What outlives a process is taken only where it belongs to these settings.

use crate::rig::*;
use haventrack::api::{Learnt, LearntKind, Settings};
use haventrack::balancer::Balancer;
use haventrack::proxy::config::Config;
use haventrack::proxy::handover::{ForeignState, Owner, SavedState, mark, socket, state_store};
use haventrack::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::time::Instant;
use std::{fs, thread};

/// What the module takes a server of a kind for, of which nothing is known.
const START: f64 = 1.5;

fn kind(limit: f64) -> LearntKind {
    LearntKind { limit, growing: false, served: 7.0 }
}

/// A configuration with these kinds of machines.
fn with_kinds(name: &str, discovery: &Discovery, kinds: &[&str]) -> Value {
    let mut config = config(name, discovery);
    config["settings"]["kinds"] = json!(kinds);
    config
}

fn parsed(config: &Value) -> Config {
    Config::parse(config.to_string().as_bytes(), |_| None).expect("a configuration")
}

/// What a proxy of that configuration has learnt: 40 of its first kind, 2 of its second, and so on downwards.
fn state(config: &Value) -> SavedState {
    let owner = Owner::of(&parsed(config));
    let kinds = owner.kinds.len();
    let limits: Vec<_> = [40.0, 2.0, 9.0][..kinds].iter().map(|&limit| kind(limit)).collect();
    let means = [80_000.0, 5_000.0, 20_000.0][..kinds].to_vec();
    let latencies = owner.classes.iter().map(|class| (class.clone(), means.clone())).collect();
    let learnt = Learnt { kinds: limits, limits: Vec::new(), latencies };
    SavedState { owner: Some(owner), names: vec!["s-old".into()], learnt }
}

/// The limits of its kinds that a module with these settings has once it has taken that.
fn limits_after(settings: &Settings, legacy: &SavedState, age: u64) -> Vec<f64> {
    let mut balancer = Balancer::new(settings.clone(), 1, 0).expect("settings");
    balancer.recall_aged(&legacy.learnt, age);
    balancer.learnt().kinds.iter().map(|kind| kind.limit).collect()
}

#[test]
fn kinds_are_matched_by_name_and_one_that_is_new_starts_as_such() {
    let discovery = Discovery::start();
    let legacy = state(&with_kinds("kinds", &discovery, &["small", "large"]));
    let now = parsed(&with_kinds("kinds", &discovery, &["new", "large", "small"]));
    let fitted = legacy.clone().fit(&Owner::of(&now)).expect("it is this proxy's");
    for age in [0, 1_000] {
        let limits = limits_after(&now.settings, &fitted, age);
        assert_eq!(limits.iter().map(|l| l.round()).collect::<Vec<_>>(), [START.round(), 2.0, 40.0]);
    }
    let mut balancer = Balancer::new(now.settings.clone(), 1, 0).expect("settings");
    let unknown = balancer.learnt().latencies[0].1[0];
    balancer.recall(&fitted.learnt);
    assert_eq!(balancer.learnt().latencies[0].1, [unknown, 5_000.0, 80_000.0]);
    // Settings without a name for their only kind are matched among themselves.
    let nameless = with_kinds("kinds", &discovery, &[]);
    let mut legacy = legacy;
    legacy.owner = Some(Owner::of(&parsed(&nameless)));
    let fitted = legacy.fit(&Owner::of(&parsed(&nameless))).expect("it is this proxy's");
    assert_eq!(fitted.learnt.kinds, [kind(40.0)]);
}

#[test]
fn the_state_of_another_proxy_zone_or_customer_is_refused() {
    let discovery = Discovery::start();
    let config = with_kinds("mine", &discovery, &["m"]);
    let mine = Owner::of(&parsed(&config));
    let altered = |alter: &dyn Fn(&mut Value)| {
        let mut config = config.clone();
        alter(&mut config);
        state(&config).fit(&mine)
    };
    assert!(altered(&|_| ()).is_ok());
    let other = altered(&|config| config["name"] = "theirs".into());
    assert_eq!(other, Err(ForeignState::Proxy("theirs".into(), "mine".into())));
    let zone = altered(&|config| config["settings"]["failureDomains"] = json!(["north"]));
    assert_eq!(zone, Err(ForeignState::Zone("north".into(), "a".into())));
    let classes = altered(&|config| {
        let classes = config["settings"]["classes"].as_array_mut().expect("classes");
        classes.iter_mut().enumerate().for_each(|(i, class)| class["name"] = format!("c-{i}").into());
    });
    assert_eq!(classes, Err(ForeignState::Classes(vec!["c-0".into(), "c-1".into(), "c-2".into()])));
    // What the version before this one handed over.
    let older = r#"{"names":["s-1"],"learnt":{"kinds":[],"limits":[],"latencies":[]}}"#;
    let older: SavedState = serde_json::from_str(older).expect("it is read");
    assert_eq!(older.fit(&mine), Err(ForeignState::Unnamed));
}

/// What the proxy leaves behind at SIGTERM in this folder.
fn left_behind(mut proxy: Proxy, folder: &Path) -> SavedState {
    proxy.terminate();
    assert_eq!(proxy.wait().code(), Some(0));
    state_store(folder).expect("a store").read().snapshot.expect("a snapshot").value
}

#[test]
fn a_snapshot_is_taken_by_the_names_of_its_kinds() {
    let discovery = Discovery::start();
    let folder = private_dir("by-name").join("state");
    let store = state_store(&folder).expect("a store");
    let then = with_kinds("by-name", &discovery, &["small", "large"]);
    let mut now = with_kinds("by-name", &discovery, &["large", "small"]);
    now["state_dir"] = json!(folder);
    // Its age counts: it is written as of now.
    let millis = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    store.write(&state(&then), millis.as_millis() as u64).expect("written");
    let mut proxy = Proxy::start_with("by-name", now);
    assert!(proxy.next_line("state:").contains("restored generation 1"));
    let learnt = left_behind(proxy, &folder).learnt;
    let limits: Vec<_> = learnt.kinds.iter().map(|kind| kind.limit).collect();
    assert!(limits[0] < 3.0 && limits[1] > 20.0, "small 40, large 2 were learnt: {limits:?}");
}

#[test]
fn a_snapshot_of_another_customer_or_version_is_refused_with_a_line() {
    let discovery = Discovery::start();
    let folder = private_dir("not-mine").join("state");
    let theirs = with_kinds("theirs", &discovery, &["m"]);
    let mut mine = with_kinds("not-mine", &discovery, &["m"]);
    mine["state_dir"] = json!(folder);
    state_store(&folder).expect("a store").write(&state(&theirs), u64::MAX).expect("written");
    let mut proxy = Proxy::start_with("not-mine", mine.clone());
    let refused = proxy.next_line("state:");
    assert!(refused.contains("is not used") && refused.contains("`theirs`"), "{refused}");
    let own = left_behind(proxy, &folder);
    assert!(own.names.is_empty(), "{:?}", own.names);
    assert!((own.learnt.kinds[0].limit - START).abs() < 1e-9, "{:?}", own.learnt.kinds);
    // The form of the version before: names and what was learnt, with no owner.
    fs::remove_dir_all(&folder).expect("it is there");
    let older = Store::new(&folder, "learnt", 1).expect("a store");
    older.write(&(vec!["s-1"], state(&mine).learnt), u64::MAX).expect("written");
    let mut proxy = Proxy::start_with("not-mine", mine);
    let passed_over = proxy.next_line("state:");
    assert!(passed_over.contains("passed over") && passed_over.contains("version 1"), "{passed_over}");
    assert!(proxy.next_line("state:").contains("cold start"));
    assert!(left_behind(proxy, &folder).names.is_empty());
}

/// A proxy of that name whose files are in `folder`, where those of others may be, at this address.
fn in_folder(folder: &str, name: &str, discovery: &Discovery, listen: SocketAddr) -> Proxy {
    let mut config = config(name, discovery);
    config["admin_addr"] = "127.0.0.1:0".into();
    config["listen"] = listen.to_string().into();
    Proxy::start_with(folder, config)
}

fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// One request that waits for no more than this long.
fn asked(proxy: &Proxy) -> (u16, Vec<u8>) {
    let got = proxy.client().ask(&request("read", "1", "").replace("15000", "300"));
    (got.status(), got.body)
}

/// Waits until its only backend, which comes back cold, serves a request.
fn used_again(proxy: &Proxy) {
    let began = Instant::now();
    while asked(proxy).0 != 200 {
        assert!(began.elapsed() < PATIENCE, "the backend that was given back is not used");
    }
}

fn killed(mut proxy: Proxy) {
    proxy.child.kill().expect("it runs");
    proxy.wait();
}

#[test]
fn a_ban_of_one_deployment_is_none_of_another_in_the_same_folder() {
    let (northern, southern) = (Discovery::start(), Discovery::start());
    let (n, s) = (Backend::start(|_| ok("north")), Backend::start(|_| ok("south")));
    let start = |name: &str, discovery: &Discovery, backend: &Backend| {
        let proxy = in_folder("two-of-them", name, discovery, anywhere());
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        proxy
    };
    let north = start("north", &northern, &n);
    assert!(north.call("maint-on s-1").starts_with("200 "));
    // One that starts now reads what is stored before it takes a client.
    let south = start("south", &southern, &s);
    assert_eq!(asked(&south), (200, b"south".to_vec()));
    for call in ["maint-on s-1", "maint-off s-1"] {
        assert!(south.call(call).starts_with("200 "), "{call}");
    }
    killed(north);
    let north = start("north", &northern, &n);
    assert_eq!(asked(&north).0, 503, "its ban outlives it, whatever the other gives back");
    assert!(north.call("maint-off s-1").starts_with("200 "));
    used_again(&north);
}

#[test]
fn a_ban_from_before_files_had_marks_holds_until_it_is_given_back() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let stored = private_dir("unmarked").join("haventrack-bans").join("732d31");
    fs::create_dir_all(stored.parent().expect("a folder")).expect("a folder");
    fs::write(&stored, "").expect("a ban");
    let proxy = in_folder("unmarked", "unmarked", &discovery, anywhere());
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    assert_eq!(asked(&proxy).0, 503);
    assert!(proxy.call("maint-off s-1").starts_with("200 "));
    used_again(&proxy);
    assert!(!stored.exists(), "a single call ends it for good");
}

/// The sockets that a process holds, by their numbers in the kernel.
fn sockets(proxy: &Proxy) -> BTreeSet<PathBuf> {
    let fds = fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors");
    let links = fds.filter_map(|fd| fs::read_link(fd.ok()?.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).collect()
}

/// Waits until a process waits at this path for the one that replaces it.
fn published(path: &Path) {
    let began = Instant::now();
    while !path.exists() {
        assert!(began.elapsed() < PATIENCE, "nobody waits at {}", path.display());
        thread::yield_now();
    }
}

#[test]
fn a_listener_goes_to_no_other_proxy_and_still_to_the_next_process_of_its_own() {
    let discovery = Discovery::start();
    let folder = private_dir("one-door");
    let north = in_folder("one-door", "north", &discovery, anywhere());
    let path = socket(&folder, &mark("north", north.address));
    published(&path);
    let south = in_folder("one-door", "south", &discovery, north.address);
    assert!(sockets(&north).is_disjoint(&sockets(&south)), "they have nothing in common");
    published(&socket(&folder, &mark("south", north.address)));
    killed(south);
    // As a process of a version without marks waits.
    let unmarked = folder.join("haventrack-handover");
    fs::rename(&path, &unmarked).expect("it waits elsewhere");
    let next = in_folder("one-door", "north", &discovery, north.address);
    assert!(!sockets(&north).is_disjoint(&sockets(&next)), "the listener is theirs together");
    published(&path);
    let last = in_folder("one-door", "north", &discovery, north.address);
    assert!(!sockets(&next).is_disjoint(&sockets(&last)));
}

#[test]
fn whatever_lies_at_a_proxys_own_name_keeps_it_from_nothing() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let folder = private_dir("own-name");
    let (path, liar) = (socket(&folder, &mark("own-name", anywhere())), folder.join("liar"));
    let lay: [&dyn Fn(); 4] = [
        &|| fs::write(&path, "damaged").expect("a file"),
        &|| drop(UnixListener::bind(&path).expect("a socket that nobody serves")),
        &|| {
            let listener = UnixListener::bind(&liar).expect("a socket");
            fs::rename(&liar, &path).expect("it takes the name");
            thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("the new process");
                peer.write_all(b"nonsense\n").expect("it reads");
            });
        },
        &|| fs::create_dir(&path).expect("a folder"),
    ];
    for lay in lay {
        lay();
        let proxy = in_folder("own-name", "own-name", &discovery, anywhere());
        discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
        assert_eq!(asked(&proxy).0, 200);
        drop(proxy);
        let _ = fs::remove_file(&path);
    }
}
