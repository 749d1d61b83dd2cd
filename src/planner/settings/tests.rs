//! Reading the planner's configuration file.

use super::*;

fn text(name: &str) -> String {
    format!(
        "listen = \"127.0.0.1:1\"\nname = \"{name}\"\nplanners = [\"a\", \"b\", \"c\"]\n[vrrp]\nvrid = 7\n\
         interval_ms = 50\naddress = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:2\"]\n"
    )
}

#[test]
fn planners_agree_on_the_priorities_of_each_partition() {
    let configs = ["a", "b", "c"].map(|name| Config::parse(&text(name)).unwrap());
    for partition in 0..3 {
        let mut priorities = configs.each_ref().map(|config| config.routers[partition].priority);
        priorities.sort_unstable();
        assert_eq!(priorities, [230, 240, 250], "partition {partition}");
        assert!(configs.iter().all(|config| config.routers[partition].vrid == 7 + partition as u8));
    }
}

#[test]
fn an_invalid_file_is_refused_with_one_line() {
    let error = |from: &str, to: &str| Config::parse(&text("a").replace(from, to)).unwrap_err();
    assert_eq!(error("name = \"a\"", "name = \"x\""), "name: \"x\" is not among planners");
    assert!(error("\"b\", \"c\"", "\"b\", \"b\"").starts_with("planners: the names of all"));
    assert!(error("[vrrp]", "partitions = 65\n[vrrp]").starts_with("partitions: 65 is not allowed"));
    assert!(error("vrid = 7", "vrid = 0").starts_with("vrrp: "));
}

const CONFIGURATION_SECTION: &str = "[configuration]\ndirectory = \"store\"\ninitiator = \"config.json\"\n";

fn peers(peers: &[(&str, u16)]) -> String {
    let peer = |(name, port): &(&str, u16)| {
        format!("[[configuration.peer]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n")
    };
    peers.iter().map(peer).collect()
}

#[test]
fn voter_ids_follow_the_sorted_names() {
    let text = text("b").replace("\"a\", \"b\", \"c\"", "\"c\", \"b\", \"a\"");
    let text = text + CONFIGURATION_SECTION + &peers(&[("c", 3), ("a", 1)]);
    let section = Config::parse(&text).unwrap().configuration.unwrap();
    assert_eq!(section.voter, VoterId(2));
    assert_eq!(section.voters(), [1, 2, 3].map(VoterId));
    assert_eq!(section.planner(VoterId(3)), Some("c"));
    assert_eq!((section.planner(VoterId(0)), section.planner(VoterId(4))), (None, None));
    let voters: Vec<u64> = section.peers.iter().map(|peer| peer.voter.0).collect();
    assert_eq!(voters, [3, 1]);
}

#[test]
fn live_configuration_is_disabled_without_its_section() {
    assert!(Config::parse(&text("a")).unwrap().configuration.is_none());
}

#[test]
fn peers_that_are_not_exactly_the_other_planners_are_refused() {
    let error = |more: &[(&str, u16)]| {
        Config::parse(&(text("a") + CONFIGURATION_SECTION + &peers(more))).unwrap_err()
    };
    assert_eq!(error(&[("b", 1)]), "configuration: peer: the address of \"c\" is missing");
    assert_eq!(error(&[]), "configuration: peer: the address of \"b\" is missing");
    let own = error(&[("a", 1), ("b", 2), ("c", 3)]);
    assert_eq!(own, "configuration: peer: \"a\" is not among the other planners");
    let unknown = error(&[("b", 2), ("d", 3)]);
    assert_eq!(unknown, "configuration: peer: \"d\" is not among the other planners");
    assert!(error(&[("b", 2), ("c", 2)]).ends_with("is stated twice"));
    assert!(error(&[("b", 2), ("b", 3)]).ends_with("is stated twice"));
}

#[test]
fn an_even_number_of_planners_is_refused_for_live_configuration() {
    let text = text("a").replace("\"b\", \"c\"", "\"b\"") + CONFIGURATION_SECTION + &peers(&[("b", 1)]);
    let error = Config::parse(&text).unwrap_err();
    assert_eq!(error, "configuration: 2 planners can't agree on revisions, 1, 3 or 5 can");
}
