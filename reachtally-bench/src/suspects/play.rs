//! One play: a culprit, ordinary crashes, and a request that many callers share.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::loads::Message;
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, Quarantine, RunDigest, SuspectReport, Verdict,
};
use reachtally_protocol::load;

use crate::timeline::Timeline;

/// Failure domains; the first box of each collects.
const DOMAINS: usize = 5;
/// How long a play lasts, in µs.
const PLAY_US: u64 = 30_000_000;
/// Time between two reports of a box, as the relay has it.
const REPORT_US: u64 = 200_000;
/// Time of a datagram.
const DELAY_US: u64 = 1_000;
/// Time between two attempts of the culprit.
const ATTEMPT_US: u64 = 700_000;
/// Longest time until an engine begins a request.
const WAIT_US: u64 = 300_000;
/// Time from its begin to the engine's end.
const CRASH_US: u64 = 50_000;
/// Sends of one attempt.
const SENDS: u32 = 2;
/// Time between two ordinary crashes.
const ORDINARY_US: u64 = 1_500_000;
/// Innocent requests that an engine had just begun when it ended, at most.
const BEGUN: u32 = 3;
/// Of this many ordinary crashes one takes the shared request along.
const SHARED_OF: u32 = 2;
/// Time between two requests of the shared kind; each is answered whole where it isn't refused.
const SHARED_US: u64 = 40_000;
/// Time in which all boxes must know, after the third end.
const CONTACT_US: u64 = 3_000_000;
/// The part of the innocents that are sent again to an engine which ends too.
const UNLUCKY: f64 = 0.01;
/// Innocent requests for each one that was begun at an end; the others are no suspects.
const OTHERS: u64 = 90;

const CULPRIT: Fingerprint = Fingerprint([1; 16]);
const SHARED: Fingerprint = Fingerprint([2; 16]);
const ACCOUNT: AccountDigest = AccountDigest(1);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Number of boxes.
    pub boxes: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Seed of all draws.
    pub seed: u64,
}

/// What was seen, of one play or of several.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Plays.
    pub plays: u64,
    /// Engines that ended under the culprit.
    pub ends: u64,
    /// Most of one play.
    pub most_ends: u64,
    /// Sends of the culprit beyond [`CONTACT_US`] after the third end.
    pub late_sends: u64,
    /// Time from the first box that stopped it until all had, in ms.
    pub known_ms: f64,
    /// Innocent requests, and those of them that were refused.
    pub innocents: u64,
    /// See there.
    pub innocents_refused: u64,
    /// Bytes a second of the box and of the collector that had most of them.
    pub box_bytes: f64,
    /// See there.
    pub collector_bytes: f64,
}

impl Seen {
    /// Add what another play showed.
    pub fn add(&mut self, other: &Seen) {
        self.plays += other.plays;
        self.ends += other.ends;
        self.most_ends = self.most_ends.max(other.ends);
        self.late_sends += other.late_sends;
        self.known_ms += other.known_ms;
        self.innocents += other.innocents;
        self.innocents_refused += other.innocents_refused;
        self.box_bytes += other.box_bytes;
        self.collector_bytes += other.collector_bytes;
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A box reports, and tells what it has to tell.
    Report(usize),
    /// A datagram arrives, by its place in the post.
    Arrival(usize),
    /// The culprit's caller comes to a box.
    Attempt,
    /// A box's send of the culprit ends its engine, if it is still there.
    Crash { at: usize, sends: u32 },
    /// An engine ends without any request's fault.
    Ordinary,
    /// A request of the shared kind comes to a box.
    Shared,
}

struct Datagram {
    from: usize,
    to: usize,
    told: Vec<SuspectReport>,
}

/// One play.
pub struct Play {
    setting: Setting,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    post: Vec<Option<Datagram>>,
    tables: Vec<Quarantine>,
    bytes: Vec<u64>,
    next_run: u32,
    next_innocent: u64,
    stopped_us: HashMap<usize, u64>,
    third_end_us: Option<u64>,
    seen: Seen,
}

impl Play {
    /// A play that has not begun.
    pub fn new(setting: Setting) -> Self {
        let mut play = Play {
            setting,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            timeline: Timeline::new(),
            post: Vec::new(),
            tables: (0..setting.boxes).map(|_| Quarantine::default()).collect(),
            bytes: vec![0; setting.boxes],
            next_run: 0,
            next_innocent: 0,
            stopped_us: HashMap::new(),
            third_end_us: None,
            seen: Seen::default(),
        };
        for at in 0..setting.boxes {
            let first = play.rng.random_range(0..REPORT_US);
            play.timeline.schedule(first, Event::Report(at));
        }
        play.timeline.schedule(ATTEMPT_US, Event::Attempt);
        play.timeline.schedule(ORDINARY_US, Event::Ordinary);
        play.timeline.schedule(SHARED_US, Event::Shared);
        play
    }

