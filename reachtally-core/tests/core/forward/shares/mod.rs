//! Fair shares of client accounts: their computation, and boxes and collectors on a virtual clock.

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

/// The shares that follow from one box with these rates.
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
    fn what_is_allowed_is_what_is_admitted(each in prop::collection::vec(0.0..500.0f64, 1..200), part in 0.02..0.999f64) {
        let groups: Vec<Group> = each.iter().map(|rate| Group { rate: *rate, count: 1.0 }).collect();
        let offered: f64 = each.iter().sum();
        prop_assume!(offered > 0.0);
        let share = max_min(&groups, offered * part).expect("more is offered");
        let sum: f64 = each.iter().map(|rate| rate.min(share)).sum();
        prop_assert!((sum - offered * part).abs() < offered * 1e-9, "{sum} {offered} {part}");
    }

    #[test]
    fn an_account_below_the_share_is_never_beyond_and_equal_ones_get_equal_parts(
        mut each in prop::collection::vec(0.1..500.0f64, 2..64), part in 0.0..1.2f64, twin in 0usize..64, draw: u64,
    ) {
        each.push(each[twin % each.len()]);
        let offered: f64 = each.iter().sum();
        let told = shared(&each, offered * part);
        let last = each.len() as u32 - 1;
        if told.accounts.len() < MAX_ACCOUNTS_PER_ANSWER {
            prop_assert_eq!(fraction(&told, last), fraction(&told, (twin % (each.len() - 1)) as u32));
        }
        prop_assert!(told.accounts.iter().all(|each| (0.0..=1.0).contains(&each.fraction)));
        let share = told.share.map_or(f64::MAX, DemandRate::per_second);
        let mut believed = EnforcedShares::default();
        believed.update(AccountShares { number: 1, services: vec![told] }, at(0));
        for (number, rate) in (0..).zip(&each) {
            let standing = believed.standing(SERVICE, account(number), draw, at(1));
            prop_assert!(*rate > share || standing == Standing::Within);
        }
    }
}

#[test]
fn a_large_account_among_many_small_ones_is_not_starved() {
    let mut each = vec![5.0; 10];
    each.push(50.0);
    let told = shared(&each, 50.0);
    let served = fraction(&told, 10).expect("it is above the share");
    assert!(served >= 0.5 * MIN_SERVED_FRACTION, "{served}");
}

/// The answer lists a bounded number of accounts; those that it left out would have kept everything.
#[test]
fn of_more_equal_accounts_than_are_listed_none_is_limited() {
    let even = shared(&[100.0; MAX_ACCOUNTS_PER_ANSWER + 8], 2_000.0);
    assert_eq!(even.accounts, []);
    let mut each = [100.0; MAX_ACCOUNTS_PER_ANSWER + 8];
    each[3] = 750.0;
    let told = shared(&each, 2_000.0);
    assert_eq!(told.accounts.len(), 1);
    assert!(fraction(&told, 3).is_some_and(|fraction| fraction < 0.2));
    // A hundred more that are known only in sum.
    let mut in_sum = rates(1, 1, &[100.0; 4], 2_000.0);
    in_sum.services[0].offered = DemandRate::new(9_400.0);
    in_sum.services[0].count = 104;
    let mut aggregator = Aggregator::default();
    aggregator.update(in_sum, ip(1), at(0));
    aggregator.update_totals(at(0));
    assert_eq!(aggregator.shares()[0].accounts, []);
}

#[test]
fn nothing_is_shared_where_one_account_is_alone_or_nothing_is_admitted() {
    assert_eq!(shared(&[100.0], 50.0).accounts, []);
    assert_eq!(shared(&[100.0, 10.0], 0.0).accounts, []);
    assert_eq!(shared(&[100.0, 10.0], 200.0).share, None);
}

#[test]
fn a_box_that_starts_again_counts_once_and_late_messages_change_nothing() {
    let mut aggregator = Aggregator::default();
    aggregator.update(rates(1, 7, &[10.0, 90.0], 50.0), ip(1), at(0));
    assert!(!aggregator.update(rates(1, 6, &[500.0, 90.0], 50.0), ip(1), at(10)));
    aggregator.update(rates(2, 1, &[10.0, 90.0], 50.0), ip(1), at(20));
    aggregator.update_totals(at(20));
    assert_eq!(aggregator.own_rates()[0].offered.per_second(), 100.0);
    aggregator.leave(Incarnation(2));
    aggregator.sum_up_now(at(30));
    assert_eq!(aggregator.own_rates(), []);
}

