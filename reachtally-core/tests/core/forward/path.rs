//! Tests of the invariant that a path runs every layer exactly once and in order.

use reachtally_core::forward::cost::Layers;
use reachtally_core::forward::path::{Part, Path, PathError};

use super::setup::{entry, fleet};

fn try_new(ranges: &[Layers]) -> Result<Path, PathError> {
    let entries = (0..ranges.len()).map(|n| entry(n as u16, "a", "small", ranges[n].clone()));
    let (fleet, keys) = fleet(entries);
    let parts = keys.iter().map(|key| {
        let engine = fleet.get(*key).expect("engine was inserted");
        Part {
            engine: *key,
            address: engine.entry.address,
            layers: engine.entry.layers.clone(),
        }
    });
    Path::try_new(parts.collect(), 80)
}

#[test]
fn contiguous_parts_over_all_layers_form_a_path() {
    let path = try_new(&[0..20, 20..50, 50..80]).expect("path is complete");
    assert_eq!(path.engines().len(), 3);
    assert_eq!(path.first().layers, 0..20);
}

#[test]
fn gaps_overlaps_and_empty_parts_are_rejected() {
    assert_eq!(
        try_new(&[0..20, 21..80]),
        Err(PathError::Discontinuous { at: 20 })
    );
    assert_eq!(
        try_new(&[0..20, 19..80]),
        Err(PathError::Discontinuous { at: 20 })
    );
    assert_eq!(
        try_new(&[0..20, 20..20, 20..80]),
        Err(PathError::Discontinuous { at: 20 })
    );
    assert_eq!(
        try_new(&[1..40, 40..80]),
        Err(PathError::Discontinuous { at: 0 })
    );
}

#[test]
fn path_that_ends_early_or_late_is_rejected() {
    assert_eq!(
        try_new(&[0..20, 20..79]),
        Err(PathError::Incomplete { end: 79 })
    );
    assert_eq!(
        try_new(&[0..40, 40..81]),
        Err(PathError::Incomplete { end: 81 })
    );
    assert_eq!(try_new(&[]), Err(PathError::Empty));
}

#[test]
fn duplicate_engine_or_too_many_parts_are_rejected() {
    let path = try_new(&[0..20, 20..80]).expect("path is complete");
    let mut parts = path.parts().to_vec();
    parts[1].engine = parts[0].engine;
    assert_eq!(Path::try_new(parts, 80), Err(PathError::DuplicateEngine));
    let many: Vec<Layers> = (0..33).map(|n| n..n + 1).collect();
    assert_eq!(try_new(&many), Err(PathError::TooLong));
}
