//! Max-min fair shares.

/// Number of bisection steps; more than the bits of a rate.
const BISECTIONS: u32 = 64;

/// Accounts of equal rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Group {
    /// Requests per second of each account.
    pub rate: f64,
    /// Number of accounts.
    pub count: f64,
}

/// Returns the share in requests per second for which `sum(min(rate, share))` over all accounts
/// equals `capacity`; `None` if the total rate does not exceed the capacity.
pub fn max_min(groups: &[Group], capacity: f64) -> Option<f64> {
    let sum = |share: f64| {
        let each = groups.iter();
        each.map(|group| group.count * group.rate.min(share))
            .sum::<f64>()
    };
    if capacity >= sum(f64::INFINITY) {
        return None;
    }
    let mut low = 0.0;
    let mut high = groups.iter().map(|group| group.rate).fold(0.0, f64::max);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        match sum(middle) < capacity {
            true => low = middle,
            false => high = middle,
        }
    }
    Some(high)
}
