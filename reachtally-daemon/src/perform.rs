//! Execution of effects. Each effect runs as a task that reports its result as an event.

use std::time::Duration;

use log::warn;
use reachtally_core::Event;
use reachtally_core::claim::ClaimRecord;
use reachtally_core::event::CallFailure;
use reachtally_core::fold::Config;
use reachtally_core::ids::{CallKey, RequestId, RequestKey, TargetKey};
use reachtally_core::lease::DomainRecord;
use reachtally_core::request::ServiceCall;
use reachtally_core::step::Batch;
use reachtally_core::systems::gossip::PeerConfig;
use reachtally_core::systems::steward::Order;
use reachtally_log::http::HttpPlatform;
use reachtally_log::{CLAIMS_STREAM, CONFIG_STREAM, DOMAINS_STREAM, Log, SNAPSHOTS_STREAM};
use reachtally_protocol::{Message, link};
use reachtally_target::http::HttpTargets;
use reachtally_target::{Engines, KvTransfer, Orders, Probe, Services};
use tokio::time::timeout;

use crate::actor::{self, Handle};
use crate::follow;

/// Upper bound on the run time of an engine call's task. The core abandons the call much earlier, by its
/// adaptive timeout; this only ends tasks that hang.
const STEPS_TASK_TIMEOUT: Duration = Duration::from_secs(60);

/// Executes effects.
pub struct Performer {
    /// Receives the resulting events.
    pub handle: Handle,
    /// HTTP client for the targets.
    pub targets: HttpTargets,
    /// HTTP client for the platform.
    pub platform: HttpPlatform,
    /// Timeout of a service call's task. The request's deadline expires first.
    pub request_timeout: Duration,
}

fn report(handle: &Handle, event: Event) {
    // Sending fails only once the daemon has stopped.
    handle.send(actor::Message::Event(event)).ok();
}

/// Requests the configuration records from `next` on from each of `peers` in turn, until one responds.
async fn pull_from_any(next: u64, peers: &[String]) -> Option<PeerConfig> {
    for peer in peers {
        if let Some(config) = pull_from(peer, next).await {
            return Some(config);
        }
    }
    None
}

async fn pull_from(peer: &str, next: u64) -> Option<PeerConfig> {
    match link::request(peer, Message::Pull(next)).await {
        Ok(Message::Records(records)) => Some(PeerConfig::Records(records)),
        Ok(Message::Snapshot(config)) => Some(PeerConfig::Snapshot(config)),
        Ok(Message::Digest(_) | Message::Pull(_)) | Err(_) => None,
    }
}

impl Performer {
    /// Sends steps to an engine.
    pub fn steps(&self, call: CallKey, url: String, batch: Batch) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let result = timeout(STEPS_TASK_TIMEOUT, targets.steps(&url, batch)).await;
            let event = match result.unwrap_or(Err(CallFailure::Lost)) {
                Ok(results) => Event::StepsDone { call, results },
                Err(failure) => Event::StepsFailed { call, failure },
            };
            report(&handle, event);
        });
    }

    /// Calls a service instance.
    pub fn call(
        &self,
        request: RequestKey,
        target: TargetKey,
        url: String,
        call: ServiceCall,
        key: Option<String>,
    ) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        let request_timeout = self.request_timeout;
        tokio::spawn(async move {
            let result = timeout(request_timeout, targets.call(&url, call, key)).await;
            let result = result.unwrap_or(Err(CallFailure::Lost));
            let event = Event::ServiceCallDone {
                request,
                target,
                result,
            };
            report(&handle, event);
        });
    }

    /// Transfers a request's KV cache between two engines; `urls` is `(from, to)`.
    pub fn transfer_kv(
        &self,
        request: RequestKey,
        id: RequestId,
        to: TargetKey,
        urls: (String, String),
    ) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let positions = targets.transfer_kv(&urls.0, &urls.1, id).await;
            let event = Event::KvMoved {
                request,
                to,
                positions,
            };
            report(&handle, event);
        });
    }

    /// Probes a target.
    pub fn probe(&self, target: TargetKey, url: String) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let up = targets.probe(&url).await;
            report(&handle, Event::Probed { target, up });
        });
    }

    /// Sends a message to another daemon without confirmation. Correctness does not depend on delivery.
    pub fn send_message(&self, to: String, message: Message) {
        tokio::spawn(async move {
            link::send_message(&to, message).await.ok();
        });
    }

    /// Requests configuration records from another daemon.
    pub fn pull(&self, from: String, next: u64) {
        let handle = self.handle.clone();
        tokio::spawn(async move {
            // Without a response, the next digest triggers another attempt.
            if let Some(config) = pull_from(&from, next).await {
                report(&handle, Event::PeerConfig(config));
            }
        });
    }

    /// Reads the configuration records from `next` on from the log or, if that fails, from one of `peers`.
    pub fn revalidate(&self, nonce: u64, next: u64, peers: Vec<String>) {
        let (handle, platform) = (self.handle.clone(), self.platform.clone());
        tokio::spawn(async move {
            let answer = match platform.read(CONFIG_STREAM, next, 0).await {
                Ok(page) => Some(Event::ConfigRead(follow::operations(page.records))),
                Err(_) => pull_from_any(next, &peers).await.map(Event::PeerConfig),
            };
            if let Some(event) = answer {
                report(&handle, event);
                report(&handle, Event::Revalidated(nonce));
            }
        });
    }

    /// Appends a record to the stream of failure domains.
    pub fn append_domain(&self, record: &DomainRecord) {
        let (handle, platform) = (self.handle.clone(), self.platform.clone());
        let data = serde_json::to_value(record);
        tokio::spawn(async move {
            if let Ok(data) = data {
                // The result is ignored: the record takes effect when it is read from the stream.
                platform.append(DOMAINS_STREAM, data).await.ok();
            }
            report(&handle, Event::DomainAppended);
        });
    }

    /// Appends a snapshot of the configuration.
    pub fn write_snapshot(&self, config: &Config) {
        let platform = self.platform.clone();
        let data = serde_json::to_value(config);
        tokio::spawn(async move {
            if let Ok(data) = data
                && platform.append(SNAPSHOTS_STREAM, data).await.is_err()
            {
                warn!("append of a configuration snapshot was not confirmed");
            }
        });
    }

    /// Requests a report of an engine's state.
    pub fn request_report(&self, target: TargetKey, url: String) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            if let Some(reported) = targets.report(&url).await {
                let event = Event::TargetReport {
                    target,
                    report: reported,
                };
                report(&handle, event);
            }
        });
    }

    /// Sends an order to an engine. The core repeats it until the engine reports that it was executed.
    pub fn order(&self, url: String, fence: u64, order: Order) {
        let targets = self.targets.clone();
        tokio::spawn(async move {
            targets.order(&url, fence, order).await;
        });
    }

    /// Appends a claim record to the log.
    pub fn append(&self, seq: u64, record: &ClaimRecord) {
        let (handle, platform) = (self.handle.clone(), self.platform.clone());
        let data = serde_json::to_value(record);
        tokio::spawn(async move {
            let confirmed = match data {
                Ok(data) => platform.append(CLAIMS_STREAM, data).await.is_ok(),
                Err(_) => false,
            };
            report(&handle, Event::Appended { seq, confirmed });
        });
    }
}
