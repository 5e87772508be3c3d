//! Exhaustive checks of the core protocol; deliberate violations of its rules must be detected.

use reachtally_spec::{Model, claims, config, explore, lineage};

/// Upper bound on visited states; larger than the state space of any model here.
const MAX_STATES: usize = 400_000;

#[track_caller]
fn assert_holds<M: Model>(name: &str, start: impl Fn() -> M) {
    let exploration = explore(start, MAX_STATES);
    println!("{name}: {exploration}");
    assert!(exploration.exhausted, "{exploration}");
}

#[track_caller]
fn assert_detects_violation<M: Model>(name: &str, start: impl Fn() -> M) {
    let exploration = explore(start, MAX_STATES);
    println!("{name}: {exploration}");
    assert!(
        exploration.violation.is_some(),
        "no violation was detected: {exploration}"
    );
}

fn claim_budgets() -> claims::Budgets {
    claims::Budgets {
        requests: 1,
        lost_messages: 0,
        duplicate_appends: 0,
        crashes: 0,
        claim_timeouts: 0,
        log_restores: 0,
    }
}

#[test]
fn claims_hold_under_lost_messages() {
    let budgets = claims::Budgets {
        lost_messages: 2,
        ..claim_budgets()
    };
    assert_holds("claims, lost messages", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_under_duplicate_appends() {
    let budgets = claims::Budgets {
        duplicate_appends: 2,
        ..claim_budgets()
    };
    assert_holds("claims, duplicate appends", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_a_box_crashes_and_restarts() {
    let budgets = claims::Budgets {
        crashes: 1,
        lost_messages: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a crash and a lost message", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_waits_expire_while_appends_are_in_flight() {
    let budgets = claims::Budgets {
        claim_timeouts: 1,
        lost_messages: 1,
        ..claim_budgets()
    };
    assert_holds("claims, an expired wait and a lost message", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_the_log_comes_back_from_a_copy() {
    let budgets = claims::Budgets {
        log_restores: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a log restore", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn claims_hold_when_the_log_is_restored_around_a_crash() {
    let budgets = claims::Budgets {
        log_restores: 1,
        crashes: 1,
        ..claim_budgets()
    };
    assert_holds("claims, a log restore and a crash", || {
        claims::Claims::new(budgets, None)
    });
}

#[test]
fn a_return_that_goes_unnoticed_is_found() {
    let budgets = claims::Budgets {
        log_restores: 1,
        ..claim_budgets()
    };
    let mutation = Some(claims::Mutation::RestoreUnnoticed);
    assert_detects_violation("missed restore", || claims::Claims::new(budgets, mutation));
}

#[test]
fn a_claim_takeover_is_detected() {
    let mutation = Some(claims::Mutation::TakeoverAllowed);
    assert_detects_violation("takeover allowed", || {
        claims::Claims::new(claim_budgets(), mutation)
    });
}

#[test]
fn a_release_after_dispatch_is_detected() {
    let budgets = claims::Budgets {
        duplicate_appends: 1,
        ..claim_budgets()
    };
    let mutation = Some(claims::Mutation::ReleaseAfterDispatch);
    assert_detects_violation("release after dispatch", || {
        claims::Claims::new(budgets, mutation)
    });
}

fn lineage_budgets() -> lineage::Budgets {
    lineage::Budgets {
        lost_messages: 0,
        duplicate_responses: 0,
        crashes: 0,
        call_timeouts: 0,
    }
}

#[test]
fn the_lineage_holds_under_lost_and_duplicate_responses() {
    let budgets = lineage::Budgets {
        lost_messages: 1,
        duplicate_responses: 1,
        ..lineage_budgets()
    };
    assert_holds("lineage, a lost message and a duplicate", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn the_lineage_holds_under_late_responses() {
    let budgets = lineage::Budgets {
        call_timeouts: 2,
        ..lineage_budgets()
    };
    assert_holds("lineage, two late responses", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn the_lineage_holds_when_engines_crash() {
    let budgets = lineage::Budgets {
        crashes: 1,
        lost_messages: 1,
        ..lineage_budgets()
    };
    assert_holds("lineage, a crash and a lost message", || {
        lineage::Lineage::new(budgets, None)
    });
}

#[test]
fn an_uncompared_attempt_is_detected() {
    let budgets = lineage::Budgets {
        call_timeouts: 1,
        duplicate_responses: 1,
        ..lineage_budgets()
    };
    let mutation = Some(lineage::Mutation::AttemptNotCompared);
    assert_detects_violation("attempt not compared", || {
        lineage::Lineage::new(budgets, mutation)
    });
}

#[test]
fn the_configuration_offset_never_decreases() {
    assert_holds("configuration", || config::Config::new(None));
}

#[test]
fn a_decreasing_offset_and_a_skipped_gap_are_detected() {
    let decrease = Some(config::Mutation::OffsetDecreases);
    assert_detects_violation("offset decreases", || config::Config::new(decrease));
    let gap = Some(config::Mutation::GapSkipped);
    assert_detects_violation("gap skipped", || config::Config::new(gap));
}
