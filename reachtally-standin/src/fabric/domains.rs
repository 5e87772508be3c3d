//! Messages between daemons, and between stewards and engines.

use reachtally_core::Event;
use reachtally_core::event::{BoxStatus, Peer};
use reachtally_core::ids::{RequestId, RequestKey, TargetKey};
use reachtally_core::member::MemberState;
use reachtally_core::systems::steward::Order;
use reachtally_target::order::OrderBody;

use super::queue::ScheduledEvent;
use super::{Fabric, LINK_LATENCY};

impl Fabric {
    /// Joins every daemon to its failure domain. The address of a daemon is its index.
    pub fn join(&mut self, domains: &[&str]) {
        self.domains = domains.iter().map(|&domain| domain.to_owned()).collect();
        for daemon in 0..domains.len() {
            self.rejoin(daemon);
        }
    }

    /// Joins a daemon to its failure domain, also after a restart.
    pub fn rejoin(&mut self, daemon: usize) {
        let member = MemberState {
            box_name: format!("b{daemon}"),
            domain: self.domains[daemon].clone(),
            address: daemon.to_string(),
            ..MemberState::default()
        };
        self.nodes[daemon].world.join(member, self.now);
        let peers = self
            .domains
            .iter()
            .enumerate()
            .map(|(daemon, domain)| BoxStatus {
                name: format!("b{daemon}"),
                leaving: false,
                peer: Some(Peer {
                    domain: domain.clone(),
                    address: daemon.to_string(),
                }),
            });
        let engines = self.log.engine_boxes().map(|name| BoxStatus {
            name,
            leaving: false,
            peer: None,
        });
        let statuses: Vec<BoxStatus> = peers.chain(engines).collect();
        self.handle(daemon, Event::LiveListRead(statuses));
    }

    /// Returns the daemon at `address`, unless a partition separates it from `from`.
    fn peer(&self, from: usize, address: &str) -> Option<usize> {
        let to: usize = address.parse().ok()?;
        let cut =
            self.partitioned_daemons.contains(&from) || self.partitioned_daemons.contains(&to);
        (!cut && to < self.nodes.len()).then_some(to)
    }

    pub(super) fn send_to_peer(&mut self, from: usize, address: &str, event: Event) {
        if let Some(to) = self.peer(from, address) {
            self.schedule_event(to, LINK_LATENCY, event);
        }
    }

    pub(super) fn pull_config(&mut self, daemon: usize, from: &str, next: u64) {
        if let Some(peer) = self.peer(daemon, from) {
            let config = self.nodes[peer].world.config_for(next);
            self.schedule_event(daemon, LINK_LATENCY * 2, Event::PeerConfig(config));
        }
    }

    pub(super) fn revalidate(&mut self, daemon: usize, nonce: u64, peers: &[String]) {
        let log_reachable = !self.log.down && !self.log.cut.contains(&daemon);
        let peer = peers.iter().find_map(|address| self.peer(daemon, address));
        if log_reachable {
            self.queue
                .push(self.now + LINK_LATENCY, ScheduledEvent::LogRead);
        } else if let Some(peer) = peer {
            let next = self.nodes[daemon].world.config.next();
            let config = self.nodes[peer].world.config_for(next);
            self.schedule_event(daemon, LINK_LATENCY * 2, Event::PeerConfig(config));
        } else {
            return;
        }
        self.schedule_event(daemon, LINK_LATENCY * 3, Event::Revalidated(nonce));
    }

    pub(super) fn transfer_kv(
        &mut self,
        daemon: usize,
        request: RequestKey,
        id: RequestId,
        (from, to): (TargetKey, TargetKey),
    ) {
        let urls = (self.nodes[daemon].url(from), self.nodes[daemon].url(to));
        let source = self
            .engines
            .get(&urls.0)
            .filter(|engine| engine.is_reachable());
        let export = source.and_then(|engine| engine.state.export(id));
        let destination = self
            .engines
            .get_mut(&urls.1)
            .filter(|engine| engine.is_reachable());
        let positions = export.zip(destination).and_then(|(export, engine)| {
            let positions = export.positions;
            engine.state.import(id, export).then_some(positions)
        });
        let event = Event::KvMoved {
            request,
            to,
            positions,
        };
        self.schedule_event(daemon, LINK_LATENCY * 4, event);
    }

    pub(super) fn request_report(&mut self, daemon: usize, target: TargetKey) {
        let url = self.nodes[daemon].url(target);
        let Some(engine) = self
            .engines
            .get(&url)
            .filter(|engine| engine.is_reachable())
        else {
            return;
        };
        let report = engine.state.report().into();
        self.schedule_event(
            daemon,
            LINK_LATENCY * 2,
            Event::TargetReport { target, report },
        );
    }

    pub(super) fn order(&mut self, daemon: usize, target: TargetKey, fence: u64, order: Order) {
        let url = self.nodes[daemon].url(target);
        self.orders
            .push((daemon, url.clone(), fence, order.clone()));
        if let Some(engine) = self.engines.get_mut(&url) {
            let action = order.into();
            // The engine ignores an outdated fence; the steward sees that in the next report.
            engine.state.order(OrderBody { fence, action }).ok();
            engine.dead |= engine.state.is_stopped();
        }
    }
}
