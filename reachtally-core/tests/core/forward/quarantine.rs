//! Which requests get no more targets, and what boxes tell each other of them.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::{RunMark, TargetRun};
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, MAX_CRASHES, MAX_SUSPECTS, MAX_SUSPECTS_PER_ACCOUNT,
    Quarantine, RunDigest, SUSPECT_TTL, SUSPECTS_PER_MESSAGE, SuspectReport, Verdict,
};

const ACCOUNT: AccountDigest = AccountDigest(7);
const REQUEST: Fingerprint = Fingerprint([1; 16]);

fn at(secs: u64) -> Instant {
    Instant::from_elapsed(Duration::from_secs(secs))
}

fn begun(run: u32) -> CrashRecord {
    CrashRecord {
        run: RunDigest(run),
        had_begun: true,
        is_acquitted: false,
    }
}

fn unknown(run: u32) -> CrashRecord {
    CrashRecord {
        had_begun: false,
        ..begun(run)
    }
}

/// A table in which these ends were seen at time 0.
fn seen(ends: &[CrashRecord]) -> Quarantine {
    let mut table = Quarantine::default();
    for end in ends {
        table.record_crash(REQUEST, ACCOUNT, *end, at(0));
    }
    table
}

fn request(number: usize) -> Fingerprint {
    let mut bytes = [9; 16];
    bytes[..8].copy_from_slice(&(number as u64).to_be_bytes());
    Fingerprint(bytes)
}

fn exchange(from: &Quarantine, to: &mut Quarantine, now: Instant) -> bool {
    let told = from.changes(ChangeOrigin::Any, now);
    let news: Vec<bool> = told.iter().map(|told| to.receive(told, now)).collect();
    news.contains(&true)
}

#[test]
fn one_end_may_be_chance() {
    assert_eq!(Quarantine::default().verdict(REQUEST), Verdict::Clear);
    assert_eq!(seen(&[begun(1)]).verdict(REQUEST), Verdict::Suspected);
    assert_eq!(seen(&[unknown(1)]).verdict(REQUEST), Verdict::Suspected);
}

#[test]
fn two_runs_that_had_begun_it_are_enough() {
    let table = seen(&[begun(1), begun(2)]);
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
    assert_eq!(table.verdict(request(2)), Verdict::Clear);
}

