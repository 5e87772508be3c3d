//! Messages to and from the other boxes: loads, so that boxes which do not see each other's requests don't all choose the same
//! engines; requests that crash targets, so that they are quarantined at all boxes; rate limits of targets, which all boxes
//! keep together; and rates of client accounts in contended services, by which the accounts get fair shares.

mod limits;
mod shares;
mod suspects;

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use limits::Requests;
use reachtally_core::Instant;
use reachtally_core::forward::limit::Allocator;
use reachtally_core::forward::loads::{self, Collector, Message, Others};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::load::{self, MESSAGE_MAX};
use shares::Shares;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::relay::Relay;

/// Time between two reports. A request lasts some seconds, so loads change little in between.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two sums of the reports, since boxes report at different moments. Each takes a
/// fraction of a millisecond.
const SUM_INTERVAL: Duration = Duration::from_millis(50);
/// Reports in a row without an answer after which another collector is chosen: one or two datagrams may
/// be lost.
const UNANSWERED: u32 = 3;
/// Cooldown of a collector that did not answer: longer than the group takes to notice that it
/// is gone.
const AVOID_COLLECTOR: Duration = Duration::from_secs(5);
/// Least time between two log lines on datagrams that do not decode.
const MALFORMED_INTERVAL: Duration = Duration::from_secs(60);

/// Of this many reports one carries a page of all that is held, of suspects and of limits: it repairs what was lost.
const PAGE_REPORTS: u64 = 10;
/// The first reports of a box, which are answered with such a page each: it has just started.
const REPORTS_OF_A_START: u64 = 5;

/// Whether report `number` carries a page of all that is held, or is answered with one.
fn is_page_due(number: u64) -> bool {
    number < REPORTS_OF_A_START || number.is_multiple_of(PAGE_REPORTS)
}

/// Open the socket for loads.
///
/// # Errors
/// The system's, if the address is taken.
pub async fn bind(ip: IpAddr, port: u16) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(ip, port)).await
}

/// Sends and receives messages until the process ends.
pub async fn run(relay: Rc<Relay>, socket: UdpSocket, run: Incarnation) {
    let mut tick = interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sum_tick = interval(SUM_INTERVAL);
    sum_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut gossip = match Gossip::new(relay.clone(), socket, run) {
        Ok(gossip) => gossip,
        Err(err) => {
            log::error!(event = "report-failed", why:% = err; "loads are not told: the socket has no address");
            return;
        }
    };
    let mut buf = [0; MESSAGE_MAX];
    loop {
        tokio::select! {
            _ = tick.tick() => gossip.tell(),
            _ = sum_tick.tick(), if gossip.collector.reporters() > 0 => gossip.sum_up(),
            () = relay.suspicion.news.notified() => gossip.spread_suspects(None),
            () = relay.limits.changed.notified() => gossip.spread_limits(None),
            () = relay.limits.wanted.notified() => gossip.request_permits(),
            () = relay.shares.contended.notified() => gossip.report_rates(),
            received = gossip.socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => gossip.hear(&buf[..length], from.ip()),
                Err(err) => log::debug!(event = "report-failed", why:% = err; "no message was received"),
            }
        }
    }
}

/// Where this box reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    /// To itself.
    Here,
    Box(IpAddr),
}

