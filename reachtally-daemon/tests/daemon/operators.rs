//! HTTP listener for operators.

use std::time::Duration;

use reachtally_daemon::standalone::{OPERATOR_KEY, Standalone};
use reqwest::{Client, RequestBuilder};

use crate::setup::{post, session, start};

fn command(setup: &Standalone, text: &str) -> RequestBuilder {
    let url = format!("http://{}/v1/commands", setup.daemon.operators());
    let req = Client::new().post(url);
    req.bearer_auth(OPERATOR_KEY).body(text.to_owned())
}

#[tokio::test]
async fn queries_and_a_drain() {
    let setup = start(Duration::ZERO).await;
    let mut golden = session("targets", command(&setup, "show targets")).await;
    golden += &session("boxes", command(&setup, "show boxes")).await;
    golden += &session("bad command", command(&setup, "show tarkets")).await;
    golden += &session("no such target", command(&setup, "drain engine-9")).await;
    let drained = command(&setup, "drain engine-0a")
        .send()
        .await
        .expect("it answers");
    assert_eq!(drained.status(), 200);
    golden += &session("after the drain", command(&setup, "show targets")).await;
    insta::assert_snapshot!(golden);
    let body = r#"{"model": "demo", "prompt": "a", "max_tokens": 2}"#;
    for _ in 0..8 {
        post(&setup, "/v1/completions", body)
            .send()
            .await
            .expect("it answers");
    }
    let (_, engine) = &setup.engines[0];
    assert_eq!(engine.steps_run(), 0);
}

#[tokio::test]
async fn a_key_that_is_no_operators_is_refused() {
    let setup = start(Duration::ZERO).await;
    let url = format!("http://{}/v1/commands", setup.daemon.operators());
    for key in ["demo", ""] {
        let req = Client::new()
            .post(&url)
            .bearer_auth(key)
            .body("show targets");
        let response = req.send().await.expect("it answers");
        assert_eq!(response.status(), 401);
    }
}