#[test]
fn three_are_needed_where_it_may_only_have_waited() {
    let two = seen(&[unknown(1), unknown(2)]);
    assert_eq!(two.verdict(REQUEST), Verdict::Suspected);
    let mixed = seen(&[unknown(1), begun(2)]);
    assert_eq!(mixed.verdict(REQUEST), Verdict::Suspected);
    let three = seen(&[unknown(1), unknown(2), unknown(3)]);
    assert_eq!(three.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn one_run_counts_once_however_many_saw_it_end() {
    let table = seen(&[begun(1), begun(1), unknown(1)]);
    assert_eq!(table.verdict(REQUEST), Verdict::Suspected);
}

#[test]
fn a_whole_answer_acquits_of_the_ends_before_it_alone() {
    let mut table = seen(&[begun(1), begun(2)]);
    assert!(table.clear_suspicion(REQUEST, at(1)));
    assert_eq!(table.verdict(REQUEST), Verdict::Clear);
    assert!(!table.clear_suspicion(REQUEST, at(2)));
    table.record_crash(REQUEST, ACCOUNT, begun(3), at(3));
    assert_eq!(table.verdict(REQUEST), Verdict::Suspected);
    table.record_crash(REQUEST, ACCOUNT, begun(4), at(3));
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn boxes_that_each_saw_one_end_know_both() {
    let (mut north, mut south) = (seen(&[begun(1)]), seen(&[begun(2)]));
    assert!(exchange(&north, &mut south, at(0)));
    assert!(exchange(&south, &mut north, at(0)));
    for table in [&north, &south] {
        assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
    }
    assert!(!exchange(&north, &mut south, at(0)));
}

#[test]
fn what_is_told_late_takes_no_acquittal_back() {
    let mut north = seen(&[begun(1), begun(2)]);
    let late = north.changes(ChangeOrigin::Any, at(0));
    let mut south = Quarantine::default();
    south.receive(&late[0], at(0));
    north.clear_suspicion(REQUEST, at(0));
    assert!(exchange(&north, &mut south, at(0)));
    assert!(!south.receive(&late[0], at(0)));
    assert_eq!(south.verdict(REQUEST), Verdict::Clear);
}

#[test]
fn what_a_box_only_heard_is_no_change_of_its_own() {
    let mut south = Quarantine::default();
    exchange(&seen(&[begun(1)]), &mut south, at(0));
    assert!(south.changes(ChangeOrigin::Own, at(0)).is_empty());
    assert_eq!(south.changes(ChangeOrigin::Any, at(0)).len(), 1);
}

#[test]
fn changes_are_told_for_a_moment_and_all_page_by_page() {
    let mut table = Quarantine::default();
    for number in 0..2 * SUSPECTS_PER_MESSAGE + 1 {
        table.record_crash(request(number), ACCOUNT, begun(1), at(0));
    }
    let after = |ms| Instant::from_elapsed(Duration::from_millis(ms));
    assert_eq!(
        table.changes(ChangeOrigin::Own, after(600)).len(),
        SUSPECTS_PER_MESSAGE
    );
    assert!(table.changes(ChangeOrigin::Own, after(800)).is_empty());
    let mut told: Vec<Fingerprint> = (0..3)
        .flat_map(|number| table.page(number, at(3)))
        .map(|told| told.fingerprint)
        .collect();
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 2 * SUSPECTS_PER_MESSAGE + 1);
    assert_eq!(table.page(3, at(3)), table.page(0, at(3)));
}

#[test]
fn a_case_ends_everywhere_at_the_same_time_however_often_it_is_told() {
    let mut north = seen(&[begun(1), begun(2)]);
    let mut south = Quarantine::default();
    let life = SUSPECT_TTL.as_secs();
    for now in [0, life / 2, life - 1] {
        for told in north.page(0, at(now)) {
            south.receive(&told, at(now));
        }
        for told in south.page(0, at(now)) {
            north.receive(&told, at(now));
        }
    }
    for mut table in [north, south] {
        table.remove_expired(at(life - 1));
        assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
        table.remove_expired(at(life));
        assert!(table.is_empty());
    }
}

#[test]
fn what_is_refused_lately_stays() {
    let mut table = seen(&[begun(1), begun(2)]);
    let life = SUSPECT_TTL.as_secs();
    table.refused(REQUEST, at(life - 1));
    table.remove_expired(at(life + 100));
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn an_account_cannot_push_out_the_others() {
    let mut table = seen(&[begun(1), begun(2)]);
    let flooding = AccountDigest(8);
    for number in 0..10 * MAX_SUSPECTS {
        table.record_crash(request(number), flooding, begun(3), at(1));
        assert!(table.len() <= 1 + MAX_SUSPECTS_PER_ACCOUNT);
    }
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn a_flood_by_many_accounts_is_bounded_and_leaves_those_that_are_stopped() {
    let mut table = Quarantine::default();
    for number in 0..10 * MAX_SUSPECTS {
        let account = AccountDigest((number % 100) as u32);
        table.record_crash(request(number), account, begun(3), at(1));
        assert!(table.len() <= MAX_SUSPECTS);
        if number == 0 {
            table.record_crash(request(0), account, begun(4), at(1));
        }
    }
    assert_eq!(table.verdict(request(0)), Verdict::Quarantined);
}

#[test]
fn many_ends_of_one_request_are_bounded_and_settle() {
    let mut tables = [Quarantine::default(), Quarantine::default()];
    for run in 0..100 {
        let table = &mut tables[run as usize % 2];
        table.record_crash(REQUEST, ACCOUNT, begun(run), at(0));
        table.clear_suspicion(REQUEST, at(0));
    }
    let [mut north, mut south] = tables;
    let mut rounds = 0;
    while exchange(&north, &mut south, at(0)) | exchange(&south, &mut north, at(0)) {
        rounds += 1;
        assert!(rounds < 3);
    }
    assert_eq!(north.page(0, at(0)), south.page(0, at(0)));
    assert_eq!(north.page(0, at(0))[0].ends.len(), MAX_CRASHES);
}

#[test]
fn a_message_without_ends_or_life_is_nothing() {
    let mut table = Quarantine::default();
    let told = SuspectReport {
        fingerprint: REQUEST,
        account: ACCOUNT,
        life: SUSPECT_TTL,
        ends: Vec::new(),
    };
    assert!(!table.receive(&told, at(0)));
    let over = SuspectReport {
        life: Duration::ZERO,
        ends: vec![begun(1)],
        ..told.clone()
    };
    assert!(!table.receive(&over, at(0)));
    assert!(table.is_empty());
    // A life beyond reason is cut.
    let long = SuspectReport {
        life: Duration::MAX,
        ..over
    };
    table.receive(&long, at(0));
    table.remove_expired(at(SUSPECT_TTL.as_secs()));
    assert!(table.is_empty());
}

#[test]
fn runs_under_one_id_are_told_apart() {
    let run = |mark| TargetRun {
        id: "e-1".into(),
        mark: RunMark(mark),
    };
    assert_ne!(RunDigest::from(&run(1)), RunDigest::from(&run(2)));
    assert_eq!(RunDigest::from(&run(1)), RunDigest::from(&run(1)));
}
