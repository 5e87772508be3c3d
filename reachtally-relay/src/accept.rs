//! Accepts connections on a listener.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::forward::overload::max_peer_connections;
use tokio::net::{TcpListener, TcpStream};

use crate::open::{OpenConnection, OpenConnections};
use crate::relay::Relay;

/// Pause after a failed accept, which is most often caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Adds a connection to those of a port between boxes, unless there are as many as the port may have.
pub(crate) fn take_peer(relay: &Relay, open: &Rc<OpenConnections>) -> Option<OpenConnection> {
    let limit = relay.settings.borrow().max_descriptors;
    let max = limit.map_or(usize::MAX, max_peer_connections);
    (open.len() < max).then(|| open.add())
}

/// Serves each connection in its own task until the process exits; `name` identifies the listener in the log. Where `serve` returns
/// no future, the connection is closed unread.
pub(crate) async fn each<F>(
    relay: Rc<Relay>,
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(TcpStream, SocketAddr) -> Option<F>,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                relay.count(|tally| tally.connections_accepted += 1);
                relay.resources.record_descriptor(stream.as_raw_fd());
                relay.probe_run_queue();
                match serve(stream, peer) {
                    Some(serving) => drop(tokio::task::spawn_local(serving)),
                    None => relay.count(|tally| tally.connections_turned_away += 1),
                }
            }
            Err(err) => {
                relay.count(|tally| tally.accepts_failed += 1);
                log::warn!(event = "accept-failed", listener = name, why:% = err; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
