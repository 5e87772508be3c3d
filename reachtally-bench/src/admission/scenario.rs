//! Scenarios: demand over time and faults.

use std::f64::consts::TAU;

use super::engines::{DOMAINS, Layout};

/// Number of request ranks; 0 is the most urgent.
pub const RANKS: usize = 3;
/// Fraction of the requests that have each rank.
pub const MIX: [f64; RANKS] = [0.31, 0.50, 0.19];
/// Latency objective for the first event, by rank, in µs.
pub const OBJECTIVES_US: [u64; RANKS] = [500_000, 600_000, 1_200_000];
/// Number of client accounts.
pub const ACCOUNTS: usize = 24;
/// The account that floods.
pub const HOT_ACCOUNT: usize = 2;
/// Request rate of that account during the flood, as a multiple of its usual rate.
const FLOOD: f64 = 7.5;
/// Request rate of a rank during its burst, as a multiple of its usual rate.
const BURST_FACTOR: f64 = 2.3;
/// Time at which the demand changes or a fault begins, in s.
pub const CHANGE_S: f64 = 6.0;
/// Interval between the starts of two bursts, and the duration of each, in s.
const BURST_INTERVAL_S: f64 = 2.5;
const BURST_DURATION_S: f64 = 2.0;
/// Period of sinusoidal demand, in s.
const WAVE_PERIOD_S: f64 = 6.0;
/// Amplitude of sinusoidal demand, relative to its mean.
const WAVE_AMPLITUDE: f64 = 0.8;
/// Time at which a partitioned failure domain is reconnected, in s.
const RECONNECTED_S: f64 = 10.0;
/// Demand in scenarios without and with overload, as a fraction of the capacity.
const UNDERLOAD: f64 = 0.9;
const OVERLOAD: f64 = 1.5;

