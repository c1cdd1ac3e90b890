//! The platform's store.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{Json, number, object, text};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    rev: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Instance that last wrote a key under a lease.
    leader: Option<usize>,
}

/// A store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.events.push(Event { key: key.to_string(), rev: self.rev, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_string(), rev: self.rev, item: None });
        }
    }
}

fn item_json(key: &str, item: &Item) -> Vec<(&'static str, Json)> {
    vec![
        ("Key", text(key)),
        ("Value", text(&item.value)),
        ("Rev", number(item.rev)),
        ("CreateRevision", number(item.created)),
        ("Lease", number(item.lease)),
    ]
}

impl Store {
    pub fn new() -> Store {
        let store = Store::default();
        store.state.lock().unwrap().rev = 100;
        store.state.lock().unwrap().next_lease = 1_000;
        store
    }

    /// Writes a key for the operator or a worker.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key of the operator or a worker.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// The instance that last wrote a key under a lease.
    pub fn leader(&self) -> Option<usize> {
        self.state.lock().unwrap().leader
    }

    /// Ends the leases whose time is over.
    pub fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(&mut state, id);
        }
    }

    fn end_lease(&self, state: &mut State, id: u64) {
        state.leases.remove(&id);
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            state.rev += 1;
        }
        for key in keys {
            state.remove(&key);
        }
        self.changed.notify_all();
    }

    /// Answers a call of the instance `caller`.
    pub fn handle(&self, request: &Request, caller: usize) -> Option<Response> {
        thread::sleep(ANSWER_TIME);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.get(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.commit(&body, caller),
            ("POST", "/kv-lease") => self.grant(&body),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id = path[14..].parse().unwrap_or(0);
                self.end_lease(&mut self.state.lock().unwrap(), id);
                (200, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        };
        Some(response)
    }

    fn get(&self, request: &Request) -> Response {
        let state = self.state.lock().unwrap();
        let key = request.parameter("Key").unwrap_or_default();
        let rev = ("CurrentRev", number(state.rev));
        match state.items.get(&key) {
            Some(item) => {
                let mut fields = item_json(&key, item);
                fields.push(rev);
                (200, object(fields).to_string())
            }
            None => (404, object(vec![rev]).to_string()),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let state = self.state.lock().unwrap();
        let prefix = request.parameter("Prefix").unwrap_or_default();
        let after = request.parameter("After");
        let mut items: Vec<Json> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| object(item_json(key, item)))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let page = vec![
            ("items", Json::List(items)),
            ("MorePages", Json::Bool(more)),
            ("CurrentRev", number(state.rev)),
        ];
        (200, object(page).to_string())
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.parameter("Prefix").unwrap_or_default();
        let read = |name| request.parameter(name).and_then(|value| value.parse().ok());
        let (after, wait): (u64, u64) = (read("After").unwrap_or(0), read("WaitMs").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.events.iter().filter(|event| event.rev > after);
            let events: Vec<Json> =
                new.filter(|event| event.key.starts_with(&prefix)).map(event_json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let fields =
                    vec![("events", Json::List(events)), ("CurrentRev", number(state.rev))];
                return (200, object(fields).to_string());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json, caller: usize) -> Response {
        let mut state = self.state.lock().unwrap();
        let expected = body.get("Expected").list();
        let rev_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        if expected.iter().any(|row| rev_of(&state, row.get("Key").text()) != row.get("Rev").u64())
        {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("Key").text();
                state.items.get(key).map(|item| object(item_json(key, item)))
            });
            return (412, object(vec![("items", Json::List(items.collect()))]).to_string());
        }
        let puts = body.get("Puts").list();
        let leases = puts.iter().map(|put| put.get("Lease").u64());
        if leases.into_iter().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, "{}".to_string());
        }
        state.rev += 1;
        for put in puts {
            let lease = put.get("Lease").u64();
            if lease != 0 {
                state.leader = Some(caller);
            }
            state.put(put.get("Key").text(), put.get("Value").text().to_string(), lease);
        }
        for key in body.get("Remove").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, object(vec![("Rev", number(state.rev))]).to_string())
    }

    fn grant(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        let ttl_ms = body.get("TtlMs").u64().clamp(1_000, 600_000);
        state.next_lease += 1;
        let id = state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, object(vec![("Lease", number(id)), ("TtlMs", number(ttl_ms))]).to_string())
    }

    fn keep(&self, id: &str) -> Response {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&id.parse().unwrap_or(0)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                let ttl_ms = ttl.as_millis() as u64;
                (200, object(vec![("TtlMs", number(ttl_ms))]).to_string())
            }
            None => (404, "{}".to_string()),
        }
    }
}

fn event_json(event: &Event) -> Json {
    match &event.item {
        Some(item) => object(item_json(&event.key, item)),
        None => object(vec![
            ("Key", text(&event.key)),
            ("Rev", number(event.rev)),
            ("Deleted", Json::Bool(true)),
        ]),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
