//! Tests of the evidence on parts of prompts, which many requests share.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::prompt::PartId;
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, Features, MAX_PROOFS, PROOF_TTL, Quarantine,
    RunDigest, SUSPECTS_PER_MESSAGE, TRIAL_DELAY, Verdict, Weight,
};

const ACCOUNT: AccountDigest = AccountDigest(1);
/// The part that all requests begin with.
const FIRST: Fingerprint = Fingerprint([1; 16]);
/// The part that crashes targets.
const CULPRIT: Fingerprint = Fingerprint([2; 16]);
/// A part that comes only beside it.
const COMPANION: Fingerprint = Fingerprint([3; 16]);

fn at(seconds: u64) -> Instant {
    Instant::from_elapsed(Duration::from_secs(seconds))
}

fn request(number: u8) -> Fingerprint {
    Fingerprint([100 + number; 16])
}

fn features(number: u8, parts: &[Fingerprint]) -> Features<'_> {
    Features {
        request: request(number),
        parts,
    }
}

/// Records a crash of a run under a request with these parts.
fn crash(table: &mut Quarantine, run: u32, features: Features<'_>, now: Instant) {
    let end = CrashRecord {
        run: RunDigest(run),
        weight: Weight::Strong,
        is_acquitted: false,
    };
    for feature in std::iter::once(&features.request).chain(features.parts) {
        if !table.is_proven(*feature, now) {
            table.record_crash(*feature, ACCOUNT, end, now);
        }
    }
}

fn is_stopped(table: &Quarantine, number: u8, parts: &[Fingerprint]) -> bool {
    table.culprit(&features(number, parts)).is_some()
}

#[test]
fn a_part_of_two_crashed_requests_that_differ_is_to_blame() {
    let mut table = Quarantine::default();
    table.record_proof(FIRST, at(0), at(0));
    for number in 0..2 {
        let parts = [FIRST, CULPRIT];
        crash(&mut table, number.into(), features(number, &parts), at(1));
    }
    assert_eq!(
        table.culprit(&features(9, &[FIRST, CULPRIT])),
        Some(CULPRIT)
    );
    assert!(is_stopped(&table, 9, &[COMPANION, CULPRIT]));
    assert!(!is_stopped(&table, 9, &[FIRST]));
}

/// Guards against refusing all requests after a start of all boxes, when no part has been written on yet.
#[test]
fn parts_of_the_same_crashes_are_told_apart_before_requests_with_one_of_them_are_stopped() {
    let mut table = Quarantine::default();
    for number in 0..2 {
        let parts = [FIRST, CULPRIT];
        crash(&mut table, number.into(), features(number, &parts), at(0));
    }
    assert!(is_stopped(&table, 9, &[FIRST, CULPRIT]));
    assert!(!is_stopped(&table, 9, &[FIRST]));
    assert!(!is_stopped(&table, 9, &[COMPANION, CULPRIT]));
    crash(&mut table, 2, features(8, &[COMPANION, CULPRIT]), at(0));
    assert!(is_stopped(&table, 9, &[CULPRIT]));
    assert!(!is_stopped(&table, 9, &[FIRST]));
}

/// Guards against refusing sound requests that lost their targets to the same crashes.
#[test]
fn a_sound_request_that_shared_its_crashes_with_a_part_is_not_stopped() {
    let mut table = Quarantine::default();
    for run in 0..2 {
        crash(&mut table, run, features(0, &[]), at(0));
        crash(&mut table, run, features(1 + run as u8, &[CULPRIT]), at(0));
    }
    crash(&mut table, 2, features(3, &[CULPRIT]), at(0));
    assert_eq!(table.verdict(request(0)), Verdict::Quarantined);
    assert!(!is_stopped(&table, 0, &[]));
    assert!(is_stopped(&table, 4, &[CULPRIT]));
}

/// Guards against refusing all requests with a part that was beside two requests which crash targets by themselves.
#[test]
fn a_part_whose_crashes_are_each_explained_by_another_request_is_not_stopped() {
    let mut table = Quarantine::default();
    for number in 0..2_u8 {
        let run = 10 * u32::from(number);
        crash(&mut table, run, features(number, &[COMPANION]), at(0));
        crash(&mut table, run + 1, features(number, &[]), at(0));
    }
    assert_eq!(table.verdict(COMPANION), Verdict::Quarantined);
    assert!(!is_stopped(&table, 9, &[COMPANION]));
    assert!(is_stopped(&table, 0, &[COMPANION]));
    crash(&mut table, 30, features(9, &[COMPANION]), at(0));
    assert!(is_stopped(&table, 10, &[COMPANION]));
}

/// Guards against a part that requests which crash targets twice each would explain without end.
#[test]
fn a_part_with_many_crashes_is_explained_by_one_other_feature_alone() {
    let mut table = Quarantine::default();
    for number in 0..3_u8 {
        for run in 0..2 {
            let run = 10 * u32::from(number) + run;
            crash(&mut table, run, features(number, &[CULPRIT]), at(0));
        }
    }
    assert!(is_stopped(&table, 9, &[CULPRIT]));
}

/// Guards against a trial that shows nothing, since another part of the request is to blame.
#[test]
fn a_request_with_two_parts_to_blame_tries_neither() {
    let mut table = Quarantine::default();
    for run in 0..2 {
        crash(&mut table, run, features(run as u8, &[CULPRIT]), at(0));
        crash(
            &mut table,
            10 + run,
            features(10 + run as u8, &[COMPANION]),
            at(0),
        );
    }
    let later = at(2 * TRIAL_DELAY.as_secs());
    assert!(table.is_trial_due(&features(20, &[COMPANION]), 0.0, later));
    assert!(!table.is_trial_due(&features(20, &[COMPANION, CULPRIT]), 0.0, later));
}

