//! Carrying effects out: each becomes a task that reports back with an event.

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
use reachtally_target::{Engines, KvMoves, Orders, Probe, Services};
use tokio::time::timeout;

use crate::actor::{self, Handle};
use crate::follow;

/// Time after which the task of an engine call ends. The core gives the call up long before, by its
/// adaptive time-out; this only bounds the tasks that hang.
const STEPS_CAP: Duration = Duration::from_secs(60);

/// Carries effects out.
pub struct Performer {
    /// Reports back here.
    pub handle: Handle,
    /// The targets.
    pub targets: HttpTargets,
    /// The platform.
    pub platform: HttpPlatform,
    /// Time after which a service call's task ends; the request's deadline comes first.
    pub patience: Duration,
}

fn report(handle: &Handle, event: Event) {
    // The actor is gone only when the daemon is.
    handle.send(actor::Message::Event(event)).ok();
}

/// What the first of `peers` that answers gives from `next` on.
async fn ask_peers(next: u64, peers: &[String]) -> Option<PeerConfig> {
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
    /// Send steps to an engine.
    pub fn steps(&self, call: CallKey, url: String, batch: Batch) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let result = timeout(STEPS_CAP, targets.steps(&url, batch)).await;
            let event = match result.unwrap_or(Err(CallFailure::Lost)) {
                Ok(results) => Event::StepsDone { call, results },
                Err(failure) => Event::StepsFailed { call, failure },
            };
            report(&handle, event);
        });
    }

    /// Call a service instance.
    pub fn call(
        &self,
        request: RequestKey,
        target: TargetKey,
        url: String,
        call: ServiceCall,
        key: Option<String>,
    ) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        let patience = self.patience;
        tokio::spawn(async move {
            let result = timeout(patience, targets.call(&url, call, key)).await;
            let result = result.unwrap_or(Err(CallFailure::Lost));
            let event = Event::ServiceCallDone {
                request,
                target,
                result,
            };
            report(&handle, event);
        });
    }

    /// Move a request's KV from one engine to another, `(from, to)`.
    pub fn move_kv(
        &self,
        request: RequestKey,
        id: RequestId,
        to: TargetKey,
        urls: (String, String),
    ) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let positions = targets.move_kv(&urls.0, &urls.1, id).await;
            let event = Event::KvMoved {
                request,
                to,
                positions,
            };
            report(&handle, event);
        });
    }

    /// Probe a target.
    pub fn probe(&self, target: TargetKey, url: String) {
        let (handle, targets) = (self.handle.clone(), self.targets.clone());
        tokio::spawn(async move {
            let up = targets.probe(&url).await;
            report(&handle, Event::Probed { target, up });
        });
    }

    /// Send a message to another daemon. Nothing rests on its arrival.
    pub fn send_message(&self, to: String, message: Message) {
        tokio::spawn(async move {
            link::send_message(&to, message).await.ok();
        });
    }

    /// Ask another daemon for configuration records.
    pub fn pull(&self, from: String, next: u64) {
        let handle = self.handle.clone();
        tokio::spawn(async move {
            // Without an answer the next digest leads to another try.
            if let Some(config) = pull_from(&from, next).await {
                report(&handle, Event::PeerConfig(config));
            }
        });
    }

    /// Ask the log, or else each of `peers`, for configuration records from `next` on.
    pub fn revalidate(&self, nonce: u64, next: u64, peers: Vec<String>) {
        let (handle, platform) = (self.handle.clone(), self.platform.clone());
        tokio::spawn(async move {
            let answer = match platform.read(CONFIG_STREAM, next, 0).await {
                Ok(page) => Some(Event::ConfigRead(follow::operations(page.records))),
                Err(_) => ask_peers(next, &peers).await.map(Event::PeerConfig),
            };
            if let Some(event) = answer {
                report(&handle, event);
                report(&handle, Event::Revalidated(nonce));
            }
        });
    }

    /// Append to the stream of failure domains.
    pub fn append_domain(&self, record: &DomainRecord) {
        let (handle, platform) = (self.handle.clone(), self.platform.clone());
        let data = serde_json::to_value(record);
        tokio::spawn(async move {
            if let Ok(data) = data {
                // Lost or not, what counts is what the stream shows.
                platform.append(DOMAINS_STREAM, data).await.ok();
            }
            report(&handle, Event::DomainAppended);
        });
    }

    /// Append a snapshot of the configuration.
    pub fn write_snapshot(&self, config: &Config) {
        let platform = self.platform.clone();
        let data = serde_json::to_value(config);
        tokio::spawn(async move {
            if let Ok(data) = data
                && platform.append(SNAPSHOTS_STREAM, data).await.is_err()
            {
                warn!("a snapshot of the configuration was not confirmed");
            }
        });
    }

    /// Ask an engine what it holds.
    pub fn ask_report(&self, target: TargetKey, url: String) {
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

    /// Give an engine an order. It is given again until the engine reports that it was followed.
    pub fn order(&self, url: String, fence: u64, order: Order) {
        let targets = self.targets.clone();
        tokio::spawn(async move {
            targets.order(&url, fence, order).await;
        });
    }

    /// Append a claim record to the log.
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
