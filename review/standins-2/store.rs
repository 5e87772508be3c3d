//! The platform's store, as a log with keyed topics and groups of members.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Request};

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// It accepts connections and says nothing.
    Silent,
    /// It answers 503.
    Busy,
}

#[derive(Debug, Clone, Default)]
struct Log {
    records: Vec<Vec<u8>>,
}

#[derive(Debug, Clone)]
struct Member {
    until: Instant,
    topics: Vec<String>,
}

#[derive(Debug, Clone, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Who holds each partition.
    owners: BTreeMap<(String, u32), String>,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
pub struct Content {
    topics: HashMap<String, Log>,
    groups: HashMap<String, Group>,
}

struct State {
    content: Content,
    mode: Mode,
    era: u64,
    /// Number of changes of mode: a call that was read under an earlier one gets no answer.
    epoch: u64,
}

const PARTS: u32 = 8;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Group {
    /// Removes silent members, and deals the partitions of those that are gone.
    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| now < member.until);
        if self.members.len() != before {
            self.generation += 1;
            self.deal(None);
        }
    }

    fn wanted(&self) -> BTreeMap<(String, u32), String> {
        let names: Vec<&String> = self.members.keys().collect();
        let mut topics: Vec<&String> = self.members.values().flat_map(|one| &one.topics).collect();
        topics.sort();
        topics.dedup();
        let mut wanted = BTreeMap::new();
        if names.is_empty() {
            return wanted;
        }
        let parts = topics.into_iter().flat_map(|topic| (0..PARTS).map(move |part| (topic, part)));
        for (number, (topic, part)) in parts.enumerate() {
            let name = names[number % names.len()].clone();
            wanted.insert((topic.clone(), part), name);
        }
        wanted
    }

    /// Passes partitions on: those that nobody holds any more, and those that `releasing` holds and is not to hold.
    fn deal(&mut self, releasing: Option<&str>) {
        let wanted = self.wanted();
        let members = &self.members;
        self.owners.retain(|_, owner| members.contains_key(owner));
        for (part, name) in wanted {
            let is_free = match self.owners.get(&part) {
                None => true,
                Some(owner) => Some(owner.as_str()) == releasing,
            };
            if is_free {
                self.owners.insert(part, name);
            }
        }
    }

    fn join(&mut self, name: &str, topics: Vec<String>, ttl: Duration, known: u64, now: Instant) {
        self.expire(now);
        let is_new = !self.members.contains_key(name);
        let until = now + ttl;
        self.members.insert(name.to_owned(), Member { until, topics });
        if is_new {
            self.generation += 1;
        }
        let before = self.owners.clone();
        self.deal((known >= self.generation).then_some(name));
        // What passes to another member is a change of the group too.
        if self.owners != before {
            self.generation += 1;
        }
    }

    fn parts_of(&self, name: &str) -> Vec<(String, u32)> {
        let wanted = self.wanted();
        let held = self.owners.iter().filter(|(part, owner)| *owner == name && wanted.get(*part) == Some(owner));
        held.map(|(part, _)| part.clone()).collect()
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let state = State {
            content: Content::default(),
            mode: Mode::Up,
            era: 1,
            epoch: 0,
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Conn::new(stream), None));
            }
        });
        store
    }

    /// Serves at another address, where `from` in the engines' addresses reads `to`, which is as long: a machine that reaches the
    /// engines over links of its own sees these.
    pub fn serve_view(&self, address: SocketAddr, from: &str, to: &str) {
        assert_eq!(from.len(), to.len());
        let listener = TcpListener::bind(address).expect("the port of the view is free");
        let (store, view) = (self.clone(), (from.as_bytes().to_vec(), to.as_bytes().to_vec()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), view.clone());
                thread::spawn(move || store.serve(Conn::new(stream), Some(&view)));
            }
        });
    }

    pub fn set_mode(&self, mode: Mode) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.mode = mode;
        state.epoch += 1;
        changed.notify_all();
    }

    /// Writes a record of the operator or of an engine; an empty value drops the key. `false` while the store is away.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.mode != Mode::Up {
            return false;
        }
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let log = state.content.topics.entry(topic.to_owned()).or_default();
        log.records.push(record);
        changed.notify_all();
        true
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> Content {
        self.state.0.lock().unwrap().content.clone()
    }

    /// Comes back from a copy that was made at `made_at`. The times of members have waited meanwhile.
    pub fn restore(&self, mut copy: Content, made_at: Instant) {
        for member in copy.groups.values_mut().flat_map(|group| group.members.values_mut()) {
            member.until += made_at.elapsed();
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.epoch += 1;
        state.mode = Mode::Up;
        changed.notify_all();
    }

    fn serve(&self, mut conn: Conn, view: Option<&View>) {
        while let Some(request) = conn.request() {
            let epoch = {
                let state = self.state.0.lock().unwrap();
                match state.mode {
                    Mode::Silent => None,
                    _ => Some(state.epoch),
                }
            };
            // Once an answer is lost on a connection, that connection says nothing more.
            let Some(epoch) = epoch else {
                return self.keep_silent(conn);
            };
            thread::sleep(Duration::from_millis(2));
            let Some((status, body, era)) = self.answer(&request, epoch, view) else {
                return self.keep_silent(conn);
            };
            let headers = [("Store-Era", era.to_string()), ("Content-Type", "application/json".to_owned())];
            if !conn.respond(status, &headers, &body) {
                return;
            }
        }
    }

    fn keep_silent(&self, mut conn: Conn) {
        while conn.request().is_some() {}
    }

    /// Answers a call; `None` if the store went away meanwhile.
    fn answer(&self, request: &Request, epoch: u64, view: Option<&View>) -> Option<(u16, Vec<u8>, u64)> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.epoch != epoch && state.mode == Mode::Silent {
            return None;
        }
        if state.mode == Mode::Busy {
            return Some((503, Vec::new(), state.era));
        }
        let topic = request.query("topic").unwrap_or_default();
        let (status, body) = match request.path() {
            "/log-newest" => (200, newest(&state.content, &topic, request.query("After"), view)),
            "/log-read" => {
                let from: u64 = request.query("From")?.parse().ok()?;
                let wait: u64 = request.query("WaitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let epoch = state.epoch;
                loop {
                    let held = state.content.topics.get(&topic).map_or(0, |log| log.records.len() as u64);
                    let now = Instant::now();
                    if from != held || now >= end || state.epoch != epoch {
                        break;
                    }
                    (state, _) = changed.wait_timeout(state, end - now).unwrap();
                }
                match state.mode {
                    Mode::Silent => return None,
                    Mode::Busy => (503, Vec::new()),
                    Mode::Up => read(&state.content, &topic, from, view),
                }
            }
            "/log-append" => {
                let log = state.content.topics.entry(topic).or_default();
                let first = log.records.len();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    log.records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = log.records.len();
                changed.notify_all();
                (200, format!("{{\"offset\":{first},\"end\":{end}}}").into_bytes())
            }
            "/log-join" => (200, join(&mut state.content, &request.body)),
            "/log-owners" => (200, owners(&mut state.content, &request.query("group").unwrap_or_default())),
            _ => (404, Vec::new()),
        };
        Some((status, body, state.era))
    }
}

