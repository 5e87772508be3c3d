//! Tests of the stewardship role and its fencing token.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::{Era, Generation};
use reachtally_core::forward::stewardship::{FencingToken, Stewardship};

fn token(number: u64) -> FencingToken {
    let era = Era(1);
    FencingToken(Generation { era, number })
}

fn at(seconds: u64) -> Instant {
    Instant::from_elapsed(Duration::from_secs(seconds))
}

#[test]
fn granted_stewardship_permits_orders_until_it_expires() {
    let mut part = Stewardship::default();
    assert_eq!(part.permit(at(1)), None);
    part.grant(token(7), at(3));
    let permit = part.permit(at(2)).expect("the role is held");
    assert_eq!(permit.token(), token(7));
    assert_eq!(part.permit(at(3)), None);
}

#[test]
fn revoked_stewardship_permits_nothing() {
    let mut part = Stewardship::default();
    part.grant(token(7), at(3));
    part.revoke();
    assert_eq!(part.permit(at(1)), None);
}

#[test]
fn superseded_token_permits_nothing_until_a_newer_one_is_granted() {
    let mut part = Stewardship::default();
    part.grant(token(7), at(3));
    let permit = part.permit(at(1)).expect("the role is held");
    assert!(
        part.superseded(permit),
        "the first refusal ends the stewardship"
    );
    assert!(!part.superseded(permit), "a second refusal changes nothing");
    assert_eq!(part.permit(at(1)), None);
    part.grant(token(7), at(9));
    assert_eq!(
        part.permit(at(2)),
        None,
        "a superseded token is not accepted again"
    );
    part.grant(token(8), at(9));
    assert_eq!(
        part.permit(at(2)).map(|permit| permit.token()),
        Some(token(8))
    );
}

#[test]
fn late_refusal_of_an_older_token_does_not_end_newer_stewardship() {
    let mut part = Stewardship::default();
    part.grant(token(7), at(3));
    let old = part.permit(at(1)).expect("the role is held");
    part.grant(token(8), at(9));
    part.superseded(old);
    assert!(part.permit(at(2)).is_some());
}