    /// Play it.
    pub fn run(mut self) -> Seen {
        while let Some(event) = self.timeline.next_before(PLAY_US) {
            self.happen(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Seen {
        let first = self.stopped_us.values().min().copied().unwrap_or_default();
        let last = self.stopped_us.values().max().copied().unwrap_or_default();
        let last = match self.stopped_us.len() == self.setting.boxes {
            true => last,
            false => PLAY_US,
        };
        let per_second = |bytes: u64| bytes as f64 / (PLAY_US as f64 / 1e6);
        let collectors = DOMAINS.min(self.setting.boxes);
        let most = |bytes: &[u64]| bytes.iter().max().copied().unwrap_or_default();
        self.seen.plays = 1;
        self.seen.known_ms = (last - first) as f64 / 1e3;
        self.seen.collector_bytes = per_second(most(&self.bytes[..collectors]));
        self.seen.box_bytes = per_second(most(&self.bytes[collectors..]));
        self.seen
    }

    fn any_box(&mut self) -> usize {
        self.rng.random_range(0..self.setting.boxes)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Report(at) => {
                self.tell(at, None);
                self.timeline.schedule(REPORT_US, Event::Report(at));
            }
            Event::Arrival(place) => self.arrive(place),
            Event::Attempt => {
                let at = self.any_box();
                self.send(at, 0);
                self.timeline.schedule(ATTEMPT_US, Event::Attempt);
            }
            Event::Crash { at, sends } => self.crash(at, sends),
            Event::Ordinary => {
                self.end_run(SHARED_OF);
                self.timeline.schedule(ORDINARY_US, Event::Ordinary);
            }
            Event::Shared => {
                self.ask_shared();
                self.timeline.schedule(SHARED_US, Event::Shared);
            }
        }
    }

    fn is_stopped(&self, at: usize, request: Fingerprint) -> bool {
        self.tables[at].verdict(request) == Verdict::Quarantined
    }

    /// Box `at` sends the culprit, unless it knows better.
    fn send(&mut self, at: usize, sends: u32) {
        if sends >= SENDS || self.is_stopped(at, CULPRIT) {
            return;
        }
        let is_late = |third: u64| self.timeline.now_us() > third + CONTACT_US;
        self.seen.late_sends += u64::from(self.third_end_us.is_some_and(is_late));
        let wait = self.rng.random_range(0..WAIT_US);
        let sends = sends + 1;
        self.timeline
            .schedule(wait + CRASH_US, Event::Crash { at, sends });
    }

    /// The engine ends, unless its box has left it meanwhile.
    fn crash(&mut self, at: usize, sends: u32) {
        if self.is_stopped(at, CULPRIT) {
            return;
        }
        self.seen.ends += 1;
        if self.seen.ends == 3 {
            self.third_end_us = Some(self.timeline.now_us());
        }
        let run = self.end_run(u32::MAX);
        self.note_end(at, CULPRIT, run);
        self.send(at, sends);
    }

    /// An engine ends and takes innocent requests along that it had just begun; of `shared_of` ends one the shared request.
    fn end_run(&mut self, shared_of: u32) -> RunDigest {
        self.next_run += 1;
        let run = RunDigest(self.next_run);
        for _ in 0..self.rng.random_range(0..=BEGUN) {
            let at = self.any_box();
            self.seen.innocents += OTHERS;
            self.next_innocent += 1;
            let mut bytes = [3; 16];
            bytes[..8].copy_from_slice(&self.next_innocent.to_be_bytes());
            self.note_end(at, Fingerprint(bytes), run);
            if self.rng.random_bool(UNLUCKY) {
                self.next_run += 1;
                self.note_end(at, Fingerprint(bytes), RunDigest(self.next_run));
                self.seen.innocents_refused += u64::from(self.is_stopped(at, Fingerprint(bytes)));
            }
        }
        if self.rng.random_range(0..shared_of) == 0 {
            let at = self.any_box();
            self.note_end(at, SHARED, run);
        }
        run
    }

    fn ask_shared(&mut self) {
        let (at, now) = (self.any_box(), self.timeline.clock());
        self.seen.innocents += 1;
        if self.is_stopped(at, SHARED) {
            self.seen.innocents_refused += 1;
            return;
        }
        if self.tables[at].clear_suspicion(SHARED, now) {
            self.tell(at, None);
        }
    }

    fn note_end(&mut self, at: usize, request: Fingerprint, run: RunDigest) {
        let now = self.timeline.clock();
        let end = CrashRecord {
            run,
            had_begun: true,
            is_acquitted: false,
        };
        if self.tables[at]
            .record_crash(request, ACCOUNT, end, now)
            .is_some()
        {
            self.tell(at, None);
        }
        self.note_stopped(at);
    }

    fn note_stopped(&mut self, at: usize) {
        if self.is_stopped(at, CULPRIT) {
            self.stopped_us.entry(at).or_insert(self.timeline.now_us());
        }
    }

    /// Tell what has changed: a box its collector, a collector all that report to it and the others.
    fn tell(&mut self, at: usize, from: Option<usize>) {
        let now = self.timeline.clock();
        let collectors = DOMAINS.min(self.setting.boxes);
        if at >= collectors {
            let told = self.tables[at].changes(ChangeOrigin::Own, now);
            return self.post(at, at % collectors, &told);
        }
        let told = self.tables[at].changes(ChangeOrigin::Any, now);
        let reporters = (at..self.setting.boxes).step_by(collectors).skip(1);
        for to in reporters.chain(0..collectors) {
            if to != at && Some(to) != from {
                self.post(at, to, &told);
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, told: &[SuspectReport]) {
        if told.is_empty() {
            return;
        }
        let told = told.to_vec();
        let bytes = load::encode(&Message::Suspects(told.clone())).len() as u64;
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        if self.rng.random_bool(self.setting.loss) {
            return;
        }
        let place = self.post.len();
        self.post.push(Some(Datagram { from, to, told }));
        self.timeline.schedule(DELAY_US, Event::Arrival(place));
    }

    fn arrive(&mut self, place: usize) {
        let now = self.timeline.clock();
        let Some(Datagram { from, to, told }) = self.post[place].take() else {
            return;
        };
        let heard = told.iter().map(|told| self.tables[to].receive(told, now));
        let is_news = heard.fold(false, |any, news| any | news);
        self.note_stopped(to);
        if is_news && to < DOMAINS {
            self.tell(to, Some(from));
        }
    }
}
