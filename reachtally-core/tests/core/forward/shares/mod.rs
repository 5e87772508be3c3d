//! Tests of fair shares of client accounts: their computation, and boxes and collectors on a virtual clock.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reachtally_core::Instant;
use reachtally_core::forward::limit::DemandRate;
use reachtally_core::forward::quarantine::AccountDigest;
use reachtally_core::forward::shares::{
    AccountRate, AccountRates, AccountShares, Aggregator, EnforcedShares, Group,
    MAX_ACCOUNTS_PER_ANSWER, MAX_ACCOUNTS_PER_BOX, MIN_SERVED_FRACTION, ServiceRates, ServiceShare,
    ShareTransition, Standing, Usage, max_min,
};
use reachtally_core::ids::Incarnation;

use super::setup::SERVICE;

mod play;

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn ip(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, 0, high, low).into()
}

fn account(number: u32) -> AccountDigest {
    AccountDigest(number)
}

/// A box's message with these rates of accounts 0, 1, ...; `admitted` of all is admitted.
fn rates(run: u64, number: u64, each: &[f64], admitted: f64) -> AccountRates {
    let accounts = (0..).zip(each).map(|(number, rate)| AccountRate {
        account: account(number),
        rate: DemandRate::new(*rate),
    });
    AccountRates {
        run: Incarnation(run),
        number,
        domain: None,
        services: vec![ServiceRates {
            service: SERVICE.into(),
            is_contended: true,
            offered: DemandRate::new(each.iter().sum()),
            admitted: DemandRate::new(admitted),
            count: each.len() as u32,
            accounts: accounts.collect(),
        }],
    }
}

/// The shares computed from one box with these rates.
fn shared(each: &[f64], admitted: f64) -> ServiceShare {
    let mut aggregator = Aggregator::default();
    aggregator.update(rates(1, 1, each, admitted), ip(1), at(0));
    aggregator.update_totals(at(0));
    aggregator.shares()[0].clone()
}

fn fraction(share: &ServiceShare, number: u32) -> Option<f64> {
    let mut accounts = share.accounts.iter();
    let found = accounts.find(|each| each.account == account(number));
    found.map(|each| each.fraction)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_add_up_to_the_admitted_rate(each in prop::collection::vec(0.0..500.0f64, 1..200), part in 0.02..0.999f64) {
        let groups: Vec<Group> = each.iter().map(|rate| Group { rate: *rate, count: 1.0 }).collect();
        let offered: f64 = each.iter().sum();
        prop_assume!(offered > 0.0);
        let share = max_min(&groups, offered * part).expect("more is offered");
        let sum: f64 = each.iter().map(|rate| rate.min(share)).sum();
        prop_assert!((sum - offered * part).abs() < offered * 1e-9, "{sum} {offered} {part}");
    }

    #[test]
    fn account_below_the_share_is_never_limited_and_equal_accounts_get_equal_fractions(
        mut each in prop::collection::vec(0.1..500.0f64, 2..64), part in 0.0..1.2f64, twin in 0usize..64, draw: u64,
    ) {
        each.push(each[twin % each.len()]);
        let offered: f64 = each.iter().sum();
        let computed = shared(&each, offered * part);
        let last = each.len() as u32 - 1;
        if computed.accounts.len() < MAX_ACCOUNTS_PER_ANSWER {
            prop_assert_eq!(fraction(&computed, last), fraction(&computed, (twin % (each.len() - 1)) as u32));
        }
        prop_assert!(computed.accounts.iter().all(|each| (0.0..=1.0).contains(&each.fraction)));
        let share = computed.share.map_or(f64::MAX, DemandRate::per_second);
        let mut enforced = EnforcedShares::default();
        enforced.update(AccountShares { number: 1, services: vec![computed] }, at(0));
        for (number, rate) in (0..).zip(&each) {
            let standing = enforced.standing(SERVICE, account(number), draw, at(1));
            prop_assert!(*rate > share || standing == Standing::Within);
        }
    }
}

#[test]
fn large_account_among_many_small_ones_is_not_starved() {
    let mut each = vec![5.0; 10];
    each.push(50.0);
    let computed = shared(&each, 50.0);
    let served = fraction(&computed, 10).expect("the account is above the share");
    assert!(served >= 0.5 * MIN_SERVED_FRACTION, "{served}");
}

/// Guards against limiting only the listed accounts: an answer lists a bounded number of accounts, and those left out
/// would not be limited at all.
#[test]
fn equal_accounts_beyond_the_listed_number_are_not_limited() {
    let even = shared(&[100.0; MAX_ACCOUNTS_PER_ANSWER + 8], 2_000.0);
    assert_eq!(even.accounts, []);
    let mut each = [100.0; MAX_ACCOUNTS_PER_ANSWER + 8];
    each[3] = 750.0;
    let computed = shared(&each, 2_000.0);
    assert_eq!(computed.accounts.len(), 1);
    assert!(fraction(&computed, 3).is_some_and(|fraction| fraction < 0.2));
    // A hundred further accounts that are known only by their sum.
    let mut in_sum = rates(1, 1, &[100.0; 4], 2_000.0);
    in_sum.services[0].offered = DemandRate::new(9_400.0);
    in_sum.services[0].count = 104;
    let mut aggregator = Aggregator::default();
    aggregator.update(in_sum, ip(1), at(0));
    aggregator.update_totals(at(0));
    assert_eq!(aggregator.shares()[0].accounts, []);
}

