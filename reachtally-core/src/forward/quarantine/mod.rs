//! Requests that crash the targets which begin to run them.
//!
//! A target that ends under a request may be at fault, or the request may be. Each end alone proves little: it takes a
//! hundred requests with it. What tells the one that is to blame is that it is there at the next end too, and has had no whole
//! answer. So each end of a run is kept by the request's fingerprint, all boxes tell each other, and a request that
//! enough runs ended under gets no more targets, whichever box it comes to and under whatever id.
//!
//! What boxes tell stands for itself and is merged: ends by the run that ended, so that boxes which see one end count it
//! once, and acquittals end by end, so that a late message takes none back.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

mod case;

use case::Case;
pub use case::{AccountDigest, ENDS_KEPT, End, RunDigest, Verdict};

/// How long a request is remembered after the last end under it, or the last time that it was refused. Callers give up long before.
pub const CASE_LIFE: Duration = Duration::from_secs(600);
/// Requests that are remembered at most: some 100 bytes each.
pub const MOST_CASES: usize = 256;
/// Most of them that may be one account's, so that none can push out the others'.
pub const MOST_CASES_OF_ACCOUNT: usize = 64;
/// How long a change is told anew with each report, since messages may be lost.
const TOLD_AGAIN: Duration = Duration::from_millis(700);
/// Requests in one message. With [`ENDS_KEPT`] ends each it fits a datagram that is not split on the way.
pub const CASES_TOLD: usize = 9;

/// What is told of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its account.
    pub account: AccountDigest,
    /// How much longer it is remembered.
    pub life: Duration,
    /// Runs that ended under it.
    pub ends: Vec<End>,
}

/// Which changes are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Those that this box made.
    Own,
    /// Those that it heard of, too.
    Any,
}

/// The requests under which runs of targets ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
}

impl Quarantine {
    /// Whether nothing is remembered, so that no request needs a look.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// What is held of a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let case = self.cases.get(&fingerprint);
        case.map_or(Verdict::Clear, Case::verdict)
    }

    /// A run ended under a request of `account`; yields the verdict if that is news.
    pub fn run_ended(
        &mut self,
        fingerprint: Fingerprint,
        account: AccountDigest,
        end: End,
        now: Instant,
    ) -> Option<Verdict> {
        let told = Told {
            fingerprint,
            account,
            life: CASE_LIFE,
            ends: vec![end],
        };
        if !self.merge(&told, Origin::Own, now) {
            return None;
        }
        Some(self.verdict(fingerprint))
    }

    /// A request had a whole answer, so the ends under it that are known were not its fault; yields whether that is news.
    pub fn acquit(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return false;
        };
        let is_news = case.acquit();
        if is_news {
            case.changed(Origin::Own, now);
        }
        is_news
    }

    /// A request was refused for what is held of it, so it goes on coming and is remembered longer.
    pub fn refused(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.expires = now + CASE_LIFE;
        }
    }

    /// Take in what another box told; yields whether something of it is news.
    pub fn hear(&mut self, told: &Told, now: Instant) -> bool {
        self.merge(told, Origin::Any, now)
    }

    fn merge(&mut self, told: &Told, origin: Origin, now: Instant) -> bool {
        let life = told.life.min(CASE_LIFE);
        if life.is_zero() || told.ends.is_empty() {
            return false;
        }
        if !self.cases.contains_key(&told.fingerprint) {
            self.make_room(told.account);
        }
        let case = self.cases.entry(told.fingerprint);
        let case = case.or_insert_with(|| Case::new(told.account, now));
        case.expires = case.expires.max(now + life);
        let is_news = case.merge(&told.ends);
        if is_news {
            case.changed(origin, now);
        }
        is_news
    }

    /// Forget what is old.
    pub fn remove_expired(&mut self, now: Instant) {
        self.cases.retain(|_, case| now < case.expires);
    }

    /// Forget a case where a new one of `account` would be one too many: of that account if it has its part, else of the
    /// one that has the most.
    fn make_room(&mut self, account: AccountDigest) {
        let mut counts: HashMap<AccountDigest, usize> = HashMap::new();
        for case in self.cases.values() {
            *counts.entry(case.account).or_default() += 1;
        }
        let own = counts.get(&account).copied().unwrap_or_default();
        let from = if own >= MOST_CASES_OF_ACCOUNT {
            Some(account)
        } else if self.cases.len() >= MOST_CASES {
            let largest = counts.into_iter().max_by_key(|(_, count)| *count);
            largest.map(|(account, _)| account)
        } else {
            None
        };
        if let Some(from) = from {
            self.forget_least(from);
        }
    }

    /// Forget the case of an account that matters least: one that stops nothing, then the one that would be forgotten first.
    fn forget_least(&mut self, account: AccountDigest) {
        let of_account = self
            .cases
            .iter()
            .filter(|(_, case)| case.account == account);
        let least = of_account.min_by_key(|(_, case)| (case.verdict(), case.expires));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.cases.remove(&least);
        }
    }

    /// What is held of a request.
    pub fn tell(&self, fingerprint: Fingerprint, now: Instant) -> Option<Told> {
        let case = self.cases.get(&fingerprint)?;
        Some(case.tell(fingerprint, now))
    }

    /// What has changed lately, for others; the newest that fits a message.
    pub fn changes(&self, origin: Origin, now: Instant) -> Vec<Told> {
        let is_told = |case: &Case| {
            let is_new = now.since(case.changed_at) < TOLD_AGAIN;
            is_new && (origin == Origin::Any || case.changed_by == Origin::Own)
        };
        let told = self.cases.iter().filter(|(_, case)| is_told(case));
        let mut told: Vec<(&Fingerprint, &Case)> = told.collect();
        told.sort_by_key(|(_, case)| std::cmp::Reverse(case.changed_at));
        told.truncate(CASES_TOLD);
        told.into_iter()
            .map(|(fingerprint, case)| case.tell(*fingerprint, now))
            .collect()
    }

    /// Page `number` of all that is remembered, counted round and round.
    pub fn page(&self, number: u64, now: Instant) -> Vec<Told> {
        let pages = self.cases.len().div_ceil(CASES_TOLD).max(1);
        let skipped = (number % pages as u64) as usize * CASES_TOLD;
        let page = self.cases.iter().skip(skipped).take(CASES_TOLD);
        page.map(|(fingerprint, case)| case.tell(*fingerprint, now))
            .collect()
    }
}
