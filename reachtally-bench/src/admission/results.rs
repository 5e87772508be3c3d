//! Measurements of a simulation.

use super::scenario::{ACCOUNTS, HOT_ACCOUNT, RANKS};

/// Length of the windows from which the settling time is determined, in s.
const WINDOW_S: f64 = 1.0;
/// Number of final windows whose mean is the steady state.
const STEADY_STATE_WINDOWS: usize = 5;
/// Allowed deviation from the steady mean: a fraction of the mean, or a number of standard deviations of a count,
/// whichever is larger.
const RELATIVE_TOLERANCE: f64 = 0.2;
const STANDARD_DEVIATIONS: f64 = 3.0;

/// Request counts by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Requests of callers; retries of a request do not count again.
    pub offered: u64,
    /// Requests whose first event met the latency objective.
    pub in_time: u64,
    /// Requests whose first event missed the objective, or that were abandoned without a refusal.
    pub late: u64,
    /// Requests that were refused finally.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }

    fn fraction(&self, count: u64) -> f64 {
        count as f64 / self.offered.max(1) as f64
    }

    /// Fraction answered in time.
    pub fn share(&self) -> f64 {
        self.fraction(self.in_time)
    }

    /// Fraction answered late.
    pub fn late_fraction(&self) -> f64 {
        self.fraction(self.late)
    }

    /// Fraction refused finally.
    pub fn refused_fraction(&self) -> f64 {
        self.fraction(self.refused)
    }
}

/// Measurements of a simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Results {
    /// Request counts by rank and account.
    pub counts: [[Counts; ACCOUNTS]; RANKS],
    /// First events in time per window, from the start of the simulation.
    pub windows: Vec<u64>,
    /// Refusals, counting every attempt.
    pub refusals: u64,
    /// Refusals while some path had capacity for all ranks.
    pub refusals_while_free: u64,
    /// Sends to engines.
    pub sends: u64,
    /// Sends that engines refused.
    pub sends_refused: u64,
    /// Rate of first events in time, as a fraction of the capacity.
    pub goodput: f64,
    /// Mean fraction of the engines' KV capacity in use.
    pub mean_utilization: f64,
    /// See [`super::engines::Engines::max_load_ratio`].
    pub max_load_ratio: f64,
    /// Bytes and messages per second of a box that is not a collector.
    pub box_traffic: (f64, f64),
    /// Bytes and messages per second of a collector.
    pub collector_traffic: (f64, f64),
}

impl Results {
    fn sum<'a>(counts: impl Iterator<Item = &'a Counts>) -> Counts {
        let mut sum = Counts::default();
        counts.for_each(|each| sum.add(each));
        sum
    }

    /// Counts of a rank.
    pub fn rank(&self, rank: usize) -> Counts {
        Self::sum(self.counts[rank].iter())
    }

    /// Counts of an account.
    pub fn account(&self, account: usize) -> Counts {
        Self::sum(self.counts.iter().map(|rank| &rank[account]))
    }

    /// Counts of all accounts except the hot one.
    pub fn others(&self) -> Counts {
        let rows = self.counts.iter().flat_map(|rank| rank.iter().enumerate());
        Self::sum(
            rows.filter(|(account, _)| *account != HOT_ACCOUNT)
                .map(|row| row.1),
        )
    }

    /// Counts of all requests.
    pub fn all(&self) -> Counts {
        Self::sum(self.counts.iter().flatten())
    }

    /// The smallest in-time share of any account, relative to that of all requests.
    pub fn min_account_ratio(&self) -> f64 {
        let shares = (0..ACCOUNTS).map(|account| self.account(account).share());
        shares.fold(f64::INFINITY, f64::min) / self.all().share().max(f64::MIN_POSITIVE)
    }

    /// The largest deficit of a rank's in-time share against that of a less urgent rank.
    pub fn inversion(&self) -> f64 {
        let shares = [0, 1, 2].map(|rank| self.rank(rank).share());
        let below = |rank: usize| {
            let less_urgent = shares[rank..].iter().copied().fold(0.0, f64::max);
            less_urgent - shares[rank]
        };
        (0..RANKS).map(below).fold(0.0, f64::max)
    }

    /// Refusals while capacity was free, per request; every attempt counts.
    pub fn free_refusal_ratio(&self) -> f64 {
        self.refusals_while_free as f64 / self.all().offered.max(1) as f64
    }

    /// Fraction of the sends that engines refused.
    pub fn sends_refused_fraction(&self) -> f64 {
        self.sends_refused as f64 / self.sends.max(1) as f64
    }

    /// Records a first event in time, at a time in s.
    pub fn record_in_time(&mut self, at: f64) {
        let window = (at / WINDOW_S) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, 0);
        }
        self.windows[window] += 1;
    }

    /// Settling time in s: from a change at `from` until the rate of first events in time stays near its final mean.
    pub fn settling_time(&self, from: f64) -> f64 {
        // The end of the simulation may cut the last window short.
        let windows = &self.windows[..self.windows.len().saturating_sub(1)];
        let last = &windows[windows.len().saturating_sub(STEADY_STATE_WINDOWS)..];
        let mean = last.iter().sum::<u64>() as f64 / last.len().max(1) as f64;
        let tolerance = (RELATIVE_TOLERANCE * mean).max(STANDARD_DEVIATIONS * mean.sqrt());
        let is_off = |(_, count): &(usize, &u64)| (**count as f64 - mean).abs() > tolerance;
        let off = windows.iter().enumerate().rfind(is_off);
        off.map_or(0.0, |(window, _)| {
            ((window + 1) as f64 * WINDOW_S - from).max(0.0)
        })
    }
}
