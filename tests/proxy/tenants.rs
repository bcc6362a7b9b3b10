//! Settings with more tenants than 16 bits count: each is known by its own name, and all of them fit into the memory
//! that a proxy has.

use crate::agent::{Agent, config_at};
use crate::rig::*;
use haventrack::proxy::config::{Config, ConfigError};
use serde_json::{Value, json};
use std::fs;

const TENANTS: usize = 70_000;
/// What a proxy may take for control.
const MEMORY_KB: u64 = 32 << 10;

fn tenants(many: usize) -> Value {
    (0..many).map(|n| json!({"name": format!("tenant-{n}"), "allowancePerS": 100.0, "share": 0.1})).collect()
}

fn with_tenants(name: &str, agent: &Agent, backend: &Backend, tenants: Value) -> Value {
    let known =
        json!({"revision": 1, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]});
    let mut config = config_at(name, "pushed", agent.address, &known);
    config["settings"]["tenants"] = tenants;
    config
}

/// A request of a tenant.
fn of_tenant(id: &str, tenant: &str) -> String {
    request("read", id, "").replacen("\r\n", &format!("\r\nX-Account: {tenant}\r\n"), 1)
}

fn resident_kb(proxy: &Proxy) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Each tenant took 1.6 KB, nearly all of it to know which keys a new configuration has to have.
#[test]
fn seventy_thousand_tenants_fit_into_the_memory_for_control() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let config = with_tenants("tenants-many", &agent, &backend, tenants(TENANTS));
    let mut proxy = Proxy::start_with("tenants-many", config.clone());
    for (id, tenant) in ["tenant-0", "tenant-464", "tenant-66000", "tenant-69999"].iter().enumerate() {
        assert_eq!(proxy.client().ask(&of_tenant(&id.to_string(), tenant)).status(), 200, "{tenant}");
    }
    for (id, stranger) in ["tenant-70000", "tenant", "tenant-6999", "tenant-69999x"].iter().enumerate() {
        let expected = if *stranger == "tenant-6999" { 200 } else { 400 };
        assert_eq!(
            proxy.client().ask(&of_tenant(&format!("s{id}"), stranger)).status(),
            expected,
            "{stranger}"
        );
    }
    let resident = resident_kb(&proxy);
    assert!(resident < MEMORY_KB, "{resident} KB");

    let mut smaller = config;
    smaller["settings"]["tenants"] = tenants(TENANTS / 2);
    write_config("tenants-many", &smaller.to_string());
    proxy.hang_up();
    assert!(proxy.next_line("SIGHUP").contains("in force"));
    assert_eq!(proxy.client().ask(&of_tenant("left", "tenant-69999")).status(), 400);
    assert_eq!(proxy.client().ask(&of_tenant("stays", "tenant-34999")).status(), 200);
}

/// An entry far back in a list is as much a part of a configuration as the first one.
#[test]
fn a_configuration_in_which_one_of_many_tenants_lacks_a_key_is_not_whole() {
    let (agent, backend) = (Agent::start(), Backend::start(|_| ok("served")));
    let config = with_tenants("tenants-key", &agent, &backend, tenants(500));
    let mut proxy = Proxy::start_with("tenants-key", config.clone());
    for key in ["name", "allowancePerS", "share"] {
        let mut broken = config.clone();
        broken["settings"]["tenants"][321].as_object_mut().expect("a tenant").remove(key);
        write_config("tenants-key", &broken.to_string());
        proxy.hang_up();
        let told = proxy.next_line("SIGHUP");
        let missing = format!("SIGHUP changes nothing: `settings.tenants[321].{key}` is missing");
        assert!(told.contains(&missing), "{told}");
    }
    let mut scalar = config.clone();
    scalar["settings"]["tenants"][400] = json!("tenant-400");
    write_config("tenants-key", &scalar.to_string());
    proxy.hang_up();
    assert!(proxy.next_line("SIGHUP").contains("SIGHUP changes nothing: "));
    // A key that not all had is not wanted of any.
    let mut more = config;
    more["settings"]["tenants"][7]["note"] = json!("trial");
    for file in [&more, &with_tenants("tenants-key", &agent, &backend, tenants(400))] {
        write_config("tenants-key", &file.to_string());
        proxy.hang_up();
        assert!(proxy.next_line("SIGHUP").contains("in force"));
    }
    assert_eq!(proxy.client().ask(&of_tenant("known", "tenant-399")).status(), 200);
}

/// Where a name comes twice the last one with it counts, and a name may have any characters that JSON has.
#[test]
fn names_of_tenants_are_found_as_they_are_written() {
    let mut config = json!({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()});
    config["settings"]["tenants"] =
        json!([{"name": "twice"}, {"name": "a\"b"}, {"name": ""}, {}, {"name": "twice"}]);
    let names = Config::parse(config.to_string().as_bytes(), |_| None).expect("a configuration").names;
    assert_eq!(names.tenants.find("twice"), Some(4));
    assert_eq!(names.tenants.find("a\"b"), Some(1));
    assert_eq!(names.tenants.find(""), Some(3));
    assert_eq!(names.tenants.find("aa"), None);
    assert!(!names.tenants.is_empty());
}

#[test]
fn a_list_of_tenants_that_is_none_is_refused() {
    for tenants in [json!({}), json!("tenant"), json!([1]), json!([{"name": 1}]), json!([{"name": null}])] {
        let mut config = json!({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()});
        config["settings"]["tenants"] = tenants.clone();
        let error = Config::parse(config.to_string().as_bytes(), |_| None).expect_err("no tenants");
        assert!(matches!(error, ConfigError::Malformed(_)), "{tenants}: {error}");
    }
}
