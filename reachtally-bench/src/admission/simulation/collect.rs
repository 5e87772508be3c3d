//! What collectors compute beside loads: account shares and admission probabilities.

use super::{Event, Simulation};
use crate::admission::engines::DOMAINS;
use crate::admission::ways::Policy;
use crate::boxes::{DELAY_US, REPORT_INTERVAL_US};
use crate::choice::engines::STAGES;

/// Size in bytes of a report of rates, and of the probabilities in its answer, in [`Policy::Probability`].
const RATES_BYTES: usize = 40;
/// Weight of a report in the moving average of a box's rates. It is low since few requests of a box arrive between two reports.
const RATES_WEIGHT: f64 = 0.3;

/// Returns the max-min fair share of `total` among accounts with these rates.
fn max_min_share(rates: &[f64], total: f64) -> f64 {
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

impl Simulation {
    /// Shares the requests that started in the last second among the accounts, like collectors that know all rates.
    pub(super) fn update_shares(&mut self) {
        let has_shares = matches!(
            self.parameters.policy,
            Policy::Reserve | Policy::Probability
        );
        let is_active = self.is_contended && has_shares;
        let admitted = self.started as f64;
        self.rates.1 = std::mem::take(&mut self.rates.0);
        self.share = is_active.then(|| max_min_share(&self.rates.1, admitted));
        self.started = 0;
        self.is_contended = false;
    }

    /// Reports the offered rates of a box to its collector, or of a collector to the other collectors.
    pub(super) fn report_rates(&mut self, box_index: usize) {
        if self.parameters.policy != Policy::Probability {
            return;
        }
        let seconds = REPORT_INTERVAL_US as f64 / 1e6;
        let offered = std::mem::take(&mut self.admission_states[box_index].offered)
            .map(|count| count / seconds);
        let collector = box_index % DOMAINS;
        let known = self.controllers[collector]
            .boxes
            .entry(box_index)
            .or_insert(offered);
        for (known, offered) in known.iter_mut().zip(offered) {
            *known += RATES_WEIGHT * (offered - *known);
        }
        if box_index != collector {
            return self.post(
                box_index,
                collector,
                Event::Rates {
                    from: box_index,
                    to: collector,
                },
            );
        }
        for to in (0..self.exchange.collectors()).filter(|to| *to != box_index) {
            self.post(
                box_index,
                to,
                Event::Rates {
                    from: box_index,
                    to,
                },
            );
        }
        self.receive_probability(box_index, box_index);
    }

    fn post(&mut self, from: usize, to: usize, event: Event) {
        if self
            .exchange
            .is_delivered(from, to, RATES_BYTES, &mut self.rng)
        {
            self.timeline.schedule(DELAY_US, event);
        }
    }

    pub(super) fn receive_rates(&mut self, from: usize, to: usize) {
        if from < DOMAINS {
            let told = self.controllers[from].own();
            self.controllers[to].peers.insert(from, told);
        } else {
            self.post(to, from, Event::Probability { from: to, to: from });
        }
    }

    pub(super) fn receive_probability(&mut self, from: usize, to: usize) {
        let fleet = &self.exchange.boxes[from].fleet;
        let held: f64 = fleet
            .iter()
            .map(|(_, engine)| engine.tokens + engine.remote_tokens)
            .sum();
        let kv_capacity = self.engines.kv_capacity();
        let capacity = kv_capacity / STAGES as f64 / self.model.mean_context_tokens();
        let probability = self.controllers[from].probability(
            held / kv_capacity,
            capacity,
            self.admission_states[from].mean_duration().as_secs_f64(),
        );
        self.admission_states[to].probability = probability;
    }
}
