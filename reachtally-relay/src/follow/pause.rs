//! Exponential backoff after failed calls to the store.

use std::time::Duration;

use tokio::time::sleep;

use crate::relay::Relay;

/// Delay after the first failed call.
pub(super) const INITIAL_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay of a box that is not the store reader of its failure domain; it learns of the recovery of the store from that
/// reader.
const MAX_DELAY_STANDBY: Duration = Duration::from_millis(2500);

/// A delay that doubles with each consecutive failure.
pub(super) struct Backoff(Duration);

impl Backoff {
    pub fn new() -> Self {
        Backoff(INITIAL_DELAY)
    }

    pub fn reset(&mut self) {
        self.0 = INITIAL_DELAY;
    }

    pub async fn wait(&mut self, relay: &Relay) {
        sleep(self.0).await;
        let max = match relay.is_reader.get() {
            true => MAX_DELAY,
            false => MAX_DELAY_STANDBY,
        };
        self.0 = (self.0 * 2).min(max);
    }
}
