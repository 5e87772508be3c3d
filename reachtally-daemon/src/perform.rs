//! Carrying effects out: each becomes a task that reports back with an event.

use std::time::Duration;

use reachtally_core::Event;
use reachtally_core::claim::ClaimRecord;
use reachtally_core::event::CallFailure;
use reachtally_core::ids::{CallKey, RequestKey, TargetKey};
use reachtally_core::request::ServiceCall;
use reachtally_core::step::Batch;
use reachtally_platform::http::HttpPlatform;
use reachtally_platform::{CLAIMS_STREAM, Log};
use reachtally_target::http::HttpTargets;
use reachtally_target::{Engines, Probe, Services};
use tokio::time::timeout;

use crate::actor::{Handle, Message};

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
    handle.send(Message::Event(event)).ok();
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
            let event = Event::Called {
                request,
                target,
                result,
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
