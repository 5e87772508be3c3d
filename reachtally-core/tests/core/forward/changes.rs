//! Tests of the log of changed targets that boxes replicate to each other.

use reachtally_core::forward::changes::{ChangeLog, Cursor, Delta};

const RUN: u64 = 7;

fn cursor(next: u64) -> Cursor {
    Cursor { run: RUN, next }
}

#[test]
fn each_changed_target_is_listed_once() {
    let mut changes = ChangeLog::default();
    for id in ["a", "b", "a"] {
        changes.record(id.into());
    }
    let since = changes.since(cursor(1), RUN);
    assert_eq!(since, Delta::Changed(vec!["a".into(), "b".into()]));
    assert_eq!(changes.since(cursor(3), RUN), Delta::Changed(Vec::new()));
}

#[test]
fn cursor_of_another_run_gets_the_whole_table() {
    let changes = ChangeLog::default();
    let other = Cursor { run: 8, next: 0 };
    assert_eq!(changes.since(other, RUN), Delta::Whole);
}

#[test]
fn cursor_too_far_behind_gets_the_whole_table() {
    let mut changes = ChangeLog::default();
    for number in 0..20_000 {
        changes.record(format!("e{number}").into());
    }
    assert_eq!(changes.next(), 20_000);
    assert_eq!(changes.since(cursor(10), RUN), Delta::Whole);
    assert_eq!(
        changes.since(cursor(19_999), RUN),
        Delta::Changed(vec!["e19999".into()])
    );
    assert_eq!(changes.since(cursor(20_001), RUN), Delta::Whole);
}
