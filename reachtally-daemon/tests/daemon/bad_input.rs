//! Invalid input gets a specific error with the outcome `not-run`, and the daemon keeps serving.

use std::time::Duration;

use reachtally_daemon::standalone::{Options, standalone};
use reqwest::Client;

use crate::setup::{post, session, start, url};

#[tokio::test]
async fn every_kind_of_bad_input_gets_its_own_error() {
    let setup = start(Duration::ZERO).await;
    let good = r#"{"model": "demo", "prompt": "a"}"#;
    let path = "/v1/completions";
    let mut golden = String::new();
    for (title, body) in [
        ("no JSON", "{\"model\": "),
        ("no object", "[1]"),
        (
            "everything wrong",
            r#"{"model": 1, "max_tokens": 0, "stream": "yes", "colour": "red"}"#,
        ),
        (
            "wrong messages",
            r#"{"model": "demo", "prompt": "a", "messages": []}"#,
        ),
        ("unknown model", r#"{"model": "other", "prompt": "a"}"#),
    ] {
        golden += &session(title, post(&setup, path, body)).await;
    }
    let chat = r#"{"model": "demo", "messages": [{"role": "user"}, 3]}"#;
    golden += &session("bad messages", post(&setup, "/v1/chat/completions", chat)).await;
    let no_key = Client::new().post(url(&setup, path)).body(good);
    golden += &session("no key", no_key).await;
    let wrong_key = Client::new()
        .post(url(&setup, path))
        .bearer_auth("x")
        .body(good);
    golden += &session("wrong key", wrong_key).await;
    let empty = post(&setup, path, good).header("Idempotency-Key", "");
    golden += &session("empty idempotency key", empty).await;
    golden += &session("unknown service", post(&setup, "/services/other/x", "")).await;
    golden += &session("no route", post(&setup, "/v1/nothing", "")).await;
    golden += &session("the daemon goes on", post(&setup, path, good)).await;
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let setup = start(Duration::ZERO).await;
    let long = "a".repeat(reachtally_config::settings::BODY_BYTES as usize + 1);
    let response = post(&setup, "/v1/completions", &long)
        .send()
        .await
        .expect("it answers");
    assert_eq!(response.status(), 413);
    assert_eq!(response.headers()["reachtally-outcome"], "not-run");
}

#[tokio::test]
async fn a_port_in_use_is_one_clear_error() {
    let setup = start(Duration::ZERO).await;
    let options = Options {
        callers: setup.daemon.callers(),
        ..Options::default()
    };
    let failed = standalone(options).await.err().expect("the port is in use");
    let text = format!("{failed:?}");
    assert!(text.contains("can't listen for callers"), "{text}");
    assert!(text.contains(&setup.daemon.callers().to_string()), "{text}");
}
