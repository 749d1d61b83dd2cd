//! Starts an initiator: reads files, opens listeners and takes over the state of a predecessor.

use super::budget::{connection_budget, memory_limits, MAX_ISCSI_SESSIONS};
use super::turns::LoopStats;
use super::{
    Forwarder, ADMIN_LISTENER, ADVERTISEMENTS, ISCSI_LISTENER, LISTENER, MAX_PIPELINED, PIPELINE_DIVISOR,
    QUEUED_DESCRIPTOR_DIVISOR, RELOAD, SIGNAL, UPGRADE,
};
use crate::clock::Clock;
use crate::config::{Config, Files};
use crate::control::endpoint::AdminEndpoint;
use crate::core::Core;
use crate::discovery::{self, Discovery, ListUpdate};
use crate::front::{iscsi, resp, ClientLimits, Front};
use crate::interface::{Event, ListKind};
use crate::listener::Listener;
use crate::memory::Budget;
use crate::nodes::Nodes;
use crate::placement::Placement;
use crate::planner::client::Planners;
use crate::planner::Planner;
use crate::process::{self, Signals};
use crate::service::addresses::Addresses;
use crate::service::State;
use crate::target::Targets;
use crate::tokens::{Kind, Tokens};
use crate::upgrade::frame::{HandoverState, ListenerAddress};
use crate::upgrade::{self, Predecessor, Upgrade};
use mio::net::UnixStream;
use mio::{Interest, Poll};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

