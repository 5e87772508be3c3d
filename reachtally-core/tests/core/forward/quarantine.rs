//! Tests of the quarantine of requests that crash targets, and of its replication between boxes.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::{RunMark, TargetRun};
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, Features, LATE_START_TIME, MAX_CRASHES, MAX_SUSPECTS,
    MAX_SUSPECTS_PER_ACCOUNT, Quarantine, RunDigest, RunProgress, START_EVENTS, START_TIME,
    SUSPECT_TTL, SUSPECTS_PER_MESSAGE, SuspectReport, Verdict, Weight,
};

const ACCOUNT: AccountDigest = AccountDigest(7);
const REQUEST: Fingerprint = Fingerprint([1; 16]);

fn at(secs: u64) -> Instant {
    Instant::from_elapsed(Duration::from_secs(secs))
}

fn begun(run: u32) -> CrashRecord {
    CrashRecord {
        run: RunDigest(run),
        weight: Weight::Strong,
        is_acquitted: false,
    }
}

fn unknown(run: u32) -> CrashRecord {
    CrashRecord {
        weight: Weight::Moderate,
        ..begun(run)
    }
}

/// A table with these crashes recorded at time 0.
fn table_with(crashes: &[CrashRecord]) -> Quarantine {
    let mut table = Quarantine::default();
    for crash in crashes {
        table.record_crash(REQUEST, ACCOUNT, *crash, at(0));
    }
    table
}

fn request(number: usize) -> Fingerprint {
    let mut bytes = [9; 16];
    bytes[..8].copy_from_slice(&(number as u64).to_be_bytes());
    Fingerprint(bytes)
}

fn exchange(from: &Quarantine, to: &mut Quarantine, now: Instant) -> bool {
    let reports = from.changes(ChangeOrigin::Any, now);
    let has_changed: Vec<bool> = reports
        .iter()
        .map(|reports| to.receive(reports, now))
        .collect();
    has_changed.contains(&true)
}

#[test]
fn single_crash_only_raises_suspicion() {
    assert_eq!(Quarantine::default().verdict(REQUEST), Verdict::Clear);
    assert_eq!(table_with(&[begun(1)]).verdict(REQUEST), Verdict::Suspected);
    assert_eq!(
        table_with(&[unknown(1)]).verdict(REQUEST),
        Verdict::Suspected
    );
}

fn weak(run: u32) -> CrashRecord {
    CrashRecord {
        weight: Weight::Weak,
        ..begun(run)
    }
}

