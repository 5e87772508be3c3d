//! A stand-in of the platform's store: a log with keyed topics and one consumer group, in memory.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Request};

/// Partitions of each topic.
const PARTS: usize = 8;

type Record = (Vec<u8>, Vec<u8>);

#[derive(Clone)]
struct Member {
    expires: Instant,
    joined: u64,
}

#[derive(Clone, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Holder of each partition, by topic.
    holders: BTreeMap<(usize, usize), String>,
    topics: Vec<String>,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
pub struct Content {
    topics: BTreeMap<String, Vec<Record>>,
    group: Group,
}

struct State {
    content: Content,
    era: u64,
    is_away: bool,
}

/// The store.
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("it is bound"),
            state: Mutex::new(State {
                content: Content::default(),
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        http::serve(
            listener,
            Arc::new(move |request, to| serving.respond(&request, to)),
        );
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with it")
    }

    /// Writes a record; the return is the acknowledgement. An empty value drops the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let records = state.content.topics.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        drop(state);
        self.changed.notify_all();
    }

    /// Returns a copy.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// The store goes away: it answers 503 until it comes back.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// The store comes back from a copy, in its next era. Members of the group get a new time to live.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.lock();
        state.content = copy;
        let expires = Instant::now() + Duration::from_secs(3);
        let members = state.content.group.members.values_mut();
        members.for_each(|member| member.expires = expires);
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn respond(&self, request: &Request, to: &mut TcpStream) -> io::Result<bool> {
        let (status, body) = self.handle(request);
        let headers = format!("Store-Era: {}\r\n", self.lock().era);
        http::answer(to, status, &headers, &body)?;
        Ok(true)
    }

    fn handle(&self, request: &Request) -> (&'static str, Vec<u8>) {
        if self.lock().is_away {
            return AWAY;
        }
        let topic = request.field("topic");
        match request.path.as_str() {
            "/log-newest" => self.newest(&topic, &request.field("After")),
            "/log-read" => self.read(request, &topic),
            "/log-append" if topic == "keyed.servers" => ("403 Forbidden", Vec::new()),
            "/log-append" => self.append(&topic, &request.body),
            "/log-join" => self.join(&String::from_utf8_lossy(&request.body)),
            "/log-owners" => self.owners(),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> (&'static str, Vec<u8>) {
        let state = self.lock();
        let records = state
            .content
            .topics
            .get(topic)
            .map_or(&[][..], Vec::as_slice);
        let mut latest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value.is_empty() {
                true => latest.remove(key.as_slice()),
                false => latest.insert(key, (offset, value)),
            };
        }
        let items = latest.iter().filter(|(key, _)| **key > after.as_bytes());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let (key, value) = (String::from_utf8_lossy(key), base64(value));
                format!(r#"{{"TlsKey":"{key}","Value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let end = records.len();
        let body = format!(
            r#"{{"Items":[{}],"more":false,"end":{end}}}"#,
            items.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn read(&self, request: &Request, topic: &str) -> (&'static str, Vec<u8>) {
        let from: usize = request.field("From").parse().unwrap_or(0);
        let wait: u64 = request.field("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away {
                return AWAY;
            }
            let records = state
                .content
                .topics
                .get(topic)
                .map_or(&[][..], Vec::as_slice);
            if from > records.len() || era != state.era {
                return ("410 Gone", br#"{"first":0}"#.to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return ("200 OK", body);
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("no thread panics with it")
                .0;
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut state = self.lock();
        let records = state.content.topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while let Some((length, rest)) = body.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
            let Some((record, rest)) = rest.split_at_checked(length) else {
                break;
            };
            let key_length = record[0] as usize;
            records.push((
                record[1..=key_length].to_vec(),
                record[1 + key_length..].to_vec(),
            ));
            body = rest;
        }
        let answer = format!(r#"{{"offset":{offset},"end":{}}}"#, records.len());
        drop(state);
        self.changed.notify_all();
        ("200 OK", answer.into_bytes())
    }

    fn join(&self, call: &str) -> (&'static str, Vec<u8>) {
        let member = text_field(call, "member");
        let ttl = number_field(call, "ttl_ms");
        let known = number_field(call, "generation");
        let mut state = self.lock();
        let group = &mut state.content.group;
        if group.topics.is_empty() {
            group.topics = text_list(call, "topics");
        }
        group.expire();
        let expires = Instant::now() + Duration::from_millis(ttl);
        if group
            .members
            .insert(
                member.clone(),
                Member {
                    expires,
                    joined: known,
                },
            )
            .is_none()
        {
            group.generation += 1;
        }
        group.deal();
        let is_own = |(row, holder): &(&(usize, usize), &String)| {
            **holder == member && group.due(**row) == Some(member.as_str())
        };
        let rows: Vec<String> = group
            .holders
            .iter()
            .filter(is_own)
            .map(|((topic, part), _)| format!(r#"["{}",{part},0]"#, group.topics[*topic]))
            .collect();
        let generation = group.generation;
        let body = format!(
            r#"{{"generation":{generation},"ttl_ms":{ttl},"parts":[{}]}}"#,
            rows.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn owners(&self) -> (&'static str, Vec<u8>) {
        let mut state = self.lock();
        let group = &mut state.content.group;
        group.expire();
        let dealt =
            (0..group.topics.len()).flat_map(|topic| (0..PARTS).map(move |part| (topic, part)));
        let rows: Vec<String> = dealt
            .filter_map(|row| Some((row, group.due(row)?)))
            .map(|((topic, part), member)| {
                format!(r#"["{}",{part},"{member}",0]"#, group.topics[topic])
            })
            .collect();
        let body = format!(
            r#"{{"generation":{},"parts":[{}]}}"#,
            group.generation,
            rows.join(",")
        );
        ("200 OK", body.into_bytes())
    }
}

const AWAY: (&str, Vec<u8>) = ("503 Service Unavailable", Vec::new());

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| now <= member.expires);
        if self.members.len() != before {
            self.generation += 1;
            self.deal();
        }
    }

    /// Returns the member that a partition is dealt to; all are dealt evenly.
    fn due(&self, (topic, part): (usize, usize)) -> Option<&str> {
        let count = self.members.len().max(1);
        let mut names = self.members.keys();
        names
            .nth((topic * PARTS + part) % count)
            .map(String::as_str)
    }

    /// Passes partitions on to the members that they are dealt to, once their holders are gone or have joined with the current
    /// generation.
    fn deal(&mut self) {
        for topic in 0..self.topics.len() {
            for part in 0..PARTS {
                let row = (topic, part);
                let holder = self.holders.get(&row);
                let holder = holder.and_then(|holder| self.members.get(holder));
                let is_free = holder.is_none_or(|holder| holder.joined >= self.generation);
                match self.due(row).map(str::to_owned) {
                    Some(due) if is_free => drop(self.holders.insert(row, due)),
                    Some(_) => {}
                    None => drop(self.holders.remove(&row)),
                }
            }
        }
    }
}

/// Returns the text of a field of a flat JSON object.
fn text_field(json: &str, name: &str) -> String {
    let after = json
        .split_once(&format!("\"{name}\":\""))
        .map_or("", |(_, after)| after);
    after.split('"').next().unwrap_or_default().to_owned()
}

fn number_field(json: &str, name: &str) -> u64 {
    let after = json
        .split_once(&format!("\"{name}\":"))
        .map_or("", |(_, after)| after);
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn text_list(json: &str, name: &str) -> Vec<String> {
    let after = json
        .split_once(&format!("\"{name}\":["))
        .map_or("", |(_, after)| after);
    let list = after.split(']').next().unwrap_or_default();
    list.split(',')
        .map(|item| item.trim_matches('"').to_owned())
        .collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
