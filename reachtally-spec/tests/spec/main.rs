//! The core protocol, checked exhaustively; and rules broken on purpose, found.

use reachtally_spec::{Model, claims, config, explore, lineage};

/// More states than any of the models here has.
const MOST: usize = 400_000;

#[track_caller]
fn assert_holds<M: Model>(name: &str, start: impl Fn() -> M) {
    let found = explore(start, MOST);
    println!("{name}: {found}");
    assert!(found.exhausted, "{found}");
}

#[track_caller]
fn assert_found<M: Model>(name: &str, start: impl Fn() -> M) {
    let found = explore(start, MOST);
    println!("{name}: {found}");
    assert!(
        found.violation.is_some(),
        "the broken rule was not found: {found}"
    );
}

fn claim_budgets() -> claims::Budgets {
    claims::Budgets {
        asks: 1,
        losses: 0,
        doubles: 0,
        crashes: 0,
        timeouts: 0,
        returns: 0,
    }
}

#[test]
fn claims_hold_under_lost_messages() {
    let budgets = claims::Budgets {
        losses: 2,
        ..claim_budgets()
    };
    assert_holds("claims, lost messages", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_under_doubled_appends() {
    let budgets = claims::Budgets {
        doubles: 2,
        ..claim_budgets()
    };
    assert_holds("claims, doubled appends", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_a_box_dies_and_comes_back() {
    let budgets = claims::Budgets {
        crashes: 1,
        losses: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a death and a loss", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_waits_pass_while_appends_are_on_their_way() {
    let budgets = claims::Budgets {
        timeouts: 1,
        losses: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a wait and a loss", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_the_log_comes_back_from_a_copy() {
    let budgets = claims::Budgets {
        returns: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a return from a copy", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_the_log_comes_back_from_a_copy_around_a_death() {
    let budgets = claims::Budgets {
        returns: 1,
        crashes: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a return from a copy and a death", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn a_return_that_goes_unnoticed_is_found() {
    let budgets = claims::Budgets {
        returns: 1,
        ..claim_budgets()
    };
    let broken = Some(claims::Broken::ReturnUnnoticed);
    assert_found("return unnoticed", || claims::Claims::new(budgets, broken));
}

#[test]
fn a_takeover_is_found() {
    let broken = Some(claims::Broken::TakeoverAllowed);
    assert_found("takeover allowed", || {
        claims::Claims::new(claim_budgets(), broken)
    });
}

#[test]
fn a_release_after_dispatch_is_found() {
    let budgets = claims::Budgets {
        doubles: 1,
        ..claim_budgets()
    };
    let broken = Some(claims::Broken::ReleaseAfterDispatch);
    assert_found("release after dispatch", || {
        claims::Claims::new(budgets, broken)
    });
}

fn lineage_budgets() -> lineage::Budgets {
    lineage::Budgets {
        losses: 0,
        doubles: 0,
        deaths: 0,
        timeouts: 0,
    }
}

#[test]
fn the_lineage_holds_under_lost_and_doubled_answers() {
    let budgets = lineage::Budgets {
        losses: 1,
        doubles: 1,
        ..lineage_budgets()
    };
    assert_holds("lineage, a loss and a double", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn the_lineage_holds_under_late_answers() {
    let budgets = lineage::Budgets {
        timeouts: 2,
        ..lineage_budgets()
    };
    assert_holds("lineage, two late answers", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn the_lineage_holds_when_engines_die() {
    let budgets = lineage::Budgets {
        deaths: 1,
        losses: 1,
        ..lineage_budgets()
    };
    assert_holds("lineage, a death and a loss", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn attempts_that_are_not_compared_are_found() {
    let budgets = lineage::Budgets {
        timeouts: 1,
        doubles: 1,
        ..lineage_budgets()
    };
    let broken = Some(lineage::Broken::AttemptNotCompared);
    assert_found("attempt not compared", || {
        lineage::Lineage::new(budgets, broken)
    });
}

#[test]
fn the_configuration_never_goes_back() {
    assert_holds("configuration", || config::Config::new(None));
}

#[test]
fn an_offset_that_goes_back_and_a_gap_that_is_skipped_are_found() {
    let back = Some(config::Broken::OffsetMayGoBack);
    assert_found("offset may go back", || config::Config::new(back));
    let gap = Some(config::Broken::GapSkipped);
    assert_found("gap skipped", || config::Config::new(gap));
}