/// A corrupt report must neither limit the accounts of all others nor last.
#[test]
fn corrupt_rates_limit_nobody_who_is_below_the_share() {
    for wrong in [f64::NAN, -5.0, f64::INFINITY, f64::MAX] {
        let mut aggregator = Aggregator::default();
        aggregator.update(rates(1, 1, &[20.0, 20.0, 90.0], 80.0), ip(1), at(0));
        aggregator.update(rates(2, 1, &[1.0, 1.0, 1.0, wrong], wrong), ip(2), at(0));
        aggregator.sum_up_now(at(0));
        let told = &aggregator.shares()[0];
        assert_eq!((fraction(told, 0), fraction(told, 1)), (None, None));
        assert!(told.accounts.iter().all(|each| each.fraction.is_finite()));
        aggregator.update(rates(1, 2, &[20.0, 20.0, 90.0], 80.0), ip(1), at(1_000));
        aggregator.sum_up_now(at(1_600));
        assert!(fraction(&aggregator.shares()[0], 2).is_some(), "{wrong}");
    }
}

/// A box that was suspended or lost its collector must not go on limiting an account.
#[test]
fn shares_expire_and_a_late_answer_changes_nothing() {
    let told = shared(&[10.0, 300.0], 50.0);
    let none = ServiceShare {
        accounts: Vec::new(),
        ..told.clone()
    };
    let answer = |number, share: &ServiceShare| AccountShares {
        number,
        services: vec![share.clone()],
    };
    let mut believed = EnforcedShares::default();
    believed.update(answer(5, &told), at(0));
    believed.update(answer(4, &none), at(100));
    assert_eq!(believed.accounts_above_share(at(1_499)), 1);
    let beyond = |believed: &EnforcedShares, ms| {
        let draws = (0..100).map(|draw| u64::wrapping_mul(draw, 0x1234_5678_9ABC_DEF1));
        let mut standings = draws.map(|draw| believed.standing(SERVICE, account(1), draw, at(ms)));
        standings.any(|each| each == Standing::Beyond)
    };
    assert!(beyond(&believed, 1_499));
    assert!(!beyond(&believed, 1_500));
    believed.update(answer(6, &none), at(1_000));
    assert!(!beyond(&believed, 1_100));
}

#[test]
fn a_crossing_is_told_once_each_way() {
    let mut aggregator = Aggregator::default();
    let mut crossings = Vec::new();
    for number in 1..=60 {
        let now = at(number * 200);
        // Varies around the share, as rates do.
        let flood = if number < 30 && number % 3 > 0 {
            90.0
        } else {
            20.0
        };
        aggregator.update(rates(1, number, &[20.0, 20.0, flood], 60.0), ip(1), now);
        crossings.extend(aggregator.update_totals(now));
    }
    let beyond = |crossing| matches!(crossing, ShareTransition::Beyond { .. });
    let told = crossings
        .iter()
        .map(|each| (each.account, beyond(each.crossing)));
    assert!(
        told.eq([(account(2), true), (account(2), false)]),
        "{crossings:?}"
    );
}

#[test]
fn the_largest_of_thousands_of_accounts_are_kept() {
    let mut usage = Usage::default();
    let service = SERVICE.into();
    for step in 0..20_000 {
        let now = at(step / 10);
        usage.count_offered(&service, account(step as u32 % 9_000 + 10), now);
        usage.count_offered(&service, account(step as u32 % 5), now);
    }
    usage.note_contended(&service, at(2_000));
    let told = usage.rates(|_| false, at(2_000)).remove(0);
    assert_eq!(told.accounts.len(), MAX_ACCOUNTS_PER_BOX);
    let largest: Vec<u32> = told.accounts[..5]
        .iter()
        .map(|each| each.account.0)
        .collect();
    assert!(largest.iter().all(|number| *number < 5), "{largest:?}");
    assert!(told.count <= 4_096);
}

#[test]
fn without_contention_there_is_nothing_to_report() {
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
