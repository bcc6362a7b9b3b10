//! `gatestage registry` as a process, asked for the views of proxies: what they hold, what a change tells whom, and
//! what bad files and calls are told.

#[path = "common/registry.rs"]
mod registry;

use registry::{LISTEN, Registry, refusal};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SERVICE: &str = "enrolment";

/// A list service's file in the making.
#[derive(Clone)]
struct File {
    revision: u64,
    keep_changes: usize,
    services: Vec<String>,
    proxies: Vec<Proxy>,
    members: Vec<Member>,
}

#[derive(Clone)]
struct Proxy {
    name: String,
    zone: usize,
    services: &'static str,
    phase: &'static str,
}

#[derive(Clone)]
struct Member {
    id: String,
    zone: usize,
    service: Option<&'static str>,
    phase: &'static str,
}

impl File {
    /// One service whose views hold about `size`, with proxies and members in `zones` zones by turns.
    fn new(size: usize, proxies: usize, members: usize, zones: usize) -> Self {
        Self {
            revision: 41,
            keep_changes: 10_000,
            services: vec![format!("name = \"{SERVICE}\"\nsubset_size = {size}\n")],
            proxies: (0..proxies).map(|number| proxy(number, zones)).collect(),
            members: (0..members).map(|number| member(number, zones)).collect(),
        }
    }

    fn text(&self) -> String {
        let mut text =
            format!("{LISTEN}keep_changes = {}\nrevision = {}\n", self.keep_changes, self.revision);
        for service in &self.services {
            text += &format!("[[service]]\n{service}");
        }
        for Proxy { name, zone, services, phase } in &self.proxies {
            let _ = writeln!(
                text,
                "[[proxy]]\nname = \"{name}\"\nzone = \"{zone}\"\nservices = {services}\nphase = \"{phase}\""
            );
        }
        for Member { id, zone, service, phase } in &self.members {
            let _ = writeln!(
                text,
                "[[member]]\nid = \"{id}\"\nhost_port = \"127.0.0.1:9\"\nlocality = \"{zone}\"\nflavor = \"m\"\nphase = \"{phase}\""
            );
            if let Some(service) = service {
                let _ = writeln!(text, "service = \"{service}\"");
            }
        }
        text
    }

    /// The file after a change, with the next revision.
    fn then(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = Self { revision: self.revision + 1, ..self.clone() };
        change(&mut next);
        next
    }

    fn names(&self) -> Vec<String> {
        self.proxies.iter().map(|proxy| proxy.name.clone()).collect()
    }
}

fn proxy(number: usize, zones: usize) -> Proxy {
    Proxy {
        name: format!("edge-{number}"),
        zone: number % zones,
        services: "[\"enrolment\"]",
        phase: "active",
    }
}

fn member(number: usize, zones: usize) -> Member {
    Member { id: format!("s-{number}"), zone: number % zones, service: Some(SERVICE), phase: "active" }
}

fn ask(proxy: &str, service: &str, after: Option<u64>, wait_ms: u64) -> String {
    let after = after.map(|after| format!("&after={after}&wait_ms={wait_ms}")).unwrap_or_default();
    format!("?proxy={proxy}&service={service}{after}")
}

/// A view whole: what it holds, by id.
fn view(registry: &Registry, proxy: &str, service: &str) -> BTreeMap<String, Value> {
    let (status, answer) = registry.get(&ask(proxy, service, None, 0));
    assert_eq!((status, &answer["complete"]), (200, &Value::Bool(true)), "{answer}");
    entries(&answer)
}

fn entries(answer: &Value) -> BTreeMap<String, Value> {
    let entries = answer["members"].as_array().unwrap_or_else(|| panic!("no members in {answer}"));
    entries.iter().map(|entry| (entry["id"].as_str().expect("an id").to_owned(), entry.clone())).collect()
}

type Views = BTreeMap<String, BTreeMap<String, Value>>;

fn views(registry: &Registry, file: &File) -> Views {
    file.names().into_iter().map(|name| (name.clone(), view(registry, &name, SERVICE))).collect()
}