/// What is written in place of what.
type View = (Vec<u8>, Vec<u8>);

fn seen(record: &[u8], view: Option<&View>) -> Vec<u8> {
    let mut seen = record.to_vec();
    if let Some((from, to)) = view {
        while let Some(at) = seen.windows(from.len()).position(|part| part == from) {
            seen[at..at + to.len()].copy_from_slice(to);
        }
    }
    seen
}

fn read(content: &Content, topic: &str, from: u64, view: Option<&View>) -> (u16, Vec<u8>) {
    let none = Log::default();
    let log = content.topics.get(topic).unwrap_or(&none);
    let end = log.records.len() as u64;
    if from > end {
        return (410, b"{\"first\":0}".to_vec());
    }
    let mut body = Vec::new();
    body.extend_from_slice(&end.to_be_bytes());
    body.extend_from_slice(&0u64.to_be_bytes());
    for record in &log.records[from as usize..] {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(&seen(record, view));
        if body.len() > 900_000 {
            break;
        }
    }
    (200, body)
}

fn newest(content: &Content, topic: &str, after: Option<String>, view: Option<&View>) -> Vec<u8> {
    let none = Log::default();
    let log = content.topics.get(topic).unwrap_or(&none);
    let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
    for (offset, record) in log.records.iter().enumerate() {
        let length = record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
        newest.insert(key, (offset, &record[1 + length..]));
    }
    let is_later = |key: &String| after.as_ref().is_none_or(|after| key > after);
    let items: Vec<String> = newest
        .iter()
        .filter(|(key, (_, value))| !value.is_empty() && is_later(key))
        .map(|(key, (offset, value))| {
            format!("{{\"TlsKey\":\"{key}\",\"Value\":\"{}\",\"offset\":{offset}}}", base64(&seen(value, view)))
        })
        .collect();
    let end = log.records.len();
    format!("{{\"Items\":[{}],\"more\":false,\"end\":{end}}}", items.join(",")).into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut number = 0u32;
        for at in 0..3 {
            number = number << 8 | u32::from(*three.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            if at <= three.len() {
                text.push(SIGNS[(number >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the text of a field, or the number as text.
pub fn field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[at..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(text[..text.find('"')?].to_owned()),
        None => Some(rest[..rest.find([',', '}', ']'])?].trim().to_owned()),
    }
}

fn join(content: &mut Content, body: &[u8]) -> Vec<u8> {
    let json = String::from_utf8_lossy(body).into_owned();
    let name = field(&json, "member").unwrap_or_default();
    let known = field(&json, "generation").and_then(|n| n.parse().ok()).unwrap_or(0);
    let ttl = field(&json, "ttl_ms").and_then(|n| n.parse().ok()).unwrap_or(3000);
    let topics = json.find("\"topics\":[").map_or(Vec::new(), |at| {
        let rest = &json[at + 10..];
        let list = &rest[..rest.find(']').unwrap_or(0)];
        list.split(',').map(|topic| topic.trim_matches('"').to_owned()).collect()
    });
    let group = content.groups.entry(field(&json, "group").unwrap_or_default()).or_default();
    group.join(&name, topics, Duration::from_millis(ttl), known, Instant::now());
    let parts: Vec<String> = group
        .parts_of(&name)
        .iter()
        .map(|(topic, part)| format!("[\"{topic}\",{part},0]"))
        .collect();
    format!("{{\"generation\":{},\"ttl_ms\":{ttl},\"parts\":[{}]}}", group.generation, parts.join(",")).into_bytes()
}

fn owners(content: &mut Content, group: &str) -> Vec<u8> {
    let Some(group) = content.groups.get_mut(group) else {
        return b"[]".to_vec();
    };
    group.expire(Instant::now());
    let rows: Vec<String> = group
        .owners
        .iter()
        .map(|((topic, part), owner)| format!("[\"{topic}\",{part},\"{owner}\",0]"))
        .collect();
    format!("[{}]", rows.join(",")).into_bytes()
}
