//! The start of an initiator: files, addresses, what the process before hands over.

use super::budget::{connection_budget, LONG_PART, MOST_ISCSI};
use super::turns::Turns;
use super::{
    Forwarder, ADMIN_LISTENER, ADVERTISEMENTS, CONNECTION_PART, HELD_SOCKETS, ISCSI_LISTENER, LISTENER,
    MOST_PENDING, RELOAD, SIGNAL, UPGRADE,
};
use crate::clock::Clock;
use crate::config::{Config, Files};
use crate::control::endpoint::AdminEndpoint;
use crate::core::Core;
use crate::discovery::{self, Discovery, News};
use crate::flow::Budget;
use crate::front::{iscsi, resp, Front, Room};
use crate::interface::{Event, ListKind};
use crate::listener::Listener;
use crate::nodes::Nodes;
use crate::placement::Placement;
use crate::planner::client::Planners;
use crate::planner::Planner;
use crate::process::{self, Signals};
use crate::service::addresses::Addresses;
use crate::service::State;
use crate::target::Targets;
use crate::tokens::{Kind, Tokens};
use crate::upgrade::frame::{Carried, Place};
use crate::upgrade::{self, Before, Upgrade};
use mio::net::UnixStream;
use mio::{Interest, Poll};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

impl Forwarder {
    /// Reads its files, binds its address and takes its last list.
    pub fn new(files: Files, signals: Signals) -> Result<Self, String> {
        let mut config = Config::read(&files)?;
        let known = config.known.take();
        keep_to_descriptors(&mut config);
        // Addresses that move and remote planners' shares belong to one process: no second one takes over beside them.
        let alone = config.vrrp.is_some() || !config.planners.is_empty();
        let place = if alone { None } else { upgrade::meeting_place(config.listen) };
        let mut before = place.as_deref().and_then(process_before);
        let mut listen = |at: Place, address: SocketAddr| {
            // A port that the system chooses is another one each time.
            let before = before.as_mut().filter(|_| address.port() != 0);
            let inherited = before.and_then(|before| before.listener(at));
            inherited.map_or_else(|| Listener::open(address), |socket| Ok(Listener::adopt(socket, None)))
        };
        let poll = Poll::new().map_err(|error| format!("poll: {error}"))?;
        let (clock, now) = (Clock::start(), Instant::now());
        let register = |stream, token| {
            let mut stream = UnixStream::from_std(stream);
            let registered = poll.registry().register(&mut stream, token, Interest::READABLE);
            registered.map(|()| stream).map_err(|error| format!("signal pipe: {error}"))
        };
        let (signal, reload) = (register(signals.end, SIGNAL)?, register(signals.reload, RELOAD)?);
        let (for_targets, room) = connection_budget(&config, (0, 0));
        // Clients hold a third of the descriptors at most, one for each request: what waits here takes so many from
        // those that come next.
        let most_held = config.sockets / HELD_SOCKETS;
        config.settings.limits.max_queued = Some(most_held);
        divide_between_routers(&mut config, &files)?;
        let (wire, settings) = (config.wire.clone(), config.settings.clone());
        let mut nodes = Nodes::new(wire.zones.clone());
        let targets = Targets::new(wire.connect_timeout, wire.conn_idle, for_targets, now);
        let retry_after = settings.limits.max_retry_after;
        let iscsi = config.iscsi.clone().map(|offered| {
            offered.storage.iter().for_each(|storage| nodes.add_own(storage));
            let patience = settings.classes.iter().map(|class| class.deadline).collect();
            let room =
                Room { easy: MOST_ISCSI, clients: MOST_ISCSI, crowd: 0, leaving: MOST_ISCSI / 4, ..room };
            let address = offered.listen;
            let target = iscsi::Target::new(offered, patience, retry_after, config.seed);
            listen(Place::Iscsi(address), address)
                .and_then(|listener| {
                    Front::new(target, listener, ISCSI_LISTENER, poll.registry(), clock, room)
                })
                .map_err(|error| format!("{address}: {error}"))
        });
        let budget = Budget::new(config.memory / LONG_PART);
        let most_pending = (most_held / CONNECTION_PART).clamp(1, MOST_PENDING);
        let resp = resp::Resp { wire, retry_after, most_pending, budget: budget.clone() };
        let resp = listen(Place::Resp(config.listen), config.listen)
            .and_then(|listener| Front::new(resp, listener, LISTENER, poll.registry(), clock, room))
            .map_err(|error| format!("{}: {error}", config.listen))?;
        let admin = config.control.map(|address| {
            let admin = listen(Place::Control(address), address)
                .and_then(|listener| AdminEndpoint::open(listener, ADMIN_LISTENER, poll.registry()));
            admin.map_err(|error| format!("control {address}: {error}"))
        });
        let admin = admin.transpose()?;
        let mut tokens = Tokens::new();
        let planners = (!config.planners.is_empty()).then(|| {
            let names = config.live_configuration.then(|| config.names());
            let (addresses, settings) = (&config.planners, (settings.clone(), names));
            let (partitions, name) = (config.partitions, config.name.as_str());
            Planners::new(addresses, partitions, name, settings, config.seed, (clock, now), &mut tokens)
        });
        let mut planner = Planner::new(settings, config.seed, clock);
        let mut core = Core::new(clock, retry_after);
        core.set_classes(&config.settings.classes);
        let (mut state, mut version) = (State::default(), known.as_ref().map(|known| known.index));
        let mut upgrade = Upgrade::new(place, UPGRADE, now);
        let mut held = (0, 0);
        let (mut loaded, mut identity) = (false, None);
        if let Some(before) = before {
            let carried = upgrade.take_over(before, poll.registry(), &mut tokens, now)?;
            if let Some(carried) = carried {
                let Carried { drained, nodes: listed, list, scheduler, holds, fleet } = *carried;
                identity = fleet;
                if drained {
                    state.drain(now)?;
                }
                held = holds;
                if let Some(list_event) = nodes.load(now, listed) {
                    (version, loaded) = (list, true);
                    let learned = scheduler.is_some_and(|scheduler| planner.take_over(scheduler));
                    tracing::info!(learned, "taken over from the process before");
                    core.tell(list_event);
                }
            }
        }
        let mut forwarder = Forwarder {
            poll,
            clock,
            budget,
            core,
            planner,
            planners,
            resp,
            iscsi: iscsi.transpose()?,
            targets,
            discovery: Discovery::new(
                config.discovery,
                tokens.next(Kind::Discovery),
                now,
                version,
                discovery::Manner::new(&config.settings, config.seed),
            ),
            nodes,
            placement: Placement::default(),
            addresses: None,
            fleet: None,
            fleet_again: None,
            admin,
            admin_given: false,
            state,
            upgrade,
            held,
            files,
            config,
            signal,
            reload,
            tokens,
            turns: Turns::new(now),
            came: now,
            next_report: now,
        };
        if !forwarder.nodes.own().is_empty() {
            let entries = forwarder.nodes.own().to_vec();
            forwarder.core.tell(Event::List { kind: ListKind::Delta, entries });
        }
        if let Some(known) = known.filter(|_| !loaded) {
            forwarder.take_list(News { message: known, fresh: false, came: now }, ListKind::Cached);
        }
        if let Some(vrrp) = forwarder.config.vrrp.clone() {
            let longest = forwarder.longest_deadline();
            let mut lent = forwarder.lend();
            let addresses = Addresses::start(vrrp, longest, ADVERTISEMENTS, &mut lent, now)?;
            forwarder.addresses = Some(addresses);
        }
        forwarder.join_fleet(now, identity)?;
        let iscsi = forwarder.iscsi.as_ref().and_then(Front::address);
        tracing::trace!(settings = ?forwarder.config.settings, "settings");
        let control = forwarder.admin.as_ref().and_then(AdminEndpoint::address);
        forwarder.state.start();
        forwarder.divide();
        forwarder.publish_service_state();
        forwarder.upgrade.listen(forwarder.poll.registry());
        tracing::info!(name = forwarder.config.name, resp = ?forwarder.resp.address(), ?iscsi, ?control, "started");
        Ok(forwarder)
    }
}

/// Guards discovery and nodes against clients that would take up all of fewer descriptors than the settings say.
fn keep_to_descriptors(config: &mut Config) {
    if let Some(most) = process::most_descriptors().filter(|most| *most < config.sockets) {
        tracing::warn!(most, "limits.sockets is {}, and the system allows fewer", config.sockets);
        config.sockets = most;
    }
}

/// The process of this initiator that still serves, if it can be asked.
fn process_before(place: &Path) -> Option<Before> {
    Before::find(place).unwrap_or_else(|why| {
        tracing::warn!("a start as ever, though another process may be there: {why}");
        None
    })
}

/// Limits and cold nodes are divided between the machines of a virtual router.
fn divide_between_routers(config: &mut Config, files: &Files) -> Result<(), String> {
    let Some(vrrp) = &config.vrrp else { return Ok(()) };
    if let Some(plan) = vrrp.share.too_small(&config.settings) {
        let why = "handover.burst_share leaves no room for the largest request of plan";
        return Err(format!("{}: {why} {:?}", files.vrrp.display(), config.wire.plans[plan]));
    }
    vrrp.share.divide(&mut config.settings);
    Ok(())
}
