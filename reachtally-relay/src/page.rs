//! HTTP listener for pages that need no asynchronous work: readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::accept;
use crate::answer::Body;
use crate::relay::Relay;

/// Answers requests with `respond` until the process exits; `name` identifies the listener in the log.
pub(crate) async fn serve(
    relay: Rc<Relay>,
    listener: TcpListener,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    accept::each(relay, listener, name, |stream, _| {
        Some(connection(stream, name, respond.clone()))
    })
    .await;
}

async fn connection(
    stream: TcpStream,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body>,
) {
    let service = service_fn(|req| {
        let response = respond(&req);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(err) = served {
        log::debug!(event = "connection-broke", listener = name, why:% = err; "connection failed");
    }
}