#[test]
fn five_weak_crashes_or_as_much_evidence_in_sum_quarantine() {
    let runs = |range: std::ops::Range<u32>| range.map(weak).collect::<Vec<CrashRecord>>();
    assert_eq!(table_with(&runs(0..4)).verdict(REQUEST), Verdict::Suspected);
    assert_eq!(
        table_with(&runs(0..5)).verdict(REQUEST),
        Verdict::Quarantined
    );
    let mixed = [begun(1), unknown(2), weak(3)];
    assert_eq!(table_with(&mixed[..2]).verdict(REQUEST), Verdict::Suspected);
    assert_eq!(table_with(&mixed).verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn evidence_weighs_less_the_further_a_run_was() {
    let weights = |is_first, begun_for, events| {
        let progress = RunProgress {
            is_first,
            begun_for,
            events,
        };
        (progress.request_weight(), progress.part_weight())
    };
    let (strong, moderate, weak) = (Weight::Strong, Weight::Moderate, Weight::Weak);
    let just = Some(START_TIME / 2);
    let late = Some(START_TIME);
    assert_eq!(weights(true, just, 0), (Some(strong), Some(strong)));
    assert_eq!(
        weights(true, Some(LATE_START_TIME), 0),
        (Some(strong), Some(strong))
    );
    assert_eq!(weights(false, just, 0), (Some(moderate), Some(weak)));
    assert_eq!(weights(true, None, 0), (Some(moderate), Some(weak)));
    assert_eq!(weights(true, just, 1), (Some(moderate), Some(moderate)));
    assert_eq!(
        weights(true, just, START_EVENTS + 1),
        (Some(moderate), Some(weak))
    );
    assert_eq!(weights(false, just, 1), (Some(moderate), Some(weak)));
    assert_eq!(weights(true, late, 1), (Some(weak), None));
    assert_eq!(weights(true, Some(LATE_START_TIME), 1), (None, None));
}

#[test]
fn a_suspect_with_less_evidence_does_not_explain_the_crashes_of_another() {
    let bystander = request(1);
    let mut table = table_with(&[begun(1), begun(2), begun(3)]);
    for run in 1..=3 {
        table.record_crash(bystander, ACCOUNT, unknown(run), at(0));
    }
    let culprit_of = |request| {
        let parts = &[];
        table.culprit(&Features { request, parts })
    };
    assert_eq!(culprit_of(REQUEST), Some(REQUEST));
    assert_eq!(culprit_of(bystander), None);
}

/// A culprit that crashes targets before the head of their answer leaves weaker evidence than its bystanders.
#[test]
fn a_suspect_with_more_crashes_explains_those_of_another_with_stronger_evidence() {
    let bystander = request(1);
    let mut table = table_with(&(1..=5).map(weak).collect::<Vec<CrashRecord>>());
    for run in 1..=3 {
        table.record_crash(bystander, ACCOUNT, begun(run), at(0));
    }
    let culprit_of = |request| {
        let parts = &[];
        table.culprit(&Features { request, parts })
    };
    assert_eq!(culprit_of(bystander), None);
    assert_eq!(culprit_of(REQUEST), Some(REQUEST));
}

#[test]
fn the_least_evidence_is_evicted_first() {
    let mut table = table_with(&[unknown(1), unknown(2)]);
    for number in 0..2 * MAX_SUSPECTS_PER_ACCOUNT {
        table.record_crash(request(number), ACCOUNT, unknown(3), at(1));
    }
    assert_eq!(table.verdict(REQUEST), Verdict::Suspected);
    assert!(table.evictions() > 0);
}

#[test]
fn a_run_counts_as_crashed_for_interruptions_around_the_report_alone() {
    let mut table = Quarantine::default();
    table.record_crash(REQUEST, ACCOUNT, begun(1), at(10));
    assert!(table.has_run_crashed_since(RunDigest(1), at(9)));
    assert!(!table.has_run_crashed_since(RunDigest(1), at(11)));
    assert!(!table.has_run_crashed_since(RunDigest(2), at(9)));
}

#[test]
fn two_crashed_runs_that_had_begun_the_request_quarantine_it() {
    let table = table_with(&[begun(1), begun(2)]);
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
    assert_eq!(table.verdict(request(2)), Verdict::Clear);
}

#[test]
fn three_crashes_are_needed_if_the_request_may_only_have_waited() {
    let two = table_with(&[unknown(1), unknown(2)]);
    assert_eq!(two.verdict(REQUEST), Verdict::Suspected);
    let mixed = table_with(&[unknown(1), begun(2)]);
    assert_eq!(mixed.verdict(REQUEST), Verdict::Suspected);
    let three = table_with(&[unknown(1), unknown(2), unknown(3)]);
    assert_eq!(three.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn crash_of_one_run_counts_once_for_all_reports() {
    let table = table_with(&[begun(1), begun(1), unknown(1)]);
    assert_eq!(table.verdict(REQUEST), Verdict::Suspected);
}

#[test]
fn complete_answer_clears_only_earlier_crashes() {
    let mut table = table_with(&[begun(1), begun(2)]);
    assert!(table.clear_suspicion(REQUEST, at(1)));
    assert_eq!(table.verdict(REQUEST), Verdict::Clear);
    assert!(!table.clear_suspicion(REQUEST, at(2)));
    table.record_crash(REQUEST, ACCOUNT, begun(3), at(3));
    assert_eq!(table.verdict(REQUEST), Verdict::Suspected);
    table.record_crash(REQUEST, ACCOUNT, begun(4), at(3));
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn crashes_seen_by_different_boxes_are_combined() {
    let (mut north, mut south) = (table_with(&[begun(1)]), table_with(&[begun(2)]));
    assert!(exchange(&north, &mut south, at(0)));
    assert!(exchange(&south, &mut north, at(0)));
    for table in [&north, &south] {
        assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
    }
    assert!(!exchange(&north, &mut south, at(0)));
}

#[test]
fn late_report_does_not_revoke_an_acquittal() {
    let mut north = table_with(&[begun(1), begun(2)]);
    let late = north.changes(ChangeOrigin::Any, at(0));
    let mut south = Quarantine::default();
    south.receive(&late[0], at(0));
    north.clear_suspicion(REQUEST, at(0));
    assert!(exchange(&north, &mut south, at(0)));
    assert!(!south.receive(&late[0], at(0)));
    assert_eq!(south.verdict(REQUEST), Verdict::Clear);
}

#[test]
fn received_crashes_are_not_own_changes() {
    let mut south = Quarantine::default();
    exchange(&table_with(&[begun(1)]), &mut south, at(0));
    assert!(south.changes(ChangeOrigin::Own, at(0)).is_empty());
    assert_eq!(south.changes(ChangeOrigin::Any, at(0)).len(), 1);
}

#[test]
fn changes_are_sent_briefly_and_all_suspects_in_pages() {
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
    let mut reports: Vec<Fingerprint> = (0..3)
        .flat_map(|number| table.page(number, at(3)))
        .map(|reports| reports.fingerprint)
        .collect();
    reports.sort();
    reports.dedup();
    assert_eq!(reports.len(), 2 * SUSPECTS_PER_MESSAGE + 1);
    assert_eq!(table.page(3, at(3)), table.page(0, at(3)));
}

#[test]
fn suspect_expires_everywhere_at_once_despite_repeated_reports() {
    let mut north = table_with(&[begun(1), begun(2)]);
    let mut south = Quarantine::default();
    let life = SUSPECT_TTL.as_secs();
    for now in [0, life / 2, life - 1] {
        for reports in north.page(0, at(now)) {
            south.receive(&reports, at(now));
        }
        for reports in south.page(0, at(now)) {
            north.receive(&reports, at(now));
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
fn recently_refused_request_stays_quarantined() {
    let mut table = table_with(&[begun(1), begun(2)]);
    let life = SUSPECT_TTL.as_secs();
    table.refused(REQUEST, at(life - 1));
    table.remove_expired(at(life + 100));
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn flooding_account_cannot_evict_suspects_of_others() {
    let mut table = table_with(&[begun(1), begun(2)]);
    let flooding = AccountDigest(8);
    for number in 0..10 * MAX_SUSPECTS {
        table.record_crash(request(number), flooding, begun(3), at(1));
        assert!(table.len() <= 1 + MAX_SUSPECTS_PER_ACCOUNT);
    }
    assert_eq!(table.verdict(REQUEST), Verdict::Quarantined);
}

#[test]
fn flood_by_many_accounts_is_bounded_and_keeps_quarantined_requests() {
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
fn crash_records_of_one_request_are_bounded_and_converge() {
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
fn report_without_crashes_or_ttl_is_ignored() {
    let mut table = Quarantine::default();
    let reports = SuspectReport {
        fingerprint: REQUEST,
        account: ACCOUNT,
        life: SUSPECT_TTL,
        ends: Vec::new(),
    };
    assert!(!table.receive(&reports, at(0)));
    let over = SuspectReport {
        life: Duration::ZERO,
        ends: vec![begun(1)],
        ..reports.clone()
    };
    assert!(!table.receive(&over, at(0)));
    assert!(table.is_empty());
    // An excessive time to live is capped.
    let long = SuspectReport {
        life: Duration::MAX,
        ..over
    };
    table.receive(&long, at(0));
    table.remove_expired(at(SUSPECT_TTL.as_secs()));
    assert!(table.is_empty());
}

#[test]
fn runs_under_one_id_have_distinct_digests() {
    let run = |mark| TargetRun {
        id: "e-1".into(),
        mark: RunMark(mark),
    };
    assert_ne!(RunDigest::from(&run(1)), RunDigest::from(&run(2)));
    assert_eq!(RunDigest::from(&run(1)), RunDigest::from(&run(1)));
}
