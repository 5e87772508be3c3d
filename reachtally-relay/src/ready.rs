//! Readiness listener, which the load balancer probes.

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use crate::answer::{self, Body};
use crate::page;
use crate::relay::Relay;
use crate::startup::Milestone;

/// Returns whether the box should receive new connections. It should not while other boxes serve a service whose targets it does not
/// reach, nor while it takes none.
pub fn is_ready(relay: &Relay) -> bool {
    let can_serve = relay.has_room() && !relay.is_cut_off() && relay.can_serve();
    !relay.lifecycle.is_leaving() && relay.is_fresh() && can_serve
}

/// Answers readiness probes on `path` until the process exits.
pub async fn run(relay: Rc<Relay>, listener: TcpListener, path: &'static str) {
    let was_ready = Rc::new(Cell::new(false));
    let respond = {
        let relay = relay.clone();
        move |req: &Request<Incoming>| respond(&relay, &was_ready, path, req)
    };
    page::serve(relay, listener, "readiness", respond).await;
}

fn respond(
    relay: &Relay,
    was_ready: &Cell<bool>,
    path: &str,
    req: &Request<Incoming>,
) -> Response<Body> {
    if req.uri().path() != path {
        return answer::plain(StatusCode::NOT_FOUND, "no such page");
    }
    let ready = is_ready(relay);
    if ready {
        relay.reach(Milestone::Readiness);
    }
    if was_ready.replace(ready) != ready {
        let version = relay.configuration.table().map(|table| table.version);
        log::info!(event = "ready", ready = ready, leaving = relay.lifecycle.is_leaving(), fresh = relay.is_fresh(), version:? = version; "readiness changed");
    }
    match ready {
        true => answer::plain(StatusCode::OK, "ready"),
        false => answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}
