//! HTTP listener for pages that need no asynchronous work: readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::accept;
use crate::answer::Body;
use crate::open::{OpenConnection, OpenConnections, Wait};
use crate::relay::Relay;

/// Number of open connections, of which the one that has waited longest for a request gives way to a new one.
const MAX_CONNECTIONS: usize = 64;
/// Time within which the next head must arrive. Load balancers and scrapers ask more often.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers requests with `respond` until the process exits; `name` identifies the listener in the log.
pub(crate) async fn serve(
    relay: Rc<Relay>,
    listener: TcpListener,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    let open = Rc::new(OpenConnections::default());
    accept::each(relay, listener, name, |stream, _| {
        if open.len() >= MAX_CONNECTIONS {
            open.evict(Duration::ZERO);
        }
        Some(connection(stream, open.add(), name, respond.clone()))
    })
    .await;
}

async fn connection(
    stream: TcpStream,
    open: OpenConnection,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body>,
) {
    let service = service_fn(|req| {
        open.set_wait(Some(Wait::Next));
        let response = respond(&req);
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = serving => served,
        () = open.evicted() => return,
    };
    if let Err(err) = served {
        log::debug!(event = "connection-broke", listener = name, why:% = err; "connection failed");
    }
}
