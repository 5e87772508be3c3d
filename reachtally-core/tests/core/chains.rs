//! Tests of the check that a chain covers the layers of the model in order, each layer once.

use reachtally_core::chain::{ChainError, check};
use reachtally_core::declare::Layers;

fn ranges(bounds: &[(u32, u32)]) -> Vec<Layers> {
    bounds
        .iter()
        .map(|&(first, end)| Layers { first, end })
        .collect()
}

#[test]
fn complete_chain_is_accepted() {
    assert_eq!(check(&ranges(&[(0, 4), (4, 6), (6, 12)]), 12), Ok(()));
}

#[test]
fn gaps_overlaps_and_wrong_ends_are_rejected() {
    let discontinuous = |expected, found| Err(ChainError::Discontinuous { expected, found });
    assert_eq!(check(&[], 12), Err(ChainError::Empty));
    assert_eq!(check(&ranges(&[(1, 12)]), 12), discontinuous(0, 1));
    assert_eq!(check(&ranges(&[(0, 4), (5, 12)]), 12), discontinuous(4, 5));
    assert_eq!(check(&ranges(&[(0, 4), (3, 12)]), 12), discontinuous(4, 3));
    assert_eq!(
        check(&ranges(&[(0, 4), (4, 4), (4, 12)]), 12),
        discontinuous(4, 4)
    );
    let end = |found| {
        Err(ChainError::WrongEnd {
            expected: 12,
            found,
        })
    };
    assert_eq!(check(&ranges(&[(0, 4), (4, 11)]), 12), end(11));
    assert_eq!(check(&ranges(&[(0, 13)]), 12), end(13));
}