/// A scenario to simulate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scenario {
    /// Constant demand, as a fraction of the capacity.
    Demand(f64),
    /// The demand steps from 0.6 to 2.
    Step,
    /// The demand of the failure domains oscillates out of phase.
    Waves,
    /// A failure domain is partitioned from the others for some time.
    DomainPartitioned,
    /// All boxes have just started; requests count from the beginning.
    AllStart,
    /// All engines become half as fast at `CHANGE_S`.
    HalfCapacity,
    /// Two engines are ten times as fast as all others.
    TwoFast,
    /// One account floods.
    HotAccount,
    /// The baseline of [`Scenario::HotAccount`], without the flood.
    NoFlood,
    /// Each rank bursts in turn.
    RankBursts,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 16] = [
        Scenario::Demand(0.5),
        Scenario::Demand(0.9),
        Scenario::Demand(1.2),
        Scenario::Demand(1.5),
        Scenario::Demand(2.0),
        Scenario::Demand(3.0),
        Scenario::Demand(4.0),
        Scenario::Step,
        Scenario::Waves,
        Scenario::DomainPartitioned,
        Scenario::AllStart,
        Scenario::HalfCapacity,
        Scenario::TwoFast,
        Scenario::HotAccount,
        Scenario::NoFlood,
        Scenario::RankBursts,
    ];

    /// The engine layout of the scenario.
    pub fn layout(self) -> Layout {
        match self {
            Scenario::TwoFast => Layout::TwoFast,
            _ => Layout::Mixed,
        }
    }

    /// Demand of a rank and account in a failure domain at a time in s, as a fraction of the capacity of all engines.
    pub fn demand(self, at: f64, domain: usize, rank: usize, account: usize) -> f64 {
        let has_changed = at >= CHANGE_S;
        match self {
            Scenario::Demand(demand) => demand,
            Scenario::Step if has_changed => 2.0,
            Scenario::Step => 0.6,
            Scenario::Waves => {
                let phase = at / WAVE_PERIOD_S + domain as f64 / DOMAINS as f64;
                UNDERLOAD * (1.0 + WAVE_AMPLITUDE * (TAU * phase).sin())
            }
            Scenario::DomainPartitioned | Scenario::AllStart | Scenario::TwoFast => OVERLOAD,
            Scenario::HotAccount if has_changed && account == HOT_ACCOUNT => UNDERLOAD * FLOOD,
            Scenario::RankBursts => {
                let begun = at - CHANGE_S - rank as f64 * BURST_INTERVAL_S;
                let is_burst = (0.0..BURST_DURATION_S).contains(&begun);
                if is_burst {
                    UNDERLOAD * BURST_FACTOR
                } else {
                    UNDERLOAD
                }
            }
            Scenario::HalfCapacity | Scenario::HotAccount | Scenario::NoFlood => UNDERLOAD,
        }
    }

    /// Upper bound of [`Scenario::demand`].
    pub fn max_demand(self) -> f64 {
        match self {
            Scenario::Demand(demand) => demand,
            Scenario::Step => 2.0,
            Scenario::Waves => UNDERLOAD * (1.0 + WAVE_AMPLITUDE),
            Scenario::DomainPartitioned | Scenario::AllStart | Scenario::TwoFast => OVERLOAD,
            Scenario::HotAccount => UNDERLOAD * FLOOD,
            Scenario::RankBursts => UNDERLOAD * BURST_FACTOR,
            Scenario::HalfCapacity | Scenario::NoFlood => UNDERLOAD,
        }
    }

    /// Start of the measurement, in s.
    pub fn measured_from(self) -> f64 {
        match self {
            Scenario::AllStart => 0.0,
            // The other accounts have to keep their share from one second after the flood begins.
            Scenario::HotAccount | Scenario::NoFlood => CHANGE_S + 1.0,
            _ => 4.0,
        }
    }

    /// Whether failure domain 0 is partitioned at a time in s.
    pub fn is_partitioned(self, at: f64) -> bool {
        self == Scenario::DomainPartitioned && (CHANGE_S..RECONNECTED_S).contains(&at)
    }

    /// Slowdown factor of all engines at a time in s.
    pub fn slowdown(self, at: f64) -> f64 {
        match self {
            Scenario::HalfCapacity if at >= CHANGE_S => 2.0,
            _ => 1.0,
        }
    }

    /// Whether the scenario has a lasting change after which the system has to settle.
    pub fn has_lasting_change(self) -> bool {
        matches!(
            self,
            Scenario::Step | Scenario::HalfCapacity | Scenario::HotAccount | Scenario::AllStart
        )
    }

    /// Time of that change, in s.
    pub fn changed_at(self) -> f64 {
        match self {
            Scenario::AllStart => 0.0,
            _ => CHANGE_S,
        }
    }

    /// Whether the demand exceeds the capacity by at least a fifth throughout.
    pub fn is_overload(self) -> bool {
        matches!(self, Scenario::Demand(demand) if demand >= 1.2)
    }

    /// Whether the demand of the most urgent rank alone always fits the capacity.
    pub fn first_rank_fits(self) -> bool {
        match self {
            Scenario::Demand(demand) => demand * MIX[0] <= 0.95,
            // This includes its burst, although earlier requests of the other ranks still run then.
            _ => true,
        }
    }
}

impl std::fmt::Display for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scenario::Demand(demand) => write!(f, "demand {demand}"),
            Scenario::Step => f.write_str("step 0.6 to 2"),
            Scenario::Waves => f.write_str("waves"),
            Scenario::DomainPartitioned => f.write_str("domain cut off"),
            Scenario::AllStart => f.write_str("all start"),
            Scenario::HalfCapacity => f.write_str("half capacity"),
            Scenario::TwoFast => f.write_str("two fast engines"),
            Scenario::HotAccount => f.write_str("hot account"),
            Scenario::NoFlood => f.write_str("no flood"),
            Scenario::RankBursts => f.write_str("bursts of ranks"),
        }
    }
}
