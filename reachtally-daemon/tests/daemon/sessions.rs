//! Snapshot tests of complete sessions.

use std::time::Duration;

use reachtally_standin::engine::Fault;

use crate::setup::{post, session, start, url};

const INSTANT: Duration = Duration::ZERO;

#[tokio::test]
async fn plain_answer() {
    let setup = start(INSTANT).await;
    let text = r#"{"model": "demo", "prompt": "draft a service report", "max_tokens": 8}"#;
    let chat = r#"{"model": "demo", "max_tokens": 4,
        "messages": [{"role": "user", "content": "draft a quote"}]}"#;
    let adapter =
        r#"{"model": "demo-quotes", "prompt": "draft a service report", "max_tokens": 8}"#;
    let mut golden = session("text", post(&setup, "/v1/completions", text)).await;
    golden += &session("chat", post(&setup, "/v1/chat/completions", chat)).await;
    golden += &session("with an adapter", post(&setup, "/v1/completions", adapter)).await;
    let models = reqwest::Client::new()
        .get(url(&setup, "/v1/models"))
        .bearer_auth("demo");
    golden += &session("models", models).await;
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn streamed_answer() {
    let setup = start(INSTANT).await;
    let text = r#"{"model": "demo", "prompt": "list the parts", "max_tokens": 4, "stream": true}"#;
    let chat = r#"{"model": "demo", "max_tokens": 3, "stream": true,
        "messages": [{"role": "system", "content": "be brief"}, {"role": "user", "content": "hi"}]}"#;
    let mut golden = session("text", post(&setup, "/v1/completions", text)).await;
    golden += &session("chat", post(&setup, "/v1/chat/completions", chat)).await;
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn stage_death_and_shift() {
    let setup = start(Duration::from_millis(5)).await;
    let body =
        r#"{"model": "demo", "prompt": "match the codes", "max_tokens": 24, "stream": true}"#;
    let mut response = post(&setup, "/v1/completions", body)
        .send()
        .await
        .expect("it answers");
    let mut golden = format!("{}\n", response.status());
    let mut killed = false;
    while let Some(chunk) = response.chunk().await.expect("the stream goes on") {
        golden += &String::from_utf8_lossy(&chunk);
        let serving = setup
            .engines
            .iter()
            .find(|(name, engine)| name.starts_with("engine-1") && engine.requests_held() > 0);
        if let Some((_, engine)) = serving.filter(|_| !killed) {
            engine.fault(Fault::Die);
            killed = true;
        }
    }
    assert!(killed, "no stage was killed");
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn refusal() {
    let setup = start(INSTANT).await;
    for (name, engine) in &setup.engines {
        if name.starts_with("engine-0") {
            engine.fault(Fault::Refuse(1));
        }
    }
    let body = r#"{"model": "demo", "prompt": "draft a quote", "stream": true}"#;
    let mut golden = session(
        "every engine of the first stage refuses",
        post(&setup, "/v1/completions", body),
    )
    .await;
    let other = r#"{"model": "other", "prompt": "draft a quote"}"#;
    golden += &session("unknown model", post(&setup, "/v1/completions", other)).await;
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn unknown_outcome() {
    let setup = start(INSTANT).await;
    setup.orders.fault(Fault::LoseAnswers(1));
    let order = |body: &str| {
        post(&setup, "/services/orders/new", body).header("Idempotency-Key", "order-1")
    };
    let mut golden = session("the answer is lost", order("ten pallets")).await;
    golden += &session("the caller tries again", order("ten pallets")).await;
    golden += &session("with another body", order("twenty pallets")).await;
    assert_eq!(setup.orders.runs().get("order-1"), Some(&1));
    insta::assert_snapshot!(golden);
}

#[tokio::test]
async fn plain_service() {
    let setup = start(INSTANT).await;
    let order = || post(&setup, "/services/orders/new?site=3", "ten pallets");
    let mut golden = session("once", order().header("Idempotency-Key", "order-1")).await;
    golden += &session(
        "the same key again",
        order().header("Idempotency-Key", "order-1"),
    )
    .await;
    golden += &session("without a key", order()).await;
    let get = reqwest::Client::new().get(url(&setup, "/services/lookup/part/17"));
    golden += &session("a lookup", get.bearer_auth("demo")).await;
    assert_eq!(setup.orders.runs().get("order-1"), Some(&1));
    insta::assert_snapshot!(golden);
}
