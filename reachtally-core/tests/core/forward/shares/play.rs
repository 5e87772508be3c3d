//! Simulates boxes in three failure domains with callers of several accounts and a capacity that they all share.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const DOMAINS: usize = 3;
/// Shared capacity in requests per second.
const CAPACITY: f64 = 440.0;
/// Requests per second of all accounts together without a flood.
const USUAL_RATE: f64 = 400.0;
/// Multiple of its usual rate that a flooding account sends.
const FLOOD_FACTOR: f64 = 7.5;
const FLOOD_MS: u64 = 3_000;
const REPORT_MS: u64 = 200;
const SUM_MS: u64 = 50;
/// Tokens reserved for requests within their share.
const RESERVED: f64 = 20.0;

#[derive(Default)]
struct BoxState {
    usage: Usage,
    enforced: EnforcedShares,
    number: u64,
}

/// Counted requests of an account.
#[derive(Default, Clone, Copy)]
struct Counts {
    offered: f64,
    admitted: f64,
    beyond: f64,
}

struct Simulation {
    rng: ChaCha8Rng,
    boxes: Vec<BoxState>,
    collectors: Vec<Aggregator>,
    /// Whether a domain has lost its collector, or is cut off from the collectors of other domains.
    is_lost: [bool; DOMAINS],
    is_cut: [bool; DOMAINS],
    accounts: u32,
    /// Account 0 sends this many times its usual rate from [`FLOOD_MS`] on.
    flood: f64,
    tokens: f64,
    now: u64,
    number: u64,
    /// Counts by account; `home` counts only requests at the boxes of domain 0.
    counts: BTreeMap<u32, Counts>,
    home: BTreeMap<u32, Counts>,
    /// Time in ms at which each box first received an account above its share.
    first_received: Vec<Option<u64>>,
}

impl Simulation {
    fn new(boxes: usize, accounts: u32) -> Self {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(5),
            boxes: (0..boxes * DOMAINS).map(|_| BoxState::default()).collect(),
            collectors: (0..DOMAINS).map(|_| Aggregator::default()).collect(),
            is_lost: [false; DOMAINS],
            is_cut: [false; DOMAINS],
            accounts,
            flood: FLOOD_FACTOR,
            tokens: 0.0,
            now: 0,
            number: 0,
            counts: BTreeMap::new(),
            home: BTreeMap::new(),
            first_received: vec![None; boxes * DOMAINS],
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += 1;
            self.tokens = (self.tokens + CAPACITY / 1e3).min(2.0 * RESERVED);
            self.arrive();
            if self.now.is_multiple_of(SUM_MS) {
                for collector in &mut self.collectors {
                    collector.update_totals(at(self.now));
                }
            }
            if self.now.is_multiple_of(REPORT_MS) {
                self.exchange();
            }
            for number in 0..self.boxes.len() {
                if self.now % REPORT_MS == (number as u64 * 37) % REPORT_MS {
                    self.report(number);
                }
            }
        }
    }

    /// Restarts counting and runs until `end`; returns the admitted fraction of the requests of all accounts but the
    /// first.
    fn others_served(&mut self, end: u64) -> f64 {
        self.counts.clear();
        self.home.clear();
        self.run_until(end);
        let others = self.counts.iter().filter(|(number, _)| **number > 0);
        let (offered, admitted) = others.fold((0.0, 0.0), |(offered, admitted), (_, each)| {
            (offered + each.offered, admitted + each.admitted)
        });
        admitted / offered
    }

    fn arrive(&mut self) {
        let each = USUAL_RATE / f64::from(self.accounts);
        let flood = if self.now > FLOOD_MS {
            each * (self.flood - 1.0)
        } else {
            0.0
        };
        let mut due = (USUAL_RATE + flood) / 1e3;
        while due > 0.0 {
            if self.rng.random::<f64>() < due {
                let is_flood = self.rng.random::<f64>() * (USUAL_RATE + flood) < flood;
                let number = if is_flood {
                    0
                } else {
                    self.rng.random_range(0..self.accounts)
                };
                self.request(number);
            }
            due -= 1.0;
        }
    }

    fn request(&mut self, number: u32) {
        let (place, draw) = (
            self.rng.random_range(0..self.boxes.len()),
            self.rng.random(),
        );
        let (now, service) = (at(self.now), SERVICE.into());
        let entrance = &mut self.boxes[place];
        entrance.usage.count_offered(&service, account(number), now);
        let standing = entrance
            .enforced
            .standing(SERVICE, account(number), draw, now);
        let is_beyond = standing == Standing::Beyond;
        let is_admitted = self.tokens >= if is_beyond { RESERVED } else { 1.0 };
        match is_admitted {
            true => {
                self.tokens -= 1.0;
                entrance.usage.count_admitted(&service, now);
            }
            false => {
                entrance.usage.note_contended(&service, now);
            }
        }
        let home = (place % DOMAINS == 0).then_some(&mut self.home);
        for counts in home.into_iter().chain([&mut self.counts]) {
            let counts = counts.entry(number).or_default();
            counts.offered += 1.0;
            counts.admitted += f64::from(is_admitted);
            counts.beyond += f64::from(is_beyond);
        }
    }

    /// Whether a datagram arrives; 2% are lost.
    fn arrives(&mut self) -> bool {
        self.rng.random::<f64>() >= 0.02
    }

    fn report(&mut self, place: usize) {
        let (now, domain) = (at(self.now), place % DOMAINS);
        let entrance = &mut self.boxes[place];
        entrance.number += 1;
        let number = entrance.number;
        let enforced = &entrance.enforced;
        let services = entrance
            .usage
            .rates(|service| enforced.is_contended(service, now), now);
        if self.is_lost[domain] {
            return;
        }
        if !services.is_empty() && self.arrives() {
            let rates = AccountRates {
                run: Incarnation(place as u64 + 1),
                number,
                domain: None,
                services,
            };
            self.collectors[domain].update(rates, ip(place as u16), now);
        }
        if self.arrives() {
            let services = self.collectors[domain].shares().to_vec();
            let shares = AccountShares { number, services };
            self.boxes[place].enforced.update(shares, now);
            if self.boxes[place].enforced.accounts_above_share(now) > 0 {
                self.first_received[place].get_or_insert(self.now);
            }
        }
    }

    fn exchange(&mut self) {
        self.number += 1;
        for from in 0..DOMAINS {
            let rates = AccountRates {
                run: Incarnation(10_000 + from as u64),
                number: self.number,
                domain: Some(format!("domain-{from}")),
                services: self.collectors[from].own_rates().to_vec(),
            };
            for to in (0..DOMAINS).filter(|to| *to != from) {
                let is_separated = [from, to]
                    .iter()
                    .any(|each| self.is_lost[*each] || self.is_cut[*each]);
                if !is_separated && !rates.services.is_empty() && self.arrives() {
                    self.collectors[to].update(
                        rates.clone(),
                        ip(60_000 + from as u16),
                        at(self.now),
                    );
                }
            }
        }
    }

    fn beyond(counts: &BTreeMap<u32, Counts>, number: u32) -> f64 {
        let counts = counts.get(&number).copied().unwrap_or_default();
        counts.beyond / counts.offered.max(1.0)
    }

    /// Fractions of requests beyond the share: of the first account, and the largest of any other.
    fn beyond_fractions(counts: &BTreeMap<u32, Counts>) -> (f64, f64) {
        let others = counts.keys().filter(|number| **number > 0);
        let others = others.map(|number| Self::beyond(counts, *number));
        (Self::beyond(counts, 0), others.fold(0.0, f64::max))
    }
}