/// The names of the proxies that hold each member.
fn holders(views: &Views) -> BTreeMap<String, BTreeSet<String>> {
    let mut holders: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (name, view) in views {
        view.keys().for_each(|id| _ = holders.entry(id.clone()).or_default().insert(name.clone()));
    }
    holders
}

/// What a delta must tell a watcher whose view was `old` and is `new`: id to the entry, or to its phase.
fn expected_delta(
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
    exists: impl Fn(&str) -> bool,
) -> BTreeMap<String, Value> {
    let mut told: BTreeMap<_, _> = new
        .iter()
        .filter(|(id, entry)| old.get(*id) != Some(entry))
        .map(|(id, entry)| (id.clone(), entry.clone()))
        .collect();
    for (id, entry) in old.iter().filter(|(id, _)| !new.contains_key(*id)) {
        let mut entry = entry.clone();
        entry.as_object_mut().expect("an entry").remove("senders");
        entry["phase"] = if exists(id) { "leaving" } else { "left" }.into();
        told.insert(id.clone(), entry);
    }
    told
}

/// A watch in a thread of its own; its answer and how long it took.
fn watch(registry: &Arc<Registry>, query: String) -> JoinHandle<(Value, Duration)> {
    let registry = Arc::clone(registry);
    thread::spawn(move || {
        let asked = Instant::now();
        let (status, answer) = registry.get(&query);
        assert_eq!(status, 200, "{answer}");
        (answer, asked.elapsed())
    })
}

