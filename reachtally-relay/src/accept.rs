//! Accepts connections on a listener.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which is most often caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves each connection in its own task until the process exits; `name` identifies the listener in the log.
pub(crate) async fn each<F>(
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::task::spawn_local(serve(stream, peer));
            }
            Err(err) => {
                log::warn!(event = "accept-failed", listener = name, why:% = err; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
