//! What collectors compute beside loads: shares of accounts, and admission probabilities.

use super::{Event, Play};
use crate::admission::engines::DOMAINS;
use crate::admission::ways::Way;
use crate::boxes::{DELAY_US, REPORT_US};
use crate::choice::engines::STAGES;

/// Bytes of the rates that a box reports, and of the probabilities that a collector answers with, in [`Way::Probability`].
const RATES_BYTES: usize = 40;
/// Weight of a report in the running mean of the rates of a box: few of its requests come between two reports.
const RATES_WEIGHT: f64 = 0.3;

/// The max-min value of rates that `total` is shared by.
fn max_min(rates: &[f64], total: f64) -> f64 {
    let mut sorted = rates.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (number, rate) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - number) as f64;
        if *rate >= even {
            return even;
        }
        left -= rate;
    }
    f64::INFINITY
}

impl Play {
    /// Shares what was begun in the last second among the accounts, as collectors do that know all rates.
    pub(super) fn share_out(&mut self) {
        let has_shares = matches!(self.setting.way, Way::Reserve | Way::Probability);
        let is_active = self.is_contended && has_shares;
        let admitted = self.begun as f64;
        self.rates.1 = std::mem::take(&mut self.rates.0);
        self.share = is_active.then(|| max_min(&self.rates.1, admitted));
        self.begun = 0;
        self.is_contended = false;
    }

    /// A box tells its collector what its callers ask for, and a collector the others.
    pub(super) fn report_rates(&mut self, at: usize) {
        if self.setting.way != Way::Probability {
            return;
        }
        let seconds = REPORT_US as f64 / 1e6;
        let offered = std::mem::take(&mut self.entrances[at].offered).map(|count| count / seconds);
        let collector = at % DOMAINS;
        let known = self.controllers[collector]
            .boxes
            .entry(at)
            .or_insert(offered);
        for (known, offered) in known.iter_mut().zip(offered) {
            *known += RATES_WEIGHT * (offered - *known);
        }
        if at != collector {
            return self.post(
                at,
                collector,
                Event::Rates {
                    from: at,
                    to: collector,
                },
            );
        }
        for to in (0..self.exchange.collectors()).filter(|to| *to != at) {
            self.post(at, to, Event::Rates { from: at, to });
        }
        self.hear_probability(at, at);
    }

    fn post(&mut self, from: usize, to: usize, event: Event) {
        if self.exchange.passes(from, to, RATES_BYTES, &mut self.rng) {
            self.timeline.schedule(DELAY_US, event);
        }
    }

    pub(super) fn hear_rates(&mut self, from: usize, to: usize) {
        if from < DOMAINS {
            let told = self.controllers[from].own();
            self.controllers[to].peers.insert(from, told);
        } else {
            self.post(to, from, Event::Probability { from: to, to: from });
        }
    }

    pub(super) fn hear_probability(&mut self, from: usize, to: usize) {
        let fleet = &self.exchange.boxes[from].fleet;
        let held: f64 = fleet
            .iter()
            .map(|(_, engine)| engine.tokens + engine.remote_tokens)
            .sum();
        let room = self.engines.room();
        let most = room / STAGES as f64 / self.model.mean_context_tokens();
        let probability = self.controllers[from].probability(
            held / room,
            most,
            self.entrances[from].held().as_secs_f64(),
        );
        self.entrances[to].probability = probability;
    }
}
