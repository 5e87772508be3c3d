//! The relay as a separate process.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use reachtally_core::forward::budget::BudgetBounds;
use reachtally_core::forward::cost::{Card, LayerModel};
use reachtally_core::forward::fleet::Entry;
use reachtally_core::forward::routes::{RepeatPolicy, ResponseShape, Route, Service, Table};
use reachtally_framing::Malformed;
use reachtally_relay::wire::{AddedFields, AnswerHead, BadHead, CallHead, Wire};
use reachtally_relay::{Relay, Settings, listen};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::report::Report;

/// Command-line options of the relay process.
#[derive(Debug, Clone, Bpaf)]
pub struct BoxOptions {
    /// Address of the engine
    #[bpaf(argument("ADDRESS"))]
    engine: SocketAddr,
    /// Write the log
    logs: bool,
}

/// Wire format of this benchmark, whose only header is a request id.
struct BenchWire;

impl Wire for BenchWire {
    fn config(&self, _raw: &[u8]) -> Result<Table, String> {
        Ok(table())
    }

    fn call(&self, headers: &HeaderMap) -> Result<CallHead, BadHead> {
        let id = headers.get("x-bench-id").and_then(|id| id.to_str().ok());
        Ok(CallHead {
            id: id.unwrap_or_default().to_owned(),
            prompt_tokens: 10.0,
            max_answer_tokens: 10.0,
            ..CallHead::default()
        })
    }

    fn forward(&self, headers: &HeaderMap, _add: &AddedFields<'_>) -> HeaderMap {
        let mut headers = headers.clone();
        headers.remove(CONTENT_LENGTH);
        headers
    }

    fn answer(&self, _status: u16, headers: &HeaderMap) -> Result<AnswerHead, Malformed> {
        let id = headers.get("x-bench-id").and_then(|id| id.to_str().ok());
        Ok(AnswerHead {
            id: id.map(str::to_owned),
            sealed: true,
            ..AnswerHead::default()
        })
    }

    fn backward(&self, headers: &HeaderMap) -> HeaderMap {
        let mut headers = headers.clone();
        headers.remove(TRANSFER_ENCODING);
        headers
    }
}

/// Returns a table with one route to one engine, which holds all layers and never runs out of KV.
fn table() -> Table {
    let card = Card {
        memory_mb: 1e9,
        step_factor: 1.0,
        read_factor: 1.0,
    };
    let model = LayerModel {
        layers: 8,
        layer_mb: 1.0,
        kv_token_mb: 0.1,
        step_ms: 1.0,
        stride: 1.0,
        chunk: 0.0,
        slots: 100_000,
        mean_prompt_tokens: 10.0,
        mean_answer_tokens: 10.0,
        cards: [("card".to_owned(), card)].into(),
        ..LayerModel::default()
    };
    let mut table = Table::new(1);
    let service = Service {
        max_connections: 100_000,
        health_path: "/health".into(),
        model: Some(model.into()),
    };
    table.services.insert("pool".into(), service);
    let route = Route {
        name: "stream".into(),
        repeat: RepeatPolicy::AtMostOnce,
        shape: ResponseShape::Events {
            resumable: true,
            gap_objective: None,
        },
        timeout: Duration::from_secs(600),
        objective: Duration::from_millis(500),
        priority: 1,
        services: vec![("pool".into(), 1)],
        max_attempts: 2,
        public: true,
    };
    table.add_route("bench.example", "/", route);
    table
}

/// Prints the relay's address and runs the relay until this process is killed.
pub fn run_box(options: &BoxOptions) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|err| err.to_string())?;
    LocalSet::new().block_on(&runtime, serve(options))
}

async fn serve(options: &BoxOptions) -> Result<Report, String> {
    let settings = Settings {
        name: "bench".to_owned(),
        domain: "here".to_owned(),
        domains: 1,
        ip: Ipv4Addr::LOCALHOST.into(),
        link_mbps: 0,
        memory: 256 * 1024 * 1024,
        max_descriptors: None,
        is_first_start: false,
        seeds: Vec::new(),
        revoke_within: None,
        budget: BudgetBounds {
            ratio: 0.2,
            slack: 1000.0,
            window: Duration::from_secs(10),
        },
        grace: Duration::from_secs(8),
        apply_within: Duration::from_secs(2),
        drain_within: Duration::from_secs(2),
        handoff_port: None,
    };
    let relay = Rc::new(Relay::new(settings, Box::new(BenchWire)));
    relay.publish(&"bench".into())?;
    relay.update_target(Entry {
        id: "e1".into(),
        born: None,
        service: "pool".into(),
        address: options.engine,
        domain: "here".into(),
        draining: false,
        slots: 100_000,
        card: Some("card".into()),
        layers: 0..8,
    });
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(|err| err.to_string())?;
    println!("{}", listener.local_addr().map_err(|err| err.to_string())?);
    if options.logs {
        reachtally_journal::start("bench");
    }
    listen::run(relay, listener).await;
    Ok(Report::default())
}
