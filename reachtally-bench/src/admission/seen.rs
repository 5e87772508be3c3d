//! What a play showed.

use super::scenario::{ACCOUNTS, HOT, RANKS};

/// Length of the windows in which a return to a steady state is looked for, in s.
const WINDOW: f64 = 1.0;
/// Windows at the end that are taken to be steady.
const STEADY_WINDOWS: usize = 5;
/// Deviation from the steady mean that is still steady, in the mean, and in standard deviations of a count.
const TOLERANCE: f64 = 0.2;
const DEVIATIONS: f64 = 3.0;

/// Requests by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Requests of callers, each counted once however often it returns.
    pub offered: u64,
    /// Those whose first event came within the objective.
    pub in_time: u64,
    /// Those whose first event came later, or that were given up without a refusal.
    pub late: u64,
    /// Those that were refused for good.
    pub refused: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }

    fn part(&self, count: u64) -> f64 {
        count as f64 / self.offered.max(1) as f64
    }

    /// Part that was answered in time.
    pub fn share(&self) -> f64 {
        self.part(self.in_time)
    }

    /// Part that was answered late.
    pub fn late_part(&self) -> f64 {
        self.part(self.late)
    }

    /// Part that was refused for good.
    pub fn refused_part(&self) -> f64 {
        self.part(self.refused)
    }
}

/// What a play showed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// By rank and account.
    pub counts: [[Counts; ACCOUNTS]; RANKS],
    /// First events in time by window, from the beginning of the play.
    pub windows: Vec<u64>,
    /// Refusals, of each try.
    pub refusals: u64,
    /// Those while a path had room for all ranks.
    pub refusals_free: u64,
    /// Sends, and those that engines refused.
    pub sends: u64,
    /// See there.
    pub sends_refused: u64,
    /// First events in time, in what all engines can run.
    pub goodput: f64,
    /// Mean part of the engines' room that was in use.
    pub room_used: f64,
    /// See [`super::engines::Engines::busiest`].
    pub busiest: f64,
    /// Bytes and messages a second of a box that collects nothing, and of a collector.
    pub box_traffic: (f64, f64),
    /// See there.
    pub collector_traffic: (f64, f64),
}

impl Seen {
    fn sum<'a>(counts: impl Iterator<Item = &'a Counts>) -> Counts {
        let mut sum = Counts::default();
        counts.for_each(|each| sum.add(each));
        sum
    }

    /// Requests of a rank.
    pub fn rank(&self, rank: usize) -> Counts {
        Self::sum(self.counts[rank].iter())
    }

    /// Requests of an account.
    pub fn account(&self, account: usize) -> Counts {
        Self::sum(self.counts.iter().map(|rank| &rank[account]))
    }

    /// Requests of all accounts but the hot one.
    pub fn others(&self) -> Counts {
        let rows = self.counts.iter().flat_map(|rank| rank.iter().enumerate());
        Self::sum(rows.filter(|(account, _)| *account != HOT).map(|row| row.1))
    }

    /// All requests.
    pub fn all(&self) -> Counts {
        Self::sum(self.counts.iter().flatten())
    }

    /// The smallest share of any account, in that of all.
    pub fn least_account(&self) -> f64 {
        let shares = (0..ACCOUNTS).map(|account| self.account(account).share());
        shares.fold(f64::INFINITY, f64::min) / self.all().share().max(f64::MIN_POSITIVE)
    }

    /// By how much a rank's share is below that of a less urgent one, at most.
    pub fn inversion(&self) -> f64 {
        let shares = [0, 1, 2].map(|rank| self.rank(rank).share());
        let below = |rank: usize| {
            let less_urgent = shares[rank..].iter().copied().fold(0.0, f64::max);
            less_urgent - shares[rank]
        };
        (0..RANKS).map(below).fold(0.0, f64::max)
    }

    /// Refusals of any try while capacity was free, for each request.
    pub fn free_part(&self) -> f64 {
        self.refusals_free as f64 / self.all().offered.max(1) as f64
    }

    /// Part of the sends that engines refused.
    pub fn sends_refused_part(&self) -> f64 {
        self.sends_refused as f64 / self.sends.max(1) as f64
    }

    /// Notes a first event in time, at a time in s.
    pub fn note_in_time(&mut self, at: f64) {
        let window = (at / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, 0);
        }
        self.windows[window] += 1;
    }

    /// Time from a change at `from` until the rate of first events in time stays near its final mean, in s.
    pub fn steady_after(&self, from: f64) -> f64 {
        // The last window may be cut short by the end of the play.
        let windows = &self.windows[..self.windows.len().saturating_sub(1)];
        let last = &windows[windows.len().saturating_sub(STEADY_WINDOWS)..];
        let mean = last.iter().sum::<u64>() as f64 / last.len().max(1) as f64;
        let most = (TOLERANCE * mean).max(DEVIATIONS * mean.sqrt());
        let is_off = |(_, count): &(usize, &u64)| (**count as f64 - mean).abs() > most;
        let off = windows.iter().enumerate().rfind(is_off);
        off.map_or(0.0, |(window, _)| {
            ((window + 1) as f64 * WINDOW - from).max(0.0)
        })
    }
}
