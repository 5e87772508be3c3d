//! Every way in which a call can fail, and what it proves. `docs/design/outcomes.md` has a row for
//! each of these tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::event::CallFailure;
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{Answer, ServiceCall};
use reachtally_core::step::Batch;
use reachtally_target::http::HttpTargets;
use reachtally_target::{Engines, Services};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a target does with a connection.
#[derive(Debug, Clone, Copy)]
enum Does {
    /// Closes it at once.
    Close,
    /// Reads the whole request, then closes.
    ReadAndClose,
    /// Reads the request and answers this.
    Answer(&'static str),
    /// Reads the request and answers nothing.
    Nothing,
}

/// A target on loopback that does the same with every connection.
async fn target(does: Does) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, does));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, does: Does) {
    if matches!(does, Does::Close) {
        return;
    }
    let mut buf = [0; 4096];
    let read = stream.read(&mut buf).await.unwrap_or(0);
    assert!(read > 0, "a request came");
    match does {
        Does::Close | Does::ReadAndClose => {}
        Does::Answer(text) => {
            stream.write_all(text.as_bytes()).await.ok();
        }
        Does::Nothing => std::future::pending().await,
    }
}

fn call() -> ServiceCall {
    ServiceCall {
        service: "s".to_owned(),
        method: "POST".to_owned(),
        path: "new".to_owned(),
        content_type: None,
        body: Bytes::from_static(b"ten pallets"),
    }
}

async fn called(address: SocketAddr) -> Result<Answer, CallFailure> {
    let targets = HttpTargets::new().expect("a client");
    targets
        .call(&format!("http://{address}"), call(), None)
        .await
}

async fn stepped(address: SocketAddr) -> CallFailure {
    let targets = HttpTargets::new().expect("a client");
    let result = targets
        .steps(&format!("http://{address}"), Batch::default())
        .await;
    result.expect_err("it fails")
}

async fn service_failure(does: Does) -> CallFailure {
    called(target(does).await).await.expect_err("it fails")
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let address = target(Does::Close).await;
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let closed = listener.local_addr().expect("it is bound");
    drop(listener);
    let proof = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
    assert_eq!(called(closed).await, Err(proof));
    assert_eq!(stepped(closed).await, proof);
    assert_ne!(called(address).await, Err(proof));
}

#[tokio::test]
async fn a_reset_before_the_request_was_read_proves_nothing() {
    assert_eq!(service_failure(Does::Close).await, CallFailure::Lost);
}

#[tokio::test]
async fn a_reset_after_the_request_was_read_proves_nothing() {
    assert_eq!(service_failure(Does::ReadAndClose).await, CallFailure::Lost);
    assert_eq!(
        stepped(target(Does::ReadAndClose).await).await,
        CallFailure::Lost
    );
}

#[tokio::test]
async fn an_answer_that_never_comes_leaves_the_call_open_for_the_callers_deadline() {
    let address = target(Does::Nothing).await;
    let waited = tokio::time::timeout(Duration::from_millis(200), called(address)).await;
    assert!(waited.is_err());
}

#[tokio::test]
async fn the_targets_own_word_proves_that_nothing_ran() {
    let answer = "HTTP/1.1 503 Service Unavailable\r\nreachtally-outcome: not-run\r\n\
                  content-length: 0\r\n\r\n";
    let proof = CallFailure::NeverStarted(NeverStarted::TargetSaidSo);
    assert_eq!(service_failure(Does::Answer(answer)).await, proof);
    assert_eq!(stepped(target(Does::Answer(answer)).await).await, proof);
}

#[tokio::test]
async fn a_server_error_proves_nothing() {
    for status in [
        "500 Internal Server Error",
        "502 Bad Gateway",
        "503 Service Unavailable",
    ] {
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n").leak();
        assert_eq!(
            service_failure(Does::Answer(answer)).await,
            CallFailure::Lost
        );
        assert_eq!(
            stepped(target(Does::Answer(answer)).await).await,
            CallFailure::Lost
        );
    }
}

#[tokio::test]
async fn a_client_error_is_the_services_answer_and_no_engines() {
    let answer = "HTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\nnone";
    let answered = called(target(Does::Answer(answer)).await)
        .await
        .expect("an answer");
    assert_eq!((answered.status, &answered.body[..]), (404, &b"none"[..]));
    assert_eq!(
        stepped(target(Does::Answer(answer)).await).await,
        CallFailure::Lost
    );
}

#[tokio::test]
async fn an_answer_that_breaks_off_proves_nothing() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    assert_eq!(
        service_failure(Does::Answer(answer)).await,
        CallFailure::Lost
    );
    assert_eq!(
        stepped(target(Does::Answer(answer)).await).await,
        CallFailure::Lost
    );
}

#[tokio::test]
async fn an_engines_answer_that_does_not_decode_proves_nothing() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n\u{1}abc";
    assert_eq!(
        stepped(target(Does::Answer(answer)).await).await,
        CallFailure::Lost
    );
}