#[test]
fn a_part_is_protected_while_targets_write_on_it_and_cleared_by_a_later_answer() {
    let mut table = Quarantine::default();
    assert!(!table.record_proof(FIRST, at(0), at(1)));
    let ttl = PROOF_TTL.as_secs();
    assert!(table.is_proven(FIRST, at(ttl - 1)));
    assert!(!table.is_proven(FIRST, at(ttl)));
    for run in 0..2 {
        crash(&mut table, run, features(run as u8, &[FIRST]), at(2 * ttl));
    }
    assert!(is_stopped(&table, 9, &[FIRST]));
    // An answer that began long before the crashes shows nothing about them.
    assert!(!table.record_proof(FIRST, at(ttl - 1), at(2 * ttl)));
    assert!(is_stopped(&table, 9, &[FIRST]));
    assert!(table.record_proof(FIRST, at(2 * ttl), at(2 * ttl + 1)));
    assert!(!is_stopped(&table, 9, &[FIRST]));
}

#[test]
fn a_box_clears_a_part_that_another_box_suspects_if_it_was_written_on_here() {
    let mut north = Quarantine::default();
    let mut south = Quarantine::default();
    south.record_proof(FIRST, at(0), at(0));
    for run in 0..2 {
        crash(&mut north, run, features(run as u8, &[FIRST]), at(1));
    }
    for report in north.changes(ChangeOrigin::Any, at(1)) {
        south.receive(&report, at(1));
    }
    assert_eq!(south.verdict(FIRST), Verdict::Clear);
    let answer = south.report(FIRST, at(1)).expect("the part is known");
    assert!(north.receive(&answer, at(1)));
    assert_eq!(north.verdict(FIRST), Verdict::Clear);
}

#[test]
fn a_part_with_few_crashes_is_tried_again_and_a_later_crash_delays_the_next_trial() {
    let mut table = Quarantine::default();
    table.record_proof(FIRST, at(0), at(0));
    let parts = [FIRST, CULPRIT];
    for number in 0..2 {
        crash(&mut table, number.into(), features(number, &parts), at(0));
    }
    let delay = TRIAL_DELAY.as_secs();
    let later = features(9, &parts);
    assert!(!table.is_trial_due(&later, 0.0, at(delay - 1)));
    assert!(!table.is_trial_due(&later, 0.5, at(delay)));
    assert!(table.is_trial_due(&later, 0.0, at(delay)));
    table.start_trial(&later, at(delay));
    assert!(!table.is_trial_due(&later, 0.0, at(delay + 1)));
    assert!(!table.has_crashed_since(&later, at(delay)));
    crash(&mut table, 7, features(9, &parts), at(delay + 1));
    assert!(table.has_crashed_since(&later, at(delay)));
    let later = features(10, &parts);
    assert!(!table.is_trial_due(&later, 0.0, at(2 * delay + 1)));
    assert!(table.is_trial_due(&later, 0.0, at(5 * delay + 1)));
    table.record_proof(FIRST, at(5 * delay), at(5 * delay));
    crash(&mut table, 8, features(11, &parts), at(5 * delay + 1));
    assert!(!table.is_trial_due(&later, 0.0, at(20 * delay)));
    assert!(table.is_trial_due(&later, 0.0, at(21 * delay + 1)));
}

#[test]
fn a_request_that_is_to_blame_itself_is_not_tried_again() {
    let mut table = Quarantine::default();
    for run in 0..2 {
        crash(&mut table, run, features(0, &[]), at(0));
    }
    assert!(!table.is_trial_due(&features(0, &[]), 0.0, at(300)));
}

/// Guards against a change that is never sent since a crash changed more records than fit a message.
#[test]
fn all_changes_of_a_crash_are_sent_the_most_severe_first() {
    let mut table = Quarantine::default();
    for number in 0..30 {
        crash(&mut table, 1, features(number, &[]), at(0));
    }
    for run in 2..4 {
        crash(&mut table, run, features(50, &[]), at(0));
    }
    let messages = table.change_messages(ChangeOrigin::Own, at(0));
    assert_eq!(messages.iter().map(Vec::len).sum::<usize>(), 31);
    assert!(
        messages
            .iter()
            .all(|message| message.len() <= SUSPECTS_PER_MESSAGE)
    );
    assert_eq!(messages[0][0].fingerprint, request(50));
}

#[test]
fn proofs_are_bounded_and_the_newest_are_kept() {
    let mut table = Quarantine::default();
    for number in 0..MAX_PROOFS as u64 + 5 {
        let mut part = [7; 16];
        part[..8].copy_from_slice(&number.to_be_bytes());
        let began = Instant::from_elapsed(Duration::from_millis(number));
        table.record_proof(Fingerprint(part), began, began);
    }
    let mut oldest = [7; 16];
    oldest[..8].copy_from_slice(&0_u64.to_be_bytes());
    assert!(!table.is_proven(Fingerprint(oldest), at(1)));
    oldest[..8].copy_from_slice(&5_u64.to_be_bytes());
    assert!(table.is_proven(Fingerprint(oldest), at(1)));
}

#[test]
fn fingerprint_of_a_part_is_stable_and_ignores_the_notation_of_its_id() {
    let of = |id| Fingerprint::of_part(&PartId::new(id).expect("the id is not empty"));
    assert_eq!(of("05C1E"), of("5c1e"));
    assert_ne!(of("5c1e"), of("5c1f"));
    insta::assert_snapshot!(of("5c1e"), @"5d9f67fc579c438109e0e88981424dc2");
}
