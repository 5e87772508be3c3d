//! Load reports to and from the other boxes, so that boxes which do not see each other's requests
//! don't all choose the same engines.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use reachtally_core::forward::peers;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::load;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::relay::Relay;

/// Time between two reports. A request lasts some seconds, so loads change little in between.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Most boxes told each time, so that reports do not grow with the number of boxes.
const MOST_TOLD: usize = 12;

/// Open the socket for reports.
///
/// # Errors
/// The system's, if the address is taken.
pub async fn bind(ip: IpAddr, port: u16) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(ip, port)).await
}

/// Tell and hear loads until the process ends.
pub async fn run(relay: Rc<Relay>, socket: UdpSocket, run: Incarnation) {
    let mut tick = interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number = 0;
    let mut buf = [0; load::REPORT_MAX];
    loop {
        tokio::select! {
            _ = tick.tick() => {
                number += 1;
                tell(&relay, &socket, run, number);
                let now = relay.now();
                relay.peers.borrow_mut().sum_up(&mut relay.fleet.borrow_mut(), now);
            }
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => hear(&relay, &buf[..length], from),
                Err(err) => log::debug!(event = "report-failed", why:% = err; "no report was received"),
            }
        }
    }
}

fn tell(relay: &Relay, socket: &UdpSocket, run: Incarnation, number: u64) {
    let report = load::encode(&peers::own_report(
        run,
        number,
        &relay.fleet.borrow(),
        relay.now(),
    ));
    let Ok(port) = socket.local_addr().map(|address| address.port()) else {
        return;
    };
    let members = relay.members.borrow();
    let others: Vec<_> = members.iter().filter(|member| member.run != run).collect();
    for member in others.sample(&mut rand::rng(), MOST_TOLD) {
        // A report that can't be sent now is as good as lost; the next one follows.
        if let Err(err) = socket.try_send_to(&report, SocketAddr::new(member.ip, port)) {
            log::debug!(event = "report-failed", to:% = member.ip, why:% = err; "a report was not sent");
        }
    }
}

fn hear(relay: &Relay, bytes: &[u8], from: SocketAddr) {
    match load::decode(bytes) {
        Ok(report) => {
            let now = relay.now();
            relay.peers.borrow_mut().hear(report, now);
        }
        Err(err) => {
            log::info!(event = "report-malformed", from:% = from, why:% = err; "a box's report does not decode");
        }
    }
}
