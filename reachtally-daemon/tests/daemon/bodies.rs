//! Bodies of many callers at once, against little memory for them.

use std::time::Duration;

use reachtally_core::Incarnation;
use reachtally_daemon::Identity;
use reachtally_daemon::standalone::{CALLER_KEY, Options, Standalone, standalone};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::setup::{disable_rocket_logs, post};

const BODY_BYTES: usize = 1 << 20;
const MEMORY_BYTES: u64 = 8 << 20;
/// Clients whose bodies take four times that.
const CLIENTS: usize = 32;
/// Time limit of the test. No assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a body that stops just short of its end, and returns the status if the daemon answers.
async fn stop_short(setup: &Standalone) -> impl Future<Output = Option<String>> + use<> {
    let address = setup.daemon.callers();
    async move {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        // The daemon may refuse the body before it has read all of it.
        let _ = stream.write_all(&vec![b' '; BODY_BYTES - 1]).await;
        let mut answer = [0; 64];
        let count = stream.read(&mut answer).await.ok()?;
        let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
        answer.split(' ').nth(1).map(str::to_owned)
    }
}

#[tokio::test]
async fn bodies_that_stop_short_give_way_and_ordinary_requests_are_served() {
    disable_rocket_logs();
    let options = Options {
        body_memory_bytes: MEMORY_BYTES,
        identity: Identity {
            incarnation: Incarnation(1),
            seed: 1,
        },
        ..Options::default()
    };
    let setup = standalone(options).await.expect("everything starts");
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(stop_short(&setup).await);
    }
    let tested = timeout(TEST_TIMEOUT, async {
        // What does not fit must be refused; the rest waits for its end.
        let must_be_refused = CLIENTS - (MEMORY_BYTES as usize / BODY_BYTES);
        for _ in 0..must_be_refused {
            let status = clients.join_next().await.expect("a client");
            let status = status.expect("the client does not panic");
            // A client whose body is still being written may only see that its connection ends.
            assert!(status.is_none_or(|status| status == "503"));
        }
        let text = r#"{"model":"demo","prompt":"hello","max_tokens":2}"#;
        let answer = post(&setup, "/v1/completions", text).send().await;
        assert_eq!(answer.expect("the daemon answers").status(), 200);
    });
    tested.await.expect("the test ends in time");
}