/// Guards against a flood that takes the capacity of the other accounts.
#[test]
fn flood_of_one_account_affects_no_other_after_a_second() {
    for boxes in [1, 3, 30, 100] {
        let mut play = Simulation::new(boxes, 10);
        play.run_until(1_000);
        let before = play.others_served(FLOOD_MS);
        play.run_until(FLOOD_MS + 1_000);
        let after = play.others_served(FLOOD_MS + 11_000);
        let (flooding, others) = Simulation::beyond_fractions(&play.counts);
        let first_received: Option<Vec<u64>> = play.first_received.iter().copied().collect();
        let last = first_received
            .expect("all boxes receive shares")
            .into_iter()
            .max();
        let last = last.unwrap_or_default().saturating_sub(FLOOD_MS);
        assert!(after >= 0.97 * before, "{boxes} boxes: {after} of {before}");
        // (300 - 80) of 300 requests per second.
        assert!(
            (0.65..0.85).contains(&flooding),
            "{boxes} boxes: {flooding}"
        );
        assert!(last <= 1_000, "{boxes} boxes: {last} ms");
        assert!(others < 0.03, "{boxes} boxes: {others}");
    }
}

#[test]
fn flooding_account_among_thousands_is_beyond_its_share() {
    for (boxes, accounts) in [(3, 40), (30, 300), (100, 3_000)] {
        let mut play = Simulation::new(boxes, accounts);
        play.flood = 0.75 * f64::from(accounts);
        play.run_until(FLOOD_MS + 1_500);
        let served = play.others_served(FLOOD_MS + 6_500);
        let (flooding, others) = Simulation::beyond_fractions(&play.counts);
        assert!(served > 0.95, "{accounts}: {served}");
        assert!(flooding > 0.6, "{accounts}: {flooding}");
        assert!(others < 0.1, "{accounts}: {others}");
    }
}

#[test]
fn domain_without_its_collector_limits_nothing_once_shares_expire() {
    let mut play = Simulation::new(10, 10);
    play.run_until(FLOOD_MS + 2_000);
    play.is_lost[0] = true;
    play.run_until(FLOOD_MS + 3_600);
    play.others_served(FLOOD_MS + 8_000);
    assert_eq!(Simulation::beyond_fractions(&play.home), (0.0, 0.0));
    let (elsewhere, _) = Simulation::beyond_fractions(&play.counts);
    assert!(elsewhere > 0.3, "{elsewhere}");
    play.is_lost[0] = false;
    play.run_until(FLOOD_MS + 9_000);
    play.others_served(FLOOD_MS + 12_000);
    let (again, _) = Simulation::beyond_fractions(&play.home);
    assert!(again > 0.6, "{again}");
}

#[test]
fn isolated_domain_computes_its_own_shares() {
    let mut play = Simulation::new(10, 10);
    play.is_cut[0] = true;
    play.run_until(FLOOD_MS + 2_000);
    play.others_served(FLOOD_MS + 8_000);
    let (flooding, others) = Simulation::beyond_fractions(&play.home);
    assert!(flooding > 0.6, "{flooding}");
    assert!(others < 0.05, "{others}");
}
