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

/// Time that a connection may take for its message and answer.
const CONNECTION_TIME: Duration = Duration::from_secs(5);
/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Take messages until the actor is gone.
pub async fn listen(listener: TcpListener, handle: Handle) {
    while !handle.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handle.clone()));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(stream: TcpStream, handle: Handle) {
    // A connection that takes too long is dropped; digests come again.
    timeout(CONNECTION_TIME, converse(link(stream), handle))
        .await
        .ok();
}

async fn converse(mut link: Link, handle: Handle) {
    let Some(Ok(message)) = link.next().await else {
        return;
    };
    let event = match message {
        Message::Digest(members) => Event::Digest(members),
        Message::Records(records) => Event::PeerConfig(PeerConfig::Records(records)),
        Message::Snapshot(config) => Event::PeerConfig(PeerConfig::Snapshot(config)),
        Message::Pull(next) => {
            if let Some(answer) = config_for(next, &handle).await {
                // The other daemon asks again if it does not get it.
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
