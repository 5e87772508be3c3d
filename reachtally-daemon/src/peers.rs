//! The listener for other daemons of the failure domain.

use std::time::Duration;

use futures::{SinkExt, StreamExt};
use reachtally_core::Event;
use reachtally_core::systems::gossip::PeerConfig;
use reachtally_protocol::Message;
use reachtally_protocol::link::{Link, link};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::actor::{self, Answer, Handle, Query};

/// Timeout for the message and response of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the actor ends.
pub async fn listen(listener: TcpListener, handle: Handle) {
    while !handle.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handle.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(stream: TcpStream, handle: Handle) {
    // Slow connections are dropped. Digests are sent periodically, so nothing is lost for good.
    timeout(CONNECTION_TIMEOUT, handle_message(link(stream), handle))
        .await
        .ok();
}

async fn handle_message(mut link: Link, handle: Handle) {
    let Some(Ok(message)) = link.next().await else {
        return;
    };
    let event = match message {
        Message::Digest(members) => Event::Digest(members),
        Message::Records(records) => Event::PeerConfig(PeerConfig::Records(records)),
        Message::Snapshot(config) => Event::PeerConfig(PeerConfig::Snapshot(config)),
        Message::Pull(next) => {
            if let Some(answer) = config_for(next, &handle).await {
                // The other daemon repeats its request if the response is lost.
                link.send(answer).await.ok();
            }
            return;
        }
    };
    handle.send(actor::Message::Event(event)).ok();
}

async fn config_for(next: u64, handle: &Handle) -> Option<Message> {
    let (tx, rx) = oneshot::channel();
    let query = Query::ConfigFor(next);
    handle
        .send(actor::Message::Query { query, answer: tx })
        .ok()?;
    match rx.await.ok()? {
        Answer::PeerConfig(PeerConfig::Records(records)) => Some(Message::Records(records)),
        Answer::PeerConfig(PeerConfig::Snapshot(config)) => Some(Message::Snapshot(config)),
        _ => None,
    }
}
