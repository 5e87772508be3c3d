//! Small listeners that answer each question at once: readiness and metrics.

use std::convert::Infallible;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::accept;
use crate::answer::Body;

/// Answer questions with `respond` until the process ends; `name` is for the log.
pub(crate) async fn serve(
    listener: TcpListener,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    accept::each(listener, name, |stream, _| {
        connection(stream, name, respond.clone())
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
        log::debug!(event = "connection-broke", listener = name, why:% = err; "a connection broke");
    }
}
