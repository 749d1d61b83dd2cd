//! Carries the election of [`crate::vrrp`] over UDP, to each peer by its own address.

use crate::planner::server::Vrrp;
use crate::vrrp::{step, Advertisement, Event, Settings, State, PACKET};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

pub struct Election {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    settings: Settings,
    state: State,
}

impl Election {
    pub fn start(config: &Vrrp, token: Token, registry: &Registry, now: Instant) -> std::io::Result<Self> {
        let mut socket = UdpSocket::bind(config.address.into())?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        let peers = config.peers.iter().map(|peer| SocketAddr::from(*peer)).collect();
        let mut election = Election { socket, peers, settings: config.settings(), state: State::Initialize };
        election.step(Event::Startup, now);
        Ok(election)
    }

    pub fn is_active(&self) -> bool {
        self.state.is_active()
    }

    pub fn timer(&self) -> Option<Instant> {
        self.state.timer()
    }

    pub fn tick(&mut self, now: Instant) {
        self.step(Event::Timer, now);
    }

    /// Reads what has come. Guards against strangers: only peers are heard.
    pub fn ready(&mut self, now: Instant) {
        let mut packet = [0; PACKET + 1];
        while let Ok((length, from)) = self.socket.recv_from(&mut packet) {
            let heard = Advertisement::read(&packet[..length]).filter(|_| self.peers.contains(&from));
            if let (Some(heard), IpAddr::V4(sender)) = (heard, from.ip()) {
                self.step(Event::Advertisement(heard, sender), now);
            }
        }
    }

    pub fn shut_down(&mut self, now: Instant) {
        self.step(Event::Shutdown, now);
    }

    fn step(&mut self, event: Event, now: Instant) {
        let (state, advertisement) = step(&self.settings, self.state, event, now);
        if state.is_active() != self.state.is_active() {
            tracing::info!(?state, "election");
        }
        self.state = state;
        if let Some(advertisement) = advertisement {
            for peer in &self.peers {
                // A peer that is not there hears nothing; the next advertisement comes in an interval.
                let _ = self.socket.send_to(&advertisement.write(), *peer);
            }
        }
    }
}
