//! The fleet as operators see it: `INFO FLEET` as JSON, and a few rows of `INFO`.

use super::member::{Member, Peer};
use super::traffic::Traffic;
use super::update::MemberState;
use serde_json::json;
use std::time::Duration;

/// The state of another member, as far as this one knows.
fn peer_state(member: &Member, name: &str, peer: &Peer) -> &'static str {
    let listed = member.view().and_then(|view| view.members.get(name));
    match () {
        () if listed.is_none_or(|listed| listed.generation != peer.update.generation) => "joining",
        () if peer.update.state == MemberState::Leaving => "leaving",
        () if peer.faulty => "lost",
        () if peer.suspicion.is_some() => "suspect",
        () => "alive",
    }
}

/// The rows of `INFO` and the JSON of `INFO FLEET` for a member, at a time on its own scale. Ages are in milliseconds.
pub fn render(member: &Member, traffic: Traffic, now: Duration) -> (String, String) {
    let age = |at: Option<Duration>| at.map(|at| now.saturating_sub(at).as_millis() as u64);
    let peers = member.peers().iter().map(|(name, peer)| {
        let witnesses: Vec<&String> =
            peer.suspicion.iter().flat_map(|suspicion| &suspicion.witnesses).collect();
        let indirect_ack = peer.last_indirect_ack.as_ref();
        json!({
            "name": name,
            "address": peer.update.address,
            "life": peer.update.generation.0,
            "claim": peer.update.incarnation,
            "state": peer_state(member, name, peer),
            "heard_ms": age(peer.last_received),
            "reached_ms": age(peer.last_ack),
            "found_ms": age(indirect_ack.map(|(at, _)| *at)),
            "found_by": indirect_ack.map(|(_, by)| by),
            "witnesses": witnesses,
        })
    });
    let view = member.view().map(|view| {
        let members: Vec<_> =
            view.members.values().map(|listed| json!({ "name": listed.name, "life": listed.generation.0 })).collect();
        let id = view.id;
        json!({ "founding": id.bootstrap, "founded_ms": id.bootstrapped_ms(), "number": id.number, "members": members })
    });
    let (counters, quorate) = (member.counters, member.is_quorate(now));
    let (phase, size) = (member.phase().name(), member.view().map_or(0, |view| view.members.len()));
    let json = json!({
        "phase": phase,
        "life": member.generation().0,
        "quorate": quorate,
        "lacks": member.health_score(),
        "view": view,
        "peers": peers.collect::<Vec<_>>(),
        "counters": {
            "probes": counters.probes, "looks": counters.indirect_probes, "doubts": counters.suspicions,
            "refuted": counters.refuted, "views": counters.views, "tries": counters.proposals,
            "strangers": counters.wrong_source, "datagrams_in": traffic.datagrams_in,
            "datagrams_out": traffic.datagrams_out, "bytes_out": traffic.bytes_out,
            "unreadable": traffic.unreadable, "not_sent": traffic.not_sent,
        },
    });
    let lines = format!(
        "fleet_phase:{phase}\r\nfleet_quorate:{}\r\nfleet_members:{size}\r\nfleet_view:{}\r\n",
        u8::from(quorate),
        member.view().map_or(0, |view| view.id.number),
    );
    (lines, json.to_string())
}
