use super::*;

const SOUND: &str = r#"
enabled = true
[[interface]]
address = "127.0.0.1:7112"
peers = ["127.0.0.2:7112"]
[[router]]
name = "dashboards"
vrid = 51
priority = 200
interval_ms = 1000
addresses = ["192.0.2.10"]
listen = "192.0.2.10:6400"
[tracking]
every_ms = 100
[[tracking.rule]]
condition = "no-ready-node"
lowers = 120
[handover]
machines = 2
rate_share = 0.5
burst_share = 0.5
"#;

fn error_of(from: &str, to: &str) -> String {
    assert!(SOUND.contains(from), "{from}");
    Settings::parse(&SOUND.replace(from, to)).expect_err(to)
}

#[test]
fn a_valid_file_is_parsed_completely() {
    let settings = Settings::parse(SOUND).unwrap().expect("enabled");
    let Service { router, accept, listen, .. } = &settings.services[0];
    assert_eq!((router.vrid, router.priority, *accept), (51, 200, true));
    assert_eq!(router.parameters.address, IpAddr::from([127, 0, 0, 1]));
    assert_eq!(*listen, Some("192.0.2.10:6400".parse().unwrap()));
    let rule = Rule { condition: Condition::NoReadyNode, priority_decrement: 120, fall: 3, rise: 3 };
    assert_eq!(settings.tracking.rules, [rule]);
    assert_eq!((settings.takeover.clone(), settings.share.machines), (TakeoverMethod::Bind, 2));
    assert_eq!(Settings::parse(&SOUND.replace("enabled = true", "enabled = false")), Ok(None));
    assert_eq!(Settings::parse("enabled = false"), Ok(None));
    assert_eq!(Settings::read(Path::new("no such file")), Ok(None));
}

#[test]
fn each_error_is_one_line_with_the_key_and_the_allowed_values() {
    let cases = [
        (
            "priority = 200",
            "priority = 256",
            "router \"dashboards\": priority: 256 is not allowed, 0 to 255 are",
        ),
        ("vrid = 51", "vrid = 0", "router \"dashboards\": vrid: 0 is not allowed, 1 to 255 are"),
        ("interval_ms = 1000", "interval_ms = 41000", "interval_ms: 41000 is not allowed, 10 to 40950 are"),
        ("interval_ms = 1000", "interval_ms = 15", "interval_ms: 15 is not allowed, a multiple of 10 is"),
        ("[\"192.0.2.10\"]", "[]", "addresses: 1 to 255 are allowed"),
        ("[\"192.0.2.10\"]", "[\"192.0.2.10\", \"fe80::1\"]", "addresses: all of one family, IPv4 or IPv6"),
        ("[\"192.0.2.10\"]", "[\"fe80::1\"]", "addresses: no interface of their family"),
        ("\"127.0.0.1:7112\"", "\"0.0.0.0:7112\"", "address: one address of this machine is required"),
        ("[\"127.0.0.2:7112\"]", "[]", "peers: 1 to 32 are allowed"),
        ("[\"127.0.0.2:7112\"]", "[\"127.0.0.1:7112\"]", "peers: 127.0.0.1:7112 is not another"),
        ("rate_share = 0.5", "rate_share = 1.5", "handover.rate_share: 1.5 is not allowed"),
        ("machines = 2", "machines = 17", "handover.machines: 17 is not allowed, 1 to 16 are"),
        ("lowers = 120", "lowers = 255", "tracking.rule \"no-ready-node\": lowers: 255 is not allowed"),
        ("lowers = 120", "lowers = 120\nfall = 0", "fall: 0 is not allowed, 1 to 1000 are"),
        ("\"no-ready-node\"", "\"file\"", "tracking.file: missing"),
        ("\"no-ready-node\"", "\"moon\"", "line 16: unknown variant `moon`"),
        ("every_ms = 100", "each_ms = 100", "line 14: unknown field `each_ms`"),
        ("every_ms = 100", "every_ms = 0", "tracking.every_ms: 0 is not allowed, 10 to 60000 are"),
        ("[handover]", "[address]\ntake = [\"x\"]\n[handover]", "address: take and release go together"),
        ("priority = 200", "priority = 255", "only 0, maintenance, is allowed beside an owner"),
        ("enabled = true", "enabled = maybe", "line 2:"),
    ];
    for (from, to, expected) in cases {
        let error = error_of(from, to);
        assert!(error.contains(expected), "{to}: {error}");
        assert!(!error.contains('\n'), "{error}");
    }
    let twice = format!("{SOUND}[[router]]\nname = \"b\"\nvrid = 51\npriority = 1\ninterval_ms = 10\n");
    let twice = twice + "addresses = [\"192.0.2.11\"]\n";
    assert!(Settings::parse(&twice).unwrap_err().contains("name and vrid differ"));
    assert!(Settings::parse("enabled = true").unwrap_err().contains("at least one"));
}

#[test]
fn the_deployed_file_is_valid_and_disabled() {
    let deployed = include_str!("../../../deploy/vrrp.toml");
    assert_eq!(Settings::parse(deployed), Ok(None));
    let on = Settings::parse(&deployed.replace("enabled = false", "enabled = true")).unwrap();
    assert_eq!(on.map(|settings| settings.services.len()), Some(1));
}

#[test]
fn only_priorities_and_tracking_change_without_a_restart() {
    let old = Settings::parse(SOUND).unwrap().unwrap();
    let new = |from: &str, to: &str| Settings::parse(&SOUND.replace(from, to)).unwrap().unwrap();
    assert!(old.changes_needing_restart(&new("priority = 200", "priority = 0")).is_empty());
    assert!(old.changes_needing_restart(&new("lowers = 120", "lowers = 20")).is_empty());
    assert_eq!(old.changes_needing_restart(&new("vrid = 51", "vrid = 52")), ["router"]);
    assert_eq!(old.changes_needing_restart(&new("127.0.0.2:7112", "127.0.0.3:7112")), ["interface"]);
    assert_eq!(old.changes_needing_restart(&new("rate_share = 0.5", "rate_share = 0.4")), ["handover"]);
}

#[test]
fn a_planner_table_yields_an_interface_and_a_router_per_partition() {
    let text = "vrid = 7\ninterval_ms = 50\naddress = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:2\"]\n";
    let election: Election = toml::from_str(text).unwrap();
    let (interface, routers) = election.check(&[200, 100]).unwrap();
    assert_eq!(interface.peers.len(), 1);
    let ids: Vec<(u8, u8)> = routers.iter().map(|router| (router.vrid, router.priority)).collect();
    assert_eq!(ids, [(7, 200), (8, 100)]);
    let beyond: Election = toml::from_str(&text.replace("vrid = 7", "vrid = 255")).unwrap();
    assert!(beyond.check(&[200, 100]).unwrap_err().contains("vrid: 256 is not allowed"));
    let alone: Election = toml::from_str(&text.replace("\"127.0.0.1:2\"", "")).unwrap();
    assert!(alone.check(&[200]).is_ok());
}
