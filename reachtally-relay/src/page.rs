//! Small listeners that answer each question at once: readiness and metrics.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::answer::Body;

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answer questions with `respond` until the process ends; `name` is for the log.
pub(crate) async fn serve(
    listener: TcpListener,
    name: &'static str,
    respond: impl Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(event = "accept-failed", listener = name, why:% = err; "a connection was not taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let respond = respond.clone();
        let service = service_fn(move |req| {
            let response = respond(&req);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(err) = served {
                log::debug!(event = "connection-broke", listener = name, why:% = err; "a connection broke");
            }
        });
    }
}
