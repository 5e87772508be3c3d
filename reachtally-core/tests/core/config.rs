//! Tests of the configuration fold: every box reaches the same verdict, revisions never go back, and no offset is
//! skipped.

use reachtally_core::declare::{Kind, Model, Object};
use reachtally_core::fold::{Config, Edit, EditChange, FoldError, Operation, Verdict};

fn put(id: &str, base: u64, layers: u32) -> Operation {
    Operation {
        id: id.to_owned(),
        actor: "anna".to_owned(),
        edits: vec![Edit {
            kind: Kind::Model,
            name: "m".to_owned(),
            base,
            change: EditChange::Put(Object::Model(Model {
                name: "m".to_owned(),
                layers,
            })),
        }],
    }
}

#[test]
fn duplicate_operation_is_applied_once() {
    let mut config = Config::default();
    assert_eq!(config.fold(0, &put("a", 0, 4)), Ok(Some(Verdict::Applied)));
    assert_eq!(
        config.fold(1, &put("a", 0, 4)),
        Ok(Some(Verdict::Duplicate))
    );
    assert_eq!(config.revision(Kind::Model, "m"), 1);
    assert_eq!(config.next(), 2);
}

#[test]
fn concurrent_operations_yield_one_applied_and_one_conflict() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("offset is next");
    assert_eq!(config.fold(1, &put("b", 1, 8)), Ok(Some(Verdict::Applied)));
    let conflict = Verdict::Conflict {
        kind: Kind::Model,
        name: "m".to_owned(),
        base: 1,
        current: 2,
    };
    assert_eq!(config.fold(2, &put("c", 1, 16)), Ok(Some(conflict)));
    assert_eq!(
        config.served("m").map(|served| served.model.layers),
        Some(8)
    );
}

#[test]
fn operation_with_one_conflicting_edit_changes_nothing() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("offset is next");
    let mut operation = put("b", 1, 8);
    operation.edits.push(put("", 7, 9).edits.remove(0));
    let verdict = config.fold(1, &operation).expect("offset is next");
    assert!(matches!(verdict, Some(Verdict::Conflict { base: 7, .. })));
    assert_eq!(
        config.served("m").map(|served| served.model.layers),
        Some(4)
    );
}

#[test]
fn offset_gap_is_an_error_and_old_offsets_are_ignored() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("offset is next");
    let gap = FoldError::Gap {
        expected: 1,
        found: 3,
    };
    assert_eq!(config.fold(3, &put("d", 1, 8)), Err(gap));
    assert_eq!(config.fold(0, &put("z", 0, 9)), Ok(None));
    assert_eq!(config.next(), 1);
    assert_eq!(
        config.served("m").map(|served| served.model.layers),
        Some(4)
    );
}

#[test]
fn fold_of_the_same_records_is_deterministic() {
    let operations = [
        put("a", 0, 4),
        put("b", 1, 8),
        put("c", 1, 16),
        put("a", 0, 4),
    ];
    let fold = || {
        let mut config = Config::default();
        for (offset, operation) in operations.iter().enumerate() {
            config
                .fold(offset as u64, operation)
                .expect("offset is next");
        }
        config
    };
    assert_eq!(fold(), fold());
    assert_eq!(fold().next(), 4);
}
