//! What callers want over time, and what goes wrong.

use std::f64::consts::TAU;

use super::engines::{DOMAINS, Layout};

/// Ranks of requests.
pub const RANKS: usize = 3;
/// Part of the requests of each rank.
pub const MIX: [f64; RANKS] = [0.31, 0.50, 0.19];
/// Time to the first event that is still in time, by rank, in µs.
pub const OBJECTIVES_US: [u64; RANKS] = [500_000, 600_000, 1_200_000];
/// Client accounts.
pub const ACCOUNTS: usize = 24;
/// The account that floods.
pub const HOT: usize = 2;
/// Its rate during the flood, in its usual rate.
const FLOOD: f64 = 7.5;
/// Rate of a rank during its burst, in its usual rate.
const BURST: f64 = 2.3;
/// When something happens, in s.
pub const CHANGE: f64 = 6.0;
/// Time between two bursts, and how long each lasts, in s.
const BURST_EVERY: f64 = 2.5;
const BURST_LASTS: f64 = 2.0;
/// Period of waves, in s.
const WAVE: f64 = 6.0;
/// Swing of waves, in the mean demand.
const SWING: f64 = 0.8;
/// When a failure domain that was cut off is back, in s.
const JOINED: f64 = 10.0;
/// Demand in scenarios in which it fits, and in those in which it does not, in the capacity.
const FITS: f64 = 0.9;
const EXCEEDS: f64 = 1.5;

/// What is played.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scenario {
    /// Even demand, in the capacity.
    Demand(f64),
    /// Demand rises at once.
    Step,
    /// Demand of the failure domains swings out of phase.
    Waves,
    /// A failure domain is cut off for a while.
    DomainCut,
    /// All boxes have just started.
    AllStart,
    /// All engines take twice as long from some time on.
    HalfCapacity,
    /// Two engines are ten times faster than all others.
    TwoFast,
    /// One account floods.
    HotAccount,
    /// The same without the flood.
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
        Scenario::DomainCut,
        Scenario::AllStart,
        Scenario::HalfCapacity,
        Scenario::TwoFast,
        Scenario::HotAccount,
        Scenario::NoFlood,
        Scenario::RankBursts,
    ];

    /// The engines.
    pub fn layout(self) -> Layout {
        match self {
            Scenario::TwoFast => Layout::TwoFast,
            _ => Layout::Mixed,
        }
    }

    /// Demand for each rank and account of a failure domain at a time in s, in the capacity of all engines.
    pub fn demand(self, at: f64, domain: usize, rank: usize, account: usize) -> f64 {
        let has_changed = at >= CHANGE;
        match self {
            Scenario::Demand(demand) => demand,
            Scenario::Step if has_changed => 2.0,
            Scenario::Step => 0.6,
            Scenario::Waves => {
                let phase = at / WAVE + domain as f64 / DOMAINS as f64;
                FITS * (1.0 + SWING * (TAU * phase).sin())
            }
            Scenario::DomainCut | Scenario::AllStart | Scenario::TwoFast => EXCEEDS,
            Scenario::HotAccount if has_changed && account == HOT => FITS * FLOOD,
            Scenario::RankBursts => {
                let begun = at - CHANGE - rank as f64 * BURST_EVERY;
                let is_burst = (0.0..BURST_LASTS).contains(&begun);
                if is_burst { FITS * BURST } else { FITS }
            }
            Scenario::HalfCapacity | Scenario::HotAccount | Scenario::NoFlood => FITS,
        }
    }

    /// The most that [`Scenario::demand`] yields.
    pub fn most(self) -> f64 {
        match self {
            Scenario::Demand(demand) => demand,
            Scenario::Step => 2.0,
            Scenario::Waves => FITS * (1.0 + SWING),
            Scenario::DomainCut | Scenario::AllStart | Scenario::TwoFast => EXCEEDS,
            Scenario::HotAccount => FITS * FLOOD,
            Scenario::RankBursts => FITS * BURST,
            Scenario::HalfCapacity | Scenario::NoFlood => FITS,
        }
    }

    /// From when on requests count, in s.
    pub fn counts_from(self) -> f64 {
        match self {
            Scenario::AllStart => 0.0,
            // Others keep their share from a second after the flood began.
            Scenario::HotAccount | Scenario::NoFlood => CHANGE + 1.0,
            _ => 4.0,
        }
    }

    /// Whether a failure domain is cut off at a time in s.
    pub fn is_cut(self, at: f64) -> bool {
        self == Scenario::DomainCut && (CHANGE..JOINED).contains(&at)
    }

    /// Factor on the time that engines take, at a time in s.
    pub fn pace(self, at: f64) -> f64 {
        match self {
            Scenario::HalfCapacity if at >= CHANGE => 2.0,
            _ => 1.0,
        }
    }

    /// Whether something changes for good, after which the system has to become steady.
    pub fn has_step(self) -> bool {
        matches!(
            self,
            Scenario::Step | Scenario::HalfCapacity | Scenario::HotAccount | Scenario::AllStart
        )
    }

    /// When that happens, in s.
    pub fn changes_at(self) -> f64 {
        match self {
            Scenario::AllStart => 0.0,
            _ => CHANGE,
        }
    }

    /// Whether demand exceeds the capacity by a fifth or more all the time.
    pub fn exceeds(self) -> bool {
        matches!(self, Scenario::Demand(demand) if demand >= 1.2)
    }

    /// Whether the most urgent rank alone fits the capacity at all times.
    pub fn first_rank_fits(self) -> bool {
        match self {
            Scenario::Demand(demand) => demand * MIX[0] <= 0.95,
            // During its burst the other ranks' requests of before still run.
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
            Scenario::DomainCut => f.write_str("domain cut off"),
            Scenario::AllStart => f.write_str("all start"),
            Scenario::HalfCapacity => f.write_str("half capacity"),
            Scenario::TwoFast => f.write_str("two fast engines"),
            Scenario::HotAccount => f.write_str("hot account"),
            Scenario::NoFlood => f.write_str("no flood"),
            Scenario::RankBursts => f.write_str("bursts of ranks"),
        }
    }
}
