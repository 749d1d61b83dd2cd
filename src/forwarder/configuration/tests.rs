use super::*;
use crate::config::Files;
use crate::core::{Answer, AttemptId, Content, Effect, Operation, Origin};
use crate::discovery::{Endpoint, ListMessage, ListUpdate, Status};
use crate::interface::{Event, ListKind, NewRequest, NodeEntry, NodeState, RequestId};
use crate::process::Signals;
use crate::revisions::document::Document;
use crate::revisions::{RevisionId, RevisionNumber};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

const CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":null,
 "settings":{"siblings":1,"tick_ms":2.0,"discovery":"pushed","zones":["z"],
 "classes":[
  {"name":"read","aim_ms":400,"hard_limit_ms":5000,"worth":2,"late_worth":0.2,"effect":"read_like"},
  {"name":"write","aim_ms":600,"hard_limit_ms":5000,"worth":3,"effect":"idempotency_key","key_scope":"cell",
   "window_ms":5000}],
 "service_levels":[
  {"name":"base","base_rate":10,"ceiling_rate":40,"guaranteed":1,"limit_burst":16,"tolerance":8},
  {"name":"plus","base_rate":10,"guaranteed":10}],
 "domain":{"largest":8,"unit_mean":2,"share_worth":0.35,"idle_worth":0.05,"young_limit":34},
 "contract":{"grace_to_answer_ms":8,"drain_grace_ms":2000,"cold_from":0.16,"warm_after_ms":18000,
  "tip_multiple":3,"fall_ms":3000},
 "limits":{"attempts_cap":4,"connect_timeout_ms":60000,"conn_idle_ms":30000,"max_retry_after_ms":500,
  "retry_after":true,"may_cancel":true}}}"#;

const ISCSI: &str = r#"
enabled = true
listen = "127.0.0.1:0"

[[target]]
name = "iqn.2026-11.example:disk"

[[target.unit]]
lun = 0
blocks = 4096
block_bytes = 512
unit_bytes = 4096
volume = "7"
plan = "base"
read = "read"
write = "write"
shard = 0
hosts = 1
"#;

/// Temporary directory of a test, removed at its end.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("topazpath-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempDirectory(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start(directory: &TempDirectory) -> Forwarder {
    let none = |name: &str| Path::new("/nonexistent").join(name);
    let planners = "enabled = true\nplanners = [\"127.0.0.1:9\"]\nconfiguration = true";
    let files = Files {
        config: directory.file("config.json", CONFIG),
        iscsi: directory.file("iscsi.toml", ISCSI),
        planners: directory.file("planners.toml", planners),
        vrrp: none("vrrp.toml"),
        fleet: none("fleet.toml"),
        control: None,
    };
    let stream = || {
        let (near, _) = UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        near
    };
    Forwarder::new(files, Signals { end: stream(), reload: stream() }).unwrap()
}

fn prepare(forwarder: &Forwarder, base: &Settings, number: u64, text: &str) -> Prepared {
    let document = Document::parse(text).unwrap();
    let settings = document.apply(base, &forwarder.config.names()).unwrap();
    let id = RevisionId { number: RevisionNumber(number), hash: document.hash() };
    Prepared { id, settings, nodes_out: document.nodes_out }
}

fn list_nodes(forwarder: &mut Forwarder, names: &[&str]) {
    let address = ([127, 0, 0, 1], 9).into();
    let line = |name: &&str| Endpoint {
        address,
        name: name.to_string(),
        zone: "z".into(),
        group: 0,
        status: Status::Active,
        since_ms: 1.0,
    };
    let message = ListMessage { index: 1, snapshot: true, endpoints: names.iter().map(line).collect() };
    forwarder.take_list(ListUpdate { message, contiguous: true, received: Instant::now() }, ListKind::Full);
}

/// Takes the node list entries that are queued for the scheduler.
fn queued_entries(forwarder: &mut Forwarder) -> Vec<NodeEntry> {
    let events = forwarder.core.drain_events();
    let entries = events.into_iter().filter_map(|event| match event {
        Event::List { entries, .. } => Some(entries),
        _ => None,
    });
    entries.flatten().collect()
}

fn content() -> Content {
    Content {
        operation: Operation::Read,
        object: "o".into(),
        id: "1".into(),
        attributes: String::new(),
        body: Vec::new(),
        body_stream: None,
        extent: None,
    }
}

#[test]
fn a_revision_changes_every_copy_of_a_setting_and_an_empty_one_restores_them() {
    let directory = TempDirectory::new("configuration");
    let mut forwarder = start(&directory);
    let base = forwarder.config.settings.clone();
    assert!(base.limits.max_queued.is_some(), "the process sets it itself");
    let text = "[plans.base]\nceiling_rate = 20\n[classes.read]\nworth = 4\n[limits]\nmax_retry_after_ms = 120\n[costs]\nlargest = 7";
    let prepared = prepare(&forwarder, &base, 1, text);
    let changed = changes(&base, &prepared.settings, &forwarder.config.wire);
    assert_eq!(changed, ["classes.read", "plans.base", "costs", "limits"]);
    forwarder.take_over_configuration(Instant::now(), &prepared).unwrap();
    let settings = &forwarder.config.settings;
    assert_eq!(settings, &prepared.settings);
    assert_eq!(settings.limits.max_queued, base.limits.max_queued);
    assert_eq!(settings.plans[0].limit.map(|limit| limit.rate), Some(20.0));
    let again = Duration::from_millis(120);
    assert_eq!(forwarder.resp.protocol_mut().retry_after, again);
    let (offered, retry_after) = forwarder.iscsi.as_mut().unwrap().protocol_mut().config_and_retry_after();
    assert_eq!((offered.exports[0].units[&0].max_transfer_bytes, retry_after), (7 * 4096, again));
    let deadline = forwarder.clock.unix(Instant::now()) + Duration::from_secs(1);
    let new = NewRequest { deadline, ..NewRequest::default() };
    forwarder.core.accept(Origin { conn: 1, sequence: 0 }, new, content()).unwrap();
    forwarder.core.terminate_all();
    let refused = |effect: &Effect| matches!(effect, Effect::Answer { answer: Answer::Refused { retry_after }, .. } if *retry_after == again);
    assert!(forwarder.core.drain_effects().iter().any(refused));
    // A revision without a value restores the value of the settings.
    let prepared = prepare(&forwarder, &base, 2, "");
    forwarder.take_over_configuration(Instant::now(), &prepared).unwrap();
    assert_eq!(forwarder.config.settings, base);
    assert_eq!(forwarder.resp.protocol_mut().retry_after, Duration::from_millis(500));
}

