//! Boxes in three failure domains with callers of several accounts, before a capacity that they all share.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const DOMAINS: usize = 3;
/// Requests a second that the capacity suffices for.
const CAPACITY: f64 = 440.0;
/// Requests a second of all accounts together without a flood.
const USUAL: f64 = 400.0;
/// Factor of a flood.
const FLOOD: f64 = 7.5;
const FLOOD_MS: u64 = 3_000;
const REPORT_MS: u64 = 200;
const SUM_MS: u64 = 50;
/// Tokens of the capacity that only requests within their share may take.
const KEPT: f64 = 20.0;

#[derive(Default)]
struct BoxState {
    usage: Usage,
    believed: EnforcedShares,
    number: u64,
}

/// What became of an account's requests.
#[derive(Default, Clone, Copy)]
struct Counts {
    offered: f64,
    admitted: f64,
    beyond: f64,
}

struct Play {
    rng: ChaCha8Rng,
    boxes: Vec<BoxState>,
    collectors: Vec<Aggregator>,
    /// Whether a domain's collector and its links to others work.
    is_lost: [bool; DOMAINS],
    is_cut: [bool; DOMAINS],
    accounts: u32,
    /// Account 0 sends this many times its usual rate from [`FLOOD_MS`] on.
    flood: f64,
    tokens: f64,
    now: u64,
    number: u64,
    /// By account; requests at the boxes of domain 0 also count in `home`.
    counts: BTreeMap<u32, Counts>,
    home: BTreeMap<u32, Counts>,
    /// When each box was first told of an account above its share, in ms.
    told: Vec<Option<u64>>,
}

impl Play {
    fn new(boxes: usize, accounts: u32) -> Self {
        Play {
            rng: ChaCha8Rng::seed_from_u64(5),
            boxes: (0..boxes * DOMAINS).map(|_| BoxState::default()).collect(),
            collectors: (0..DOMAINS).map(|_| Aggregator::default()).collect(),
            is_lost: [false; DOMAINS],
            is_cut: [false; DOMAINS],
            accounts,
            flood: FLOOD,
            tokens: 0.0,
            now: 0,
            number: 0,
            counts: BTreeMap::new(),
            home: BTreeMap::new(),
            told: vec![None; boxes * DOMAINS],
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += 1;
            self.tokens = (self.tokens + CAPACITY / 1e3).min(2.0 * KEPT);
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

    /// Counts anew, until `end`; returns the share of the requests of all accounts but the first that is admitted.
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
        let each = USUAL / f64::from(self.accounts);
        let flood = if self.now > FLOOD_MS {
            each * (self.flood - 1.0)
        } else {
            0.0
        };
        let mut due = (USUAL + flood) / 1e3;
        while due > 0.0 {
            if self.rng.random::<f64>() < due {
                let is_flood = self.rng.random::<f64>() * (USUAL + flood) < flood;
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
            .believed
            .standing(SERVICE, account(number), draw, now);
        let is_beyond = standing == Standing::Beyond;
        let is_admitted = self.tokens >= if is_beyond { KEPT } else { 1.0 };
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

    /// Whether a datagram arrives: 2% are lost.
    fn arrives(&mut self) -> bool {
        self.rng.random::<f64>() >= 0.02
    }

    fn report(&mut self, place: usize) {
        let (now, domain) = (at(self.now), place % DOMAINS);
        let entrance = &mut self.boxes[place];
        entrance.number += 1;
        let number = entrance.number;
        let believed = &entrance.believed;
        let services = entrance
            .usage
            .rates(|service| believed.is_contended(service, now), now);
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
            self.boxes[place].believed.update(shares, now);
            if self.boxes[place].believed.accounts_above_share(now) > 0 {
                self.told[place].get_or_insert(self.now);
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
                let is_apart = [from, to]
                    .iter()
                    .any(|each| self.is_lost[*each] || self.is_cut[*each]);
                if !is_apart && !rates.services.is_empty() && self.arrives() {
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

    /// Parts of the requests beyond the share: of the first account, and the largest of any other.
    fn beyond_parts(counts: &BTreeMap<u32, Counts>) -> (f64, f64) {
        let others = counts.keys().filter(|number| **number > 0);
        let others = others.map(|number| Self::beyond(counts, *number));
        (Self::beyond(counts, 0), others.fold(0.0, f64::max))
    }
}

/// The flood took the capacity that the other accounts were served by.
#[test]
fn a_flood_of_one_account_is_its_own_problem_after_a_second() {
    for boxes in [1, 3, 30, 100] {
        let mut play = Play::new(boxes, 10);
        play.run_until(1_000);
        let before = play.others_served(FLOOD_MS);
        play.run_until(FLOOD_MS + 1_000);
        let after = play.others_served(FLOOD_MS + 11_000);
        let (flooding, others) = Play::beyond_parts(&play.counts);
        let told: Option<Vec<u64>> = play.told.iter().copied().collect();
        let last = told.expect("all boxes are told").into_iter().max();
        let last = last.unwrap_or_default().saturating_sub(FLOOD_MS);
        assert!(after >= 0.97 * before, "{boxes} boxes: {after} of {before}");
        // (300 - 80) of 300 requests a second.
        assert!(
            (0.65..0.85).contains(&flooding),
            "{boxes} boxes: {flooding}"
        );
        assert!(last <= 1_000, "{boxes} boxes: {last} ms");
        assert!(others < 0.03, "{boxes} boxes: {others}");
    }
}

#[test]
fn of_thousands_of_accounts_the_one_that_floods_is_beyond_its_share() {
    for (boxes, accounts) in [(3, 40), (30, 300), (100, 3_000)] {
        let mut play = Play::new(boxes, accounts);
        play.flood = 0.75 * f64::from(accounts);
        play.run_until(FLOOD_MS + 1_500);
        let served = play.others_served(FLOOD_MS + 6_500);
        let (flooding, others) = Play::beyond_parts(&play.counts);
        assert!(served > 0.95, "{accounts}: {served}");
        assert!(flooding > 0.6, "{accounts}: {flooding}");
        assert!(others < 0.1, "{accounts}: {others}");
    }
}

#[test]
fn without_its_collector_a_domain_shares_nothing_after_the_life_of_a_share() {
    let mut play = Play::new(10, 10);
    play.run_until(FLOOD_MS + 2_000);
    play.is_lost[0] = true;
    play.run_until(FLOOD_MS + 3_600);
    play.others_served(FLOOD_MS + 8_000);
    assert_eq!(Play::beyond_parts(&play.home), (0.0, 0.0));
    let (elsewhere, _) = Play::beyond_parts(&play.counts);
    assert!(elsewhere > 0.3, "{elsewhere}");
    play.is_lost[0] = false;
    play.run_until(FLOOD_MS + 9_000);
    play.others_served(FLOOD_MS + 12_000);
    let (again, _) = Play::beyond_parts(&play.home);
    assert!(again > 0.6, "{again}");
}

#[test]
fn a_domain_that_is_cut_off_computes_its_own_shares() {
    let mut play = Play::new(10, 10);
    play.is_cut[0] = true;
    play.run_until(FLOOD_MS + 2_000);
    play.others_served(FLOOD_MS + 8_000);
    let (flooding, others) = Play::beyond_parts(&play.home);
    assert!(flooding > 0.6, "{flooding}");
    assert!(others < 0.05, "{others}");
}