impl Forwarder {
    /// Reads the configuration, opens the listeners and applies the last known node list.
    pub fn new(files: Files, signals: Signals) -> Result<Self, String> {
        let mut config = Config::read(&files)?;
        let known = config.known.take();
        limit_to_system_descriptors(&mut config);
        // Virtual router addresses and shares of remote planners belong to one process, so hot upgrade is off with
        // either.
        let exclusive = config.vrrp.is_some() || !config.planners.is_empty();
        let upgrade_socket = if exclusive { None } else { upgrade::socket_path(config.listen) };
        let mut predecessor = upgrade_socket.as_deref().and_then(find_predecessor);
        let mut open_listener = |at: ListenerAddress, address: SocketAddr| {
            // Port 0 is assigned by the system, so the predecessor's listener has another port.
            let predecessor = predecessor.as_mut().filter(|_| address.port() != 0);
            let inherited = predecessor.and_then(|predecessor| predecessor.listener(at));
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
        let budget = Budget::new(memory_limits(&config, 0));
        let (for_targets, client_limits) = connection_budget(&config, 0);
        // Clients hold at most a third of the descriptors, one for each request: queued requests take descriptors
        // from later clients.
        let max_queued = config.sockets / QUEUED_DESCRIPTOR_DIVISOR;
        config.settings.limits.max_queued = Some(max_queued);
        apply_router_shares(&mut config, &files)?;
        let (wire, settings) = (config.wire.clone(), config.settings.clone());
        let mut nodes = Nodes::new(wire.zones.clone());
        let targets = Targets::new(wire.connect_timeout, wire.conn_idle, for_targets, budget.clone(), now);
        let retry_after = settings.limits.max_retry_after;
        let iscsi = config.iscsi.clone().map(|offered| {
            offered.storage.iter().for_each(|storage| nodes.add_iscsi(storage));
            let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
            let client_limits = ClientLimits {
                evict_idle_above: MAX_ISCSI_SESSIONS,
                clients: MAX_ISCSI_SESSIONS,
                overflow: 0,
                lingering: MAX_ISCSI_SESSIONS / 4,
            };
            let address = offered.listen;
            let target = iscsi::Target::new(offered, deadlines, retry_after, budget.clone(), config.seed);
            open_listener(ListenerAddress::Iscsi(address), address)
                .and_then(|listener| {
                    Front::new(
                        target,
                        listener,
                        ISCSI_LISTENER,
                        poll.registry(),
                        clock,
                        client_limits,
                        budget.clone(),
                    )
                })
                .map_err(|error| format!("{address}: {error}"))
        });
        let max_pending = (max_queued / PIPELINE_DIVISOR).clamp(1, MAX_PIPELINED);
        let resp = resp::Resp { wire, retry_after, max_pending, budget: budget.clone() };
        let resp = open_listener(ListenerAddress::Resp(config.listen), config.listen)
            .and_then(|listener| {
                Front::new(resp, listener, LISTENER, poll.registry(), clock, client_limits, budget.clone())
            })
            .map_err(|error| format!("{}: {error}", config.listen))?;
        let admin = config.control.map(|address| {
            let admin = open_listener(ListenerAddress::Control(address), address)
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
        let mut core = Core::new(clock, retry_after, budget.clone());
        core.set_classes(&config.settings.classes);
        let (mut state, mut version) = (State::default(), known.as_ref().map(|known| known.index));
        let mut upgrade = Upgrade::new(upgrade_socket, UPGRADE, now);
        let mut predecessor_usage = (0, 0);
        let (mut loaded, mut identity) = (false, None);
        if let Some(predecessor) = predecessor {
            let handover = upgrade.take_over(predecessor, poll.registry(), &mut tokens, now)?;
            if let Some(handover) = handover {
                let HandoverState { drained, nodes: listed, list, scheduler, usage, fleet } = *handover;
                identity = fleet;
                if drained {
                    state.drain(now)?;
                }
                predecessor_usage = usage;
                if let Some(list_event) = nodes.restore(now, listed) {
                    (version, loaded) = (list, true);
                    let learned = scheduler.is_some_and(|scheduler| planner.take_over(scheduler));
                    tracing::info!(learned, "took over the state of the predecessor");
                    core.push_event(list_event);
                }
            }
        }
        let mut forwarder = Forwarder {
            poll,
            clock,
            budget,
            answers_without_memory: Vec::new(),
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
                discovery::PollingPolicy::new(&config.settings, config.seed),
            ),
            nodes,
            placement: Placement::default(),
            addresses: None,
            fleet: None,
            rejoin_fleet_at: None,
            admin,
            admin_handed_over: false,
            state,
            upgrade,
            predecessor_usage,
            files,
            config,
            signal,
            reload,
            tokens,
            loop_stats: LoopStats::new(now),
            arrived_since: now,
            next_report: now,
        };
        if !forwarder.nodes.iscsi_nodes().is_empty() {
            let entries = forwarder.nodes.iscsi_nodes().to_vec();
            forwarder.core.push_event(Event::List { kind: ListKind::Delta, entries });
        }
        if let Some(known) = known.filter(|_| !loaded) {
            forwarder
                .take_list(ListUpdate { message: known, contiguous: false, received: now }, ListKind::Cached);
        }
        if let Some(vrrp) = forwarder.config.vrrp.clone() {
            let longest = forwarder.longest_deadline();
            let mut context = forwarder.loop_context();
            let addresses = Addresses::start(vrrp, longest, ADVERTISEMENTS, &mut context, now)?;
            forwarder.addresses = Some(addresses);
        }
        forwarder.join_fleet(now, identity)?;
        let iscsi = forwarder.iscsi.as_ref().and_then(Front::address);
        tracing::trace!(settings = ?forwarder.config.settings, "settings");
        let control = forwarder.admin.as_ref().and_then(AdminEndpoint::address);
        forwarder.state.start();
        forwarder.apply_connection_budget();
        forwarder.publish_service_state();
        forwarder.upgrade.listen(forwarder.poll.registry());
        tracing::info!(name = forwarder.config.name, resp = ?forwarder.resp.address(), ?iscsi, ?control, "started");
        Ok(forwarder)
    }
}

/// Lowers the descriptor limit of the settings to that of the system. Otherwise clients could use up all descriptors
/// and leave none for discovery and nodes.
fn limit_to_system_descriptors(config: &mut Config) {
    if let Some(most) = process::max_descriptors().filter(|most| *most < config.sockets) {
        tracing::warn!(most, "limits.sockets is {}, but the system allows fewer", config.sockets);
        config.sockets = most;
    }
}

/// Connects to a running process of this initiator, if there is one.
fn find_predecessor(socket: &Path) -> Option<Predecessor> {
    Predecessor::connect(socket).unwrap_or_else(|why| {
        tracing::warn!("starting without a hot upgrade, although another process may be running: {why}");
        None
    })
}

/// Divides the limits and the load of cold nodes between the machines of a virtual router.
fn apply_router_shares(config: &mut Config, files: &Files) -> Result<(), String> {
    let Some(vrrp) = &config.vrrp else { return Ok(()) };
    if let Some(plan) = vrrp.share.plan_below_largest(&config.settings) {
        let why = "handover.burst_share leaves no room for the largest request of plan";
        return Err(format!("{}: {why} {:?}", files.vrrp.display(), config.wire.plans[plan]));
    }
    vrrp.share.divide(&mut config.settings);
    Ok(())
}
