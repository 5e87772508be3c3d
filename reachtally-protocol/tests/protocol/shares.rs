//! Encoding of the rates and shares of client accounts.

use proptest::prelude::*;
use reachtally_core::forward::limit::DemandRate;
use reachtally_core::forward::loads::Message;
use reachtally_core::forward::quarantine::AccountDigest;
use reachtally_core::forward::shares::{
    AccountFraction, AccountRate, AccountRates, AccountShares, MAX_ACCOUNTS_PER_ANSWER,
    MAX_ACCOUNTS_PER_BOX, MAX_ACCOUNTS_PER_DOMAIN, MAX_SERVICES, ServiceRates, ServiceShare,
};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::load::{self, MESSAGE_MAX};
use reachtally_protocol::shares::{pages_of_rates, pages_of_shares};

fn rates(domain: Option<&str>, services: usize, accounts: usize, rate: f64) -> AccountRates {
    let accounts = (0..accounts as u32).map(|number| AccountRate {
        account: AccountDigest(u32::MAX - number),
        rate: DemandRate::new(rate),
    });
    let accounts: Vec<AccountRate> = accounts.collect();
    let service = |number| ServiceRates {
        service: format!("service-{number}").into(),
        is_contended: true,
        offered: DemandRate::new(rate * 100.0),
        admitted: DemandRate::new(rate),
        count: 5_000,
        accounts: accounts.clone(),
    };
    AccountRates {
        run: Incarnation(u64::MAX),
        number: 1_000_000,
        domain: domain.map(str::to_owned),
        services: (0..services).map(service).collect(),
    }
}

fn shares(services: usize) -> AccountShares {
    let accounts = (0..MAX_ACCOUNTS_PER_ANSWER as u32).map(|number| AccountFraction {
        account: AccountDigest(number),
        fraction: 0.125,
    });
    let accounts: Vec<AccountFraction> = accounts.collect();
    let service = |number| ServiceShare {
        service: format!("service-{number}").into(),
        share: (number > 0).then(|| DemandRate::new(80.5)),
        accounts: accounts.clone(),
    };
    AccountShares {
        number: 1_000_000,
        services: (0..services).map(service).collect(),
    }
}

fn round_trip(message: Message) -> Message {
    let bytes = load::encode(&message);
    assert!(bytes.len() <= MESSAGE_MAX, "{}", bytes.len());
    load::decode(&bytes).expect("the datagram is valid")
}

/// An entry that does not fit a datagram would be missing from every report.
#[test]
fn pages_round_trip_and_fit_a_datagram() {
    let from_box = rates(None, MAX_SERVICES, MAX_ACCOUNTS_PER_BOX, 7.125);
    let from_collector = rates(Some("north"), MAX_SERVICES, MAX_ACCOUNTS_PER_DOMAIN, 1e6);
    for sent in [from_box, from_collector] {
        let mut services = Vec::new();
        for page in pages_of_rates(&sent) {
            let received = round_trip(Message::AccountRates(page.clone()));
            assert_eq!(received, Message::AccountRates(page.clone()));
            services.extend(page.services);
        }
        assert_eq!(services, sent.services);
    }
    let sent = shares(MAX_SERVICES);
    let mut services = Vec::new();
    for page in pages_of_shares(&sent) {
        let received = round_trip(Message::AccountShares(page.clone()));
        assert_eq!(received, Message::AccountShares(page.clone()));
        services.extend(page.services);
    }
    assert_eq!(services, sent.services);
}

#[test]
fn a_message_of_any_size_fits_a_datagram() {
    round_trip(Message::AccountRates(rates(
        None,
        200,
        MAX_ACCOUNTS_PER_DOMAIN,
        1e6,
    )));
    round_trip(Message::AccountRates(rates(None, 2, 1_000, 1e6)));
    round_trip(Message::AccountShares(shares(200)));
    let mut oversized = rates(None, 2, 1, 1.0);
    oversized.services[0].service = "s".repeat(MESSAGE_MAX).into();
    assert_eq!(
        pages_of_rates(&oversized)[0].services,
        oversized.services[1..]
    );
}

#[test]
fn the_largest_message_of_a_box_with_one_service_is_small() {
    let report = load::encode(&Message::AccountRates(rates(
        None,
        1,
        MAX_ACCOUNTS_PER_BOX,
        9.5,
    )));
    let answer = load::encode(&Message::AccountShares(shares(1)));
    let totals = rates(Some("north"), 1, MAX_ACCOUNTS_PER_DOMAIN, 500.0);
    let totals = load::encode(&Message::AccountRates(totals));
    assert!(report.len() <= 250 && answer.len() <= 250 && totals.len() <= 550);
}

/// All other numbers of a message have types that enforce their bounds on construction.
#[test]
fn corrupt_numbers_are_bounded() {
    let mut corrupt = shares(1);
    for (account, fraction) in (0..).zip([f64::NAN, -3.0, f64::INFINITY, 1e300]) {
        corrupt.services[0].accounts[account].fraction = fraction;
    }
    let Message::AccountShares(decoded) = round_trip(Message::AccountShares(corrupt)) else {
        panic!("decoded as another kind of message");
    };
    let accounts = &decoded.services[0].accounts;
    assert!(
        accounts
            .iter()
            .all(|each| (0.0..=1.0).contains(&each.fraction))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Every encodable number decodes to a finite rate, also if the rates of accounts are missing.
    #[test]
    fn every_decoded_rate_is_finite(bytes in proptest::collection::vec(any::<u8>(), 0..64), kind in prop::sample::select(vec![0x52u8, 0x5a])) {
        let mut message = vec![kind, bytes.len() as u8 + 2, 0x22, bytes.len() as u8];
        message.extend(bytes);
        if let Ok(Message::AccountRates(decoded)) = load::decode(&message) {
            for service in decoded.services {
                let rates = service.accounts.iter().map(|each| each.rate);
                for rate in rates.chain([service.offered, service.admitted]) {
                    prop_assert!((0.0..=1e6).contains(&rate.per_second()));
                }
            }
        }
    }
}
