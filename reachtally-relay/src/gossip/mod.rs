//! Gossip between boxes, as datagrams.
//!
//! Boxes exchange the loads of targets, since boxes that do not see each other's requests would all choose the same engines;
//! requests that crash targets, so that every box quarantines them; rate limits of targets, which the boxes enforce together;
//! and the rates of client accounts in contended services, from which fair shares are computed.
//!
//! A box reports to the collector of its failure domain. Collectors exchange the totals of their reports and answer each report
//! with the totals of all other boxes.

mod limits;
mod shares;
mod suspects;

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use limits::PermitRequests;
use reachtally_core::Instant;
use reachtally_core::forward::limit::Allocator;
use reachtally_core::forward::loads::{self, Collector, Message, Others};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::load::{self, MESSAGE_MAX};
use shares::Shares;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::relay::Relay;

/// Interval of the reports. Requests last some seconds, so loads change little in between.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a collector updates its totals; shorter than the report interval, since boxes report at different moments.
/// An update takes a fraction of a millisecond.
const TOTALS_INTERVAL: Duration = Duration::from_millis(50);
/// Consecutive unanswered reports after which another collector is chosen. One or two datagrams may be lost.
const MAX_UNANSWERED: u32 = 3;
/// Cooldown of a collector that did not answer; longer than the group needs to detect that a box is gone.
const COLLECTOR_COOLDOWN: Duration = Duration::from_secs(5);
/// Minimum interval between log lines about malformed datagrams.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// One in this many reports also carries a page of all known suspects and limits, which makes up for lost datagrams.
const FULL_PAGE_REPORTS: u64 = 10;
/// The first reports of a box, each of which is answered with such a page, since the box has just started.
const STARTUP_REPORTS: u64 = 5;

/// Whether report `number` carries a page of all known entries, or is answered with one.
fn is_full_page_due(number: u64) -> bool {
    number < STARTUP_REPORTS || number.is_multiple_of(FULL_PAGE_REPORTS)
}

/// Binds the socket for datagrams.
///
/// # Errors
/// If the address can't be bound, for example because it is in use.
pub async fn bind(ip: IpAddr, port: u16) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(ip, port)).await
}

/// Sends and receives messages for the lifetime of the process.
pub async fn run(relay: Rc<Relay>, socket: UdpSocket, run: Incarnation) {
    let mut tick = interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut totals_tick = interval(TOTALS_INTERVAL);
    totals_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut gossip = match Gossip::new(relay.clone(), socket, run) {
        Ok(gossip) => gossip,
        Err(err) => {
            log::error!(event = "report-failed", why:% = err; "gossip is disabled: failed to read the local address of the socket");
            return;
        }
    };
    let mut buf = [0; MESSAGE_MAX];
    loop {
        tokio::select! {
            _ = tick.tick() => gossip.send_report(),
            _ = totals_tick.tick(), if gossip.collector.reporters() > 0 => gossip.update_totals(),
            () = relay.suspicion.evidence_changed.notified() => gossip.propagate_suspects(None),
            () = relay.limits.changed.notified() => gossip.propagate_limits(None),
            () = relay.limits.wanted.notified() => gossip.request_permits(),
            () = relay.shares.contended.notified() => gossip.report_rates(),
            received = gossip.socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => gossip.receive(&buf[..length], from.ip()),
                Err(err) => log::debug!(event = "report-failed", why:% = err; "failed to receive a datagram"),
            }
        }
    }
}

/// The collector that this box reports to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Destination {
    /// The box itself.
    Local,
    Box(IpAddr),
}

struct Gossip {
    relay: Rc<Relay>,
    socket: UdpSocket,
    port: u16,
    run: Incarnation,
    /// Sequence number of the last report.
    number: u64,
    collector: Collector,
    /// The collector that received the last reports.
    destination: Destination,
    /// Reports to that collector since its last answer.
    unanswered: u32,
    unresponsive: Vec<(IpAddr, Instant)>,
    malformed_at: Option<Instant>,
    /// Allocates permits to the boxes that report to this one.
    allocator: Allocator,
    permit_requests: PermitRequests,
    shares: Shares,
}

