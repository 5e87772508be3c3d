//! Taking connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serve each connection by a task of its own until the process ends; `name` is for the log.
pub(crate) async fn each<F>(
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::task::spawn_local(serve(stream, from));
            }
            Err(err) => {
                log::warn!(event = "accept-failed", listener = name, why:% = err; "a connection was not taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