#[test]
fn no_shares_for_a_single_account_or_without_admissions() {
    assert_eq!(shared(&[100.0], 50.0).accounts, []);
    assert_eq!(shared(&[100.0, 10.0], 0.0).accounts, []);
    assert_eq!(shared(&[100.0, 10.0], 200.0).share, None);
}

#[test]
fn restarted_box_counts_once_and_late_messages_are_ignored() {
    let mut aggregator = Aggregator::default();
    aggregator.update(rates(1, 7, &[10.0, 90.0], 50.0), ip(1), at(0));
    assert!(!aggregator.update(rates(1, 6, &[500.0, 90.0], 50.0), ip(1), at(10)));
    aggregator.update(rates(2, 1, &[10.0, 90.0], 50.0), ip(1), at(20));
    aggregator.update_totals(at(20));
    assert_eq!(aggregator.own_rates()[0].offered.per_second(), 100.0);
    aggregator.leave(Incarnation(2));
    aggregator.update_totals_now(at(30));
    assert_eq!(aggregator.own_rates(), []);
}

/// Guards against a corrupt report that limits the accounts of all others, or that persists.
#[test]
fn corrupt_rates_do_not_limit_accounts_below_the_share() {
    for corrupt in [f64::NAN, -5.0, f64::INFINITY, f64::MAX] {
        let mut aggregator = Aggregator::default();
        aggregator.update(rates(1, 1, &[20.0, 20.0, 90.0], 80.0), ip(1), at(0));
        aggregator.update(
            rates(2, 1, &[1.0, 1.0, 1.0, corrupt], corrupt),
            ip(2),
            at(0),
        );
        aggregator.update_totals_now(at(0));
        let computed = &aggregator.shares()[0];
        assert_eq!((fraction(computed, 0), fraction(computed, 1)), (None, None));
        assert!(
            computed
                .accounts
                .iter()
                .all(|each| each.fraction.is_finite())
        );
        aggregator.update(rates(1, 2, &[20.0, 20.0, 90.0], 80.0), ip(1), at(1_000));
        aggregator.update_totals_now(at(1_600));
        assert!(fraction(&aggregator.shares()[0], 2).is_some(), "{corrupt}");
    }
}

/// Guards against limiting an account indefinitely on a box that was suspended or lost its collector.
#[test]
fn shares_expire_and_late_answers_are_ignored() {
    let computed = shared(&[10.0, 300.0], 50.0);
    let none = ServiceShare {
        accounts: Vec::new(),
        ..computed.clone()
    };
    let answer = |number, share: &ServiceShare| AccountShares {
        number,
        services: vec![share.clone()],
    };
    let mut enforced = EnforcedShares::default();
    enforced.update(answer(5, &computed), at(0));
    enforced.update(answer(4, &none), at(100));
    assert_eq!(enforced.accounts_above_share(at(1_499)), 1);
    let beyond = |enforced: &EnforcedShares, ms| {
        let draws = (0..100).map(|draw| u64::wrapping_mul(draw, 0x1234_5678_9ABC_DEF1));
        let mut standings = draws.map(|draw| enforced.standing(SERVICE, account(1), draw, at(ms)));
        standings.any(|each| each == Standing::Beyond)
    };
    assert!(beyond(&enforced, 1_499));
    assert!(!beyond(&enforced, 1_500));
    enforced.update(answer(6, &none), at(1_000));
    assert!(!beyond(&enforced, 1_100));
}

#[test]
fn crossing_the_share_is_reported_once_per_direction() {
    let mut aggregator = Aggregator::default();
    let mut crossings = Vec::new();
    for number in 1..=60 {
        let now = at(number * 200);
        // The rate varies around the share, as real rates do.
        let flood = if number < 30 && number % 3 > 0 {
            90.0
        } else {
            20.0
        };
        aggregator.update(rates(1, number, &[20.0, 20.0, flood], 60.0), ip(1), now);
        crossings.extend(aggregator.update_totals(now));
    }
    let beyond = |crossing| matches!(crossing, ShareTransition::Beyond { .. });
    let reported = crossings
        .iter()
        .map(|each| (each.account, beyond(each.crossing)));
    assert!(
        reported.eq([(account(2), true), (account(2), false)]),
        "{crossings:?}"
    );
}

#[test]
fn largest_of_thousands_of_accounts_are_kept() {
    let mut usage = Usage::default();
    let service = SERVICE.into();
    for step in 0..20_000 {
        let now = at(step / 10);
        usage.count_offered(&service, account(step as u32 % 9_000 + 10), now);
        usage.count_offered(&service, account(step as u32 % 5), now);
    }
    usage.note_contended(&service, at(2_000));
    let computed = usage.rates(|_| false, at(2_000)).remove(0);
    assert_eq!(computed.accounts.len(), MAX_ACCOUNTS_PER_BOX);
    let largest: Vec<u32> = computed.accounts[..5]
        .iter()
        .map(|each| each.account.0)
        .collect();
    assert!(largest.iter().all(|number| *number < 5), "{largest:?}");
    assert!(computed.count <= 4_096);
}

#[test]
fn uncontended_service_reports_no_rates() {
    let mut usage = Usage::default();
    let service = SERVICE.into();
    usage.count_offered(&service, account(1), at(0));
    assert_eq!(usage.rates(|_| false, at(10)), []);
    assert!(usage.note_contended(&service, at(20)));
    assert!(!usage.note_contended(&service, at(900)));
    assert_eq!(usage.rates(|_| false, at(1_800)).len(), 1);
    assert_eq!(usage.rates(|_| false, at(1_900)), []);
    assert_eq!(usage.rates(|_| true, at(1_900)).len(), 1);
}