impl Gossip {
    fn new(relay: Rc<Relay>, socket: UdpSocket, run: Incarnation) -> std::io::Result<Self> {
        let port = socket.local_addr()?.port();
        let collector = Collector::new(&relay.settings.borrow().domain);
        Ok(Gossip {
            relay,
            socket,
            port,
            run,
            number: 0,
            collector,
            destination: Destination::Local,
            unanswered: 0,
            unresponsive: Vec::new(),
            malformed_at: None,
            allocator: Allocator::default(),
            permit_requests: PermitRequests::default(),
            shares: Shares::default(),
        })
    }

    /// Sends the report of this box and, as a collector, its totals to the other collectors.
    fn send_report(&mut self) {
        let now = self.relay.now();
        self.number += 1;
        self.choose_collector(now);
        let report = loads::own_report(self.run, self.number, &self.relay.fleet.borrow(), now);
        match self.destination {
            Destination::Local => self.collector.receive(report, self.ip(), now),
            Destination::Box(ip) => {
                self.unanswered += 1;
                for page in load::pages(&report) {
                    self.send(ip, &Message::Report(page));
                }
            }
        }
        self.report_suspects();
        self.update_totals();
        self.report_limits();
        self.report_rates();
        self.send_totals();
        if self.destination == Destination::Local && self.is_collector() {
            self.update_remote_loads(self.collector.all_except(self.run), now);
        }
        let mut remote_loads = self.relay.remote_loads.borrow_mut();
        remote_loads.remove_expired(&mut self.relay.fleet.borrow_mut(), now);
        self.relay.admission.wake_all();
    }

    /// Whether other boxes may report to this one. A box that has no collector and is not one itself only knows its own report,
    /// from which it can't infer the number of boxes.
    fn is_collector(&self) -> bool {
        self.relay.with_view(self.run, &[], |view| view.is_listed())
    }

    /// Sends the totals of the received reports to the other collectors. Most boxes are no collectors and have no totals.
    fn send_totals(&self) {
        let totals = self.encoded_totals();
        if totals.is_empty() {
            return;
        }
        for ip in self.peer_collectors() {
            for part in &totals {
                self.send_bytes(ip, part);
            }
        }
    }

    fn update_totals(&mut self) {
        let now = self.relay.now();
        self.collector.update_totals(now);
        self.refill();
        self.compute_shares();
    }

    /// Chooses the collector: the first store reader of this failure domain that answers.
    fn choose_collector(&mut self, now: Instant) {
        self.unresponsive
            .retain(|(_, at)| now.since(*at) < COLLECTOR_COOLDOWN);
        if let Destination::Box(ip) = self.destination
            && self.unanswered >= MAX_UNANSWERED
        {
            log::info!(event = "collector-lost", from:% = ip; "collector does not answer; reporting to another one");
            self.unresponsive.push((ip, now));
        }
        let avoid: Vec<IpAddr> = self.unresponsive.iter().map(|(ip, _)| *ip).collect();
        let found = self
            .relay
            .with_view(self.run, &avoid, |view| view.collector());
        let destination = found.map_or(Destination::Local, Destination::Box);
        if destination != self.destination {
            self.leave();
            self.destination = destination;
            self.unanswered = 0;
        }
    }

    /// Announces to the collector that this box switches to another one. A box that is counted twice would make the shares of the
    /// retry budget too small.
    fn leave(&mut self) {
        match self.destination {
            Destination::Local => {
                self.collector.leave(self.run);
                self.allocator.leave(self.run);
                self.shares.aggregator.leave(self.run);
            }
            Destination::Box(ip) => self.send(ip, &Message::Leave(self.run)),
        }
    }

    fn ip(&self) -> IpAddr {
        self.relay.settings.borrow().ip
    }

    fn encoded_totals(&self) -> Vec<bytes::Bytes> {
        let parts = self.collector.parts(self.run);
        let encoded = parts.into_iter().map(Message::Part);
        encoded.flat_map(|part| load::datagrams(&part)).collect()
    }

    /// Returns the other collectors: those that sent their totals recently, and the first store reader of each remaining failure
    /// domain.
    fn peer_collectors(&self) -> BTreeSet<IpAddr> {
        let known: Vec<(&str, IpAddr)> = self.collector.peers().collect();
        let is_unknown = |domain: &str| !known.iter().any(|(from, _)| *from == domain);
        let unknown: Vec<IpAddr> = self.relay.with_view(self.run, &[], |view| {
            let first = view.first_readers();
            let unknown = first.into_iter().filter(|(domain, _)| is_unknown(domain));
            unknown.map(|(_, ip)| ip).collect()
        });
        known.iter().map(|(_, ip)| *ip).chain(unknown).collect()
    }

