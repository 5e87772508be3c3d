//! Encoding of the rates and fair shares of client accounts.

use prost::Message as _;
use reachtally_core::forward::limit::DemandRate;
use reachtally_core::forward::quarantine::AccountDigest;
use reachtally_core::forward::shares::{
    AccountFraction, AccountRate, AccountRates, AccountShares, MAX_ACCOUNTS_PER_DOMAIN,
    MAX_SERVICES, ServiceRates, ServiceShare,
};
use reachtally_core::ids::Incarnation;

use crate::generated::relay;
use crate::limits::{MILLI, to_milli};
use crate::load::{FRAMING_BYTES, MESSAGE_MAX};

/// Upper bound on the bytes of the tag and the length in front of a service within a message.
const SERVICE_FRAMING_BYTES: usize = 3;

fn rate_from_milli(milli: u64) -> DemandRate {
    DemandRate::new(milli as f64 / MILLI)
}

/// Splits a message into pages that fit into one datagram each.
pub fn pages_of_rates(rates: &AccountRates) -> Vec<AccountRates> {
    let page = |services| AccountRates {
        services,
        ..without_services(rates)
    };
    let header = rates_to_wire(&without_services(rates)).encoded_len();
    let length = |service: &ServiceRates| service_rates_to_wire(service).encoded_len();
    let chunks = chunks(&rates.services, header, length);
    chunks.into_iter().map(page).collect()
}

/// Splits shares into pages that fit into one datagram each.
pub fn pages_of_shares(shares: &AccountShares) -> Vec<AccountShares> {
    let page = |services| AccountShares {
        number: shares.number,
        services,
    };
    let header = shares_to_wire(&page(Vec::new())).encoded_len();
    let length = |service: &ServiceShare| service_share_to_wire(service).encoded_len();
    let chunks = chunks(&shares.services, header, length);
    chunks.into_iter().map(page).collect()
}

fn without_services(rates: &AccountRates) -> AccountRates {
    AccountRates {
        run: rates.run,
        number: rates.number,
        domain: rates.domain.clone(),
        services: Vec::new(),
    }
}

/// Splits services into chunks that fit into one datagram each, together with a header of `header` bytes. A service that
/// is too large for any datagram is omitted.
fn chunks<T: Clone>(services: &[T], header: usize, length: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let capacity = MESSAGE_MAX.saturating_sub(header + FRAMING_BYTES);
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut remaining = 0;
    for service in services {
        let length = length(service) + SERVICE_FRAMING_BYTES;
        if length > capacity {
            continue;
        }
        if length > remaining {
            chunks.push(Vec::new());
            remaining = capacity;
        }
        remaining -= length;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(service.clone());
        }
    }
    chunks
}

/// Returns the leading services that fit into a datagram, together with a message of `length` bytes.
fn services_that_fit<T: prost::Message>(
    services: impl Iterator<Item = T>,
    mut length: usize,
) -> impl Iterator<Item = T> {
    length += FRAMING_BYTES;
    services.take_while(move |service| {
        length += service.encoded_len() + SERVICE_FRAMING_BYTES;
        length <= MESSAGE_MAX
    })
}

pub(crate) fn rates_to_wire(rates: &AccountRates) -> relay::AccountRates {
    let mut message = relay::AccountRates {
        run: rates.run.0,
        number: rates.number,
        domain: rates.domain.clone(),
        services: Vec::new(),
    };
    let services = rates.services.iter().map(service_rates_to_wire);
    message.services = services_that_fit(services, message.encoded_len()).collect();
    message
}

fn service_rates_to_wire(rates: &ServiceRates) -> relay::ServiceRates {
    let accounts = rates.accounts.iter();
    relay::ServiceRates {
        service: rates.service.to_string(),
        is_contended: rates.is_contended,
        offered_milli: to_milli(rates.offered.per_second()),
        admitted_milli: to_milli(rates.admitted.per_second()),
        count: rates.count,
        accounts: accounts.clone().map(|each| each.account.0).collect(),
        rates_milli: accounts
            .map(|each| to_milli(each.rate.per_second()))
            .collect(),
    }
}

pub(crate) fn rates_from_wire(rates: relay::AccountRates) -> AccountRates {
    let services = rates.services.into_iter().take(MAX_SERVICES);
    AccountRates {
        run: Incarnation(rates.run),
        number: rates.number,
        domain: rates.domain,
        services: services.map(service_rates_from_wire).collect(),
    }
}

fn service_rates_from_wire(rates: relay::ServiceRates) -> ServiceRates {
    let accounts = rates.accounts.into_iter().zip(rates.rates_milli);
    let account = |(account, milli)| AccountRate {
        account: AccountDigest(account),
        rate: rate_from_milli(milli),
    };
    ServiceRates {
        service: rates.service.into(),
        is_contended: rates.is_contended,
        offered: rate_from_milli(rates.offered_milli),
        admitted: rate_from_milli(rates.admitted_milli),
        count: rates.count,
        accounts: accounts
            .take(MAX_ACCOUNTS_PER_DOMAIN)
            .map(account)
            .collect(),
    }
}

pub(crate) fn shares_to_wire(shares: &AccountShares) -> relay::AccountShares {
    let mut message = relay::AccountShares {
        number: shares.number,
        services: Vec::new(),
    };
    let services = shares.services.iter().map(service_share_to_wire);
    message.services = services_that_fit(services, message.encoded_len()).collect();
    message
}

fn service_share_to_wire(share: &ServiceShare) -> relay::ServiceShare {
    let accounts = share.accounts.iter();
    relay::ServiceShare {
        service: share.service.to_string(),
        share_milli: share.share.map(|share| to_milli(share.per_second())),
        accounts: accounts.clone().map(|each| each.account.0).collect(),
        fractions_milli: accounts
            .map(|each| (each.fraction.clamp(0.0, 1.0) * MILLI).round() as u32)
            .collect(),
    }
}

pub(crate) fn shares_from_wire(shares: relay::AccountShares) -> AccountShares {
    let services = shares.services.into_iter().take(MAX_SERVICES);
    AccountShares {
        number: shares.number,
        services: services.map(service_share_from_wire).collect(),
    }
}

fn service_share_from_wire(share: relay::ServiceShare) -> ServiceShare {
    let accounts = share.accounts.into_iter().zip(share.fractions_milli);
    let account = |(account, milli): (u32, u32)| AccountFraction {
        account: AccountDigest(account),
        fraction: (f64::from(milli) / MILLI).min(1.0),
    };
    ServiceShare {
        service: share.service.into(),
        share: share.share_milli.map(rate_from_milli),
        accounts: accounts
            .take(MAX_ACCOUNTS_PER_DOMAIN)
            .map(account)
            .collect(),
    }
}
