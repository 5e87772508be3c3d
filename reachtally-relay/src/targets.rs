//! What becomes known of targets: their entries, their failures, and whether they are there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Entry, Evidence, RunOrder, TargetRun};
use tokio::sync::watch;

use crate::relay::Relay;
use crate::store::SpoiledEntry;
use crate::target;
use crate::wire::Statement;

/// Time for which the answer to whether a target is there holds, so that the streams of one engine
/// ask once.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Least time between two checks of a whole failure domain: a few dozen connections each.
const DOMAIN_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Changed entries of one read that get a log line each. A first list or a new plan changes nearly all of
/// them: with a line each, two in three lines of a quiet day with 295 boxes were of these.
const MOST_ENTRY_LINES: usize = 4;

/// An entry that was read, and what that shows.
type Shown = (Entry, Evidence);

impl Relay {
    /// A target wrote its entry.
    pub fn target_wrote(&self, entry: Entry) {
        self.targets_shown(vec![(entry, Evidence::Written)]);
    }

    /// Entries that were read together.
    pub fn targets_shown(&self, shown: Vec<Shown>) {
        let mut changed = Vec::new();
        let mut ended = Vec::new();
        for (entry, evidence) in shown {
            let id = entry.id.clone();
            let mut fleet = self.fleet.borrow_mut();
            let before = fleet.find(&id);
            let (key, is_news) = fleet.upsert(entry, evidence, self.now());
            ended.extend(before.filter(|before| *before != key));
            if is_news {
                self.changes.borrow_mut().note(id);
                changed.push(key);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.log_changed(&changed);
        self.touched();
        if !ended.is_empty() {
            log::info!(event = "targets-started-again", targets = ended.len(); "targets started again under their ids, and hold nothing of before");
            self.runs_ended.send_replace(ended);
        }
    }

    /// Follow the rows of targets whose runs are known to have ended, since they started again.
    pub(crate) fn runs_ended(&self) -> watch::Receiver<Vec<EngineKey>> {
        self.runs_ended.subscribe()
    }

    /// Count and log spoiled entries of one read.
    pub(crate) fn note_spoiled(&self, spoiled: &[SpoiledEntry]) {
        self.count(|tally| tally.entries_spoiled += spoiled.len() as u64);
        for entry in spoiled.iter().take(MOST_ENTRY_LINES) {
            log::warn!(event = "entry-spoiled", target = &*entry.id, why = &*entry.why; "an entry names no target: another writer spoiled it");
        }
        if spoiled.len() > MOST_ENTRY_LINES {
            log::warn!(event = "entries-spoiled", entries = spoiled.len(); "more entries of one read are spoiled than are logged each");
        }
    }

    fn log_changed(&self, changed: &[EngineKey]) {
        let fleet = self.fleet.borrow();
        let entries = changed
            .iter()
            .filter_map(|key| Some(&fleet.get(*key)?.entry));
        if changed.len() > MOST_ENTRY_LINES {
            let draining = entries.filter(|entry| entry.draining).count();
            log::info!(event = "targets", changed = changed.len(), draining = draining, known = fleet.iter().count(); "targets' entries changed");
            return;
        }
        for entry in entries {
            log::info!(event = "target", target = &*entry.id, address:% = entry.address, born = entry.born.map_or(0, |born| born.0), draining = entry.draining, layers:? = entry.layers; "a target's entry changed");
        }
    }

    /// A target's entry is gone: it has left, unless the store was away and took the entry with it.
    pub fn target_gone(&self, id: &str, may_lapse: bool) {
        log::info!(event = "target-gone", target = id, may_lapse = may_lapse; "a target's entry is gone");
        match may_lapse {
            true => self.target_lapsed(id),
            false => self.forget(id),
        }
    }

    /// A target's entry is missing, perhaps through the store's fault.
    pub fn target_lapsed(&self, id: &str) {
        if self.fleet.borrow_mut().miss(id, self.now()) {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    /// A target is not there any more.
    pub(crate) fn forget(&self, id: &str) {
        if self.fleet.borrow_mut().remove(id, self.now()).is_some() {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    /// Take over a whole list of targets.
    pub fn replace_targets(&self, entries: Vec<Entry>, may_lapse: bool) {
        let known = self.fleet.borrow().ids();
        let listed: Vec<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let shown = entries.into_iter().map(|entry| (entry, Evidence::Listed));
        self.targets_shown(shown.collect());
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.target_gone(id, may_lapse);
        }
    }

    /// Compare what is held with a list that may be older. Known runs stay as they are until they write again, but for those that
    /// leave: no run takes that back.
    pub(crate) fn compare_targets(&self, listed: Vec<Entry>) {
        let shown = listed
            .into_iter()
            .filter_map(|entry| self.newer_than_held(entry));
        let shown: Vec<Shown> = shown.map(|entry| (entry, Evidence::Listed)).collect();
        self.targets_shown(shown);
    }

    /// The part of an entry of unknown age that is newer than what is held.
    fn newer_than_held(&self, entry: Entry) -> Option<Entry> {
        let fleet = self.fleet.borrow();
        let held = fleet.find(&entry.id).and_then(|key| fleet.get(key));
        let Some(held) = held else {
            return Some(entry);
        };
        match entry.run_since(&held.entry) {
            RunOrder::Later => Some(entry),
            RunOrder::Same if entry.draining => Some(Entry {
                draining: true,
                ..held.entry.clone()
            }),
            RunOrder::Same | RunOrder::Earlier => None,
        }
    }

    /// Forget targets whose entries did not come back in time.
    pub fn drop_missing(&self) {
        let patience = self.rhythm().missing_patience;
        let missing = self.fleet.borrow().missing(self.now(), patience);
        for id in missing {
            self.forget(&id);
        }
    }

    /// Count a failure of a target.
    pub fn target_failed(&self, key: EngineKey, why: &str) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get(key) else {
            return;
        };
        log::info!(event = "target-failed", target = &*engine.entry.id, address:% = engine.entry.address, why = why; "hold off a target");
        fleet.failed(key, self.now());
        self.count(|tally| tally.target_failures += 1);
    }

    /// A target does not hold what its entry says, so it is left alone until that changes.
    pub fn target_contradicted(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-contradicted", target = &*engine.entry.id, address:% = engine.entry.address, layers:? = engine.entry.layers; "a target does not hold what its entry says");
            engine.health.contradicted(now);
        }
    }

    /// A target refused a request because it is full.
    pub fn target_refused(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-refused", target = &*engine.entry.id, layers:? = engine.entry.layers, running = engine.running, elsewhere = engine.running_elsewhere as u64, tokens = engine.tokens as u64, tokens_elsewhere = engine.tokens_elsewhere as u64; "a target has no room");
            engine.health.refused(now);
        }
    }

    /// Keep what a target says of itself in an answer.
    pub fn target_said(&self, run: &TargetRun, said: Statement) {
        if let Some(rest) = said.rest {
            self.target_rests(run, rest);
        }
        if said.is_leaving {
            self.target_leaves(run);
        }
    }

    /// A target leaves: it gets nothing more from this box, whatever its entry says.
    fn target_leaves(&self, run: &TargetRun) {
        let mut is_news = false;
        self.fleet.borrow_mut().note(run, self.now(), |notice| {
            is_news = !notice.is_leaving();
            notice.leave();
        });
        if is_news {
            log::info!(event = "target-leaves", target = &*run.id; "a target said in an answer that it leaves");
        }
    }

    /// A target wants nothing from this box for `rest`.
    fn target_rests(&self, run: &TargetRun, rest: Duration) {
        let now = self.now();
        self.count(|tally| tally.rests_asked += 1);
        log::info!(event = "target-rests", target = &*run.id, rest_ms = rest.as_millis() as u64; "a target wants nothing from this box for a time");
        let mut fleet = self.fleet.borrow_mut();
        fleet.note(run, now, |notice| notice.rest(now + rest));
    }

    /// Count a send to a target that wants none at present.
    pub(crate) fn count_in_rest(&self, key: EngineKey) {
        let fleet = self.fleet.borrow();
        let now = self.now();
        if fleet
            .get(key)
            .is_some_and(|engine| engine.notice.is_resting(now))
        {
            self.count(|tally| tally.sends_in_rest += 1);
        }
    }

    /// A target took no connection.
    pub fn target_dead(&self, key: EngineKey) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get_mut(key) else {
            return;
        };
        if !engine.health.is_dead() {
            log::info!(event = "target-dead", target = &*engine.entry.id, address:% = engine.entry.address; "a target takes no connections");
            self.count(|tally| tally.targets_found_dead += 1);
        }
        engine.health.found_dead(now);
    }

    /// A target said nothing when a connection was opened. A packet may have been lost, or the whole failure
    /// domain may be cut off; so all targets there are asked at once, and none is used until it answered.
    pub fn target_silent(self: &Rc<Self>, key: EngineKey) {
        self.target_refused(key);
        let Some(domain) = self.domain_of(key) else {
            return;
        };
        if !self.may_check(&domain) {
            return;
        }
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let targets = relay.targets_in(&domain);
            let dead = relay.dead_of(&targets).await.len();
            log::info!(event = "domain-checked", domain = &*domain, targets = targets.len(), dead = dead; "a target was silent, so all of its failure domain were asked");
        });
    }

    /// Where a target listens, if it is known.
    pub(crate) fn address_of(&self, key: EngineKey) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.address)
    }

    fn domain_of(&self, key: EngineKey) -> Option<Arc<str>> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.domain.clone())
    }

    /// Targets of a failure domain that are not known to be dead.
    fn targets_in(&self, domain: &str) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let there = fleet
            .iter()
            .filter(|(_, engine)| &*engine.entry.domain == domain && !engine.health.is_dead());
        there.map(|(key, _)| key).collect()
    }

    /// Whether a failure domain was not asked lately; notes that it is now.
    fn may_check(&self, domain: &Arc<str>) -> bool {
        let now = self.now();
        let mut checked = self.domains_checked.borrow_mut();
        let is_due = checked
            .get(domain)
            .is_none_or(|at| now.since(*at) >= DOMAIN_CHECK_INTERVAL);
        if is_due {
            checked.insert(domain.clone(), now);
        }
        is_due
    }

    /// Those of `engines` that take no connections. Each is asked at most every [`CHECK_INTERVAL`].
    pub async fn dead_of(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let now = self.now();
        let checks = engines.iter().map(|key| async move {
            let known = self
                .fleet
                .borrow()
                .get(*key)
                .map(|engine| (engine.entry.address, engine.health));
            let Some((address, health)) = known else {
                return Some(*key);
            };
            let is_recent = |at: Instant| now.since(at) < CHECK_INTERVAL;
            if health.is_dead() {
                return Some(*key);
            }
            if health.alive_at().is_some_and(is_recent) {
                return None;
            }
            match target::is_there(address).await {
                true => {
                    self.target_there(*key);
                    None
                }
                false => {
                    self.target_dead(*key);
                    Some(*key)
                }
            }
        });
        futures::future::join_all(checks)
            .await
            .into_iter()
            .flatten()
            .collect()
    }

    /// Those of `engines` that are gone or known to be dead, here or by several other boxes.
    pub fn known_dead(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let is_dead = |key: &&EngineKey| {
            fleet
                .get(**key)
                .is_none_or(|engine| engine.health.is_dead() || engine.is_silent_elsewhere())
        };
        engines.iter().filter(is_dead).copied().collect()
    }

    /// Ask a dead target whether it is back.
    pub async fn ask_dead(&self, key: EngineKey) {
        let Some(address) = self.address_of(key) else {
            return;
        };
        if target::is_there(address).await {
            log::info!(event = "target-back", address:% = address; "a dead target takes connections again");
            self.target_there(key);
        }
    }

    fn target_there(&self, key: EngineKey) {
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.found_alive(self.now());
        }
    }
}