    /// Returns the other collectors if this box is a collector, and none otherwise.
    fn collectors_to_inform(&self) -> BTreeSet<IpAddr> {
        match self.collector.reporters() {
            0 => BTreeSet::new(),
            _ => self.peer_collectors(),
        }
    }

    /// Returns the boxes to which a collector forwards a change received from `from`.
    fn collector_recipients(&self, from: Option<IpAddr>) -> BTreeSet<IpAddr> {
        let reporters = self.collector.reporter_ips();
        let all = reporters.chain(self.collectors_to_inform());
        all.filter(|ip| Some(*ip) != from && *ip != self.ip())
            .collect()
    }

    /// Returns all boxes to which this one forwards a change received from `from`.
    fn recipients(&self, from: Option<IpAddr>) -> BTreeSet<IpAddr> {
        let mut found = self.collector_recipients(from);
        if let Destination::Box(ip) = self.destination
            && Some(ip) != from
        {
            found.insert(ip);
        }
        found
    }

    fn send(&self, ip: IpAddr, message: &Message) {
        for datagram in load::datagrams(message) {
            self.send_bytes(ip, &datagram);
        }
    }

    fn send_bytes(&self, ip: IpAddr, datagram: &[u8]) {
        let to = SocketAddr::new(ip, self.port);
        // A datagram that can't be sent now counts as lost; later reports make up for it.
        if let Err(err) = self.socket.try_send_to(datagram, to) {
            log::debug!(event = "report-failed", to:% = ip, why:% = err; "failed to send a datagram");
        }
    }

    fn receive(&mut self, bytes: &[u8], from: IpAddr) {
        let now = self.relay.now();
        match load::decode(bytes) {
            Ok(Message::Report(page)) => {
                let (run, number, is_first) = (page.run, page.number, page.index == 0);
                self.collector.receive_page(page, from, now);
                if !is_first {
                    return;
                }
                for answer in self.collector.answers(run, number) {
                    self.send(from, &Message::Others(answer));
                }
                self.answer_suspects(from, number);
                self.answer_limits(from, number);
                self.answer_shares(from, number);
            }
            Ok(Message::Part(part)) => self.collector.receive_part(part, from, now),
            Ok(Message::Leave(run)) => {
                self.collector.leave(run);
                self.allocator.leave(run);
                self.shares.aggregator.leave(run);
            }
            Ok(Message::Others(others)) => {
                if self.destination == Destination::Box(from) {
                    self.unanswered = 0;
                }
                self.update_remote_loads(others, now);
            }
            Ok(Message::Suspects(suspects)) => {
                if self.relay.merge_suspects(&suspects, Some(from)) {
                    self.propagate_suspects(Some(from));
                }
            }
            Ok(Message::Limits(limits)) => {
                if self.relay.update_limits(&limits) {
                    self.propagate_limits(Some(from));
                }
            }
            Ok(Message::PermitRequest(req)) => self.answer_request(req, from),
            Ok(Message::Grants(grants)) => {
                if self.destination == Destination::Box(from) {
                    self.apply_grants(&grants);
                }
            }
            Ok(Message::DemandPart(part)) => self.allocator.update_peer(part, now),
            Ok(Message::AccountRates(rates)) => self.update_rates(rates, from),
            Ok(Message::AccountShares(shares)) => {
                if self.destination == Destination::Box(from) {
                    self.relay.update_shares(shares);
                }
            }
            Err(err) => self.log_malformed(from, &err, now),
        }
    }

    /// Updates the loads of all other boxes.
    fn update_remote_loads(&self, others: Others, now: Instant) {
        let mut remote_loads = self.relay.remote_loads.borrow_mut();
        remote_loads.receive(others, &mut self.relay.fleet.borrow_mut(), now);
        self.relay.admission.loads_received(now);
    }

    fn log_malformed(&mut self, from: IpAddr, why: &load::LoadError, now: Instant) {
        let is_recent = |at: Instant| now.since(at) < MALFORMED_LOG_INTERVAL;
        if self.malformed_at.is_some_and(is_recent) {
            return;
        }
        self.malformed_at = Some(now);
        log::info!(event = "report-malformed", from:% = from, why:% = why; "failed to decode a datagram; further ones are not logged for a minute");
    }
}