struct Gossip {
    relay: Rc<Relay>,
    socket: UdpSocket,
    port: u16,
    run: Incarnation,
    /// Numbers this box's reports.
    number: u64,
    collector: Collector,
    /// Where the last reports went.
    target: Target,
    /// Reports there since the last answer.
    unanswered: u32,
    avoid: Vec<(IpAddr, Instant)>,
    malformed_at: Option<Instant>,
    /// Issues the permits of those that report here.
    allocator: Allocator,
    requests: Requests,
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
            target: Target::Here,
            unanswered: 0,
            avoid: Vec::new(),
            malformed_at: None,
            allocator: Allocator::default(),
            requests: Requests::default(),
            shares: Shares::default(),
        })
    }

    /// Sends the report of this box, and the sums of its reports to other collectors.
    fn tell(&mut self) {
        let now = self.relay.now();
        self.number += 1;
        self.choose(now);
        let report = loads::own_report(self.run, self.number, &self.relay.fleet.borrow(), now);
        match self.target {
            Target::Here => self.collector.hear(report, self.ip(), now),
            Target::Box(ip) => {
                self.unanswered += 1;
                for page in load::pages(&report) {
                    self.send(ip, &Message::Report(page));
                }
            }
        }
        self.tell_suspects();
        self.sum_up();
        self.report_limits();
        self.report_rates();
        self.tell_peers();
        if self.target == Target::Here && self.is_collector() {
            self.take(self.collector.all_but(self.run), now);
        }
        let mut remote_loads = self.relay.remote_loads.borrow_mut();
        remote_loads.remove_expired(&mut self.relay.fleet.borrow_mut(), now);
        self.relay.admission.wake_all();
    }

    /// Whether others may report here. A box without a collector only has its own report, which says nothing of the
    /// number of boxes.
    fn is_collector(&self) -> bool {
        self.relay.look(self.run, &[], |view| view.is_listed())
    }

    /// Sends the sums of the reports to other collectors; most boxes have none.
    fn tell_peers(&self) {
        let parts = self.parts();
        if parts.is_empty() {
            return;
        }
        for ip in self.peers() {
            for part in &parts {
                self.send_bytes(ip, part);
            }
        }
    }

    fn sum_up(&mut self) {
        let now = self.relay.now();
        self.collector.sum_up(now);
        self.refill();
        self.compute_shares();
    }

    /// Chooses where to report: the first reader of this failure domain that answers.
    fn choose(&mut self, now: Instant) {
        self.avoid
            .retain(|(_, at)| now.since(*at) < AVOID_COLLECTOR);
        if let Target::Box(ip) = self.target
            && self.unanswered >= UNANSWERED
        {
            log::info!(event = "collector-lost", from:% = ip; "a box does not answer reports of loads");
            self.avoid.push((ip, now));
        }
        let avoid: Vec<IpAddr> = self.avoid.iter().map(|(ip, _)| *ip).collect();
        let found = self.relay.look(self.run, &avoid, |view| view.collector());
        let target = found.map_or(Target::Here, Target::Box);
        if target != self.target {
            self.leave();
            self.target = target;
            self.unanswered = 0;
        }
    }

    /// Announces to the collector that this box reports elsewhere, so that it does not count twice: the shares of the retry budget
    /// would be too small.
    fn leave(&mut self) {
        match self.target {
            Target::Here => {
                self.collector.leave(self.run);
                self.allocator.leave(self.run);
                self.shares.aggregator.leave(self.run);
            }
            Target::Box(ip) => self.send(ip, &Message::Leave(self.run)),
        }
    }

    fn ip(&self) -> IpAddr {
        self.relay.settings.borrow().ip
    }

    fn parts(&self) -> Vec<bytes::Bytes> {
        let parts = self.collector.parts(self.run);
        let encoded = parts.into_iter().map(Message::Part);
        encoded.flat_map(|part| load::datagrams(&part)).collect()
    }

    /// Other collectors: those that were received from lately, and the first reader of each failure domain of which none
    /// was.
    fn peers(&self) -> BTreeSet<IpAddr> {
        let told: Vec<(&str, IpAddr)> = self.collector.peers().collect();
        let is_silent = |domain: &str| !told.iter().any(|(from, _)| *from == domain);
        let silent: Vec<IpAddr> = self.relay.look(self.run, &[], |view| {
            let first = view.first_readers();
            let silent = first.into_iter().filter(|(domain, _)| is_silent(domain));
            silent.map(|(_, ip)| ip).collect()
        });
        told.iter().map(|(_, ip)| *ip).chain(silent).collect()
    }

    /// Other collectors, if this box is one.
    fn collectors(&self) -> BTreeSet<IpAddr> {
        match self.collector.reporters() {
            0 => BTreeSet::new(),
            _ => self.peers(),
        }
    }

    /// The boxes that a collector passes a change on to, without the one that it came from.
    fn collected(&self, from: Option<IpAddr>) -> BTreeSet<IpAddr> {
        let reporters = self.collector.reporters_ips();
        let all = reporters.chain(self.collectors());
        all.filter(|ip| Some(*ip) != from && *ip != self.ip())
            .collect()
    }

    /// All boxes that this one passes a change on to, without the one that it came from.
    fn neighbours(&self, from: Option<IpAddr>) -> BTreeSet<IpAddr> {
        let mut found = self.collected(from);
        if let Target::Box(ip) = self.target
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

    fn send_bytes(&self, ip: IpAddr, message: &[u8]) {
        let to = SocketAddr::new(ip, self.port);
        // A message that can't be sent now is as good as lost; the next one follows.
        if let Err(err) = self.socket.try_send_to(message, to) {
            log::debug!(event = "report-failed", to:% = ip, why:% = err; "loads were not sent");
        }
    }

    fn hear(&mut self, bytes: &[u8], from: IpAddr) {
        let now = self.relay.now();
        match load::decode(bytes) {
            Ok(Message::Report(page)) => {
                let (run, number, is_first) = (page.run, page.number, page.index == 0);
                self.collector.hear_page(page, from, now);
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
            Ok(Message::Part(part)) => self.collector.hear_part(part, from, now),
            Ok(Message::Leave(run)) => {
                self.collector.leave(run);
                self.allocator.leave(run);
                self.shares.aggregator.leave(run);
            }
            Ok(Message::Others(others)) => {
                if self.target == Target::Box(from) {
                    self.unanswered = 0;
                }
                self.take(others, now);
            }
            Ok(Message::Suspects(told)) => {
                if self.relay.hear_suspects(&told) {
                    self.spread_suspects(Some(from));
                }
            }
            Ok(Message::Limits(reports)) => {
                if self.relay.update_limits(&reports) {
                    self.spread_limits(Some(from));
                }
            }
            Ok(Message::PermitRequest(req)) => self.answer_request(req, from),
            Ok(Message::Grants(grants)) => {
                if self.target == Target::Box(from) {
                    self.take_grants(&grants);
                }
            }
            Ok(Message::DemandPart(part)) => self.allocator.update_peer(part, now),
            Ok(Message::AccountRates(rates)) => self.update_rates(rates, from),
            Ok(Message::AccountShares(shares)) => {
                if self.target == Target::Box(from) {
                    self.relay.update_shares(shares);
                }
            }
            Err(err) => self.note_malformed(from, &err, now),
        }
    }

    /// Updates the loads of all other boxes.
    fn take(&self, others: Others, now: Instant) {
        let mut remote_loads = self.relay.remote_loads.borrow_mut();
        remote_loads.hear(others, &mut self.relay.fleet.borrow_mut(), now);
        self.relay.admission.loads_received(now);
    }

    fn note_malformed(&mut self, from: IpAddr, why: &load::LoadError, now: Instant) {
        let is_recent = |at: Instant| now.since(at) < MALFORMED_INTERVAL;
        if self.malformed_at.is_some_and(is_recent) {
            return;
        }
        self.malformed_at = Some(now);
        log::info!(event = "report-malformed", from:% = from, why:% = why; "a box's loads do not decode; more of these are not logged for a minute");
    }
}
