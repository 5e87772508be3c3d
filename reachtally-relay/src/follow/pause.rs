//! Pauses after failed calls to the store.

use std::time::Duration;

use tokio::time::sleep;

use crate::relay::Relay;

/// First pause after a failed call.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after one.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a box beside the reader of its failure domain, which learns from that one of the
/// store's return.
const LONGEST_PAUSE_BESIDE: Duration = Duration::from_millis(2500);

/// A pause that grows with each failure in a row.
pub(super) struct Pause(Duration);

impl Pause {
    pub fn new() -> Self {
        Pause(FIRST_PAUSE)
    }

    pub fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    pub async fn wait(&mut self, relay: &Relay) {
        sleep(self.0).await;
        let longest = match relay.is_reader.get() {
            true => LONGEST_PAUSE,
            false => LONGEST_PAUSE_BESIDE,
        };
        self.0 = (self.0 * 2).min(longest);
    }
}
