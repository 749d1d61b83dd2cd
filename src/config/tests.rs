use super::*;

fn read(text: &str) -> Result<RemotePlanners, String> {
    RemotePlanners::parse(text)
}

const ENABLED: &str = "enabled = true\nplanners = ['127.0.0.1:7101']\n";

#[test]
fn live_configuration_is_off_unless_enabled() {
    assert!(!read(ENABLED).unwrap().configuration);
    assert!(!read(&format!("{ENABLED}configuration = false")).unwrap().configuration);
    let on = read(&format!("{ENABLED}configuration = true")).unwrap();
    assert_eq!((on.configuration, on.planners.len(), on.partitions), (true, 1, 1));
    let shipped = include_str!("../../deploy/planners.toml");
    assert!(shipped.contains("\nconfiguration = false\n"));
    assert_eq!(read(shipped), Ok(RemotePlanners::default()));
}

#[test]
fn live_configuration_needs_planners() {
    let why = read("enabled = false\nplanners = ['127.0.0.1:7101']\nconfiguration = true").unwrap_err();
    assert_eq!(why, "configuration: true is not allowed without planners (enabled = false)");
    let why = read("enabled = true\nplanners = []\nconfiguration = true").unwrap_err();
    assert_eq!(why, "planners: 0 of them, 1 to 16 are allowed");
    assert!(read(&format!("{ENABLED}configuration = 1")).unwrap_err().lines().count() == 1);
}

/// Writes the configuration files and reads them.
fn read_files(test: &str, peers: bool, planners: &str) -> Result<Config, String> {
    let directory = std::env::temp_dir().join(format!("topazpath-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
         "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
         "settings":{{"siblings":1,"tick_ms":2.0,"discovery":"pushed",
         "classes":[{{"name":"read","aim_ms":400,"hard_limit_ms":5000,"worth":2,"effect":"read_like"}}],
         "service_levels":[{{"name":"base"}}],
         "contract":{{"grace_to_answer_ms":8,"drain_grace_ms":2000,"cold_from":0.16,"warm_after_ms":18000,
          "tip_multiple":3,"fall_ms":3000}},
         "limits":{{"attempts_cap":4,"connect_timeout_ms":250,"conn_idle_ms":30000,"peers":{peers}}}}}}}"#
    );
    let file = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let files = Files {
        config: file("config.json", &text),
        iscsi: directory.join("none"),
        planners: file("planners.toml", planners),
        vrrp: directory.join("none"),
        fleet: directory.join("none"),
        control: None,
    };
    let config = Config::read(&files);
    std::fs::remove_dir_all(&directory).unwrap();
    config
}

#[test]
fn live_configuration_is_off_if_the_settings_forbid_talk_between_initiators() {
    let on = format!("{ENABLED}configuration = true");
    let with_peers = read_files("config-peers", true, &on).unwrap();
    assert!(with_peers.live_configuration);
    let without_peers = read_files("config-no-peers", false, &on).unwrap();
    assert!(!without_peers.live_configuration);
    assert_eq!(with_peers.names(), Names { classes: vec!["read".into()], plans: vec!["base".into()] });
    let off = read_files("config-off", true, ENABLED).unwrap();
    assert_eq!(with_peers.fixed_changes(&off), ["live configuration"]);
    assert_eq!(off.configured_settings, off.settings);
}
