//! Max-min shares.

/// Halvings of the interval that contains the share: more than the bits of a rate.
const HALVINGS: u32 = 64;

/// Accounts of equal rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Group {
    /// Requests a second of each account.
    pub rate: f64,
    /// Number of accounts.
    pub count: f64,
}

/// Returns the share in requests a second for which `sum(min(rate, share))` over all accounts equals `capacity`; `None` if they ask
/// for no more than that together.
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
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        match sum(middle) < capacity {
            true => low = middle,
            false => high = middle,
        }
    }
    Some(high)
}
