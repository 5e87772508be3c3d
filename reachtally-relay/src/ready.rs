//! The readiness listener, which the balancer asks.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::answer::{self, Body};
use crate::relay::Relay;

/// Whether the box should get new connections.
pub fn is_ready(relay: &Relay) -> bool {
    !relay.is_leaving() && relay.is_fresh() && relay.can_serve()
}

/// Answer the balancer on `path` until the process ends.
pub async fn run(relay: Rc<Relay>, listener: TcpListener, path: &'static str) {
    let mut was_ready = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(event = "accept-failed", why:% = err; "a readiness question was not taken");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let ready = is_ready(&relay);
        if ready != was_ready {
            let version = relay.config().map(|table| table.version);
            log::info!(event = "ready", ready = ready, leaving = relay.is_leaving(), fresh = relay.is_fresh(), version:? = version; "readiness changed");
            was_ready = ready;
        }
        let service = service_fn({
            let relay = relay.clone();
            move |req| {
                let response = respond(&relay, path, &req);
                async move { Ok::<_, Infallible>(response) }
            }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                log::debug!(event = "readiness-connection", why:% = err; "a readiness connection broke");
            }
        });
    }
}

fn respond(relay: &Relay, path: &str, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != path {
        return answer::plain(StatusCode::NOT_FOUND, "no such page");
    }
    match is_ready(relay) {
        true => answer::plain(StatusCode::OK, "ready"),
        false => answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}
