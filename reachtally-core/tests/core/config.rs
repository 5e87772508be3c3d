//! The configuration fold: the same verdict everywhere, never back, no gap skipped.

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
fn an_operation_published_twice_has_one_effect() {
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
fn operators_who_race_get_one_winner_and_one_conflict() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("in order");
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
fn an_operation_with_one_edit_in_conflict_changes_nothing() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("in order");
    let mut operation = put("b", 1, 8);
    operation.edits.push(put("", 7, 9).edits.remove(0));
    let verdict = config.fold(1, &operation).expect("in order");
    assert!(matches!(verdict, Some(Verdict::Conflict { base: 7, .. })));
    assert_eq!(
        config.served("m").map(|served| served.model.layers),
        Some(4)
    );
}

#[test]
fn a_gap_in_offsets_is_an_error_and_old_offsets_have_no_effect() {
    let mut config = Config::default();
    config.fold(0, &put("a", 0, 4)).expect("in order");
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
fn folding_the_same_records_yields_the_same_configuration() {
    let operations = [
        put("a", 0, 4),
        put("b", 1, 8),
        put("c", 1, 16),
        put("a", 0, 4),
    ];
    let fold = || {
        let mut config = Config::default();
        for (offset, operation) in operations.iter().enumerate() {
            config.fold(offset as u64, operation).expect("in order");
        }
        config
    };
    assert_eq!(fold(), fold());
    assert_eq!(fold().next(), 4);
}