#[test]
fn a_revision_that_changes_fixed_settings_is_rejected_whole() {
    let directory = TempDirectory::new("configuration-fixed");
    let mut forwarder = start(&directory);
    list_nodes(&mut forwarder, &["s-1"]);
    let base = forwarder.config.settings.clone();
    let mut prepared =
        prepare(&forwarder, &base, 1, "nodes_out = ['s-1']\n[limits]\nmax_retry_after_ms = 120\n");
    prepared.settings.initiators += 1;
    assert!(forwarder.take_over_configuration(Instant::now(), &prepared).is_err());
    assert_eq!(forwarder.config.settings, base);
    assert_eq!(forwarder.resp.protocol_mut().retry_after, Duration::from_millis(500));
    assert_eq!(forwarder.nodes.ready(), 1);
}

#[test]
fn nodes_out_drain_until_a_later_revision_returns_them() {
    let directory = TempDirectory::new("configuration-nodes");
    let mut forwarder = start(&directory);
    list_nodes(&mut forwarder, &["s-1", "s-2"]);
    queued_entries(&mut forwarder);
    let base = forwarder.config.settings.clone();
    let prepared = prepare(&forwarder, &base, 1, "nodes_out = ['s-2', 's-3']");
    forwarder.take_over_configuration(Instant::now(), &prepared).unwrap();
    let states = |lines: Vec<NodeEntry>| lines.iter().map(|line| line.state).collect::<Vec<_>>();
    assert_eq!(states(queued_entries(&mut forwarder)), [NodeState::Draining]);
    list_nodes(&mut forwarder, &["s-1", "s-2", "s-3"]);
    let wanted = [NodeState::Ready, NodeState::Draining, NodeState::Draining];
    assert_eq!(states(queued_entries(&mut forwarder)), wanted);
    let prepared = prepare(&forwarder, &base, 2, "nodes_out = ['s-3']");
    forwarder.take_over_configuration(Instant::now(), &prepared).unwrap();
    let back = queued_entries(&mut forwarder);
    assert!(
        back[0].started.is_some_and(|started| started > Duration::from_secs(1)),
        "the node starts slowly again"
    );
    assert_eq!(states(back), [NodeState::Ready]);
    assert_eq!(forwarder.nodes.ready(), 2);
}

/// The configuration files are read again on SIGHUP. Changes made by a revision must not count as changes of the
/// files.
#[test]
fn an_unchanged_file_needs_no_restart_after_a_revision() {
    let directory = TempDirectory::new("configuration-reload");
    let mut forwarder = start(&directory);
    let base = forwarder.config.settings.clone();
    let prepared = prepare(&forwarder, &base, 1, "[classes.read]\nworth = 4");
    forwarder.take_over_configuration(Instant::now(), &prepared).unwrap();
    let read = crate::config::Config::read(&forwarder.files).unwrap();
    assert_eq!(forwarder.config.fixed_changes(&read), Vec::<&str>::new());
}

/// An attempt that waits for its connection must not start after the grace period of a node that was taken out
/// meanwhile.
#[test]
fn an_unsent_attempt_at_a_node_taken_out_ends_with_the_grace() {
    let directory = TempDirectory::new("configuration-unsent");
    let mut forwarder = start(&directory);
    list_nodes(&mut forwarder, &["s-1"]);
    let node = queued_entries(&mut forwarder).pop().unwrap().node;
    let (now, late) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    let attempt = AttemptId { request: RequestId(1), number: 0 };
    let content = std::rc::Rc::new(content());
    forwarder.apply_effect(now, Effect::Start { attempt, node, content, give_up_at: late, begin_by: late });
    let base = forwarder.config.settings.clone();
    let prepared = prepare(&forwarder, &base, 1, "nodes_out = ['s-1']");
    forwarder.take_over_configuration(now, &prepared).unwrap();
    forwarder.targets.tick(now + Duration::from_millis(1900));
    assert!(forwarder.targets.ended.is_empty());
    forwarder.targets.tick(now + Duration::from_millis(2100));
    assert_eq!(forwarder.targets.ended.len(), 1);
}

/// Without requests, the planners' client must not keep the loop busy.
#[test]
fn the_planners_client_has_no_timer_due_at_once_without_requests() {
    let directory = TempDirectory::new("idle");
    let mut forwarder = start(&directory);
    let now = Instant::now();
    let registry = forwarder.poll.registry().try_clone().unwrap();
    forwarder.planners.as_mut().unwrap().tick(now, &registry);
    forwarder.run_planner(now);
    assert!(forwarder.planners.as_ref().unwrap().next_timer() > now);
}