#[test]
fn a_view_holds_what_its_senders_say_and_the_whole_list_has_no_trace_of_it() {
    let file = File::new(20, 24, 120, 3);
    let registry = Registry::start("views-holds", &file.text());
    let views = views(&registry, &file);
    let holders = holders(&views);
    assert_eq!(holders.len(), 120, "every member is held");
    let zone_of: BTreeMap<_, _> = file.proxies.iter().map(|proxy| (&proxy.name, proxy.zone)).collect();
    for (name, view) in &views {
        // 4 near senders and 2 far ones of each member: 30 a view.
        assert!((10..=60).contains(&view.len()), "{name} holds {}", view.len());
        for (id, entry) in view {
            let zone = entry["locality"].as_str().and_then(|zone| zone.parse::<usize>().ok());
            let local = holders[id].iter().filter(|holder| Some(zone_of[holder]) == zone).count();
            assert_eq!(entry["senders"]["all"], holders[id].len(), "{entry}");
            assert_eq!(entry["senders"]["local"], local, "{entry}");
            assert!(holders[id].len() >= 4 && local * 2 >= holders[id].len(), "{entry}");
            assert_eq!(entry.get("service"), None);
        }
    }
    let (_, answer) = registry.get(&ask("edge-0", SERVICE, None, 0));
    assert_eq!((&answer["revision"], &answer["view"]["proxies"]), (&41.into(), &24.into()));
    let (_, whole) = registry.body("");
    let first = r#"{"complete":true,"members":[{"cell":0,"flavor":"m","host_port":"127.0.0.1:9","id":"s-0","locality":"0","phase":"active","size":1.0,"up_since_ms":0},{"#;
    assert!(whole.starts_with(first), "{whole}");
    assert!(whole.ends_with(r#""up_since_ms":0}],"revision":41}"#), "{whole}");
    for trace in ["senders", "view", "service"] {
        assert!(!whole.contains(trace), "{trace}");
    }
}

#[test]
fn a_killed_service_and_a_second_one_answer_the_same_bytes() {
    let file = File::new(10, 12, 80, 3);
    let first = Registry::start("views-first", &file.text());
    let mut shuffled = file.clone();
    shuffled.proxies.reverse();
    shuffled.members.rotate_left(31);
    let second = Registry::start("views-second", &shuffled.text());
    let queries: Vec<_> = file
        .names()
        .iter()
        .flat_map(|name| [ask(name, SERVICE, None, 0), ask(name, "*", None, 0), ask(name, "*", Some(41), 0)])
        .chain([String::new()])
        .collect();
    let bodies =
        |registry: &Registry| -> Vec<_> { queries.iter().map(|query| registry.body(query)).collect() };
    let before = bodies(&first);
    assert!(before.iter().all(|(status, _)| *status == 200));
    assert_eq!(before, bodies(&second), "two instances");
    assert_eq!(before, bodies(&first.restart()), "after a restart");
    // An instance that came to the file by SIGHUP.
    let late = Registry::start("views-late", &File { revision: 40, ..File::new(30, 6, 50, 2) }.text());
    late.take(&file.text(), 41);
    assert_eq!(before, bodies(&late), "after SIGHUP");
}

#[test]
fn sighup_takes_only_a_greater_revision_or_the_same_file() {
    let file = File::new(10, 12, 80, 3);
    let registry = Registry::start("views-revision", &file.text());
    let whole = registry.body("");
    let fewer = |revision| {
        let mut changed = File { revision, ..file.clone() };
        changed.members.pop();
        changed
    };
    for revision in [40, 41] {
        let said = registry.refuse(&fewer(revision).text());
        assert!(said.contains(&format!("`revision = {revision}` is not greater than 41")), "{said}");
        assert!(said.contains("raise it above 41"), "{said}");
    }
    let said = registry.refuse(&File { revision: 40, ..file.clone() }.text());
    assert!(said.contains("is not greater than 41"), "{said}");
    let said = registry.refuse(&format!("{LISTEN}{}", registry::member("s-1", "active")));
    assert!(said.contains("`revision` is missing"), "{said}");
    assert_eq!(registry.body(""), whole, "nothing changed");

    // The same file in another order is no change; the next revision without a change is only the revision.
    let mut shuffled = file.clone();
    shuffled.members.reverse();
    registry.hang_up(&shuffled.text());
    let same = File { revision: 50, ..file.clone() };
    registry.take(&same.text(), 50);
    let (_, answer) = registry.get(&ask("edge-1", SERVICE, Some(41), 0));
    assert_eq!((&answer["complete"], entries(&answer).len()), (&Value::Bool(false), 0));
    registry.take(&fewer(60).text(), 60);
    assert_eq!(registry.get("").1["members"].as_array().map(Vec::len), Some(79));
}

#[test]
fn the_first_file_with_a_revision_follows_the_counted_ones() {
    let text = |members: &[&str]| {
        let members: String = members.iter().map(|id| registry::member(id, "active")).collect();
        format!("{LISTEN}{members}")
    };
    let registry = Registry::start("views-counted", &text(&["s-1"]));
    registry.take(&text(&["s-1", "s-2"]), 2);
    let numbered = |revision: u64, members: &[&str]| {
        text(members).replacen('\n', &format!("\nrevision = {revision}\n"), 1)
    };
    let said = registry.refuse(&numbered(2, &["s-1"]));
    assert!(said.contains("`revision = 2` is not greater than 2"), "{said}");
    registry.take(&numbered(7, &["s-1"]), 7);
    let (_, told) = registry.get("?after=2");
    assert_eq!((&told["complete"], &told["members"][0]["phase"]), (&Value::Bool(false), &"left".into()));
}

#[test]
fn a_release_never_leaves_a_member_without_a_sender() {
    let started = File::new(10, 24, 150, 3);
    let replaced = 8;
    let joining = started.then(|file| {
        file.proxies.extend((24..24 + replaced).map(|n| Proxy { phase: "joining", ..proxy(n, 3) }));
    });
    let joined = joining.then(|file| {
        file.proxies.iter_mut().for_each(|proxy| proxy.phase = "active");
        file.proxies[..replaced].iter_mut().for_each(|proxy| proxy.phase = "leaving");
    });
    let left = joined.then(|file| _ = file.proxies.drain(..replaced));
    let steps = [&started, &joining, &joined, &left];

    let registry = Registry::start("views-release", &started.text());
    let mut before: Option<(BTreeMap<String, BTreeSet<String>>, &File)> = None;
    for file in steps {
        if file.revision > started.revision {
            registry.take(&file.text(), file.revision);
        }
        let holders = holders(&views(&registry, file));
        assert_eq!(holders.len(), 150);
        let of = |file: &File, phases: &[&str]| -> BTreeSet<String> {
            let proxies = file.proxies.iter().filter(|proxy| phases.contains(&proxy.phase));
            proxies.map(|proxy| proxy.name.clone()).collect()
        };
        let active = of(file, &["active"]);
        for (id, holding) in &holders {
            assert!(holding.intersection(&active).count() >= 1, "revision {}: {id}", file.revision);
            if let Some((held_before, file_before)) = &before {
                // Between the two files some proxy that sends has the member all along: make before break.
                let (sending, sent) =
                    (of(file, &["active", "leaving"]), of(file_before, &["active", "leaving"]));
                let both = held_before[id].intersection(holding);
                let through = both.filter(|name| sending.contains(*name) && sent.contains(*name)).count();
                assert!(through >= 1, "revision {}: {id}", file.revision);
            }
        }
        before = Some((holders, file));
    }

    // While proxies join, nobody gives anything up.
    let before = Registry::start("views-release-before", &started.text());
    let before = views(&before, &started);
    let during = Registry::start("views-release-during", &joining.text());
    let during = views(&during, &joining);
    for (name, held) in &before {
        assert!(held.keys().all(|id| during[name].contains_key(id)), "{name}");
    }
    assert!(
        (24..24 + replaced).all(|n| !during[&format!("edge-{n}")].is_empty()),
        "they hold theirs already"
    );
}

#[test]
fn a_lost_zone_is_told_to_each_watcher_with_its_own_entries_only() {
    let file = File::new(30, 36, 240, 6);
    let wait = 8000;
    let registry = Arc::new(Registry::start("views-zone", &file.text()));
    let old = views(&registry, &file);
    let watches: Vec<_> = file
        .names()
        .into_iter()
        .map(|name| (watch(&registry, ask(&name, SERVICE, Some(41), wait)), name))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let lost = file.then(|file| file.members.retain(|member| member.zone != 2));
    registry.take(&lost.text(), 42);
    let exists: BTreeSet<_> = lost.members.iter().map(|member| member.id.clone()).collect();
    let mut gone = 0;
    for (watch, name) in watches {
        let (told, waited) = watch.join().expect("the watch");
        assert_eq!((&told["revision"], &told["complete"]), (&42.into(), &Value::Bool(false)));
        let new = view(&registry, &name, SERVICE);
        let expected = expected_delta(&old[&name], &new, |id| exists.contains(id));
        assert_eq!(entries(&told), expected, "{name}");
        let woken = waited < Duration::from_millis(wait);
        assert_eq!(woken, !expected.is_empty(), "{name} waited {waited:?} for {expected:?}");
        gone += expected.values().filter(|entry| entry["phase"] == "left").count();
    }
    let held_there = old.values().flat_map(BTreeMap::values).filter(|entry| entry["locality"] == "2").count();
    assert_eq!(gone, held_there, "every holder is told of every member that is gone");
}

#[test]
fn watchers_whose_view_is_untouched_are_not_woken() {
    let file = File::new(10, 24, 150, 3);
    let registry = Arc::new(Registry::start("views-untouched", &file.text()));
    let holders = holders(&views(&registry, &file));
    let wait = 3000;
    let watches: Vec<_> = file
        .names()
        .into_iter()
        .map(|name| (watch(&registry, ask(&name, SERVICE, Some(41), wait)), name))
        .collect();
    thread::sleep(Duration::from_millis(500));
    // A member that changes only itself: the choice stays.
    let changed = file.then(|file| file.members[7].phase = "leaving");
    registry.take(&changed.text(), 42);
    for (watch, name) in watches {
        let (told, waited) = watch.join().expect("the watch");
        assert_eq!(told["complete"], Value::Bool(false));
        let told = entries(&told);
        if holders["s-7"].contains(&name) {
            assert!(waited < Duration::from_millis(wait - 500), "{name} waited {waited:?}");
            assert_eq!(told.keys().collect::<Vec<_>>(), ["s-7"]);
            assert_eq!(told["s-7"]["phase"], "leaving");
            assert_eq!(
                told["s-7"]["senders"]["all"],
                holders["s-7"].len(),
                "it leaves the service, not the view"
            );
        } else {
            assert!(waited >= Duration::from_millis(wait), "{name} was woken after {waited:?}");
            assert!(told.is_empty(), "{name}: {told:?}");
        }
    }
    assert!(holders["s-7"].len() < 24);
}

#[test]
fn a_member_that_leaves_the_view_is_told_as_leaving_and_later_as_left() {
    let file = File::new(10, 24, 150, 3);
    let registry = Registry::start("views-leaving", &file.text());
    let old = views(&registry, &file);
    let joined = file.then(|file| file.proxies.extend((24..30).map(|number| proxy(number, 3))));
    registry.take(&joined.text(), 42);
    let (name, id) = old
        .iter()
        .find_map(|(name, held)| {
            let (_, told) = registry.get(&ask(name, SERVICE, Some(41), 0));
            assert_eq!(told["view"]["proxies"], 30);
            let new = view(&registry, name, SERVICE);
            assert_eq!(entries(&told), expected_delta(held, &new, |_| true), "{name}");
            held.keys().find(|id| !new.contains_key(*id)).map(|id| (name.clone(), id.clone()))
        })
        .expect("a view gives a member up");
    let gone = joined.then(|file| file.members.retain(|member| member.id != id));
    registry.take(&gone.text(), 43);
    let (_, told) = registry.get(&ask(&name, SERVICE, Some(42), 0));
    let entry = &entries(&told)[&id];
    assert_eq!((&entry["phase"], entry.get("senders")), (&"left".into(), None), "it heard of it before");
}

/// Two services beside the large one, and proxies that serve none, some or all.
fn several_services() -> File {
    let mut file = File::new(10, 12, 60, 3);
    file.services.push("name = \"pay\"\n".to_owned());
    file.services.push("name = \"search\"\nsubset_size = 4\nkeep_cells = true\n".to_owned());
    let with = |name: &str, services| Proxy { name: name.to_owned(), services, ..proxy(1, 3) };
    file.proxies.push(with("all", "[\"*\"]"));
    file.proxies.push(with("two", "[\"enrolment\", \"pay\"]"));
    file.proxies.push(with("none", "[]"));
    let of = |id: &str, service| Member { id: id.to_owned(), service, ..member(0, 3) };
    file.members.extend([of("p-1", Some("pay")), of("p-2", Some("pay")), of("x-1", None)]);
    file.members.extend((0..6).map(|number| of(&format!("q-{number}"), Some("search"))));
    file
}

#[test]
fn a_view_of_several_services_of_all_and_of_none() {
    let file = several_services();
    let registry = Arc::new(Registry::start("views-several", &file.text()));
    let enrolment = view(&registry, "two", SERVICE);
    let pay = view(&registry, "two", "pay");
    assert_eq!(pay.keys().collect::<Vec<_>>(), ["p-1", "p-2"], "without subset_size all are held");
    assert_eq!(pay["p-1"]["senders"], serde_json::json!({"all": 2, "local": 0}));
    let mut both = enrolment.clone();
    both.extend(pay);
    assert_eq!(view(&registry, "two", "enrolment&service=pay"), both);
    assert_eq!(view(&registry, "two", "*"), both);
    let all = view(&registry, "all", "*");
    assert!(all.keys().any(|id| id.starts_with("q-")) && !all.contains_key("x-1"));
    let proxies = |query: &str| registry.get(query).1["view"]["proxies"].clone();
    assert_eq!(proxies("?proxy=two&service=pay"), 2);
    assert_eq!(proxies("?proxy=two&service=*"), 14, "of both services, each proxy once");
    assert_eq!(proxies("?proxy=two&service=pay&service=enrolment"), 14);
    assert_eq!(proxies("?proxy=all&service=search"), 1);
    let (status, none) = registry.body("?proxy=none&service=*");
    let empty = r#"{"complete":true,"members":[],"revision":41,"view":{"proxies":0}}"#;
    assert_eq!((status, &*none), (200, empty));

    // A change of one service wakes the watch of that one only.
    let watched = watch(&registry, ask("two", "pay", Some(41), 20_000));
    let other = watch(&registry, ask("two", SERVICE, Some(41), 2500));
    thread::sleep(Duration::from_millis(500));
    let fewer = file.then(|file| file.members.retain(|member| member.id != "p-2"));
    registry.take(&fewer.text(), 42);
    let (told, _) = watched.join().expect("the watch");
    assert_eq!((entries(&told).len(), &entries(&told)["p-2"]["phase"]), (1, &"left".into()));
    let (told, waited) = other.join().expect("the watch");
    assert!(waited >= Duration::from_millis(2500) && entries(&told).is_empty(), "{waited:?}: {told}");

    // A member that moves between two services of a proxy is there, one that leaves all of them is leaving.
    let moved = fewer.then(|file| {
        file.members.iter_mut().find(|member| member.id == "p-1").expect("p-1").service = Some(SERVICE);
    });
    registry.take(&moved.text(), 43);
    let (_, told) = registry.get(&ask("all", "*", Some(42), 0));
    let holds = view(&registry, "all", "*").contains_key("p-1");
    assert_eq!(entries(&told)["p-1"]["phase"], if holds { "active" } else { "leaving" });
    let (_, told) = registry.get(&ask("two", "pay", Some(42), 0));
    assert_eq!(entries(&told)["p-1"]["phase"], "leaving");
    assert!(entries(&registry.get("?after=42").1).is_empty(), "the whole list does not know of services");

    // A proxy that is listed for more gets its new view whole; one that the file drops is told so at once.
    let dropped = watch(&registry, ask("two", "*", Some(43), 20_000));
    let watching = Arc::clone(&registry);
    let unlisted = thread::spawn(move || watching.body(&ask("none", "*", Some(43), 20_000)));
    thread::sleep(Duration::from_millis(500));
    let relisted = moved.then(|file| {
        file.proxies.retain(|proxy| proxy.name != "none");
        let two = file.proxies.iter_mut().find(|proxy| proxy.name == "two").expect("two");
        two.services = "[\"search\", \"enrolment\"]";
    });
    registry.take(&relisted.text(), 44);
    let (told, _) = dropped.join().expect("the watch");
    assert_eq!((&told["revision"], &told["complete"]), (&44.into(), &Value::Bool(true)));
    assert_eq!(entries(&told), view(&registry, "two", "*"));
    let (status, reason) = unlisted.join().expect("the watch");
    assert_eq!(status, 404);
    assert!(reason.contains("no proxy `none`; add `[[proxy]]`"), "{reason}");
}

#[test]
fn a_view_from_before_what_is_kept_is_answered_whole() {
    let file = File { keep_changes: 2, ..File::new(10, 12, 60, 3) };
    let registry = Registry::start("views-compaction", &file.text());
    let name = "edge-3";
    let held: Vec<_> = view(&registry, name, SERVICE).into_keys().collect();
    let leaving = |file: &File, ids: &[String]| {
        file.then(|file| {
            let members = file.members.iter_mut().filter(|member| ids.contains(&member.id));
            members.for_each(|member| member.phase = "leaving");
        })
    };
    let (_, old) = registry.get(&ask(name, SERVICE, Some(40), 20_000));
    assert_eq!(old["complete"], Value::Bool(true), "older than the process, and answered at once");
    let one = leaving(&file, &held[..1]);
    registry.take(&one.text(), 42);
    let four = leaving(&one, &held[1..4]);
    registry.take(&four.text(), 43);
    for (after, complete) in [(41, true), (42, true), (43, false), (44, true)] {
        let (_, told) = registry.get(&ask(name, SERVICE, Some(after), 0));
        assert_eq!(
            told["complete"],
            Value::Bool(complete),
            "three changes at 43, two are kept: after {after}"
        );
    }
    let two = leaving(&four, &held[4..6]);
    registry.take(&two.text(), 44);
    let (_, told) = registry.get(&ask(name, SERVICE, Some(43), 0));
    assert_eq!(told["complete"], Value::Bool(false));
    assert_eq!(entries(&told).into_keys().collect::<BTreeSet<_>>(), held[4..6].iter().cloned().collect());
}

#[test]
fn bad_calls_for_a_view_get_their_reason() {
    let file = several_services();
    let registry = Registry::start("views-bad", &file.text());
    let long = "x".repeat(64);
    for (query, status, reason) in [
        ("?proxy=edge-0", 400, "`proxy` without `service`; send `service=NAME`"),
        ("?service=pay", 400, "`service` without `proxy`; send `proxy=NAME`"),
        ("?proxy=&service=pay", 400, "`proxy`: `` is no name"),
        ("?proxy=edge-0&service=", 400, "`service`: `` is no name"),
        ("?proxy=edge-0&service", 400, "`service`: `` is no name"),
        ("?proxy=edge%200&service=pay", 400, "`proxy`: `edge%200` is no name; write 1 to 63"),
        (&format!("?proxy={long}&service=pay"), 400, "is no name"),
        ("?proxy=all&service=p*", 400, "`service`: `p*` is no name"),
        ("?proxy=all&service=pay&service=pay", 400, "service `pay` is named twice"),
        ("?proxy=all&service=*&service=pay", 400, "`*` is all services already"),
        ("?proxy=all&service=*&service=*", 400, "`*` is all services already"),
        ("?proxy=all&proxy=all&service=pay", 400, "`proxy` is sent twice"),
        ("?proxy=all&service=pay&after=1e3", 400, "`after` is no whole number: `1e3`"),
        ("?proxy=edge-99&service=pay", 404, "no proxy `edge-99`; add `[[proxy]]` with `name = \"edge-99\"`"),
        ("?proxy=all&service=play", 404, "no service `play`; add `[[service]]` with `name = \"play\"`"),
        ("?proxy=two&service=pay&service=search", 404, "add \"search\" to `services` of its `[[proxy]]`"),
        (
            "?proxy=edge-0&service=pay&after=41&wait_ms=20000",
            404,
            "proxy `edge-0` is not listed for service `pay`",
        ),
    ] {
        let (answered, said) = registry.body(query);
        assert_eq!(answered, status, "{query}: {said}");
        assert!(said.contains(reason), "{query}: {said}");
    }
    assert_eq!(registry.body("?proxy=all&service=pay").0, 200);

    let plain = Registry::start("views-plain", &format!("{LISTEN}{}", registry::member("s-1", "active")));
    assert_eq!(plain.body("?proxy=all&service=*").0, 404, "a file without proxies");
}

#[test]
fn a_file_with_bad_views_is_refused_with_what_to_do() {
    let good = several_services().text();
    let changed = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replacen(from, to, 1)
    };
    for (text, reasons) in [
        (changed("revision = 41\n", ""), ["`revision` is missing", "write `revision = N`"]),
        (changed("revision = 41\n", "revision = 0\n"), ["line 3", "nonzero"]),
        (
            changed("name = \"pay\"", "name = \"p y\""),
            ["line 8", "`p y` is no name; write 1 to 63 characters"],
        ),
        (changed("name = \"edge-1\"", "name = \"\""), ["line", "`` is no name"]),
        (changed("service = \"pay\"", "service = \"p/\""), ["line", "`p/` is no name"]),
        (
            changed("service = \"pay\"", "service = \"play\""),
            ["member `p-1` names service `play`", "add `[[service]]`"],
        ),
        (changed("\"pay\"]", "\"play\"]"), ["proxy `two` names service `play`", "or correct the name"]),
        (changed("\"pay\"]", "\"enrolment\"]"), ["line", "service `enrolment` is named twice"]),
        (changed("\"pay\"]", "\"*\"]"), ["line", "remove it or the others"]),
        (
            changed("name = \"pay\"", "name = \"search\""),
            ["service `search` is named twice", "a name of its own"],
        ),
        (changed("\"edge-1\"", "\"edge-0\""), ["proxy `edge-0` is named twice", "a name of its own"]),
        (changed("subset_size = 10", "subset_size = 0"), ["line 6", "nonzero"]),
        (
            changed("phase = \"active\"", "phase = \"gone\""),
            ["line", "expected one of `active`, `joining`, `leaving`"],
        ),
        (changed("keep_cells = true", "keep_cell = true"), ["line", "`[[service]]`"]),
    ] {
        let said = refusal("views-refused", &text);
        for reason in reasons {
            assert!(said.contains(reason), "`{reason}` is not in: {said}");
        }
    }
}
